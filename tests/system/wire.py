"""A data plane on loopback sockets with scripted workers and raw clients; nothing waits for real time."""

import asyncio
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

from molespur.system import early_listener
from molespur.system.data_plane.http import HttpServer, IngressApp
from molespur.system.data_plane.ingress import Ingress
from molespur.system.data_plane.state import DataPlaneState
from molespur.system.data_plane.upstream import Upstreams
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.settings.process import Bounds, ProcessSettings
from molespur.system.shards.placement import CONFIGURATION

TIMEOUT_S = 10.0


def clock():
    return time.monotonic() * 1000.0


class ScriptedWorker:
    """Responds to each request by the next script; the last script serves all later requests.

    A script is a function of the request.  It returns the bytes of the response, or None to close the
    connection, or a list of parts.  A part is bytes to send, None to close the connection, an event to wait
    for, or a float: a pause in seconds on the loop's clock.
    """

    def __init__(self, name, *scripts, phase=""):
        self.name, self.scripts, self.phase = name, list(scripts), phase
        self.requests, self.connections = [], 0
        self.closed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _connection(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(header(head, b"Content-Length") or 0)
                request = head + (await reader.readexactly(length) if length else b"")
                self.requests.append(request)
                script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
                answer = script(request)
                if answer is None:
                    break
                parts = answer if isinstance(answer, list) else [answer]
                for part in parts:
                    if part is None:
                        return
                    if isinstance(part, asyncio.Event):
                        await part.wait()
                        continue
                    if isinstance(part, float):
                        await asyncio.sleep(part)
                        continue
                    writer.write(part)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            writer.close()


def header(request, name):
    """The value of a header of raw bytes."""
    for line in request.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name.lower():
            return value.strip()
    return None


def answer(request, body=b"fine", status=b"200 OK", extra=b"", stamp=True):
    """A worker's complete response."""
    stamped = b"Molespur-Server-Stamp: s.1\r\n" if stamp else b""
    attempt = header(request, b"Molespur-Attempt-Id")
    return (
        b"HTTP/1.1 %s\r\nContent-Length: %d\r\nMolespur-Attempt-Id: %s\r\n%s%s\r\n"
        % (status, len(body), attempt, stamped, extra)
    ) + body


def stream_head(request, stamp=b"s.1"):
    """The head of a worker's stream."""
    attempt = header(request, b"Molespur-Attempt-Id")
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        b"Molespur-Attempt-Id: %s\r\nMolespur-Server-Stamp: %s\r\n\r\n" % (attempt, stamp)
    )


def event(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def not_executed(request):
    return answer(request, b"", b"503 Service Unavailable", b"Molespur-Not-Executed: 1\r\n", stamp=False)


def settings(node="edge-1", **bounds):
    return ProcessSettings(node, "127.0.0.1", "a", (1, 2), ("127.0.0.1:3",), bounds=Bounds(**bounds))


def apply_first_state(state, configuration, *workers):
    """Apply the first updates of the feed to a data plane: a configuration, and workers of service `s`."""
    payload = pb.ConfigurationState(version=1, body=configuration).SerializeToString()
    state.update(CONFIGURATION, True, payload)
    records = [
        pb.Worker(
            id=w.name, service="s", address=w.address, zone="a", capacity=8, phase=w.phase, state=pb.READY
        )
        for w in workers
    ]
    state.update("workers-0", True, pb.WorkerSet(workers=records).SerializeToString())
    state.update("workers-1", True, b"")


class Freshness:
    """Replaces the feed: the configuration is fresh, or becomes so during a wait, or stays old.

    `update`: called during the first wait, after which the configuration is fresh.
    """

    def __init__(self, fresh=True, update=None):
        self.fresh, self.update, self.waited_s = fresh, update, []

    def may_refuse(self):
        return self.fresh

    async def wait_until_fresh(self, max_wait_s):
        if not self.fresh:
            self.waited_s.append(max_wait_s)
            if self.update is not None:
                self.update()
                self.fresh = True


@asynccontextmanager
async def data_plane(configuration, *workers, clock=clock, **bounds):
    """Start these workers of service `s` and an ingress; yields its port for clients, and itself.

    Without a configuration the ingress gets no state yet.  `clock`: ms, by default real time.  `bounds`:
    those that differ from the defaults.
    """
    for worker in workers:
        await worker.start()
    try:
        async with scheduler(configuration, *workers, clock=clock, **bounds) as served:
            yield served
    finally:
        for worker in workers:
            worker.server.close()


@asynccontextmanager
async def scheduler(configuration, *workers, clock=clock, node="edge-1", schedulers=1, **bounds):
    """Start an ingress for started workers; yields the port for clients, and the ingress."""
    async with stoppable_scheduler(
        configuration, *workers, clock=clock, node=node, schedulers=schedulers, **bounds
    ) as served:
        yield served.port, served.ingress


@dataclass
class ServedScheduler:
    """A scheduler that serves: `stop` ends it, and `serving` is done once all its requests have ended."""

    port: int
    ingress: Ingress
    server: HttpServer
    stop: asyncio.Event
    serving: asyncio.Task

    async def begin_close(self):
        """Stop in order: close the listener and idle connections, as when no new clients come any more."""
        self.ingress.stopping = self.ingress.closing = True
        self.stop.set()
        await self.server.context.terminated.wait()
        await asyncio.sleep(0)


@asynccontextmanager
async def stoppable_scheduler(
    configuration, *workers, clock=clock, node="edge-1", schedulers=1, graceful_s=0.2, **bounds
):
    """Start an ingress for started workers; yields a ServedScheduler."""
    state = DataPlaneState(settings(node, **bounds), Random(node if node != "edge-1" else 1))
    state.schedulers = schedulers
    ingress = Ingress(state, Upstreams(), clock, Freshness())
    if configuration is not None:
        apply_first_state(state, configuration, *workers)
    state.set_scheduler_count(clock(), schedulers)
    # keep the listener open: another process could take a port that is closed and opened again
    listener = early_listener.open_listener("127.0.0.1:0")
    port = listener.getsockname()[1]
    early_listener._opened[f"127.0.0.1:{port}"] = listener
    stop = asyncio.Event()
    server = HttpServer(IngressApp(ingress), lambda: state.limits)
    serving = asyncio.create_task(server.serve(f"127.0.0.1:{port}", stop, graceful_s))
    try:
        yield ServedScheduler(port, ingress, server, stop, serving)
    finally:
        stop.set()
        await serving


class Client:
    """A raw client on one connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port):
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def head(self):
        return await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)

    async def response(self):
        """(status, head, body, complete): complete is False if the response ended before its end."""
        head = await self.head()
        status = int(head.split(b" ", 2)[1])
        length = header(head, b"Content-Length")
        if length is not None:
            return (
                status,
                head,
                await asyncio.wait_for(self.reader.readexactly(int(length)), TIMEOUT_S),
                True,
            )
        body = bytearray()
        while True:
            try:
                size = int(await asyncio.wait_for(self.reader.readuntil(b"\r\n"), TIMEOUT_S), 16)
                data = await asyncio.wait_for(self.reader.readexactly(size + 2), TIMEOUT_S)
            except (asyncio.IncompleteReadError, ConnectionError):
                return status, head, bytes(body), False
            if size == 0:
                return status, head, bytes(body), True
            body += data[:-2]

    async def closed(self):
        """Whether the connection ends without further bytes."""
        try:
            return await asyncio.wait_for(self.reader.read(), TIMEOUT_S) == b""
        except ConnectionError:
            return True


def request(path=b"/p/x", attempt=b"a1", body=b"", extra=b"", deadline=5000):
    return (
        b"POST %s HTTP/1.1\r\nHost: shop.example\r\nMolespur-Attempt-Id: %s\r\nMolespur-Deadline-Ms: %d\r\n"
        b"Content-Length: %d\r\n%s\r\n" % (path, attempt, deadline, len(body), extra)
    ) + body


def run(coroutine):
    """Run a test's coroutine with a timeout."""

    async def bounded():
        async with asyncio.timeout(30):
            await coroutine

    asyncio.run(bounded())
