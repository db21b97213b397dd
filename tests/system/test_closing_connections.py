"""A connection that is closed after an answer is closed so that the client can read that answer.

The failure behind these tests: a scheduler was told to stop; a client had sent requests ahead, and was
still sending the last of them. The scheduler answered the first with `Connection: close` and closed its
socket with bytes unread, which the system turns into a reset. The client's next write failed, and the
answer that had arrived was lost with the connection, though a worker had run the request.

Evidence: the soak's history of seed 17 (the request ran, `no answer` 60 ms later, the one after it
`unsent` in the same moment), and none of it where nothing was sent ahead.
"""

import asyncio
import socket

from test_data_plane_wire import configuration
from wire import Client, ScriptedWorker, answer, data_plane, request, run

from molespur.system.data_plane import client_server
from molespur.system.settings.configuration import Limits

PIECES = 20
MOST_PIECES = 100_000


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


def test_a_client_that_has_sent_ahead_reads_the_answer_before_the_close():
    async def scenario(client, ingress):
        ingress.stopping = True
        await client.send(request())
        status, head, _body, whole = await client.response()
        assert status == 200 and whole and b"close" in head.lower()
        for _ in range(PIECES):  # what was under way when the answer came
            await client.send(b"x" * 1000)
            await asyncio.sleep(0)
        assert await client.reader.read() == b"", "in order, not by a reset"

    served(scenario)


def test_a_client_that_goes_on_for_ever_does_not_hold_the_connection(monkeypatch):
    monkeypatch.setattr(client_server, "LINGER_S", 0.0)

    async def scenario(client, ingress):
        ingress.stopping = True
        await client.send(request())
        assert (await client.response())[0] == 200
        for _ in range(MOST_PIECES):
            try:
                await client.send(b"x" * 1000)
            except OSError:
                return
            await asyncio.sleep(0)
        raise AssertionError("the connection is held open")

    served(scenario)


def test_a_body_that_is_too_long_is_answered_while_its_client_still_sends():
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


def test_a_request_that_comes_as_its_connection_is_closed_is_not_passed_on():
    """Its bytes had been read in the turn of the loop in which the time to rest was over.

    A worker would run it, and its client would get no answer.
    """

    async def scenario():
        served = []

        async def app(scope, _receive, _send):
            served.append(scope)

        server = client_server.ClientServer(app, Limits)
        reader = asyncio.StreamReader()
        writer = ClosingWriter()
        connection = client_server.ClientConnection(server, reader, writer)
        running = asyncio.ensure_future(connection.run())
        await asyncio.sleep(0)
        reader.feed_data(request())
        connection.close_if_idle()
        reader.feed_eof()
        await running
        assert writer.closing and served == []

    run(scenario())


class ClosingWriter:
    """A client's connection as its server writes it."""

    closing = False

    def get_extra_info(self, name):
        return FakeSocket() if name == "socket" else None

    def is_closing(self):
        return self.closing

    def write(self, _data):
        """Nobody reads it."""

    async def drain(self):
        """Nothing is kept back."""

    def write_eof(self):
        """Nothing more comes."""

    def close(self):
        self.closing = True

    async def wait_closed(self):
        """It is closed at once."""


class FakeSocket:
    """The addresses of a connection."""

    family = socket.AF_INET

    def getpeername(self):
        return ("127.0.0.1", 5)

    def getsockname(self):
        return ("127.0.0.1", 6)
