"""Runs a case and turns what it has found into the exit code of `run.sh`."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from .fleet import Fleet, Record

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
LONGEST_S = 110.0


def run(
    folder: Path, start: Callable[[Record], Fleet], play: Callable[[Fleet, bool], Awaitable[list[str]]]
) -> int:
    """Play a case; `play(fleet, with_trouble)` returns the breaks of the rule that were seen."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # still ends what was started
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"the case starts {'with' if with_trouble else 'without'} the disruption")
    try:
        fleet = start(record)
        try:
            breaks = asyncio.run(_bounded(play, fleet, with_trouble))
        finally:
            fleet.stop()
    except (OSError, TimeoutError, EOFError, LookupError, RuntimeError) as error:
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
    for line in breaks:
        record.write(f"BROKEN: {line}")
        print(line)
    record.write("the rule was broken" if breaks else "the rule held")
    record.close()
    return BROKEN if breaks else HELD


async def _bounded(play, fleet: Fleet, with_trouble: bool) -> list[str]:
    async with asyncio.timeout(LONGEST_S):
        return await play(fleet, with_trouble)
