"""etcd's JSON gateway of the stand-in registry: keys, transactions, leases, watches."""

from base64 import b64decode, b64encode
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import msgspec
import trio

from .registry_member import Member, Refusal
from .store import Compacted, Future, Store, Stored


def decoded(value) -> str:
    """A key or value as text."""
    return b64decode(value or "").decode()


def encoded(value: str | bytes) -> str:
    """A key or value as it goes over the wire."""
    return b64encode(value.encode() if isinstance(value, str) else value).decode()


@dataclass
class Access:
    """Who may call, and the tokens handed out so far; no user: everybody may."""

    user: str = ""
    password: str = ""
    tokens: set[str] = field(default_factory=set)
    _handed: int = 0

    def admits(self, user: str | None, password: str | None) -> bool:
        """Whether these are the name and password that are asked for."""
        return bool(self.user) and (user, password) == (self.user, self.password)

    def hand_out_token(self) -> str:
        """One more token that is good until all are forgotten."""
        self._handed += 1
        token = f"token.{self._handed}"
        self.tokens.add(token)
        return token


class EtcdGateway:
    """The protocol on a store; each member answers as far as it has come."""

    def __init__(self, store: Store, access: Access):
        self.store, self.access = store, access

    def _header(self, member: Member) -> dict:
        return {
            "cluster_id": str(self.store.cluster), "member_id": str(member.number + 1),
            "revision": str(member.revision), "raft_term": "2",
        }  # fmt: skip

    @staticmethod
    def _kv(key: str, stored: Stored | None, revision: int = 0) -> dict:
        if stored is None:
            return {"key": encoded(key), "mod_revision": str(revision)}
        kv = {
            "key": encoded(key), "value": encoded(stored.value), "create_revision": str(stored.create),
            "mod_revision": str(stored.mod), "version": str(stored.version),
        }  # fmt: skip
        return kv | ({"lease": str(stored.lease)} if stored.lease else {})

    @staticmethod
    def _span(given: dict) -> tuple[str, str | None]:
        """Where a range begins and ends; etcd's "\\0" ends behind all keys."""
        start = decoded(given.get("key"))
        if not given.get("range_end"):
            return start, start + "\0"
        end = decoded(given["range_end"])
        return start, None if end == "\0" else end

    async def answer(self, member: Member, what: str, headers: dict, body: bytes):
        """(status, headers, body or lines) for a call below `/v3/`.  Raises Refusal, Compacted or Future."""
        given = msgspec.json.decode(body or b"{}")
        if what == "auth/authenticate":
            if not self.access.admits(given.get("name"), given.get("password")):
                raise Refusal(3, "etcdserver: authentication failed, invalid user ID or password")
            token = self.access.hand_out_token()
            return 200, [], msgspec.json.encode({"header": self._header(member), "token": token})
        if self.access.user and headers.get("authorization") not in self.access.tokens:
            raise Refusal(16, "etcdserver: invalid auth token", 401)
        if member.faults.no_leader:
            raise Refusal(14, "etcdserver: no leader", 503)
        if what == "watch":
            return 200, [], self._watch(member, given["create_request"], headers.get("authorization"))
        if what == "lease/keepalive":
            return 200, [], self._keep_alive(member, int(given["ID"]))
        calls = {
            "kv/range": self._range, "kv/put": self._put, "kv/deleterange": self._delete, "kv/txn": self._txn,
            "kv/compaction": self._compaction, "lease/grant": self._grant, "lease/revoke": self._revoke,
            "kv/lease/revoke": self._revoke, "lease/timetolive": self._left,
            "kv/lease/timetolive": self._left,
            "maintenance/status": self._status,
        }  # fmt: skip
        if what not in calls:
            raise Refusal(5, "Not Found", 404)
        done = calls[what](member, given)
        return 200, [], msgspec.json.encode({"header": self._header(member)} | done)

    def _range(self, member: Member, given: dict) -> dict:
        asked = int(given.get("revision", 0))
        if asked > member.revision:
            raise Future
        start, end = self._span(given)
        found, more = self.store.range(start, end, asked or member.revision, int(given.get("limit", 0)))
        kvs = [self._kv(key, stored) for key, stored in found]
        return {"kvs": kvs, "count": str(len(kvs))} | ({"more": True} if more else {})

    def _put(self, _member: Member, given: dict) -> dict:
        self.store.commit([self._change(given)])
        return {}

    def _change(self, put: dict) -> tuple[str, bytes, int]:
        """A put as a change; with ignore_lease the key keeps its lease."""
        key, lease = decoded(put["key"]), int(put.get("lease", 0))
        if put.get("ignore_lease"):
            if (old := self.store.get(key)) is None:
                raise Refusal(11, "etcdserver: key not found")
            lease = old.lease
        if lease and lease not in self.store.leases:
            raise Refusal(5, "etcdserver: requested lease not found", 404)
        return key, b64decode(put.get("value", "")), lease

    def _delete(self, _member: Member, given: dict) -> dict:
        found, _ = self.store.range(*self._span(given))
        self.store.delete(*(key for key, _ in found))
        return {"deleted": str(len(found))}

    def _holds(self, compare: dict) -> bool:
        stored = self.store.get(decoded(compare["key"]))
        target = compare.get("target", "VERSION")
        names = {"VERSION": "version", "CREATE": "create", "MOD": "mod", "VALUE": "value", "LEASE": "lease"}
        have = getattr(stored, names[target]) if stored else (b"" if target == "VALUE" else 0)
        if target == "VALUE":
            want = b64decode(compare.get("value", ""))
        else:
            field = {"CREATE": "create_revision", "MOD": "mod_revision"}.get(target, target.lower())
            want = int(compare.get(field, 0))
        kind = compare.get("result", "EQUAL")
        return {
            "EQUAL": have == want,
            "NOT_EQUAL": have != want,
            "GREATER": have > want,
            "LESS": have < want,
        }[kind]

    def _txn(self, member: Member, given: dict) -> dict:
        """All puts and deletes of a branch are committed at one revision."""
        good = all(self._holds(compare) for compare in given.get("compare", []))
        changes, answers = [], []
        for one in given.get("success" if good else "failure", []):
            one = {name.lower().replace("_", ""): value for name, value in one.items()}
            if put := one.get("requestput"):
                changes.append(self._change(put))
                answers.append({"response_put": {}})
            elif delete := one.get("requestdeleterange"):
                found, _ = self.store.range(*self._span(delete))
                changes += [(key, None, 0) for key, _ in found]
                answers.append({"response_delete_range": {"deleted": str(len(found))}})
            elif "requestrange" in one:
                answers.append({"response_range": self._range(member, one["requestrange"])})
        self.store.commit(changes)
        return ({"succeeded": True} if good else {}) | {"responses": answers}

    def _compaction(self, _member: Member, given: dict) -> dict:
        self.store.compact(int(given["revision"]))
        return {}

    def _grant(self, _member: Member, given: dict) -> dict:
        ident = self.store.grant(float(given["TTL"]), int(given.get("ID", 0)))
        return {"ID": str(ident), "TTL": str(given["TTL"])}

    def _revoke(self, _member: Member, given: dict) -> dict:
        if not self.store.revoke(int(given["ID"])):
            raise Refusal(5, "etcdserver: requested lease not found", 404)
        return {}

    def _left(self, _member: Member, given: dict) -> dict:
        lease = self.store.leases.get(int(given["ID"]))
        left = int(lease.until - trio.current_time()) if lease else -1
        keys = [encoded(key) for key in sorted(lease.keys)] if lease and given.get("keys") else []
        return {"ID": str(given["ID"]), "TTL": str(left), "keys": keys}

    def _status(self, _member: Member, _given: dict) -> dict:
        return {"version": "3.5.0", "dbSize": "0", "leader": "1", "raftIndex": "1", "raftTerm": "2"}

    async def _keep_alive(self, member: Member, ident: int) -> AsyncIterator[dict]:
        ttl = self.store.keep_alive(ident)
        yield {"result": {"header": self._header(member), "ID": str(ident), "TTL": str(int(ttl))}}

    async def _watch(self, member: Member, given: dict, token: str | None) -> AsyncIterator[dict]:
        start, end = self._span(given)
        store, cluster = self.store, self.store.cluster
        seen = int(given.get("start_revision", 0)) - 1
        if seen < 0:
            seen = member.revision
        yield {"result": {"header": self._header(member), "watch_id": "0", "created": True}}
        while True:
            if store.cluster != cluster:
                return
            if self.access.user and token not in self.access.tokens:
                yield self._cancelled(member, {"cancel_reason": "etcdserver: invalid auth token"})
                return
            try:
                new = store.since(seen, member.revision) if seen < member.revision else []
            except Compacted:
                yield self._cancelled(member, {"compact_revision": str(store.compacted)})
                return
            seen = max(seen, member.revision)
            mine = [e for e in new if e.key >= start and (end is None or e.key < end)]
            if mine:
                for _ in range(2 if member.faults.repeat else 1):
                    for line in self._told(member, mine, bool(given.get("fragment"))):
                        yield line
            changed = store._changed
            if seen >= member.revision:
                with trio.move_on_after(5) as idle:
                    await changed.wait()
                if idle.cancelled_caught and given.get("progress_notify"):
                    yield {"result": {"header": self._header(member), "watch_id": "0"}}

    def _cancelled(self, member: Member, why: dict) -> dict:
        return {"result": {"header": self._header(member), "watch_id": "0", "canceled": True} | why}

    def _told(self, member: Member, events, may_fragment: bool) -> list[dict]:
        told = []
        for event in events:
            kv = self._kv(event.key, event.stored, event.revision)
            told.append({"kv": kv} if event.stored else {"type": "DELETE", "kv": kv})
        size = member.faults.fragment if may_fragment and member.faults.fragment else len(told)
        lines = []
        for n in range(0, len(told), size):
            result = {"header": self._header(member), "watch_id": "0", "events": told[n : n + size]}
            if n + size < len(told):
                result["fragment"] = True
            lines.append({"result": result})
        return lines
