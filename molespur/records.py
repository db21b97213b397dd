"""What a dispatcher remembers of workers, classes, jobs and attempts."""

from collections import deque
from copy import copy
from math import log

from .interface import NEVER_RAN, Outcome
from .sliding_sum import SlidingSum

DEFAULT_SLOTS = 4.0  # until a report tells better
LAG_MS = 500.0  # a report tells of about this long ago; own sends since are added
HINT_GAIN = 0.02  # weight of one finished job in what hints are held to tell
KEYS_KEPT = 20  # keys remembered for each worker; a key's match falls evenly from 1 to 0 over them


class Worker:
    """What is known of one worker."""

    def __init__(self, entry, now, rank):
        self.id, self.rank = entry.worker, rank  # the lowest ranks make up the dispatcher's own subset
        self.slots, self.slots_known = DEFAULT_SLOTS, False
        self.base, self.slope, self.probed = 1.0, 1.0, now
        self.forget(entry, now)

    def forget(self, entry, now):
        """Start anew: a first sight, or the process has restarted."""
        self.zone, self.kind, self.cell, self.power = entry.zone, entry.kind, entry.cell, entry.power
        self.born, self.list_ok = entry.born_ms, True
        self.own = self.own_avg = self.others = 0.0
        self.own_avg_at, self.heard, self.seen = now, now, -1e9
        self.unended = {}  # own attempts there -> None, oldest first
        self.lag, self.lag_at = 0.0, now  # by how much the last that ended was overdue
        self.pace = 0.0  # log of observed over forecast run time
        self.full_until, self.fulls = 0.0, 0
        self.room = float("inf")  # slots over its own that it was seen to take, until it answers full
        self.strikes, self.ejected_until, self.probation, self.faults, self.mute = 0, 0.0, False, 0.0, 0
        self.budget = SlidingSum()  # work sent while cold
        self.lump_from, self.lump_part = None, 1.0  # since when a large job waits, and its part
        self.part, self.part_asked = None, 0.0  # of its budget while cold: what is ours, what jobs asked for
        self.keys = {}  # key -> None, oldest first

    def recent(self, now):
        """Own slots there as a report that arrives now would show them."""
        gap = now - self.own_avg_at
        return self.own_avg + (self.own - self.own_avg) * gap / (gap + LAG_MS)

    def count(self, slots, now):
        """Add own slots there."""
        self.own_avg, self.own_avg_at = self.recent(now), now
        self.own = max(0.0, self.own + slots)

    def learn_slots(self, slots):
        """Reports count jobs, and a job may hold several slots: high readings count more than low ones."""
        if slots >= 1 and slots != self.slots:
            weight = 1.0 if not self.slots_known else 0.5 if slots > self.slots else 0.05
            self.slots += weight * (slots - self.slots)
        self.slots_known = True


class ClassState:
    """A class with what is learned of its run times."""

    def __init__(self, cls, sheddable):
        self.cls, self.sheddable = cls, sheddable
        self.runs = deque(maxlen=48)  # run times at speed 1
        self.median = self.mean = max(0.5 * cls.aim_ms, 1.0)  # an aim is set so that usual jobs meet it
        self.longest_left = 0.0
        self.in_time, self.offered = 1.0, 0.0  # share of its jobs in time lately; worth asked for so far
        self.spread, self.shared = 0.5, 0.25  # variance of hints' logs, and their covariance with run times'

    def under(self, cls, sheddable):
        """The same with all that was learnt, for other settings; jobs that are open keep the old."""
        state = self if (cls, sheddable) == (self.cls, self.sheddable) else copy(self)
        state.cls, state.sheddable = cls, sheddable
        return state

    def expect(self, hint):
        """Run time of a job: its hint, shrunk towards the mean as far as hints have told nothing."""
        trust = min(max(self.shared / self.spread, 0.0), 1.0)
        return self.median if hint is None else self.mean ** (1 - trust) * hint**trust

    def weigh(self, hint, run):
        """Learn from a finished job how much its hint told."""
        off = log(max(hint, 1.0) / self.median)
        self.spread += HINT_GAIN * (off * off - self.spread)
        self.shared += HINT_GAIN * (off * log(max(run, 1.0) / self.median) - self.shared)

    def learn(self, run):
        self.runs.append(run)
        if len(self.runs) < 8 or len(self.runs) % 4 == 0 or len(self.runs) == 48:
            ranked = sorted(self.runs)
            self.median = ranked[len(ranked) // 2]
            self.mean = max(sum(ranked) / len(ranked), self.median)


class Job:
    """A request that is owed an answer, or whose attempts are still out."""

    def __init__(self, event, state, most, now):
        cls, self.most = state.cls, most  # attempts
        self.id, self.state, self.key, self.bound = event.request, state, event.key, cls.kind
        self.ask = max(event.slots, event.memory, 0.1)  # a worker has a unit of memory for each slot
        self.hint, self.hinted = event.work_hint_ms, event.work_hint_ms is not None
        self.run = state.expect(self.hint)  # at speed 1
        left = max(event.time_left_ms, 0.0)
        state.longest_left = max(state.longest_left, left)
        # guards against retries counted as fresh: the aim runs from the client's first try
        gone = state.longest_left - left
        self.allowed = cls.aim_ms + cls.aim_stretch * self.run  # time to be in, from its first try
        self.aim_at = now + min(self.allowed, cls.deadline_ms) - gone
        self.deadline, self.not_before = now + left, now
        self.attempts, self.out, self.open, self.tried, self.asked = [], 0, True, (), {}  # asked: who said
        self.sheddable, self.worth = state.sheddable, cls.worth

    def is_tried(self):
        return any(a.outcome is not Outcome.MOOT for a in self.attempts)

    def may_have_run(self):
        return [a for a in self.attempts if a.outcome not in NEVER_RAN]


class Attempt:
    """One attempt, with the terms of its forecast for training."""

    def __init__(self, job, worker, sample, now, due):
        self.job, self.worker, self.sample, self.ask, self.cancelled = job, worker, sample, job.ask, False
        self.number, self.sent, self.began, self.outcome = len(job.attempts), now, None, None
        self.due = due  # when it ends if it need not wait
