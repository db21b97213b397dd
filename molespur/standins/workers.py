"""Stand-in records workers: they take jobs by PROTOCOL's HTTP, and keep themselves registered."""

import contextlib
import itertools
from random import Random

import h11
import msgspec
import trio

from ..net.counters import Counters
from ..net.upstream import CONNECTION_ERRORS
from ..net.wheel import Clock, Wheel
from ..registry.lease import Registration
from ..registry.records import Record
from ..registry.registration import Registrar
from .server import Served


class Worker:
    """One worker on a loopback port: `slots` jobs at once, each `work_ms` long."""

    _numbers = itertools.count(1)

    def __init__(self, uid: str = "", slots: int = 4, work_ms: float = 20.0):
        self.uid = uid or f"w{next(self._numbers)}"
        self.work_ms, self.slots = work_ms, trio.CapacityLimiter(slots)
        self.served = self.taken = 0
        self.last_taken = 0.0  # trio's clock
        self.address: tuple[str, int] | None = None
        self.registrar: Registrar | None = None
        self._scope = trio.CancelScope()

    async def run(self, *, task_status) -> None:
        """Take jobs until killed; tells its address."""
        with self._scope:
            async with trio.open_nursery() as self._nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=1024)
                self.address = listeners[0].socket.getsockname()[:2]
                task_status.started(self.address)
                self._nursery.start_soon(trio.serve_listeners, self.serve, listeners)
                await trio.sleep_forever()

    def kill(self) -> None:
        """Die as a process does: all connections break, new ones are refused."""
        self._scope.cancel()

    def register(self, protocol, members, prefix: str, wheel: Wheel, ttl_s: int = 5, **fields) -> None:
        """Stay registered until killed or told to leave."""
        record = Record("{}:{}".format(*self.address), self.uid, **fields)
        machine = Registration(ttl_s, len(members), Random(self.uid))
        key = prefix + self.uid
        self.registrar = Registrar(machine, protocol, members, key, record, wheel, Clock(), Counters())
        self._nursery.start_soon(self.registrar.run)

    async def serve(self, stream) -> None:
        """Serve one connection."""
        with contextlib.suppress(*CONNECTION_ERRORS, h11.ProtocolError):
            await self._serve(stream)
        await trio.aclose_forcefully(stream)

    async def _serve(self, stream) -> None:
        served = Served(stream)
        say = served.say
        while (asked := await served.request()) is not None:
            head, _ = asked
            if head.method == b"GET":
                nothing = h11.Response(status_code=404, headers=[("Content-Length", "0")])
                await say(nothing, h11.EndOfMessage())
            else:
                ident = dict(head.headers).get(b"x-request-id", b"").decode("latin-1")
                self.taken += 1
                self.last_taken = trio.current_time()
                await say(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
                async with self.slots:
                    await trio.sleep(self.work_ms / 1000)
                line = {"id": ident, "from": self.uid, "state": "done", "result": f"by {self.uid}"}
                await say(h11.Data(data=msgspec.json.encode(line) + b"\n"), h11.EndOfMessage())
                self.served += 1
            if not served.next():
                return
