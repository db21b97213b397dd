"""Many members that share state, in virtual time on the fleet view's network: deterministic from one seed.

Each member's `SharedState` goes by its own clock, which may be ahead, behind, or run faster.  Members spend
budgets as told by `demand`: in each tick a member tries to spend so much, and may as far as its budget allows
within the window.  What all have spent within any window is kept, and can be held against the bound.
"""

import random
from collections import deque
from collections.abc import Callable

from ..fleet import shared, wire
from ..fleet.model import State, Tuning
from ..fleet.sharing import SharingConfig, StateMessage
from ..fleet.swim import Changed
from .virtual_fleet import VirtualFleet


class Spender:
    """What one member spends of one rate budget: so much in any window at most, as its budget allows."""

    def __init__(self, window_ms: float):
        self.window_ms, self.spends = window_ms, deque()  # (when, amount)

    def used(self, now: float) -> float:
        while self.spends and self.spends[0][0] <= now - self.window_ms:
            self.spends.popleft()
        return sum(amount for _, amount in self.spends)


class VirtualState(VirtualFleet):
    """A fleet of `SharedState` members; member i's clock shows `now * rate[i] + offset[i]`."""

    def __init__(self, n: int, share: SharingConfig, tuning: Tuning | None = None, seed: int = 1):
        super().__init__(n, tuning, seed)
        self.share = share
        self.shared: list[shared.SharedState | None] = [None] * n
        self.offset, self.rate, self.unix_off = [0.0] * n, [1.0] * n, [0.0] * n
        self.spenders: list[dict[str, Spender]] = [{} for _ in range(n)]
        self.spent: dict[str, deque] = {}  # budget -> (when, amount, member), within its window
        self.peak: dict[str, float] = {}  # budget -> the most that all spent in any window
        self.passed: dict[str, float] = {}  # budget -> all that was ever spent of it
        self.demand: Callable[[int, float], dict[str, float]] = lambda i, now: {}  # in a window, by budget
        self.loads: Callable[[int], list] = lambda i: []  # what became of member i's jobs lately
        self.on_note: Callable[[int, object], None] = lambda i, action: None
        self.notes: list[tuple[float, int, object]] = []  # judged, lifted, owned: (time, member, action)
        self._changed: set[int] = set()  # members whose view changed since they were told

    def clock(self, i: int) -> float:
        return self.now * self.rate[i] + self.offset[i]

    def unix(self, i: int) -> float:
        return 1e12 + self.now + self.unix_off[i]

    # -- Life --------------------------------------------------------------------------------------

    def start(self, i: int, seeds: tuple[int, ...] = (0,)) -> None:
        life = int(1_000_000 + self.now) + self._lives[i] + 1
        self.spenders[i] = {}
        self.shared[i] = shared.SharedState(
            f"m{i}", life, self.share, "v", random.Random(self.rng.random()),
            lambda name, now, i=i: self._used(i, name, now), self.clock(i),
            loads=lambda i=i: self.loads(i),
        )  # fmt: skip
        super().start(i, seeds)
        self.members[i].shared_state = lambda: wire.encode_snapshot(self.shared[i].snapshot(self.clock(i)))

    def kill(self, i: int) -> None:
        super().kill(i)
        self.shared[i] = None

    def tell(self, i: int, event) -> None:
        """Give member i's shared state an event, such as `shared.RequestEnded`."""
        self._act(i, self.shared[i].handle(self.clock(i), self.unix(i), event))

    # -- Time --------------------------------------------------------------------------------------

    def _ticked(self, i: int) -> None:
        super()._ticked(i)
        if i in self._changed:
            self._changed.discard(i)
            alive = (m for m in self.members[i].members.values() if m.state <= State.SUSPECT)
            self.tell(i, shared.MembersChanged({m.id: m.address for m in alive}))
        self.tell(i, shared.Tick())
        for name, wanted in self.demand(i, self.now).items():
            self._spend(i, name, wanted)

    def _take(self, i: int, message) -> None:
        if isinstance(message, StateMessage):
            self.tell(i, shared.StateReceived(message))
        else:
            super()._take(i, message)

    def _carried(self, i: int, exchange) -> None:
        snapshot, _ = wire.decode_snapshot(exchange.shared_state)
        if snapshot is not None:
            self.tell(i, shared.SnapshotReceived(snapshot))

    def _act(self, i: int, actions: list) -> None:
        super()._act(i, actions)
        for action in actions:
            if isinstance(action, Changed):
                self._changed.add(i)
            if isinstance(
                action,
                shared.WorkerJudgedBad
                | shared.JudgementExpired
                | shared.TicketsChanged
                | shared.SheddingChanged,
            ):
                self.notes.append((self.now, i, action))
            self.on_note(i, action)

    # -- Spending ----------------------------------------------------------------------------------

    def _used(self, i: int, name: str, now: float) -> float:
        spender = self.spenders[i].get(name)
        return spender.used(now) if spender else 0.0

    def _spend(self, i: int, name: str, wanted: float) -> None:
        """Spend a tick's part of what is wanted in a window, as far as the budget allows."""
        window, now = self.share.kind_of(name).grace_ms, self.clock(i)
        spender = self.spenders[i].setdefault(name, Spender(window))
        part = wanted * self.tick_ms / window
        amount = max(0.0, min(part, self.shared[i].available(name, now) - spender.used(now)))
        if amount < part:
            self.shared[i].escrow.record_denial(name, now)
        self.book(i, name, amount)

    def book(self, i: int, name: str, amount: float) -> None:
        """Member i has spent so much now."""
        if amount <= 0:
            return
        spender = self.spenders[i][name]
        spender.spends.append((self.clock(i), amount))
        self.passed[name] = self.passed.get(name, 0.0) + amount
        line = self.spent.setdefault(name, deque())
        line.append((self.now, amount))
        while line[0][0] <= self.now - spender.window_ms / max(self.rate):  # a fast clock's window is shorter
            line.popleft()
        self.peak[name] = max(self.peak.get(name, 0.0), sum(a for _, a in line))
