"""A response goes to its own caller, and a non-repeatable request is sent once, whatever a worker does.

Each history is a few requests through one scheduler to workers on loopback that garble, duplicate, delay,
truncate and reset their responses at every byte.  All random draws follow from the history's seed.
"""

import asyncio
import json
import os
import socket
import struct
from collections import Counter
from random import Random

import pytest
from wire import (
    LAST_CHUNK,
    Client,
    ScriptedWorker,
    answer,
    chunk,
    data_plane,
    event,
    header,
    not_executed,
    request,
    stream_head,
)

from molespur.system.data_plane.answer_checks import check_head
from molespur.system.data_plane.exchange_messages import Failure
from molespur.system.data_plane.upstream import Head, UpstreamError

HISTORIES = int(os.environ.get("ANSWER_HISTORIES", "240"))  # 10,000 in nightly runs
PARTS = 4
MAX_TRIES = 8  # of a request that is refused as not run, as on a busy machine
NOT_RUN_STATUSES = (408, 421, 429, 503)  # they promise that the request has not run and never will
KINDS = (
    "complete", "cut", "reset", "double", "stray", "rejects another", "unframed", "unframed and reset",
    "early", "late", "rejected", "silent close", "garbage", "in pieces",
)  # fmt: skip


def configuration(route_type, **route):
    made = {"Name": "r", "Host": "shop.example", "PathPrefix": "/p/", "Type": route_type, "Service": "s"}
    made.update({"TimeoutMs": 5000, "TargetLatencyMs": 300, "MaxAttempts": 2, **route})
    service = {"Name": "s", "MaxConnections": 50}
    return json.dumps({"Version": 1, "Routes": [made], "Services": [service]}).encode()


class FaultyWorker(ScriptedWorker):
    """Responds in a randomly drawn way to each request, and records which it ran."""

    def __init__(self, name, random, ran, met, streams=False):
        super().__init__(name, None)
        self.random, self.ran, self.met, self.streams = random, ran, met, streams
        self.earlier = []  # ids of the requests that this worker has responded to

    def complete(self, received):
        attempt = header(received, b"Molespur-Attempt-Id")
        if self.streams:
            return stream_head(received) + b"".join(map(chunk, events(attempt))) + LAST_CHUNK
        return answer(received, b"for " + attempt)

    def unframed(self, received, attempt):
        """The same head without a length, and the body that follows it."""
        start, _, body = self.complete(received).partition(b"\r\n\r\n")
        lines = [line for line in start.split(b"\r\n") if not line.lower().startswith(FRAMING)]
        return b"\r\n".join(lines) + b"\r\n\r\n", b"".join(events(attempt)) if self.streams else body

    async def _connection(self, reader, writer):
        try:
            while await self._one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _one(self, reader, writer):
        """Serve one request; return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(header(head, b"Content-Length") or 0)
        kind = self.random.choice(KINDS)
        self.met[kind] += 1
        attempt = header(head, b"Molespur-Attempt-Id")
        if kind == "early" and length:
            writer.write(rejection(attempt))
            await reader.readexactly(length)
            return True
        if length:
            await reader.readexactly(length)
        if kind == "rejected" or kind == "early":
            writer.write(rejection(attempt))
            return True
        self.ran.append((attempt, self.name))
        return await self._answer(writer, kind, head, attempt)

    async def _answer(self, writer, kind, head, attempt):
        data = self.complete(head)
        at = self.random.randrange(len(data))
        earlier = self.random.choice(self.earlier) if self.earlier else b"0000"
        self.earlier.append(attempt)
        match kind:
            case "complete":
                writer.write(data)
            case "cut":
                writer.write(data[:at])
                return False
            case "reset":
                writer.write(data[:at])
                await writer.drain()
                reset(writer)
                return False
            case "double":
                writer.write(data + data)
            case "stray":
                writer.write(self.complete(b"X\r\nMolespur-Attempt-Id: %s\r\n\r\n" % earlier) + data)
            case "rejects another":
                writer.write(rejection(earlier) + data)
            case "unframed" | "unframed and reset":
                start, body = self.unframed(head, attempt)
                writer.write(start + body[: at % (len(body) + 1)])
                if kind == "unframed and reset":
                    await writer.drain()
                    reset(writer)
                return False
            case "late":
                for _ in range(20):
                    await asyncio.sleep(0)
                writer.write(data)
            case "silent close":
                return False
            case "garbage":
                writer.write(bytes(self.random.randrange(256) for _ in range(60)) + b"\r\n\r\n")
                return False
            case "in pieces":
                for piece in (data[:at], data[at:]):
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0)
        return True


FRAMING = (b"content-length", b"transfer-encoding")


def events(attempt):
    """The events of an attempt's stream."""
    return [event(number) + b": " + attempt + b"\n\n" for number in (1, 2, 3)]


def rejection(attempt):
    received = b"X\r\nMolespur-Attempt-Id: %s\r\n\r\n" % attempt
    return not_executed(received)


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class History:
    """Requests on a few connections, some of whose callers disconnect; then all responses are checked."""

    def __init__(self, seed, route_type, resumable=False):
        self.random, self.route_type, self.resumable = Random(seed), route_type, resumable
        self.ran, self.met, self.responses = [], Counter(), {}
        self.streams = route_type == "streaming"
        self.workers = [
            FaultyWorker(f"w{n}", Random(seed * 10 + n), self.ran, self.met, self.streams) for n in (1, 2, 3)
        ]

    async def play(self):
        route = configuration(self.route_type, Resumable=self.resumable)
        async with data_plane(route, *self.workers, retry_budget_min=1000.0) as (port, _):
            await asyncio.gather(*(self._caller(port, number) for number in range(3)))
        self.check()

    async def _caller(self, port, number):
        client = None
        for index in range(4):
            attempt = b"%d.%d" % (number, index)
            client = client or await Client.connect(port)
            size = self.random.choice((0, 0, 10, 200_000))
            disconnects = self.random.random() < 0.15
            await client.send(request(attempt=attempt, body=b"b" * size))
            if disconnects:
                self.met["caller disconnected"] += 1
                client.writer.close()
                client = None
                continue
            try:
                status, head, body, complete = await client.response()
            except (asyncio.IncompleteReadError, ConnectionError):
                client = None
                continue
            self.responses[attempt] = (status, head, body, complete)
            if not complete or header(head, b"Connection") == b"close":
                client = None
        if client is not None:
            client.writer.close()

    def check(self):
        runs = Counter(attempt for attempt, _ in self.ran)
        self.met["run again"] += sum(count > 1 for count in runs.values())
        for attempt, count in runs.items():
            max_runs = 2 if self.route_type == "idempotent" or self.resumable else 1
            assert count <= max_runs, f"{attempt} was sent {count} times"
        for attempt, (status, head, body, complete) in self.responses.items():
            if status in NOT_RUN_STATUSES:
                assert not runs[attempt], f"{status} promises that {attempt} has not run, but it ran"
            if status == 200:
                assert header(head, b"Molespur-Attempt-Id") == attempt
                self._check_body(attempt, body, complete)

    def _check_body(self, attempt, body, complete):
        if not self.streams:
            assert complete and body == b"for " + attempt, (attempt, body)
            return
        expected = b"".join(events(attempt))
        assert body == expected if complete else expected.startswith(body), (attempt, body)


@pytest.mark.parametrize("part", range(PARTS))
@pytest.mark.parametrize("route_type", ["non_idempotent", "idempotent", "streaming"])
def test_every_response_is_the_callers_own_and_nothing_runs_twice(route_type, part):
    met = Counter()

    async def histories():
        for seed in range(part, HISTORIES // 3, PARTS):
            history = History(seed, route_type)
            async with asyncio.timeout(20):
                await history.play()
            met.update(history.met)

    asyncio.run(histories())
    assert not [kind for kind in (*KINDS, "caller disconnected") if not met[kind]], met
    assert bool(met["run again"]) == (route_type == "idempotent"), (
        "repeatable requests, and only these, run again"
    )


class PlannedWorker(FaultyWorker):
    """Ends its first response in a given way at a given byte, and completes the later ones."""

    def __init__(self, kind, at, ran, streams=False):
        super().__init__("w1", Random(0), ran, Counter(), streams)
        self.kind, self.at = kind, at

    async def _one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        attempt = header(head, b"Molespur-Attempt-Id")
        self.ran.append((attempt, self.name))
        data = self.complete(head)
        if self.kind is None:
            writer.write(data)
            return True
        kind, self.kind = self.kind, None
        writer.write(data[: self.at])
        await writer.drain()
        if kind == "reset":
            reset(writer)
        return False


@pytest.mark.parametrize("kind", ["cut", "reset"])
@pytest.mark.parametrize("streams", [False, True])
def test_a_response_truncated_at_any_byte_is_not_taken_for_complete(kind, streams):
    """The request, which is not repeatable, is not sent again, and the next one gets its own response."""
    length = len(FaultyWorker("w", Random(0), [], Counter(), streams).complete(request(attempt=b"broken.0")))
    route = configuration("streaming" if streams else "non_idempotent")

    async def result(port, ran, name):
        """(status, complete) of a request; one that is refused as not run is sent again."""
        for number in range(MAX_TRIES):
            attempt = b"%s.%d" % (name, number)
            client = await Client.connect(port)
            await client.send(request(attempt=attempt))
            try:
                status, _, _, complete = await client.response()
            except (asyncio.IncompleteReadError, ConnectionError):
                status, complete = None, False
            client.writer.close()
            if status not in NOT_RUN_STATUSES:
                return status, complete
            assert attempt not in [ran_attempt for ran_attempt, _ in ran], f"{status} for a request that ran"
        raise AssertionError("every try was refused as not run")

    async def one(at):
        ran = []
        async with data_plane(route, PlannedWorker(kind, at, ran, streams)) as (port, _):
            status, complete = await result(port, ran, b"broken")
            assert not (status == 200 and complete), at
            assert await result(port, ran, b"next") == (200, True), at
        assert [attempt.partition(b".")[0] for attempt, _ in ran] == [b"broken", b"next"]

    async def all_of_them():
        for at in range(length):
            async with asyncio.timeout(10):
                await one(at)

    asyncio.run(all_of_them())


@pytest.mark.parametrize(
    ("attempt", "status", "failure"),
    [
        (b"a1", 503, Failure.REJECTED),
        (b"a1", 421, Failure.REJECTED),
        (None, 503, Failure.MAY_HAVE_RUN),
        (None, 421, Failure.MAY_HAVE_RUN),
        (b"other", 503, Failure.MAY_HAVE_RUN),
        (b"other", 421, Failure.MAY_HAVE_RUN),
        (b"other", 200, Failure.MAY_HAVE_RUN),
    ],
)
def test_a_rejection_of_another_request_is_no_rejection_of_this_one(attempt, status, failure):
    headers = [(b"molespur-not-executed", b"1")] if status == 503 else []
    if attempt is not None:
        headers.append((b"molespur-attempt-id", attempt))
    with pytest.raises(UpstreamError) as caught:
        check_head(Head(status, headers), b"a1")
    assert caught.value.failure is failure
