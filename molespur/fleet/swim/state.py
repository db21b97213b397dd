"""The state that all parts of the membership use, reading it, and sending datagrams."""

import random
from collections import Counter
from collections.abc import Callable

from .. import wire
from ..model import Address, Gossip, MemberInfo, MemberUpdate, Message, State, Tuning
from .members import Member, Probe, QueuedUpdate, Relay
from .records import Send

RESERVED_BYTES = 160  # of a datagram, for what is not updates
MAX_UPDATES_PER_DATAGRAM = 60


class MembershipState:
    """One member's view of the fleet."""

    def __init__(
        self,
        own_id: str,
        address: Address,
        tuning: Tuning | None = None,
        rng: random.Random | None = None,
        cluster: str = "",
    ):
        self.own_id, self.address, self.cluster = own_id, address, cluster
        self.tuning = tuning or Tuning()
        self.rng = rng or random.Random(0)
        self.incarnation = 0
        self.members: dict[str, Member] = {}  # the others
        self.health = 0  # Lifeguard's local health score: 0 is healthy
        self.counts: Counter = Counter()
        self.started = self.leaving = self.joined = False
        # the encoded snapshot of the shared state that is sent with push-pulls
        self.shared_state: Callable[[], bytes] = lambda: wire.NO_SNAPSHOT
        self._suspects: set[str] = set()
        self._ring_version = 0  # raised whenever a member enters or leaves the ring
        self._ring_key: tuple[int, int] | None = None
        self._ring_size: int | None = None
        self._ring_cache: tuple[list[str], dict[str, int]] = ([], {})
        self._probe: Probe | None = None
        self._seq = 0
        self._relays: dict[int, Relay] = {}
        self._queue: dict[str, QueuedUpdate] = {}
        self._seeds: tuple[Address, ...] = ()
        self._last_call_at: float | None = None
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
        rows = [MemberInfo(self.own_id, self.address, self.incarnation, own, 0.0)]
        for member in sorted(self.members.values(), key=lambda m: m.id):
            rows.append(MemberInfo(member.id, member.address, member.incarnation, member.state, member.since))
        return rows

    def alive(self) -> list[str]:
        """Ids of the other members that are alive or suspect."""
        return [m.id for m in self.members.values() if m.state <= State.SUSPECT]

    def by_state(self) -> Counter:
        """The number of members in each state, this one included."""
        found = Counter(m.state.name.lower() for m in self.members.values())
        found["left" if self.leaving else "alive"] += 1
        return found

    # -- Sending -------------------------------------------------------------------------------

    def _send(self, address: Address, message: Message) -> None:
        self.counts["sent"] += 1
        self._out.append(Send(address, wire.encode(self.cluster, message)))

    def _take_updates(self, first: MemberUpdate | None = None) -> list[MemberUpdate]:
        """Updates for a datagram, the least sent first, as far as its bytes allow.

        Each is sent a bounded number of times.  `first` is put in front of the queued ones.
        """
        room = self.tuning.datagram_most - RESERVED_BYTES
        chosen = []
        if first is not None:
            chosen.append(first)
            room -= wire.update_size(first)
        if not self._queue:
            return chosen
        max_sends = self.tuning.retransmits(len(self.members) + 1)
        for key, queued in sorted(self._queue.items(), key=lambda item: item[1].sent):
            if queued.size > room or len(chosen) >= MAX_UPDATES_PER_DATAGRAM:
                break
            if first is not None and queued.update.member == first.member:
                continue
            chosen.append(queued.update)
            room -= queued.size
            queued.sent += 1
            if queued.sent >= max_sends:
                del self._queue[key]
        self.counts["news_sent"] += len(chosen)
        return chosen

    def _gossip(self) -> None:
        targets = self.alive() + [
            m.id
            for m in self.members.values()
            if m.state is State.DEAD and m.since >= (self._last_call_at or 0.0) - self.tuning.period_ms * 2
        ]  # members just declared dead are included, so that they can refute
        for member_id in self.rng.sample(targets, min(len(targets), self.tuning.gossip_nodes)):
            updates = self._take_updates()
            if not updates:
                return
            self._send(self.members[member_id].address, Gossip(self.own_id, updates))

    def _raise_health(self, delta: int) -> None:
        self.health = min(self.tuning.max_health, max(0, self.health + delta))
