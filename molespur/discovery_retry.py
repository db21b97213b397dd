"""How long to wait before discovery is asked again after a failure.  Pure; times are milliseconds."""

from random import Random

EACH_MS, WITHIN = 200.0, 0.8  # time for each dispatcher's asking; share of the longest time unasked


class DiscoveryRetry:
    """Waits that double with each failure, drawn at random, since the whole fleet may ask at once."""

    def __init__(self, random: Random):
        self.failures = 0  # so far
        self._random = random
        self._first = self._longest = 0.0
        self._wait: float | None = None

    def set(self, dispatchers: int, must_ask_in: float) -> None:
        """Go by so many dispatchers, and the longest time that may pass unasked (0: any)."""
        all_asked = EACH_MS * dispatchers
        self._first = min(all_asked, WITHIN * must_ask_in or all_asked)
        self._longest = max(must_ask_in / 2, 2 * all_asked)
        if self._wait is None:
            self._wait = self._first

    def failed(self) -> float:
        """Count a failure; the wait before the next call."""
        self.failures += 1
        wait = self._wait * self._random.random()
        self._wait = min(self._wait * 2, self._longest)
        return wait

    def succeeded(self) -> None:
        """All is well: the next failure starts from the first wait."""
        self._wait = self._first
