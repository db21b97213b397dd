"""Token buckets: rates in the long run, with bounded bursts.  Pure; times are milliseconds."""

from collections.abc import Mapping


class TokenBucket:
    """Fills at a rate up to a depth, both in tokens; full at first."""

    def __init__(self, rate_per_s: float, depth: float):
        self.rate_per_s, self.depth = rate_per_s, depth
        self._level = float("inf")
        self._filled_at = 0.0

    def take(self, now: float) -> bool:
        """Take one token; False, and nothing taken, where there is less than one."""
        gained = (now - self._filled_at) * self.rate_per_s / 1000
        level = min(self._level + gained, self.depth)
        conforms = level >= 1
        self._level = level - 1 if conforms else level
        self._filled_at = now
        return conforms


class Quotas:
    """A bucket for each name that has a quota."""

    def __init__(self):
        self._buckets: dict[str, TokenBucket] = {}

    def set(self, rates_per_s: Mapping[str, float], least_depth: float) -> None:
        """Go by these rates, with the tokens that are there; a bucket holds one second, or a least depth."""
        buckets = {}
        for name, rate in rates_per_s.items():
            depth = max(rate, least_depth)
            bucket = self._buckets.get(name) or TokenBucket(rate, depth)
            bucket.rate_per_s, bucket.depth = rate, depth
            buckets[name] = bucket
        self._buckets = buckets

    def take(self, name: str | None, now: float) -> bool:
        """Count one arrival; False where it is over its name's quota."""
        bucket = self._buckets.get(name)
        return bucket is None or bucket.take(now)
