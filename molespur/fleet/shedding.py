"""Load shedding by the fleet as one: the fraction of each class that all schedulers shed.  Pure.

Each member reports to judges how many jobs it was offered and how they ended.  The acting judge adds the
reports up and controls an *admission rate*: the jobs a second that are admitted.  What is offered beyond it
is shed, the lowest priority first, at all schedulers alike.

The rate starts at what the fleet was seen to serve, in time or late: the maximum over the last seconds, as
BBR estimates a link's rate by the maximum that it was seen to carry.  While more than `BAD_HIGH` of the
admitted jobs end badly (late, refused, failed) the rate falls to a little less than what is served, one step
a round, since jobs may wait for seconds.  While fewer than `BAD_LOW` do it rises, twice as far each round, so
that a rate which is far too low (found while workers warmed up or were away) does not starve the fleet for
long.  Between the two it stays as it is (hysteresis).

The fractions are set so that the jobs admitted approach the rate, one step each `CHANGE_MS`, once the last
step has taken effect.  They follow from the jobs admitted, not from the attempts offered: clients that are
shed try again and count many times.  A class of which the fraction f is shed has 1 / (1 - f) times as many
jobs as were admitted.

The judges are a few members chosen by hashing.  The first one acts, the others where it has decided nothing
for a while.  The decision is a register like a judgement, so that all members shed the same.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from .rendezvous import pick
from .sharing import SharingConfig

BAD_HIGH, BAD_LOW = 0.10, 0.05  # share of the admitted jobs that end badly
DECREASE = 0.95  # factor on the rate in a round with too many bad ends
MIN_SERVED_SHARE = 0.90  # the rate does not fall below this share of what is served
INCREASE = 0.03  # first rise of the rate after a fall, doubled at each further one
MAX_INCREASE = 1.0
ROUND_MS = 1_500.0  # a change of the rate has taken effect by then
SERVED_WINDOW_MS = 10_000.0  # over which the maximum served rate is taken
SERVED_MEAN_MS = 2_000.0  # span of each mean of which that is the maximum
CALM_MS = 3_000.0  # with less offered than the rate for this long, the overload has ended
MAX_FRACTION = 0.96  # of a class that is shed: the admitted jobs show how many there are
CHANGE_MS = 1_500.0  # interval between two changes of the fractions
LEVEL_STEP = 0.2  # max rise of the level (in priorities) at one change
RETRY_SHARE = 0.8  # of the attempts admitted and refused, the share taken to be of jobs that come again
SURGE_END_SHARE = 0.6  # with less offered than this share of the last sum, the surge ends: start a new mean
SURGE_START_MS = 2_000.0  # start of a surge, in which changes come faster, each up to the end of a priority
MIN_ENDED_JOBS = 10  # fewer ended jobs than this are no evidence
SHED_TTL_MS = 3_000.0  # how long a decision of the acting judge holds unless it is renewed
REPORT_INTERVALS = 2.5  # report intervals after which a member's load expires
FULL_RATE_MEMBERS = 50  # members up to which load is reported each `load_ms`
STEPS = 250  # steps of a class's fraction in a register's byte


@dataclass(frozen=True, slots=True)
class Load:
    """Jobs of one class over a time: offered, shed by the fleet's decision, served in time, served late, and
    refused or failed."""

    offered: int = 0
    shed: int = 0
    good: int = 0
    late: int = 0
    bad: int = 0

    def __add__(self, other: "Load") -> "Load":
        return Load(self.offered + other.offered, self.shed + other.shed, self.good + other.good,
                    self.late + other.late, self.bad + other.bad)  # fmt: skip

    @property
    def bad_share(self) -> float:
        """The share of the admitted jobs that ended badly; 0 where too few ended to tell."""
        ended = self.good + self.late + self.bad
        return (self.late + self.bad) / ended if ended >= MIN_ENDED_JOBS else 0.0


class AdmissionRate:
    """The acting judge's state; `jobs_per_s` is None while nothing has to be shed."""

    def __init__(self):
        self.jobs_per_s: float | None = None
        self._served: deque[tuple[float, float, float]] = deque()  # (when, jobs served, over how long in s)
        self._recent: deque[list[float]] = deque(maxlen=2)  # jobs offered a second, by class
        self._fractions: list[float] = []
        self._in_force: list[float] = []  # the fractions while the jobs now reported were admitted
        self._level = 0.0
        self._changed_at = float("-inf")
        self._moved_at = self._busy_at = self._surge_at = float("-inf")
        self._first_served_at = float("inf")
        self._increase, self._round = INCREASE, Load()  # `_round`: what was reported since the rate moved

    def served_per_s(self, now: float) -> float:
        """The maximum rate that the fleet was recently seen to serve, as a mean over some reports."""
        while self._served and now - self._served[0][0] > SERVED_WINDOW_MS:
            self._served.popleft()
        most, served = 0.0, list(self._served)
        for at, _, _ in served:
            window = [(jobs, span) for when, jobs, span in served if at - SERVED_MEAN_MS < when <= at]
            most = max(most, sum(jobs for jobs, _ in window) / sum(span for _, span in window))
        return most

    def _record(self, now: float, loads: list[Load], seconds: float) -> Load:
        total = sum(loads, Load())
        self._served.append((now, total.good + total.late, seconds))
        if total.good + total.late:
            self._first_served_at = min(self._first_served_at, now)
        return total

    def update(self, now: float, loads: list[Load], seconds: float) -> None:
        """Move the rate by what all members reported of the last seconds."""
        total = self._record(now, loads, seconds)
        served = self.served_per_s(now)
        if self.jobs_per_s is None:
            if total.bad_share > BAD_HIGH and served > 0:
                self.jobs_per_s, self._round = served, Load()
                # a short history says little about what can be served: workers may have just started
                self._increase = (
                    INCREASE if now - self._first_served_at > 2 * SERVED_MEAN_MS else MAX_INCREASE
                )
                self._moved_at = self._busy_at = self._surge_at = now
            return
        if any(self._fractions) or total.offered / seconds > self.jobs_per_s:
            self._busy_at = now
        if now - self._busy_at > CALM_MS:
            self.jobs_per_s = None
            return
        self._round += total
        if now - self._moved_at < ROUND_MS:
            return
        bad_share, self._round, self._moved_at = self._round.bad_share, Load(), now
        if bad_share > BAD_HIGH:
            self.jobs_per_s = max(DECREASE * min(self.jobs_per_s, served), MIN_SERVED_SHARE * served)
        elif bad_share < BAD_LOW:
            self.jobs_per_s *= 1 + self._increase
        self._increase = min(2 * self._increase, MAX_INCREASE) if bad_share < BAD_LOW else INCREASE

    def fractions(self, now: float, loads: list[Load], seconds: float, priorities: list[int]) -> list[float]:
        """The fraction of each class to shed from now on, the lowest priority first."""
        # guards against fractions that have just risen: few of the reported jobs were admitted under them
        before, self._in_force = self._in_force or [0.0] * len(loads), list(self._fractions)
        offered = [
            (one.offered - one.shed - RETRY_SHARE * one.bad) / seconds / (1.0 - fraction)
            for one, fraction in zip(loads, before, strict=True)
        ]
        if self._recent and sum(offered) < SURGE_END_SHARE * sum(self._recent[-1]):
            self._recent.clear()
        self._recent.append(offered)
        if self.jobs_per_s is None:
            self._fractions, self._level, self._changed_at = [0.0] * len(loads), 0.0, now - CHANGE_MS
            return self._fractions
        jobs = [sum(found) / len(found) for found in zip(*self._recent, strict=True)]
        wanted = _level(jobs, sum(jobs) - self.jobs_per_s, priorities)
        starting, ending = now - self._surge_at <= SURGE_START_MS, wanted <= self._level / 2
        # a surge that starts or ends is followed faster
        if now - self._changed_at >= (CHANGE_MS / 3 if starting or ending else CHANGE_MS):
            self._changed_at = now
            if starting:
                self._level = min(wanted, int(self._level) + 1.0)
            else:
                # guards against counting a job many times that is admitted, refused and submitted again
                self._level = min(wanted, (wanted + self._level) / 2, self._level + LEVEL_STEP)
            order = sorted(set(priorities))
            self._fractions = [min(max(self._level - order.index(p), 0.0), MAX_FRACTION) for p in priorities]
        return self._fractions

    def follow(
        self, now: float, loads: list[Load], seconds: float, fractions: list[float], priorities
    ) -> None:
        """Another judge acts: keep what is needed to go on where it stops."""
        self._record(now, loads, seconds)
        self._fractions = self._in_force = fractions
        by_priority = {p: fraction for p, fraction in zip(priorities, fractions, strict=True)}
        self._level = sum(1.0 if f >= MAX_FRACTION else f for f in by_priority.values())
        self._recent.clear()
        self._round, self._moved_at, self._busy_at, self._increase = Load(), now, now, INCREASE
        served = self.served_per_s(now)
        self.jobs_per_s = served if self._level and served else None


def _level(jobs: list[float], excess: float, priorities: list[int]) -> float:
    """How many priorities, the lowest first, make up `excess` jobs a second: 1.5 is one and half the next."""
    level = 0.0
    for priority in sorted(set(priorities)):
        mine = sum(jobs[i] for i, p in enumerate(priorities) if p == priority)
        if excess <= 0 or mine <= 0:
            break
        level += min(excess / mine, 1.0)
        excess -= mine
    return level


def to_bytes(fractions: Iterable[float]) -> bytes:
    """Fractions as a register's value, rounded up to steps, in the settings' order of the classes."""
    return bytes(min(ceil(fraction * STEPS), STEPS) for fraction in fractions)


def from_bytes(value: bytes) -> list[float]:
    return [min(step, STEPS) / STEPS for step in value]


class LoadJudge:
    """One member's side of judging the fleet's load, in use where it is one of the judges."""

    def __init__(self, own_id: str, config: SharingConfig):
        self.own_id, self.config, self.admission = own_id, config, AdmissionRate()
        self.acting = False  # our decision is in force, or will be
        # member -> ((instance, seq), when received, span of the report, its loads)
        self._reports: dict[str, tuple[tuple[int, int], float, float, list[Load]]] = {}

    def report_interval_ms(self, members: int) -> float:
        """How often load is reported: less often in large fleets, which bounds a judge's reports a second."""
        return self.config.load_ms * max(1.0, members / FULL_RATE_MEMBERS)

    def judges(self, members: list[str]) -> list[str]:
        return pick("load", members, self.config.judges)

    def record(self, member: str, order: tuple[int, int], now: float, span_ms: float, loads) -> bool:
        """Take a member's load over `span_ms`; False where it is invalid or out of order."""
        held = self._reports.get(member)
        if len(loads) != len(self.config.priorities) or not 0 < span_ms < 60_000:
            return False
        if held is not None and held[0] >= order:
            return False
        self._reports[member] = (order, now, span_ms, [Load(*one) for one in loads])
        return True

    def decide(
        self, now: float, members: list[str], decided_age_ms: float | None, decided: tuple[float, ...] = ()
    ) -> list[float] | None:
        """The fraction of each class to shed; None where it is not for us to decide (now).

        `decided` is what is shed now, `decided_age_ms` the age of the last decision of any judge; None: there
        was no recent one.
        """
        judges, self.acting = self.judges(members), False
        if self.own_id not in judges:
            return None
        interval_ms, known = self.report_interval_ms(len(members)), set(members)
        kept = (
            item
            for item in self._reports.items()
            if item[0] in known and now - item[1][1] < REPORT_INTERVALS * interval_ms
        )
        self._reports = dict(kept)
        sums = [Load()] * len(self.config.priorities)
        for _, _, span, loads in self._reports.values():
            scale = interval_ms / span
            scaled = (
                Load(*(round(scale * x) for x in (b.offered, b.shed, b.good, b.late, b.bad))) for b in loads
            )
            sums = [a + b for a, b in zip(sums, scaled, strict=True)]
        rank, priorities = judges.index(self.own_id), list(self.config.priorities)
        if rank and decided_age_ms is not None and decided_age_ms < rank * SHED_TTL_MS / 2:
            fractions = list(decided) or [0.0] * len(priorities)
            self.admission.follow(now, sums, interval_ms / 1000, fractions, priorities)
            return None
        self.acting = True
        self.admission.update(now, sums, interval_ms / 1000)
        return self.admission.fractions(now, sums, interval_ms / 1000, priorities)
