"""How long acknowledged changes take to be in force everywhere while control-plane processes are in trouble.

Usage:
  propagation [--seeds=N] [--schedulers=N] [--voters=N] [--course=NAME] [--body=BYTES] [--only=TROUBLE]
              [--jobs=N]

Options:
  --seeds=N       how many histories of each trouble [default: 16]
  --schedulers=N  schedulers that follow the feed [default: 9]
  --voters=N      control-plane processes, 3 or 5 [default: 3]
  --course=NAME   one, "two in a row", "again and again" or "replaced meanwhile" [default: one]
  --body=BYTES    a configuration is so much larger [default: 0]
  --only=TROUBLE  this trouble alone
  --jobs=N        processes at once [default: 4]

Run as `python -m benchmarks.propagation`.  Plays the virtual fleet of the tests (virtual clock, links of
1 to 4 ms, disks of 20 ms a sync); prints p50, p99 and the worst time from an acknowledgement until a
scheduler has that version or a newer one, and the longest time until an operator had a clear answer, in ms of
virtual time.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import groupby
from pathlib import Path

from absl import logging
from docopt import docopt

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests" / "system"))

import pytest
from propagation import FAULTS, Run, measure

LENGTHS_S = (4.0, 12.0)


@dataclass(frozen=True, slots=True)
class Figures:
    """What one run gave, ms: the time of each change at each scheduler, the longest until a clear answer."""

    delays: list[float]
    slowest_answer: float


def play(run: Run) -> Figures:
    """Play one run."""
    logging.set_verbosity(logging.FATAL)
    with pytest.MonkeyPatch.context() as monkeypatch:
        seen = measure(monkeypatch, run)
    return Figures(seen.delays(), max(seen.response_times_ms))


def quantile(ordered: list[float], share: float) -> float:
    """The value that this share of them does not exceed."""
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def main() -> None:
    """Print the table."""
    options = docopt(__doc__)
    shape = {
        "course": options["--course"],
        "schedulers": int(options["--schedulers"]),
        "voters": int(options["--voters"]),
        "body_bytes": int(options["--body"]),
    }
    runs = [
        Run(trouble, role, for_s, seed, **shape)
        for trouble in FAULTS
        if options["--only"] in (None, trouble)
        for role in ("follower", "leader")
        for for_s in LENGTHS_S
        for seed in range(int(options["--seeds"]))
    ]
    with ProcessPoolExecutor(int(options["--jobs"])) as pool:
        played = list(zip(runs, pool.map(play, runs), strict=True))
    headings = ("trouble", "of", "s", "p50", "p99", "worst", "seed", "slowest answer", "seed")
    print("| " + " | ".join(headings) + " |\n" + "| --- " * len(headings) + "|")
    for (trouble, role, for_s), group in groupby(
        played, key=lambda p: (p[0].fault, p[0].role, p[0].duration_s)
    ):
        of_seed = {run.seed: seen for run, seen in group}
        ordered = sorted(delay for seen in of_seed.values() for delay in seen.delays)
        seed = max(of_seed, key=lambda s: max(of_seed[s].delays))
        slow_seed = max(of_seed, key=lambda s: of_seed[s].slowest_answer)
        slowest = of_seed[slow_seed].slowest_answer
        figures = " | ".join(f"{quantile(ordered, share):.0f}" for share in (0.5, 0.99, 1.0))
        answers = f"{slowest:.0f} | {slow_seed}"
        print(f"| {trouble} | {role} | {for_s:g} | {figures} | {seed} | {answers} |", flush=True)


if __name__ == "__main__":
    main()
