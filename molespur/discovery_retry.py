"""Delay before discovery is called again after a failed call.  Does no I/O; times are milliseconds."""

from random import Random

CALL_INTERVAL_MS = 200.0  # time allowed for each dispatcher's call
DEADLINE_SHARE = 0.8  # share of the max time without a call within which the first retries come


class DiscoveryRetry:
    """Exponential backoff with random delays, since all dispatchers may call at once."""

    def __init__(self, random: Random):
        self.failures = 0  # so far
        self._random = random
        self._initial_ms = self._max_ms = 0.0
        self._delay_ms: float | None = None

    def configure(self, dispatchers: int, must_ask_in_ms: float) -> None:
        """Set the number of dispatchers, and the max time without a call (0: no limit)."""
        all_calls_ms = CALL_INTERVAL_MS * dispatchers
        self._initial_ms = min(all_calls_ms, DEADLINE_SHARE * must_ask_in_ms or all_calls_ms)
        self._max_ms = max(must_ask_in_ms / 2, 2 * all_calls_ms)
        if self._delay_ms is None:
            self._delay_ms = self._initial_ms

    def record_failure(self) -> float:
        """Count a failed call, and return the delay before the next one."""
        self.failures += 1
        delay_ms = self._delay_ms * self._random.random()
        self._delay_ms = min(self._delay_ms * 2, self._max_ms)
        return delay_ms

    def record_success(self) -> None:
        """Start again from the initial delay at the next failure."""
        self._delay_ms = self._initial_ms
