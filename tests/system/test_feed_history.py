"""What a group keeps of its changes for followers of the feed: bounded in number and in bytes.

What users would see: after a few hundred changes of a large configuration all control-plane processes end at
their limit of memory, one after the other and again.  The cause: each change of the configuration is kept
whole for followers that are behind, 256 of them, whatever their size: 256 MB for one of 1 MB, on machines of
296 MB.
"""

import json
import tracemalloc

import pytest
from control import OneControlPlane

from molespur.system.shards.placement import CONFIGURATION

MEMORY_BYTES = 12 << 20  # what a control-plane process may take for its history, log and all

LONG = "p" * 900


def configuration(version, routes):
    made = [
        {"Name": f"r{n}", "Host": "h.example", "PathPrefix": f"/{n}/{LONG}/", "Type": "idempotent", "Service": "s",
         "TimeoutMs": 1000 + version}
        for n in range(routes)
    ]  # fmt: skip
    return json.dumps({"Version": version, "Routes": made, "Services": [{"Name": "s"}]}).encode()


@pytest.fixture
def plane(tmp_path):
    made = OneControlPlane(tmp_path)
    yield made
    made.close()


def test_hundreds_of_changes_of_a_large_configuration_are_not_all_kept(plane):
    plane.host.on_change = lambda *_change: None
    tracemalloc.start()
    try:
        for version in range(1, 81):
            status, _ = plane.put(configuration(version, 300), version - 1)
            plane.pass_time(50.0)
            assert status == 200
        used, _most = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used < MEMORY_BYTES, f"{used >> 20} MB"
