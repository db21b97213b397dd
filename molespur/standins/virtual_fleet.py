"""Many members of the fleet view in virtual time, on a network of our own: deterministic from one seed.

Each member is the pure `Membership`; the network delays, loses, cuts one way and partitions datagrams and
push-pulls as told.  Members can be killed, paused, continued and restarted with the same id.  Used by the
measurements (`benchmarks/fleet_view.py`) and by tests; never by `serve`.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..fleet import wire
from ..fleet.model import VERSION, Address, Exchange, MemberUpdate, State, Tuning
from ..fleet.swim import Changed, Membership, Push, PushFailed, PushSucceeded, Received, Send, Start, Tick

PUSH_TIMEOUT_MS = 1_000.0


@dataclass
class Line:
    """The faults between members: loss and delay for all, cuts by direction."""

    loss: float = 0.0
    delay_ms: float = 1.0
    jitter_ms: float = 0.0
    dup: float = 0.0
    cuts: set[tuple[int, int]] = field(default_factory=set)  # (from, to): nothing passes that way

    def passes(self, rng: random.Random, source: int, target: int) -> bool:
        return (source, target) not in self.cuts and rng.random() >= self.loss

    def delay(self, rng: random.Random) -> float:
        return self.delay_ms + rng.uniform(0.0, self.jitter_ms)


class VirtualFleet:
    """n members, numbered from 0, each named `m<i>` at 10.0.x.y:7946; all join through member 0."""

    def __init__(self, n: int, tuning: Tuning | None = None, seed: int = 1, tick_ms: float = 50.0):
        self.tuning, self.tick_ms = tuning or Tuning(), tick_ms
        self.rng = random.Random(seed)
        self.line = Line()
        self.now = 0.0
        self.members: list[Membership | None] = [None] * n
        self.up: list[bool] = [False] * n
        self.paused: set[int] = set()
        self.changes: list[tuple[float, int, Changed]] = []  # (time, observer, change)
        self.sent_bytes = [0] * n  # of datagrams
        self.sent_datagrams = [0] * n
        self.pushed_bytes = [0] * n  # of push-pull states over TCP, both ways
        self.on_change: Callable[[float, int, Changed], None] | None = None
        self._queue: list = []
        self._order = 0
        self._by_address = {self.address(i): i for i in range(n)}
        self._lives = [0] * n

    @staticmethod
    def address(i: int) -> Address:
        return (f"10.0.{i // 250}.{i % 250 + 1}", 7946)

    # -- Life of members -----------------------------------------------------------------------

    def start(self, i: int, seeds: tuple[int, ...] = (0,)) -> None:
        """Start (or restart) member i, with the same id; its incarnation starts at the virtual time."""
        self._lives[i] += 1
        member = Membership(f"m{i}", self.address(i), self.tuning, random.Random(self.rng.random()), "v")
        self.members[i], self.up[i] = member, True
        self.paused.discard(i)
        seed_addresses = tuple(self.address(s) for s in seeds if s != i)
        self._act(i, member.handle(self.now, Start(int(1_000_000 + self.now), seed_addresses)))
        self._at(self.now + self.rng.uniform(0, self.tick_ms), "tick", i, self._lives[i])

    def start_settled(self) -> None:
        """Start all members, each with all others alive in its view and nothing left to be told.

        For measurements of large fleets from a quiet state: to join through seeds costs n² pieces of news.
        """
        for i in range(len(self.members)):
            self.start(i, ())
        said = [
            MemberUpdate(m.own_id, *m.address, m.incarnation, State.ALIVE, m.own_id) for m in self.members
        ]
        for i, member in enumerate(self.members):
            self._act(i, member.handle(self.now, PushSucceeded(Exchange(VERSION, "v", "", False, said))))
            member._queue.clear()

    def kill(self, i: int) -> None:
        self.up[i], self.members[i] = False, None

    def pause(self, i: int) -> None:
        self.paused.add(i)

    def resume(self, i: int) -> None:
        self.paused.discard(i)

    def partition(self, *groups: set[int]) -> None:
        """Cut all links between the groups, both ways."""
        for a in groups:
            for b in groups:
                if a is not b:
                    self.line.cuts |= {(x, y) for x in a for y in b}

    def heal(self) -> None:
        self.line.cuts.clear()

    # -- The clock -----------------------------------------------------------------------------

    def _at(self, when: float, kind: str, *what) -> None:
        self._order += 1
        heapq.heappush(self._queue, (when, self._order, kind, what))

    def run(self, until_ms: float) -> None:
        """Play all that falls due up to this time."""
        while self._queue and self._queue[0][0] <= until_ms:
            when, _, kind, what = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            getattr(self, "_" + kind)(*what)
        self.now = max(self.now, until_ms)

    def _tick(self, i: int, life: int) -> None:
        if self._lives[i] != life or not self.up[i]:
            return
        if i not in self.paused:
            self._ticked(i)
        self._at(self.now + self.tick_ms, "tick", i, life)

    def _ticked(self, i: int) -> None:
        self._act(i, self.members[i].handle(self.now, Tick()))

    def _deliver(self, target: int, data: bytes, life: int) -> None:
        member = self.members[target]
        if member is None or self._lives[target] != life:
            return
        if target in self.paused:
            self._at(self.now + self.tick_ms, "deliver", target, data, life)  # waits in the socket
            return
        message, _ = wire.decode(data, "v", self.tuning.datagram_most)
        if message is not None:
            self._take(target, message)

    def _take(self, i: int, message) -> None:
        self._act(i, self.members[i].handle(self.now, Received(message)))

    def _exchange(self, source: int, target: int, data: bytes, join: bool, life: int) -> None:
        member = self.members[target]
        back = self.line.passes(self.rng, target, source)
        if member is None or target in self.paused or not back:
            self._at(self.now + PUSH_TIMEOUT_MS, "push_failed", source, target, join, self._lives[source])
            return
        exchange, _ = wire.decode_exchange(data[4:], "v")
        self._carried(target, exchange)
        answer, actions = member.answer_push(self.now, exchange)
        self.pushed_bytes[target] += len(answer)
        self._act(target, actions)
        self._at(self.now + self.line.delay(self.rng), "merged", source, answer, self._lives[source])

    def _merged(self, source: int, answer: bytes, life: int) -> None:
        member = self.members[source]
        if member is None or self._lives[source] != life:
            return
        exchange, _ = wire.decode_exchange(answer[4:], "v")
        self._carried(source, exchange)
        self._act(source, member.handle(self.now, PushSucceeded(exchange)))

    def _carried(self, i: int, exchange) -> None:
        """What rides on a push-pull beside the view."""

    def _push_failed(self, source: int, target: int, join: bool, life: int) -> None:
        member = self.members[source]
        if member is not None and self._lives[source] == life:
            self._act(source, member.handle(self.now, PushFailed(self.address(target), join)))

    def _act(self, i: int, actions: list) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.sent_bytes[i] += len(action.data)
                self.sent_datagrams[i] += 1
                target = self._by_address.get(action.address)
                copies = 1 + (self.line.dup > 0 and self.rng.random() < self.line.dup)
                for _ in range(copies if target is not None else 0):
                    if self.line.passes(self.rng, i, target):
                        self._at(self.now + self.line.delay(self.rng), "deliver", target, action.data,
                                 self._lives[target])  # fmt: skip
            elif isinstance(action, Push):
                self.pushed_bytes[i] += len(action.data)
                target = self._by_address.get(action.address)
                if target is None or not self.line.passes(self.rng, i, target):
                    self._at(self.now + PUSH_TIMEOUT_MS, "push_failed", i, target or 0, action.join,
                             self._lives[i])  # fmt: skip
                else:
                    self._at(self.now + self.line.delay(self.rng), "exchange", i, target, action.data,
                             action.join, self._lives[target])  # fmt: skip
            elif isinstance(action, Changed):
                self.changes.append((self.now, i, action))
                if self.on_change is not None:
                    self.on_change(self.now, i, action)

    # -- Reading -------------------------------------------------------------------------------

    def views(self) -> dict[int, dict[str, State]]:
        """Each running member's view: id to state, itself included."""
        return {
            i: {row.member: row.state for row in member.view()}
            for i, member in enumerate(self.members)
            if member is not None
        }

    def agreed(self) -> bool:
        """Every running member holds exactly the running members alive."""
        live = {f"m{i}" for i, up in enumerate(self.up) if up}
        views = self.views().values()
        return all({m for m, s in view.items() if s is State.ALIVE} == live for view in views)
