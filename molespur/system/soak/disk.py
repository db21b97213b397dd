"""Losses of power in a soak: what a process had written and not synced is lost, whole or in part.

A process of a soak notes after each transaction how far its disk is synced, and only then goes on.  It may be
killed before: the harness then treats the transaction as a disk does that loses power.  It takes it out of
SQLite's write-ahead log, or leaves a part of it, or all.  The format of that log:
https://www.sqlite.org/fileformat2.html#walformat.

Not played: pages that a checkpoint was writing into the database; the log still has them.
"""

import json
import os
import time
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

from ..consensus.replica import Persist
from ..storage.store import FILE_NAME, Store

SYNC_S = 0.01  # more than the real disk takes: most kills would miss a transaction otherwise
SECTOR_BYTES = 512
HEADER_BYTES, FRAME_HEADER_BYTES = 32, 24
PAGE_SIZE_AT, SALTS_AT, SALT_BYTES = 8, 16, 8  # in the log's header
COMMIT_AT, FRAME_SALTS_AT = 4, 8  # in a frame's header; a frame that ends a transaction has a size there


@dataclass(frozen=True, slots=True)
class SyncedLog:
    """How far a write-ahead log is synced: its transactions under these salts."""

    salts: str = ""
    transactions: int = 0


def log_path(folder: Path) -> Path:
    """The write-ahead log of the database in a data directory."""
    return folder / f"{FILE_NAME}-wal"


def note_path(folder: Path) -> Path:
    """Where a process notes what is synced: beside its data directory, which may be lost."""
    return folder.with_name(f"{folder.name}.synced")


def ends_of_transactions(log: bytes) -> tuple[str, list[int]]:
    """The salts of a write-ahead log, and where each whole transaction of these salts ends."""
    salts = log[SALTS_AT : SALTS_AT + SALT_BYTES]
    if len(salts) < SALT_BYTES:
        return "", []
    frame_bytes = FRAME_HEADER_BYTES + int.from_bytes(log[PAGE_SIZE_AT : PAGE_SIZE_AT + 4], "big")
    ends, at = [], HEADER_BYTES
    while at + frame_bytes <= len(log):
        frame = log[at : at + FRAME_HEADER_BYTES]
        if frame[FRAME_SALTS_AT : FRAME_SALTS_AT + SALT_BYTES] != salts:
            break  # left over from before the log began anew
        at += frame_bytes
        if any(frame[COMMIT_AT : COMMIT_AT + 4]):
            ends.append(at)
    return salts.hex(), ends


class SyncNotingStore(Store):
    """A store that notes how far it is synced once each transaction is."""

    def __init__(self, folder: str | Path):
        super().__init__(folder)
        self._folder = Path(folder)
        self._note_synced()

    def set_identity(self, replica_id: str) -> None:
        """Give the disk its identity, once."""
        super().set_identity(replica_id)
        self._note_synced()

    def write(self, records: Iterable[tuple[str, Persist]]) -> None:
        """Write records in one transaction; it is on the disk, and noted, when this returns."""
        super().write(records)
        time.sleep(SYNC_S)
        self._note_synced()

    def _note_synced(self) -> None:
        salts, ends = ends_of_transactions(log_path(self._folder).read_bytes())
        path = note_path(self._folder)
        written = path.with_suffix(".new")
        written.write_text(json.dumps(asdict(SyncedLog(salts, len(ends)))))
        os.replace(written, path)


def lose_unsynced(folder: Path, random: Random) -> bool:
    """Do to the disk of a process that was killed what a loss of power does; whether it lost anything."""
    path = log_path(folder)
    try:
        log = path.read_bytes()
        noted = SyncedLog(**json.loads(note_path(folder).read_text()))
    except FileNotFoundError:
        return False  # it had not begun
    salts, ends = ends_of_transactions(log)
    synced = noted.transactions if salts == noted.salts else 0
    if synced > len(ends):
        raise ValueError(f"{path}: {synced} transactions were synced, {len(ends)} are there")
    kept = ends[synced - 1] if synced else min(HEADER_BYTES, len(log))
    if kept == len(log):
        return False
    path.write_bytes(log[:kept] + _torn(log[kept:], random))
    return True


def _torn(unsynced: bytes, random: Random) -> bytes:
    """What is left of bytes that were not synced: none, all, the first ones, or some sectors."""
    match random.randrange(4):
        case 0:
            return b""
        case 1:
            return unsynced
        case 2:
            return unsynced[: random.randrange(len(unsynced))]
    sectors = range(0, len(unsynced), SECTOR_BYTES)
    pieces = (unsynced[at : at + SECTOR_BYTES] for at in sectors)
    return b"".join(piece if random.random() < 0.5 else bytes(len(piece)) for piece in pieces)
