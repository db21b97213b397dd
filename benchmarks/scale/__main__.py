"""Scale run of the control plane.

Usage:
  benchmarks.scale [options]

Options:
  --sizes=LIST       schedulers, with 2.1 times as many workers [default: 50,130,260,390]
  --control=COUNT    processes of the control plane [default: 6]
  --real=COUNT       real schedulers beside the hollow ones [default: 2]
  --seconds=SECONDS  time at rest of each size [default: 15]
  --write=FOLDER     where page, data and chart go, in place of printing the page

Real control-plane processes and some real schedulers at loopback addresses of their own; all other schedulers
(feed and heartbeats) and workers (heartbeats) are hollow and share this process.  At each size: load at rest,
changes of configuration, deaths of workers; at the last one also the loss of an owner, a restart of all
schedulers at once, and the loss of a zone.  Each wait is bounded by 30 s.
"""

import asyncio
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

from docopt import docopt

from . import results
from .experiments import Run
from .hollow import HollowScheduler, HollowWorker
from .layout import Layout
from .processes import Fleet

WORKERS_A_SCHEDULER = 2.1
ELECTION_S = 3.0


async def measure(size: int, options: dict, last: bool) -> dict:
    """One size, with fresh processes."""
    control, real = int(options["--control"]), int(options["--real"])
    layout = Layout(control, tolerated=(control - 1) // 2)
    workers = round(WORKERS_A_SCHEDULER * size)
    with tempfile.TemporaryDirectory() as name:
        fleet = Fleet(layout, Path(name))
        hollow = [HollowScheduler(layout, number) for number in range(size - real)]
        run = Run(fleet, hollow, [HollowWorker(layout, number) for number in range(workers)])
        try:
            await fleet.start(real)
            await asyncio.sleep(ELECTION_S)
            await run.begin()
            result = {"schedulers": size, "workers": workers, "control": control}
            result |= {"tolerated": layout.tolerated, "real_schedulers": real}
            result["at_rest"] = [asdict(load) for load in await run.at_rest(float(options["--seconds"]))]
            result["changes"] = asdict(await run.changes())
            result["deaths"] = asdict(await run.deaths())
            result["losses"] = await losses(run) if last else {}
            return result
        finally:
            run.end()
            await fleet.stop()


async def losses(run: Run) -> dict:
    """What is measured at the largest size only."""
    return {
        "Owner of the configuration killed": await run.owner_killed(),
        "All schedulers restarted": await run.all_schedulers_restarted(),
        "Zone lost": await run.zone_lost(),
    }


def main(arguments: list[str]) -> None:
    """Measure each size."""
    options = docopt(__doc__, arguments)
    sizes = [int(size) for size in options["--sizes"].split(",")]
    measured = []
    for size in sizes:
        print(f"{size} schedulers ...", file=sys.stderr, flush=True)
        measured.append(asyncio.run(measure(size, options, last=size == sizes[-1])))
        if options["--write"]:  # after each size: a run that is broken off leaves what it has
            results.write(measured, Path(options["--write"]))
    if not options["--write"]:
        print(results.markdown(measured))


if __name__ == "__main__":
    main(sys.argv[1:])
