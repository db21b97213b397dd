"""The state that this member shares with the fleet, put together.  Pure: events in, actions out.

Joins tickets, loans, evidence, judgements and counts (each a part of its own) and decides what is sent when.
Time is the `now` of each call, in milliseconds; `unix_ms` is the system's clock, which serves the order of
judgements alone.  Who lives comes from the fleet view as `MembersChanged`.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from . import wire
from .crdt import CounterRow, FleetCounters
from .escrow import Escrow
from .evidence import Evidence, Own, Verdict
from .judgements import ASK, BAD, Judgements
from .model import Address
from .rendezvous import Spread as Falls
from .rendezvous import pick
from .retries import KEPT_S, RetryBudget
from .sharing import (
    ITEMS_MOST,
    EvidenceReport,
    FleetLoadReport,
    LoanReply,
    LoanRequest,
    RegisterUpdate,
    ReportSubscription,
    RequestCounts,
    SharingConfig,
    Shortfall,
    StateGossip,
    StateMessage,
    StateSnapshot,
    TicketReply,
    TicketRequest,
    WorkerReports,
)
from .shedding import LIFE_MS, Load, LoadJudge, from_bytes, to_bytes
from .swim import Send
from .tickets import Holder, Witness
from .watching import Watching

HEADROOM = 80  # bytes of a datagram kept for what is not registers and rows
RETOLD = {"said": 4, "row": 2}  # times that a register or row is told on, for each ten-fold of the fleet
ROWS_FLAT = 16  # members up to which a row is told each `counts_ms`
NAMED_EVERY_MS, NAMED_MOST = 10_000.0, 64  # a member whose state is refused is named so often; and so many
RETRY, GIVERS = "retry", 3  # the retry budget's name in asks; members asked for rights at a renewal
SHED = "/shed"  # the register of what is turned away
ASK_AGAIN = 0.5  # of a window, after which a worker's judges ask for what members saw once more


# -- Events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Who lives by the fleet view (ids to addresses), ourselves not among them."""

    alive: dict[str, Address]


@dataclass(frozen=True, slots=True)
class StateReceived:
    """A message of shared state."""

    message: StateMessage


@dataclass(frozen=True, slots=True)
class SnapshotReceived:
    """What rode on a push-pull."""

    snapshot: StateSnapshot


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """An upstream request of ours to a worker ended, and whether that speaks against it."""

    worker: str
    failed: bool


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The workers that are listed."""

    listed: frozenset[str]


@dataclass(frozen=True, slots=True)
class ReportProbed:
    """A probe of ours brought a worker's report."""

    worker: str
    fields: dict[str, float]


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


# -- Actions (beside `swim.Send`) ---------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class WorkerJudgedBad:
    """A worker is bad for the fleet from now on, by whom, and on what (None: it came from another)."""

    worker: str
    by: str
    verdict: Verdict | None = None


@dataclass(frozen=True, slots=True)
class JudgementExpired:
    """A judgement is over."""

    worker: str


@dataclass(frozen=True, slots=True)
class TicketsChanged:
    """How many tickets we own has changed."""

    before: int
    after: int


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """Another's probe brought a worker's report."""

    worker: str
    fields: dict[str, float]


@dataclass(frozen=True, slots=True)
class SheddingChanged:
    """What all schedulers turn away has changed: of each class the part, by whom."""

    parts: tuple[float, ...]
    by: str


@dataclass(frozen=True, slots=True)
class StateRefused:
    """State of a member is not taken, and why."""

    member: str
    why: str


class _Queued:
    __slots__ = ("left", "size")

    def __init__(self, left: int, size: int):
        self.left, self.size = left, size


class SharedState:
    """One member's shared state.

    `handle(now, unix_ms, event) -> actions`.  `used(budget, now)` tells what we have spent of a budget within
    its grace; `loads()` what became of each class's jobs since it was last called.  Reading: `available`,
    `bad_workers`, `shed_fractions`, `snapshot`, and `report` for operators.
    """

    def __init__(
        self,
        me: str,
        life: int,
        share: SharingConfig,
        cluster: str,
        rng: random.Random,
        used: Callable[[str, float], float],
        now: float,
        datagram_most: int = 1_400,
        loads: Callable[[], list[Load]] = list,
    ):
        self.me, self.life, self.share, self.cluster, self.rng = me, life, share, cluster, rng
        self.datagram_most = datagram_most
        self.counts: Counter = Counter()
        self.alive: dict[str, Address] = {}
        self.witness = Witness(me, share.tickets, share.hold_ms, now) if me in share.witnesses else None
        self.holder = Holder(me, life, share)
        self.escrow = Escrow(me, life, share, self.holder.owned, used, rng, now)
        self.retries = RetryBudget(share, now) if share.retry_ratio else None
        if self.retries is not None:
            self.escrow.gifts[RETRY] = (self.retries.give, self.retries.take)
        self.own, self.evidence = Own(share), Evidence(share)
        self.judgements = Judgements(me, share.bad_ms)
        self.totals = FleetCounters(me, life, now)
        self._falls = Falls("ticket/", share.tickets)
        self._queue: dict[tuple[str, str], _Queued] = {}  # ("said" or "row", key) still to be told on
        self._next = {name: now + rng.uniform(0.0, 1.0) * getattr(share, f"{name}_ms") for name in CHORES}
        self._seq = 0
        self._told: dict[str, tuple[RequestCounts, float]] = {}  # worker -> (last reported, when)
        self._asked_of: dict[str, float] = {}  # worker -> since when we as its judge look into it
        self.watching = Watching(me, share) if share.watchers else None
        self.judge, self.loads, self._load_at = LoadJudge(me, share), loads, now
        self._parts: tuple[float, ...] = ()
        self._named: dict[tuple[str, str], float] = {}  # (member, why) -> when it was named last
        self._owned = 0
        self._bad: set[str] = set()
        self._out: list = []

    # -- The entry ---------------------------------------------------------------------------------

    def handle(self, now: float, unix_ms: float, event) -> list:
        """Take one event; what it leads to."""
        self._out = []
        if isinstance(event, RequestEnded):
            if not self.own.saw(event.worker, event.failed, now):
                self.counts["evidence_no_room"] += 1
        elif isinstance(event, StateReceived):
            self._heard(now, unix_ms, event.message)
        elif isinstance(event, SnapshotReceived):
            for said in event.snapshot.said:
                self._hear(said, now, unix_ms)
            for row in event.snapshot.rows:
                self._take_row(row, now)
        elif isinstance(event, MembersChanged):
            self._view(event.alive)
        elif isinstance(event, WorkersListed):
            if self.watching is not None:
                self.watching.listed(event.listed)
        elif isinstance(event, ReportProbed):
            if self.watching is not None:
                self.watching.probed(event.worker, event.fields)
        else:
            self._chores(now, unix_ms)
        return self._out

    # -- Reading -----------------------------------------------------------------------------------

    def available(self, budget: str, now: float) -> float:
        """What we may spend of a budget, what is spent within its grace included."""
        return self.escrow.available(budget, now)

    def bad_workers(self, now: float) -> set[str]:
        """Workers that are bad for the fleet now."""
        return self.judgements.having(BAD, now)

    def shed_fractions(self, now: float) -> tuple[float, ...]:
        """Of each class, in the settings' order, the part that all schedulers turn away now."""
        said = self.judgements.told(SHED, now)
        if said is None or said.age_ms >= LIFE_MS or len(said.value) != len(self.share.priorities):
            return ()
        return tuple(from_bytes(said.value))

    def snapshot(self, now: float) -> StateSnapshot:
        """What rides on a push-pull."""
        return StateSnapshot(list(self.judgements.all(now)), list(self.totals.rows.values()))

    def fallen_to(self, member: str) -> set[int]:
        """The tickets that fall to a member by our view."""
        return self._falls.of(member)

    # -- Who lives ---------------------------------------------------------------------------------

    def _view(self, alive: dict[str, Address]) -> None:
        self.alive = dict(alive)
        self._falls.change([*alive, self.me])
        if self.watching is not None:
            self.watching.members(alive)
        if len(alive) + 1 > self.share.size:
            self.counts["above_size"] += 1

    # -- Messages ----------------------------------------------------------------------------------

    def _heard(self, now: float, unix_ms: float, message: StateMessage) -> None:
        if message.src == self.me:
            self.counts["from_ourselves"] += 1
        elif isinstance(message, TicketRequest):
            self._ticket_ask(now, message)
        elif isinstance(message, TicketReply):
            if not self.holder.handle_reply(message):
                self.counts["says_not_asked_for"] += 1
            self._note_owned(now)
        elif isinstance(message, LoanRequest):
            if message.fingerprint != self.share.fingerprint:
                self._refuse(message.src, "marks_differ", now)
            elif (lend := self.escrow.handle_request(message, now)) is not None:
                self._send(message.src, lend)
        elif isinstance(message, LoanReply):
            self.escrow.handle_reply(message, now)
        elif isinstance(message, EvidenceReport):
            for seen in message.seen:
                why = self.evidence.tell(message.src, (message.life, message.seq), seen, now)
                self.counts["evidence_" + (why or "taken")] += 1
                if why == "absurd":
                    self._refuse(message.src, "evidence", now)
        elif isinstance(message, ReportSubscription):
            if self.watching is not None:
                self.watching.used_by(message, now)
        elif isinstance(message, WorkerReports):
            self.counts["reports_taken"] += len(message.reports)
            self._out += [ReportReceived(one.worker, one.fields) for one in message.reports]
        elif isinstance(message, FleetLoadReport):
            order = (message.life, message.seq)
            if not self.judge.take(message.src, order, now, message.span_ms, message.loads):
                self.counts["loads_not_taken"] += 1
        else:
            self.judgements.compare(message.src, message.unix_ms - unix_ms)
            for said in message.said:
                self._hear(said, now, unix_ms)
            for row in message.rows:
                self._take_row(row, now)

    def _refuse(self, member: str, why: str, now: float) -> None:
        """Name a member whose state is not taken, now and then."""
        self.counts["refused_" + why] += 1
        if now - self._named.get((member, why), -NAMED_EVERY_MS) >= NAMED_EVERY_MS:
            if len(self._named) >= NAMED_MOST:
                self._named.clear()
            self._named[member, why] = now
            self._out.append(StateRefused(member, why))

    def _ticket_ask(self, now: float, ask: TicketRequest) -> None:
        if self.witness is None or ask.fingerprint != self.share.fingerprint:
            self._refuse(ask.src, "not_a_witness" if self.witness is None else "marks_differ", now)
        elif (say := self.witness.handle_request(ask, now)) is None:
            self.counts["ticket_asks_old"] += 1
        else:
            self._send(ask.src, say)

    def _hear(self, said: RegisterUpdate, now: float, unix_ms: float) -> None:
        why = self.judgements.hear(said, now, unix_ms)
        self.counts["judgements_" + (why or "taken")] += 1
        if why == "from_the_future":
            self._refuse(said.stamp.member, why, now)
        if not why:
            self._queue_up("said", said.key, said)
            self._note_bad(now, said.stamp.member)

    def _take_row(self, row: CounterRow, now: float) -> None:
        if self.totals.merge(row, now):
            row = self.totals.rows[row.member]
            self._queue_up("row", row.member, row)

    # -- Chores ------------------------------------------------------------------------------------

    def _chores(self, now: float, unix_ms: float) -> None:
        for name, chore in CHORES.items():
            if now >= self._next[name]:
                every = getattr(self.share, f"{name}_ms")
                if name == "counts":
                    every *= max(1.0, (len(self.alive) + 1) / ROWS_FLAT)
                elif name == "load":
                    every = self.judge.every_ms(len(self.alive) + 1)
                self._next[name] = max(self._next[name] + every, now + every / 2)
                chore(self, now, unix_ms)

    def _renew(self, now: float, unix_ms: float) -> None:
        """Ask the witnesses for our tickets, and others for loans."""
        if self.share.witnesses:
            ask = self.holder.next_request(self._falls.of(self.me), now)
            for witness in self.share.witnesses:
                if witness == self.me:
                    self.holder.handle_reply(self.witness.handle_request(ask, now))
                else:
                    self._send(witness, ask)
            for member, some in self.escrow.renew(now, list(self.alive)):
                self._send(member, some)
        if self.retries is not None and (lack := self.retries.shortfall(now)) > 0:
            for member in self.rng.sample(list(self.alive), min(len(self.alive), GIVERS)):
                self._send(member, self.escrow.new_request(member, [Shortfall(RETRY, lack)], now))
        self._note_owned(now)

    def _note_owned(self, now: float) -> None:
        owned = len(self.holder.owned(now))
        if owned != self._owned:
            self._out.append(TicketsChanged(self._owned, owned))
            self._owned = owned

    def _tell(self, now: float, unix_ms: float) -> None:
        """Tell judges what we saw of workers that failed us or that they ask about; judge those of ours."""
        for worker in self.judgements.expire(now):
            if worker in self._bad:
                self._bad.discard(worker)
                self._out.append(JudgementExpired(worker))
        self.evidence.expire(now)
        asked = self.judgements.having(ASK, now)
        window = self.own.window(now)
        self._told = {w: t for w, t in self._told.items() if w in window}
        some: dict[str, list[RequestCounts]] = {}
        self._seq += 1
        for worker, seen in window.items():
            last, at = self._told.get(worker, (None, 0.0))
            if seen == last and now - at < self.share.window_ms / 4:
                continue
            if not seen.failed and worker not in asked:
                continue
            self._told[worker] = (seen, now)
            for judge in pick(worker, [*self.alive, self.me], self.share.judges):
                if judge == self.me:
                    self.evidence.tell(self.me, (self.life, self._seq), seen, now)
                else:
                    some.setdefault(judge, []).append(seen)
        for judge, seen in some.items():
            for start in range(0, len(seen), ITEMS_MOST // 4):
                part = seen[start : start + ITEMS_MOST // 4]
                self._seq += 1
                self._send(judge, EvidenceReport(self._seq, self.me, self.life, part))
        self._judge(now, unix_ms)

    def _judge(self, now: float, unix_ms: float) -> None:
        """As a judge: ask what members saw of a worker that failed someone, then say whether it is bad."""
        bad = self.bad_workers(now)
        self._asked_of = {w: at for w, at in self._asked_of.items() if w in self.evidence.told}
        for worker in list(self.evidence.told):
            if worker in bad:
                self._asked_of.pop(worker, None)
                continue
            verdict = self.evidence.verdict(worker)
            since = self._asked_of.get(worker)
            if not verdict.against:
                continue
            if since is None or now - since >= ASK_AGAIN * self.share.window_ms:
                self._asked_of[worker] = now
                self._say(worker, ASK, now, unix_ms)
            elif verdict.bad and now - since >= self.share.settle_ms:
                self._say(worker, BAD, now, unix_ms)
                self.counts["judged_bad"] += 1
                self._note_bad(now, self.me, verdict)

    def _say(self, worker: str, value: bytes, now: float, unix_ms: float) -> None:
        self._queue_up("said", worker, self.judgements.write(worker, value, now, unix_ms))

    def _note_bad(self, now: float, by: str, verdict: Verdict | None = None) -> None:
        bad = self.bad_workers(now)
        for worker in sorted(bad - self._bad):
            # guards against the same evidence speaking against a worker twice, after its judgement is over
            self.evidence.told.pop(worker, None)
            self.own.forget(worker)
            self._out.append(WorkerJudgedBad(worker, by, verdict))
        for worker in sorted(self._bad - bad):
            self._out.append(JudgementExpired(worker))
        self._bad = bad

    def _count(self, now: float, unix_ms: float) -> None:
        """Our own row is due to be told."""
        self._queue_up("row", self.me, self.totals.rows[self.me])

    def _spread(self, now: float, unix_ms: float) -> None:
        """Tell registers and rows on to a few members."""
        members = self.rng.sample(list(self.alive), min(len(self.alive), self.share.spread_nodes))
        for member in members:
            said, rows, room = [], [], self.datagram_most - HEADROOM
            for (kind, key), queued in sorted(self._queue.items(), key=lambda item: -item[1].left):
                if queued.size > room or len(said) >= ITEMS_MOST or len(rows) >= ITEMS_MOST:
                    continue
                item = self.judgements.told(key, now) if kind == "said" else self.totals.rows.get(key)
                queued.left -= 1
                if item is None or queued.left <= 0:
                    del self._queue[kind, key]
                if item is not None:
                    (said if kind == "said" else rows).append(item)
                    room -= queued.size
            if said or rows:
                self._send(member, StateGossip(self.me, unix_ms, said, rows))

    def _queue_up(self, kind: str, key: str, item: RegisterUpdate | CounterRow) -> None:
        size = len(msgspec.msgpack.encode(item)) + 4
        left = RETOLD[kind] * len(str(len(self.alive) + 1))
        if size <= self.datagram_most - HEADROOM:
            self._queue[kind, key] = _Queued(left, size)

    # -- Workers watched for all, and the fleet's load -----------------------------------------------

    def _using(self, now: float, unix_ms: float) -> None:
        """Tell those that watch the workers that we use."""
        if self.watching is not None:
            for member, using in self.watching.using(self.own.window(now), now):
                self._send(member, using)

    def _report(self, now: float, unix_ms: float) -> None:
        """Send on what our probes have brought."""
        if self.watching is not None:
            for member, reports in self.watching.reports():
                self._send(member, reports)

    def _load(self, now: float, unix_ms: float) -> None:
        """Tell the judges what became of our jobs; as the acting one, say what is to be turned away."""
        if not self.share.priorities:
            return
        loads, span, members = self.loads(), max(now - self._load_at, 1.0), [*self.alive, self.me]
        self._load_at = now
        self._seq += 1
        plain = [(one.offered, one.shed, one.good, one.late, one.bad) for one in loads]
        for judge in self.judge.judges(members):
            if judge == self.me:
                self.judge.take(self.me, (self.life, self._seq), now, span, plain)
            else:
                self._send(judge, FleetLoadReport(self._seq, self.me, self.life, span, plain))
        said = self.judgements.told(SHED, now)
        parts = self.judge.judge(
            now, members, None if said is None else said.age_ms, self.shed_fractions(now)
        )
        if parts is not None and (any(parts) or said is not None):
            self._queue_up("said", SHED, self.judgements.write(SHED, to_bytes(parts), now, unix_ms))
        now_shed = self.shed_fractions(now)
        if now_shed != self._parts and (any(now_shed) or any(self._parts)):
            self._out.append(SheddingChanged(now_shed, said.stamp.member if said else self.me))
        self._parts = now_shed

    def _send(self, member: str, message: StateMessage) -> None:
        address = self.alive.get(member)
        if address is None:
            self.counts["nobody_there"] += 1
            return
        self.counts["sent"] += 1
        self._out.append(Send(address, wire.encode(self.cluster, message)))


CHORES = {
    "renew": SharedState._renew,
    "tell": SharedState._tell,
    "counts": SharedState._count,
    "spread": SharedState._spread,
    "using": SharedState._using,
    "reports": SharedState._report,
    "load": SharedState._load,
}


def report(one: SharedState, now: float) -> list[str]:
    """What one member knows of shared state, as lines of words:

    `budget NAME BOUND MAY SPENT LENT BORROWED`, `lent NAME TO AMOUNT`, `borrowed NAME FROM AMOUNT` (amounts
    in the budget's unit), `tickets MEMBER FALLEN LENT` (fallen to it by the view; lent to it by us, a
    witness, or -), `bad WORKER LEFT_S`, `count NAME TOTAL OURS` over the fleet.
    """
    lines, escrow = [], one.escrow
    for name, budget in sorted(escrow.budgets.items()):
        out, held = escrow.out(budget, now), escrow.held(budget, now)
        may, spent = escrow.available(name, now), escrow.spent(name, now)
        lines.append(f"budget {name} {budget.kind.bound:g} {may:.4f} {spent:.4f} {out:.4f} {held:.4f}")
        for member in sorted(budget.lent):
            lines.append(f"lent {name} {member} {escrow.out_to(budget, member, now):.4f}")
        for member, (_, amount, until) in sorted(budget.borrowed.items()):
            lines += [f"borrowed {name} {member} {amount:.4f}"] if now < until else []
    ledger = one.witness.lent.values() if one.witness else ()
    lent = Counter(who for (who, _), until in ledger if until > now) if one.witness else None
    for member in sorted([one.me, *one.alive]):
        lines.append(f"tickets {member} {len(one.fallen_to(member))} {'-' if lent is None else lent[member]}")
    for worker in sorted(one.bad_workers(now)):
        left = one.share.bad_ms - one.judgements.told(worker, now).age_ms
        lines.append(f"bad {worker} {left / 1000:.1f}")
    ours = one.totals.rows[one.me].counts
    for name in one.totals.names():
        added, taken = ours.get(name, (0, 0))
        lines.append(f"count {name} {one.totals.total(name)} {added - taken}")
    return lines


def load_report(one: SharedState, now: float, names: list[str]) -> list[str]:
    """What one member knows of the fleet's load, as lines of words:

    `shed CLASS PART`, `judge MEMBER RANK`, `pace JOBS_PER_S` (at the acting judge, in a crowd),
    `retries RATIO AVAILABLE EARNED_S` (this member's rights, and what it earns a second),
    `amplification ATTEMPTS PER_FIRST` over the fleet, `watched WORKER USERS` for each worker that this member
    probes for others.
    """
    members = [*one.alive, one.me]
    lines = [f"shed {name} {part:.3f}" for name, part in zip(names, one.shed_fractions(now), strict=False)]
    lines += [f"judge {member} {rank}" for rank, member in enumerate(one.judge.judges(members))]
    if one.judge.acting and one.judge.pace.jobs_per_s is not None:
        lines.append(f"pace {one.judge.pace.jobs_per_s:.1f}")
    if one.retries is not None:
        earned = one.retries.earned_recently(now) / KEPT_S
        lines.append(f"retries {one.share.retry_ratio:g} {one.retries.available(now):.2f} {earned:.2f}")
    firsts, retries = one.totals.total("firsts"), one.totals.total("retries")
    lines.append(f"amplification {firsts + retries} {(firsts + retries) / max(firsts, 1):.3f}")
    if one.watching is not None:
        watched = sorted(one.watching.watched)
        lines += [f"watched {worker} {len(one.watching.users(worker))}" for worker in watched]
    return lines
