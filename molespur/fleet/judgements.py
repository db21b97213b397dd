"""Judgements on records workers as registers that the schedulers share.  Pure.

A last-writer-wins map stamped by a hybrid logical clock, so that of two judgements the later stands
whichever comes first.  How old a register is goes along with it, counted by whoever held it on their own
clocks: it ends for all at about the same time, whatever their clocks say, and is not taken up again then.
"""

from collections.abc import Iterator

from .crdt import HybridClock, LWWMap, Register
from .sharing import RegisterUpdate

PEERS_KEPT = 33  # members whose clocks ours is compared with
BAD, ASK = b"bad", b"ask"  # judged bad; judges ask for what members saw of it


class Judgements:
    """The registers that one member holds, and which of them are still to be told on."""

    def __init__(self, me: str, life_ms: float, most: int = 2_048, ahead_most_ms: int = 1_000):
        self.life_ms = life_ms
        self.clock = HybridClock(me, ahead_most_ms)
        self.map = LWWMap(most=most)
        self._born: dict[str, float] = {}  # when each was written, by our clock
        self._offsets: dict[str, float] = {}  # how far ahead of ours other members' clocks are

    def compare(self, member: str, ahead_ms: float) -> None:
        """Another's clock is so far ahead of ours (or, below 0, behind)."""
        self._offsets.pop(member, None)
        self._offsets[member] = ahead_ms
        if len(self._offsets) > PEERS_KEPT:
            del self._offsets[next(iter(self._offsets))]

    def fleet_ms(self, unix_ms: float) -> float:
        """The Unix time as the middle one of the members has it.

        Guards against a member whose clock is off refusing what all others say, or being refused by all.
        """
        ranked = sorted([0.0, *self._offsets.values()])
        middle = ranked[(len(ranked) - 1) // 2 : len(ranked) // 2 + 1]
        return unix_ms + min(middle, key=abs)

    def write(self, key: str, value: bytes, now: float, unix_ms: float) -> RegisterUpdate:
        """Write a register; as it is to be told."""
        stamp = self.clock.now(self.fleet_ms(unix_ms))
        self.map, self._born[key] = self.map.put(key, value, stamp), now
        return RegisterUpdate(key, stamp, value, 0.0)

    def hear(self, said: RegisterUpdate, now: float, unix_ms: float) -> str:
        """Another's register: "" if it is news and taken, else why not."""
        if said.age_ms >= self.life_ms:
            return "over"
        held = self.map.registers.get(said.key)
        if held is not None and held.stamp == said.stamp:
            return "known"
        if self.clock.receive(said.stamp, self.fleet_ms(unix_ms)) is None:
            return "from_the_future"
        merged = self.map.put(said.key, said.value, said.stamp)
        if merged.registers.get(said.key) != Register(said.stamp, said.value):
            return "older"
        self.map, self._born[said.key] = merged, now - said.age_ms
        return ""

    def told(self, key: str, now: float) -> RegisterUpdate | None:
        """A register as it is to be told on now."""
        held = self.map.registers.get(key)
        age = now - self._born.get(key, 0.0)
        if held is None or age >= self.life_ms:
            return None
        return RegisterUpdate(key, held.stamp, held.value, age)

    def all(self, now: float) -> Iterator[RegisterUpdate]:
        for key in self.map.registers:
            if (said := self.told(key, now)) is not None:
                yield said

    def having(self, value: bytes, now: float) -> set[str]:
        """The keys that hold this value, their time not over."""
        return {said.key for said in self.all(now) if said.value == value}

    def expire(self, now: float) -> list[str]:
        """Let go what is over; its keys."""
        over = [k for k in self.map.registers if now - self._born.get(k, 0.0) >= self.life_ms]
        if over:
            kept = {k: r for k, r in self.map.registers.items() if k not in over}
            self.map = LWWMap(kept, self.map.most)
        self._born = {k: at for k, at in self._born.items() if k in self.map.registers}
        return over
