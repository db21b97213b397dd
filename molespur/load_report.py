"""A worker's load report, and what follows from it for the worker's slots.  Does no I/O.

Deployments differ in the fields of their reports (`AttemptEnded.report`, `ProbeEnded.report`).
"""

from collections.abc import Mapping
from dataclasses import dataclass

MAX_UTIL = 0.8  # above it, the free slots are too few to estimate the number of slots
MIN_ERROR_SHARE, MIN_ERRORS_PER_S = 0.25, 0.5  # a failing worker exceeds both


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Fields of a report; None where it lacks them.

    `util` is a share of all slots, `qps` and `errors_per_s` are rates per second, all others count slots.
    """

    free_slots: float | None = None
    free_memory: float | None = None
    inflight: float | None = None
    util: float | None = None
    queue: float = 0.0
    qps: float = 0.0
    errors_per_s: float = 0.0

    @classmethod
    def from_fields(cls, fields: Mapping[str, float]) -> "LoadReport":
        """Build a report from these fields; unknown ones are ignored."""
        return cls(**{name: value for name, value in fields.items() if name in cls.__slots__})

    @property
    def has_load(self) -> bool:
        """Whether the report has any field that shows the slots in use."""
        return any(value is not None for value in (self.free_slots, self.inflight, self.util))

    @property
    def slots(self) -> int | None:
        """Number of slots that the worker seems to have; None where the fields don't show it."""
        if self.free_slots is None:
            return None
        if self.inflight is not None:
            return round(max(self.inflight - self.queue, 0.0) + self.free_slots)
        if self.util is not None and self.free_slots >= 1 and self.util < MAX_UTIL:
            return round(self.free_slots / (1 - self.util))
        return None

    def used(self, slots: float) -> float:
        """Slots in use or waited for, on a worker with this number of slots."""
        if self.free_slots is not None:
            free = self.free_slots if self.free_memory is None else min(self.free_slots, self.free_memory)
            return slots - free + self.queue
        return self.inflight if self.inflight is not None else self.util * slots + self.queue

    @property
    def is_failing(self) -> bool:
        """Whether a large part of the worker's requests end in errors."""
        return self.errors_per_s > max(MIN_ERROR_SHARE * self.qps, MIN_ERRORS_PER_S)
