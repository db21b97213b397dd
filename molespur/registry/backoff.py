"""Waits between tries, and which member comes next.  Pure: randomness is passed in."""

from dataclasses import dataclass
from random import Random


@dataclass(slots=True)
class Backoff:
    """Waits that double from `first_ms` up to `most_ms`, drawn at random above a tenth of that.

    A lone failure after a good while waits little; the draw spreads the tries of many clients that lost the
    same registry in the same moment, each with a generator of its own.
    """

    first_ms: float
    most_ms: float
    rng: Random
    failures: int = 0

    def next_ms(self) -> float:
        """The wait before the next try."""
        ceiling = min(self.first_ms * 2 ** min(self.failures, 30), self.most_ms)
        self.failures += 1
        return ceiling * (0.1 + 0.9 * self.rng.random())

    def ease(self) -> None:
        """All is well: the next failure starts from the first wait."""
        self.failures = 0


class Members:
    """The members of a registry by index: tried in turn, from a start of each client's own."""

    def __init__(self, count: int, rng: Random):
        self.count = count
        self.now = rng.randrange(count)
        self.failed: set[int] = set()  # since the last that went well

    def next(self) -> int:
        """Go on to the next member."""
        self.failed.add(self.now)
        self.now = (self.now + 1) % self.count
        return self.now

    def well(self) -> None:
        """The present member does its work."""
        self.failed.clear()

    @property
    def round_over(self) -> bool:
        """Whether each has failed since one last went well."""
        return len(self.failed) >= self.count
