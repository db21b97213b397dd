"""The pool of connections to one worker.  The connection that was idle for the shortest time is used first.

A worker announces in `Keep-Alive` how long it keeps an idle connection.  A connection that was idle for long
may have been dropped without a close, and a request on it is then reset.  So a call that must not be repeated
uses none that was idle for longer than `MAX_IDLE_UNREPEATABLE_S`.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

import httpcore

from .network import WorkerNetwork

CONNECT_TIMEOUT_S = 0.5
DEFAULT_IDLE_S = 4.0  # where the worker announces nothing
MAX_IDLE_S = 20.0
MAX_IDLE_UNREPEATABLE_S = 4.0
IDLE_MARGIN_S = 0.5  # subtracted from what a worker announces, since bytes take a moment to arrive
MIN_IDLE_S = 0.2
KEEP_ALIVE = b"keep-alive"


@dataclass(eq=False, slots=True)
class PooledConnection:
    """One connection, and its idle time.  Times are seconds on the loop's clock."""

    connection: httpcore.AsyncHTTP11Connection
    max_idle_s: float = DEFAULT_IDLE_S
    idle_since: float = 0.0

    def is_clean(self) -> bool:
        """Whether nothing is left of the call that has ended: no byte came after its response.

        Such bytes would be read as the response to the next call.
        """
        unread, _closed = self.connection._h11_state.trailing_data  # httpcore has no public way to read it
        return self.connection.is_idle() and not unread

    def is_usable(self, now: float, max_idle_s: float) -> bool:
        """Whether a call may be sent on it after its idle time."""
        idle_s = now - self.idle_since
        return idle_s <= min(self.max_idle_s, max_idle_s) and not self.connection.has_expired()


class PooledStream:
    """The body of a response; its connection goes back to the pool once it is closed."""

    def __init__(self, pool: "ConnectionPool", pooled: PooledConnection, stream):
        self._pool, self._pooled, self._stream = pool, pooled, stream

    def __aiter__(self):
        """The body as it arrives.  Raises httpcore's errors."""
        return self._stream.__aiter__()

    async def aclose(self) -> None:
        """End the response, whether it was read completely or not."""
        try:
            await self._stream.aclose()
        finally:
            self._pool.release(self._pooled)


class DescriptorLimit:
    """At most `limit` connections of all pools together; an idle one gives way to one that is needed."""

    def __init__(self, limit: int):
        self.limit = limit
        self.open = 0
        self.pools: set[ConnectionPool] = set()

    def try_take(self) -> bool:
        """Count a connection that is about to be opened; False if there may be no more."""
        if self.open >= self.limit and not self._close_idle():
            return False
        self.open += 1
        return True

    def give_back(self) -> None:
        """A connection has been closed, or was not opened."""
        self.open -= 1

    def wake_one(self) -> None:
        """Let one pool whose callers wait try again."""
        for pool in self.pools:
            if pool.wake_one():
                return

    def _close_idle(self) -> bool:
        return any(pool.close_idle() for pool in self.pools)


class ConnectionPool:
    """At most `limit` connections to one address, including those that are being opened."""

    def __init__(self, host: bytes, port: int, limit: int, descriptors: DescriptorLimit | None = None):
        """`descriptors`: a limit that it shares with other pools."""
        self._descriptors = descriptors or DescriptorLimit(limit)
        self._descriptors.pools.add(self)
        self._is_removed = False
        self._origin = httpcore.Origin(b"http", host, port)
        self._network = WorkerNetwork()
        self.limit = limit
        self.open = 0
        self.total_opened = 0
        self._idle: list[PooledConnection] = []  # the one that became idle last is the last
        self._waiting: deque[asyncio.Future] = deque()
        self._closing: set[asyncio.Task] = set()

    async def call(self, request: httpcore.Request, repeatable: bool) -> httpcore.Response:
        """Send a request and wait for the head of its response.  Raises httpcore's errors.

        `ConnectError`, `ConnectTimeout` and `PoolTimeout` mean that nothing was sent.
        """
        pooled = await self._acquire(MAX_IDLE_S if repeatable else MAX_IDLE_UNREPEATABLE_S)
        try:
            response = await pooled.connection.handle_async_request(request)
        except BaseException:
            self.release(pooled)
            raise
        pooled.max_idle_s = max_idle_after(response.headers)
        response.stream = PooledStream(self, pooled, response.stream)
        return response

    def release(self, pooled: PooledConnection) -> None:
        """Return a connection after its call: keep it if it can be used again, else close it."""
        if pooled.is_clean():
            pooled.idle_since = self._now()
            self._idle.append(pooled)
            self.wake_one()
        else:
            self._close(pooled)  # a call that was cancelled twice has not closed it

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        now = self._now()
        kept = []
        for pooled in self._idle:
            if pooled.is_usable(now, MAX_IDLE_S):
                kept.append(pooled)
            else:
                self._close(pooled)
        self._idle = kept

    async def aclose(self) -> None:
        """Close all idle connections; those in use are closed when they are released."""
        for pooled in self._idle:
            self._close(pooled)
        self._idle = []
        self._is_removed = True
        self._leave_if_removed()
        if self._closing:
            await asyncio.wait(self._closing)

    # -- Connections -----------------------------------------------------------------------------

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def _acquire(self, max_idle_s: float) -> PooledConnection:
        deadline = self._now() + CONNECT_TIMEOUT_S
        while True:
            pooled = self._take_idle(max_idle_s)
            if pooled is not None:
                return pooled
            if self.open < self.limit and self._descriptors.try_take():
                return await self._connect()
            await self._wait(deadline)

    def _take_idle(self, max_idle_s: float) -> PooledConnection | None:
        now = self._now()
        while self._idle:
            pooled = self._idle.pop()
            if pooled.is_usable(now, max_idle_s):
                return pooled
            if pooled.is_usable(now, MAX_IDLE_S) and self.open < self.limit:
                self._idle.append(pooled)  # usable by other calls; all others have been idle for longer
                return None
            self._close(pooled)
        return None

    async def _connect(self) -> PooledConnection:
        self.open += 1
        try:
            host, port = self._origin.host.decode("ascii"), self._origin.port
            self.total_opened += 1
            stream = await self._network.connect_tcp(host, port, timeout=CONNECT_TIMEOUT_S)
        except BaseException:
            self._count_closed()
            raise
        return PooledConnection(httpcore.AsyncHTTP11Connection(origin=self._origin, stream=stream))

    async def _wait(self, deadline: float) -> None:
        """Wait until a connection is free.  Raises httpcore.PoolTimeout."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(max(deadline - self._now(), 0.0)):
                await waiter
        except TimeoutError as error:
            raise httpcore.PoolTimeout from error
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.wake_one()  # it was woken but can't use the free connection
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    def _leave_if_removed(self) -> None:
        if self._is_removed and not self.open:
            self._descriptors.pools.discard(self)

    def wake_one(self) -> bool:
        """Let one caller that waits for a connection try again; False if none waits."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return True
        return False

    def close_idle(self) -> bool:
        """Close the connection that has been idle for the longest time; False if none is idle."""
        if not self._idle:
            return False
        self._close(self._idle.pop(0))
        return True

    def _close(self, pooled: PooledConnection) -> None:
        self._count_closed()
        if not pooled.connection.is_closed():
            task = asyncio.get_running_loop().create_task(pooled.connection.aclose())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    def _count_closed(self) -> None:
        """A connection has been closed, or was not opened: another may be."""
        self.open -= 1
        self._descriptors.give_back()
        self._leave_if_removed()
        if not self.wake_one():
            self._descriptors.wake_one()


def max_idle_after(headers: list[tuple[bytes, bytes]]) -> float:
    """How long (s) a connection may be idle after a response with these headers."""
    for name, value in headers:
        if name.lower() != KEEP_ALIVE:
            continue
        for item in value.split(b","):
            key, _, number = item.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit():
                return min(max(int(number) - IDLE_MARGIN_S, MIN_IDLE_S), MAX_IDLE_S)
    return DEFAULT_IDLE_S
