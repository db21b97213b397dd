"""A fleet's state kept in a file, and what a control-plane process's disk holds, to look at later."""

import json
import sqlite3
from pathlib import Path

from ..errors import ErrorKind, FleetError
from ..rpc import molespur_pb2 as pb
from ..storage.store import FILE_NAME, Store
from . import report
from .state import FleetState

FORMAT = 1


def save(state: FleetState, path: Path) -> dict:
    """Write a state to a file; return what was kept, in numbers.  Raises OSError."""
    configuration = json.loads(state.configuration.body) if state.configuration else None
    kept = {
        "format": FORMAT,
        "status": report.status(state),
        "offsets": state.offsets,
        "members": report.member_rows(state),
        "workers": report.worker_rows(state),
        "configuration": configuration,
    }
    path.write_text(json.dumps(kept, indent=1) + "\n")
    return {
        "file": str(path),
        "workers": len(kept["workers"]),
        "configuration": kept["status"]["configuration"],
        "missing": kept["status"]["missing"],
    }


def look(path: Path) -> dict | list[dict]:
    """What a saved file, or the folder of a control-plane process, holds.  Raises FleetError(UNREADABLE)."""
    if path.is_dir():
        return disk_rows(path)
    try:
        kept = json.loads(path.read_text())
        if kept["format"] != FORMAT:
            raise ValueError(f"format {kept['format']}, want {FORMAT}")
        return {**kept["status"], "offsets": kept["offsets"]}
    except (ValueError, KeyError, TypeError) as error:
        raise FleetError(ErrorKind.UNREADABLE, f"{path}: no snapshot of a fleet: {error}") from error


def disk_rows(folder: Path) -> list[dict]:
    """One row for each shard on a disk.; its process must not run.  Raises FleetError(UNREADABLE)."""
    if not (folder / FILE_NAME).is_file():
        raise FleetError(ErrorKind.UNREADABLE, f"{folder}: no {FILE_NAME}")
    try:
        store = Store(folder)
        try:
            identity = store.identity() or "none"
            return [_disk_row(store, group, identity) for group in store.groups()]
        finally:
            store.close()
    except sqlite3.Error as error:
        raise FleetError(ErrorKind.UNREADABLE, f"{folder}: {error}") from error


def _disk_row(store: Store, group: str, identity: str) -> dict:
    loaded = store.load(group)
    memberships = [loaded.snapshot.membership]
    memberships += [
        pb.Membership.FromString(entry.data) for entry in loaded.entries if entry.kind == pb.MEMBERSHIP
    ]
    return {
        "shard": group,
        "replica": identity,
        "term": loaded.hard_state.term,
        "vote": loaded.hard_state.vote or "-",
        "snapshot": loaded.snapshot.index,
        "last": loaded.entries[-1].index if loaded.entries else loaded.snapshot.index,
        "state_bytes": len(loaded.snapshot.state),
        "members": ", ".join(
            member.replica_id + ("" if member.voter else " (learner)") for member in memberships[-1].members
        ),
    }
