"""Reads the body of a request into memory that is reserved first, and discards refused ones."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from typing import Protocol

from ..errors import ErrorKind, FleetError
from .memory import SMALL_BODY_BYTES, STALL_S, MemoryBudget, Reservation

MIN_PROGRESS_BYTES = 16 << 10  # of a body in STALL_S; with less it gives way while memory is contended
MAX_SLOW_PERIODS = 2  # in a row; one may be a stall of this process
STALL_STEPS = 2
MAX_MEMORY_WAIT_SHARE = 0.5  # of the time until the request's deadline

Receive = Callable[[], Awaitable[dict]]


class BodyLimits(Protocol):
    """What a body may take (`Limits` of the operator's configuration, or those of a control-plane path)."""

    max_body_bytes: int
    idle_timeout_s: float


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

    `declared`: the length (bytes) that its head states, None if the body comes in chunks.  `copies`: how many
    times its length is held while it is processed.
    """

    def __init__(
        self,
        receive: Receive,
        declared: int | None,
        limits: BodyLimits,
        memory: MemoryBudget,
        copies: int = 1,
    ):
        self._receive, self._declared, self._memory, self._copies = receive, declared, memory, copies
        self._max_bytes, self._idle_timeout_s = limits.max_body_bytes, limits.idle_timeout_s
        self._reservation: Reservation | None = None
        self._progress_since = 0.0  # loop time
        self._progress_bytes = 0
        self._slow_periods = 0  # in a row
        self.is_complete = False  # the client has sent all of it

    async def read(self, deadline_ms: float) -> bytes | bytearray:
        """Read all of it, within the idle timeout of clients and the request's deadline (ms from now).

        Raises FleetError or ClientDisconnected.
        """
        if self._declared is not None and self._declared > self._max_bytes:
            raise FleetError(ErrorKind.BODY_TOO_LARGE)
        expected = SMALL_BODY_BYTES if self._declared is None else self._declared
        try:
            async with asyncio.timeout(min(self._idle_timeout_s, deadline_ms / 1000.0)):
                if expected:
                    await self._reserve(expected, deadline_ms)
                return await self._read(deadline_ms)
        except TimeoutError as error:
            raise FleetError(ErrorKind.BODY_TOO_SLOW) from error

    def try_hold(self, size: int) -> bool:
        """Reserve so many bytes in all, if there is room; False if there is none."""
        if self._reservation is None:
            self._reservation = self._memory.charge(0)
        return size <= self._reservation.size or self._reservation.try_resize(size)

    async def _reserve(self, size: float, deadline_ms: float) -> None:
        """Reserve memory; only the wait for it is limited here.  Raises FleetError(NO_MEMORY)."""
        self.release()  # a body that needs the whole budget must not wait for itself
        try:
            async with asyncio.timeout(MAX_MEMORY_WAIT_SHARE * deadline_ms / 1000.0):
                self._reservation = await self._memory.reserve(self._copies * size)
        except TimeoutError as error:
            raise FleetError(ErrorKind.NO_MEMORY) from error
        self._progress_since, self._progress_bytes = asyncio.get_running_loop().time(), 0

    async def _read(self, deadline_ms: float) -> bytes | bytearray:
        first = await self._next_chunk()
        if len(first) == self._declared and not self.is_complete:
            await self._next_chunk()  # the end; a body that comes in one piece is not copied
        if self.is_complete:
            return first
        body = bytearray(self._declared or 0)  # a declared length is allocated once, and never moved
        size, chunk, is_bounded = 0, first, self._declared is not None
        while True:
            if size + len(chunk) > self._max_bytes:
                raise FleetError(ErrorKind.BODY_TOO_LARGE)
            if not is_bounded and size + len(chunk) > SMALL_BODY_BYTES:
                await self._reserve(self._max_bytes, deadline_ms)
                is_bounded = True
            body[size : size + len(chunk)] = chunk
            size += len(chunk)
            if self.is_complete:
                break
            chunk = await self._next_chunk()
        if self._declared is None:
            self._reservation.resize(self._copies * size)
        return body

    async def _next_chunk(self) -> bytes:
        message = await self._receive_unless_stalled()
        if message["type"] == "http.disconnect":
            raise ClientDisconnected
        self.is_complete = not message.get("more_body", False)
        chunk = message.get("body", b"")
        if not self.is_complete:
            self._check_progress(len(chunk))
        return chunk

    async def _receive_unless_stalled(self) -> dict:
        """Receive the next message.  Raises FleetError(NO_MEMORY) if none comes while memory is contended."""
        stalled_steps = 0  # a stall of this process takes one step at most, however long it is
        while True:
            try:
                async with asyncio.timeout(STALL_S / STALL_STEPS):
                    return await self._receive()
            except TimeoutError as error:
                stalled_steps += 1
                if stalled_steps >= STALL_STEPS and self._memory.is_contended:
                    raise FleetError(ErrorKind.NO_MEMORY) from error

    def _check_progress(self, received: int) -> None:
        """Raise FleetError(NO_MEMORY) if the client sends very slowly while memory is contended."""
        self._progress_bytes += received
        now = asyncio.get_running_loop().time()
        if now - self._progress_since < STALL_S:
            return
        is_slow = self._progress_bytes < MIN_PROGRESS_BYTES
        self._slow_periods = self._slow_periods + 1 if is_slow else 0
        if self._slow_periods >= MAX_SLOW_PERIODS and self._memory.is_contended:
            raise FleetError(ErrorKind.NO_MEMORY)
        self._progress_since, self._progress_bytes = now, 0

    async def discard(self) -> None:
        """Receive the rest without keeping it, until the server has ended the request."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    def release(self) -> None:
        """Return the reserved memory: nothing holds the body any more."""
        if self._reservation is not None:
            self._reservation.release()


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
