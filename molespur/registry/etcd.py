"""etcd v3 by its JSON gateway: requests and answers, without I/O.

Source: etcd's API reference (`rpc.proto`: KV, Watch, Lease, Auth) and the gateway's mapping: keys and values
are base64, 64-bit numbers are strings, zero values are left out, streams are one JSON object a line, errors
carry the gRPC code.
"""

import binascii
from base64 import b64decode, b64encode
from collections.abc import Iterable
from dataclasses import replace

import msgspec

from . import model as m
from .model import Change, Fault, Item, Why
from .protocol import Answer, Request, slices

UNAVAILABLE, UNAUTHENTICATED, PERMISSION_DENIED, OUT_OF_RANGE, INVALID = 14, 16, 7, 11, 3
FRAGMENTS_MOST = 100_000  # changes of one revision at most; guards against fragments without end


class Header(msgspec.Struct):
    cluster_id: str = "0"
    member_id: str = "0"
    revision: str = "0"
    raft_term: str = "0"


class KeyValue(msgspec.Struct, gc=False):
    key: str
    value: str = ""
    create_revision: str = "0"
    mod_revision: str = "0"
    version: str = "0"
    lease: str = "0"


class RangeAnswer(msgspec.Struct):
    header: Header
    kvs: list[KeyValue] = []
    more: bool = False
    count: str = "0"


class _Event(msgspec.Struct):
    kv: KeyValue
    type: str = "PUT"


class _Watched(msgspec.Struct):
    header: Header
    watch_id: str = "0"
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"
    cancel_reason: str = ""
    fragment: bool = False
    events: list[_Event] = []


class _StreamError(msgspec.Struct):
    grpc_code: int = 0
    http_code: int = 0
    message: str = ""


class _WatchLine(msgspec.Struct):
    result: _Watched | None = None
    error: _StreamError | None = None


class ErrorBody(msgspec.Struct):
    error: str = ""
    code: int = 0
    message: str = ""


class _Token(msgspec.Struct):
    token: str = ""


_range = msgspec.json.Decoder(RangeAnswer).decode
_line = msgspec.json.Decoder(_WatchLine).decode
_error = msgspec.json.Decoder(ErrorBody).decode
_token = msgspec.json.Decoder(_Token).decode


def text64(text: str) -> str:
    """A key as the gateway wants it."""
    return b64encode(text.encode()).decode()


def key_of(encoded: str) -> str:
    """A key as text.  Raises ValueError where it is none."""
    try:
        return b64decode(encoded, validate=True).decode()
    except (binascii.Error, UnicodeDecodeError) as problem:
        raise ValueError(f"a key that is no base64 text: {problem}") from None


def range_end(prefix: str) -> str:
    """The first key after all that begin with prefix ("\\0": the end of all)."""
    raw = bytearray(prefix.encode())
    while raw and raw[-1] == 0xFF:
        raw.pop()
    if not raw:
        return b64encode(b"\0").decode()
    raw[-1] += 1
    return b64encode(bytes(raw)).decode()


def item_of(kv: KeyValue) -> Item:
    """A stored key.  What can't be read is kept as a text that is no record, and named where records are."""
    try:
        key, created, changed = key_of(kv.key), int(kv.create_revision), int(kv.mod_revision)
    except ValueError:
        return Item(kv.key, b"not a key: " + kv.key[:64].encode(), 0, 0)
    try:
        return Item(key, b64decode(kv.value, validate=True), created, changed)
    except binascii.Error:
        return Item(key, b"not base64: " + kv.value[:64].encode(), created, changed)


def fault_of(code: int, message: str, http: int = 0) -> Fault:
    """What a gRPC status means for what comes next."""
    text = f"code {code}: {message}" if code else f"status {http}: {message}"
    if code == UNAUTHENTICATED or "invalid auth token" in message or http == 401:
        return Fault(Why.TOKEN, text)
    if code == OUT_OF_RANGE:
        return Fault(Why.BEHIND if "future" in message else Why.COMPACTED, text)
    if code == PERMISSION_DENIED or (code == INVALID and "authentication failed" in message):
        return Fault(Why.DENIED, text)
    if "no leader" in message:
        return Fault(Why.NO_LEADER, text)
    return Fault(Why.BROKEN, text)


class Etcd:
    """The protocol for one prefix."""

    long_poll = False

    def __init__(
        self, prefix: str, page: int = 500, user: str = "", password: str = "", serializable: bool = False
    ):
        self.prefix, self.page_size, self.serializable = prefix, page, serializable
        self.user, self.password, self.token = user, password, ""

    def request(self, target: str, body: dict) -> Request:
        """A call of the gateway, with the token if there is one."""
        headers = (("Authorization", self.token),) if self.token else ()
        return Request("POST", target, msgspec.json.encode(body), headers)

    # -- Authentication --------------------------------------------------------------------------

    def authenticate(self) -> Request:
        body = {"name": self.user, "password": self.password}
        return Request("POST", "/v3/auth/authenticate", msgspec.json.encode(body))

    def authenticated(self, turn: int, answer: Answer) -> m.Event:
        if answer.status != 200:
            return m.Failed(turn, self.refused(answer))
        self.token = _token(answer.body).token
        return m.Granted(turn)

    # -- Full read -------------------------------------------------------------------------------

    def read(self, action: m.ReadPage) -> Request:
        body = {
            "key": text64(self.prefix if action.key is None else action.key),
            "range_end": range_end(self.prefix),
            "limit": str(self.page_size),
        }
        if action.revision:
            body["revision"] = str(action.revision)
        if self.serializable and not action.proof:
            body["serializable"] = True
        return self.request("/v3/kv/range", body)

    def page(self, turn: int, answer: Answer) -> tuple[m.Event, Iterable[tuple[Item, ...]]]:
        if answer.status != 200:
            return m.Failed(turn, self.refused(answer)), ()
        got = _range(answer.body)
        # the next page begins right behind this one's last key
        follows = key_of(got.kvs[-1].key) + "\0" if got.more and got.kvs else None
        event = m.PageRead(turn, got.header.cluster_id, int(got.header.revision), (), follows)
        return event, slices(got.kvs, item_of)

    # -- Watch -----------------------------------------------------------------------------------

    def watch(self, action: m.OpenWatch) -> Request:
        create = {
            "key": text64(self.prefix),
            "range_end": range_end(self.prefix),
            "start_revision": str(action.revision + 1),
            "progress_notify": True,
            "fragment": True,
        }
        request = self.request("/v3/watch", {"create_request": create})
        # a member cut off from its leader then ends the watch in place of saying nothing
        return replace(request, headers=(*request.headers, ("Grpc-Metadata-hasleader", "true")))

    def reader(self, turn: int) -> "WatchLines":
        return WatchLines(turn)

    def refused(self, answer: Answer) -> Fault:
        try:
            body = _error(answer.body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            body = ErrorBody(message=answer.body[:100].decode("latin-1"))
        return fault_of(body.code, body.message or body.error, answer.status)


class WatchLines:
    """Reads one watch: puts fragments together, tells progress and cancelling."""

    def __init__(self, turn: int):
        self.turn = turn
        self._parts: list[Change] = []

    def line(self, text: bytes) -> Iterable[m.Event]:
        got = _line(text)
        if got.error is not None:
            code = got.error.grpc_code
            return (m.Failed(self.turn, fault_of(code, got.error.message, got.error.http_code)),)
        answer = got.result
        if answer is None:
            raise ValueError("a line with neither result nor error")
        cluster, revision = answer.header.cluster_id, int(answer.header.revision)
        if answer.canceled:
            if int(answer.compact_revision):
                why = Fault(Why.COMPACTED, f"compacted at {answer.compact_revision}")
            else:
                code = PERMISSION_DENIED if "permission denied" in answer.cancel_reason else 0
                why = fault_of(code, answer.cancel_reason or "cancelled")
            return (m.Failed(self.turn, why),)
        if answer.created:
            return (m.WatchOpened(self.turn, cluster),)
        for event in answer.events:
            changed = int(event.kv.mod_revision)
            if event.type == "DELETE":
                self._parts.append(Change(key_of(event.kv.key), changed))
            else:
                self._parts.append(Change(key_of(event.kv.key), changed, item_of(event.kv)))
        if len(self._parts) > FRAGMENTS_MOST:
            raise ValueError("fragments without end")
        if answer.fragment:
            return ()
        parts, self._parts = tuple(self._parts), []
        # the header's revision may be ahead of what this answer holds: only without events is it progress
        return (m.Changed(self.turn, cluster, parts[-1].revision if parts else revision, parts),)
