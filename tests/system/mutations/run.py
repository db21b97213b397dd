"""Applies each mutation to a copy of the sources and shows which test catches it.

    python -m tests.system.mutations.run [--jobs N] [NAME ...]

Exits with status 1 if a mutation survives, that is, if its tests pass with it.
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
TIMEOUT_S = 240


@dataclass(frozen=True)
class Verdict:
    """The result of one mutation: the first test that failed, or none."""

    mutation: Break
    caught_by: str | None


def run_mutation(mutation: Break) -> Verdict:
    """Run the tests of one mutation until the first failure."""
    with tempfile.TemporaryDirectory(prefix="mutation-") as folder:
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                ignore = shutil.ignore_patterns("__pycache__")
                shutil.copytree(source, Path(folder) / name, ignore=ignore)
            else:
                shutil.copy(source, folder)
        path = Path(folder) / mutation.file
        text = path.read_text()
        if text.count(mutation.original) != 1:
            raise ValueError(
                f"{mutation.name}: its text occurs {text.count(mutation.original)} times in {mutation.file}"
            )
        path.write_text(text.replace(mutation.original, mutation.replacement))
        command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", "--tb=no"]
        try:
            done = subprocess.run(
                [*command, *mutation.tests], cwd=folder, capture_output=True, text=True, timeout=TIMEOUT_S
            )
        except subprocess.TimeoutExpired:
            return Verdict(mutation, f"stopped after {TIMEOUT_S} s")
        failed = [line for line in done.stdout.splitlines() if line.startswith(("FAILED", "ERROR"))]
        return Verdict(mutation, failed[0].split(" - ")[0].removeprefix("FAILED ") if failed else None)


def main() -> int:
    """Run the named mutations, or all."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("names", nargs="*", help="parts of the names of mutations")
    parser.add_argument("--jobs", type=int, default=max((os.cpu_count() or 2) // 2, 1))
    options = parser.parse_args()
    chosen = [b for b in BREAKS if not options.names or any(name in b.name for name in options.names)]
    survived = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        for verdict in pool.map(run_mutation, chosen):
            survived += verdict.caught_by is None
            print(f"{verdict.mutation.name}: {verdict.caught_by or 'SURVIVES'}", flush=True)
    print(f"{len(chosen)} mutations, {survived} survived")
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
