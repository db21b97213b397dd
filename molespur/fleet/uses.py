"""Between the program's parts and the shared state: what is spent of budgets, what was seen of workers.

The program's side of `shared.Shared`: it tells what this scheduler has spent of each budget, holds the module
and the upstream side to what may be spent, and tells what became of upstream requests.  Budgets are
`cold/<worker>`, as parts of all that a cold worker may be sent (1 is all), and `conn/<worker>`, connections.
"""

import statistics
from collections import deque
from collections.abc import Callable

from ..interface import ColdUse, Outcome, SharedNews
from ..net.counters import Counters
from .sharing import Kind, Share

COLD, CONNECTIONS = "cold", "conn"
AGAINST = (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMEOUT)
NEARLY = 1e-6  # amounts are sums of fractions
TIMES_KEPT, TIMES_LEAST = 64, 16  # answers of a class that tell what is usual, kept and at least
TOLD = {  # counts over the fleet: the program's counter and its name among them
    "in.streams": "streams",
    "sent.requests": "sent",
    "sent.probes": "probes",
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
    """One scheduler's uses of shared budgets.

    `available(budget, now)`, `deny(budget, now)` and `saw(worker, failed)` lead to the shared state;
    `freshen()` has it call `refresh`, which is due at least each half of the margin for clocks.
    """

    def __init__(self, host, upstream, cluster, clock, counters: Counters, slow_multiple: float):
        self.host, self.upstream, self.cluster, self.clock = host, upstream, cluster, clock
        self.counters, self.usual = counters, Usual(slow_multiple)
        self.available: Callable[[str, float], float] | None = None
        self.deny: Callable[[str, float], None] | None = None
        self.saw: Callable[[str, bool], None] | None = None
        self.kinds: dict[str, Kind] = {}
        self._cold: dict[str, tuple[float, bool]] = {}  # worker -> its part as sent, and sent to since then
        self._told = SharedNews()
        self._counted: dict[str, int] = {}

    def connect(self, available, deny, saw, freshen, share: Share) -> None:
        """Join both sides, and take the program's hooks."""
        self.available, self.deny, self.saw = available, deny, saw
        self.kinds, self.fresh_ms = share.kinds, share.margin_ms / 2
        self.host.observe, self.host.cold_use, self.host.freshen = self._ended, self._cold_use, freshen
        if COLD in self.kinds:
            self.host.sending = self._sending
        if CONNECTIONS in self.kinds:
            self.upstream.may_open = self._may_open

    # -- For the shared state ----------------------------------------------------------------------

    def used(self, budget: str, now: float) -> float:
        """What we have spent of a budget within its grace."""
        kind, _, worker = budget.partition("/")
        if kind == CONNECTIONS:
            return float(self.upstream.open_to(worker))
        part, sent_since = self._cold.get(worker, (0.0, False))
        # guards against lending what has just been sent: until the module tells anew, all of ours counts
        return max(part, self._told.parts.get(worker, 0.0)) if sent_since else part

    def counted(self) -> dict[str, int]:
        """What was counted since the last time, by the names that the fleet adds up."""
        more = {}
        for counter, name in TOLD.items():
            count = self.counters[counter]
            more[name], self._counted[counter] = count - self._counted.get(counter, 0), count
        return {name: count for name, count in more.items() if count}

    # -- For the program ---------------------------------------------------------------------------

    def refresh(self, bad: frozenset[str]) -> None:
        """Hold the module and the upstream side to what may be spent now."""
        now, parts = self.clock.now(), {}
        for uid, placed in self.cluster.placed.items():
            if CONNECTIONS in self.kinds:
                self.upstream.bound(uid, int(self.available(f"{CONNECTIONS}/{uid}", now) + NEARLY))
            born = placed.entry.born_ms
            if COLD in self.kinds and born and now - born < self.host.settings.cold_ms:
                parts[uid] = self.available(f"{COLD}/{uid}", now)
        self.host.fresh_until = now + self.fresh_ms
        news = SharedNews(parts, bad)
        if parts or news != self._told:
            self._told = news
            self._cold = {uid: part for uid, part in self._cold.items() if uid in parts}
            self.host.deliver(news)

    def _cold_use(self, use: ColdUse) -> None:
        self._cold[use.worker] = (use.sent, False)
        if use.asked > self._told.parts.get(use.worker, 0.0):
            self.deny(f"{COLD}/{use.worker}", self.clock.now())

    def _sending(self, worker: str) -> None:
        if worker in self._told.parts:
            self._cold[worker] = (self._cold.get(worker, (0.0, False))[0], True)

    def _may_open(self, worker: str, have: int) -> bool:
        """Asked at each connection, not read off the last refresh, which may be old where we were held."""
        now, budget = self.clock.now(), f"{CONNECTIONS}/{worker}"
        if have + 1 <= self.available(budget, now) + NEARLY:
            return True
        self.counters["upstream.fleet_denied"] += 1
        self.deny(budget, now)
        return False

    def _ended(self, worker: str, job_class: str, outcome: Outcome, elapsed_ms: float) -> None:
        if outcome is Outcome.OK:
            self.saw(worker, self.usual.too_slow(job_class, elapsed_ms))
        elif outcome in AGAINST:
            self.saw(worker, True)
