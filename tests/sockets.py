"""Runs a complete scheduler in this process on loopback sockets.  The test controls its peers and its clock.

The clock advances only through `pass_ms`, so results do not depend on the load of the machine.  Bytes go
through the kernel's sockets at once, in the order in which the test sends them.
"""

import json
import socket
import struct
import threading

import msgspec
import trio
from scenario import SETTINGS
from trio.testing import MockClock, wait_all_tasks_blocked

from molespur import config
from molespur.net.counters import Counters
from molespur.scheduler import Scheduler

STEP_MS = 50  # of the mock clock
TEST_TIMEOUT_S = 10  # real time


def entry(uid, port, **more):
    return {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": "z", "model": "k"} | more


def listing(rev, *targets, all=False):
    return json.dumps({"rev": rev, "all": all, "targets": list(targets)}).encode()


def settings_with(**parts):
    """The scenarios' settings with some keys of their sections replaced."""
    wire = json.loads(json.dumps(SETTINGS))
    for name, value in parts.items():
        wire[name] = wire[name] | value if isinstance(value, dict) and name in wire else value
    return wire


def profiles_with(**changes):
    """The scenarios' classes, each updated with the changes under its name; None removes a class.

    Each class has all keys, as the platform writes them.
    """
    wire = [{"group": "all", "keyTtl": 5000.0} | one for one in settings_with()["profiles"]]
    return [one | (changes.get(one["name"]) or {}) for one in wire if changes.get(one["name"], 1) is not None]


class Wire:
    """The test's end of one connection."""

    def __init__(self, sock):
        self.sock, self.text = sock, b""

    async def send(self, data: bytes):
        await trio.SocketStream(self.sock).send_all(data)
        await settle()

    async def read(self, until: bytes) -> bytes:
        """Read up to and including `until`; the connection must not close before.  The rest is kept."""
        while until not in self.text:
            data = await self.sock.recv(65536)
            assert data, f"closed after {self.text!r}"
            self.text += data
        before, _, self.text = self.text.partition(until)
        return before + until

    async def read_to_end(self) -> bytes:
        """Read up to the orderly close; a reset raises ConnectionResetError."""
        while data := await self.sock.recv(65536):
            self.text += data
        return self.text

    async def quiet(self) -> bool:
        """Whether nothing was received and the connection is open."""
        await settle()
        try:
            self.sock._sock.recv(65536, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.text
        except ConnectionResetError:
            pass
        return False

    def half_close(self):
        self.sock.shutdown(socket.SHUT_WR)

    def close(self):
        self.sock.close()

    def reset(self):
        """Close with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class Peer:
    """A listening peer (a worker or discovery).  The test accepts its connections one by one."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.sock = trio.socket.from_stdlib_socket(self.listener)

    async def accept(self) -> Wire:
        sock, _ = await self.sock.accept()
        return Wire(sock)

    async def called(self, keep: list | None = None) -> bool:
        """Whether a connection waits to be accepted.  Adds it to `keep` if given, else closes it."""
        await settle()
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            return False
        if keep is None:
            sock.close()
        else:
            sock.setblocking(False)
            keep.append(Wire(trio.socket.from_stdlib_socket(sock)))
        return True


async def settle():
    """Return once the scheduler has done everything that it can at the current time."""
    await wait_all_tasks_blocked(0.005)


class Site:
    """A scheduler, discovery and workers `w1`, `w2` and so on; by default with the scenarios' settings."""

    def __init__(self, nursery, clock, workers=1, wire=None, sockets=1024, known=True, sched=Scheduler):
        self.clock, self.nursery = clock, nursery
        self.discovery, self.workers = Peer(), [Peer() for _ in range(workers)]
        self.wire = wire or settings_with()
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        settings, raw = config.read_settings(self.wire)
        targets = [self.entry(i) for i in range(workers)] if known else []
        listed = msgspec.convert({"rev": 1, "all": True, "targets": targets}, config.ClusterList)
        self.config = config.Config(
            name="n", listen=self.address, discovery=("127.0.0.1", self.discovery.port), seed=7,
            sockets=sockets, known=listed, settings=settings, tick_ms=4.0,
            dial_timeout_ms=raw.limits.dial_timeout, conn_idle_ms=raw.limits.conn_idle, has_reports=True,
        )  # fmt: skip
        self.counters = Counters()
        self.scheduler = sched(self.config, self.counters, nursery)
        self.ended = trio.Event()

    def entry(self, index, **more):
        return entry(f"w{index + 1}", self.workers[index].port, **more)

    async def run(self):
        await self.scheduler.run()
        self.ended.set()

    async def start(self):
        self.nursery.start_soon(self.run)
        while not self.scheduler.service.process.ready:
            await trio.sleep(0)
        await settle()

    async def watched(self, *lines: bytes) -> Wire:
        """Accept the watch and respond with a head and these lines."""
        wire = await self.discovery.accept()
        self.watch_request = await wire.read(b"\r\n\r\n")
        await wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for line in lines:
            await wire.send(chunk(line + b"\n"))
        return wire

    async def client(self) -> Wire:
        sock = trio.socket.socket()
        await sock.connect(self.address)
        await settle()
        return Wire(sock)

    async def reload(self, path, **parts):
        """Reload with these sections of the settings changed; a section that is None is removed."""
        wire = {k: v for k, v in settings_with(**parts).items() if v is not None}
        listed = {"rev": 1, "all": True, "targets": []}
        file = {"listen": "{}:{}".format(*self.address), "settings": wire, "known": listed}
        file |= {"discovery": f"127.0.0.1:{self.discovery.port}", "seed": "7"}
        path.write_text(json.dumps(file))
        self.scheduler.reload.environ = {"LB_CONFIG": str(path)}
        self.scheduler.reload()
        await settle()

    async def pass_ms(self, ms: float):
        """Advance the clock in steps, and let the scheduler settle after each."""
        while ms > 0:
            self.clock.jump(min(ms, STEP_MS) / 1000)
            ms -= STEP_MS
            await settle()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def request(name: str, cls="lookup", left=5000, body=b"hi", **headers) -> bytes:
    given = {
        "Host": "x", "X-Request-ID": name, "X-Priority-Class": cls, "Idempotency-Key": "k",
        "X-Timeout-Ms": str(left), "Content-Length": str(len(body)),
    } | headers  # fmt: skip
    return f"POST /{cls} HTTP/1.1\r\n".encode() + b"".join(
        f"{name}: {value}\r\n".encode() for name, value in given.items()
    ) + b"\r\n" + body  # fmt: skip


def done(name: str) -> bytes:
    line = json.dumps({"id": name, "state": "done", "result": f"made of {name}"}).encode() + b"\n"
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line)


def on_loopback(test=None, **options):
    """Run an async test with a started Site.  Only the test advances the mock clock."""

    def wrap(test):
        def run(*args, **kwargs):
            clock, timeouts = MockClock(), []

            async def main():
                async with trio.open_nursery() as nursery:

                    def time_out():
                        timeouts.append(True)
                        nursery.cancel_scope.cancel()

                    token = trio.lowlevel.current_trio_token()
                    watchdog = threading.Timer(TEST_TIMEOUT_S, token.run_sync_soon, [time_out])
                    watchdog.start()
                    try:
                        site = Site(nursery, clock, **options)
                        await site.start()
                        await test(site, *args, **kwargs)
                    finally:
                        watchdog.cancel()
                    nursery.cancel_scope.cancel()

            trio.run(main, clock=clock)
            assert not timeouts, f"test did not end within {TEST_TIMEOUT_S} s"

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return wrap(test) if test else wrap
