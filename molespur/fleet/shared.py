"""One member's part of the state that the fleet shares.  Pure: events in, actions out.

Combines tickets, loans, evidence, judgements and counters (each in its own module) and decides what is sent
when.  Time is the `now` of each call, in milliseconds; `unix_ms` is the system's clock, which is used only to
order judgements.  Which members are alive comes from the membership as `MembersChanged`.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from . import wire
from .crdt import CounterRow, FleetCounters
from .escrow import Escrow
from .evidence import Evidence, RequestWindow, Verdict
from .judgements import BAD, QUERY, Judgements
from .model import Address
from .rendezvous import Assignment, pick
from .retries import MAX_SAVED_S, RetryBudget
from .sharing import (
    MAX_ITEMS,
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
from .shedding import SHED_TTL_MS, Load, LoadJudge, from_bytes, to_bytes
from .swim import Send
from .tickets import Holder, Witness
from .watching import Watching

RESERVED_BYTES = 80  # of a datagram, for what is not registers and rows
RETRANSMITS = {"register": 4, "row": 2}  # times that an item is passed on, for each ten-fold of the fleet
COUNTS_FULL_RATE_MEMBERS = 16  # members up to which a counter row is sent each `counts_ms`
REFUSAL_INTERVAL_MS = 10_000.0  # min time between two actions for a member whose state is refused
MAX_REFUSALS = 64  # (member, reason) pairs whose last action is remembered
RETRY_BUDGET = "retry"  # the retry budget's name in loan requests
RETRY_LENDERS = 3  # members asked for retry rights at a renewal
SHED_KEY = "/shed"  # the register that holds what is shed
QUERY_WINDOWS = 0.5  # of `window_ms`, after which a worker's judges query the members again


# -- Events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The other members that are alive by the membership (ids to addresses)."""

    alive: dict[str, Address]


@dataclass(frozen=True, slots=True)
class StateReceived:
    """A message of shared state was received."""

    message: StateMessage


@dataclass(frozen=True, slots=True)
class SnapshotReceived:
    """A push-pull brought another member's snapshot."""

    snapshot: StateSnapshot


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """An upstream request of ours to a worker ended; `failed` if that is evidence against the worker."""

    worker: str
    failed: bool


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The workers that are listed."""

    listed: frozenset[str]


@dataclass(frozen=True, slots=True)
class ReportProbed:
    """A probe of ours returned a worker's report."""

    worker: str
    fields: dict[str, float]


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


# -- Actions (beside `swim.Send`) ---------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class WorkerJudgedBad:
    """The fleet judges a worker bad from now on; the verdict is None where another member judged."""

    worker: str
    by: str
    verdict: Verdict | None = None


@dataclass(frozen=True, slots=True)
class JudgementExpired:
    """The judgement on a worker has expired."""

    worker: str


@dataclass(frozen=True, slots=True)
class TicketsChanged:
    """The number of tickets that we own has changed."""

    before: int
    after: int


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """Another member's probe returned a worker's report."""

    worker: str
    fields: dict[str, float]


@dataclass(frozen=True, slots=True)
class SheddingChanged:
    """The fractions of each class that all schedulers shed have changed, and which member decided so."""

    fractions: tuple[float, ...]
    by: str


@dataclass(frozen=True, slots=True)
class StateRefused:
    """State of a member is refused, and why."""

    member: str
    why: str


class _QueuedItem:
    __slots__ = ("sends_left", "size")

    def __init__(self, sends_left: int, size: int):
        self.sends_left, self.size = sends_left, size


class SharedState:
    """One member's shared state.

    `handle(now, unix_ms, event) -> actions`.  `used(budget, now)` returns what we have spent of a budget
    within its grace period, `loads()` how each class's jobs ended since the last call.  Reading: `available`,
    `bad_workers`, `shed_fractions`, `snapshot`, and for operators `budget_lines` and `load_lines`.
    """

    def __init__(
        self,
        own_id: str,
        instance: int,
        config: SharingConfig,
        cluster: str,
        rng: random.Random,
        used: Callable[[str, float], float],
        now: float,
        max_datagram_bytes: int = 1_400,
        loads: Callable[[], list[Load]] = list,
    ):
        self.own_id, self.instance, self.config, self.cluster, self.rng = (
            own_id,
            instance,
            config,
            cluster,
            rng,
        )
        self.max_datagram_bytes = max_datagram_bytes
        self.counts: Counter = Counter()
        self.alive: dict[str, Address] = {}
        self.witness = (
            Witness(own_id, config.tickets, config.hold_ms, now) if own_id in config.witnesses else None
        )
        self.holder = Holder(own_id, instance, config)
        self.escrow = Escrow(own_id, instance, config, self.holder.owned, used, rng, now)
        self.retries = RetryBudget(config, now) if config.retry_ratio else None
        if self.retries is not None:
            self.escrow.transfers[RETRY_BUDGET] = (self.retries.give, self.retries.take)
        self.request_window, self.evidence = RequestWindow(config), Evidence(config)
        self.judgements = Judgements(own_id, config.bad_ms)
        self.totals = FleetCounters(own_id, instance, now)
        self._tickets = Assignment("ticket/", config.tickets)
        # ("register" or "row", key) -> an item that is still to be passed on
        self._queue: dict[tuple[str, str], _QueuedItem] = {}
        self._next = {
            name: now + rng.uniform(0.0, 1.0) * getattr(config, f"{name}_ms") for name in PERIODIC_TASKS
        }
        self._seq = 0
        # worker -> (counts last sent to its judges, when)
        self._reported: dict[str, tuple[RequestCounts, float]] = {}
        self._queried_at: dict[str, float] = {}  # worker -> when we, as its judge, queried the members
        self.watching = Watching(own_id, config) if config.watchers else None
        self.load_judge, self.loads, self._load_at = LoadJudge(own_id, config), loads, now
        self._fractions: tuple[float, ...] = ()
        self._refused_at: dict[tuple[str, str], float] = {}  # (member, why) -> when the last action was given
        self._owned = 0
        self._bad: set[str] = set()
        self._out: list = []

    # -- The entry ---------------------------------------------------------------------------------

    def handle(self, now: float, unix_ms: float, event) -> list:
        """Take one event; return the actions that follow from it."""
        self._out = []
        if isinstance(event, RequestEnded):
            if not self.request_window.record(event.worker, event.failed, now):
                self.counts["evidence_no_room"] += 1
        elif isinstance(event, StateReceived):
            self._receive(now, unix_ms, event.message)
        elif isinstance(event, SnapshotReceived):
            for update in event.snapshot.registers:
                self._merge_register(update, now, unix_ms)
            for row in event.snapshot.rows:
                self._merge_row(row, now)
        elif isinstance(event, MembersChanged):
            self._set_members(event.alive)
        elif isinstance(event, WorkersListed):
            if self.watching is not None:
                self.watching.set_workers(event.listed)
        elif isinstance(event, ReportProbed):
            if self.watching is not None:
                self.watching.record_report(event.worker, event.fields)
        else:
            self._run_periodic_tasks(now, unix_ms)
        return self._out

    # -- Reading -----------------------------------------------------------------------------------

    def available(self, budget: str, now: float) -> float:
        """What we may spend of a budget, including what we have already spent within its grace period."""
        return self.escrow.available(budget, now)

    def bad_workers(self, now: float) -> set[str]:
        """Workers that the fleet judges bad now."""
        return self.judgements.keys_with(BAD, now)

    def shed_fractions(self, now: float) -> tuple[float, ...]:
        """The fraction of each class, in the settings' order, that all schedulers shed now."""
        update = self.judgements.get(SHED_KEY, now)
        if update is None or update.age_ms >= SHED_TTL_MS or len(update.value) != len(self.config.priorities):
            return ()
        return tuple(from_bytes(update.value))

    def snapshot(self, now: float) -> StateSnapshot:
        """The complete shared state, for a push-pull."""
        return StateSnapshot(list(self.judgements.all(now)), list(self.totals.rows.values()))

    def tickets_assigned_to(self, member: str) -> set[int]:
        """The tickets that our view assigns to a member."""
        return self._tickets.assigned_to(member)

    # -- Members -----------------------------------------------------------------------------------

    def _set_members(self, alive: dict[str, Address]) -> None:
        self.alive = dict(alive)
        self._tickets.set_members([*alive, self.own_id])
        if self.watching is not None:
            self.watching.set_members(alive)
        if len(alive) + 1 > self.config.size:
            self.counts["above_size"] += 1

    # -- Messages ----------------------------------------------------------------------------------

    def _receive(self, now: float, unix_ms: float, message: StateMessage) -> None:
        if message.src == self.own_id:
            self.counts["from_ourselves"] += 1
        elif isinstance(message, TicketRequest):
            self._answer_ticket_request(now, message)
        elif isinstance(message, TicketReply):
            if not self.holder.handle_reply(message):
                self.counts["says_not_asked_for"] += 1
            self._note_ticket_change(now)
        elif isinstance(message, LoanRequest):
            if message.fingerprint != self.config.fingerprint:
                self._refuse(message.src, "marks_differ", now)
            elif (reply := self.escrow.handle_request(message, now)) is not None:
                self._send(message.src, reply)
        elif isinstance(message, LoanReply):
            self.escrow.handle_reply(message, now)
        elif isinstance(message, EvidenceReport):
            for counts in message.counts:
                why = self.evidence.record(message.src, (message.instance, message.seq), counts, now)
                self.counts["evidence_" + (why or "taken")] += 1
                if why == "absurd":
                    self._refuse(message.src, "evidence", now)
        elif isinstance(message, ReportSubscription):
            if self.watching is not None:
                self.watching.add_subscription(message, now)
        elif isinstance(message, WorkerReports):
            self.counts["reports_taken"] += len(message.reports)
            self._out += [ReportReceived(one.worker, one.fields) for one in message.reports]
        elif isinstance(message, FleetLoadReport):
            order = (message.instance, message.seq)
            if not self.load_judge.record(message.src, order, now, message.span_ms, message.loads):
                self.counts["loads_not_taken"] += 1
        else:
            self.judgements.record_clock_offset(message.src, message.unix_ms - unix_ms)
            for update in message.registers:
                self._merge_register(update, now, unix_ms)
            for row in message.rows:
                self._merge_row(row, now)

    def _refuse(self, member: str, why: str, now: float) -> None:
        """Count a refusal; give an action at most once each `REFUSAL_INTERVAL_MS`."""
        self.counts["refused_" + why] += 1
        if now - self._refused_at.get((member, why), -REFUSAL_INTERVAL_MS) >= REFUSAL_INTERVAL_MS:
            if len(self._refused_at) >= MAX_REFUSALS:
                self._refused_at.clear()
            self._refused_at[member, why] = now
            self._out.append(StateRefused(member, why))

    def _answer_ticket_request(self, now: float, request: TicketRequest) -> None:
        if self.witness is None or request.fingerprint != self.config.fingerprint:
            self._refuse(request.src, "not_a_witness" if self.witness is None else "marks_differ", now)
        elif (reply := self.witness.handle_request(request, now)) is None:
            self.counts["ticket_asks_old"] += 1
        else:
            self._send(request.src, reply)

    def _merge_register(self, update: RegisterUpdate, now: float, unix_ms: float) -> None:
        why = self.judgements.merge(update, now, unix_ms)
        self.counts["judgements_" + (why or "taken")] += 1
        if why == "from_the_future":
            self._refuse(update.stamp.member, why, now)
        if not why:
            self._enqueue("register", update.key, update)
            self._note_bad_workers(now, update.stamp.member)

    def _merge_row(self, row: CounterRow, now: float) -> None:
        if self.totals.merge(row, now):
            row = self.totals.rows[row.member]
            self._enqueue("row", row.member, row)

    # -- Periodic tasks ----------------------------------------------------------------------------

    def _run_periodic_tasks(self, now: float, unix_ms: float) -> None:
        for name, task in PERIODIC_TASKS.items():
            if now >= self._next[name]:
                interval_ms = getattr(self.config, f"{name}_ms")
                if name == "counts":
                    interval_ms *= max(1.0, (len(self.alive) + 1) / COUNTS_FULL_RATE_MEMBERS)
                elif name == "load":
                    interval_ms = self.load_judge.report_interval_ms(len(self.alive) + 1)
                self._next[name] = max(self._next[name] + interval_ms, now + interval_ms / 2)
                task(self, now, unix_ms)

    def _renew(self, now: float, unix_ms: float) -> None:
        """Request our tickets from the witnesses, and loans and retry rights from other members."""
        if self.config.witnesses:
            request = self.holder.next_request(self._tickets.assigned_to(self.own_id), now)
            for witness in self.config.witnesses:
                if witness == self.own_id:
                    self.holder.handle_reply(self.witness.handle_request(request, now))
                else:
                    self._send(witness, request)
            for member, loan_request in self.escrow.renew(now, list(self.alive)):
                self._send(member, loan_request)
        if self.retries is not None and (lack := self.retries.shortfall(now)) > 0:
            for member in self.rng.sample(list(self.alive), min(len(self.alive), RETRY_LENDERS)):
                self._send(member, self.escrow.new_request(member, [Shortfall(RETRY_BUDGET, lack)], now))
        self._note_ticket_change(now)

    def _note_ticket_change(self, now: float) -> None:
        owned = len(self.holder.owned(now))
        if owned != self._owned:
            self._out.append(TicketsChanged(self._owned, owned))
            self._owned = owned

    def _report_evidence(self, now: float, unix_ms: float) -> None:
        """Report counts of workers that failed us, or that their judges query; judge the workers of ours."""
        for worker in self.judgements.expire(now):
            if worker in self._bad:
                self._bad.discard(worker)
                self._out.append(JudgementExpired(worker))
        self.evidence.expire(now)
        queried = self.judgements.keys_with(QUERY, now)
        window = self.request_window.counts(now)
        self._reported = {w: r for w, r in self._reported.items() if w in window}
        by_judge: dict[str, list[RequestCounts]] = {}
        self._seq += 1
        for worker, counts in window.items():
            last, at = self._reported.get(worker, (None, 0.0))
            if counts == last and now - at < self.config.window_ms / 4:
                continue
            if not counts.failed and worker not in queried:
                continue
            self._reported[worker] = (counts, now)
            for judge in pick(worker, [*self.alive, self.own_id], self.config.judges):
                if judge == self.own_id:
                    self.evidence.record(self.own_id, (self.instance, self._seq), counts, now)
                else:
                    by_judge.setdefault(judge, []).append(counts)
        for judge, found in by_judge.items():
            for start in range(0, len(found), MAX_ITEMS // 4):
                batch = found[start : start + MAX_ITEMS // 4]
                self._seq += 1
                self._send(judge, EvidenceReport(self._seq, self.own_id, self.instance, batch))
        self._judge_workers(now, unix_ms)

    def _judge_workers(self, now: float, unix_ms: float) -> None:
        """As a judge: query the members about a worker that failed someone, then judge it if it is bad."""
        bad = self.bad_workers(now)
        self._queried_at = {w: at for w, at in self._queried_at.items() if w in self.evidence.reports}
        for worker in list(self.evidence.reports):
            if worker in bad:
                self._queried_at.pop(worker, None)
                continue
            verdict = self.evidence.verdict(worker)
            since = self._queried_at.get(worker)
            if not verdict.against:
                continue
            if since is None or now - since >= QUERY_WINDOWS * self.config.window_ms:
                self._queried_at[worker] = now
                self._write_register(worker, QUERY, now, unix_ms)
            elif verdict.bad and now - since >= self.config.settle_ms:
                self._write_register(worker, BAD, now, unix_ms)
                self.counts["judged_bad"] += 1
                self._note_bad_workers(now, self.own_id, verdict)

    def _write_register(self, worker: str, value: bytes, now: float, unix_ms: float) -> None:
        self._enqueue("register", worker, self.judgements.write(worker, value, now, unix_ms))

    def _note_bad_workers(self, now: float, by: str, verdict: Verdict | None = None) -> None:
        bad = self.bad_workers(now)
        for worker in sorted(bad - self._bad):
            # guards against the same evidence counting against a worker again after its judgement expires
            self.evidence.reports.pop(worker, None)
            self.request_window.forget(worker)
            self._out.append(WorkerJudgedBad(worker, by, verdict))
        for worker in sorted(self._bad - bad):
            self._out.append(JudgementExpired(worker))
        self._bad = bad

    def _enqueue_own_row(self, now: float, unix_ms: float) -> None:
        """Our own counter row is due to be sent."""
        self._enqueue("row", self.own_id, self.totals.rows[self.own_id])

    def _gossip(self, now: float, unix_ms: float) -> None:
        """Pass registers and rows on to a few members."""
        members = self.rng.sample(list(self.alive), min(len(self.alive), self.config.gossip_nodes))
        for member in members:
            registers, rows, room = [], [], self.max_datagram_bytes - RESERVED_BYTES
            for (kind, key), queued in sorted(self._queue.items(), key=lambda item: -item[1].sends_left):
                if queued.size > room or len(registers) >= MAX_ITEMS or len(rows) >= MAX_ITEMS:
                    continue
                item = self.judgements.get(key, now) if kind == "register" else self.totals.rows.get(key)
                queued.sends_left -= 1
                if item is None or queued.sends_left <= 0:
                    del self._queue[kind, key]
                if item is not None:
                    (registers if kind == "register" else rows).append(item)
                    room -= queued.size
            if registers or rows:
                self._send(member, StateGossip(self.own_id, unix_ms, registers, rows))

    def _enqueue(self, kind: str, key: str, item: RegisterUpdate | CounterRow) -> None:
        size = len(msgspec.msgpack.encode(item)) + 4
        sends_left = RETRANSMITS[kind] * len(str(len(self.alive) + 1))
        if size <= self.max_datagram_bytes - RESERVED_BYTES:
            self._queue[kind, key] = _QueuedItem(sends_left, size)

    # -- Watched workers and the fleet's load --------------------------------------------------------

    def _subscribe(self, now: float, unix_ms: float) -> None:
        """Subscribe to reports of the workers that we use, at their watchers."""
        if self.watching is not None:
            for member, subscription in self.watching.subscriptions(self.request_window.counts(now), now):
                self._send(member, subscription)

    def _forward_reports(self, now: float, unix_ms: float) -> None:
        """Forward what our probes have returned."""
        if self.watching is not None:
            for member, reports in self.watching.take_reports():
                self._send(member, reports)

    def _report_load(self, now: float, unix_ms: float) -> None:
        """Report how our jobs ended to the judges; as the acting judge, decide what is to be shed."""
        if not self.config.priorities:
            return
        loads, span, members = self.loads(), max(now - self._load_at, 1.0), [*self.alive, self.own_id]
        self._load_at = now
        self._seq += 1
        plain = [(one.offered, one.shed, one.good, one.late, one.bad) for one in loads]
        for judge in self.load_judge.judges(members):
            if judge == self.own_id:
                self.load_judge.record(self.own_id, (self.instance, self._seq), now, span, plain)
            else:
                self._send(judge, FleetLoadReport(self._seq, self.own_id, self.instance, span, plain))
        update = self.judgements.get(SHED_KEY, now)
        decided = self.load_judge.decide(
            now, members, None if update is None else update.age_ms, self.shed_fractions(now)
        )
        if decided is not None and (any(decided) or update is not None):
            self._enqueue(
                "register", SHED_KEY, self.judgements.write(SHED_KEY, to_bytes(decided), now, unix_ms)
            )
        fractions = self.shed_fractions(now)
        if fractions != self._fractions and (any(fractions) or any(self._fractions)):
            self._out.append(SheddingChanged(fractions, update.stamp.member if update else self.own_id))
        self._fractions = fractions

    def _send(self, member: str, message: StateMessage) -> None:
        address = self.alive.get(member)
        if address is None:
            self.counts["nobody_there"] += 1
            return
        self.counts["sent"] += 1
        self._out.append(Send(address, wire.encode(self.cluster, message)))


PERIODIC_TASKS = {  # each runs at the interval `<name>_ms` of `SharingConfig`
    "renew": SharedState._renew,
    "evidence": SharedState._report_evidence,
    "counts": SharedState._enqueue_own_row,
    "gossip": SharedState._gossip,
    "subscribe": SharedState._subscribe,
    "reports": SharedState._forward_reports,
    "load": SharedState._report_load,
}


def budget_lines(one: SharedState, now: float) -> list[str]:
    """What one member knows of the budgets, judgements and counters, as lines of words:

    `budget NAME BOUND MAY SPENT LENT BORROWED`, `lent NAME TO AMOUNT`, `borrowed NAME FROM AMOUNT` (amounts
    in the budget's unit), `tickets MEMBER ASSIGNED LENT` (assigned to it by our view; lent to it by us if we
    are a witness, else -), `bad WORKER LEFT_S`, `count NAME TOTAL OURS` over the fleet.
    """
    lines, escrow = [], one.escrow
    for name, budget in sorted(escrow.budgets.items()):
        lent_out, borrowed = escrow.lent_out(budget, now), escrow.borrowed_amount(budget, now)
        may, spent = escrow.available(name, now), escrow.spent(name, now)
        lines.append(
            f"budget {name} {budget.kind.bound:g} {may:.4f} {spent:.4f} {lent_out:.4f} {borrowed:.4f}"
        )
        for member in sorted(budget.lent):
            lines.append(f"lent {name} {member} {escrow.lent_to(budget, member, now):.4f}")
        for member, (_, amount, until) in sorted(budget.borrowed.items()):
            lines += [f"borrowed {name} {member} {amount:.4f}"] if now < until else []
    ledger = one.witness.lent.values() if one.witness else ()
    lent = Counter(who for (who, _), until in ledger if until > now) if one.witness else None
    for member in sorted([one.own_id, *one.alive]):
        lines.append(
            f"tickets {member} {len(one.tickets_assigned_to(member))} {'-' if lent is None else lent[member]}"
        )
    for worker in sorted(one.bad_workers(now)):
        left = one.config.bad_ms - one.judgements.get(worker, now).age_ms
        lines.append(f"bad {worker} {left / 1000:.1f}")
    ours = one.totals.rows[one.own_id].counts
    for name in one.totals.names():
        added, taken = ours.get(name, (0, 0))
        lines.append(f"count {name} {one.totals.total(name)} {added - taken}")
    return lines


def load_lines(one: SharedState, now: float, names: list[str]) -> list[str]:
    """What one member knows of the fleet's load, as lines of words:

    `shed CLASS FRACTION`, `judge MEMBER RANK`, `pace JOBS_PER_S` (at the acting judge, under overload),
    `retries RATIO AVAILABLE EARNED_S` (this member's rights, and what it earns a second),
    `amplification ATTEMPTS PER_FIRST` over the fleet, `watched WORKER USERS` for each worker that this member
    probes for others.
    """
    members = [*one.alive, one.own_id]
    lines = [
        f"shed {name} {fraction:.3f}" for name, fraction in zip(names, one.shed_fractions(now), strict=False)
    ]
    lines += [f"judge {member} {rank}" for rank, member in enumerate(one.load_judge.judges(members))]
    if one.load_judge.acting and one.load_judge.admission.jobs_per_s is not None:
        lines.append(f"pace {one.load_judge.admission.jobs_per_s:.1f}")
    if one.retries is not None:
        earned = one.retries.earned_recently(now) / MAX_SAVED_S
        lines.append(f"retries {one.config.retry_ratio:g} {one.retries.available(now):.2f} {earned:.2f}")
    firsts, retries = one.totals.total("firsts"), one.totals.total("retries")
    lines.append(f"amplification {firsts + retries} {(firsts + retries) / max(firsts, 1):.3f}")
    if one.watching is not None:
        watched = sorted(one.watching.watched)
        lines += [f"watched {worker} {len(one.watching.subscribers(worker))}" for worker in watched]
    return lines
