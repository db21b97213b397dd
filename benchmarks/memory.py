"""Whether processes level off: resident memory of a fleet whose configuration changes all the time.

Usage:
  memory [--minutes=MINUTES] [--processes=N] [--chart=FILE] [--rows=FILE]

Options:
  --minutes=MINUTES  length of the run [default: 60]
  --processes=N      processes, three of them of the control plane [default: 5]
  --chart=FILE       where the chart goes (SVG)
  --rows=FILE        where the samples go (CSV: seconds, process, KiB, descriptors)

Run as `python -m benchmarks.memory`.  Real processes on loopback with nothing done to them, one operator with
a change a second, the clients and workers of the soak.  Prints for each process the mean resident memory of
each sixth of the run (MiB), and the growth between the last two of them, MiB an hour.
"""

import asyncio
import csv
import tempfile
from collections import defaultdict
from pathlib import Path
from statistics import fmean

from docopt import docopt

from molespur.system.soak.records import Sample
from molespur.system.soak.run import Soak

CHANGE_EVERY_S = 1.0
PARTS = 6
KIB_PER_MIB = 1024.0


class CalmSoak(Soak):
    """A soak without faults."""

    async def _inject_faults(self) -> None:
        await asyncio.sleep(self.length_s)


def play(minutes: float, processes: int) -> list[Sample]:
    """Play one run; all samples, by time."""
    with tempfile.TemporaryDirectory(prefix="molespur-memory-") as folder:
        soak = CalmSoak(1, minutes * 60.0, processes, Path(folder))
        soak.operators.pause_s = (CHANGE_EVERY_S, CHANGE_EVERY_S)
        soak.operator_names = ("north",)
        asyncio.run(soak.run())
    print(f"{len(soak.log.changes)} changes, {len(soak.log.exchanges)} requests", flush=True)
    return soak.log.samples


def mean_of_parts(samples: list[Sample]) -> dict[str, list[float]]:
    """For each process the mean memory (MiB) of each part of the run."""
    length = max(sample.at for sample in samples) + 1e-9
    parts = defaultdict(lambda: [[] for _ in range(PARTS)])
    for sample in samples:
        parts[sample.process][int(PARTS * sample.at / length)].append(sample.memory_kb / KIB_PER_MIB)
    return {name: [fmean(part) if part else 0.0 for part in found] for name, found in sorted(parts.items())}


def draw(samples: list[Sample], path: str) -> None:
    """A line for each process."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    for name in sorted({sample.process for sample in samples}):
        own = [sample for sample in samples if sample.process == name]
        axes.plot([s.at / 60 for s in own], [s.memory_kb / KIB_PER_MIB for s in own], label=name, linewidth=1)
    axes.set(xlabel="minutes", ylabel="resident memory, MiB", ylim=(0, None))
    axes.legend(loc="lower right", fontsize="small")
    figure.savefig(path)


def main() -> None:
    """Play, print, draw."""
    options = docopt(__doc__)
    minutes = float(options["--minutes"])
    samples = play(minutes, int(options["--processes"]))
    if options["--rows"]:
        with open(options["--rows"], "w", newline="") as file:
            rows = csv.writer(file)
            rows.writerows((round(s.at, 1), s.process, s.memory_kb, s.descriptors) for s in samples)
    for name, parts in mean_of_parts(samples).items():
        growth = (parts[-1] - parts[-2]) * PARTS * 60.0 / minutes
        told = ", ".join(f"{part:.1f}" for part in parts)
        print(f"{name}: {told} MiB; {growth:+.2f} MiB an hour at the end")
    if options["--chart"]:
        draw(samples, options["--chart"])


if __name__ == "__main__":
    main()
