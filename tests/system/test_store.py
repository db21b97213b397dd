"""The store of a control-plane process."""

import sqlite3

import pytest

from molespur.system.consensus import replica as raft
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.storage.store import Store


def entry(index, term=1, data=b"x"):
    return pb.LogEntry(index=index, term=term, data=data)


def test_the_store_keeps_log_snapshot_and_identity(tmp_path):
    store = Store(tmp_path)
    assert store.identity() is None
    store.set_identity("a#0")
    with pytest.raises(sqlite3.IntegrityError):
        store.set_identity("b#0")
    store.write(
        [
            ("g", raft.Persist(raft.HardState(2, "v"), entries=[entry(1), entry(2), entry(3)])),
            ("h", raft.Persist(raft.HardState(7, ""), entries=[entry(1, 7)])),
        ]
    )
    store.write([("g", raft.Persist(raft.HardState(3, ""), truncate_from=2, entries=[entry(2, 3, b"y")]))])
    snapshot = raft.Snapshot(1, 1, pb.Membership(members=[pb.Member(replica_id="a#0")]), b"state")
    store.write([("g", raft.Persist(raft.HardState(3, ""), snapshot=snapshot))])
    store.close()
    loaded = Store(tmp_path).load("g")
    assert (loaded.hard_state.term, loaded.snapshot.index, loaded.snapshot.state) == (3, 1, b"state")
    assert [(e.index, e.term, e.data) for e in loaded.entries] == [(2, 3, b"y")]
    assert loaded.snapshot.membership.members[0].replica_id == "a#0"


def test_a_failed_write_leaves_no_partial_transaction(tmp_path):
    store = Store(tmp_path)
    valid = ("g", raft.Persist(raft.HardState(2, "v"), entries=[entry(1)]))
    duplicate = ("g", raft.Persist(raft.HardState(3, "w"), entries=[entry(1)]))
    store.write([valid])
    with pytest.raises(sqlite3.IntegrityError):
        store.write([("h", raft.Persist(raft.HardState(9, ""))), duplicate])
    assert store.load("g").hard_state.term == 2 and store.load("h").hard_state.term == 0
