"""A stand-in registry: etcd's JSON gateway and Consul's HTTP API on one state, with faults on command.

It has several members and speaks what users see of both protocols, on any stream.  Its own control is
`POST /standin/...`.
"""

from urllib.parse import parse_qs, urlsplit

import h11
import msgspec
import trio

from .consul_api import ConsulApi
from .etcd_gateway import Access, EtcdGateway
from .registry_member import Faults, Member, Refusal
from .store import Compacted, Future, Store

__all__ = ["Faults", "Registry"]


class Registry:
    """The state, its members, and both protocols."""

    def __init__(self, members: int = 1, user: str = "", password: str = "", acl_token: str = ""):
        self.store, self.access = Store(), Access(user, password)
        self.members = [Member(self, n) for n in range(members)]
        self._etcd = EtcdGateway(self.store, self.access)
        self._consul = ConsulApi(self.store, self.members, acl_token)
        self._backup: dict | None = None

    async def run(self) -> None:
        """Let leases expire, for good."""
        while True:
            await trio.sleep(0.05)
            self.store.expire()

    async def listen(self, host: str = "127.0.0.1", ports: tuple[int, ...] = (), *, task_status) -> None:
        """Serve each member on a port of its own (0: any free); tells the addresses."""
        ports = ports or (0,) * len(self.members)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run)
            places = []
            for member, port in zip(self.members, ports, strict=True):
                listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
                nursery.start_soon(trio.serve_listeners, member.serve, listeners)
                places.append((host, listeners[0].socket.getsockname()[1]))
            task_status.started(places)

    def forget_tokens(self) -> None:
        """No token given so far is good any more."""
        self.access.tokens.clear()

    async def answer(self, member: Member, head: h11.Request, body: bytes):
        """(status, headers, body or lines) for a request."""
        parts = urlsplit(head.target.decode())
        query = {k: v[-1] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        headers = {k.decode().lower(): v.decode() for k, v in head.headers}
        path, method = parts.path, head.method.decode()
        try:
            if path.startswith("/standin/"):
                return await self._control(member, path.removeprefix("/standin/"), body)
            if member.faults.status:
                return member.faults.status, [], b"out of order"
            if path.startswith("/v3/"):
                return await self._etcd.answer(member, path.removeprefix("/v3/"), headers, body)
            if path.startswith("/v1/"):
                path = path.removeprefix("/v1/")
                return await self._consul.answer(member, method, path, query, headers, body)
            return 404, [], b"not found"
        except Refusal as no:
            error = {"error": no.message, "code": no.code, "message": no.message}
            return no.status, [("Content-Type", "application/json")], msgspec.json.encode(error)
        except Compacted:
            text = "etcdserver: mvcc: required revision has been compacted"
            return 400, [], msgspec.json.encode({"error": text, "code": 11, "message": text})
        except Future:
            text = "etcdserver: mvcc: required revision is a future revision"
            return 400, [], msgspec.json.encode({"error": text, "code": 11, "message": text})
        except (msgspec.DecodeError, ValueError, KeyError, TypeError) as problem:
            text = f"invalid request: {problem!r}"
            return 400, [], msgspec.json.encode({"error": text, "code": 3, "message": text})

    # -- Control ---------------------------------------------------------------------------------

    async def _control(self, member: Member, what: str, body: bytes):
        given = msgspec.json.decode(body) if body else {}
        member = self.members[given.pop("member", member.number)]
        if what == "faults":
            member.faults = msgspec.convert(given, Faults)
            self.store.stir()
        elif what == "compact":
            self.store.compact(given.get("revision", 0))
        elif what == "drop":
            streams = [stream for m in self.members for stream in m.streams]
            for stream in streams:
                await trio.aclose_forcefully(stream)
        elif what == "backup":
            self._backup = self.store.backup()
        elif what == "restore" and self._backup:
            self.store.restore(self._backup, given.get("cluster", 0))
        elif what == "leases":
            self.store.leases_stopped = given["stopped"]
        elif what == "forget-tokens":
            self.forget_tokens()
        else:
            return 404, [], b"no such command"
        return 200, [], b"{}"
