"""A worker that reads a long request slowly does not lose its connection.

The failure: a body of 4 MB is sent to a worker that reads nothing for 3 s.  The kernel applies its timeout
for unacknowledged bytes, 1.5 s, also while the receive window is full.  It closed the connection, and the
client got a 502 after 2.0 s although the worker would have continued.

The kernel's timers do not follow a virtual loop, so the tests check the socket option.
"""

import asyncio
import json
import socket

import pytest
from virtual_time import clock, run_virtual
from wire import Client, ScriptedWorker, answer, data_plane, request

from molespur.system.data_plane import network

SHORT, LONG = 4_000, 2 << 20
TIMEOUT_MS = 9000


def configuration():
    route = {"Name": "r", "Host": "shop.example", "PathPrefix": "/p/", "Service": "s", "MaxAttempts": 1}
    route.update({"Type": "non_idempotent", "TimeoutMs": TIMEOUT_MS, "TargetLatencyMs": 3000})
    limits = {
        "MaxHeaderBytes": 16_384,
        "MaxBodyBytes": 4 << 20,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 9000,
    }
    services = [{"Name": "s", "MaxConnections": 9}]
    return json.dumps({"Version": 1, "Routes": [route], "Services": services, "Limits": limits}).encode()


class LateReader(ScriptedWorker):
    """Reads the head of a request, but its body only after `may_read` is set."""

    def __init__(self):
        super().__init__("w", answer)
        self.has_head, self.may_read = asyncio.Event(), asyncio.Event()

    async def _connection(self, reader, writer):
        class Held:
            """The reader, whose first read of the body waits."""

            async def readuntil(_self, separator):
                return await reader.readuntil(separator)

            async def readexactly(_self, length):
                self.has_head.set()
                await self.may_read.wait()
                return await reader.readexactly(length)

        await super()._connection(Held(), writer)


@pytest.fixture
def streams(monkeypatch):
    """The connections opened to workers."""
    opened = []

    class RecordedStream(network.WorkerStream):
        def connection_made(self, transport):
            super().connection_made(transport)
            opened.append(self)

    monkeypatch.setattr(network, "WorkerStream", RecordedStream)
    return opened


def kernel_timeout_ms(stream):
    sock = stream._transport.get_extra_info("socket")
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


@pytest.mark.parametrize(("size", "long"), [(SHORT, False), (LONG, True)])
def test_a_long_body_may_be_read_slowly(streams, size, long):
    async def scenario():
        worker = LateReader()
        async with data_plane(configuration(), worker, clock=clock) as (port, _):
            client = await Client.connect(port)
            await client.send(request(body=b"x" * size, deadline=TIMEOUT_MS))
            await worker.has_head.wait()
            (stream,) = streams
            assert (kernel_timeout_ms(stream) >= TIMEOUT_MS) == long
            worker.may_read.set()
            status, _, _, complete = await client.response()
            assert (status, complete) == (200, True)
            assert kernel_timeout_ms(stream) == network.UNACKNOWLEDGED_MS, (
                "a dead worker is detected soon again"
            )
            await client.send(request(attempt=b"a2", deadline=TIMEOUT_MS))
            assert (await client.response())[0] == 200 and len(streams) == 1

    run_virtual(scenario())
