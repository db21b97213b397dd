"""Power failures while the database writes: synced transactions survive, later ones are complete or absent.

The bytes of the write-ahead log after the last sync are truncated at many lengths and damaged, as a disk may
leave them.  The store must open and have a state at least as new as the synced one, never a part of a
transaction.
"""

import shutil

import pytest

from molespur.system.consensus import replica as raft
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.storage.store import FILE_NAME, Store

GROUPS = ("one", "two")
LOG = f"{FILE_NAME}-wal"
STEP_BYTES = 97  # between two truncation points; does not divide the frame size of the log


def record(index, size=40):
    entry = pb.LogEntry(index=index, term=index, kind=pb.COMMAND, data=b"%d" % index * size)
    return raft.Persist(raft.HardState(index, f"r{index}"), entries=[entry])


def write(store, index):
    """Write one transaction with a record of each group."""
    store.write([(group, record(index)) for group in GROUPS])


def newest_index(store):
    """Return the newest index in the store; check that no group has a part of a transaction."""
    loaded = [store.load(group) for group in GROUPS]
    stored = {tuple(entry.index for entry in one.entries) for one in loaded}
    assert len(stored) == 1, "only one group has a transaction"
    (indices,) = stored
    assert indices == tuple(range(1, len(indices) + 1)), "an entry is missing"
    for one in loaded:
        last = indices[-1] if indices else 0
        assert (one.hard_state.term, one.hard_state.vote) == ((last, f"r{last}") if last else (0, ""))
    return len(indices)


@pytest.fixture
def disk(tmp_path):
    """A directory left by a power failure after three synced transactions and one more; the synced length."""
    running = tmp_path / "running"
    store = Store(running)
    for index in (1, 2, 3):
        write(store, index)
    synced_bytes = (running / LOG).stat().st_size
    write(store, 4)
    left = tmp_path / "left"
    shutil.copytree(running, left)
    store.close()
    return left, synced_bytes


def open_with_changed_log(left, tmp_path, change):
    """Open a copy of the store with a changed log; return the newest index that it has."""
    directory = tmp_path / "opened"
    shutil.rmtree(directory, ignore_errors=True)
    shutil.copytree(left, directory)
    log = directory / LOG
    log.write_bytes(change(log.read_bytes()))
    store = Store(directory)
    newest = newest_index(store)
    write(store, newest + 1)
    assert newest_index(store) == newest + 1, "the store must accept writes again"
    store.close()
    return newest


def test_a_log_that_is_truncated_after_the_last_sync(disk, tmp_path):
    left, synced_bytes = disk
    total_bytes = (left / LOG).stat().st_size
    newest = {
        open_with_changed_log(left, tmp_path, lambda data, end=end: data[:end])
        for end in [*range(synced_bytes, total_bytes, STEP_BYTES), total_bytes]
    }
    assert newest == {3, 4}


@pytest.mark.parametrize("damage", [b"\0", b"\xff", b"\x5a"])
def test_a_log_whose_last_transaction_is_torn(disk, tmp_path, damage):
    left, synced_bytes = disk
    total_bytes = (left / LOG).stat().st_size
    for at in range(synced_bytes, total_bytes, 4 * STEP_BYTES):
        torn = lambda data, at=at: data[:at] + damage * min(512, total_bytes - at) + data[at + 512 :]  # noqa: E731
        assert open_with_changed_log(left, tmp_path, torn) in (3, 4)


def test_a_log_of_which_nothing_after_the_last_sync_survives(disk, tmp_path):
    left, synced_bytes = disk
    assert open_with_changed_log(left, tmp_path, lambda data: data[:synced_bytes]) == 3
