"""State that schedulers share by merging: counters, a hybrid logical clock, last-writer-wins registers.

Pure: every `merge` here is commutative, associative and idempotent (tested), so that state may come in any
order, twice, or late.  What ages out does so by the local time passed to `expire`, never inside `merge`: a
merge is a function of its two sides alone.  Sources: Shapiro et al., "Conflict-free replicated data types"
(2011) for the counters and registers; Kulkarni et al., "Logical physical clocks" (2014) for the clock.
"""

from dataclasses import dataclass, field

import msgspec


class GCounter(msgspec.Struct, frozen=True):
    """A count that only grows: each member increments its own entry; the value is their sum."""

    entries: dict[str, int] = msgspec.field(default_factory=dict)

    def value(self) -> int:
        return sum(self.entries.values())

    def add(self, member: str, count: int = 1) -> "GCounter":
        """With `count` more (at least 0) by `member`."""
        if count < 0:
            raise ValueError("a G-counter only grows")
        return GCounter({**self.entries, member: self.entries.get(member, 0) + count})

    def merge(self, other: "GCounter") -> "GCounter":
        keys = self.entries.keys() | other.entries.keys()
        return GCounter({k: max(self.entries.get(k, 0), other.entries.get(k, 0)) for k in sorted(keys)})


class PNCounter(msgspec.Struct, frozen=True):
    """A count that grows and shrinks: one G-counter of what was added, one of what was taken."""

    added: GCounter = GCounter()
    taken: GCounter = GCounter()

    def value(self) -> int:
        return self.added.value() - self.taken.value()

    def add(self, member: str, count: int) -> "PNCounter":
        if count >= 0:
            return PNCounter(self.added.add(member, count), self.taken)
        return PNCounter(self.added, self.taken.add(member, -count))

    def merge(self, other: "PNCounter") -> "PNCounter":
        return PNCounter(self.added.merge(other.added), self.taken.merge(other.taken))


class Stamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A hybrid logical clock's reading: wall ms, a count within them, and the member, for a total order."""

    wall: int
    logical: int
    member: str


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

    def expire(self, now_ms: float, ttl_ms: float) -> "LWWMap":
        """Without the registers written more than `ttl_ms` ago by our clock."""
        kept = {k: r for k, r in self.registers.items() if r.stamp.wall + ttl_ms > now_ms}
        return self if len(kept) == len(self.registers) else LWWMap(kept, self.most)
