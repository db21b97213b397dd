"""Reads the body of a client's request into memory that is reserved first, and discards refused ones."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import suppress

import httpx

from ..errors import ErrorKind, FleetError
from ..settings.configuration import Limits
from .memory import SMALL_BODY_BYTES, MemoryBudget, Reservation

PIECE_BYTES = 64 << 10  # of a body on its way to a worker
MAX_MEMORY_WAIT_SHARE = 0.5  # of the time until the request's deadline

Receive = Callable[[], Awaitable[dict]]


class ClientDisconnected(Exception):
    """The client has closed its connection."""


def declared_length(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """The length of the body (bytes) by a request's head; None if it comes in chunks."""
    named = {name.lower(): value for name, value in headers}
    if b"transfer-encoding" in named:
        return None
    return int(named.get(b"content-length", b"0"))


class RequestBody:
    """The body of one request, and the memory reserved for it.

    `declared`: the length (bytes) that its head states, None if the body comes in chunks.
    """

    def __init__(self, receive: Receive, declared: int | None, limits: Limits, memory: MemoryBudget):
        self._receive, self._declared, self._memory = receive, declared, memory
        self._max_bytes, self._idle_timeout_s = limits.max_body_bytes, limits.idle_timeout_s
        self._reservation: Reservation | None = None
        self.is_complete = False  # the client has sent all of it

    async def read(self, deadline_ms: float) -> bytes | bytearray:
        """Read all of it, within the idle timeout of clients and the request's deadline (ms from now).

        Raises FleetError or ClientDisconnected.
        """
        if self._declared is not None and self._declared > self._max_bytes:
            raise FleetError(ErrorKind.BODY_TOO_LARGE)
        try:
            async with asyncio.timeout(min(self._idle_timeout_s, deadline_ms / 1000.0)):
                if self._declared:
                    await self._reserve(self._declared, deadline_ms)
                return await self._read(deadline_ms)
        except TimeoutError as error:
            raise FleetError(ErrorKind.BODY_TOO_SLOW) from error

    async def _reserve(self, size: float, deadline_ms: float) -> None:
        """Reserve memory; only the wait for it is limited here.  Raises FleetError(NO_MEMORY)."""
        try:
            async with asyncio.timeout(MAX_MEMORY_WAIT_SHARE * deadline_ms / 1000.0):
                self._reservation = await self._memory.reserve(size)
        except TimeoutError as error:
            raise FleetError(ErrorKind.NO_MEMORY) from error

    async def _read(self, deadline_ms: float) -> bytes | bytearray:
        first = await self._next_chunk()
        if len(first) == self._declared and not self.is_complete:
            await self._next_chunk()  # the end; a body that comes in one piece is not copied
        if self.is_complete:
            return first
        body = bytearray(self._declared or 0)  # a declared length is allocated once, and never moved
        size, chunk = 0, first
        while True:
            if size + len(chunk) > self._max_bytes:
                raise FleetError(ErrorKind.BODY_TOO_LARGE)
            if self._reservation is None and size + len(chunk) > SMALL_BODY_BYTES:
                await self._reserve(self._max_bytes, deadline_ms)
            body[size : size + len(chunk)] = chunk
            size += len(chunk)
            if self.is_complete:
                break
            chunk = await self._next_chunk()
        if self._declared is None and self._reservation is not None:
            self._reservation.resize(size)
        return body

    async def _next_chunk(self) -> bytes:
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnected
        self.is_complete = not message.get("more_body", False)
        return message.get("body", b"")

    async def discard(self) -> None:
        """Receive the rest without keeping it, until the server has ended the request."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def release(self) -> None:
        """Return the reserved memory: nothing holds the body any more."""
        if self._reservation is not None:
            self._reservation.release()


class BodyStream(httpx.AsyncByteStream):
    """A body on its way to a worker, in pieces: what the worker does not take stays in the one copy."""

    def __init__(self, body: bytes | bytearray):
        self._body = memoryview(body)

    async def __aiter__(self) -> AsyncIterator[memoryview]:
        """The pieces, in order."""
        for start in range(0, len(self._body), PIECE_BYTES):
            yield self._body[start : start + PIECE_BYTES]


async def respond_while_discarding(body: RequestBody, respond: Awaitable[None]) -> None:
    """Send a response before the body has come completely; what still comes of it is discarded.

    Without this the server would wait for ever to pass on the rest.
    """
    if body.is_complete:
        await respond
        return
    discarding = asyncio.get_running_loop().create_task(body.discard())
    try:
        await respond
        await discarding  # the server reports the end of the connection after the response
    finally:
        discarding.cancel()
        with suppress(asyncio.CancelledError):
            await discarding
