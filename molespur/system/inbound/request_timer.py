"""The operator's time limits for clients: for a request's head, and for idle connections.

hypercorn has one timeout, for idle connections.  Here the time for a request's head counts from its first
byte, so a head that arrives too slowly gets a 408, and a connection may be idle for `IdleTimeoutMs`.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol


class TimeLimits(Protocol):
    """How long a client may take; infinite where there is no limit."""

    header_timeout_s: float
    idle_timeout_s: float


class WaitState(Enum):
    """What a connection waits for."""

    REQUEST = "request"  # idle: no byte of the next request has come
    HEAD = "head"  # a head has begun
    RESPONSE = "answer"  # a request is being served: no limit on the client applies


class RequestTimer:
    """Times the wait for a request; closes a connection that is idle for too long.  Driven by hypercorn."""

    def __init__(
        self,
        limits: Callable[[], TimeLimits],
        close: Callable[[], None],
        loop,
        on_change: Callable[[WaitState], None] = lambda _state: None,
    ):
        self._limits, self._close, self._loop, self._on_change = limits, close, loop, on_change
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
        self._on_change(state)
