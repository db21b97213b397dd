"""A loss of power in a soak takes what was not synced, and never what a process has gone on from."""

import shutil
import sqlite3
from random import Random

import pytest

from molespur.system.consensus.replica import HardState, Persist
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.soak.disk import (
    SyncNotingStore,
    ends_of_transactions,
    log_path,
    lose_unsynced,
    note_path,
)
from molespur.system.storage.store import FILE_NAME, Store

SYNCED, SEEDS = 5, 40


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch):
    monkeypatch.setattr("molespur.system.soak.disk.SYNC_S", 0.0)


def record(index, data=b"x" * 900):
    entry = pb.LogEntry(index=index, term=1, data=data)
    return [("g", Persist(HardState(index, "v"), entries=[entry]))]


def killed_while_it_writes(folder, synced=SYNCED, unsynced=1, size=900):
    """The disk of a process that was killed: some transactions are synced, and one is on its way."""
    store = SyncNotingStore(folder / "live" / "core")
    store.set_identity("a#0")
    for index in range(1, synced + 1):
        store.write(record(index))
    for index in range(synced + 1, synced + unsynced + 1):
        Store.write(store, record(index, b"y" * size))  # it is killed before it can note this one
    shutil.copytree(folder / "live", folder / "killed")
    store.close()
    return folder / "killed" / "core"


def indexes(folder):
    store = Store(folder)
    try:
        assert store.identity() == "a#0"
        assert store.connection.execute("pragma integrity_check").fetchone() == ("ok",)
        loaded = store.load("g")
        assert loaded.hard_state.term == len(loaded.entries), "a transaction is there whole or not at all"
        return [entry.index for entry in loaded.entries]
    finally:
        store.close()


@pytest.mark.parametrize("size", (100, 9_000, 90_000))
def test_what_was_synced_is_kept_and_the_rest_is_there_or_not(tmp_path, size):
    disk, met = killed_while_it_writes(tmp_path, size=size), set()
    for seed in range(SEEDS):
        copy = tmp_path / str(seed) / "core"
        shutil.copytree(disk, copy)
        shutil.copy(note_path(disk), note_path(copy))
        assert lose_unsynced(copy, Random(seed)) or seed
        found = indexes(copy)
        assert found[:SYNCED] == list(range(1, SYNCED + 1))
        met.add(len(found))
    assert met == {SYNCED, SYNCED + 1}, "both are met"


def test_nothing_is_lost_of_a_process_that_has_synced_all(tmp_path):
    disk = killed_while_it_writes(tmp_path, unsynced=0)
    before = log_path(disk).read_bytes()
    assert not lose_unsynced(disk, Random(1))
    assert log_path(disk).read_bytes() == before and indexes(disk) == list(range(1, SYNCED + 1))


def test_a_log_that_has_begun_anew_is_told_from_the_one_before(tmp_path):
    """After a checkpoint the log is written from its start again; frames behind are left over."""
    store = SyncNotingStore(tmp_path / "live" / "core")
    store.set_identity("a#0")
    for index in range(1, 4):
        store.write(record(index, b"z" * 90_000))
    store.connection.execute("pragma wal_checkpoint(restart)").fetchall()
    store.write(record(4))
    salts, ends = ends_of_transactions(log_path(tmp_path / "live" / "core").read_bytes())
    assert len(ends) == 1 and salts
    Store.write(store, record(5))
    shutil.copytree(tmp_path / "live", tmp_path / "killed")
    store.close()
    for seed in range(SEEDS):
        copy = tmp_path / str(seed) / "core"
        shutil.copytree(tmp_path / "killed" / "core", copy)
        shutil.copy(note_path(tmp_path / "killed" / "core"), note_path(copy))
        lose_unsynced(copy, Random(seed))
        assert indexes(copy)[:4] == [1, 2, 3, 4]


def test_a_disk_that_loses_what_was_noted_as_synced_is_a_fault(tmp_path):
    disk = killed_while_it_writes(tmp_path, unsynced=0)
    _, ends = ends_of_transactions(log_path(disk).read_bytes())
    log_path(disk).write_bytes(log_path(disk).read_bytes()[: ends[-2]])
    with pytest.raises(ValueError, match="were synced"):
        lose_unsynced(disk, Random(1))


def test_a_process_that_never_began_has_lost_nothing(tmp_path):
    (tmp_path / "core").mkdir()
    assert not lose_unsynced(tmp_path / "core", Random(1))
    sqlite3.connect(tmp_path / "core" / FILE_NAME).close()
    assert not lose_unsynced(tmp_path / "core", Random(1))
