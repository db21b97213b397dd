"""A connection that is closed after a response is closed so that the client can read that response.

The failure: a scheduler stops while a client with pipelined requests is still sending the last of them.  The
scheduler responds to the first with `Connection: close` and closes its socket with unread bytes, which the
kernel turns into a reset.  The client's next write fails, and the response that has arrived is lost with the
connection, although a worker has run the request.  The soak with seed 17 showed it: a request that ran got
`no answer` 60 ms later, and the next one was `unsent` then.  It does not occur without pipelining.
"""

import asyncio
import socket

from test_data_plane_wire import configuration
from wire import Client, ScriptedWorker, answer, data_plane, request, run

from molespur.system.inbound import server as http_server
from molespur.system.settings.configuration import Limits

PIECES = 20
MAX_PIECES = 100_000


def served(scenario):
    """Run a scenario with a scheduler and a client on one connection."""

    async def prepared():
        async with data_plane(configuration(), ScriptedWorker("w", answer)) as (port, ingress):
            client = await Client.connect(port)
            try:
                await scenario(client, ingress)
            finally:
                client.writer.transport.abort()

    run(prepared())


def test_a_client_with_pipelined_requests_reads_the_response_before_the_close():
    async def scenario(client, ingress):
        ingress.stopping = True
        await client.send(request())
        status, head, _body, complete = await client.response()
        assert status == 200 and complete and b"close" in head.lower()
        for _ in range(PIECES):  # what was in flight when the response came
            await client.send(b"x" * 1000)
            await asyncio.sleep(0)
        assert await client.reader.read() == b"", "closed in order, not by a reset"

    served(scenario)


def test_a_client_that_never_stops_sending_does_not_hold_the_connection(monkeypatch):
    monkeypatch.setattr(http_server, "LINGER_S", 0.0)

    async def scenario(client, ingress):
        ingress.stopping = True
        await client.send(request())
        assert (await client.response())[0] == 200
        for _ in range(MAX_PIECES):
            try:
                await client.send(b"x" * 1000)
            except OSError:
                return
            await asyncio.sleep(0)
        raise AssertionError("the connection is held open")

    served(scenario)


def test_a_too_long_body_gets_a_response_while_its_client_still_sends():
    async def scenario(client, _ingress):
        head = request().replace(b"Content-Length: 0", b"Content-Length: 3000000")
        await client.send(head + b"x" * 1_500_000)
        status, *_ = await client.response()
        assert status == 413
        for _ in range(PIECES):
            await client.send(b"x" * 1000)
            await asyncio.sleep(0)
        assert await client.reader.read() == b""

    served(scenario)


def test_a_request_that_arrives_while_its_connection_closes_is_not_served():
    """Its bytes are read in the loop iteration in which the idle timeout expires.

    A worker would run it, and its client would get no response.
    """

    async def scenario():
        served = []

        async def app(scope, _receive, _send):
            served.append(scope)

        server = http_server.HttpServer(app, Limits)
        reader = asyncio.StreamReader()
        writer = ClosingWriter()
        accepted = server.connections.admit()
        connection = http_server.HttpConnection(server, reader, writer, accepted)
        running = asyncio.ensure_future(connection.run())
        await asyncio.sleep(0)
        reader.feed_data(request())
        connection.close_if_idle()
        reader.feed_eof()
        await running
        assert writer.closing and served == []

    run(scenario())


class ClosingWriter:
    """The writer of a client's connection."""

    closing = False
    transport = None

    def get_extra_info(self, name):
        return FakeSocket() if name == "socket" else None

    def is_closing(self):
        return self.closing

    def write(self, _data):
        """Discards the data."""

    async def drain(self):
        """Nothing is buffered."""

    def write_eof(self):
        """Nothing to do."""

    def close(self):
        self.closing = True

    async def wait_closed(self):
        """Closes at once."""


class FakeSocket:
    """The addresses of a connection."""

    family = socket.AF_INET

    def getpeername(self):
        return ("127.0.0.1", 5)

    def getsockname(self):
        return ("127.0.0.1", 6)
