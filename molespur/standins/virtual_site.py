"""Many schedulers' decisions, workers with slots and a queue, and clients that try again, on one clock.

Each scheduler is the decision module itself; there are no sockets and no real time, and all is deterministic
from one seed.  For tests and measurements of what many schedulers do together under load: goodput, retries,
probes, and whether a site comes back to normal once a crowd has gone.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .. import interface as io
from ..fleet import shared
from ..fleet.sharing import SharingConfig
from ..fleet.shedding import Load
from ..interface import FleetUpdate, JobClass, Outcome, Settings, UpdateMode, WorkerEntry
from ..logic import Dispatcher
from .virtual_state import VirtualState

WIRE_MS = 1.0  # each way between a scheduler and a worker
CLASSES = (
    JobClass("lookup", 500.0, 2000.0, worth=1.0, priority=0),
    JobClass("assessment", 500.0, 2000.0, worth=5.0, priority=1),
)
SHARES = (0.7, 0.3)
GOOD_MS = 600.0  # from the first try to the answer: the aim, and a little


@dataclass(slots=True)
class Job:
    """A client's job: when it was due, its class, its tries so far."""

    due: float
    job_class: str
    key: int
    tries: int = 0


@dataclass(slots=True)
class Done:
    job: Job
    end: str  # served, refused or failed
    took_ms: float

    @property
    def good(self) -> bool:
        return self.end == "served" and self.took_ms <= GOOD_MS


@dataclass
class Worker:
    """A worker as it is: `slots` jobs at once, a bounded queue."""

    slots: int
    queue: int
    up: bool = True
    busy: int = 0
    waiting: deque = field(default_factory=deque)  # (scheduler, stream, attempt, when sent)
    arrived: Counter = field(default_factory=Counter)  # by second
    probed: Counter = field(default_factory=Counter)  # probes by second


class Site:
    """n schedulers before `workers` workers; `rate` jobs a second in all.

    `tries` of a client at one job, `patient` clients come back after the pause they are told, others at once.
    `more` are further Settings.
    """

    def __init__(
        self, n: int, workers: int, slots: int = 2, work_ms: float = 100.0, queue: int = 8, seed: int = 1,
        tries: int = 4, patient: bool = False, hinted: bool = True, **more,
    ):  # fmt: skip
        self.n, self.work_ms, self.tries, self.patient, self.hinted = n, work_ms, tries, patient, hinted
        self.rng, self.now, self.rate = random.Random(seed), 0.0, 0.0
        given = {"classes": CLASSES, "balancers": n, "max_attempts": 3, "may_cancel": True,
                 "advises_pause": True, "max_pause_ms": 1000.0} | more  # fmt: skip
        self.settings = Settings(**given)
        self.schedulers = [Dispatcher(self.settings, seed * 1000 + i) for i in range(n)]
        self.workers = {f"w{k}": Worker(slots, queue) for k in range(workers)}
        self.done: list[Done] = []
        self.counts: Counter = Counter()  # first attempts, retries, probes, turned away, served at workers
        self._queue: list = []
        self._order = self._stream = 0
        self._open: dict[int, list] = {}  # stream -> [attempts, over, job, scheduler, since]
        entries = tuple(WorkerEntry(name) for name in self.workers)
        for i, one in enumerate(self.schedulers):
            self.act(i, one.handle(0.0, io.Started()))
            self.act(i, one.handle(0.0, FleetUpdate(UpdateMode.COMPLETE, entries)))
        self._arrivals()

    @property
    def capacity(self) -> float:
        """Jobs a second that all workers together can do."""
        return sum(w.slots for w in self.workers.values() if w.up) * 1000 / self.work_ms

    # -- The clock -----------------------------------------------------------------------------

    def at(self, when: float, call: Callable, *args) -> None:
        self._order += 1
        heapq.heappush(self._queue, (when, self._order, call, args))

    def run(self, ms: float) -> None:
        """Play so much time."""
        until = self.now + ms
        while self._queue and self._queue[0][0] <= until:
            when, _, call, args = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            call(*args)
        self.now = until

    def play(self, rate: float, ms: float, tail_ms: float = 0.0) -> list[Done]:
        """Offer so much for a time, and go on for `tail_ms`; what became of the jobs due in that time."""
        self.rate, began = rate, self.now
        self.run(ms)
        ended = self.now
        self.run(tail_ms)
        return [one for one in self.done if began <= one.job.due < ended]

    # -- What a site of schedulers that share state looks at --------------------------------------

    def sent(self, i: int, number: int, worker: str) -> None:
        """Scheduler i made an attempt."""

    def ended(self, i: int, worker: str, outcome: Outcome) -> None:
        """An attempt of scheduler i ended."""

    def probed(self, i: int, worker: str, report: dict[str, float]) -> None:
        """A probe of scheduler i brought a report."""

    def answered(self, i: int, job: Job, end: str, took_ms: float) -> None:
        """Scheduler i gave a job's final answer."""

    # -- Clients -------------------------------------------------------------------------------

    def _arrivals(self) -> None:
        if self.rate > 0:
            names = [c.name for c in self.settings.classes]
            job = Job(self.now, self.rng.choices(names, SHARES[: len(names)])[0], self.rng.getrandbits(32))
            self._submit(job)
        gap = self.rng.expovariate(self.rate / 1000) if self.rate > 0 else 20.0
        self.at(self.now + gap, self._arrivals)

    def _submit(self, job: Job) -> None:
        job.tries += 1
        self.counts["client tries"] += 1
        self._stream += 1
        i, left = self.rng.randrange(self.n), 2000.0 - (self.now - job.due)
        self._open[self._stream] = [0, False, job, i, self.now]
        hint = self.work_ms if self.hinted else None
        event = io.Submitted(self._stream, job.job_class, left, work_hint_ms=hint, draw=job.key / 2**32)
        self.act(i, self.schedulers[i].handle(self.now, event))

    def _end(self, stream: int, end: str, pause_ms: float = 0.0) -> None:
        held = self._open[stream]
        if held[1]:
            return
        held[1], job = True, held[2]
        self.answered(held[3], job, end, self.now - held[4])
        wait = max(pause_ms, 10.0) if self.patient else 10.0
        if end == "refused" and job.tries < self.tries and self.now + wait - job.due < 1900.0:
            self.at(self.now + wait, self._submit, job)
            return
        self.counts[end] += 1
        self.done.append(Done(job, end, self.now - job.due))

    # -- Schedulers ----------------------------------------------------------------------------

    def tell(self, i: int, event) -> None:
        """Give scheduler i an event."""
        self.act(i, self.schedulers[i].handle(self.now, event))

    def act(self, i: int, actions: list) -> None:
        for action in actions:
            if isinstance(action, io.Send):
                held = self._open[action.request]
                number, held[0] = held[0], held[0] + 1
                self.counts["retries" if number else "first attempts"] += 1
                self.sent(i, number, action.worker)
                self.at(self.now + WIRE_MS, self._arrive, i, action.request, number, action.worker, self.now)
            elif isinstance(action, io.SetTimer):
                self.at(self.now + action.delay_ms, self.tell, i, io.TimerFired(action.tag))
            elif isinstance(action, io.Probe):
                self.counts["probes"] += 1
                self.workers[action.worker].probed[int(self.now // 1000)] += 1
                self.at(self.now + 2 * WIRE_MS, self._probed, i, action.worker)
            elif isinstance(action, io.Refuse):
                self._end(action.request, "refused", action.pause_ms)
            elif isinstance(action, io.Fail):
                self._end(action.request, "failed")
            elif isinstance(action, io.Cancel):
                self._cancel(action.request, action.attempt)

    def report(self, name: str) -> dict[str, float]:
        """A worker's load report, as it is."""
        w = self.workers[name]
        held, queue = float(w.busy + len(w.waiting)), float(len(w.waiting))
        return {"inflight": held, "queue": queue, "free_slots": float(max(w.slots - w.busy, 0))}

    def _probed(self, i: int, name: str) -> None:
        up = self.workers[name].up
        outcome, report = (Outcome.OK, self.report(name)) if up else (Outcome.CONNECT_FAILED, None)
        self.tell(i, io.ProbeEnded(name, outcome, 2 * WIRE_MS, report))
        if up:
            self.probed(i, name, report)

    # -- Workers -------------------------------------------------------------------------------

    def lose(self, name: str) -> None:
        """A worker dies: what it holds is reset, new connections are refused."""
        w = self.workers[name]
        w.up, w.busy, waiting = False, 0, list(w.waiting)
        w.waiting.clear()
        for i, stream, number, sent in waiting:
            self._ended(i, stream, number, name, Outcome.RESET, sent)

    def _arrive(self, i: int, stream: int, number: int, name: str, sent: float) -> None:
        w = self.workers[name]
        w.arrived[int(self.now // 1000)] += 1
        if not w.up:
            self._ended(i, stream, number, name, Outcome.CONNECT_FAILED, sent)
        elif w.busy < w.slots:
            self._begin(w, i, stream, number, name, sent)
        elif len(w.waiting) < w.queue:
            w.waiting.append((i, stream, number, sent))
        else:
            self.counts["turned away"] += 1
            self.at(self.now + WIRE_MS, self._ended, i, stream, number, name, Outcome.FULL, sent)

    def _begin(self, w: Worker, i: int, stream: int, number: int, name: str, sent: float) -> None:
        w.busy += 1
        self.at(self.now + self.work_ms, self._finish, i, stream, number, name, sent)

    def _finish(self, i: int, stream: int, number: int, name: str, sent: float) -> None:
        w = self.workers[name]
        if not w.up:
            self._ended(i, stream, number, name, Outcome.RESET, sent)
            return
        w.busy -= 1
        self.counts["served at workers"] += 1
        self._ended(i, stream, number, name, Outcome.OK, sent)
        if w.waiting and w.busy < w.slots:
            begun = w.waiting.popleft()
            self._begin(w, *begun[:3], name, begun[3])

    def _cancel(self, stream: int, number: int) -> None:
        """What waits is called off; what runs goes on to its end."""
        for name, w in self.workers.items():
            for held in w.waiting:
                if held[1:3] == (stream, number):
                    w.waiting.remove(held)
                    self._ended(held[0], stream, number, name, Outcome.CANCELLED, held[3])
                    return

    def _ended(self, i: int, stream: int, number: int, name: str, outcome: Outcome, sent: float) -> None:
        if outcome is Outcome.OK:
            self._end(stream, "served")
        self.ended(i, name, outcome)
        over = self._open[stream][1]
        self.tell(i, io.AttemptEnded(stream, number, outcome, self.now - sent, over, None))


class FleetSite(Site):
    """The same with schedulers that share state over the fleet's network, in the same virtual time."""

    STEP_MS, REFRESH_MS = 10.0, 50.0

    def __init__(self, n: int, workers: int, share: SharingConfig, **more):
        self.state = VirtualState(n, share, seed=more.get("seed", 1))
        self.share, self._loads = share, [Counter() for _ in range(n)]
        self.failing, self.learnt = [False] * n, 0
        self.state.on_note = self._note
        self.state.start_settled()
        self.state.run(8_000)
        self._began = self.state.now
        super().__init__(n, workers, **more)
        self.state.loads = self._take_loads
        for i in range(n):
            self.state.tell(i, shared.WorkersListed(frozenset(self.workers)))
        self._step()

    def _step(self) -> None:
        self.state.run(self._began + self.now)
        if int(self.now) % int(self.REFRESH_MS) < self.STEP_MS:
            for i, one in enumerate(self.state.shared):
                if one is not None:
                    self.tell(i, self.build_update(i, one, self.state.clock(i)))
        self.at(self.now + self.STEP_MS, self._step)

    def build_update(self, i: int, one: shared.SharedState, now: float) -> io.SharedStateUpdate:
        """The update of scheduler i's shared state for its decision module."""
        retries = float("inf")
        if one.retries is not None:
            retries = one.retries.available(now)
            if retries < 1 and self.failing[i]:
                one.retries.record_denial()
            self.failing[i] = False
        names = [c.name for c in self.settings.classes]
        return io.SharedStateUpdate(
            bad_workers=frozenset(one.bad_workers(now)), retries_left=retries,
            probe_workers=one.watching.watched if one.watching is not None else None,
            shed_shares=dict(zip(names, one.shed_fractions(now), strict=False)),
        )  # fmt: skip

    def _take_loads(self, i: int) -> list[Load]:
        counts, self._loads[i] = self._loads[i], Counter()
        return [Load(*(counts[c.name, what] for what in ("offered", "shed", "good", "late", "bad")))
                for c in self.settings.classes]  # fmt: skip

    def _note(self, i: int, action) -> None:
        if isinstance(action, shared.ReportReceived):
            self.learnt += 1
            self.at(self.now, self.tell, i, io.ProbeEnded(action.worker, Outcome.OK, 0.0, action.fields))

    def sent(self, i: int, number: int, worker: str) -> None:
        one, now = self.state.shared[i], self.state.clock(i)
        if one.retries is not None:
            one.retries.spend(now) if number else one.retries.record_first_attempt(now)

    def ended(self, i: int, worker: str, outcome: Outcome) -> None:
        if outcome is not Outcome.OK:
            self.failing[i] = True
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMEOUT):
            self.state.tell(i, shared.RequestEnded(worker, outcome is not Outcome.OK))

    def probed(self, i: int, worker: str, report: dict[str, float]) -> None:
        self.state.tell(i, shared.ReportProbed(worker, report))

    def answered(self, i: int, job: Job, end: str, took_ms: float) -> None:
        parts = dict(zip((c.name for c in self.settings.classes),
                         self.state.shared[i].shed_fractions(self.state.clock(i)), strict=False))  # fmt: skip
        what = "bad" if end != "served" else "good" if took_ms <= GOOD_MS else "late"
        if end == "refused" and job.key / 2**32 < parts.get(job.job_class, 0.0) and took_ms < 1.0:
            what = "shed"
        self._loads[i][job.job_class, "offered"] += 1
        self._loads[i][job.job_class, what] += 1
