"""What a dispatcher remembers of workers, classes, jobs and attempts."""

from collections import deque
from copy import copy
from math import log

from .interface import NEVER_RAN, Outcome
from .sliding_sum import SlidingSum

DEFAULT_SLOTS = 4.0  # until a report gives the number
REPORT_LAG_MS = 500.0  # a report shows the load of about this long ago; own sends since then are added
HINT_GAIN = 0.02  # weight of one finished job in the estimate of how good hints are
MAX_KEYS = 20  # keys remembered for each worker; a key's match falls evenly from 1 to 0 over them


class Worker:
    def __init__(self, entry, now, rank):
        self.id, self.rank = entry.worker, rank  # the lowest ranks make up the dispatcher's own subset
        self.slots, self.slots_known = DEFAULT_SLOTS, False
        self.prior_slope, self.slope, self.probed_at = 1.0, 1.0, now  # slope: run time there / at speed 1
        self.reset(entry, now)

    def reset(self, entry, now):
        """Forget what was learned: the worker is new, or its process has restarted."""
        self.zone, self.kind, self.cell, self.power = entry.zone, entry.kind, entry.cell, entry.power
        self.started_at, self.in_service = entry.born_ms, True
        self.own_slots = self.own_average = self.other_slots = 0.0  # in use by own jobs, by others'
        self.own_average_at, self.last_contact_at, self.measured_at = now, now, -1e9  # measured: other_slots
        self.unfinished = {}  # own attempts there -> None, oldest first
        self.lateness, self.lateness_at = 0.0, now  # by how much the last that ended was overdue
        self.pace = 0.0  # log of observed over forecast run time
        self.full_until, self.fulls = 0.0, 0  # fulls: FULL outcomes, less the jobs finished since
        self.queue_room = float("inf")  # slots beyond its own that it was seen to take, until it answers FULL
        self.ejections, self.ejected_until, self.probation = 0, 0.0, False  # until a new job is done
        self.failures, self.failed_probes = 0.0, 0
        self.cold_work = SlidingSum()  # sent while cold
        self.large_job_since, self.large_job_delay = None, 1.0  # see Dispatcher._cold_allows
        self.cold_share, self.cold_requested = None, 0.0  # own part of its cold budget; part needed
        self.keys = {}  # key -> None, oldest first

    def reported_own(self, now):
        """Own slots in use there as a report that arrives now would show them."""
        gap = now - self.own_average_at
        return self.own_average + (self.own_slots - self.own_average) * gap / (gap + REPORT_LAG_MS)

    def add_own(self, slots, now):
        self.own_average, self.own_average_at = self.reported_own(now), now
        self.own_slots = max(0.0, self.own_slots + slots)

    def learn_slots(self, slots):
        """Reports count jobs, and a job may hold several slots: high readings count more than low ones."""
        if slots >= 1 and slots != self.slots:
            weight = 1.0 if not self.slots_known else 0.5 if slots > self.slots else 0.05
            self.slots += weight * (slots - self.slots)
        self.slots_known = True


class ClassState:
    """A class and what is learned of its run times."""

    def __init__(self, cls, sheddable):
        self.cls, self.sheddable = cls, sheddable
        self.runs = deque(maxlen=48)  # run times at speed 1
        self.median = self.mean = max(0.5 * cls.aim_ms, 1.0)  # an aim is set so that usual jobs meet it
        self.max_time_left = 0.0
        self.in_time, self.offered = 1.0, 0.0  # recent share of its jobs in time; worth submitted so far
        self.variance, self.covariance = 0.5, 0.25  # of hints' logs, and with run times' logs

    def updated(self, cls, sheddable):
        """The same state under other settings; open jobs keep the old settings."""
        state = self if (cls, sheddable) == (self.cls, self.sheddable) else copy(self)
        state.cls, state.sheddable = cls, sheddable
        return state

    def expected_run(self, hint):
        """Expected run time: the hint, shrunk towards the mean the less finished jobs bear hints out."""
        trust = min(max(self.covariance / self.variance, 0.0), 1.0)
        return self.median if hint is None else self.mean ** (1 - trust) * hint**trust

    def learn_hint(self, hint, run):
        """Learn from a finished job how good its hint was."""
        off = log(max(hint, 1.0) / self.median)
        self.variance += HINT_GAIN * (off * off - self.variance)
        self.covariance += HINT_GAIN * (off * log(max(run, 1.0) / self.median) - self.covariance)

    def learn_run(self, run):
        self.runs.append(run)
        if len(self.runs) < 8 or len(self.runs) % 4 == 0 or len(self.runs) == 48:
            ranked = sorted(self.runs)
            self.median = ranked[len(ranked) // 2]
            self.mean = max(sum(ranked) / len(ranked), self.median)


class Job:
    """A request that is owed a response or has unfinished attempts; `probed`: worker -> did it reply."""

    def __init__(self, event, state, max_attempts, now):
        cls, self.max_attempts = state.cls, max_attempts
        self.id, self.state, self.key, self.kind = event.request, state, event.key, cls.kind
        self.slots = max(event.slots, event.memory, 0.1)  # a worker has a unit of memory for each slot
        self.hint, self.hinted = event.work_hint_ms, event.work_hint_ms is not None
        self.run = state.expected_run(self.hint)  # at speed 1
        time_left = max(event.time_left_ms, 0.0)
        state.max_time_left = max(state.max_time_left, time_left)
        # guards against retries that count as new jobs: the aim runs from the client's first attempt
        elapsed = state.max_time_left - time_left
        self.allowed = cls.aim_ms + cls.aim_stretch * self.run  # from the first attempt, to be in time
        self.aim_at = now + min(self.allowed, cls.deadline_ms) - elapsed
        self.deadline, self.not_before = now + time_left, now
        self.attempts, self.unfinished, self.open, self.tried, self.probed = [], 0, True, (), {}
        self.sheddable, self.worth = state.sheddable, cls.worth

    def was_tried(self):
        return any(a.outcome is not Outcome.MOOT for a in self.attempts)

    def possible_runs(self):
        return [a for a in self.attempts if a.outcome not in NEVER_RAN]


class Attempt:
    """One attempt; `sample` holds the terms of its forecast for training (FinishTimeModel.train)."""

    def __init__(self, job, worker, sample, now, due_at):
        self.job, self.worker, self.sample, self.slots, self.cancelled = job, worker, sample, job.slots, False
        self.number, self.sent_at, self.began_at, self.outcome = len(job.attempts), now, None, None
        self.due_at = due_at  # when it ends if it need not wait
