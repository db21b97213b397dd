"""The change history that a group keeps for followers of the feed is bounded in number and in bytes.

Without the bound in bytes, all control-plane processes reach their memory limit after a few hundred changes
of a large configuration, again and again: each change is kept in full for followers that are behind, so 256
changes of 1 MB take 256 MB on machines of 296 MB.
"""

import json
import tracemalloc

import pytest
from control import OneControlPlane

from molespur.system.shards.history import MAX_BYTES, MAX_CHANGES, ChangeHistory

MAX_MEMORY_BYTES = 12 << 20  # for the history, the log and everything else that the changes allocate

LONG_PATH = "p" * 900


def configuration(version, routes):
    fields = [
        {"Name": f"r{n}", "Host": "h.example", "PathPrefix": f"/{n}/{LONG_PATH}/", "Type": "idempotent",
         "Service": "s", "TimeoutMs": 1000 + version}
        for n in range(routes)
    ]  # fmt: skip
    return json.dumps({"Version": version, "Routes": fields, "Services": [{"Name": "s"}]}).encode()


@pytest.fixture
def plane(tmp_path):
    control_plane = OneControlPlane(tmp_path)
    yield control_plane
    control_plane.close()


def test_many_changes_of_a_large_configuration_do_not_fill_the_memory(plane):
    plane.host.on_change = lambda *_change: None
    tracemalloc.start()
    try:
        for version in range(1, 81):
            status, _ = plane.put(configuration(version, 300), version - 1)
            plane.pass_time(50.0)
            assert status == 200
        used_bytes, _peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used_bytes < MAX_MEMORY_BYTES, f"{used_bytes >> 20} MB"


def test_the_history_returns_the_changes_after_an_index_or_none_if_they_are_not_kept():
    history = ChangeHistory()
    history.reset(10)
    for index in range(11, 15):
        history.append(index, b"%d" % index)
    assert list(history.after(12)) == [(13, b"13"), (14, b"14")]
    assert list(history.after(14)) == [] and len(list(history.after(10))) == 4
    assert history.after(9) is None


def test_the_oldest_changes_are_dropped_by_number_and_by_bytes():
    history = ChangeHistory()
    for index in range(1, MAX_CHANGES + 3):
        history.append(index, b"x")
    assert history.after(1) is None and len(list(history.after(2))) == MAX_CHANGES
    history.append(1000, b"x" * MAX_BYTES)
    assert [index for index, _ in history.after(999)] == [1000]
    assert history.after(MAX_CHANGES + 1) is None, "a change above the bound is kept alone"


def test_changes_before_a_snapshot_are_dropped():
    history = ChangeHistory()
    history.append(1, b"x")
    history.reset(5)
    assert history.after(4) is None and list(history.after(5)) == []
