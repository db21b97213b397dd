"""State that schedulers share by merging: counters, a hybrid logical clock, last-writer-wins registers.

Pure: every `merge` here is commutative, associative and idempotent (tested), so that state may come in any
order, twice, or late; a merge is a function of its two sides alone.  What ages out does so elsewhere, by the
holder's own clock (`judgements.py`).  Sources: Shapiro et al., "Conflict-free replicated data types"
(2011) for the counters and registers; Kulkarni et al., "Logical physical clocks" (2014) for the clock.
"""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

NAMES_MOST = 32  # counters of one member
TAKE_UP_MS = 60_000.0  # after a start, for rows of past lives to come from peers
ZERO = (0, 0)
Name = Annotated[str, Meta(max_length=32)]
Total = Annotated[int, Meta(ge=0, le=2**63 - 1)]


def _larger(a: tuple[int, int], b: tuple[int, int]) -> tuple[int, int]:
    return (max(a[0], b[0]), max(a[1], b[1]))


class CounterRow(msgspec.Struct, array_like=True, frozen=True):
    """One member's counts in one life, by name: what was added and what was taken, both only growing.

    A G-counter's entry is one of which nothing is taken.  Of two lives the later stands; a member that starts
    anew takes its past row up (`FleetCounters.merge`), so that counts go on where they were.
    """

    member: Annotated[str, Meta(min_length=1, max_length=64)]
    life: Annotated[int, Meta(ge=0, le=2**63 - 1)]
    counts: Annotated[dict[Name, tuple[Total, Total]], Meta(max_length=NAMES_MOST)]

    def merge(self, other: "CounterRow") -> "CounterRow":
        """The later life's, or entry by entry the larger."""
        if self.life != other.life:
            return self if self.life > other.life else other
        names = sorted(self.counts.keys() | other.counts.keys())
        merged = {n: _larger(self.counts.get(n, ZERO), other.counts.get(n, ZERO)) for n in names}
        return CounterRow(self.member, self.life, dict(sorted(merged.items())[:NAMES_MOST]))


class FleetCounters:
    """PN-counters by name over the fleet: one row a member, its own among them."""

    def __init__(self, me: str, life: int, started_ms: float = 0.0, most_members: int = 1_024):
        self.me, self.started_ms, self.most_members = me, started_ms, most_members
        self.rows: dict[str, CounterRow] = {me: CounterRow(me, life, {})}
        self._past: dict[str, tuple[int, int]] = {}  # of past lives of ours, in our row
        self._lives = {life}  # that our row had in this process

    def add(self, name: str, count: int = 1) -> None:
        """`count` more, or fewer, by us."""
        mine = self.rows[self.me]
        added, taken = mine.counts.get(name, (0, 0))
        pair = (added + max(count, 0), taken + max(-count, 0))
        if name in mine.counts or len(mine.counts) < NAMES_MOST:
            self.rows[self.me] = CounterRow(self.me, mine.life, mine.counts | {name: pair})

    def merge(self, row: CounterRow, now: float) -> bool:
        """Another row; True if it tells anything new."""
        if row.member == self.me:
            return self._take_up(row, now)
        held = self.rows.get(row.member)
        if held is None and len(self.rows) >= self.most_members:
            return False
        merged = row if held is None else held.merge(row)
        self.rows[row.member] = merged
        return merged != held

    def _take_up(self, row: CounterRow, now: float) -> bool:
        """A past life's row goes into ours, under a life above it, soon after our start.

        Later it is another process under our id, and taking it up would go on for ever between the two.
        """
        mine = self.rows[self.me]
        if row.life in self._lives or now - self.started_ms > TAKE_UP_MS:
            return False
        past = {n: _larger(self._past.get(n, ZERO), pair) for n, pair in row.counts.items()} | {
            n: pair for n, pair in self._past.items() if n not in row.counts
        }
        if past == self._past and row.life < mine.life:
            return False
        counts = dict(mine.counts)
        for name, pair in past.items():
            old, ours = self._past.get(name, ZERO), counts.get(name, ZERO)
            counts[name] = (ours[0] - old[0] + pair[0], ours[1] - old[1] + pair[1])
        self._past = past
        kept = dict(sorted(counts.items())[:NAMES_MOST])
        life = max(mine.life, row.life + 1)
        self._lives.add(life)
        self.rows[self.me] = CounterRow(self.me, life, kept)
        return True

    def total(self, name: str) -> int:
        """What the fleet has added, less what it has taken, as far as we have heard."""
        pairs = (row.counts.get(name, (0, 0)) for row in self.rows.values())
        return sum(added - taken for added, taken in pairs)

    def names(self) -> list[str]:
        return sorted({name for row in self.rows.values() for name in row.counts})


class Stamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A hybrid logical clock's reading: wall ms, a count within them, and the member, for a total order."""

    wall: Total
    logical: Total
    member: Annotated[str, Meta(max_length=64)]


@dataclass
class HybridClock:
    """One member's hybrid logical clock; `ahead_most_ms` bounds how far ahead of ours a stamp may be.

    A stamp further ahead is refused (None), so that a member whose clock runs 10 s fast can't make its values
    win for those 10 s, nor pull our clock along.
    """

    member: str
    ahead_most_ms: int = 1_000
    last: Stamp = field(default_factory=lambda: Stamp(0, 0, ""))

    def now(self, physical_ms: float) -> Stamp:
        """A stamp for an event of ours."""
        wall = max(self.last.wall, int(physical_ms))
        logical = self.last.logical + 1 if wall == self.last.wall else 0
        self.last = Stamp(wall, logical, self.member)
        return self.last

    def receive(self, stamp: Stamp, physical_ms: float) -> Stamp | None:
        """Take a stamp that came from another member; None where it is too far ahead."""
        if stamp.wall > physical_ms + self.ahead_most_ms:
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
    """A value and when it was written; a value of None says that the key was removed."""

    stamp: Stamp
    value: bytes | None


def _order(register: Register) -> tuple:
    """Of two writes the later wins; at one stamp (one member, one instant) a value wins over a removal, then
    the greater value, so that the winner is the same whichever way round they meet."""
    return (register.stamp, register.value is not None, register.value or b"")


class LWWMap(msgspec.Struct, frozen=True):
    """Keys to last-writer-wins registers, at most `most` keys: where more, those written longest ago go.

    The bound keeps the merge a function of its sides: of the union, the `most` newest are kept.
    """

    registers: dict[str, Register] = msgspec.field(default_factory=dict)
    most: int = 4096

    def get(self, key: str) -> bytes | None:
        register = self.registers.get(key)
        return None if register is None else register.value

    def put(self, key: str, value: bytes | None, stamp: Stamp) -> "LWWMap":
        return self.merge(LWWMap({key: Register(stamp, value)}, self.most))

    def merge(self, other: "LWWMap") -> "LWWMap":
        merged = dict(self.registers)
        for key, register in other.registers.items():
            held = merged.get(key)
            if held is None or _order(register) > _order(held):
                merged[key] = register
        most = min(self.most, other.most)
        if len(merged) > most:
            kept = sorted(merged.items(), key=lambda item: (_order(item[1]), item[0]), reverse=True)[:most]
            merged = dict(kept)
        return LWWMap(dict(sorted(merged.items())), most)
