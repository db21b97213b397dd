"""`python -m benchmarks.fleet`: what a whole fleet asks of discovery, and how soon all hear of changes again.

Dispatchers as they are, on one clock without sockets, and a discovery that answers calls in turn
(`molespur/standins/fleet.py`).  Three events: all start at once, all lose their watch at once, and discovery
is away for 5 s.  The same figures on every run.
"""

import argparse
from collections import Counter
from pathlib import Path

from molespur.interface import FleetUpdate, JobClass, Settings, Started, UpdateMode
from molespur.logic import Dispatcher
from molespur.standins.fleet import STEP_MS, Discovery, drive

LONG_MS = 90_000.0
AWAY_MS = 5000.0
COUNTS = ("schedulers", "call_ms", "event", "calls", "failed", "most_a_second")
COLUMNS = (*COUNTS, "latest_s", "half_s", "all_s")
PAGE = f"""# What a fleet asks of discovery

The module's askings, which only the simulator follows: the real scheduler asks by `net/discovery.py`
([acceptance](acceptance.md)).

By `python -m benchmarks.fleet`: dispatchers as they are, on one clock without sockets, and a discovery that
answers calls in turn, 20 waiting at most and 2 s at most. *start*: all start at once. *lost*: all lose their
watch at once. *away*: the same, and discovery is away for 5 s. *latest_s*: when the last of them asked for
the first time. *half_s* and *all_s*: when half and all of them watch, *never* if not
within {LONG_MS / 1000:.0f} s.

"""


def play(many: int, each_ms: float, event: str) -> dict:
    """One event for one fleet, until all watch."""
    settings = Settings(
        classes=(JobClass("job", 200.0, 5000.0),), balancers=many, subscribes=True, must_ask_in_ms=10_000.0
    )
    fleet = [Dispatcher(settings, seed) for seed in range(many)]
    discovery = Discovery(each_ms, patience_ms=2000.0, most=20)
    first = [(who, Started() if event == "start" else FleetUpdate(UpdateMode.ERROR)) for who in range(many)]
    if event == "away":
        discovery.down(0.0, AWAY_MS)
    reached = {}

    def tick(now):
        for name, share in (("half_s", 0.5), ("all_s", 1.0)):
            if len(discovery.watching) >= share * many:
                reached.setdefault(name, (now - STEP_MS) / 1000)

    drive(fleet, discovery, LONG_MS, first, tick)
    busiest = max(Counter(int(at / 1000) for at in discovery.asked).values())
    counts = (many, each_ms, event, len(discovery.asked), discovery.failed, busiest)
    times = (max(discovery.first.values()) / 1000, reached.get("half_s"), reached.get("all_s"))
    return dict(zip(COLUMNS, (*counts, *times), strict=True))


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--out", type=Path, default=Path("docs/measurements/asking.md"))
    out = parser.parse_args().out
    rows = [
        play(many, each_ms, event)
        for many in (4, 40, 150)
        for each_ms in (50.0, 150.0)
        for event in ("start", "lost", "away")
    ]
    lines = [f"| {' | '.join(COLUMNS)} |", f"|{' --- |' * len(COLUMNS)}"]
    for row in rows:
        cells = ("never" if v is None else f"{v:,.2f}" if type(v) is float else str(v) for v in row.values())
        lines.append(f"| {' | '.join(cells)} |")
    table = "\n".join(lines) + "\n"
    out.write_text(PAGE + table)
    print(table, end="")


if __name__ == "__main__":
    main()
