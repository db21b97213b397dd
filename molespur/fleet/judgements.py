"""Judgements on workers as registers that the schedulers share.  Pure.

A last-writer-wins map stamped by a hybrid logical clock, so that of two judgements the later one wins,
whichever arrives first.  A register's age is sent along with it, counted by each holder on its own clock.  So
it expires for all at about the same time, whatever their clocks show, and is not accepted again afterwards.
"""

from collections.abc import Iterator

from .crdt import HybridClock, LWWMap, Register
from .sharing import RegisterUpdate

MAX_CLOCK_OFFSETS = 33  # members whose clocks ours is compared with
BAD, QUERY = b"bad", b"ask"  # judged bad; judges query the members' counts of it


class Judgements:
    """The registers that one member holds."""

    def __init__(self, own_id: str, ttl_ms: float, max_keys: int = 2_048, max_ahead_ms: int = 1_000):
        self.ttl_ms = ttl_ms
        self.clock = HybridClock(own_id, max_ahead_ms)
        self.map = LWWMap(max_keys=max_keys)
        self._written_at: dict[str, float] = {}  # when each was written, by our clock
        self._offsets: dict[str, float] = {}  # how far ahead of ours other members' clocks are

    def record_clock_offset(self, member: str, ahead_ms: float) -> None:
        """Record that a member's clock is this far ahead of ours (below 0: behind)."""
        self._offsets.pop(member, None)
        self._offsets[member] = ahead_ms
        if len(self._offsets) > MAX_CLOCK_OFFSETS:
            del self._offsets[next(iter(self._offsets))]

    def fleet_unix_ms(self, unix_ms: float) -> float:
        """The Unix time by the median of the members' clocks.

        Guards against a member whose clock is off refusing the updates of all others, or being refused by
        them.
        """
        ranked = sorted([0.0, *self._offsets.values()])
        middle = ranked[(len(ranked) - 1) // 2 : len(ranked) // 2 + 1]
        return unix_ms + min(middle, key=abs)

    def write(self, key: str, value: bytes, now: float, unix_ms: float) -> RegisterUpdate:
        """Write a register; return the update to send."""
        stamp = self.clock.now(self.fleet_unix_ms(unix_ms))
        self.map, self._written_at[key] = self.map.put(key, value, stamp), now
        return RegisterUpdate(key, stamp, value, 0.0)

    def merge(self, update: RegisterUpdate, now: float, unix_ms: float) -> str:
        """Take another member's register; "" if it was new and taken, else the reason why not."""
        if update.age_ms >= self.ttl_ms:
            return "over"
        held = self.map.registers.get(update.key)
        if held is not None and held.stamp == update.stamp:
            return "known"
        if self.clock.receive(update.stamp, self.fleet_unix_ms(unix_ms)) is None:
            return "from_the_future"
        merged = self.map.put(update.key, update.value, update.stamp)
        if merged.registers.get(update.key) != Register(update.stamp, update.value):
            return "older"
        self.map, self._written_at[update.key] = merged, now - update.age_ms
        return ""

    def get(self, key: str, now: float) -> RegisterUpdate | None:
        """A register with its age now; None where it is missing or has expired."""
        held = self.map.registers.get(key)
        age = now - self._written_at.get(key, 0.0)
        if held is None or age >= self.ttl_ms:
            return None
        return RegisterUpdate(key, held.stamp, held.value, age)

    def all(self, now: float) -> Iterator[RegisterUpdate]:
        for key in self.map.registers:
            if (update := self.get(key, now)) is not None:
                yield update

    def keys_with(self, value: bytes, now: float) -> set[str]:
        """The keys that hold this value and have not expired."""
        return {update.key for update in self.all(now) if update.value == value}

    def expire(self, now: float) -> list[str]:
        """Drop expired registers; return their keys."""
        expired = [k for k in self.map.registers if now - self._written_at.get(k, 0.0) >= self.ttl_ms]
        if expired:
            kept = {k: r for k, r in self.map.registers.items() if k not in expired}
            self.map = LWWMap(kept, self.map.max_keys)
        self._written_at = {k: at for k, at in self._written_at.items() if k in self.map.registers}
        return expired
