"""What must hold of all that was noted in a soak.  Pure: a log goes in, findings come out.

Each rule is a function of its own.  A rule with a bound on time binds a scheduler that itself was in no
trouble for `IN_TOUCH_S`; what happens to the control plane excuses nothing, since one machine of it at a
time is what the fleet is told to bear.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .records import Arrival, Change, Deed, Ending, Exchange, HandleDeed, Log, RequestKind

PROMISE_S = 2.0  # ConfigPropagationMs
DRAIN_S = 2.0  # DrainTimeoutMs
GRACE_S = 8.0  # GracePeriodS
SERVED_AFTER_TERM_S = 3.0  # a request sent later than this after a SIGTERM is answered whole, or refused
IN_TOUCH_S = 3.0
DEADLINE_S = 4.0  # of a client's request, and the route's time-out
BODY_S = 0.25  # longest time that the slow bodies of these clients take
LAPSE_S = 5.0  # memory that was read apart is kept this long
LEAST_SERVED_SHARE = 0.5  # of the requests in the end
SLACK_S = 0.25  # clocks of two tasks of the soak, and sockets' queues
PROMISES = (408, 421, 429, 503)  # the request has not run and never will
NOT_REPEATED = (RequestKind.NON_IDEMPOTENT, RequestKind.STREAM, RequestKind.MODEL)
TROUBLES = (Deed.START, Deed.KILL, Deed.FREEZE, Deed.THAW, Deed.EXIT, Deed.TERMINATE)


@dataclass(frozen=True, slots=True)
class Finding:
    """A rule that was broken."""

    rule: str
    at: float
    what: str


class _Index:
    """The log by what the rules ask for."""

    def __init__(self, log: Log):
        self.log = log
        self.arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in log.arrivals:
            self.arrivals[arrival.attempt].append(arrival)
        self.deeds = defaultdict(list)
        for deed in log.deeds:
            self.deeds[deed.process].append(deed)
        self.taken = [change for change in log.changes if change.status == 200]
        self.ended_at = {end.worker: end.at for end in log.ends}
        self.broken_off = {broken.attempt: broken.at for broken in log.broken_off}

    def runs(self, exchange: Exchange) -> list[Arrival]:
        """The workers' runs of a request."""
        return [arrival for arrival in self.arrivals[exchange.attempt] if arrival.runs]

    def troubled(self, process: str, since: float, until: float, deeds=TROUBLES) -> bool:
        """Whether something was done to a process in this time, or it stood still during all of it."""
        frozen = False
        for deed in self.deeds[process]:
            if since <= deed.at <= until and deed.deed in deeds:
                return True
            if deed.at < since and deed.deed in (Deed.FREEZE, Deed.THAW):
                frozen = deed.deed is Deed.FREEZE
        return frozen

    def in_touch(self, process: str, since: float, until: float) -> bool:
        """Whether nothing was done to a process from a while before this time until its end."""
        return not self.troubled(process, since - IN_TOUCH_S, until)


def _ran_once(index: _Index) -> Iterator[Finding]:
    for exchange in index.log.exchanges:
        runs = index.runs(exchange)
        if exchange.kind in NOT_REPEATED and len(runs) > 1:
            what = f"{exchange.kind.value} {exchange.attempt} ran {len(runs)} times"
            yield Finding("TWICE", runs[1].at, what)


def _promises_kept(index: _Index) -> Iterator[Finding]:
    for exchange in index.log.exchanges:
        promised = exchange.ending is Ending.ANSWERED and exchange.status in PROMISES
        if promised and exchange.kind in NOT_REPEATED and index.runs(exchange):
            what = f"{exchange.status} for {exchange.attempt}, which ran"
            yield Finding("REFUSED", exchange.ended_at, what)


def _answers_own(index: _Index) -> Iterator[Finding]:
    for exchange in index.log.exchanges:
        if not exchange.own:
            yield Finding("MIXED", exchange.ended_at, f"{exchange.attempt} got another's answer")


def _streams_in_order(index: _Index) -> Iterator[Finding]:
    for exchange in index.log.exchanges:
        if not exchange.events_wanted or exchange.status != 200:
            continue
        first = exchange.from_event + 1
        wanted = list(range(first, exchange.events_wanted + 1))
        whole = exchange.ending is Ending.ANSWERED
        if exchange.events != (wanted if whole else wanted[: len(exchange.events)]):
            yield Finding("ORDER", exchange.ended_at, f"{exchange.attempt} got events {exchange.events}")


def _nothing_unasked(index: _Index) -> Iterator[Finding]:
    asked = {exchange.attempt for exchange in index.log.exchanges}
    for attempt, arrivals in index.arrivals.items():
        if attempt not in asked and not attempt.startswith("probe"):
            yield Finding("UNASKED", arrivals[0].at, f"a worker was sent {attempt!r}, which nobody asked for")


def _planned_work_loses_nothing(index: _Index) -> Iterator[Finding]:
    """A whole request was read, its scheduler lived on or was told to end in order, and no answer came."""
    for exchange in index.log.exchanges:
        if exchange.ending is not Ending.NO_ANSWER or exchange.pipelined:
            continue
        since, until = exchange.sent_at - SLACK_S, exchange.ended_at + SLACK_S
        hard = (Deed.KILL, Deed.FREEZE, Deed.THAW, Deed.START)
        if index.troubled(exchange.scheduler, since - IN_TOUCH_S, until, hard):
            continue
        arrivals = index.arrivals[exchange.attempt]
        if _worker_went(index, exchange, until) or _grace_over(index, exchange):
            continue
        passed_on = any(arrival.runs for arrival in arrivals)
        stopping = index.troubled(exchange.scheduler, since - GRACE_S, until, (Deed.TERMINATE,))
        if passed_on or not stopping:
            what = f"{exchange.attempt} at {exchange.scheduler}: {exchange.ending.value}"
            yield Finding("LOST", exchange.ended_at, what)


def _cuts_have_facts(index: _Index) -> Iterator[Finding]:
    """An answer that has begun ends early for a fact only: silence, changes and goodbyes are none."""
    for exchange in index.log.exchanges:
        if exchange.ending is not Ending.CUT:
            continue
        since, until = exchange.sent_at - SLACK_S, exchange.ended_at + SLACK_S
        hard = (Deed.KILL, Deed.FREEZE, Deed.THAW, Deed.START, Deed.EXIT)
        facts = (
            index.troubled(exchange.scheduler, since, until, hard),
            _worker_went(index, exchange, until),
            _grace_over(index, exchange),
            exchange.ended_at - exchange.sent_at >= DEADLINE_S - BODY_S - SLACK_S,
        )
        if not any(facts):
            age = exchange.ended_at - exchange.sent_at
            what = f"{exchange.kind.value} {exchange.attempt} at {exchange.scheduler}, {age:.2f} s old"
            yield Finding("CUT", exchange.ended_at, what)


def _worker_went(index: _Index, exchange: Exchange, until: float) -> bool:
    """Whether a worker that the request came to has ended, lost its connections or broken the answer off."""
    if index.broken_off.get(exchange.attempt, until + 1.0) <= until:
        return True
    workers = {arrival.worker for arrival in index.arrivals[exchange.attempt]}
    resets = (deed for worker in workers for deed in index.deeds[worker] if deed.deed is Deed.RESET)
    if any(exchange.sent_at - SLACK_S <= reset.at <= until for reset in resets):
        return True
    return any(index.ended_at.get(worker, until + 1.0) <= until for worker in workers)


def _grace_over(index: _Index, exchange: Exchange) -> bool:
    """Whether the end of its scheduler's grace period excuses a cut: not for a request that was sent late."""
    told = [
        deed.at
        for deed in index.deeds[exchange.scheduler]
        if deed.deed is Deed.TERMINATE and exchange.sent_at <= deed.at + SERVED_AFTER_TERM_S
    ]
    return any(at + GRACE_S - SLACK_S <= exchange.ended_at <= at + GRACE_S + 4.0 for at in told)


def _changes_in_force(index: _Index) -> Iterator[Finding]:
    for probe in index.log.probes:
        if not index.in_touch(probe.scheduler, probe.sent_at, probe.answered_at):
            continue
        added = next((c for c in index.taken if probe.route in c.added), None)
        removed = [c for c in index.log.changes if probe.route in c.removed]
        in_time = added is not None and probe.sent_at > added.answered_at + PROMISE_S
        if in_time and not removed and probe.status == 404:
            late = probe.sent_at - added.answered_at
            what = f"{probe.scheduler} refuses {probe.route}, acknowledged {late:.2f} s before"
            yield Finding("CONFIG", probe.sent_at, what)
        gone = [c for c in removed if c.status == 200 and probe.sent_at > c.answered_at + PROMISE_S]
        if gone and probe.status == 200:
            what = f"{probe.scheduler} serves {probe.route}, dropped by version {gone[0].version}"
            yield Finding("CONFIG", probe.sent_at, what)


def _one_of_two_wins(index: _Index) -> Iterator[Finding]:
    for base, count in Counter(change.base for change in index.taken).items():
        if count > 1:
            versions = [change.version for change in index.taken if change.base == base]
            yield Finding("CONFIG", 0.0, f"versions {versions} on top of {base} were all acknowledged")


def _reads_are_new(index: _Index) -> Iterator[Finding]:
    for read in index.log.reads:
        newest = _newest(index.taken, before=read.sent_at)
        if read.version < newest:
            what = f"{read.process} reads out {read.version}, {newest} was acknowledged before"
            yield Finding("CONFIG", read.sent_at, what)


def _newest(taken: list[Change], before: float) -> int:
    return max((change.version for change in taken if change.answered_at < before), default=0)


def _versions_only_rise(index: _Index) -> Iterator[Finding]:
    newest: dict[int, int] = {}
    for sample in index.log.samples:
        if sample.version is None:
            continue
        if sample.version < newest.get(sample.pid, 0):
            what = f"{sample.process} went back from {newest[sample.pid]} to {sample.version}"
            yield Finding("CONFIG", sample.at, what)
        newest[sample.pid] = sample.version


def _read_back(index: _Index) -> Iterator[Finding]:
    newest = max((change.version for change in index.taken), default=0)
    if index.log.last_read is None:
        yield Finding("RECOVER", 0.0, "nobody tells the configuration at the end")
    elif index.log.last_read < newest:
        yield Finding("LOST", 0.0, f"{newest} was acknowledged, {index.log.last_read} is read back")


def _newest_in_force_in_the_end(index: _Index) -> Iterator[Finding]:
    newest = max((change.version for change in index.taken), default=0)
    for process, version in index.log.final_versions.items():
        if version is None or version < newest:
            what = f"{process} has {version} in the end, {newest} was acknowledged"
            yield Finding("RECOVER", 0.0, what)


def _last_worker_serves(index: _Index) -> Iterator[Finding]:
    """Long after the last trouble each service has one sound worker, and its requests come one by one."""
    answers = defaultdict(list)
    for answer in index.log.final_answers:
        answers[answer.scheduler, answer.service].append(answer)
    for (scheduler, service), given in answers.items():
        served = sum(answer.status == 200 for answer in given)
        if served <= LEAST_SERVED_SHARE * len(given):
            statuses = [answer.status for answer in given]
            what = f"{scheduler} answers {statuses} for {service}, which has a sound worker"
            yield Finding("RECOVER", given[0].at, what)


def _left_workers_rest(index: _Index) -> Iterator[Finding]:
    left_at = {goodbye.worker: goodbye.at for goodbye in index.log.goodbyes}
    scheduler_of = {exchange.attempt: exchange for exchange in index.log.exchanges}
    for arrival in index.log.arrivals:
        left, exchange = left_at.get(arrival.worker), scheduler_of.get(arrival.attempt)
        if left is None or exchange is None or arrival.at <= left + DRAIN_S + SLACK_S:
            continue
        if index.in_touch(exchange.scheduler, left, arrival.at):
            late = arrival.at - left
            what = f"{exchange.scheduler} sends to {arrival.worker}, which left {late:.2f} s before"
            yield Finding("DRAIN", arrival.at, what)


def _nobody_ends_by_itself(index: _Index) -> Iterator[Finding]:
    for deed in index.log.deeds:
        if deed.deed is Deed.EXIT and deed.code:
            yield Finding("EXIT", deed.at, f"{deed.process} ended by itself with {deed.code}")


def _memory_stays_with_its_request(index: _Index) -> Iterator[Finding]:
    read_for = {(e.worker, e.handle): e.attempt for e in index.log.handles if e.deed is HandleDeed.READ}
    for event in index.log.handles:
        owner = read_for.get((event.worker, event.handle))
        if event.deed is HandleDeed.TAKEN and event.attempt != owner:
            what = f"{event.attempt} goes on from the memory of {owner} at {event.worker}"
            yield Finding("MIXED", event.at, what)


def _memory_is_given_back(index: _Index) -> Iterator[Finding]:
    """Memory that nobody takes is freed: its scheduler was in no trouble, and its worker was reached.

    Memory that a worker reads only after the request has ended is known to nobody but that worker.
    """
    read_at = {(e.worker, e.handle): e.at for e in index.log.handles if e.deed is HandleDeed.READ}
    exchanges = {exchange.attempt: exchange for exchange in index.log.exchanges}
    for event in index.log.handles:
        exchange = exchanges.get(event.attempt)
        if event.deed is not HandleDeed.LAPSED or exchange is None:
            continue
        if read_at.get((event.worker, event.handle), exchange.ended_at) > exchange.ended_at:
            continue
        since = event.at - LAPSE_S
        hard = (Deed.RESET, Deed.CUT, Deed.HEAL)
        disturbed = index.troubled(event.worker, since - IN_TOUCH_S, event.at, hard)
        if not disturbed and index.in_touch(exchange.scheduler, since, event.at):
            what = f"memory of {event.attempt} at {event.worker} was neither taken nor given back"
            yield Finding("MEMORY", event.at, what)


def _orders_of_one_holder(index: _Index) -> Iterator[Finding]:
    """A fencing token belongs to one holder."""
    holders: dict[tuple[str, int], str] = {}
    for order in index.log.orders:
        holder = holders.setdefault((order.worker, order.token), order.holder)
        if holder != order.holder:
            what = f"{holder} and {order.holder} order {order.worker} with the token {order.token}"
            yield Finding("ONE", order.at, what)


RULES: dict[str, Callable[[_Index], Iterator[Finding]]] = {
    "what may not be repeated runs once": _ran_once,
    "who was refused has not run": _promises_kept,
    "every answer is the caller's own": _answers_own,
    "streams have every event once, in order": _streams_in_order,
    "workers run only what was asked for": _nothing_unasked,
    "planned work loses no request": _planned_work_loses_nothing,
    "an answer is cut for a fact only": _cuts_have_facts,
    "acknowledged changes are in force in time": _changes_in_force,
    "of two changes on one version one is taken": _one_of_two_wins,
    "a read tells the newest": _reads_are_new,
    "no process goes back": _versions_only_rise,
    "the newest is read back": _read_back,
    "the newest is in force everywhere in the end": _newest_in_force_in_the_end,
    "a service with a sound worker serves in the end": _last_worker_serves,
    "workers that have left rest": _left_workers_rest,
    "nobody ends by itself": _nobody_ends_by_itself,
    "prompt memory stays with its request": _memory_stays_with_its_request,
    "prompt memory is taken or given back": _memory_is_given_back,
    "a fencing token has one holder": _orders_of_one_holder,
}


def check(log: Log) -> list[Finding]:
    """All findings, by time."""
    index = _Index(log)
    return sorted((found for rule in RULES.values() for found in rule(index)), key=lambda finding: finding.at)
