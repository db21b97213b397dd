"""Consul's HTTP API of the stand-in registry: key/value, sessions, services and their health."""

from collections.abc import Sequence
from urllib.parse import unquote

import msgspec
import trio

from .etcd_gateway import encoded
from .registry_member import Member
from .store import Store

SERVICES = "\x00service/"  # services live beside the keys, out of reach of prefixes


class ConsulApi:
    """The protocol on a store; each member answers as far as it has come."""

    def __init__(self, store: Store, members: Sequence[Member], acl_token: str):
        self.store, self.members, self.acl_token = store, members, acl_token

    def _headers(self, member: Member) -> list[tuple[str, str]]:
        return [
            ("Content-Type", "application/json"), ("X-Consul-Index", str(member.revision)),
            ("X-Consul-KnownLeader", "false" if member.faults.no_leader else "true"),
            ("X-Consul-LastContact", str(member.faults.last_contact_ms)),
        ]  # fmt: skip

    async def answer(
        self, member: Member, method: str, path: str, query: dict, headers: dict, body: bytes
    ) -> tuple:
        """(status, headers, body) for a call below `/v1/`."""
        if self.acl_token and headers.get("x-consul-token") != self.acl_token:
            return 403, [], b"Permission denied"
        if member.faults.no_leader and "stale" not in query:
            return 500, [], b"No cluster leader"
        if method == "GET" and "index" in query:
            await self._block(member, int(query["index"]), query.get("wait", "300s"))
        if "consistent" in query:
            member = self._leader(member)
        area, _, rest = path.partition("/")
        rest = unquote(rest)
        if area == "kv":
            return self._key_value(member, method, rest, query, body)
        if area == "session":
            return self._session(method, rest, body)
        if area == "health" and rest.startswith("service/"):
            return self._health(member, rest.removeprefix("service/"), query)
        if area == "agent":
            return self._agent(rest, query, body)
        if path == "status/leader":
            return 200, [], b'"127.0.0.1:8300"'
        return 404, [], b"not found"

    def _leader(self, member: Member) -> Member:
        return next((m for m in self.members if not m.faults.frozen), member)

    async def _block(self, member: Member, index: int, wait: str) -> None:
        """Until the index has moved, or the wait is over."""
        number = float(wait.rstrip("msh") or 0)
        seconds = number / 1000 if wait.endswith("ms") else number * (60 if wait.endswith("m") else 1)
        with trio.move_on_after(min(seconds, 600)):
            while member.revision == index:
                await self.store.wait()

    def _key_value(self, member: Member, method: str, key: str, query: dict, body: bytes):
        store = self.store
        if method == "GET":
            end = key + "\U0010ffff" if "recurse" in query or "keys" in query else key + "\0"
            found, _ = store.range(key, end, member.revision)
            if not found:
                return 404, self._headers(member), b""
            if "raw" in query:
                return 200, self._headers(member), found[0][1].value
            if "keys" in query:
                return 200, self._headers(member), msgspec.json.encode([k for k, _ in found])
            pairs = [
                {"LockIndex": 1 if s.lease else 0, "Key": k, "Flags": 0, "Value": encoded(s.value),
                 "CreateIndex": s.create, "ModifyIndex": s.mod}
                | ({"Session": str(s.lease)} if s.lease else {})
                for k, s in found
            ]  # fmt: skip
            return 200, self._headers(member), msgspec.json.encode(pairs)
        old, good = store.get(key), True
        if "cas" in query:
            good = int(query["cas"]) == (old.mod if old else 0)
        if "acquire" in query:
            session = int(query["acquire"]) if query["acquire"].isdecimal() else -1
            if session not in store.leases:
                return 500, [], b"invalid session"
            good = good and (old is None or old.lease in (0, session))
            if good:
                store.put(key, body, session)
        elif method == "PUT" and good:
            store.put(key, body, old.lease if old else 0)
        elif method == "DELETE" and good:
            end = key + "\U0010ffff" if "recurse" in query else key + "\0"
            store.delete(*(k for k, _ in store.range(key, end)[0]))
        return 200, [], b"true" if good else b"false"

    def _session(self, method: str, rest: str, body: bytes):
        what, _, ident = rest.partition("/")
        if what == "create":
            given = msgspec.json.decode(body or b"{}")
            ttl = float(str(given.get("TTL", "3600s")).rstrip("s"))
            return 200, [], msgspec.json.encode({"ID": str(self.store.grant(ttl))})
        number = int(ident) if ident.isdecimal() else -1
        if what == "renew":
            ttl = self.store.keep_alive(number)
            if not ttl:
                return 404, [], f"Session id '{ident}' not found".encode()
            return 200, [], msgspec.json.encode([{"ID": ident, "TTL": f"{int(ttl)}s", "Behavior": "delete"}])
        if what == "destroy":
            self.store.revoke(number)
            return 200, [], b"true"
        return 404, [], b"not found"

    def _agent(self, rest: str, query: dict, body: bytes):
        if rest == "service/register":
            # Consul reads the names of fields whatever their case
            given = {name.lower(): value for name, value in msgspec.json.decode(body).items()}
            name, ident = given["name"], given.get("id") or given["name"]
            self.store.put(f"{SERVICES}{name}/{ident}", msgspec.json.encode(given | {"status": "passing"}))
            return 200, [], b""
        what, _, ident = rest.removeprefix("service/").partition("/")
        found = [(k, s) for k, s in self.store.range(SERVICES, None)[0] if k.endswith(f"/{ident}")]
        if what == "deregister":
            self.store.delete(*(k for k, _ in found))
        elif what in ("maintenance", "status") and found:
            key, stored = found[0]
            given = msgspec.json.decode(stored.value)
            if what == "status":
                given["status"] = query["is"]
            else:
                given["maintenance"] = query.get("enable") == "true"
            self.store.put(key, msgspec.json.encode(given))
        else:
            return 404, [], b"unknown service"
        return 200, [], b""

    def _health(self, member: Member, name: str, query: dict):
        found, _ = self.store.range(f"{SERVICES}{name}/", f"{SERVICES}{name}0", member.revision)
        answers = []
        for key, stored in found:
            given = msgspec.json.decode(stored.value)
            ident = key.rsplit("/", 1)[-1]
            checks = [{"CheckID": f"service:{ident}", "Status": given["status"]}]
            if given.get("maintenance"):
                checks.append({"CheckID": f"_service_maintenance:{ident}", "Status": "critical"})
            if "passing" in query and any(check["Status"] != "passing" for check in checks):
                continue
            service = {
                "ID": ident, "Service": name,
                "Address": given.get("address", ""), "Port": given.get("port", 0),
                "Meta": given.get("meta") or {}, "Tags": given.get("tags") or [],
                "CreateIndex": stored.create, "ModifyIndex": stored.mod,
            }  # fmt: skip
            answers.append(
                {"Node": {"Node": "n", "Address": "127.0.0.1"}, "Service": service, "Checks": checks}
            )
        return 200, self._headers(member), msgspec.json.encode(answers)
