"""Requests that write, in both protocols, without I/O: records, leases (etcd) and sessions (Consul).

`done` reads a write's answer: True where it took place, False where what it expected was not so (another
writer was first), or a fault.
"""

from base64 import b64encode
from urllib.parse import quote

import msgspec

from .consul import Consul
from .etcd import Etcd, text64
from .model import Fault
from .protocol import Answer, Request


class _Lease(msgspec.Struct):
    ID: str = "0"
    TTL: str = "0"


class _Kept(msgspec.Struct):
    result: _Lease = msgspec.field(default_factory=_Lease)


class _Txn(msgspec.Struct):
    succeeded: bool = False


class _Session(msgspec.Struct):
    ID: str


class EtcdWrites:
    """Writes by transactions, and leases."""

    def __init__(self, protocol: Etcd):
        self.protocol = protocol

    def put(
        self, key: str, value: bytes, lease: str = "", expect: int | None = None, keep_lease: bool = False
    ) -> Request:
        """Put a key; `expect` is the revision it was last changed at (0: it must not exist)."""
        put: dict = {"key": text64(key), "value": b64encode(value).decode()}
        if lease:
            put["lease"] = lease
        if keep_lease:
            put["ignore_lease"] = True
        compare = []
        if expect is not None:
            compare = [{"key": text64(key), "target": "MOD", "result": "EQUAL", "mod_revision": str(expect)}]
        return self.protocol.request("/v3/kv/txn", {"compare": compare, "success": [{"requestPut": put}]})

    def delete(self, key: str) -> Request:
        success = [{"requestDeleteRange": {"key": text64(key)}}]
        return self.protocol.request("/v3/kv/txn", {"compare": [], "success": success})

    def done(self, answer: Answer) -> bool | Fault:
        if answer.status != 200:
            return self.protocol.refused(answer)
        return msgspec.json.decode(answer.body, type=_Txn).succeeded

    def grant(self, ttl_s: int) -> Request:
        return self.protocol.request("/v3/lease/grant", {"TTL": str(ttl_s), "ID": "0"})

    def granted(self, answer: Answer) -> str | Fault:
        if answer.status != 200:
            return self.protocol.refused(answer)
        return msgspec.json.decode(answer.body, type=_Lease).ID

    def keep_alive(self, lease: str) -> Request:
        return self.protocol.request("/v3/lease/keepalive", {"ID": lease})

    def kept(self, answer: Answer) -> bool | Fault:
        """Whether the lease still stood."""
        if answer.status != 200:
            return self.protocol.refused(answer)
        return int(msgspec.json.decode(answer.body, type=_Kept).result.TTL) > 0

    def revoke(self, lease: str) -> Request:
        return self.protocol.request("/v3/lease/revoke", {"ID": lease})


class ConsulWrites:
    """Writes by check-and-set, and sessions whose keys are deleted with them."""

    def __init__(self, protocol: Consul):
        self.protocol = protocol

    def put(
        self, key: str, value: bytes, lease: str = "", expect: int | None = None, keep_lease: bool = False
    ) -> Request:
        options = [f"acquire={lease}"] if lease else []
        if expect is not None:
            options.append(f"cas={expect}")
        target = f"/v1/kv/{quote(key)}" + ("?" + "&".join(options) if options else "")
        return self.protocol.request("PUT", target, value)

    def delete(self, key: str) -> Request:
        return self.protocol.request("DELETE", f"/v1/kv/{quote(key)}")

    def done(self, answer: Answer) -> bool | Fault:
        if answer.status != 200:
            return self.protocol.refused(answer)
        return answer.body.strip() == b"true"

    def grant(self, ttl_s: int) -> Request:
        # a lock delay would keep a restarted worker from its own key
        body = {"TTL": f"{ttl_s}s", "Behavior": "delete", "LockDelay": "0s"}
        return self.protocol.request("PUT", "/v1/session/create", msgspec.json.encode(body))

    def granted(self, answer: Answer) -> str | Fault:
        if answer.status != 200:
            return self.protocol.refused(answer)
        return msgspec.json.decode(answer.body, type=_Session).ID

    def keep_alive(self, lease: str) -> Request:
        return self.protocol.request("PUT", f"/v1/session/renew/{quote(lease)}")

    def kept(self, answer: Answer) -> bool | Fault:
        if answer.status == 404:
            return False
        return True if answer.status == 200 else self.protocol.refused(answer)

    def revoke(self, lease: str) -> Request:
        return self.protocol.request("PUT", f"/v1/session/destroy/{quote(lease)}")


def writes_of(protocol: Etcd | Consul) -> EtcdWrites | ConsulWrites:
    """The writes that go with a protocol."""
    return EtcdWrites(protocol) if isinstance(protocol, Etcd) else ConsulWrites(protocol)
