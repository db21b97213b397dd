"""The retry budget that all schedulers share, as the part of one of them.  Pure.

Within any window the fleet may send `ratio` x requests + `minimum` arrivals beyond each request's first.
The ratio holds for each scheduler on its own requests, so for the sum; the minimum is divided among them.
"""

from collections import deque

UNKNOWN_SCHEDULERS = 64  # divisor while the control plane has not told how many there are
SCHEDULERS_KEPT_MS = 30_000.0  # the most schedulers known in this time divide the minimum
MARGIN = 0.8  # part of the allowance that is used


class RetryBudget:
    """What one scheduler may spend on one service."""

    def __init__(self, ratio: float, minimum: float, window_ms: float):
        self.ratio, self.minimum, self.window_ms = ratio, minimum, window_ms
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._counts: deque[tuple[float, int]] = deque()

    def schedulers(self, now: float, count: int) -> None:
        """The control plane knows of this many schedulers."""
        if count > 0:
            self._counts.append((now, count))
        while len(self._counts) > 1 and self._counts[0][0] < now - SCHEDULERS_KEPT_MS:
            self._counts.popleft()

    def request(self, now: float) -> None:
        """A client's request for the service has come."""
        self._requests.append(now)
        self._drop(now)

    def spend(self, now: float) -> bool:
        """Take the right to one more arrival, if there is one."""
        self._drop(now)
        divisor = max((count for _, count in self._counts), default=UNKNOWN_SCHEDULERS)
        allowed = MARGIN * (self.ratio * len(self._requests) + self.minimum / divisor)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _drop(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] < now - self.window_ms:
                times.popleft()
