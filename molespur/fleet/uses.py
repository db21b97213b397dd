"""Between the program's parts and the shared state: what is spent, what was seen, what may be sent.

The program's side of `shared.Shared`: it tells what this scheduler has spent of each budget, holds the module
and the upstream side to what may be spent, and tells what became of upstream requests.  Budgets are
`cold/<worker>`, as parts of all that a cold worker may be sent (1 is all), and `conn/<worker>`, connections.
"""

import statistics
from collections import Counter, deque
from collections.abc import Callable
from random import Random

import xxhash

from ..interface import ColdUse, Outcome, ProbeEnded, SharedNews
from ..net.counters import Counters
from ..net.failure import Served
from .concurrency import Gradient
from .shared import Ended, Probed, Shared, Workers
from .sharing import Kind
from .shedding import Load

COLD, CONNECTIONS = "cold", "conn"
AGAINST = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMEOUT)
NEARLY = 1e-6  # amounts are sums of fractions
LOADS = ("offered", "shed", "good", "late", "bad")
LATE = 1.2  # aims that an answer may take and still count as in time
PAUSE_LEAST = 0.5  # of what the settings allow: refused clients are told so much at least
TIMES_KEPT, TIMES_LEAST = 64, 16  # answers of a class that tell what is usual, kept and at least
TOLD = {  # counts over the fleet: the program's counter and its name among them
    "in.streams": "streams",
    "sent.requests": "sent",
    "sent.probes": "probes",
    "fleet.firsts": "firsts",
    "fleet.retries": "retries",
    "answered.served": "served",
    "answered.refused": "refused",
    "answered.failed": "failed",
}


def kinds(settings, connections: int, cold: bool) -> dict[str, Kind]:
    """The budgets that are shared: a cold worker's, where the settings have one, and a worker's connections.

    A connection may be in use for as long as the longest deadline after the right to it is over.
    """
    found = {}
    if cold and settings.cold_ms and settings.cold_window_ms:
        found[COLD] = Kind(1.0, settings.cold_window_ms)
    if connections:
        longest = max(c.deadline_ms for c in settings.classes)
        found[CONNECTIONS] = Kind(float(connections), longest, rate=False, unit=1.0)
    return found


class Usual:
    """What is usual of the answers of each class: one far slower speaks against its worker."""

    def __init__(self, multiple: float):
        self.multiple = multiple  # of the median; 0: none is too slow
        self._times: dict[str, deque[float]] = {}
        self._median: dict[str, float] = {}

    def too_slow(self, job_class: str, elapsed_ms: float) -> bool:
        times = self._times.setdefault(job_class, deque(maxlen=TIMES_KEPT))
        times.append(elapsed_ms)
        if len(times) >= TIMES_LEAST and (job_class not in self._median or len(times) % TIMES_LEAST == 0):
            self._median[job_class] = statistics.median(times)
        usual = self._median.get(job_class)
        return bool(self.multiple and usual and elapsed_ms > self.multiple * usual)


class Uses:
    """One scheduler's uses of what the fleet shares.

    `connect` joins it to the shared state: `machine` the pure part, `tell(event)` brings it an event and
    carries out what it says, `freshen()` has it call `refresh`, which is due at least each half of the margin
    for clocks.
    """

    def __init__(self, host, upstream, cluster, clock, counters: Counters, slow_multiple: float, rng: Random):
        self.host, self.upstream, self.cluster, self.clock = host, upstream, cluster, clock
        self.counters, self.usual, self.rng = counters, Usual(slow_multiple), rng
        self.machine: Shared | None = None
        self.names = [c.name for c in host.settings.classes]  # as shares of load shed are told, by number
        self._cold: dict[str, tuple[float, bool]] = {}  # worker -> its part as sent, and sent to since then
        self._told = SharedNews()
        self._counted: dict[str, int] = {}
        self._loads: Counter = Counter()  # (class, what became of its jobs)
        self._limits: dict[str, Gradient] = {}  # by worker, where connections are shared
        self._failing = False  # an upstream request has failed since the last look: a retry may be wanted
        self._listed: frozenset[str] = frozenset()

    def connect(self, machine: Shared, tell: Callable, freshen: Callable[[], None], adapts: bool) -> None:
        """Join both sides, and take the program's hooks."""
        self.machine, self.tell, share, host = machine, tell, machine.share, self.host
        self.fresh_ms, self.adapts = share.margin_ms / 2, adapts
        host.on_attempt_ended, host.on_cold_use, host.refresh_shared_state = (
            self._ended,
            self._cold_use,
            freshen,
        )
        host.on_send, host.on_final_response, host.adjust_pause = self._sending, self._answered, self._pause
        if share.priorities:
            host.draw_for_job = self._draw
        if machine.watching is not None:
            host.on_probe_report = self._probed
        if CONNECTIONS in share.kinds:
            self.upstream.may_open = self._may_open

    # -- For the shared state ----------------------------------------------------------------------

    def used(self, budget: str, now: float) -> float:
        """What we have spent of a budget within its grace."""
        kind, _, worker = budget.partition("/")
        if kind == CONNECTIONS:
            return float(self.upstream.open_connections(worker))
        part, sent_since = self._cold.get(worker, (0.0, False))
        # guards against lending what has just been sent: until the module tells anew, all of ours counts
        return max(part, self._told.parts.get(worker, 0.0)) if sent_since else part

    def loads(self) -> list[Load]:
        """What became of each class's jobs since the last time."""
        counts, self._loads = self._loads, Counter()
        return [Load(*(counts[name, what] for what in LOADS)) for name in self.names]

    def counted(self) -> dict[str, int]:
        """What was counted since the last time, by the names that the fleet adds up."""
        more = {}
        for counter, name in TOLD.items():
            count = self.counters[counter]
            more[name], self._counted[counter] = count - self._counted.get(counter, 0), count
        return {name: count for name, count in more.items() if count}

    # -- For the program ---------------------------------------------------------------------------

    def refresh(self) -> None:
        """Hold the module and the upstream side to what the fleet shares, as it is now."""
        now, parts, machine = self.clock.now(), {}, self.machine
        kinds = machine.share.kinds
        for uid, placed in self.cluster.listed.items():
            if CONNECTIONS in kinds:
                most = machine.available(f"{CONNECTIONS}/{uid}", now) + NEARLY
                if self.adapts:
                    most = min(most, self._limit(uid).limit)
                self.upstream.set_max_open(uid, int(most))
            born = placed.entry.born_ms
            if COLD in kinds and born and now - born < self.host.settings.cold_ms:
                parts[uid] = machine.available(f"{COLD}/{uid}", now)
        self._list()
        self.host.shared_state_valid_until = now + self.fresh_ms
        watched = machine.watching.watched if machine.watching is not None else None
        shed = dict(zip(self.names, machine.shed(now), strict=False))
        news = SharedNews(parts, frozenset(machine.bad(now)), self._retries(now), watched, shed)
        if parts or news != self._told:
            self._told = news
            self._cold = {uid: part for uid, part in self._cold.items() if uid in parts}
            self.host.deliver(news)

    def _list(self) -> None:
        if self.cluster.listed.keys() != self._listed:
            self._listed = frozenset(self.cluster.listed)
            self._limits = {uid: one for uid, one in self._limits.items() if uid in self._listed}
            self.tell(Workers(self._listed))

    def _retries(self, now: float) -> float:
        retries, failing, self._failing = self.machine.retries, self._failing, False
        if retries is None:
            return float("inf")
        available = retries.available(now)
        if available < 1.0 and failing:
            retries.deny()
        return available

    def learnt(self, worker: str, fields: dict[str, float]) -> None:
        """Another's probe brought a worker's report: as good as one of ours."""
        self.host.deliver(ProbeEnded(worker, Outcome.OK, 0.0, fields))

    # -- The program's hooks -------------------------------------------------------------------------

    def _cold_use(self, use: ColdUse) -> None:
        self._cold[use.worker] = (use.sent, False)
        if use.asked > self._told.parts.get(use.worker, 0.0):
            self.machine.escrow.deny(f"{COLD}/{use.worker}", self.clock.now())

    def _sending(self, worker: str, retry: bool) -> None:
        now, retries = self.clock.now(), self.machine.retries
        if worker in self._told.parts:
            self._cold[worker] = (self._cold.get(worker, (0.0, False))[0], True)
        if retries is not None and retry:
            retries.spend(now)
        elif retries is not None:
            retries.first(now)
        self.counters["fleet.retries" if retry else "fleet.firsts"] += 1

    def _limit(self, worker: str) -> Gradient:
        return self._limits.setdefault(worker, Gradient())

    def _may_open(self, worker: str, have: int) -> bool:
        """Asked at each connection, not read off the last refresh, which may be old where we were held."""
        now, budget = self.clock.now(), f"{CONNECTIONS}/{worker}"
        if self.adapts and have + 1 > max(self._limit(worker).limit, 1.0):
            self.counters["upstream.at_limit"] += 1
            return False
        if have + 1 <= self.machine.available(budget, now) + NEARLY:
            return True
        self.counters["upstream.fleet_denied"] += 1
        self.machine.escrow.deny(budget, now)
        return False

    def _ended(self, worker: str, job_class: str, outcome: Outcome, elapsed_ms: float) -> None:
        if outcome is Outcome.OK:
            if CONNECTIONS in self.machine.share.kinds:
                self._limit(worker).sample(elapsed_ms, self.upstream.open_connections(worker))
            self.tell(Ended(worker, self.usual.too_slow(job_class, elapsed_ms)))
            return
        self._failing = True
        if outcome in AGAINST:
            self.tell(Ended(worker, True))

    def _probed(self, worker: str, report: dict[str, float]) -> None:
        self.tell(Probed(worker, report))

    def _draw(self, job: str) -> float:
        """The same for a job at every scheduler, where its client names it."""
        return xxhash.xxh32_intdigest(job.encode()) / 2**32 if job else self.rng.random()

    def _pause(self, pause_ms: float) -> float:
        """Clients that are refused together are told to come back apart."""
        return pause_ms * self.rng.uniform(PAUSE_LEAST, 1.0)

    def _answered(self, stream, answer) -> None:
        """Count what became of a job, for the fleet's load."""
        arrival, took_ms = stream.arrival, self.clock.now() - stream.arrived_at
        name, cls = arrival.job_class, self.host.classes.get(arrival.job_class)
        self._loads[name, "offered"] += 1
        if isinstance(answer, Served):
            aim = cls.aim_ms + cls.aim_stretch * (arrival.work_hint_ms or 0.0) if cls else 0.0
            self._loads[name, "good" if took_ms <= LATE * aim else "late"] += 1
        elif not stream.attempts and stream.draw < self._told.shed.get(name, 0.0):
            self._loads[name, "shed"] += 1
            self.counters[f"fleet.shed.{name}"] += 1
        else:
            self._loads[name, "bad"] += 1
