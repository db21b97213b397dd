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

from molespur.system.shards.history import MAX_BYTES, MAX_CHANGES, ChangeHistory

MEMORY_BYTES = 12 << 20  # what a control-plane process may take for its history, log and all

LONG = "p" * 900


def configuration(version, routes):
    made = [
        {"Name": f"r{n}", "Host": "h.example", "PathPrefix": f"/{n}/{LONG}/", "Type": "idempotent",
         "Service": "s", "TimeoutMs": 1000 + version}
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


def test_a_follower_gets_what_it_lacks_or_is_told_that_it_is_not_kept():
    history = ChangeHistory()
    history.reset(10)
    for index in range(11, 15):
        history.append(index, b"%d" % index)
    assert list(history.after(12)) == [(13, b"13"), (14, b"14")]
    assert list(history.after(14)) == [] and len(list(history.after(10))) == 4
    assert history.after(9) is None


def test_the_oldest_changes_give_way_by_number_and_by_bytes():
    history = ChangeHistory()
    for index in range(1, MAX_CHANGES + 3):
        history.append(index, b"x")
    assert history.after(1) is None and len(list(history.after(2))) == MAX_CHANGES
    history.append(1000, b"x" * MAX_BYTES)
    assert [index for index, _ in history.after(999)] == [1000]
    assert history.after(MAX_CHANGES + 1) is None, "one that is larger than the bound stands alone"


def test_nothing_of_before_a_snapshot_is_kept():
    history = ChangeHistory()
    history.append(1, b"x")
    history.reset(5)
    assert history.after(4) is None and list(history.after(5)) == []
