"""Token buckets: limit a long-term rate and its bursts.  Do no I/O; times are milliseconds."""

from collections.abc import Mapping


class TokenBucket:
    """Starts full, and refills at a rate up to a depth."""

    def __init__(self, rate_per_s: float, depth: float):
        self.rate_per_s, self.depth = rate_per_s, depth
        self._level = float("inf")
        self._filled_at = 0.0

    def take(self, now: float) -> bool:
        """Take one token if there is one; return whether there was."""
        refill = (now - self._filled_at) * self.rate_per_s / 1000
        level = min(self._level + refill, self.depth)
        available = level >= 1
        self._level = level - 1 if available else level
        self._filled_at = now
        return available


class Quotas:
    """A token bucket for each name that has a quota."""

    def __init__(self):
        self._buckets: dict[str, TokenBucket] = {}

    def configure(self, rates_per_s: Mapping[str, float], min_depth: float) -> None:
        """Set the rates; buckets keep their tokens, and hold the tokens of one second or min_depth."""
        buckets = {}
        for name, rate in rates_per_s.items():
            depth = max(rate, min_depth)
            bucket = self._buckets.get(name) or TokenBucket(rate, depth)
            bucket.rate_per_s, bucket.depth = rate, depth
            buckets[name] = bucket
        self._buckets = buckets

    def take(self, name: str | None, now: float) -> bool:
        """Count one arrival; return whether it is within the quota of its name."""
        bucket = self._buckets.get(name)
        return bucket is None or bucket.take(now)
