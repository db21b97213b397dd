"""Adapter between the program's parts and the shared state.

The program's side of `shared.SharedState`.  It reports what this scheduler has spent of each budget and how
upstream requests ended, and limits the decision module and the upstream side to what may be spent.  Budgets
are `cold/<worker>`, as fractions of all that a cold worker may be sent (1 is all), and `conn/<worker>`,
connections.
"""

import statistics
from collections import Counter, deque
from collections.abc import Callable
from random import Random

import xxhash

from ..interface import ColdUsage, Outcome, ProbeEnded, SharedStateUpdate
from ..net.counters import Counters
from ..net.failure import Served
from . import shared
from .concurrency import GradientLimit
from .shared import ReportProbed, RequestEnded, WorkersListed
from .sharing import BudgetKind
from .shedding import Load

COLD, CONNECTIONS = "cold", "conn"
FAILURES = (
    Outcome.ERROR,
    Outcome.RESET,
    Outcome.CONNECT_FAILED,
    Outcome.TIMEOUT,
)  # evidence against a worker
TOLERANCE = 1e-6  # amounts are sums of fractions
LOADS = ("offered", "shed", "good", "late", "bad")
LATE_FACTOR = 1.2  # a response within this multiple of the aim counts as in time
MIN_PAUSE_SHARE = 0.5  # min pause for refused clients, as a share of what the settings allow
MAX_SAMPLES, MIN_SAMPLES = 64, 16  # responses of a class that its usual time is taken from
FLEET_COUNTERS = {  # counters added up over the fleet: the program's counter and its name among them
    "in.streams": "streams",
    "sent.requests": "sent",
    "sent.probes": "probes",
    "fleet.firsts": "firsts",
    "fleet.retries": "retries",
    "answered.served": "served",
    "answered.refused": "refused",
    "answered.failed": "failed",
}


def budget_kinds(settings, connections: int, cold: bool) -> dict[str, BudgetKind]:
    """The budgets that are shared: a cold worker's, where the settings have one, and a worker's connections.

    A connection may be in use for as long as the longest deadline after the right to it has expired.
    """
    found = {}
    if cold and settings.cold_ms and settings.cold_window_ms:
        found[COLD] = BudgetKind(1.0, settings.cold_window_ms)
    if connections:
        longest = max(c.deadline_ms for c in settings.classes)
        found[CONNECTIONS] = BudgetKind(float(connections), longest, is_rate=False, min_useful=1.0)
    return found


class ResponseTimes:
    """The usual response time of each class; a far slower response counts against its worker."""

    def __init__(self, multiple: float):
        self.multiple = multiple  # of the median; 0: no response is too slow
        self._times: dict[str, deque[float]] = {}
        self._median: dict[str, float] = {}

    def too_slow(self, job_class: str, elapsed_ms: float) -> bool:
        times = self._times.setdefault(job_class, deque(maxlen=MAX_SAMPLES))
        times.append(elapsed_ms)
        if len(times) >= MIN_SAMPLES and (job_class not in self._median or len(times) % MIN_SAMPLES == 0):
            self._median[job_class] = statistics.median(times)
        median = self._median.get(job_class)
        return bool(self.multiple and median and elapsed_ms > self.multiple * median)


class FleetAdapter:
    """One scheduler's use of what the fleet shares.

    `connect` joins it to the shared state: `machine` is the pure part, `notify(event)` passes it an event and
    carries out the actions, `freshen()` has it call `refresh`, which is due at least each half of the clock
    margin.
    """

    def __init__(self, host, upstream, cluster, clock, counters: Counters, slow_multiple: float, rng: Random):
        self.host, self.upstream, self.cluster, self.clock = host, upstream, cluster, clock
        self.counters, self.response_times, self.rng = counters, ResponseTimes(slow_multiple), rng
        self.machine: shared.SharedState | None = None
        self.class_names = [c.name for c in host.settings.classes]  # shed fractions are in this order
        self._cold: dict[str, tuple[float, bool]] = {}  # worker -> (its part as sent, sent to since then)
        self._delivered = SharedStateUpdate()
        self._counted: dict[str, int] = {}  # counter -> its value at the last `take_counts`
        self._loads: Counter = Counter()  # (class, how its jobs ended)
        self._limits: dict[str, GradientLimit] = {}  # by worker, where connections are shared
        self._failing = False  # an upstream request failed since the last refresh: a retry may be wanted
        self._listed: frozenset[str] = frozenset()

    def connect(
        self, machine: shared.SharedState, notify: Callable, freshen: Callable[[], None], adapts: bool
    ) -> None:
        """Join both sides and register the program's hooks."""
        self.machine, self.notify, config, host = machine, notify, machine.config, self.host
        self.fresh_ms, self.adapts = config.margin_ms / 2, adapts
        host.on_attempt_ended, host.on_cold_use = self._ended, self._cold_use
        host.refresh_shared_state = freshen
        host.on_send, host.on_final_response, host.adjust_pause = self._sending, self._answered, self._pause
        if config.priorities:
            host.draw_for_job = self._draw
        if machine.watching is not None:
            host.on_probe_report = self._probed
        if CONNECTIONS in config.kinds:
            self.upstream.may_open = self._may_open

    # -- For the shared state ----------------------------------------------------------------------

    def used(self, budget: str, now: float) -> float:
        """What we have spent of a budget within its grace period."""
        kind, _, worker = budget.partition("/")
        if kind == CONNECTIONS:
            return float(self.upstream.open_connections(worker))
        part, sent_since = self._cold.get(worker, (0.0, False))
        # guards against lending what has just been sent: until the module reports again, all of ours counts
        return max(part, self._delivered.cold_shares.get(worker, 0.0)) if sent_since else part

    def loads(self) -> list[Load]:
        """How each class's jobs ended since the last call."""
        counts, self._loads = self._loads, Counter()
        return [Load(*(counts[name, what] for what in LOADS)) for name in self.class_names]

    def take_counts(self) -> dict[str, int]:
        """What was counted since the last call, by the names of the fleet's counters."""
        more = {}
        for counter, name in FLEET_COUNTERS.items():
            count = self.counters[counter]
            more[name], self._counted[counter] = count - self._counted.get(counter, 0), count
        return {name: count for name, count in more.items() if count}

    # -- For the program ---------------------------------------------------------------------------

    def refresh(self) -> None:
        """Apply what the fleet shares now to the decision module and the upstream side."""
        now, parts, machine = self.clock.now(), {}, self.machine
        kinds = machine.config.kinds
        for uid, placed in self.cluster.listed.items():
            if CONNECTIONS in kinds:
                limit = machine.available(f"{CONNECTIONS}/{uid}", now) + TOLERANCE
                if self.adapts:
                    limit = min(limit, self._limit(uid).limit)
                self.upstream.set_max_open(uid, int(limit))
            started_at = placed.entry.born_ms
            if COLD in kinds and started_at and now - started_at < self.host.settings.cold_ms:
                parts[uid] = machine.available(f"{COLD}/{uid}", now)
        self._update_listed()
        self.host.shared_state_valid_until = now + self.fresh_ms
        watched = machine.watching.watched if machine.watching is not None else None
        shed = dict(zip(self.class_names, machine.shed_fractions(now), strict=False))
        update = SharedStateUpdate(
            parts, frozenset(machine.bad_workers(now)), self._retries(now), watched, shed
        )
        if parts or update != self._delivered:
            self._delivered = update
            self._cold = {uid: part for uid, part in self._cold.items() if uid in parts}
            self.host.deliver(update)

    def _update_listed(self) -> None:
        if self.cluster.listed.keys() != self._listed:
            self._listed = frozenset(self.cluster.listed)
            self._limits = {uid: one for uid, one in self._limits.items() if uid in self._listed}
            self.notify(WorkersListed(self._listed))

    def _retries(self, now: float) -> float:
        retries, failing, self._failing = self.machine.retries, self._failing, False
        if retries is None:
            return float("inf")
        available = retries.available(now)
        if available < 1.0 and failing:
            retries.record_denial()
        return available

    def deliver_report(self, worker: str, fields: dict[str, float]) -> None:
        """Pass on a worker's report from another member's probe, as if the probe were ours."""
        self.host.deliver(ProbeEnded(worker, Outcome.OK, 0.0, fields))

    # -- The program's hooks -------------------------------------------------------------------------

    def _cold_use(self, use: ColdUsage) -> None:
        self._cold[use.worker] = (use.sent_share, False)
        if use.requested_share > self._delivered.cold_shares.get(use.worker, 0.0):
            self.machine.escrow.record_denial(f"{COLD}/{use.worker}", self.clock.now())

    def _sending(self, worker: str, retry: bool) -> None:
        now, retries = self.clock.now(), self.machine.retries
        if worker in self._delivered.cold_shares:
            self._cold[worker] = (self._cold.get(worker, (0.0, False))[0], True)
        if retries is not None and retry:
            retries.spend(now)
        elif retries is not None:
            retries.record_first_attempt(now)
        self.counters["fleet.retries" if retry else "fleet.firsts"] += 1

    def _limit(self, worker: str) -> GradientLimit:
        return self._limits.setdefault(worker, GradientLimit())

    def _may_open(self, worker: str, have: int) -> bool:
        """Whether one more connection may be opened.

        Looked up for each connection: the last refresh may be old where the process was stalled.
        """
        now, budget = self.clock.now(), f"{CONNECTIONS}/{worker}"
        if self.adapts and have + 1 > max(self._limit(worker).limit, 1.0):
            self.counters["upstream.at_limit"] += 1
            return False
        if have + 1 <= self.machine.available(budget, now) + TOLERANCE:
            return True
        self.counters["upstream.fleet_denied"] += 1
        self.machine.escrow.record_denial(budget, now)
        return False

    def _ended(self, worker: str, job_class: str, outcome: Outcome, elapsed_ms: float) -> None:
        if outcome is Outcome.OK:
            if CONNECTIONS in self.machine.config.kinds:
                self._limit(worker).sample(elapsed_ms, self.upstream.open_connections(worker))
            self.notify(RequestEnded(worker, self.response_times.too_slow(job_class, elapsed_ms)))
            return
        self._failing = True
        if outcome in FAILURES:
            self.notify(RequestEnded(worker, True))

    def _probed(self, worker: str, report: dict[str, float]) -> None:
        self.notify(ReportProbed(worker, report))

    def _draw(self, job: str) -> float:
        """A number in [0, 1), the same for a job at every scheduler where its client names the job."""
        return xxhash.xxh32_intdigest(job.encode()) / 2**32 if job else self.rng.random()

    def _pause(self, pause_ms: float) -> float:
        """Spread the pauses, so that clients refused together do not come back together."""
        return pause_ms * self.rng.uniform(MIN_PAUSE_SHARE, 1.0)

    def _answered(self, stream, answer) -> None:
        """Count how a job ended, for the fleet's load."""
        arrival, took_ms = stream.arrival, self.clock.now() - stream.arrived_at
        name, cls = arrival.job_class, self.host.classes.get(arrival.job_class)
        self._loads[name, "offered"] += 1
        if isinstance(answer, Served):
            aim = cls.aim_ms + cls.aim_stretch * (arrival.work_hint_ms or 0.0) if cls else 0.0
            self._loads[name, "good" if took_ms <= LATE_FACTOR * aim else "late"] += 1
        elif not stream.attempts and stream.draw < self._delivered.shed_shares.get(name, 0.0):
            self._loads[name, "shed"] += 1
            self.counters[f"fleet.shed.{name}"] += 1
        else:
            self._loads[name, "bad"] += 1
