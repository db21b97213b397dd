"""A worker's load report, and what it tells of the worker's slots.  Pure.

Deployments differ in the fields that their reports have (`io.AttemptEnded.report`, `io.ProbeEnded.report`).
"""

from collections.abc import Mapping
from dataclasses import dataclass

MOST_UTIL = 0.8  # nearer to full, the free slots of a report say too little of how many there are
ERROR_SHARE, LEAST_ERRORS_PER_S = 0.25, 0.5  # of the requests a second; both exceeded by a failing worker


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Figures of a report; None where it does not tell them.

    `util` is a share of all slots, `qps` and `errors_per_s` are rates a second, all others count slots.
    """

    free_slots: float | None = None
    free_memory: float | None = None
    inflight: float | None = None
    util: float | None = None
    queue: float = 0.0
    qps: float = 0.0
    errors_per_s: float = 0.0

    @classmethod
    def read(cls, fields: Mapping[str, float]) -> "LoadReport":
        """The report of these fields; those of other names are skipped."""
        return cls(**{name: value for name, value in fields.items() if name in cls.__slots__})

    @property
    def tells_load(self) -> bool:
        """Whether it tells anything of the slots in use."""
        return any(figure is not None for figure in (self.free_slots, self.inflight, self.util))

    @property
    def slots(self) -> int | None:
        """How many slots the worker seems to have; None where that can't be told."""
        if self.free_slots is None:
            return None
        if self.inflight is not None:
            return round(max(self.inflight - self.queue, 0.0) + self.free_slots)
        if self.util is not None and self.free_slots >= 1 and self.util < MOST_UTIL:
            return round(self.free_slots / (1 - self.util))
        return None

    def used(self, slots: float) -> float:
        """Slots asked for of so many, queued requests included."""
        if self.free_slots is not None:
            free = self.free_slots if self.free_memory is None else min(self.free_slots, self.free_memory)
            return slots - free + self.queue
        return self.inflight if self.inflight is not None else self.util * slots + self.queue

    @property
    def failing(self) -> bool:
        """Whether a large part of its requests end in errors."""
        return self.errors_per_s > max(ERROR_SHARE * self.qps, LEAST_ERRORS_PER_S)
