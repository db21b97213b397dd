"""State that schedulers share by merging: counters, a hybrid logical clock, last-writer-wins registers.

Pure.  Every `merge` here is commutative, associative and idempotent (tested), so state may arrive in any
order, twice, or late; the result of a merge depends on its two sides alone.  Expiry is kept elsewhere, by the
holder's own clock (`judgements.py`).  Sources: Shapiro et al., "Conflict-free replicated data types"
(2011) for the counters and registers; Kulkarni et al., "Logical physical clocks" (2014) for the clock.
"""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_COUNTERS = 32  # counters of one member
RECOVERY_MS = 60_000.0  # after a start, for which peers' rows of our past instances are taken over
ZERO = (0, 0)
Name = Annotated[str, Meta(max_length=32)]
Total = Annotated[int, Meta(ge=0, le=2**63 - 1)]


def _larger(a: tuple[int, int], b: tuple[int, int]) -> tuple[int, int]:
    return (max(a[0], b[0]), max(a[1], b[1]))


class CounterRow(msgspec.Struct, array_like=True, frozen=True):
    """The counters of one instance of a member, by name: (added, subtracted), both only growing.

    A counter that is never subtracted from is a G-counter.  Of two instances the later one's row wins.  A
    member that restarts takes over its past row (`FleetCounters.merge`), so that its counters continue.
    """

    member: Annotated[str, Meta(min_length=1, max_length=64)]
    instance: Annotated[int, Meta(ge=0, le=2**63 - 1)]
    counts: Annotated[dict[Name, tuple[Total, Total]], Meta(max_length=MAX_COUNTERS)]

    def merge(self, other: "CounterRow") -> "CounterRow":
        """The later instance's row, or of one instance the larger value of each counter."""
        if self.instance != other.instance:
            return self if self.instance > other.instance else other
        names = sorted(self.counts.keys() | other.counts.keys())
        merged = {n: _larger(self.counts.get(n, ZERO), other.counts.get(n, ZERO)) for n in names}
        return CounterRow(self.member, self.instance, dict(sorted(merged.items())[:MAX_COUNTERS]))


class FleetCounters:
    """PN-counters by name over the fleet: one row for each member, our own among them."""

    def __init__(self, own_id: str, instance: int, started_ms: float = 0.0, max_members: int = 1_024):
        self.own_id, self.started_ms, self.max_members = own_id, started_ms, max_members
        self.rows: dict[str, CounterRow] = {own_id: CounterRow(own_id, instance, {})}
        self._past: dict[str, tuple[int, int]] = {}  # what our row contains from past instances
        self._instances = {instance}  # instance numbers that our row has had in this process

    def add(self, name: str, count: int = 1) -> None:
        """Add `count` (or subtract it, below 0) to one of our counters."""
        mine = self.rows[self.own_id]
        added, taken = mine.counts.get(name, (0, 0))
        pair = (added + max(count, 0), taken + max(-count, 0))
        if name in mine.counts or len(mine.counts) < MAX_COUNTERS:
            self.rows[self.own_id] = CounterRow(self.own_id, mine.instance, mine.counts | {name: pair})

    def merge(self, row: CounterRow, now: float) -> bool:
        """Merge another row; True if it brings anything new."""
        if row.member == self.own_id:
            return self._recover(row, now)
        held = self.rows.get(row.member)
        if held is None and len(self.rows) >= self.max_members:
            return False
        merged = row if held is None else held.merge(row)
        self.rows[row.member] = merged
        return merged != held

    def _recover(self, row: CounterRow, now: float) -> bool:
        """Add a past instance's row to ours soon after our start, under a higher instance number.

        A later one comes from another process with our id; taking it over would go on for ever between the
        two.
        """
        mine = self.rows[self.own_id]
        if row.instance in self._instances or now - self.started_ms > RECOVERY_MS:
            return False
        past = {n: _larger(self._past.get(n, ZERO), pair) for n, pair in row.counts.items()} | {
            n: pair for n, pair in self._past.items() if n not in row.counts
        }
        if past == self._past and row.instance < mine.instance:
            return False
        counts = dict(mine.counts)
        for name, pair in past.items():
            old, ours = self._past.get(name, ZERO), counts.get(name, ZERO)
            counts[name] = (ours[0] - old[0] + pair[0], ours[1] - old[1] + pair[1])
        self._past = past
        kept = dict(sorted(counts.items())[:MAX_COUNTERS])
        instance = max(mine.instance, row.instance + 1)
        self._instances.add(instance)
        self.rows[self.own_id] = CounterRow(self.own_id, instance, kept)
        return True

    def total(self, name: str) -> int:
        """The fleet's total of a counter, as far as we know the rows."""
        pairs = (row.counts.get(name, (0, 0)) for row in self.rows.values())
        return sum(added - taken for added, taken in pairs)

    def names(self) -> list[str]:
        return sorted({name for row in self.rows.values() for name in row.counts})


class Stamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A hybrid logical timestamp: wall clock ms, a counter within them, and the member, for a total order."""

    wall: Total
    logical: Total
    member: Annotated[str, Meta(max_length=64)]


@dataclass
class HybridClock:
    """One member's hybrid logical clock; `max_ahead_ms` bounds how far ahead of ours a stamp may be.

    A stamp further ahead is refused (None).  So a member whose clock runs 10 s fast can neither make its
    values win for those 10 s nor pull our clock along.
    """

    member: str
    max_ahead_ms: int = 1_000
    last: Stamp = field(default_factory=lambda: Stamp(0, 0, ""))

    def now(self, physical_ms: float) -> Stamp:
        """A stamp for an event of ours."""
        wall = max(self.last.wall, int(physical_ms))
        logical = self.last.logical + 1 if wall == self.last.wall else 0
        self.last = Stamp(wall, logical, self.member)
        return self.last

    def receive(self, stamp: Stamp, physical_ms: float) -> Stamp | None:
        """Take a stamp received from another member; None where it is too far ahead."""
        if stamp.wall > physical_ms + self.max_ahead_ms:
            return None
        wall = max(self.last.wall, stamp.wall, int(physical_ms))
        if wall == self.last.wall == stamp.wall:
            logical = max(self.last.logical, stamp.logical) + 1
        elif wall == self.last.wall:
            logical = self.last.logical + 1
        elif wall == stamp.wall:
            logical = stamp.logical + 1
        else:
            logical = 0
        self.last = Stamp(wall, logical, self.member)
        return stamp


class Register(msgspec.Struct, frozen=True, array_like=True):
    """A value and when it was written; None as the value means that the key was removed."""

    stamp: Stamp
    value: bytes | None


def _order(register: Register) -> tuple:
    """Of two writes the later wins.  At one stamp (one member, one instant) a value wins over a removal, then
    the greater value, so that the winner does not depend on the order of the merge."""
    return (register.stamp, register.value is not None, register.value or b"")


class LWWMap(msgspec.Struct, frozen=True):
    """Keys to last-writer-wins registers, at most `max_keys`; beyond that the oldest writes are dropped.

    The bound keeps the merge a function of its sides: of the union, the `max_keys` newest are kept.
    """

    registers: dict[str, Register] = msgspec.field(default_factory=dict)
    max_keys: int = 4096

    def get(self, key: str) -> bytes | None:
        register = self.registers.get(key)
        return None if register is None else register.value

    def put(self, key: str, value: bytes | None, stamp: Stamp) -> "LWWMap":
        return self.merge(LWWMap({key: Register(stamp, value)}, self.max_keys))

    def merge(self, other: "LWWMap") -> "LWWMap":
        merged = dict(self.registers)
        for key, register in other.registers.items():
            held = merged.get(key)
            if held is None or _order(register) > _order(held):
                merged[key] = register
        max_keys = min(self.max_keys, other.max_keys)
        if len(merged) > max_keys:
            kept = sorted(merged.items(), key=lambda item: (_order(item[1]), item[0]), reverse=True)[
                :max_keys
            ]
            merged = dict(kept)
        return LWWMap(dict(sorted(merged.items())), max_keys)
