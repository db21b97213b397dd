"""Soaks with processes that are wrong on purpose: each has to be found by its rule of the checker.

    python -m tests.system.wrong_processes [--jobs N] [--seconds S] [NAME ...]

Prints for each wrong the seed whose run has found it and what was found.  Exits with 1 if one is not found by
any of the seeds, or if the right program has a finding.
"""

import argparse
import asyncio
import logging
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from molespur.system.soak.checker import RULES, Finding, _Index, check
from molespur.system.soak.fleet import PROGRAM
from molespur.system.soak.run import Soak

from .wrong_process import WRONGS

SEEDS = (101, 102, 103, 104)
PROCESSES = 6
RIGHT = "the program as it is"


def findings(name: str, seed: int, seconds: float) -> list[Finding]:
    """What the rule of a wrong finds in one run; all rules for the right program."""
    folder = Path(tempfile.mkdtemp(prefix="molespur-wrong-"))
    soak = Soak(seed, seconds, PROCESSES, folder)
    wrong = WRONGS.get(name)
    if wrong is not None:
        program = (sys.executable, "-m", "tests.system.wrong_process", name)
        soak.fleet.command = lambda machine: program if machine.role == wrong.role else PROGRAM
    asyncio.run(soak.run())
    shutil.rmtree(folder, ignore_errors=True)
    return check(soak.log) if wrong is None else list(RULES[wrong.rule](_Index(soak.log)))


def play(name: str, seconds: float) -> tuple[bool, str]:
    """Whether a wrong is found, and a line on it; each run in a process of its own."""
    for seed in SEEDS:
        command = [sys.executable, "-m", __spec__.name, "--one", str(seed), "--seconds", str(seconds), name]
        told = subprocess.run(command, capture_output=True, text=True).stdout.strip().splitlines()
        if name == RIGHT:
            return not told, f"{name}: {'nothing found' if not told else told[0]}"
        if told:
            return True, f"{name}: seed {seed}, {len(told)} findings, first {told[0]}"
    return False, f"{name}: NOT FOUND by seeds {SEEDS}"


def main() -> int:
    """Play the wrongs that are named, or all of them and the right program."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("names", nargs="*")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--one", type=int, help="play one run with this seed and print its findings")
    options = parser.parse_args()
    if options.one is not None:
        logging.disable(logging.CRITICAL)
        for finding in findings(options.names[0], options.one, options.seconds):
            print(f"{finding.rule} at {finding.at:.3f} s: {finding.what}")
        return 0
    names = options.names or [*WRONGS, RIGHT]
    with ThreadPoolExecutor(options.jobs) as pool:
        verdicts = list(pool.map(lambda name: _told(play(name, options.seconds)), names))
    return 0 if all(verdicts) else 1


def _told(verdict: tuple[bool, str]) -> bool:
    found, line = verdict
    print(line, flush=True)
    return found


if __name__ == "__main__":
    sys.exit(main())
