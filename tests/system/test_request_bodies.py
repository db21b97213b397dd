"""Bodies of requests within the memory budget of a scheduler.

These tests guard against a scheduler that goes over its memory (review/3): nothing bounded the bodies that
it held at once, and each was held several times.
"""

import asyncio
import json
import socket
from contextlib import asynccontextmanager

import pytest
from wire import Client, ScriptedWorker, answer, chunk, data_plane, header, request, run

from molespur.system.inbound import request_body
from molespur.system.inbound.memory import SMALL_BODY_BYTES, MemoryBudget

BODY_BYTES = 1 << 20
MAX_BODY_BYTES = 2 << 20
LONG_RESPONSE_BYTES = 7 << 20  # more than the kernel buffers between the scheduler and a client
LONG_DEADLINE_MS = 60_000  # half of it is the longest wait for memory
TOTAL = 3 << 20  # two bodies fit beside the reserve for small ones
SIZES = (0, 1, 1000, SMALL_BODY_BYTES - 1, SMALL_BODY_BYTES, SMALL_BODY_BYTES + 1, 200_000, MAX_BODY_BYTES)


def configuration():
    route = {
        "Name": "r", "Host": "shop.example", "PathPrefix": "/p/", "Type": "non_idempotent", "Service": "s",
        "TimeoutMs": 8000, "TargetLatencyMs": 300, "MaxAttempts": 1,
    }  # fmt: skip
    limits = {"MaxBodyBytes": MAX_BODY_BYTES}
    services = [{"Name": "s", "MaxConnections": 200}]
    return json.dumps({"Version": 1, "Routes": [route], "Services": services, "Limits": limits}).encode()


@asynccontextmanager
async def serving(*scripts):
    """A scheduler with a budget of TOTAL; yields (port, ingress, worker)."""
    worker = ScriptedWorker("w", *scripts)
    async with data_plane(configuration(), worker) as (port, ingress):
        ingress.memory = MemoryBudget(TOTAL)
        yield port, ingress, worker


def body_of(size):
    return bytes(number % 251 for number in range(size))


def received_body(raw):
    return raw.partition(b"\r\n\r\n")[2]


def chunked(body, piece=30_000):
    """A request whose body comes in chunks."""
    head = request().replace(b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n")
    pieces = [chunk(body[start : start + piece]) for start in range(0, len(body), piece)]
    return head + b"".join(pieces) + b"0\r\n\r\n"


async def connect_slow_reader(port):
    """A client whose kernel takes in little that it doesn't read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return Client(*await asyncio.open_connection(sock=sock))


async def until(condition):
    """Wait on the loop until a condition holds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_body_of_any_size_arrives_unchanged_and_its_memory_is_returned(size, framing):
    async def scenario():
        async with serving(answer) as (port, ingress, worker):
            body = body_of(size)
            client = await Client.connect(port)
            await client.send(request(body=body) if framing == "length" else chunked(body))
            assert (await client.response())[0] == 200
            assert received_body(worker.requests[0]) == body
            assert int(header(worker.requests[0], b"Content-Length") or 0) == size
            await until(lambda: ingress.memory.used == 0)

    run(scenario())


def test_many_bodies_at_once_are_all_served_within_the_budget_and_small_requests_beside_them():
    async def scenario():
        released = asyncio.Event()

        def hold(received):
            large = len(received) > SMALL_BODY_BYTES
            return [released, answer(received)] if large else answer(received)

        async with serving(hold) as (port, ingress, worker):
            clients = [await Client.connect(port) for _ in range(12)]
            sending = [
                asyncio.create_task(client.send(request(body=body_of(BODY_BYTES), deadline=LONG_DEADLINE_MS)))
                for client in clients
            ]
            await until(lambda: ingress.memory.waiting == 10)
            await until(lambda: len(worker.requests) == 2)
            assert ingress.memory.used <= TOTAL
            small = await Client.connect(port)
            for _ in range(3):
                await small.send(request(body=b"small"))
                assert (await small.response())[0] == 200
            released.set()
            statuses = await asyncio.gather(*(client.response() for client in clients))
            assert [status for status, *_ in statuses] == [200] * 12
            await asyncio.gather(*sending)
            await until(lambda: ingress.memory.used == 0 and ingress.memory.waiting == 0)

    run(scenario())


def test_a_body_without_room_gets_a_503_that_its_client_can_read_while_it_still_sends(monkeypatch):
    monkeypatch.setattr(request_body, "MAX_MEMORY_WAIT_SHARE", 0.001)

    async def scenario():
        async with serving(answer) as (port, ingress, worker):
            in_use = ingress.memory.charge(TOTAL)
            client = await Client.connect(port)
            await client.send(request(body=body_of(BODY_BYTES)))
            status, head, _, complete = await client.response()
            assert (status, complete) == (503, True)
            assert header(head, b"Retry-After") and header(head, b"Connection") == b"close"
            assert await client.reader.read() == b"", "closed in order, not by a reset"
            assert worker.requests == [] and ingress.memory.waiting == 0
            in_use.release()
            assert ingress.memory.used == 0
            again = await Client.connect(port)
            await again.send(request(body=body_of(BODY_BYTES)))
            assert (await again.response())[0] == 200

    run(scenario())


def test_a_request_without_a_body_needs_no_room():
    async def scenario():
        async with serving(answer) as (port, ingress, _worker):
            in_use = ingress.memory.charge(2 * TOTAL)  # responses may take more than the budget
            client = await Client.connect(port)
            await client.send(request())
            assert (await client.response())[0] == 200
            in_use.release()
            assert ingress.memory.used == 0

    run(scenario())


def test_a_body_that_is_declared_too_long_is_refused_before_it_is_read():
    async def scenario():
        async with serving(answer) as (port, ingress, _worker):
            client = await Client.connect(port)
            head = request().replace(b"Content-Length: 0", b"Content-Length: %d" % (MAX_BODY_BYTES + 1))
            await client.send(head)
            status, *_ = await client.response()
            assert status == 413 and ingress.memory.used == 0

    run(scenario())


def test_a_body_in_chunks_that_grows_too_long_is_refused_and_its_memory_is_returned():
    async def scenario():
        async with serving(answer) as (port, ingress, worker):
            client = await Client.connect(port)
            sending = asyncio.create_task(client.send(chunked(body_of(MAX_BODY_BYTES + 1))))
            status, *_ = await client.response()
            assert status == 413 and worker.requests == []
            await until(lambda: ingress.memory.used == 0)
            await sending

    run(scenario())


@pytest.mark.parametrize("sent", [0, 1000, BODY_BYTES // 2, BODY_BYTES], ids=["head", "some", "half", "all"])
@pytest.mark.parametrize("has_room", [True, False], ids=["room", "no-room"])
def test_a_client_that_leaves_returns_its_memory_whatever_it_has_sent(sent, has_room):
    async def scenario():
        async with serving(lambda _received: [asyncio.Event()]) as (port, ingress, _worker):
            in_use = ingress.memory.charge(0 if has_room else TOTAL)
            client = await Client.connect(port)
            head, body = request(body=body_of(BODY_BYTES)).split(b"\r\n\r\n", 1)
            sending = asyncio.create_task(client.send(head + b"\r\n\r\n" + body[:sent]))
            await until(lambda: ingress.open_requests == 1)
            client.writer.transport.abort()
            await asyncio.gather(sending, return_exceptions=True)
            in_use.release()
            await until(lambda: ingress.open_requests == 0 and ingress.memory.used == 0)

    run(scenario())


def test_a_buffered_response_counts_until_its_client_has_it():
    async def scenario():
        large = bytes(LONG_RESPONSE_BYTES)
        async with serving(lambda received: answer(received, large)) as (port, ingress, _worker):
            client = await connect_slow_reader(port)
            await client.send(request())
            await until(lambda: ingress.memory.used == len(large))  # the client reads nothing yet
            status, _, body, complete = await client.response()
            assert (status, body == large, complete) == (200, True, True)
            await until(lambda: ingress.memory.used == 0)

    run(scenario())
