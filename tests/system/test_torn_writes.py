"""Power is lost while the database writes: what was synced is read back, what came after is there or not.

The bytes of the write-ahead log after the last sync are cut at every length, and damaged, as a disk may leave
them; the store must open and hold a state at least as new as the synced one, never a part of a transaction.
"""

import shutil

import pytest

from molespur.system.consensus import replica as raft
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.storage.store import FILE_NAME, Store

GROUPS = ("one", "two")
LOG = f"{FILE_NAME}-wal"
STEP = 97  # bytes between two places where the log is cut: no divisor of its frames


def record(index, size=40):
    entry = pb.LogEntry(index=index, term=index, kind=pb.COMMAND, data=b"%d" % index * size)
    return raft.Persist(raft.HardState(index, f"r{index}"), entries=[entry])


def write(store, index):
    """One transaction that holds a record of each group."""
    store.write([(group, record(index)) for group in GROUPS])


def newest(store):
    """The index that the store holds; checks that no group has a part of a transaction."""
    loaded = [store.load(group) for group in GROUPS]
    held = {tuple(entry.index for entry in one.entries) for one in loaded}
    assert len(held) == 1, "a transaction is there in one group only"
    (indices,) = held
    assert indices == tuple(range(1, len(indices) + 1)), "an entry is missing"
    for one in loaded:
        last = indices[-1] if indices else 0
        assert (one.hard_state.term, one.hard_state.vote) == ((last, f"r{last}") if last else (0, ""))
    return len(indices)


@pytest.fixture
def disk(tmp_path):
    """A folder as power left it after three synced transactions and one more; and the synced length."""
    folder = tmp_path / "running"
    store = Store(folder)
    for index in (1, 2, 3):
        write(store, index)
    synced = (folder / LOG).stat().st_size
    write(store, 4)
    left = tmp_path / "left"
    shutil.copytree(folder, left)
    store.close()
    return left, synced


def opened(left, tmp_path, change):
    folder = tmp_path / "opened"
    shutil.rmtree(folder, ignore_errors=True)
    shutil.copytree(left, folder)
    log = folder / LOG
    log.write_bytes(change(log.read_bytes()))
    store = Store(folder)
    held = newest(store)
    write(store, held + 1)
    assert newest(store) == held + 1, "it can be written to again"
    store.close()
    return held


def test_a_log_that_is_cut_after_the_last_sync(disk, tmp_path):
    left, synced = disk
    whole = (left / LOG).stat().st_size
    held = {
        opened(left, tmp_path, lambda data, end=end: data[:end])
        for end in [*range(synced, whole, STEP), whole]
    }
    assert held == {3, 4}


@pytest.mark.parametrize("damage", [b"\0", b"\xff", b"\x5a"])
def test_a_log_whose_last_transaction_is_torn(disk, tmp_path, damage):
    left, synced = disk
    whole = (left / LOG).stat().st_size
    for at in range(synced, whole, 4 * STEP):
        torn = lambda data, at=at: data[:at] + damage * min(512, whole - at) + data[at + 512 :]  # noqa: E731
        assert opened(left, tmp_path, torn) in (3, 4)


def test_a_log_of_which_nothing_was_kept(disk, tmp_path):
    left, synced = disk
    assert opened(left, tmp_path, lambda data: data[:synced]) == 3
