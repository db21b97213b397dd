"""Reads KNOWN-RED.txt at the root: tests that fail because of a real fault that is not fixed yet.

It has a line `test | cause | issue` for each, the test by its node id.  Only these may fail: the run fails if
one of them passes, if a listed test does not exist, or if there are more than three.
"""

from pathlib import Path

import pytest

MAX_TESTS = 3


def read(path: Path) -> dict[str, str]:
    """Node id -> cause and issue.  Raises UsageError for an invalid file."""
    red = {}
    for line in path.read_text().splitlines() if path.exists() else ():
        parts = [part.strip() for part in line.split("|")]
        if not line.strip():
            continue
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}: not 'test | cause | issue': {line}")
        red[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(red) > MAX_TESTS:
        raise pytest.UsageError(f"{path.name}: {len(red)} tests, {MAX_TESTS} at most")
    return red


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    red = read(config.rootpath / "KNOWN-RED.txt")
    items = {item.nodeid: item for item in items}
    files = {name.partition("::")[0] for name in items}
    runs_whole_files = not any("::" in arg for arg in config.args)
    for name, why in red.items():
        file = name.partition("::")[0]
        if name in items:
            # strict: a test that passes has to be removed from the list
            items[name].add_marker(pytest.mark.xfail(reason=why, strict=True))
        elif not (config.rootpath / file).exists() or (file in files and runs_whole_files):
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {name}")
