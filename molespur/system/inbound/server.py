"""Serves HTTP/1.1 on one listener, within the time limits for clients and the limits of the process.

Every HTTP listener of the fleet is one of these.  Connections come from the process's connection table, and
their bytes are charged to its memory budget.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from absl import logging
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.events import Closed, Event, RawData
from hypercorn.utils import parse_socket_addr

from .. import early_listener
from ..errors import ERROR_RESPONSES, ErrorKind
from ..settings.process import ProcessLimits
from .app_tasks import AppTaskGroup
from .connections import (
    REQUEST_BYTES,
    AcceptedConnection,
    ConnectionState,
    ConnectionTable,
    client_connections,
)
from .http1 import READ_BYTES, Http1Protocol
from .http_settings import http_config
from .memory import STALL_S, MemoryBudget, budget_bytes
from .request_timer import RequestTimer, TimeLimits, WaitState

LINGER_S = 0.5  # a closing connection still reads what its client sends, until nothing has come for so long
MAX_LINGER_S = 8.0  # the longest time for that
READ_AHEAD_BYTES = 8 << 10  # of a connection; asyncio stops reading at twice as much
WRITE_PIECE_BYTES = 64 << 10  # of a response, given to the connection at once
MAX_UNSENT_BYTES = 16 << 10  # of a response, after which the application waits for its client
GRACEFUL_SHUTDOWN_S = 1.0
ACCEPT_RETRY_S = 0.1  # after the system had no descriptor for a connection
REASON_PHRASES = {408: b"Request Timeout", 503: b"Service Unavailable"}
STATES = {
    WaitState.REQUEST: ConnectionState.IDLE,
    WaitState.HEAD: ConnectionState.HEAD,
    WaitState.RESPONSE: ConnectionState.SERVING,
}


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Time limits of a listener that the operator's configuration does not cover."""

    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


LISTENER_LIMITS = ListenerLimits()


class HttpConnection(TCPServer):
    """One connection of a client."""

    def __init__(
        self,
        server: "HttpServer",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        accepted: AcceptedConnection,
    ):
        loop = asyncio.get_running_loop()
        super().__init__(server.app, loop, server.config, server.context, {}, reader, writer)
        self._limits, self._memory, self._accepted = server.limits, server.connections.memory, accepted
        self.idle_task = RequestTimer(server.limits, self._close_idle, loop, self._record_wait_state)
        self._lingering: asyncio.TimerHandle | None = None
        self._linger_ends_at = 0.0  # loop time
        accepted.on_evict = self._abort

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        sock = self.writer.get_extra_info("socket")
        try:
            client = parse_socket_addr(sock.family, sock.getpeername())
            server = parse_socket_addr(sock.family, sock.getsockname())
            async with AppTaskGroup(self.loop) as task_group:
                self._task_group = task_group
                self.protocol = Http1Protocol(
                    self.app,
                    self.config,
                    self.context,
                    task_group,
                    (client, server),
                    self.protocol_send,
                    self,
                )
                await self.idle_task.restart(task_group, None)
                await self._read_data()
        except OSError:
            pass
        finally:
            await self._close()

    # -- Memory and state ------------------------------------------------------------------------

    def _record_wait_state(self, state: WaitState) -> None:
        if self._lingering is not None:
            return
        self._accepted.set_state(STATES[state])
        if state is WaitState.REQUEST:
            self._accepted.hold(0)

    def try_begin_request(self, large: bool) -> bool:
        """Charge the memory of a request whose head has come; False if there is none."""
        return self._accepted.try_hold(REQUEST_BYTES, large)

    def hold_unparsed(self, size: int) -> None:
        """Charge received bytes that make no event yet."""
        serving = self.idle_task.state is WaitState.RESPONSE
        self._accepted.hold(size + (REQUEST_BYTES if serving else 0))

    def record_received(self) -> None:
        """Bytes of the next request have come: the connection is not idle."""
        self.idle_task.record_received()

    async def refuse_for_memory(self) -> None:
        """Answer that there is no memory, and close the connection."""
        self._accepted.record_refused_request()
        await self.protocol_send(RawData(closing_response(ErrorKind.NO_MEMORY)))
        await self.protocol_send(Closed())

    def record_lost(self) -> None:
        """The connection is gone: whoever waits to read from it need not wait any more."""
        if hasattr(self, "protocol"):
            self.protocol.stop_reading()

    # -- Sending ---------------------------------------------------------------------------------

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of hypercorn's protocol: a close is a lingering one."""
        if isinstance(event, Closed):
            self._linger()
        elif isinstance(event, RawData):
            await self._send(event.data)
        else:
            await super().protocol_send(event)

    async def _send(self, data: bytes) -> None:
        async with self.send_lock:
            try:
                for start in range(0, len(data), WRITE_PIECE_BYTES):
                    whole = len(data) <= WRITE_PIECE_BYTES
                    self.writer.write(data if whole else data[start : start + WRITE_PIECE_BYTES])
                    await self._drain()
            except (ConnectionError, RuntimeError):
                await self.protocol.handle(Closed())

    async def _drain(self) -> None:
        """Wait until the client has taken enough.  Raises ConnectionError."""
        unsent = self.writer.transport.get_write_buffer_size()
        if unsent <= MAX_UNSENT_BYTES:
            await self.writer.drain()
            return
        state = self._accepted.state
        self._accepted.set_state(ConnectionState.BLOCKED)
        self._accepted.hold(REQUEST_BYTES + unsent + early_listener.SEND_BUFFER_BYTES)
        try:
            await self._drain_while_client_reads()
        finally:
            self._accepted.hold(REQUEST_BYTES)
            self._accepted.set_state(state)

    async def _drain_while_client_reads(self) -> None:
        """Drain; abort a connection whose client takes nothing for too long.  Raises ConnectionError."""
        transport, stalled_s = self.writer.transport, 0.0
        while True:
            unsent = transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(STALL_S):
                    await self.writer.drain()
                return
            except TimeoutError:
                stalled_s += STALL_S
            if transport.get_write_buffer_size() < unsent:
                stalled_s = 0.0
            elif self._memory.is_contended or stalled_s >= self._limits().idle_timeout_s:
                self._abort()
                raise ConnectionAbortedError("the client does not read its response")

    # -- Closing ---------------------------------------------------------------------------------

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun to arrive, or is being served on it."""
        if self.idle_task.state is WaitState.REQUEST:
            self._close_idle()

    def _close_idle(self) -> None:
        """Close a connection without a request; what its client has not taken of a response is dropped."""
        self.writer.close()
        self._abort_if_unread()

    def _abort(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()

    def _abort_if_unread(self) -> None:
        """Abort a connection that closes, unless its client takes the rest of its response in time."""
        if self.writer.transport is not None and self.writer.transport.get_write_buffer_size():
            self.loop.call_later(MAX_LINGER_S, self._abort)

    def _linger(self) -> None:
        """Close the sending side, and read what the client still sends until it closes its side.

        Closing a socket with unread bytes resets the connection, and the response that was just sent is lost
        with it: RFC 9112, section 9.6.
        """
        self.protocol.stop_reading()
        if self._lingering is not None or self.writer.is_closing():
            return
        self._linger_ends_at = self.loop.time() + MAX_LINGER_S
        self._restart_linger()
        self._accepted.set_state(ConnectionState.LINGERING)
        with suppress(OSError, RuntimeError):
            self.writer.write_eof()

    def _restart_linger(self) -> None:
        """Close the connection when nothing more has come for a while."""
        if self._lingering is not None:
            self._lingering.cancel()
        ends_at = min(self.loop.time() + LINGER_S, self._linger_ends_at)
        self._lingering = self.loop.call_at(ends_at, self._close_idle)

    async def _close(self) -> None:
        if self._lingering is not None:
            self._lingering.cancel()
        self._accepted.set_state(ConnectionState.LINGERING)
        self._abort_if_unread()
        await super()._close()

    # -- Receiving -------------------------------------------------------------------------------

    async def _read_data(self) -> None:
        while not self.reader.at_eof():
            head_due = asyncio.timeout_at(self.idle_task.head_due)
            try:
                async with head_due:
                    data = await self.reader.read(READ_BYTES)
            except OSError:
                if head_due.expired():
                    await self.protocol_send(RawData(closing_response(ErrorKind.HEADERS_TOO_SLOW)))
                break
            if self.writer.is_closing():
                continue
            if self._lingering is not None:
                self._restart_linger()
                continue  # ignore a request that arrives after the connection has begun to close
            self.record_received()
            await self.protocol.handle(RawData(data))
        await self.protocol.handle(Closed())


class ConnectionProtocol(asyncio.StreamReaderProtocol):
    """asyncio's stream protocol of one connection, which also reports that the connection is gone."""

    def __init__(self, reader: asyncio.StreamReader, on_connected: Callable, loop):
        super().__init__(reader, on_connected, loop=loop)
        self.on_lost: Callable[[], None] = lambda: None

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end (asyncio callback)."""
        super().connection_lost(error)
        self.on_lost()


class HttpServer:
    """Serves an application on one listener until it is stopped."""

    def __init__(self, app, limits: Callable[[], TimeLimits], connections: ConnectionTable | None = None):
        """`connections`: where its connections are kept; a table of its own if none is given."""
        self.app, self.limits = ASGIWrapper(app), limits
        self.connections = connections or _default_connections()
        self.config = http_config()
        self.context = WorkerContext(None)
        self._connections: dict[HttpConnection, asyncio.Task] = {}

    async def serve(self, address: str, stop: asyncio.Event, graceful_s: float) -> None:
        """Serve at HOST:PORT until the event is set; then open requests have `graceful_s` seconds to end."""
        listener = early_listener.take(address) or early_listener.open_listener(address)
        accepting = asyncio.get_running_loop().create_task(self._accept(listener))
        try:
            await stop.wait()
        finally:
            accepting.cancel()
            await asyncio.gather(accepting, return_exceptions=True)
            listener.close()
            await self._close_connections(graceful_s)

    async def _accept(self, listener) -> None:
        """Accept connections until cancelled; those without room are closed at once."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _address = await loop.sock_accept(listener)
            except OSError as error:
                logging.warning("cannot accept a connection: %s", error)
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            accepted = self.connections.admit()
            if accepted is None:
                sock.close()
                continue
            await self._open(sock, accepted)

    async def _open(self, sock, accepted: AcceptedConnection) -> None:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(READ_AHEAD_BYTES, loop)

        async def on_connected(reader, writer) -> None:
            await self._serve_connection(protocol, reader, writer, accepted)

        protocol = ConnectionProtocol(reader, on_connected, loop)
        try:
            await loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            accepted.close()
            sock.close()

    async def _serve_connection(
        self,
        protocol: ConnectionProtocol,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        accepted: AcceptedConnection,
    ) -> None:
        if not accepted.is_open:
            writer.transport.abort()  # it had to give way before it was served
            return
        writer.transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        connection = HttpConnection(self, reader, writer, accepted)
        protocol.on_lost = connection.record_lost
        self._connections[connection] = asyncio.current_task()
        try:
            await connection.run()
        except asyncio.CancelledError:  # expected here; asyncio would print a traceback
            logging.info("closed a client connection during a request: the grace period is over")
        finally:
            accepted.close()
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


async def serve(
    app,
    address: str,
    stop: asyncio.Event,
    connections: ConnectionTable | None = None,
    graceful_s: float = GRACEFUL_SHUTDOWN_S,
) -> None:
    """Serve an application at HOST:PORT, within the limits of listeners that are not for clients."""
    await HttpServer(app, lambda: LISTENER_LIMITS, connections).serve(address, stop, graceful_s)


def _default_connections() -> ConnectionTable:
    limits = ProcessLimits()
    return client_connections(MemoryBudget(budget_bytes(limits.memory_mb)), limits.max_open_files)


def closing_response(kind: ErrorKind) -> bytes:
    """The bytes of the response of an error kind, after which the connection closes."""
    response = ERROR_RESPONSES[kind]
    lines = [
        b"HTTP/1.1 %d %s" % (response.status, REASON_PHRASES[response.status]),
        b"content-length: 0",
        b"connection: close",
    ]
    if response.retry_after_s is not None:
        lines.append(b"retry-after: %.3f" % response.retry_after_s)
    return b"\r\n".join((*lines, b"", b""))
