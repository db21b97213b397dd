"""The one place where a downstream request is checked, before it becomes a stream.

Whatever is wrong with it raises a Rejection, which the connection answers with a 4xx and a close; nothing of
such a request goes upstream.
"""

import re
from hashlib import blake2b

import h11

from .host import Arrival
from .upstream import Payload

BODY_MOST = 64 * 1024
ATTRS = {"slots": "slots", "memory": "memory", "x1": "slots", "x2": "memory", "ramUnits": "memory"}
_whole = re.compile(rb"[0-9]{1,9}").fullmatch


class Rejection(Exception):
    """A request that can't be taken in, with its status."""

    def __init__(self, status: int, why: str, job_class: str | None = None):
        super().__init__(why[:160])
        self.status, self.job_class = status, job_class  # the class of a job that is refused here


def check_framing(request: h11.Request, head: bytes) -> int:
    """The length of the body as the head tells it, 0 where it does not; head holds the bytes as they came."""
    fields = dict(request.headers)
    if b"transfer-encoding" in fields and b"content-length" in fields:
        # guards against a request hidden in another's body: we and a worker might read its end differently
        raise Rejection(400, "both Content-Length and Transfer-Encoding")
    if head.partition(b"\r\n\r\n")[0].lower().count(b"\ncontent-length:") > 1:
        # guards against lengths of which the parser has kept one, where another reader might keep the other
        raise Rejection(400, "Content-Length is given twice")
    length = int(fields.get(b"content-length", b"0"))
    if length > BODY_MOST:
        raise Rejection(413, "the body is too large")
    return length


def class_of(request: h11.Request) -> str:
    """The class that the path names."""
    return request.target.decode("latin-1").lstrip("/").partition("?")[0].partition("/")[0]


def check_request(request: h11.Request, body: bytes, classes: dict) -> Arrival:
    """A whole request in the host's terms."""
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
    if time_left is not None and not _whole(time_left.encode("latin-1")):
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
        # any text is a key; the module only compares keys
        int.from_bytes(blake2b(key.encode(), digest_size=6).digest()) if key else None,
        None if cost is None else cost / 1000,
        headers.get(b"x-tenant-id"),
        headers.get(b"idempotency-key", ""),
    )


def _number(headers: dict, name: bytes, default):
    """A header that is a number of at least 0."""
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
