"""Calls that are due later, for a state machine that is woken by a single timer of its host.  Pure.

Times and delays are milliseconds on the host's clock.
"""

from collections.abc import Callable
from heapq import heappop, heappush

EARLY_MS = 0.5  # a host's timer may fire this much before its time
LEAST_DELAY_MS = 1.0


class TimerQueue:
    """Pending calls by the time at which they are due, and the time at which the host will wake up."""

    def __init__(self):
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable, tuple]] = []
        self._serial = 0
        self._wake_at = float("inf")

    def after(self, delay: float, call: Callable, *args) -> None:
        """Make a call after a delay; calls that are due together are made in the order of request."""
        self._serial += 1
        heappush(self._calls, (self.now + delay, self._serial, call, args))

    def wake_up_in(self) -> float | None:
        """The delay of a timer that the host is to set now; None where one set before comes early enough."""
        if not self._calls or self._calls[0][0] >= self._wake_at:
            return None
        self._wake_at = max(self._calls[0][0], self.now)
        return max(self._wake_at - self.now, LEAST_DELAY_MS)

    def fired(self, _event=None) -> None:
        """The host's timer has fired: make the calls that are due."""
        if self._wake_at <= self.now + EARLY_MS:
            self._wake_at = float("inf")
        while self._calls and self._calls[0][0] <= self.now:
            _, _, call, args = heappop(self._calls)
            call(*args)
