"""The connections to one worker: kept between calls, the one that rested least first.

A worker tells in `Keep-Alive` how long it keeps a resting connection.  One that has rested long may have been
forgotten without a word, and what is sent on it is then reset, so a call that must not be repeated takes
none that has rested longer than `LONGEST_REST_UNREPEATABLE_S`.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

import httpcore

from .network import WorkerNetwork

CONNECT_TIMEOUT_S = 0.5
DEFAULT_REST_S = 4.0  # kept this long where the worker says nothing
LONGEST_REST_S = 20.0
LONGEST_REST_UNREPEATABLE_S = 4.0
REST_MARGIN_S = 0.5  # of what a worker says: bytes are on their way for a moment
LEAST_REST_S = 0.2
KEEP_ALIVE = b"keep-alive"


@dataclass(eq=False, slots=True)
class PooledConnection:
    """One connection, and since when and how long it may rest.  Times are seconds on the loop's clock."""

    connection: httpcore.AsyncHTTP11Connection
    rest_s: float = DEFAULT_REST_S
    rested_since: float = 0.0

    def clean(self) -> bool:
        """Whether nothing is left of the call that has ended: no byte came after its answer.

        Such bytes would be read as the answer to the next call.
        """
        unread, _closed = self.connection._h11_state.trailing_data  # httpcore offers no other way to ask
        return self.connection.is_idle() and not unread

    def usable(self, now: float, longest_rest_s: float) -> bool:
        """Whether a call may be sent on it after its rest."""
        rested = now - self.rested_since
        return rested <= min(self.rest_s, longest_rest_s) and not self.connection.has_expired()


class PooledStream:
    """The body of an answer; its connection goes back to the pool once it is closed."""

    def __init__(self, pool: "ConnectionPool", pooled: PooledConnection, stream):
        self._pool, self._pooled, self._stream = pool, pooled, stream

    def __aiter__(self):
        """The body as it arrives.  Raises httpcore's errors."""
        return self._stream.__aiter__()

    async def aclose(self) -> None:
        """End the answer, read whole or not."""
        try:
            await self._stream.aclose()
        finally:
            self._pool.release(self._pooled)


class ConnectionPool:
    """At most `limit` connections to one address, those that are being opened counted."""

    def __init__(self, host: bytes, port: int, limit: int):
        self._origin = httpcore.Origin(b"http", host, port)
        self._network = WorkerNetwork()
        self.limit = limit
        self.open = 0
        self.opened = 0  # so far
        self._resting: list[PooledConnection] = []  # the one that has rested least is last
        self._waiting: deque[asyncio.Future] = deque()
        self._closing: set[asyncio.Task] = set()

    async def call(self, request: httpcore.Request, repeatable: bool) -> httpcore.Response:
        """Send a request and wait for the head of its answer.  Raises httpcore's errors.

        `ConnectError`, `ConnectTimeout` and `PoolTimeout` mean that nothing was sent.
        """
        pooled = await self._acquire(LONGEST_REST_S if repeatable else LONGEST_REST_UNREPEATABLE_S)
        try:
            response = await pooled.connection.handle_async_request(request)
        except BaseException:
            self.release(pooled)
            raise
        pooled.rest_s = rest_of(response.headers)
        response.stream = PooledStream(self, pooled, response.stream)
        return response

    def release(self, pooled: PooledConnection) -> None:
        """A call on a connection is over: keep the connection if it can be used again."""
        if pooled.clean():
            pooled.rested_since = self._now()
            self._resting.append(pooled)
            self._wake_one()
        else:
            self._close(pooled)  # a call that was cancelled twice has not closed it

    def trim(self) -> None:
        """Close what has rested too long."""
        now = self._now()
        kept = []
        for pooled in self._resting:
            if pooled.usable(now, LONGEST_REST_S):
                kept.append(pooled)
            else:
                self._close(pooled)
        self._resting = kept

    async def aclose(self) -> None:
        """Close all connections that rest; those in use are closed as they come back."""
        for pooled in self._resting:
            self._close(pooled)
        self._resting = []
        if self._closing:
            await asyncio.wait(self._closing)

    # -- Connections -----------------------------------------------------------------------------

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def _acquire(self, longest_rest_s: float) -> PooledConnection:
        until = self._now() + CONNECT_TIMEOUT_S
        while True:
            pooled = self._take_resting(longest_rest_s)
            if pooled is not None:
                return pooled
            if self.open < self.limit:
                return await self._connect()
            await self._wait(until)

    def _take_resting(self, longest_rest_s: float) -> PooledConnection | None:
        now = self._now()
        while self._resting:
            pooled = self._resting.pop()
            if pooled.usable(now, longest_rest_s):
                return pooled
            if pooled.usable(now, LONGEST_REST_S) and self.open < self.limit:
                self._resting.append(pooled)  # good for other calls; all others have rested longer
                return None
            self._close(pooled)
        return None

    async def _connect(self) -> PooledConnection:
        self.open += 1
        try:
            host, port = self._origin.host.decode("ascii"), self._origin.port
            self.opened += 1
            stream = await self._network.connect_tcp(host, port, timeout=CONNECT_TIMEOUT_S)
        except BaseException:
            self.open -= 1
            self._wake_one()
            raise
        return PooledConnection(httpcore.AsyncHTTP11Connection(origin=self._origin, stream=stream))

    async def _wait(self, until: float) -> None:
        """Wait for a connection to come free.  Raises httpcore.PoolTimeout."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(max(until - self._now(), 0.0)):
                await waiter
        except TimeoutError as error:
            raise httpcore.PoolTimeout from error
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._wake_one()  # it was woken and can't use what came free
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    def _wake_one(self) -> None:
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _close(self, pooled: PooledConnection) -> None:
        self.open -= 1
        if not pooled.connection.is_closed():
            task = asyncio.get_running_loop().create_task(pooled.connection.aclose())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)
        self._wake_one()


def rest_of(headers: list[tuple[bytes, bytes]]) -> float:
    """How long (s) a connection may rest after an answer with these headers."""
    for name, value in headers:
        if name.lower() != KEEP_ALIVE:
            continue
        for item in value.split(b","):
            key, _, number = item.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit():
                return min(max(int(number) - REST_MARGIN_S, LEAST_REST_S), LONGEST_REST_S)
    return DEFAULT_REST_S
