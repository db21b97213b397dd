"""Makes each break in a copy of the sources and shows which test catches it.

    python -m tests.system.mutations.run [--jobs N] [NAME ...]

Exits with 1 if a break survives, that is, if its tests pass with it.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from .breaks import BREAKS, Break

ROOT = Path(__file__).resolve().parents[3]
COPIED = ("molespur", "tests", "pyproject.toml")
LIMIT_S = 240


@dataclass(frozen=True)
class Verdict:
    """What the tests of a break said: the first that failed, or none."""

    made: Break
    caught_by: str | None


def play(made: Break) -> Verdict:
    """Run the tests of one break until the first failure."""
    with tempfile.TemporaryDirectory(prefix="mutation-") as folder:
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                ignore = shutil.ignore_patterns("__pycache__")
                shutil.copytree(source, Path(folder) / name, ignore=ignore)
            else:
                shutil.copy(source, folder)
        path = Path(folder) / made.file
        text = path.read_text()
        if text.count(made.line) != 1:
            raise ValueError(f"{made.name}: its line stands {text.count(made.line)} times in {made.file}")
        path.write_text(text.replace(made.line, made.broken))
        command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", "--tb=no"]
        try:
            done = subprocess.run(
                [*command, *made.tests], cwd=folder, capture_output=True, text=True, timeout=LIMIT_S
            )
        except subprocess.TimeoutExpired:
            return Verdict(made, f"stopped after {LIMIT_S} s")
        failed = [line for line in done.stdout.splitlines() if line.startswith(("FAILED", "ERROR"))]
        return Verdict(made, failed[0].split(" - ")[0].removeprefix("FAILED ") if failed else None)


def main() -> int:
    """Play the breaks that are named, or all."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("names", nargs="*", help="words of the breaks' names")
    parser.add_argument("--jobs", type=int, default=max((os.cpu_count() or 2) // 2, 1))
    options = parser.parse_args()
    chosen = [b for b in BREAKS if not options.names or any(name in b.name for name in options.names)]
    survived = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        for verdict in pool.map(play, chosen):
            survived += verdict.caught_by is None
            print(f"{verdict.made.name}: {verdict.caught_by or 'SURVIVES'}", flush=True)
    print(f"{len(chosen)} breaks, {survived} survived")
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
