"""The shards as each control-plane process tells of them in its figures."""

from collections.abc import Iterable

import httpx

TIMEOUT_S = 2.0
COLUMNS = {
    "leader": "molespur_shard_leader",
    "term": "molespur_shard_term",
    "committed": "molespur_shard_commit_index",
    "unsynced": "molespur_shard_unsynced_entries",
    "voters": "molespur_shard_voters",
    "silence_ms": "molespur_shard_leader_silence_ms",
}


def shard_rows(addresses: Iterable[str], transport: httpx.BaseTransport | None = None) -> list[dict]:
    """One row for each shard and control-plane process, by shard; one for a process not read."""
    rows = []
    with httpx.Client(timeout=TIMEOUT_S, transport=transport, trust_env=False) as client:
        for address in sorted(addresses):
            try:
                response = client.get(f"http://{address}/api/metrics")
                response.raise_for_status()
                rows.extend(rows_of(address, response.text))
            except (httpx.HTTPError, ValueError) as error:
                rows.append(_unread(address, error))
    return sorted(rows, key=lambda row: (row["shard"], row["process"]))


def rows_of(address: str, text: str) -> list[dict]:
    """The rows that one process's figures give.  Raises ValueError for text that can't be read."""
    from prometheus_client.parser import text_string_to_metric_families

    values: dict[str, dict[str, float]] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if "shard" in sample.labels:
                values.setdefault(sample.labels["shard"], {})[sample.name] = sample.value
    return [
        {"shard": shard, "process": address, **{name: _whole(told.get(key)) for name, key in COLUMNS.items()}}
        for shard, told in values.items()
    ]


def _whole(value: float | None) -> int | str:
    return "?" if value is None else int(value)


def _unread(address: str, error: Exception) -> dict:
    row = {"shard": "?", "process": address, **dict.fromkeys(COLUMNS, "?")}
    row["leader"] = f"not read: {type(error).__name__}"
    return row
