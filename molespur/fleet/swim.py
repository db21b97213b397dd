"""Membership of the fleet by SWIM with the Lifeguard refinements.  Pure: events in, actions out.

Sources: Das, Gupta and Motivala, "SWIM" (2002); Dadgar, Phillips and Currey, "Lifeguard" (2018); and the
behaviour that HashiCorp's memberlist documents.  Each period this member pings one other, in a shuffled
round-robin order; without an ack within the probe timeout it asks `indirect` others to ping for it; without
any ack by the end of the period the target is *suspect*.  A suspect that does not refute within the
suspicion timeout is dead.  News rides on pings and acks, and on a few gossip datagrams a gossip period,
each piece a bounded number of times; a push-pull of whole views over TCP at a slower period (also with
failed members, so that two halves that healed find each other) repairs what gossip missed.

Lifeguard: a member that misses nacks, or is suspected itself, or finds that it was held (a gap between two
calls, such as a starved or stopped process) raises its local health score, which stretches its own probe
period and timeouts; suspicion timeouts shrink from their longest to their shortest as independent members
confirm; a ping to a suspect carries the suspicion, so that it can refute at once (buddy system).

Time is the `now` of each call, in milliseconds; randomness comes from the generator passed in; nothing here
reads a clock or opens a socket.  Outputs are actions: `Send` a datagram, `Push` a state by TCP, and
`Changed`, `Refuted`, `Conflict` for the log.
"""

import hashlib
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from . import wire
from .model import (
    Ack,
    Address,
    Exchange,
    Gossip,
    Message,
    Nack,
    News,
    Ping,
    PingReq,
    Seen,
    State,
    Tuning,
)

RELAYS_MOST = 256  # indirect probes served at once; the oldest goes first
CONFLICTS_EVERY_MS = 10_000.0  # one action for the same clash of ids in this time
PURGE_EVERY_MS = 1_000.0
HEADROOM = 160  # bytes of a datagram kept for what is not news
NACK_SHARE = 0.8  # of what is left of a requester's period, for a helper to wait before its nack
FORGOTTEN_SEED_ROUNDS = 3  # one push-pull in so many goes to a seed that the view knows nothing of
RECONNECT_PERIODS = 2.0  # a member held failed is pinged this often, in probe periods


# -- Events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Start:
    """Begin: the own incarnation starts at `unix_ms`; join by pushing to some of the seeds."""

    unix_ms: int
    seeds: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: look at the timers.  Other events never judge by time, so that a seam that reads
    all that has come before it ticks never times out what was already there."""


@dataclass(frozen=True, slots=True)
class Received:
    """A datagram's message, decoded and checked."""

    message: Message


@dataclass(frozen=True, slots=True)
class Merged:
    """The answer to our `Push`: the other member's view."""

    exchange: Exchange


@dataclass(frozen=True, slots=True)
class PushFailed:
    """Our `Push` to this address came to nothing."""

    address: Address
    join: bool


@dataclass(frozen=True, slots=True)
class Seeds:
    """Other seeds from now on, such as after SIGHUP."""

    seeds: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """Say that this member leaves; it stops probing, and answers until it is gone."""


# -- Actions ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Send this datagram."""

    address: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class Push:
    """Open TCP, send this state, read the answer, and hand it in as `Merged` (or `PushFailed`)."""

    address: Address
    data: bytes
    join: bool


@dataclass(frozen=True, slots=True)
class Changed:
    """A member's state changed in this view; `before` is None for one that is new to it."""

    member: str
    address: Address
    state: State
    incarnation: int
    before: State | None
    by: str


@dataclass(frozen=True, slots=True)
class Refuted:
    """This member raised its own incarnation, and why."""

    incarnation: int
    why: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another process claims an id at another address."""

    member: str
    held: Address
    claimed: Address


# -- State ------------------------------------------------------------------------------------------


class Suspicion:
    """A suspicion's timeout, shorter with each independent confirmation (Lifeguard)."""

    __slots__ = ("accusers", "confirmed", "k", "least", "most", "start")

    def __init__(self, start: float, least: float, most: float, k: int, accuser: str):
        self.start, self.least, self.most, self.k = start, least, most, k
        self.accusers, self.confirmed = {accuser}, 0

    def confirm(self, by: str) -> bool:
        """Count another accuser once; True if it is new."""
        if not by or by in self.accusers:
            return False
        self.accusers.add(by)
        self.confirmed += 1
        return True

    def deadline(self) -> float:
        if self.k < 1:
            return self.start + self.least
        share = math.log(self.confirmed + 1) / math.log(self.k + 1)
        return self.start + max(self.least, self.most - (self.most - self.least) * share)


class Member:
    """Another member as this view holds it."""

    __slots__ = ("address", "id", "incarnation", "since", "state", "suspicion")

    def __init__(self, id: str, address: Address, incarnation: int, state: State, since: float):
        self.id, self.address, self.incarnation = id, address, incarnation
        self.state, self.since = state, since
        self.suspicion: Suspicion | None = None

    def news(self, by: str = "") -> News:
        return News(self.id, self.address[0], self.address[1], self.incarnation, self.state, by)


class _Probe:
    __slots__ = ("ends", "expected_nacks", "indirect_sent", "nacks", "seq", "target", "timeout")

    def __init__(self, target: str, seq: int, timeout: float, ends: float):
        self.target, self.seq, self.timeout, self.ends = target, seq, timeout, ends
        self.indirect_sent, self.expected_nacks, self.nacks = False, 0, 0


class _Relay:
    __slots__ = ("nack", "requester", "their_seq", "until")

    def __init__(self, requester: Address, their_seq: int, nack: bool, until: float):
        self.requester, self.their_seq, self.nack, self.until = requester, their_seq, nack, until


class _Queued:
    __slots__ = ("news", "sent", "size")

    def __init__(self, news: News):
        self.news, self.sent, self.size = news, 0, wire.news_size(news)


class Membership:
    """One member's view of the fleet, and what it sends to keep it.

    `handle(now, event) -> list of actions`; `answer(now, exchange) -> (bytes, actions)` for a push-pull
    that another member opened; `seen()` the view.  `counts` holds what happened, by name.
    """

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
        self.whole: Callable[[], bytes] = lambda: wire.NOTHING  # the shared state that rides on push-pulls
        self._suspects: set[str] = set()
        self._ring_version = 0  # raised whenever a member comes into or goes out of the ring
        self._ring_key: tuple[int, int] | None = None
        self._ring_size: int | None = None
        self._ring_cache: tuple[list[str], dict[str, int]] = ([], {})
        self._probe: _Probe | None = None
        self._seq = 0
        self._relays: dict[int, _Relay] = {}
        self._queue: dict[str, _Queued] = {}
        self._seeds: tuple[Address, ...] = ()
        self._last: float | None = None
        self._next_probe = self._next_gossip = self._next_push = self._next_purge = 0.0
        self._next_reconnect = 0.0
        self._join_at: float | None = None
        self._join_tries = 0
        self._push_round = 0
        self._conflicts: dict[tuple[str, Address], float] = {}
        self._out: list = []

    # -- The two entries -----------------------------------------------------------------------

    def handle(self, now: float, event) -> list:
        """Take one event; the actions that it leads to, timers' included."""
        self._out = []
        self._held(now)
        if isinstance(event, Received):
            self._received(now, event.message)
        elif isinstance(event, Start):
            self._start(now, event)
        elif isinstance(event, Merged):
            self._merge(now, event.exchange)
        elif isinstance(event, PushFailed):
            self.counts["push_failed"] += 1
        elif isinstance(event, Seeds):
            self._seeds = tuple(s for s in event.seeds if s != self.address)
        elif isinstance(event, Leave):
            self._leave(now)
        if self.started and isinstance(event, (Tick, Start)):
            # only a tick judges by time: the seam reads all that has come before it ticks
            self._timers(now)
        return self._out

    def answer(self, now: float, exchange: Exchange) -> tuple[bytes, list]:
        """Another member pushed its view: merge it, and answer with ours as it is after that."""
        self._out = []
        self._held(now)
        self.counts["pushes_taken"] += 1
        self._merge(now, exchange)
        return self._state(exchange.join), self._out

    # -- Reading -------------------------------------------------------------------------------

    def seen(self) -> list[Seen]:
        """The view: this member first, the others by id."""
        own = State.LEFT if self.leaving else State.ALIVE
        rows = [Seen(self.me, self.address, self.incarnation, own, 0.0)]
        for member in sorted(self.members.values(), key=lambda m: m.id):
            rows.append(Seen(member.id, member.address, member.incarnation, member.state, member.since))
        return rows

    def alive(self) -> list[str]:
        """Ids of the others held alive or suspect."""
        return [m.id for m in self.members.values() if m.state <= State.SUSPECT]

    def by_state(self) -> Counter:
        """How many members this view holds in each state, itself included."""
        found = Counter(m.state.name.lower() for m in self.members.values())
        found["left" if self.leaving else "alive"] += 1
        return found

    # -- Time ----------------------------------------------------------------------------------

    def _held(self, now: float) -> None:
        """Lifeguard: a long gap since the last call means that we were held, not that others were silent.

        What fell due meanwhile is put off by the gap, so that acks that waited for us are read first.
        """
        if self._last is not None and now - self._last > self.tuning.lag_ms:
            gap = now - self._last
            self.counts["held"] += 1
            self._raise_health(1)
            if self._probe is not None:
                self._probe.timeout += gap
                self._probe.ends += gap
            for member_id in self._suspects:
                suspicion = self.members[member_id].suspicion
                if suspicion is not None:
                    suspicion.start += gap
            for relay in self._relays.values():
                relay.until += gap
        self._last = now if self._last is None else max(self._last, now)

    def _timers(self, now: float) -> None:
        tuning = self.tuning
        if self._probe is not None:
            probe = self._probe
            if not probe.indirect_sent and now >= probe.timeout:
                self._indirect(now, probe)
            if now >= probe.ends:
                self._probe_failed(now, probe)
        if self._probe is None and now >= self._next_probe and not self.leaving:
            self._start_probe(now)
        if self._relays:
            self._expire_relays(now)
        if self._suspects:
            for member_id in [m for m in self._suspects if self._due(m, now)]:
                member = self.members[member_id]
                self._declare(now, member, State.DEAD, member.incarnation, self.me)
        if now >= self._next_gossip:
            self._next_gossip = now + tuning.gossip_ms
            if self._queue:
                self._gossip()
        if now >= self._next_push and not self.leaving:
            every = tuning.push_pull_every(len(self.members) + 1)
            self._next_push = now + every * self.rng.uniform(0.75, 1.25)
            self._push_pull()
        if self._join_at is not None and now >= self._join_at and not self.joined:
            self._join(now)
        if now >= self._next_purge:
            self._next_purge = now + PURGE_EVERY_MS
            self._purge(now)
        if now >= self._next_reconnect and not self.leaving:
            self._next_reconnect = now + RECONNECT_PERIODS * tuning.period_ms * self.rng.uniform(0.75, 1.25)
            self._reconnect()

    def _reconnect(self) -> None:
        """Ping one member held failed, telling it so: where it lives (a healed cut, a false death), it
        refutes on its ack, and is alive here again at once: a datagram each few periods, not a view."""
        failed = [m for m in self.members.values() if m.state is State.DEAD]
        if not failed:
            return
        member = self.rng.choice(failed)
        self._seq += 1
        self.counts["reconnects"] += 1
        ping = Ping(self._seq, self.me, *self.address, member.id, self._news(member.news(self.me)))
        self._send(member.address, ping)

    def _due(self, member_id: str, now: float) -> bool:
        suspicion = self.members[member_id].suspicion
        return suspicion is not None and now >= suspicion.deadline()

    # -- Starting, joining, leaving ------------------------------------------------------------

    def _start(self, now: float, event: Start) -> None:
        if self.started:
            return
        self.started = True
        self.incarnation = max(self.incarnation, int(event.unix_ms))
        self._seeds = tuple(s for s in event.seeds if s != self.address)
        period = self.tuning.period_ms
        self._next_probe = now + self.rng.uniform(0.0, period)
        self._next_gossip = now + self.rng.uniform(0.0, self.tuning.gossip_ms)
        self._next_push = now + self.tuning.push_pull_ms * self.rng.uniform(0.5, 1.0)
        self._out.append(Changed(self.me, self.address, State.ALIVE, self.incarnation, None, self.me))
        self._join(now)

    def _join(self, now: float) -> None:
        if not self._seeds:
            self._join_at = None
            return
        for seed in self.rng.sample(self._seeds, min(3, len(self._seeds))):
            self._out.append(Push(seed, self._state(True), True))
        self.counts["join_tries"] += 1
        backoff = self.tuning.join_retry_ms * 2 ** min(self._join_tries, 4)
        self._join_tries += 1
        self._join_at = now + backoff * self.rng.uniform(0.5, 1.0)

    def _leave(self, now: float) -> None:
        if self.leaving or not self.started:
            return
        self.leaving = True
        left = News(self.me, self.address[0], self.address[1], self.incarnation, State.LEFT, self.me)
        self._queue[self.me] = _Queued(left)
        others = self.alive()
        for member_id in self.rng.sample(others, min(len(others), 2 * self.tuning.gossip_nodes)):
            self._send(self.members[member_id].address, Gossip(self.me, [left]))
        self._probe = None

    # -- Probing -------------------------------------------------------------------------------

    def _start_probe(self, now: float) -> None:
        target = self._next_target(now)
        tuning = self.tuning
        self._next_probe = now + tuning.scaled(tuning.period_ms, self.health)
        if target is None:
            return
        self._seq += 1
        timeout = now + tuning.scaled(tuning.probe_timeout_ms, self.health)
        self._probe = _Probe(target.id, self._seq, timeout, self._next_probe)
        self.counts["probes"] += 1
        buddy = target.news(self.me) if target.state is State.SUSPECT else None
        self._send(target.address, Ping(self._seq, self.me, *self.address, target.id, self._news(buddy)))

    def _next_target(self, now: float) -> Member | None:
        """Shuffled round robin, with the same shuffle at every member, shifted by one each period.

        The members held alive or suspect, this one among them, form a ring in an order drawn anew each
        round of n - 1 periods from the round's number; in period k the member at place p probes the one at
        p + 1 + k mod (n - 1).  Within a round each member probes every other once, and where the views
        agree each member is probed by exactly one other in each period, so that a death is found within
        about one period, not in e/(e - 1) on average with a long tail as with shuffles of their own.
        """
        k = int(now // self.tuning.period_ms)
        ring, places = self._ring(k)
        n = len(ring)
        if n < 2:
            return None
        place = places[self.me]
        for step in range(n - 1):
            member = self.members.get(ring[(place + 1 + (k + step) % (n - 1)) % n])
            if member is not None and member.state <= State.SUSPECT:
                return member
        return None

    def _ring(self, k: int) -> tuple[list[str], dict[str, int]]:
        size = len(self.alive()) + 1 if self._ring_size is None else self._ring_size
        key = (k // max(1, size - 1), self._ring_version)
        if self._ring_key != key:
            turn = key[0].to_bytes(8, "big")
            ids = [self.me, *self.alive()]
            ids.sort(key=lambda one: hashlib.blake2b(one.encode(), digest_size=8, salt=turn[:8]).digest())
            self._ring_cache = (ids, {one: place for place, one in enumerate(ids)})
            self._ring_key, self._ring_size = key, len(ids)
        return self._ring_cache

    def _indirect(self, now: float, probe: _Probe) -> None:
        probe.indirect_sent = True
        target = self.members.get(probe.target)
        if target is None or target.state > State.SUSPECT:
            return
        helpers = [m for m in self.alive() if m != probe.target and self.members[m].state is State.ALIVE]
        chosen = self.rng.sample(helpers, min(len(helpers), self.tuning.indirect))
        for helper in chosen:
            request = PingReq(
                probe.seq, self.me, *self.address, target.id, *target.address, True, self._news()
            )  # fmt: skip
            self._send(self.members[helper].address, request)
        probe.expected_nacks = len(chosen)
        self.counts["indirect_probes"] += len(chosen)

    def _probe_failed(self, now: float, probe: _Probe) -> None:
        self._probe = None
        self.counts["probes_failed"] += 1
        if probe.expected_nacks:
            # nacks that did not come mean that the fault may be on our side
            self._raise_health(max(0, probe.expected_nacks - probe.nacks))
        else:
            self._raise_health(1)
        target = self.members.get(probe.target)
        if target is not None and target.state <= State.SUSPECT:
            # held suspect already, ours is an independent confirmation, which shortens the timeout
            self.counts["suspicions"] += 1
            said = News(target.id, *target.address, target.incarnation, State.SUSPECT, self.me)
            self._suspect(now, said)

    def _expire_relays(self, now: float) -> None:
        for seq in [seq for seq, relay in self._relays.items() if now >= relay.until]:
            relay = self._relays.pop(seq)
            if relay.nack:
                self._send(relay.requester, Nack(relay.their_seq, self.me, self._news()))
                self.counts["nacks_sent"] += 1

    def _raise_health(self, delta: int) -> None:
        self.health = min(self.tuning.health_most, max(0, self.health + delta))

    # -- What comes in -------------------------------------------------------------------------

    def _received(self, now: float, message: Message) -> None:
        if not self.started:
            return
        for news in message.news:
            self._apply(now, news)
        if isinstance(message, Ping):
            self._pinged(message)
        elif isinstance(message, Ack):
            self._acked(message)
        elif isinstance(message, PingReq):
            self._asked(now, message)
        elif isinstance(message, Nack):
            if self._probe is not None and message.seq == self._probe.seq:
                self._probe.nacks += 1
            self.counts["nacks_taken"] += 1

    def _pinged(self, ping: Ping) -> None:
        if ping.target != self.me:
            self.counts["pings_not_ours"] += 1
            return
        held = self.members.get(ping.src)
        # a member that we hold failed is told so, so that it refutes and is not a ghost in our view
        hint = held.news(self.me) if held is not None and held.state is not State.ALIVE else None
        self._send((ping.host, ping.port), Ack(ping.seq, self.me, self._news(hint)))

    def _acked(self, ack: Ack) -> None:
        probe = self._probe
        if probe is not None and ack.seq == probe.seq:
            self._probe = None
            self._raise_health(-1)
            self.counts["acks"] += 1
            return
        relay = self._relays.pop(ack.seq, None)
        if relay is not None:
            self._send(relay.requester, Ack(relay.their_seq, ack.src, self._news()))
            return
        self.counts["acks_late"] += 1

    def _asked(self, now: float, request: PingReq) -> None:
        if request.target == self.me:
            self._send((request.host, request.port), Ack(request.seq, self.me, self._news()))
            return
        if len(self._relays) >= RELAYS_MOST:
            self._relays.pop(next(iter(self._relays)))
            self.counts["relays_dropped"] += 1
        self._seq += 1
        # the nack must reach the requester before its period ends, or it counts against the requester's
        # own health: it waits period - probe timeout after asking, so a helper waits a share of that
        until = now + NACK_SHARE * (self.tuning.period_ms - self.tuning.probe_timeout_ms)
        self._relays[self._seq] = _Relay((request.host, request.port), request.seq, request.nack, until)
        target = (request.target_host, request.target_port)
        self._send(target, Ping(self._seq, self.me, *self.address, request.target, self._news()))
        self.counts["indirect_served"] += 1

    # -- News ----------------------------------------------------------------------------------

    def _apply(self, now: float, news: News) -> None:
        if news.state is State.ALIVE:
            self._alive(now, news)
        elif news.state is State.SUSPECT:
            self._suspect(now, news)
        else:
            self._dead(now, news)

    def _alive(self, now: float, news: News) -> None:
        if news.member == self.me:
            if self.leaving or news.incarnation < self.incarnation:
                return
            if news.address == self.address and news.incarnation == self.incarnation:
                return
            if news.address != self.address:
                self._conflict(now, self.me, self.address, news.address)
            self._refute(news.incarnation, "alive news of us that we did not send")
            return
        member = self.members.get(news.member)
        if member is None:
            self._add(now, news)
            return
        if news.address != member.address:
            if member.state <= State.SUSPECT or news.incarnation <= member.incarnation:
                self._conflict(now, member.id, member.address, news.address)
                return
        elif news.incarnation <= member.incarnation:
            return
        if member.state is State.SUSPECT:
            self.counts["suspicions_refuted"] += 1
        member.address = news.address
        self._declare(now, member, State.ALIVE, news.incarnation, news.by)

    def _add(self, now: float, news: News) -> None:
        if len(self.members) >= self.tuning.most_members:
            self._purge(now, force=True)
        if len(self.members) >= self.tuning.most_members:
            self.counts["table_full"] += 1
            return
        member = Member(news.member, news.address, news.incarnation, State.ALIVE, now)
        self.members[member.id] = member
        self._ring_version += 1
        self._out.append(Changed(member.id, member.address, State.ALIVE, member.incarnation, None, news.by))
        self._queue[member.id] = _Queued(member.news(news.by))

    def _suspect(self, now: float, news: News) -> None:
        if news.member == self.me:
            if not self.leaving and news.incarnation >= self.incarnation:
                self._raise_health(1)
                self._refute(news.incarnation, f"suspected by {news.by}")
            return
        member = self.members.get(news.member)
        if member is None or news.incarnation < member.incarnation or member.state > State.SUSPECT:
            return
        if member.state is State.SUSPECT:
            if member.suspicion is not None and member.suspicion.confirm(news.by):
                self.counts["confirmations"] += 1
                self._queue[member.id] = _Queued(member.news(news.by))
            return
        self._declare(now, member, State.SUSPECT, news.incarnation, news.by)
        n = len(self.members) + 1
        least, most = self.tuning.suspicion_bounds(n)
        k = max(0, min(int(self.tuning.suspicion_mult) - 2, n - 2))
        member.suspicion = Suspicion(now, least, most, k, news.by)
        self._suspects.add(member.id)

    def _dead(self, now: float, news: News) -> None:
        left = news.state is State.LEFT
        if news.member == self.me:
            if not self.leaving and news.incarnation >= self.incarnation:
                self._refute(news.incarnation, f"declared {news.state.name.lower()} by {news.by}")
            return
        member = self.members.get(news.member)
        if member is None or news.incarnation < member.incarnation or member.state is State.LEFT:
            return
        if member.state is State.DEAD and not left:
            return
        self._declare(now, member, news.state, news.incarnation, news.by)

    def _declare(self, now: float, member: Member, state: State, incarnation: int, by: str) -> None:
        before = member.state
        if (before <= State.SUSPECT) != (state <= State.SUSPECT):
            self._ring_version += 1
        member.state, member.incarnation, member.since = state, incarnation, now
        if state is not State.SUSPECT:
            member.suspicion = None
            self._suspects.discard(member.id)
        if state is State.DEAD:
            self.counts["declared_dead"] += 1
        self._out.append(Changed(member.id, member.address, state, incarnation, before, by))
        self._queue[member.id] = _Queued(member.news(by))

    def _refute(self, incarnation: int, why: str) -> None:
        self.incarnation = max(self.incarnation, incarnation) + 1
        self.counts["refutations"] += 1
        own = News(self.me, self.address[0], self.address[1], self.incarnation, State.ALIVE, self.me)
        self._queue[self.me] = _Queued(own)
        self._out.append(Refuted(self.incarnation, why))

    def _conflict(self, now: float, member: str, held: Address, claimed: Address) -> None:
        self.counts["conflicts"] += 1
        key = (member, claimed)
        if now - self._conflicts.get(key, -math.inf) < CONFLICTS_EVERY_MS:
            return
        if len(self._conflicts) >= 64:
            self._conflicts.clear()
        self._conflicts[key] = now
        self._out.append(Conflict(member, held, claimed))

    # -- Sending -------------------------------------------------------------------------------

    def _send(self, address: Address, message: Message) -> None:
        self.counts["sent"] += 1
        self._out.append(Send(address, wire.encode(self.cluster, message)))

    def _news(self, first: News | None = None) -> list[News]:
        """News for a datagram: least sent first, within its bytes; each goes a bounded number of times."""
        budget = self.tuning.datagram_most - HEADROOM
        chosen = []
        if first is not None:
            chosen.append(first)
            budget -= wire.news_size(first)
        if not self._queue:
            return chosen
        most = self.tuning.retransmits(len(self.members) + 1)
        for key, queued in sorted(self._queue.items(), key=lambda item: item[1].sent):
            if queued.size > budget or len(chosen) >= 60:
                break
            if first is not None and queued.news.member == first.member:
                continue
            chosen.append(queued.news)
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
            news = self._news()
            if not news:
                return
            self._send(self.members[member_id].address, Gossip(self.me, news))

    # -- Push-pull -----------------------------------------------------------------------------

    def _state(self, join: bool) -> bytes:
        own = News(
            self.me, self.address[0], self.address[1], self.incarnation,
            State.LEFT if self.leaving else State.ALIVE, self.me,
        )  # fmt: skip
        members = [own] + [m.news() for m in self.members.values()]
        return wire.encode_exchange(self.cluster, self.me, join, members, self.whole())

    def _push_pull(self) -> None:
        """With a member held alive; every other time with one held failed, so that split halves heal.

        Halves that were apart for longer than tombstones are kept have forgotten each other: now and then the
        target is a seed of which this view knows nothing.
        """
        self._push_round += 1
        alive = self.alive()
        failed = [m.id for m in self.members.values() if m.state is State.DEAD]
        known = {member.address for member in self.members.values()}
        forgotten = [seed for seed in self._seeds if seed not in known]
        if forgotten and self._push_round % FORGOTTEN_SEED_ROUNDS == 0:
            target = self.rng.choice(forgotten)
        elif failed and (not alive or self._push_round % 2 == 0):
            target = self.members[self.rng.choice(failed)].address
        elif alive:
            target = self.members[self.rng.choice(alive)].address
        elif self._seeds:
            target = self.rng.choice(self._seeds)
        else:
            return
        self.counts["pushes"] += 1
        self._out.append(Push(target, self._state(False), False))

    def _merge(self, now: float, exchange: Exchange) -> None:
        """memberlist's merge: a member that the other side holds dead is only suspect here."""
        if exchange.join:
            self.counts["joins"] += 1
        self.joined = True
        for news in exchange.members[: self.tuning.most_members + 1]:
            if news.state is State.DEAD:
                news = News(news.member, news.host, news.port, news.incarnation, State.SUSPECT, exchange.src)
            self._apply(now, news)

    # -- Memory --------------------------------------------------------------------------------

    def _purge(self, now: float, force: bool = False) -> None:
        """Tombstones go after their time; with a full table the oldest goes at once."""
        tombs = [m for m in self.members.values() if m.state > State.SUSPECT]
        for member in tombs:
            if now - member.since >= self.tuning.tombstone_ms:
                del self.members[member.id]
                self.counts["tombstones_dropped"] += 1
        if force and tombs and len(self.members) >= self.tuning.most_members:
            oldest = min((m for m in tombs if m.id in self.members), key=lambda m: m.since, default=None)
            if oldest is not None:
                del self.members[oldest.id]
                self.counts["tombstones_dropped"] += 1
