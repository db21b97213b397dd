"""KNOWN-RED.txt at the root: tests that fail for a real fault which is still to be mended.

A line each, `test | cause | issue`, the test by its node id.  These are expected to fail, and nothing else:
the run fails if one of them passes, if a test that is named does not exist, or if there are more than three.
"""

from pathlib import Path

import pytest

MOST = 3


def read(path: Path) -> dict[str, str]:
    """Node id -> cause and issue.  Raises UsageError for a file that makes no sense."""
    red = {}
    for line in path.read_text().splitlines() if path.exists() else ():
        parts = [part.strip() for part in line.split("|")]
        if not line.strip():
            continue
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}: not 'test | cause | issue': {line}")
        red[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(red) > MOST:
        raise pytest.UsageError(f"{path.name}: {len(red)} tests, {MOST} at most")
    return red


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    red = read(config.rootpath / "KNOWN-RED.txt")
    items = {item.nodeid: item for item in items}
    files = {name.partition("::")[0] for name in items}
    all_of_a_file = not any("::" in arg for arg in config.args)
    for name, why in red.items():
        file = name.partition("::")[0]
        if name in items:
            # strict: a test that passes has to leave the list
            items[name].add_marker(pytest.mark.xfail(reason=why, strict=True))
        elif not (config.rootpath / file).exists() or (file in files and all_of_a_file):
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {name}")
