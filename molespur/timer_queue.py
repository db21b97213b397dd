"""A queue of delayed calls, for a state machine that its host wakes up by a single timer.  Does no I/O.

Times and delays are milliseconds on the host's clock.
"""

from collections.abc import Callable
from heapq import heappop, heappush

MAX_EARLY_MS = 0.5  # a host's timer may fire this much before its time
MIN_DELAY_MS = 1.0


class TimerQueue:
    """Pending calls, ordered by their due time, and the time at which the host will wake the machine up."""

    def __init__(self):
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable, tuple]] = []
        self._serial = 0
        self._wake_at = float("inf")

    def after(self, delay: float, call: Callable, *args) -> None:
        """Schedule a call; calls that are due at the same time are made in the order of scheduling."""
        self._serial += 1
        heappush(self._calls, (self.now + delay, self._serial, call, args))

    def next_delay_ms(self) -> float | None:
        """Delay of the timer that the host has to set now; None where the last one set is early enough."""
        if not self._calls or self._calls[0][0] >= self._wake_at:
            return None
        self._wake_at = max(self._calls[0][0], self.now)
        return max(self._wake_at - self.now, MIN_DELAY_MS)

    def on_timer(self, _event=None) -> None:
        """Make the calls that are due: the host's timer has fired."""
        if self._wake_at <= self.now + MAX_EARLY_MS:
            self._wake_at = float("inf")
        while self._calls and self._calls[0][0] <= self.now:
            _, _, call, args = heappop(self._calls)
            call(*args)
