"""Parses a client's request: what decides its route and workers, and the headers that are forwarded."""

from dataclasses import dataclass

from ...policy.pair import Demand, EngineShape
from ..errors import ErrorKind, FleetError
from ..settings.configuration import Limits, Route, Service

HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"te", b"trailer", b"upgrade",
     b"content-length", b"proxy-authorization", b"expect")
)  # fmt: skip
SET_BY_SCHEDULER = frozenset(
    (b"molespur-deadline-ms", b"molespur-expected-instance", b"molespur-serving-phase", b"kv-from",
     b"priority")
)  # fmt: skip
NOT_FORWARDED = HOP_BY_HOP | SET_BY_SCHEDULER
END_TO_END_PREFIX = b"molespur-"  # a `Connection` header can't remove these
DEFAULT_DEADLINE_MS = 30_000.0
MAX_SEGMENTS = 64  # of a prompt's prefix; one with more, or with longer ids, is not used for placement
MAX_SEGMENT_ID_BYTES = 64


@dataclass(slots=True)
class ClientRequest:
    """One complete request.  `target` is path and query as sent; header names keep their case."""

    method: str
    target: bytes
    path: str
    host: str
    headers: list[tuple[bytes, bytes]]
    attempt_id: bytes
    deadline_ms: float
    body: bytes | bytearray = b""
    usage: bytes = b""
    prefix: bytes = b""
    last_event_id: bytes = b""


def read_head(scope, limits: Limits) -> ClientRequest:
    """Parse a request from its ASGI scope.  Raises FleetError."""
    raw_path, query = scope["raw_path"], scope["query_string"]
    headers, named, size = [], {}, len(raw_path)
    nominated = set()
    for name, value in scope["headers"]:
        lower = name.lower()
        size += len(name) + len(value) + 4
        if lower == b"connection":
            nominated.update(token.strip().lower() for token in value.split(b","))
        named.setdefault(lower, value)
        if lower not in NOT_FORWARDED:
            headers.append((name, value))
    if size > limits.max_header_bytes:
        raise FleetError(ErrorKind.HEADERS_TOO_LARGE)
    nominated = {name for name in nominated if not name.startswith(END_TO_END_PREFIX)}
    if nominated - {b"close", b"keep-alive"}:
        headers = [(name, value) for name, value in headers if name.lower() not in nominated]
    attempt_id = named.get(b"molespur-attempt-id", b"")
    host = named.get(b"host", b"").decode("latin1")
    if not attempt_id or not host:
        raise FleetError(ErrorKind.MALFORMED, "headers Host and Molespur-Attempt-Id are required")
    return ClientRequest(
        method=scope["method"],
        target=raw_path + (b"?" + query if query else b""),
        path=raw_path.decode("latin1"),
        host=host,
        headers=headers,
        attempt_id=attempt_id,
        deadline_ms=_number(named.get(b"molespur-deadline-ms"), DEFAULT_DEADLINE_MS),
        usage=named.get(b"molespur-token-usage", b""),
        prefix=named.get(b"molespur-prompt-prefix", b""),
        last_event_id=named.get(b"last-event-id", b""),
    )


def demand_of(
    request: ClientRequest, route: Route, service: Service, now: float, lowest_priority: bool
) -> Demand:
    """What the policy has to know of the request."""
    engine, tokens, segments = None, 0.0, ()
    if service.engine is not None and request.usage:
        shape = service.engine
        engine = EngineShape(shape.kv_token_bytes, shape.bandwidth_mbps, shape.kv_capacity_tokens)
        tokens = _number(request.usage.partition(b",")[0], 0.0)
        segments = _segments(request.prefix)
    deadline = min(request.deadline_ms, route.timeout_ms)
    return Demand(
        route=route.name,
        target_at=now + min(route.target_latency_ms, deadline),
        deadline_at=now + deadline,
        engine=engine,
        tokens=tokens,
        segments=segments,
        repeatable=route.repeatable,
        lowest_priority=lowest_priority,
    )


def _segments(header: bytes) -> tuple[tuple[str, float], ...]:
    """The prompt's prefix segments in order; none for a header that can't be parsed."""
    segments = []
    items = header.decode("latin1").split(",")
    if len(items) > MAX_SEGMENTS:
        return ()
    for item in items:
        segment_id, _, tokens = item.strip().partition(":")
        if not 0 < len(segment_id) <= MAX_SEGMENT_ID_BYTES or not tokens.isdigit():
            return ()
        segments.append((segment_id, float(tokens)))
    return tuple(segments)


def _number(value: bytes | None, default: float) -> float:
    try:
        number = float(value) if value else default
    except ValueError:
        return default
    return number if 0 <= number < 1e9 else default
