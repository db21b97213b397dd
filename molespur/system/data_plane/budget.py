"""One scheduler's share of the retry budget of a service.  Pure; times are ms.

Within any window the fleet may send `ratio` x requests + `minimum` arrivals at workers beyond the first
arrival of each request.  Each scheduler keeps the ratio on its own requests, so the fleet keeps it too.  The
minimum is divided among the schedulers.
"""

from collections import deque

ASSUMED_SCHEDULERS = 64  # divide the minimum until the control plane has announced their number
SCHEDULER_COUNT_WINDOW_MS = 30_000.0  # the highest number announced within this time divides the minimum
MARGIN = 0.8  # share of the allowance that is used


class RetryBudget:
    """What one scheduler may spend on one service."""

    def __init__(self, ratio: float, minimum: float, window_ms: float):
        self.ratio, self.minimum, self.window_ms = ratio, minimum, window_ms
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._scheduler_counts: deque[tuple[float, int]] = deque()

    def set_scheduler_count(self, now: float, count: int) -> None:
        """The control plane has announced this many schedulers."""
        if count > 0:
            self._scheduler_counts.append((now, count))
        while (
            len(self._scheduler_counts) > 1 and self._scheduler_counts[0][0] < now - SCHEDULER_COUNT_WINDOW_MS
        ):
            self._scheduler_counts.popleft()

    def count_request(self, now: float) -> None:
        """A client's request for the service has been received."""
        self._requests.append(now)
        self._drop_old(now)

    def spend(self, now: float) -> bool:
        """Take one more arrival from the budget; False if none is left."""
        self._drop_old(now)
        divisor = max((count for _, count in self._scheduler_counts), default=ASSUMED_SCHEDULERS)
        allowed = MARGIN * (self.ratio * len(self._requests) + self.minimum / divisor)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] < now - self.window_ms:
                times.popleft()
