"""Connections to workers for httpcore, straight on the event loop.

Cheaper than the backend that httpcore brings, and with two things that it lacks: bytes that a worker does
not acknowledge end the connection soon (TCP_USER_TIMEOUT), and whatever comes on a resting one is noticed.
The kernel's time-out counts a full window as well, so a long request is given more time: its worker may be at
work and read on later.
"""

import asyncio
import socket
from collections.abc import Iterable

import httpcore

UNACKNOWLEDGED_MS = 1500
LONG_WRITE_BYTES = 32 << 10  # more may fill the window of a worker that does not read
LONG_UNACKNOWLEDGED_MS = 30_000  # until such a worker answers; the request's own time ends before
PAUSE_BYTES = 256 << 10  # unread bytes at which a worker is made to wait


class WorkerStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """One connection."""

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._ended = False
        self._error: Exception | None = None
        self._reader: asyncio.Future | None = None
        self._writable: asyncio.Future | None = None
        self._paused = False
        self._long_write = False  # more than a window may be out, and no answer has come since

    # -- asyncio's side ------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket's options (asyncio callback)."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._set_long_write(False)

    def _set_long_write(self, long: bool) -> None:
        """The one place where the kernel's time-out for unacknowledged bytes changes."""
        self._long_write = long
        if hasattr(socket, "TCP_USER_TIMEOUT"):
            sock = self._transport.get_extra_info("socket")
            timeout_ms = LONG_UNACKNOWLEDGED_MS if long else UNACKNOWLEDGED_MS
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def data_received(self, data: bytes) -> None:
        """Keep what has come until it is read (asyncio callback)."""
        self._buffer += data
        if self._long_write:
            self._set_long_write(False)
        if len(self._buffer) > PAUSE_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake(self._reader)

    def eof_received(self) -> bool:
        """The worker sends no more (asyncio callback)."""
        self._ended = True
        self._wake(self._reader)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone (asyncio callback)."""
        self._ended, self._error = True, error
        self._wake(self._reader)
        self._wake(self._writable)

    def pause_writing(self) -> None:
        """The worker does not take more for now (asyncio callback)."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """The worker takes more again (asyncio callback)."""
        self._wake(self._writable)
        self._writable = None

    @staticmethod
    def _wake(waiting: asyncio.Future | None) -> None:
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    # -- httpcore's side -----------------------------------------------------------------------

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Bytes as they come; none at the end.  Raises httpcore.ReadError or ReadTimeout."""
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
        data = bytes(self._buffer[:max_bytes])
        del self._buffer[:max_bytes]
        if self._paused and len(self._buffer) < PAUSE_BYTES and not self._ended:
            self._paused = False
            self._transport.resume_reading()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes.  Raises httpcore.WriteError or WriteTimeout."""
        if self._transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        if len(buffer) > LONG_WRITE_BYTES:
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
        """What httpcore asks of a resting connection: whether anything has come on it."""
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
        """A new connection.  Raises httpcore.ConnectError or ConnectTimeout."""
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
