"""Checks each downstream request before it becomes a stream.

An invalid request raises a Rejection.  The connection responds to it with an error status and closes, and
nothing of the request is sent upstream.
"""

import re
from hashlib import blake2b

import h11

from .host import Arrival
from .upstream import Payload

MAX_BODY_BYTES = 64 * 1024
ATTRS = {"slots": "slots", "memory": "memory", "x1": "slots", "x2": "memory", "ramUnits": "memory"}
_is_integer = re.compile(rb"[0-9]{1,9}").fullmatch


class Rejection(Exception):
    """An invalid request or one that cannot be accepted, with the status of its response."""

    def __init__(self, status: int, reason: str, job_class: str | None = None):
        super().__init__(reason[:160])
        self.status, self.job_class = status, job_class  # the class, if this is a valid job that is refused


def check_framing(request: h11.Request, head: bytes) -> int:
    """The Content-Length, 0 without one.  `head` holds the bytes of the head as they were received."""
    fields = dict(request.headers)
    if b"transfer-encoding" in fields and b"content-length" in fields:
        # Request smuggling: the scheduler and a worker might see the end of the body at different places.
        raise Rejection(400, "both Content-Length and Transfer-Encoding")
    if head.partition(b"\r\n\r\n")[0].lower().count(b"\ncontent-length:") > 1:
        # Request smuggling: the parser keeps one of the lengths, and another reader might use the other.
        raise Rejection(400, "Content-Length is given twice")
    length = int(fields.get(b"content-length", b"0"))
    if length > MAX_BODY_BYTES:
        raise Rejection(413, "the body is too large")
    return length


def class_of(request: h11.Request) -> str:
    """The job class named by the path."""
    return request.target.decode("latin-1").lstrip("/").partition("?")[0].partition("/")[0]


def check_request(request: h11.Request, body: bytes, classes: dict) -> Arrival:
    """Check a complete request and convert it to an Arrival."""
    headers = {}
    for name, value in request.headers:
        if name in headers and name.startswith((b"x-", b"idempotency-")):
            raise Rejection(400, f"{name.decode()} is given twice")
        headers[name] = value.decode("latin-1").strip()
    if request.method != b"POST":
        raise Rejection(405, "jobs arrive by POST")
    name = class_of(request)
    given = headers.get(b"x-priority-class", name)
    cls = classes.get(given)
    if cls is None:
        raise Rejection(404, f"unknown class {given!r}")
    if given != name:
        raise Rejection(400, "the path and X-Priority-Class name different classes")
    request_id = headers.get(b"x-request-id")
    if not request_id:
        raise Rejection(400, "X-Request-ID is missing")
    if cls.key_ttl_ms and cls.effect.value == "keyed" and not headers.get(b"idempotency-key"):
        raise Rejection(400, "Idempotency-Key is missing")
    time_left = headers.get(b"x-timeout-ms")
    if time_left is not None and not _is_integer(time_left.encode("latin-1")):
        raise Rejection(400, "x-timeout-ms: not whole milliseconds")
    cost = _number(headers, b"x-cost", None)
    attrs = {"slots": 1.0, "memory": 0.0}
    for part in filter(None, headers.get(b"x-attrs", "").split(",")):
        key, _, value = part.partition("=")
        if key.strip() in ATTRS:
            attrs[ATTRS[key.strip()]] = _number({b"x-attrs": value}, b"x-attrs", 0.0)
    key = headers.get(b"x-route-key")
    return Arrival(
        given,
        cls.deadline_ms if time_left is None else min(float(time_left), cls.deadline_ms),
        Payload(request_id, request.method, request.target, tuple(request.headers.raw_items()), body),
        attrs["slots"] or 1.0,
        attrs["memory"],
        # Any text is a valid key: the decision module only compares keys.
        int.from_bytes(blake2b(key.encode(), digest_size=6).digest()) if key else None,
        None if cost is None else cost / 1000,
        headers.get(b"x-tenant-id"),
        headers.get(b"idempotency-key", ""),
    )


def _number(headers: dict, name: bytes, default):
    """The value of a header that must be a number of at least 0."""
    text = headers.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < float("inf"):
        raise Rejection(400, f"{name.decode()}: not a number of at least 0")
    return value
