"""Serves clients with hypercorn's HTTP, within the operator's time limits for clients.

hypercorn has one timeout, for idle connections.  Here the time for a request's head counts from its first
byte, so a head that arrives too slowly gets a 408, and a connection may be idle for `IdleTimeoutMs`.
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

LINGER_S = 0.5  # a closing connection still reads what its client sends, until nothing has come for so long
MAX_LINGER_S = 8.0  # the longest time for that
REASON_PHRASES = {408: b"Request Timeout"}


class WaitState(Enum):
    """What a connection waits for."""

    REQUEST = "request"  # idle: no byte of the next request has come
    HEAD = "head"  # a head has begun
    RESPONSE = "answer"  # a request is being served: no limit on the client applies


class RequestTimer:
    """Times the wait for a request; closes a connection that is idle for too long.  Driven by hypercorn."""

    def __init__(self, limits: Callable[[], Limits], close: Callable[[], None], loop):
        self._limits, self._close, self._loop = limits, close, loop
        self._idle_timer: asyncio.TimerHandle | None = None
        self.state = WaitState.RESPONSE
        self.head_due: float | None = None  # loop time at which a head that has begun must be complete

    async def restart(self, _task_group, _action) -> None:
        """The connection is idle from now on (called by hypercorn)."""
        self._set_state(WaitState.REQUEST)

    async def stop(self) -> None:
        """A complete head has come, or the connection has ended (called by hypercorn)."""
        self._set_state(WaitState.RESPONSE)

    def record_received(self) -> None:
        """Bytes have come: a head begins if the connection was idle."""
        if self.state is WaitState.REQUEST:
            self._set_state(WaitState.HEAD)

    def _set_state(self, state: WaitState) -> None:
        """Change the state and its timers; nothing else does."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        self.state, self.head_due = state, None
        if state is WaitState.REQUEST:
            self._idle_timer = self._loop.call_later(self._limits().idle_timeout_s, self._close)
        elif state is WaitState.HEAD:
            self.head_due = self._loop.time() + self._limits().header_timeout_s


class ClientConnection(TCPServer):
    """One connection of a client."""

    def __init__(self, server: "ClientServer", reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        loop = asyncio.get_running_loop()
        super().__init__(server.app, loop, server.config, server.context, {}, reader, writer)
        self.idle_task = RequestTimer(server.limits, writer.close, loop)
        self._lingering: asyncio.TimerHandle | None = None
        self._linger_ends_at = 0.0  # loop time

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being served on it."""
        if self.idle_task.state is not WaitState.RESPONSE:
            self.writer.close()

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of hypercorn's protocol: a close is a lingering one."""
        if isinstance(event, Closed):
            self._linger()
        else:
            await super().protocol_send(event)

    def _linger(self) -> None:
        """Close the sending side, and read what the client still sends until it closes its side.

        Closing a socket with unread bytes resets the connection, and the response that was just sent is lost
        with it: RFC 9112, section 9.6.
        """
        if self._lingering is not None or self.writer.is_closing():
            return
        self._linger_ends_at = asyncio.get_running_loop().time() + MAX_LINGER_S
        self._restart_linger()
        with suppress(OSError, RuntimeError):
            self.writer.write_eof()

    def _restart_linger(self) -> None:
        """Close the connection when nothing more has come for a while."""
        if self._lingering is not None:
            self._lingering.cancel()
        loop = asyncio.get_running_loop()
        ends_at = min(loop.time() + LINGER_S, self._linger_ends_at)
        self._lingering = loop.call_at(ends_at, self.writer.close)

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
                    await self.protocol_send(RawData(closing_response(ErrorKind.HEADERS_TOO_SLOW)))
                break
            if self.writer.is_closing():
                continue
            if self._lingering is not None:
                self._restart_linger()
                continue  # ignore a request that arrives after the connection has begun to close
            self.idle_task.record_received()
            await self.protocol.handle(RawData(data))
        await self.protocol.handle(Closed())


class ClientServer:
    """Serves an application to clients until it is stopped."""

    def __init__(self, app, limits: Callable[[], Limits]):
        self.app, self.limits = ASGIWrapper(app), limits
        self.config = http_config()
        self.context = WorkerContext(None)
        self._connections: dict[ClientConnection, asyncio.Task] = {}

    async def serve(self, address: str, stop: asyncio.Event, graceful_s: float) -> None:
        """Serve at HOST:PORT until the event is set; then open requests have `graceful_s` seconds to end."""
        listener = early_listener.take(address) or early_listener.open_listener(address)
        server = await asyncio.start_server(
            self._serve_connection, sock=listener, backlog=early_listener.BACKLOG
        )
        try:
            await stop.wait()
        finally:
            server.close()
            await self._close_connections(graceful_s)

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ClientConnection(self, reader, writer)
        self._connections[connection] = asyncio.current_task()
        try:
            await connection.run()
        except asyncio.CancelledError:  # expected here; asyncio would print a traceback
            logging.info("closed a client connection during a request: the grace period is over")
        finally:
            del self._connections[connection]

    async def _close_connections(self, graceful_s: float) -> None:
        await self.context.terminated.set()  # connections close after their current request
        for connection in self._connections:
            connection.close_if_idle()
        tasks = set(self._connections.values())
        if not tasks:
            return
        _done, unfinished = await asyncio.wait(tasks, timeout=graceful_s)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)


def closing_response(kind: ErrorKind) -> bytes:
    """The bytes of the response of an error kind, after which the connection closes."""
    status = ERROR_RESPONSES[kind].status
    lines = (
        b"HTTP/1.1 %d %s" % (status, REASON_PHRASES[status]),
        b"content-length: 0",
        b"connection: close",
        b"",
        b"",
    )
    return b"\r\n".join(lines)
