"""The store of a control-plane process: one sqlite3 database for all replicas that it hosts.

Every write is a transaction that is synced before `write` returns.  With `synchronous=FULL` on a write-ahead
log this takes one sync for each transaction, and records that wait at the same time share a transaction.

The database also holds the identity of the replicas.  A process that starts with an empty directory therefore
has another identity than the process that stored its state there before.
"""

import os
import secrets
import sqlite3
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from ..consensus.replica import HardState, Persist, Snapshot
from ..faults import FaultPoint, trigger
from ..rpc import molespur_pb2 as pb

SCHEMA = """
create table if not exists identity (id integer primary key check (id = 1), replica text not null);
create table if not exists hard_state (grp text primary key, term integer not null, vote text not null);
create table if not exists entries (grp text, idx integer, term integer not null, kind integer not null,
    data blob not null, primary key (grp, idx)) without rowid;
create table if not exists snapshots (grp text primary key, idx integer not null, term integer not null,
    membership blob not null, state blob not null);
"""
FILE_NAME = "control.sqlite3"


@dataclass(slots=True)
class StoredGroup:
    """The stored state of one replica group."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[pb.LogEntry]


class Store:
    """One database.  Calls block until the disk has finished; they raise sqlite3.Error."""

    def __init__(self, directory: str | Path):
        directory = Path(directory)
        directory.mkdir(parents=True, exist_ok=True)
        self.connection = sqlite3.connect(
            directory / FILE_NAME, isolation_level=None, check_same_thread=False
        )
        for pragma in ("locking_mode=EXCLUSIVE", "journal_mode=WAL", "synchronous=FULL", "cache_size=-512"):
            self.connection.execute(f"pragma {pragma}").fetchall()
        self.connection.executescript(SCHEMA)
        _sync_directory(directory)

    def identity(self) -> str | None:
        """Return the identity of this disk; None if it has none yet."""
        row = self.connection.execute("select replica from identity").fetchone()
        return row[0] if row else None

    def set_identity(self, replica_id: str) -> None:
        """Store the identity of this disk; fails if it has one already."""
        self.connection.execute("insert into identity values (1, ?)", (replica_id,))

    def groups(self) -> list[str]:
        """Return the replica groups that have stored state."""
        rows = self.connection.execute("select grp from snapshots union select grp from hard_state")
        return [row[0] for row in rows]

    def load(self, group: str) -> StoredGroup:
        """Load the stored state of a group."""
        row = self.connection.execute("select term, vote from hard_state where grp = ?", (group,)).fetchone()
        hard_state = HardState(*row) if row else HardState()
        row = self.connection.execute(
            "select idx, term, membership, state from snapshots where grp = ?", (group,)
        ).fetchone()
        snapshot = Snapshot(row[0], row[1], pb.Membership.FromString(row[2]), row[3]) if row else Snapshot()
        rows = self.connection.execute(
            "select idx, term, kind, data from entries where grp = ? and idx > ? order by idx",
            (group, snapshot.index),
        )
        entries = [pb.LogEntry(index=i, term=t, kind=k, data=d) for i, t, k, d in rows]
        return StoredGroup(hard_state, snapshot, entries)

    def write(self, records: Iterable[tuple[str, Persist]]) -> None:
        """Write records of several groups in one transaction, which is on disk when this returns."""
        cursor = self.connection
        cursor.execute("begin immediate")
        try:
            for group, record in records:
                self._write_record(cursor, group, record)
            trigger(FaultPoint.BEFORE_COMMIT)
            cursor.execute("commit")
        except sqlite3.Error:
            if cursor.in_transaction:
                cursor.execute("rollback")
            raise
        trigger(FaultPoint.AFTER_COMMIT)

    @staticmethod
    def _write_record(cursor: sqlite3.Connection, group: str, record: Persist) -> None:
        state, snapshot = record.hard_state, record.snapshot
        cursor.execute("insert or replace into hard_state values (?, ?, ?)", (group, state.term, state.vote))
        if snapshot is not None:
            membership = snapshot.membership.SerializeToString()
            row = (group, snapshot.index, snapshot.term, membership, snapshot.state)
            cursor.execute("insert or replace into snapshots values (?, ?, ?, ?, ?)", row)
            cursor.execute("delete from entries where grp = ? and idx <= ?", (group, snapshot.index))
        if record.truncate_from is not None:
            cursor.execute("delete from entries where grp = ? and idx >= ?", (group, record.truncate_from))
        if record.entries:
            rows = [(group, e.index, e.term, e.kind, e.data) for e in record.entries]
            cursor.executemany("insert into entries values (?, ?, ?, ?, ?)", rows)

    def close(self) -> None:
        """Close the database."""
        self.connection.close()


def new_identity(address: str) -> str:
    """Return a new identity for an empty disk, different from that of any earlier disk at this address."""
    return f"{address}#{secrets.token_hex(6)}"


def bootstrap_identity(address: str) -> str:
    """Return the identity of the first disk at an address; all processes of a new system can derive it."""
    return f"{address}#0"


def _sync_directory(directory: Path) -> None:
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
