"""What callers make a process hold: connections, requests ahead, stalled bodies, unread responses.

The crowds of `tests/crowds` meet real processes; these tests bring each mechanism about in turn.
"""

import asyncio
import gc
import json
import tracemalloc
from contextlib import asynccontextmanager
from random import Random
from types import SimpleNamespace

import pytest
from control import OneControlPlane
from test_request_bodies import (
    BODY_BYTES,
    LONG_RESPONSE_BYTES,
    TOTAL,
    body_of,
    chunked,
    configuration,
    connect_slow_reader,
    until,
)
from wire import (
    Client,
    Freshness,
    ScriptedWorker,
    answer,
    apply_first_state,
    chunk,
    clock,
    data_plane,
    header,
    request,
    run,
    settings,
)

from molespur.system import early_listener
from molespur.system.control_plane import http as control_http
from molespur.system.data_plane import network
from molespur.system.data_plane.http import HttpServer, IngressApp
from molespur.system.data_plane.ingress import Ingress
from molespur.system.data_plane.pool import DescriptorLimit
from molespur.system.data_plane.response_body import ResponseBody
from molespur.system.data_plane.state import DataPlaneState
from molespur.system.data_plane.upstream import Upstreams
from molespur.system.inbound import request_body, server
from molespur.system.inbound.app_tasks import DISCONNECT, MessageQueue
from molespur.system.inbound.bounded_app import BodyPolicy, BoundedApp
from molespur.system.inbound.connections import (
    IDLE_BYTES,
    REQUEST_BYTES,
    ConnectionState,
    ConnectionTable,
    client_connections,
    max_worker_connections,
)
from molespur.system.inbound.memory import SMALL_BODY_BYTES, STALL_S, MemoryBudget
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.rpc.channel import LENGTH_BYTES, Channel
from molespur.system.workers import directory

SHORT_S = 0.01
FEW = 4
REQUESTS_AHEAD = 40
UNREAD_RESPONSES = 4
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"


class Clock:
    """Seconds that a test sets."""

    now = 100.0

    def __call__(self):
        return self.now


def table(total=100 * IDLE_BYTES, limit=FEW):
    """A connection table with a clock of its own: (table, clock)."""
    time = Clock()
    return ConnectionTable(MemoryBudget(total, time), limit, time), time


# -- Connections ---------------------------------------------------------------------------------


def test_the_oldest_connection_without_a_request_gives_way_to_a_new_one():
    connections, _time = table()
    closed = []
    held = [connections.admit() for _ in range(FEW)]
    for number, connection in enumerate(held):
        connection.on_evict = lambda number=number: closed.append(number)
    held[0].set_state(ConnectionState.SERVING)
    assert connections.admit() is not None
    assert closed == [1] and connections.open == FEW and connections.evicted == 1


def test_a_lingering_connection_gives_way_before_an_idle_one_and_a_head_after_it():
    connections, _time = table()
    held = [connections.admit() for _ in range(FEW)]
    states = (
        ConnectionState.HEAD,
        ConnectionState.IDLE,
        ConnectionState.SERVING,
        ConnectionState.LINGERING,
    )
    for connection, state in zip(held, states, strict=True):
        connection.set_state(state)
    for expected in (held[3], held[1], held[0]):
        connections.admit().set_state(ConnectionState.SERVING)
        assert not expected.is_open
    assert held[2].is_open and connections.admit() is None and connections.refused == 1


def test_a_connection_whose_client_does_not_read_gives_way_only_after_a_while():
    connections, time = table(limit=1)
    blocked = connections.admit()
    blocked.set_state(ConnectionState.BLOCKED)
    assert connections.admit() is None and connections.memory.is_contended
    time.now += STALL_S
    assert connections.admit() is not None and not blocked.is_open


def test_memory_of_connections_is_returned_once():
    connections, _time = table(limit=100)
    connection = connections.admit()
    assert connection.try_hold(REQUEST_BYTES, large=False)
    assert connections.memory.used == IDLE_BYTES + REQUEST_BYTES
    connection.close()
    connection.close()
    connection.hold(REQUEST_BYTES)
    connection.set_state(ConnectionState.SERVING)
    assert connections.memory.used == 0 and connections.open == 0


def test_without_memory_idle_connections_give_way_to_a_request_and_the_next_connection_is_refused():
    connections, _time = table(total=2 * IDLE_BYTES + REQUEST_BYTES, limit=100)
    serving, idle = connections.admit(), connections.admit()
    serving.set_state(ConnectionState.SERVING)
    assert serving.try_hold(REQUEST_BYTES + IDLE_BYTES, large=False)
    assert not idle.is_open
    assert connections.admit() is None and connections.memory.is_contended


def test_a_connection_that_gives_way_to_its_own_request_leaves_no_memory_charged():
    connections, _time = table(total=2 * IDLE_BYTES, limit=100)
    connection = connections.admit()
    assert not connection.try_hold(REQUEST_BYTES, large=False)
    assert not connection.is_open and connections.memory.used == 0
    other = connections.admit()
    other.hold(REQUEST_BYTES)
    assert not other.is_open and connections.memory.used == 0


def test_large_requests_leave_connections_and_memory_to_others():
    connections, _time = table(limit=8)
    held = [connections.admit() for _ in range(7)]
    for connection in held:
        connection.set_state(ConnectionState.SERVING)
    assert not held[0].try_hold(REQUEST_BYTES, large=True)
    assert held[0].try_hold(REQUEST_BYTES, large=False)


def test_descriptors_are_divided_between_callers_and_workers():
    assert client_connections(MemoryBudget(TOTAL), 4100).limit == 1950
    assert max_worker_connections(4100) == 1560
    assert client_connections(MemoryBudget(TOTAL), 10).limit > 0


def test_a_connection_to_a_worker_takes_the_place_of_an_idle_one_of_another_worker():
    limit = DescriptorLimit(1)

    class Pool:
        closed = woken = 0

        def close_idle(self):
            self.closed += 1
            limit.give_back()
            return True

        def wake_one(self):
            self.woken += 1
            return True

    assert limit.try_take()
    assert not limit.try_take()
    pool = Pool()
    limit.pools.add(pool)
    assert limit.try_take() and pool.closed == 1
    limit.wake_one()
    assert pool.woken == 1


# -- Messages to the application -----------------------------------------------------------------


def test_a_disconnect_does_not_wait_for_an_application_that_reads_nothing():
    async def scenario():
        queue = MessageQueue(1)
        await queue.put({"type": "http.request", "body": b"1"})
        blocked = asyncio.create_task(queue.put({"type": "http.request", "body": b"2"}))
        await asyncio.sleep(0)
        assert not blocked.done()
        await queue.put({"type": DISCONNECT})
        await blocked
        assert (await queue.get())["type"] == DISCONNECT

    run(scenario())


def test_pieces_of_a_body_come_in_order():
    async def scenario():
        queue = MessageQueue(1)

        async def send():
            for number in range(20):
                await queue.put({"type": "http.request", "body": number})

        sending = asyncio.create_task(send())
        assert [(await queue.get())["body"] for _ in range(20)] == list(range(20))
        await sending

    run(scenario())


# -- HTTP ----------------------------------------------------------------------------------------


@asynccontextmanager
async def serving(*scripts, total=TOTAL, limit=100):
    """A scheduler whose connections and bodies share a budget; yields (port, server, ingress, worker)."""
    worker = ScriptedWorker("w", *scripts)
    await worker.start()
    state = DataPlaneState(settings(), Random(1))
    ingress = Ingress(state, Upstreams(), clock, Freshness())
    ingress.memory = MemoryBudget(total)
    apply_first_state(state, configuration(), worker)
    listener = early_listener.open_listener("127.0.0.1:0")
    port = listener.getsockname()[1]
    early_listener._opened[f"127.0.0.1:{port}"] = listener
    stop = asyncio.Event()
    connections = ConnectionTable(ingress.memory, limit)
    http = HttpServer(IngressApp(ingress), lambda: state.limits, connections)
    task = asyncio.create_task(http.serve(f"127.0.0.1:{port}", stop, graceful_s=0.2))
    try:
        yield port, http, ingress, worker
    finally:
        stop.set()
        await task
        worker.server.close()


def test_http_2_is_refused():
    async def scenario():
        async with data_plane(configuration(), ScriptedWorker("w", answer)) as (port, _ingress):
            client = await Client.connect(port)
            await client.send(HTTP2_PREFACE)
            assert (await client.head()).startswith(b"HTTP/1.1 505 ")
            assert await client.closed()

    run(scenario())


@pytest.mark.parametrize(
    "fields",
    [
        b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n",
        b"Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: a\r\n",
    ],
    ids=["h2c", "websocket"],
)
def test_an_upgrade_is_ignored(fields):
    async def scenario():
        async with data_plane(configuration(), ScriptedWorker("w", answer)) as (port, _ingress):
            client = await Client.connect(port)
            get = request(extra=fields).replace(b"POST", b"GET").replace(b"Content-Length: 0\r\n", b"")
            await client.send(get)
            assert (await client.response())[0] == 200

    run(scenario())


def test_requests_ahead_of_a_close_leave_no_connection_behind():
    async def scenario():
        async with serving(answer) as (port, http, ingress, worker):
            client = await Client.connect(port)
            await client.send(request(extra=b"Connection: close\r\n") + request() * REQUESTS_AHEAD)
            assert (await client.response())[0] == 200
            client.writer.close()
            await until(lambda: not http._connections)
            assert len(worker.requests) == 1 and ingress.memory.used == 0

    run(scenario())


def test_requests_ahead_of_a_reset_leave_no_connection_behind():
    async def scenario():
        async with serving(answer) as (port, http, ingress, _worker):
            client = await Client.connect(port)
            await client.send(request() * REQUESTS_AHEAD)
            await until(lambda: ingress.open_requests)
            client.writer.transport.abort()
            await until(lambda: not http._connections and not ingress.open_requests)
            assert ingress.memory.used == 0

    run(scenario())


def test_requests_ahead_are_answered_in_order_one_at_a_time():
    async def scenario():
        async with serving(answer) as (port, _http, _ingress, worker):
            client = await Client.connect(port)
            attempts = [b"a%d" % number for number in range(REQUESTS_AHEAD)]
            await client.send(b"".join(request(attempt=attempt) for attempt in attempts))
            for attempt in attempts:
                status, head, *_ = await client.response()
                assert (status, header(head, b"Molespur-Attempt-Id")) == (200, attempt)
            assert worker.connections == 1

    run(scenario())


def test_chunks_that_arrive_together_are_one_piece():
    async def scenario():
        async with serving(answer) as (port, _http, _ingress, worker):
            client = await Client.connect(port)
            head = request().replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            await client.send(head + chunk(b"x") * 5000 + b"0\r\n\r\n")
            assert (await client.response())[0] == 200
            assert worker.requests[0].endswith(b"\r\n\r\n" + b"x" * 5000)

    run(scenario())


def test_a_request_without_memory_for_it_gets_a_503_that_says_when_to_come_back():
    async def scenario():
        async with serving(answer, total=IDLE_BYTES + REQUEST_BYTES - 1) as (port, http, ingress, worker):
            client = await Client.connect(port)
            await client.send(request())
            status, head, *_ = await client.response()
            assert status == 503 and header(head, b"Retry-After") and header(head, b"Connection") == b"close"
            assert await client.closed() and worker.requests == []
            await until(lambda: ingress.memory.used == 0)
            assert http.connections.refused_requests == 1

    run(scenario())


def test_a_body_that_stalls_gives_way_when_others_wait(monkeypatch):
    monkeypatch.setattr(request_body, "STALL_S", SHORT_S)

    async def scenario():
        async with serving(answer, total=3 * BODY_BYTES) as (port, _http, ingress, _worker):
            stalled = [await Client.connect(port) for _ in range(2)]
            for client in stalled:
                await client.send(request(body=body_of(BODY_BYTES))[:-1])
            await until(lambda: ingress.memory.used > 2 * BODY_BYTES)
            other = await Client.connect(port)
            await other.send(request(body=body_of(BODY_BYTES)))
            assert (await other.response())[0] == 200
            statuses = [(await client.response())[0] for client in stalled]
            assert 503 in statuses

    run(scenario())


def test_a_body_that_pauses_is_waited_for_in_calm(monkeypatch):
    monkeypatch.setattr(request_body, "STALL_S", SHORT_S)

    async def scenario():
        async with serving(answer) as (port, _http, _ingress, _worker):
            client = await Client.connect(port)
            message = request(body=body_of(BODY_BYTES))
            await client.send(message[:-1])
            await asyncio.sleep(5 * SHORT_S)
            await client.send(message[-1:])
            assert (await client.response())[0] == 200

    run(scenario())


def test_a_body_in_chunks_that_may_take_the_whole_budget_does_not_wait_for_itself():
    async def scenario():
        async with serving(answer, total=BODY_BYTES) as (port, _http, ingress, _worker):
            ingress.memory = MemoryBudget(BODY_BYTES)
            client = await Client.connect(port)
            await client.send(chunked(body_of(4 * SMALL_BODY_BYTES)))
            assert (await client.response())[0] == 200

    run(scenario())


def test_a_client_that_does_not_read_its_response_gives_way_when_others_wait(monkeypatch):
    monkeypatch.setattr(server, "STALL_S", SHORT_S)

    async def scenario():
        large = bytes(LONG_RESPONSE_BYTES)
        async with serving(lambda received: answer(received, large)) as (port, http, ingress, worker):
            client = await connect_slow_reader(port)
            client.writer.transport.pause_reading()
            await client.send(request())
            await until(lambda: worker.requests)
            await until(lambda: not http._connections)
            assert ingress.memory.used == 0

    run(scenario())


def test_responses_that_clients_leave_unread_need_no_garbage_collector():
    """Guards against bodies that ended tasks still refer to: their memory came back only when it ran."""

    async def leave_unread(port):
        client = await connect_slow_reader(port)
        client.writer.transport.pause_reading()
        await client.send(request())
        return client

    async def scenario():
        large = bytes(LONG_RESPONSE_BYTES)
        total = UNREAD_RESPONSES * LONG_RESPONSE_BYTES
        async with serving(lambda received: in_parts(received, large), total=2 * total) as (
            port, http, ingress, _worker,
        ):  # fmt: skip
            clients = [await leave_unread(port) for _ in range(UNREAD_RESPONSES)]
            await until(lambda: ingress.memory.used >= total)
            for client in clients:
                client.writer.transport.abort()
            await until(lambda: not http._connections and not ingress.memory.used)
            assert bytes_allocated_by("*/molespur/system/*") < LONG_RESPONSE_BYTES
        gc.collect()  # closes what is left of connections while there is a loop

    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        run(scenario())
    finally:
        tracemalloc.stop()
        gc.enable()


def in_parts(received, body):
    """A worker's response that holds no copy of its body."""
    empty = answer(received, b"")
    return [empty.replace(b"Content-Length: 0", b"Content-Length: %d" % len(body)), body]


def bytes_allocated_by(pattern):
    """The memory that is held and was allocated by lines of these files since tracing began."""
    snapshot = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, pattern)])
    return sum(trace.size for trace in snapshot.traces)


def test_a_response_that_is_read_is_no_work_of_its_worker_any_more():
    """Guards against clients that do not read: their calls looked like load of the worker."""

    async def scenario():
        large = bytes(LONG_RESPONSE_BYTES)
        async with data_plane(
            configuration(), ScriptedWorker("w", lambda received: answer(received, large))
        ) as (port, ingress):
            client = await connect_slow_reader(port)
            client.writer.transport.pause_reading()
            await client.send(request())
            await until(lambda: ingress.memory.used >= len(large))
            track = next(iter(ingress.state.workers["s"].values()))
            await until(lambda: track.unfinished == 0)
            assert ingress.open_requests == 1

    run(scenario())


def test_a_response_larger_than_the_budget_is_held_alone():
    async def scenario():
        memory = MemoryBudget(TOTAL)
        first = ResponseBody(memory, 2 * TOTAL, is_declared=True)
        second = ResponseBody(memory, BODY_BYTES, is_declared=True)
        await first.append(bytes(SMALL_BODY_BYTES))
        await first.append(bytes(1))
        waiting = asyncio.create_task(second.append(bytes(SMALL_BODY_BYTES + 1)))
        await asyncio.sleep(0)
        assert not waiting.done()
        await first.append(bytes(2 * TOTAL - first.size))
        first.complete()
        assert memory.used == 2 * TOTAL
        first.release()
        await waiting
        second.release()
        assert memory.used == 0

    run(scenario())


def test_sockets_to_workers_have_bounded_buffers():
    async def scenario():
        worker = ScriptedWorker("w", answer)
        await worker.start()
        host, _, port = worker.address.rpartition(":")
        stream = await network.WorkerNetwork().connect_tcp(host, int(port))
        sock = stream.get_extra_info("socket")
        option = sock.getsockopt(network.socket.SOL_SOCKET, network.socket.SO_RCVBUF)
        assert option <= 2 * network.RECEIVE_BUFFER_BYTES
        await stream.aclose()
        worker.server.close()

    run(scenario())


# -- Applications of quart -----------------------------------------------------------------------


async def call(app, body, path="/api/config", declared=None, pieces=1):
    """Call an ASGI application; returns the status of its response."""
    size = -(-len(body) // pieces) or 1
    parts = [body[start : start + size] for start in range(0, len(body), size)] or [b""]
    messages = [
        {"type": "http.request", "body": part, "more_body": index + 1 < len(parts)}
        for index, part in enumerate(parts)
    ]
    sent = []

    async def receive():
        return messages.pop(0) if messages else {"type": DISCONNECT}

    async def send(message):
        sent.append(message)

    length = b"%d" % (len(body) if declared is None else declared)
    scope = {"type": "http", "path": path, "headers": [(b"content-length", length)]}
    await app(scope, receive, send)
    return sent[0]["status"]


def echo_app(received):
    async def app(_scope, receive, send):
        received.append(await receive())
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    return app


@pytest.mark.parametrize(
    ("body", "declared", "status"),
    [
        (b'{"a": 1}', None, 200),
        (b"", None, 200),
        (b"x" * 101, None, 413),
        (b"x", 5000, 413),
        (b"[" + b"{}," * 20 + b"{}]", None, 413),
    ],
    ids=["small", "none", "too-long", "announced-too-long", "too-many-values"],
)
def test_a_body_reaches_the_application_only_if_it_and_its_values_fit(body, declared, status):
    async def scenario():
        received, memory = [], MemoryBudget(4000)
        app = BoundedApp(echo_app(received), memory, lambda _path: BodyPolicy(max_body_bytes=100))
        assert await call(app, body, declared=declared) == status
        assert [message["body"] for message in received] == ([body] if status == 200 else [])
        assert memory.used == 0

    run(scenario())


def test_a_body_in_pieces_reaches_the_application_as_one():
    async def scenario():
        received, body = [], json.dumps({"a": "b" * 500}).encode()
        app = BoundedApp(echo_app(received), MemoryBudget(TOTAL), lambda _path: BodyPolicy())
        assert await call(app, body, pieces=7) == 200
        assert received == [{"type": "http.request", "body": body, "more_body": False}]

    run(scenario())


def test_only_the_configuration_may_be_long_at_the_control_plane():
    policy = control_http._body_policy
    assert policy("/api/config").max_body_bytes == control_http.MAX_CONFIGURATION_BYTES
    assert policy("/api/instances/i-1").max_body_bytes == 64 << 10
    assert policy("/none").max_body_bytes == 64 << 10


# -- Registered workers --------------------------------------------------------------------------


def record(worker_id, size=0):
    """The record of a worker at an address of its own."""
    return pb.Worker(id=worker_id, service="s", address=f"{worker_id}:1", zone="z" * size, state=pb.READY)


def put(records, *workers):
    records.apply(pb.WorkerCommand(workers=workers).SerializeToString())


def register(plane, worker_id, zone="a"):
    """Register a worker at a control-plane process; returns the status."""
    document = {
        "Service": "s", "Address": f"{worker_id}:1", "Zone": zone, "State": "ready", "Capacity": 1
    }  # fmt: skip
    return plane.call("PUT", f"/api/instances/{worker_id}", json.dumps(document).encode())[0]


def test_a_shard_has_room_for_a_bounded_number_of_workers(monkeypatch):
    monkeypatch.setattr(directory, "MAX_WORKERS", FEW)
    records = directory.WorkerDirectory()
    put(records, *(record(f"i-{number}") for number in range(FEW)))
    assert records.has_room_for(record("i-0")) and not records.has_room_for(record("i-9"))
    put(records, pb.Worker(id="i-0", state=pb.GONE))
    assert records.has_room_for(record("i-9"))


def test_a_shard_has_room_for_records_of_a_bounded_size(monkeypatch):
    monkeypatch.setattr(directory, "MAX_RECORDS_BYTES", 2000)
    records = directory.WorkerDirectory()
    put(records, record("i-1", 900), record("i-2", 900))
    assert records.has_room_for(record("i-1", 950)) and not records.has_room_for(record("i-3", 900))
    restored = directory.WorkerDirectory()
    restored.restore(records.snapshot())
    put(restored, pb.Worker(id="i-2", state=pb.GONE))
    assert restored.has_room_for(record("i-3", 900))
    assert restored.records_bytes == record("i-1", 900).ByteSize()


def test_registrations_beyond_the_bounds_are_refused(monkeypatch, tmp_path):
    monkeypatch.setattr(directory, "MAX_WORKERS", 1)
    plane = OneControlPlane(tmp_path)
    try:
        assert register(plane, "i-1") == 200
        assert register(plane, "i-2") == 503
        assert register(plane, "i-1") == 200
        assert register(plane, "i-1", zone="z" * (directory.MAX_RECORD_BYTES + 1)) == 413
    finally:
        plane.close()


# -- Channels ------------------------------------------------------------------------------------


class Transport:
    """The transport of a channel."""

    aborted = False
    unsent = 0  # nothing is taken by the peer

    def write(self, data):
        self.unsent += len(data)

    def get_write_buffer_size(self):
        return self.unsent

    def get_extra_info(self, _name):
        return None

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True


def accepted_channel(connections):
    """A channel that was accepted, and its transport."""
    frames = []
    channel = Channel(lambda _channel, frame: frames.append(frame), lambda _channel: None, connections.admit)
    transport = Transport()
    channel.connection_made(transport)
    return SimpleNamespace(channel=channel, transport=transport, frames=frames)


def test_a_long_frame_is_charged_until_it_is_complete():
    async def scenario():
        connections, _time = table(total=8 * BODY_BYTES)
        peer = accepted_channel(connections)
        frame = pb.Frame(call=pb.Call(id=1, body=bytes(BODY_BYTES))).SerializeToString()
        data = len(frame).to_bytes(LENGTH_BYTES, "big") + frame
        peer.channel.data_received(data[:-1])
        assert connections.memory.used == IDLE_BYTES + len(data) - 1
        peer.channel.data_received(data[-1:])
        assert connections.memory.used == IDLE_BYTES and len(peer.frames) == 1
        peer.channel.connection_lost(None)
        assert connections.memory.used == 0

    run(scenario())


def test_a_frame_without_memory_for_it_aborts_its_channel():
    async def scenario():
        connections, _time = table(total=BODY_BYTES)
        peer = accepted_channel(connections)
        peer.channel.data_received((2 * BODY_BYTES).to_bytes(LENGTH_BYTES, "big") + bytes(BODY_BYTES))
        assert peer.transport.aborted and peer.frames == []

    run(scenario())


def test_what_a_peer_leaves_unread_is_charged_and_without_memory_its_channel_is_aborted():
    async def scenario():
        connections, _time = table(total=8 * BODY_BYTES)
        peer = accepted_channel(connections)
        frame = pb.Frame(call=pb.Call(id=1, body=bytes(BODY_BYTES)))
        peer.channel.send(frame)
        await asyncio.sleep(0)
        assert connections.memory.used == IDLE_BYTES + peer.transport.unsent
        for _ in range(8):
            peer.channel.send(frame)
        await asyncio.sleep(0)
        assert peer.transport.aborted
        peer.channel.connection_lost(None)
        assert connections.memory.used == 0

    run(scenario())


def test_a_peer_that_is_slow_for_a_moment_keeps_its_channel_while_there_is_memory():
    """Also where few more connections could be accepted."""

    async def scenario():
        connections, _time = table(total=8 * BODY_BYTES, limit=8)
        peer, *_others = [accepted_channel(connections) for _ in range(8)]
        assert connections.is_nearly_full
        peer.channel.send(pb.Frame(call=pb.Call(id=1, body=bytes(BODY_BYTES))))
        await asyncio.sleep(0)
        assert not peer.transport.aborted

    run(scenario())


def test_a_channel_that_has_sent_a_frame_does_not_give_way_to_a_new_one():
    async def scenario():
        connections, _time = table(limit=2)
        peer, stranger = accepted_channel(connections), accepted_channel(connections)
        frame = pb.Frame(call=pb.Call(id=1)).SerializeToString()
        peer.channel.data_received(len(frame).to_bytes(LENGTH_BYTES, "big") + frame)
        accepted_channel(connections)
        assert stranger.transport.aborted and not peer.transport.aborted

    run(scenario())


def test_what_is_about_to_be_sent_is_charged_until_the_peer_has_taken_it():
    async def scenario():
        connections, _time = table(total=4 * BODY_BYTES)
        peer, other = accepted_channel(connections), accepted_channel(connections)
        frame = pb.Frame(call=pb.Call(id=1)).SerializeToString()
        for each in (peer, other):  # a channel that has sent a frame does not give way
            each.channel.data_received(len(frame).to_bytes(LENGTH_BYTES, "big") + frame)
        assert peer.channel.try_hold_unsent(SMALL_BODY_BYTES)
        assert connections.memory.used == 2 * IDLE_BYTES
        assert peer.channel.try_hold_unsent(2 * BODY_BYTES)
        assert not other.channel.try_hold_unsent(2 * BODY_BYTES)
        peer.channel.resume_writing()
        assert connections.memory.used == 2 * IDLE_BYTES
        assert other.channel.try_hold_unsent(100 * BODY_BYTES), "held alone"

    run(scenario())
