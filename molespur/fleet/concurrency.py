"""How many requests at once one member may have at a worker, from its measured service time.  Pure.

A gradient limit, as Netflix's concurrency-limits and Envoy's adaptive concurrency have it: while answers take
as long as they took when there was room, the limit grows by its root; as they take longer it shrinks with
the ratio.  It is a limit within the member's part of the worker's connections (`conn/<worker>`), so that the
fleet's sum is bounded whatever each measures, and what one gives up is lent to others.
"""

from dataclasses import dataclass
from math import sqrt

TOLERANCE = 1.5  # a service time so many times the usual is no sign of load
LONG, SHORT = 0.01, 0.2  # weights of one answer in the usual time and in the latest
SMOOTH = 0.2  # weight of a new limit
SHRINK_MOST = 0.5
LEAST, MOST = 1.0, 1_000.0
RECOVER = 0.95  # the usual time falls back by this where the latest is well below it


@dataclass
class Gradient:
    """One worker's limit at one member; `limit` is requests at once."""

    limit: float = 8.0
    usual_ms: float = 0.0
    latest_ms: float = 0.0

    def sample(self, took_ms: float, at_once: int) -> None:
        """An answer took so long, while so many of ours were there (it among them)."""
        if took_ms <= 0:
            return
        if not self.usual_ms:
            self.usual_ms = self.latest_ms = took_ms
        self.usual_ms += LONG * (took_ms - self.usual_ms)
        self.latest_ms += SHORT * (took_ms - self.latest_ms)
        if self.usual_ms > 2 * self.latest_ms:
            self.usual_ms *= RECOVER
        if at_once < self.limit / 2 and self.latest_ms <= TOLERANCE * self.usual_ms:
            return  # it was not put to the test: nothing says that more would do
        gradient = min(max(TOLERANCE * self.usual_ms / self.latest_ms, SHRINK_MOST), 1.0)
        wanted = self.limit * gradient + sqrt(self.limit)
        self.limit = min(max((1 - SMOOTH) * self.limit + SMOOTH * wanted, LEAST), MOST)
