"""Arrival rates of very many sources in bounded memory.  Pure.

A rate is kept by GCRA (ITU-T I.371): one number a source, the theoretical arrival time.  A fixed table holds
the sources heard of most lately; those that fall out of it share the cells of a sketch under a keyed hash, so
that nobody who does not know the key can aim a source at another's cells.
"""

from collections import OrderedDict
from dataclasses import dataclass

import xxhash

DEPTH = 4  # rows of the sketch; a source is as late as the least of its cells says


@dataclass(frozen=True, slots=True)
class Limit:
    """So many arrivals a second in the long run, and so many at once."""

    per_s: float
    burst: int

    @property
    def every_ms(self) -> float:
        return 1000.0 / self.per_s

    def __post_init__(self):
        if not (self.per_s > 0 and self.burst >= 1):
            raise ValueError(f"a limit needs a rate above 0 and a burst of at least 1, got {self}")


def gcra(limit: Limit, due: float, now: float) -> tuple[bool, float]:
    """Whether an arrival at now (ms) conforms, and the theoretical arrival time that follows.

    `due` is that time as it stood; what does not conform leaves it as it was.
    """
    start = max(due, now)
    if start - now > (limit.burst - 1) * limit.every_ms + 1e-9:
        return False, due
    return True, start + limit.every_ms


class Sketch:
    """Theoretical arrival times in DEPTH rows of `width` cells, each source in one cell of each row.

    A cell holds the latest time of all its sources, so a source is never taken for earlier than it is, and is
    taken for later only where in each row another shares its cell: with n busy sources of probability at most
    (1 - exp(-n / width)) ** DEPTH.
    """

    def __init__(self, width: int, key: int):
        self.width, self.key = width, key
        self.rows = [[0.0] * width for _ in range(DEPTH)]

    def _cells(self, source: bytes) -> list[int]:
        digest = xxhash.xxh3_128_intdigest(source, self.key)
        return [(digest >> (32 * row)) % self.width for row in range(DEPTH)]

    def due(self, source: bytes) -> float:
        return min(row[cell] for row, cell in zip(self.rows, self._cells(source), strict=True))

    def set(self, source: bytes, due: float) -> None:
        """Note a time; a cell that is later already stays ("conservative update")."""
        for row, cell in zip(self.rows, self._cells(source), strict=True):
            row[cell] = max(row[cell], due)


class Rates:
    """The rates of all sources: the latest `most` exactly, the others by the sketch."""

    def __init__(self, limit: Limit, most: int, width: int, key: int):
        self.limit, self.most = limit, most
        self.exact: OrderedDict[bytes, float] = OrderedDict()
        self.sketch = Sketch(width, key)

    def arrive(self, source: bytes, now: float) -> bool:
        """Whether this arrival is within the source's rate; counts it if so."""
        due = self.exact.pop(source, None)
        if due is None:
            due = self.sketch.due(source)
        conforms, due = gcra(self.limit, due, now)
        self.exact[source] = due
        while len(self.exact) > self.most:
            old, late = self.exact.popitem(last=False)
            if late > now:
                self.sketch.set(old, late)  # one that is past owes nothing
        return conforms

    def wait_ms(self, source: bytes, now: float) -> float:
        """How long until an arrival of this source would conform."""
        due = self.exact.get(source)
        if due is None:
            due = self.sketch.due(source)
        return max(due - now - (self.limit.burst - 1) * self.limit.every_ms, 0.0)
