"""The state that all parts of the membership share, what can be read of it, and how datagrams leave."""

import random
from collections import Counter
from collections.abc import Callable

from .. import wire
from ..model import Address, Gossip, MemberInfo, MemberUpdate, Message, State, Tuning
from .members import Member, Probe, QueuedUpdate, Relay
from .records import Send

HEADROOM = 160  # bytes of a datagram kept for what is not news
MAX_UPDATES_PER_DATAGRAM = 60  # pieces in one datagram


class MembershipState:
    """One member's view of the fleet."""

    def __init__(
        self,
        me: str,
        address: Address,
        tuning: Tuning | None = None,
        rng: random.Random | None = None,
        cluster: str = "",
    ):
        self.me, self.address, self.cluster = me, address, cluster
        self.tuning = tuning or Tuning()
        self.rng = rng or random.Random(0)
        self.incarnation = 0
        self.members: dict[str, Member] = {}  # the others
        self.health = 0  # Lifeguard's local health score: 0 is healthy
        self.counts: Counter = Counter()
        self.started = self.leaving = self.joined = False
        self.shared_state: Callable[[], bytes] = lambda: (
            wire.NOTHING
        )  # the shared state that rides on push-pulls
        self._suspects: set[str] = set()
        self._ring_version = 0  # raised whenever a member comes into or goes out of the ring
        self._ring_key: tuple[int, int] | None = None
        self._ring_size: int | None = None
        self._ring_cache: tuple[list[str], dict[str, int]] = ([], {})
        self._probe: Probe | None = None
        self._seq = 0
        self._relays: dict[int, Relay] = {}
        self._queue: dict[str, QueuedUpdate] = {}
        self._seeds: tuple[Address, ...] = ()
        self._last: float | None = None
        self._next_probe = self._next_gossip = self._next_push = self._next_purge = 0.0
        self._next_reconnect = 0.0
        self._join_at: float | None = None
        self._join_tries = 0
        self._push_round = 0
        self._conflicts: dict[tuple[str, Address], float] = {}
        self._out: list = []

    # -- Reading -------------------------------------------------------------------------------

    def view(self) -> list[MemberInfo]:
        """The view: this member first, the others by id."""
        own = State.LEFT if self.leaving else State.ALIVE
        rows = [MemberInfo(self.me, self.address, self.incarnation, own, 0.0)]
        for member in sorted(self.members.values(), key=lambda m: m.id):
            rows.append(MemberInfo(member.id, member.address, member.incarnation, member.state, member.since))
        return rows

    def alive(self) -> list[str]:
        """Ids of the others held alive or suspect."""
        return [m.id for m in self.members.values() if m.state <= State.SUSPECT]

    def by_state(self) -> Counter:
        """How many members this view holds in each state, itself included."""
        found = Counter(m.state.name.lower() for m in self.members.values())
        found["left" if self.leaving else "alive"] += 1
        return found

    # -- Sending -------------------------------------------------------------------------------

    def _send(self, address: Address, message: Message) -> None:
        self.counts["sent"] += 1
        self._out.append(Send(address, wire.encode(self.cluster, message)))

    def _take_updates(self, first: MemberUpdate | None = None) -> list[MemberUpdate]:
        """News for a datagram: least sent first, within its bytes; each goes a bounded number of times."""
        budget = self.tuning.datagram_most - HEADROOM
        chosen = []
        if first is not None:
            chosen.append(first)
            budget -= wire.update_size(first)
        if not self._queue:
            return chosen
        most = self.tuning.retransmits(len(self.members) + 1)
        for key, queued in sorted(self._queue.items(), key=lambda item: item[1].sent):
            if queued.size > budget or len(chosen) >= MAX_UPDATES_PER_DATAGRAM:
                break
            if first is not None and queued.update.member == first.member:
                continue
            chosen.append(queued.update)
            budget -= queued.size
            queued.sent += 1
            if queued.sent >= most:
                del self._queue[key]
        self.counts["news_sent"] += len(chosen)
        return chosen

    def _gossip(self) -> None:
        targets = self.alive() + [
            m.id
            for m in self.members.values()
            if m.state is State.DEAD and m.since >= (self._last or 0.0) - self.tuning.period_ms * 2
        ]  # the freshly dead hear of it too, so that they may refute
        for member_id in self.rng.sample(targets, min(len(targets), self.tuning.gossip_nodes)):
            updates = self._take_updates()
            if not updates:
                return
            self._send(self.members[member_id].address, Gossip(self.me, updates))

    def _raise_health(self, delta: int) -> None:
        self.health = min(self.tuning.max_health, max(0, self.health + delta))
