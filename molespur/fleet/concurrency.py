"""Limit on one member's concurrent requests to a worker, from its measured service time.  Pure.

A gradient limit, as in Netflix's concurrency-limits and Envoy's adaptive concurrency.  While responses take
as long as they took without load, the limit grows by its square root; as they take longer it shrinks with the
ratio.  It is a limit within the member's part of the worker's connections (`conn/<worker>`), so the fleet's
sum is bounded whatever each member measures, and what one member does not use is lent to others.
"""

from dataclasses import dataclass
from math import sqrt

TOLERANCE = 1.5  # service times up to this multiple of the baseline are no sign of load
BASELINE_WEIGHT, LATEST_WEIGHT = 0.01, 0.2  # weights of one response in the two moving averages
LIMIT_WEIGHT = 0.2  # weight of a new limit
MIN_GRADIENT = 0.5
MIN_LIMIT, MAX_LIMIT = 1.0, 1_000.0
BASELINE_DECAY = 0.95  # factor on the baseline where the latest time is well below it


@dataclass
class GradientLimit:
    """One worker's limit at one member; `limit` is concurrent requests."""

    limit: float = 8.0
    baseline_ms: float = 0.0
    latest_ms: float = 0.0

    def sample(self, service_ms: float, in_flight: int) -> None:
        """A response took `service_ms` while `in_flight` of our requests (itself included) were there."""
        if service_ms <= 0:
            return
        if not self.baseline_ms:
            self.baseline_ms = self.latest_ms = service_ms
        self.baseline_ms += BASELINE_WEIGHT * (service_ms - self.baseline_ms)
        self.latest_ms += LATEST_WEIGHT * (service_ms - self.latest_ms)
        if self.baseline_ms > 2 * self.latest_ms:
            self.baseline_ms *= BASELINE_DECAY
        if in_flight < self.limit / 2 and self.latest_ms <= TOLERANCE * self.baseline_ms:
            return  # the limit was not reached: nothing shows that a higher one would be sustained
        gradient = min(max(TOLERANCE * self.baseline_ms / self.latest_ms, MIN_GRADIENT), 1.0)
        wanted = self.limit * gradient + sqrt(self.limit)
        self.limit = min(max((1 - LIMIT_WEIGHT) * self.limit + LIMIT_WEIGHT * wanted, MIN_LIMIT), MAX_LIMIT)
