"""Serves clients with hypercorn's HTTP, and bounds how long they may take by the operator's limits.

hypercorn knows one time-out, for connections that rest.  Here the time for a request's head counts from its
first byte, so that a head that drips in is answered 408, and a connection rests for `IdleTimeoutMs`.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

from absl import logging
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.tcp_server import MAX_RECV, TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.events import Closed, Event, RawData

from .. import early_listener
from ..errors import ERROR_RESPONSES, ErrorKind
from ..serving import http_config
from ..settings.configuration import Limits

LINGER_S = 0.5  # how long a connection that is closed takes in what its client still sends
REASONS = {408: b"Request Timeout"}


class Waiting(Enum):
    """What a connection waits for."""

    REQUEST = "request"  # no byte of the next request has come
    HEAD = "head"  # a head has begun
    ANSWER = "answer"  # a request is served: no limit of the client's counts


class RequestTimer:
    """When a connection has waited too long for a request.  hypercorn starts and stops it."""

    def __init__(self, limits: Callable[[], Limits], close: Callable[[], None], loop):
        self._limits, self._close, self._loop = limits, close, loop
        self._resting: asyncio.TimerHandle | None = None
        self.waiting = Waiting.ANSWER
        self.head_due: float | None = None  # loop time until which the head that has begun must be there

    async def restart(self, _task_group, _action) -> None:
        """The connection rests from now on (called by hypercorn)."""
        self._enter(Waiting.REQUEST)

    async def stop(self) -> None:
        """A whole head has come, or the connection has ended (called by hypercorn)."""
        self._enter(Waiting.ANSWER)

    def received(self) -> None:
        """Bytes have come: a head begins if none was under way."""
        if self.waiting is Waiting.REQUEST:
            self._enter(Waiting.HEAD)

    def _enter(self, waiting: Waiting) -> None:
        """The one place where the state changes, and the timers with it."""
        if self._resting is not None:
            self._resting.cancel()
            self._resting = None
        self.waiting, self.head_due = waiting, None
        if waiting is Waiting.REQUEST:
            self._resting = self._loop.call_later(self._limits().idle_timeout_s, self._close)
        elif waiting is Waiting.HEAD:
            self.head_due = self._loop.time() + self._limits().header_timeout_s


class ClientConnection(TCPServer):
    """One connection of a client."""

    def __init__(self, server: "ClientServer", reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        loop = asyncio.get_running_loop()
        super().__init__(server.app, loop, server.config, server.context, {}, reader, writer)
        self.idle_task = RequestTimer(server.limits, writer.close, loop)
        self._lingering: asyncio.TimerHandle | None = None

    def close_if_resting(self) -> None:
        """Close the connection unless a request is under way on it."""
        if self.idle_task.waiting is not Waiting.ANSWER:
            self.writer.close()

    async def protocol_send(self, event: Event) -> None:
        """What hypercorn's protocol asks for: a close is a lingering one."""
        if isinstance(event, Closed):
            self._linger()
        else:
            await super().protocol_send(event)

    def _linger(self) -> None:
        """Say that nothing more comes, and take in what the client still sends until it closes.

        A socket that is closed with bytes unread resets the connection, and the answer that was just sent is
        lost with it: RFC 9112, section 9.6.
        """
        if self._lingering is not None or self.writer.is_closing():
            return
        self._lingering = asyncio.get_running_loop().call_later(LINGER_S, self.writer.close)
        with suppress(OSError, RuntimeError):
            self.writer.write_eof()

    async def _close(self) -> None:
        if self._lingering is not None:
            self._lingering.cancel()
        await super()._close()

    async def _read_data(self) -> None:
        while not self.reader.at_eof():
            head_due = asyncio.timeout_at(self.idle_task.head_due)
            try:
                async with head_due:
                    data = await self.reader.read(MAX_RECV)
            except OSError:
                if head_due.expired():
                    await self.protocol_send(RawData(closing_answer(ErrorKind.HEADERS_TOO_SLOW)))
                break
            if self._lingering is not None or self.writer.is_closing():
                continue  # a request that crosses the close of its connection is not passed on
            self.idle_task.received()
            await self.protocol.handle(RawData(data))
        await self.protocol.handle(Closed())


class ClientServer:
    """Serves an application to clients until it is told to stop."""

    def __init__(self, app, limits: Callable[[], Limits]):
        self.app, self.limits = ASGIWrapper(app), limits
        self.config = http_config()
        self.context = WorkerContext(None)
        self._connections: dict[ClientConnection, asyncio.Task] = {}

    async def serve(self, address: str, stop: asyncio.Event, graceful_s: float) -> None:
        """Serve at HOST:PORT until the event is set; open requests have `graceful_s` seconds to end then."""
        listener = early_listener.take(address) or early_listener.listening(address)
        server = await asyncio.start_server(self._serve_one, sock=listener, backlog=early_listener.BACKLOG)
        try:
            await stop.wait()
        finally:
            server.close()
            await self._end(graceful_s)

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ClientConnection(self, reader, writer)
        self._connections[connection] = asyncio.current_task()
        try:
            await connection.run()
        except asyncio.CancelledError:  # an ordinary end; asyncio would print a traceback
            logging.info("connection closed in mid-request: the grace period is over")
        finally:
            del self._connections[connection]

    async def _end(self, graceful_s: float) -> None:
        await self.context.terminated.set()  # connections close after the request that they serve
        for connection in self._connections:
            connection.close_if_resting()
        tasks = set(self._connections.values())
        if not tasks:
            return
        _done, late = await asyncio.wait(tasks, timeout=graceful_s)
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)


def closing_answer(kind: ErrorKind) -> bytes:
    """An answer of an error kind, in bytes, after which the connection closes."""
    status = ERROR_RESPONSES[kind].status
    lines = (
        b"HTTP/1.1 %d %s" % (status, REASONS[status]),
        b"content-length: 0",
        b"connection: close",
        b"",
        b"",
    )
    return b"\r\n".join(lines)
