"""A network backend of httpcore for connections to workers, as protocols of the event loop.

It costs less CPU than httpcore's own backend and adds two features.  A connection ends soon if the worker
does not acknowledge bytes (TCP_USER_TIMEOUT).  Bytes and closes on an idle connection are noticed.

The kernel applies TCP_USER_TIMEOUT also while the receive window is full, so the timeout of a long request is
longer: its worker may be busy and read the rest later.
"""

import asyncio
import socket
from collections.abc import Iterable

import httpcore

UNACKNOWLEDGED_MS = 1500
MIN_LONG_WRITE_BYTES = 32 << 10  # more may fill the receive window of a worker that does not read
LONG_UNACKNOWLEDGED_MS = 30_000  # until such a worker responds; the request's deadline is earlier
MAX_UNREAD_BYTES = 16 << 10  # with more unread bytes, the worker is not read from
READ_BYTES = 16 << 10  # given to the HTTP library at once
RECEIVE_BUFFER_BYTES = 16 << 10  # option of the sockets; the kernel lets 24 KiB arrive unread
SEND_BUFFER_BYTES = 128 << 10  # option of the sockets


class WorkerStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """One connection to a worker."""

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._ended = False
        self._error: Exception | None = None
        self._reader: asyncio.Future | None = None
        self._writable: asyncio.Future | None = None
        self._paused = False
        self._long_write = False  # the receive window may be full, and nothing was received since

    # -- asyncio.Protocol ----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket's options (asyncio callback)."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._set_long_write(False)

    def _set_long_write(self, long: bool) -> None:
        """Set the kernel's timeout for unacknowledged bytes; nothing else changes it."""
        self._long_write = long
        if hasattr(socket, "TCP_USER_TIMEOUT"):
            sock = self._transport.get_extra_info("socket")
            timeout_ms = LONG_UNACKNOWLEDGED_MS if long else UNACKNOWLEDGED_MS
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes until they are read (asyncio callback)."""
        self._buffer += data
        if self._long_write:
            self._set_long_write(False)
        if len(self._buffer) > MAX_UNREAD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake(self._reader)

    def eof_received(self) -> bool:
        """The worker has ended its side of the connection (asyncio callback)."""
        self._ended = True
        self._wake(self._reader)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed (asyncio callback)."""
        self._ended, self._error = True, error
        self._wake(self._reader)
        self._wake(self._writable)

    def pause_writing(self) -> None:
        """The write buffer is full (asyncio callback)."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """The write buffer has room again (asyncio callback)."""
        self._wake(self._writable)
        self._writable = None

    @staticmethod
    def _wake(waiting: asyncio.Future | None) -> None:
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    # -- AsyncNetworkStream ---------------------------------------------------------------------

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read bytes as they arrive; none at the end.  Raises httpcore.ReadError or ReadTimeout."""
        if not self._buffer and not self._ended:
            self._reader = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(timeout):
                    await self._reader
            except TimeoutError as error:
                raise httpcore.ReadTimeout from error
            finally:
                self._reader = None
        if not self._buffer:
            if self._error is not None:
                raise httpcore.ReadError(str(self._error)) from self._error
            return b""
        size = min(max_bytes, READ_BYTES)
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        if self._paused and len(self._buffer) < MAX_UNREAD_BYTES and not self._ended:
            self._paused = False
            self._transport.resume_reading()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes.  Raises httpcore.WriteError or WriteTimeout."""
        if self._transport.is_closing():
            raise httpcore.WriteError("connection to the worker is closed")
        if len(buffer) > MIN_LONG_WRITE_BYTES:
            self._set_long_write(True)
        self._transport.write(buffer)
        if self._writable is None:
            return
        try:
            async with asyncio.timeout(timeout):
                await self._writable
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error

    async def aclose(self) -> None:
        """Close the connection."""
        self._transport.close()

    def get_extra_info(self, info: str):
        """Whether bytes or a close have come (`is_readable`), which httpcore asks of idle connections."""
        if info == "is_readable":
            return bool(self._buffer) or self._ended or self._transport.is_closing()
        return self._transport.get_extra_info(info)


class WorkerNetwork(httpcore.AsyncNetworkBackend):
    """Opens connections to workers."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable | None = None,
    ) -> WorkerStream:
        """Open a connection.  Raises httpcore.ConnectError or ConnectTimeout."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, stream = await loop.create_connection(WorkerStream, host, port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        return stream

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await asyncio.sleep(seconds)
