"""What is printed of a fleet's state: tables for a terminal, JSON for programs.  Pure."""

import json
from collections import Counter
from collections.abc import Iterable, Sequence

from ..rpc import molespur_pb2 as pb
from .state import FleetState


def table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """A table with aligned columns."""
    lines = [list(headings), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
    padded = ("  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True)).rstrip() for line in lines)
    return "\n".join(padded)


def worker_rows(state: FleetState) -> list[dict]:
    """One row for each worker, by service, zone and identity."""
    workers = sorted(state.workers.values(), key=lambda w: (w.service, w.zone, w.id))
    return [
        {
            "id": worker.id,
            "service": worker.service,
            "address": worker.address,
            "zone": worker.zone,
            "phase": worker.phase or "-",
            "state": pb.WorkerState.Name(worker.state).lower(),
            "software": worker.software_version or "-",
            "slots": worker.capacity,
        }
        for worker in workers
    ]


def member_rows(state: FleetState) -> list[dict]:
    """One row for each process of the control plane."""
    core = state.heartbeat.core if state.heartbeat is not None else ()
    return [
        {"rpc": node.rpc_address, "control": node.control_address or "-", "zone": node.zone or "-"}
        for node in sorted(core, key=lambda node: node.rpc_address)
    ]


def feed_rows(state: FleetState) -> list[dict]:
    """One row for each shard: the offset up to which the source has told it."""
    return [{"shard": group, "offset": offset} for group, offset in sorted(state.offsets.items())]


def status(state: FleetState) -> dict:
    """The fleet at a glance."""
    beat = state.heartbeat or pb.FeedHeartbeat()
    counted = Counter((w.service, pb.WorkerState.Name(w.state).lower()) for w in state.workers.values())
    return {
        "source": state.source,
        "configuration": state.configuration.version if state.configuration else None,
        "schedulers": beat.schedulers or None,
        "control_plane": len(beat.core),
        "state_age_ms": beat.state_age_ms,
        "workers": {f"{service} {name}": count for (service, name), count in sorted(counted.items())},
        "missing": state.missing(),
    }


def render(value: dict | list[dict], as_json: bool) -> str:
    """A report as text: JSON, a table of rows, or lines of name and value."""
    if as_json:
        return json.dumps(value, indent=1)
    if isinstance(value, dict):
        return "\n".join(f"{name}: {_plain(entry)}" for name, entry in value.items())
    if not value:
        return "(none)"
    return table([name.upper() for name in value[0]], [row.values() for row in value])


def _plain(entry: object) -> str:
    if isinstance(entry, dict):
        return ", ".join(f"{name} {count}" for name, count in entry.items()) or "none"
    if isinstance(entry, list):
        return ", ".join(map(str, entry)) or "none"
    return "unknown" if entry is None else str(entry)
