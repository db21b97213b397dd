"""Consul by blocking queries, on keys or on a service's health: requests and answers, without I/O.

Source: Consul's HTTP API reference (KV, Health, Blocking Queries, Consistency Modes).  An answer is the whole
list at an index; there are no revisions to read at, and no cluster id.
"""

import binascii
from base64 import b64decode
from collections.abc import Iterable
from urllib.parse import quote

import msgspec

from . import model as m
from .model import Fault, Item, Why
from .protocol import Answer, Request, slices
from .records import Record, encode

META = ("az", "model", "pod_group", "state", "capacity_hint", "boot_ms")


class Pair(msgspec.Struct, rename="pascal", gc=False):
    key: str
    value: str | None = None
    create_index: int = 0
    modify_index: int = 0
    lock_index: int = 0
    flags: int = 0
    session: str = ""


class _Service(msgspec.Struct, rename="pascal"):
    id: str = msgspec.field(name="ID")
    address: str = ""
    port: int = 0
    meta: dict[str, str] | None = None
    create_index: int = 0
    modify_index: int = 0


class _Node(msgspec.Struct, rename="pascal"):
    address: str = ""


class _Check(msgspec.Struct, rename="pascal"):
    status: str = "passing"
    check_id: str = msgspec.field(name="CheckID", default="")


class _Healthy(msgspec.Struct, rename="pascal"):
    node: _Node
    service: _Service
    checks: list[_Check] = []


_pairs = msgspec.json.Decoder(list[Pair]).decode
_services = msgspec.json.Decoder(list[_Healthy]).decode


def item_of(pair: Pair) -> Item:
    """A stored key; a value that is no base64 is kept as it came and named as no record."""
    try:
        value = b64decode(pair.value or "", validate=True)
    except binascii.Error:
        value = b"not base64: " + (pair.value or "")[:64].encode()
    return Item(pair.key, value, pair.create_index, pair.modify_index)


def service_item(one: _Healthy) -> Item | None:
    """A service's instance as a record: leaving in maintenance, not listed with a critical check."""
    maintenance = any("_maintenance" in check.check_id for check in one.checks)
    if not maintenance and any(check.status == "critical" for check in one.checks):
        return None
    service, meta = one.service, one.service.meta or {}
    known = {name: meta[name] for name in META if name in meta}
    host = service.address or one.node.address
    fields = known | {"uid": service.id, "endpoint": f"{host}:{service.port}"}
    if maintenance:
        fields["state"] = "leaving"
    try:
        value = encode(msgspec.convert(fields, Record, strict=False))
    except msgspec.ValidationError:
        value = msgspec.json.encode(fields)  # named as no record where records are read
    return Item(service.id, value, service.create_index, service.modify_index)


class Consul:
    """The protocol for one prefix, or for one service."""

    long_poll = True

    def __init__(
        self, prefix: str, service: str = "", token: str = "", wait_ms: float = 30_000.0,
        stale: bool = False, max_stale_ms: float = 10_000.0,
    ):  # fmt: skip
        self.prefix, self.service, self.token = prefix, service, token
        self.wait_ms, self.stale, self.max_stale_ms = wait_ms, stale, max_stale_ms

    def request(self, method: str, target: str, body: bytes = b"") -> Request:
        """A call of the API, with the token if there is one."""
        return Request(method, target, body, (("X-Consul-Token", self.token),) if self.token else ())

    def authenticate(self) -> Request:
        raise NotImplementedError("Consul's token is given, not asked for")

    def authenticated(self, turn: int, answer: Answer) -> m.Event:
        raise NotImplementedError("Consul's token is given, not asked for")

    def _list(self, *options: str) -> Request:
        if self.service:
            target = f"/v1/health/service/{quote(self.service, safe='')}"
        else:
            target, options = f"/v1/kv/{quote(self.prefix)}", ("recurse", *options)
        return self.request("GET", target + ("?" + "&".join(options) if options else ""))

    def read(self, action: m.ReadPage) -> Request:
        if action.proof:
            return self._list("consistent")
        return self._list("stale") if self.stale else self._list()

    def watch(self, action: m.OpenWatch) -> Request:
        mode = ("stale",) if self.stale else ()
        # an index must be above 0, or the query does not wait
        return self._list(f"index={max(action.revision, 1)}", f"wait={int(self.wait_ms)}ms", *mode)

    def page(self, turn: int, answer: Answer) -> tuple[m.Event, Iterable[tuple[Item, ...]]]:
        got = self._got(turn, answer)
        if isinstance(got, m.Failed):
            return got, ()
        index, items = got
        if index <= 0:
            return m.Failed(turn, Fault(Why.BROKEN, f"index {index}")), ()
        return m.PageRead(turn, "consul", index, (), None, self._proven(answer)), items

    def listed(self, turn: int, answer: Answer) -> tuple[m.Event, Iterable[tuple[Item, ...]]]:
        """A blocking query's answer."""
        got = self._got(turn, answer)
        if isinstance(got, m.Failed):
            return got, ()
        return m.Listed(turn, got[0], (), self._proven(answer)), got[1]

    def _proven(self, answer: Answer) -> bool:
        """Whether the leader stands behind it: it answered itself, or was heard from just now."""
        return int(answer.headers.get("x-consul-lastcontact") or 0) == 0

    def _got(self, turn: int, answer: Answer):
        if answer.status not in (200, 404):
            return m.Failed(turn, self.refused(answer))
        if answer.headers.get("x-consul-knownleader", "true") != "true":
            return m.Failed(turn, Fault(Why.NO_LEADER, "the member knows no leader"))
        contact = int(answer.headers.get("x-consul-lastcontact") or 0)
        if contact > self.max_stale_ms:
            return m.Failed(turn, Fault(Why.BEHIND, f"{contact} ms without the leader"))
        index = answer.headers.get("x-consul-index")
        if index is None:
            # guards against a 404, or anything else, that is not the registry's
            return m.Failed(turn, Fault(Why.BROKEN, f"status {answer.status} without an index"))
        if answer.status == 404:
            return int(index), ()
        if self.service:
            shown = [item for one in _services(answer.body) if (item := service_item(one))]
            return int(index), slices(shown, lambda item: item)
        return int(index), slices(_pairs(answer.body), item_of)

    def reader(self, turn: int):
        raise NotImplementedError("a blocking query is no stream")

    def refused(self, answer: Answer) -> Fault:
        text = f"status {answer.status}: {answer.body[:100].decode('latin-1')}"
        if answer.status in (401, 403):
            return Fault(Why.DENIED, text)
        return Fault(Why.NO_LEADER if b"No cluster leader" in answer.body else Why.BROKEN, text)
