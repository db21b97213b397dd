"""One order of shedding: how much of each class all schedulers turn away.  Pure.

Each member tells judges what it was asked for and what became of it; the acting judge adds up and keeps a
*pace*: the jobs a second that are let in.  Where more are asked for, the rest is turned away, the lowest
priority first, whatever scheduler it comes to.

The pace starts at what the fleet was seen to serve, in time or late: the most of the last seconds, as BBR
estimates a link's rate by the most that it was seen to carry.  While more than `BAD_HIGH` of the jobs let in
end badly (late, refused, failed) it falls a step at a time, each after the last has shown (jobs may wait for
seconds); while fewer than `BAD_LOW` do it rises; between the two it stands (hysteresis).  It never leaves a
band round what is served, so that it can't starve the fleet by its own doing.

What is turned away is set so that what was let in becomes the pace, a step each `ACT_MS`, when the last one
has shown.  It goes by the jobs let in, not by the tries asked for: clients that are turned away try again,
and count many times.  A class of which the part f is turned away has 1 / (1 - f) times as many jobs as were
let in.

The judges are a few members chosen by hashing; the first acts, the others where it has said nothing for a
while.  What it says is a register like a judgement, so that all turn away the same.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from .rendezvous import pick
from .sharing import Share

BAD_HIGH, BAD_LOW = 0.10, 0.05  # of the jobs let in that ended
FALL, RISE = 0.95, 1.03  # steps of the pace
FALL_EACH_MS = 1_500.0  # a fall shows by then
BAND = (0.92, 1.15)  # of what is served: the least and the most that the pace may be
SERVED_MS, MEAN_MS = 10_000.0, 2_000.0  # the most served is over so long, of means over so long
CALM_MS = 3_000.0  # asked for less than the pace for so long, the fleet is no more in a crowd
PART_MOST = 0.96  # of a class that is turned away: those let in tell how many there are
ACT_MS = 1_500.0  # from one change of what is turned away to the next
STEP_UP = 0.2  # of a priority at one change
FIRST_MS = 2_000.0  # of a crowd, in which changes come faster, up to the end of a priority
LEAST_JOBS = 10  # fewer ended jobs than this say nothing
LIFE_MS = 3_000.0  # of what the acting judge says, unless it says more
KEPT = 2.5  # tellings after which a member's load is over
FLAT = 50  # members up to which load is told each `load_ms`
STEPS = 250  # a class's part as a byte of a register


@dataclass(frozen=True, slots=True)
class Load:
    """Jobs of one class over a time: asked for, turned away as agreed, served in time, served late, and
    refused or failed."""

    offered: int = 0
    shed: int = 0
    good: int = 0
    late: int = 0
    bad: int = 0

    def __add__(self, other: "Load") -> "Load":
        return Load(self.offered + other.offered, self.shed + other.shed, self.good + other.good,
                    self.late + other.late, self.bad + other.bad)  # fmt: skip


class Pace:
    """The acting judge's state; `jobs_per_s` is None while nothing has to be turned away."""

    def __init__(self):
        self.jobs_per_s: float | None = None
        self._served: deque[tuple[float, float, float]] = deque()  # (when, jobs served, over how long in s)
        self._lately: deque[list[float]] = deque(maxlen=2)  # jobs let in a second, by class
        self._parts: list[float] = []
        self._level = 0.0
        self._acted_at = float("-inf")
        self._fell_at = self._busy_at = self._began_at = float("-inf")

    def served_per_s(self, now: float) -> float:
        """The most that the fleet was seen to serve lately, as a mean over some judgements."""
        while self._served and now - self._served[0][0] > SERVED_MS:
            self._served.popleft()
        most, line = 0.0, list(self._served)
        for at, _, _ in line:
            part = [(jobs, span) for when, jobs, span in line if at - MEAN_MS < when <= at]
            most = max(most, sum(jobs for jobs, _ in part) / sum(span for _, span in part))
        return most

    def judge(self, now: float, loads: list[Load], seconds: float) -> None:
        """Move the pace by what all members told of the last seconds."""
        all_ = sum(loads, Load())
        self._served.append((now, all_.good + all_.late, seconds))
        served, ended = self.served_per_s(now), all_.good + all_.late + all_.bad
        badly = (all_.late + all_.bad) / ended if ended >= LEAST_JOBS else 0.0
        if self.jobs_per_s is None:
            if badly > BAD_HIGH and served > 0:
                self.jobs_per_s = served
                self._fell_at = self._busy_at = self._began_at = now
            return
        if any(self._parts) or all_.offered / seconds > self.jobs_per_s:
            self._busy_at = now
        if now - self._busy_at > CALM_MS:
            self.jobs_per_s = None
        elif badly > BAD_HIGH and now - self._fell_at >= FALL_EACH_MS:
            self.jobs_per_s, self._fell_at = max(FALL * self.jobs_per_s, BAND[0] * served), now
        elif badly < BAD_LOW:
            self.jobs_per_s = max(min(RISE * self.jobs_per_s, BAND[1] * served), self.jobs_per_s)

    def parts(self, now: float, loads: list[Load], seconds: float, priorities: list[int]) -> list[float]:
        """Of each class the part to turn away from now on, the lowest priority first."""
        self._lately.append([(one.offered - one.shed) / seconds for one in loads])
        if self.jobs_per_s is None:
            self._parts, self._level, self._acted_at = [0.0] * len(loads), 0.0, now - ACT_MS
            return self._parts
        let_in = [sum(found) / len(found) for found in zip(*self._lately, strict=True)]
        jobs = [a / (1.0 - part) for a, part in zip(let_in, self._parts or [0.0] * len(loads), strict=True)]
        wanted = _level(jobs, sum(jobs) - self.jobs_per_s, priorities)
        first = now - self._began_at <= FIRST_MS
        # a crowd that comes or goes is not waited for
        if now - self._acted_at >= (ACT_MS / 3 if first or wanted <= self._level / 2 else ACT_MS):
            self._acted_at = now
            # guards against jobs let in that were refused all the same and came again, counted as many
            most = int(self._level) + 1.0 if first else self._level + STEP_UP
            self._level = min(wanted, most)
            order = sorted(set(priorities))
            self._parts = [min(max(self._level - order.index(p), 0.0), PART_MOST) for p in priorities]
        return self._parts


def _level(jobs: list[float], over: float, priorities: list[int]) -> float:
    """How many priorities, the lowest first, make up `over` jobs a second: 1.5 is one and half the next."""
    level = 0.0
    for priority in sorted(set(priorities)):
        mine = sum(jobs[i] for i, p in enumerate(priorities) if p == priority)
        if over <= 0 or mine <= 0:
            break
        level += min(over / mine, 1.0)
        over -= mine
    return level


def to_bytes(parts: Iterable[float]) -> bytes:
    """Parts as a register's value, rounded up to steps; the classes' order is that of the settings."""
    return bytes(min(ceil(part * STEPS), STEPS) for part in parts)


def from_bytes(value: bytes) -> list[float]:
    return [min(step, STEPS) / STEPS for step in value]


class LoadJudge:
    """One member's side of judging the fleet's load, which it does where it is one of the judges."""

    def __init__(self, me: str, share: Share):
        self.me, self.share, self.pace = me, share, Pace()
        # member -> (its life and telling, when heard, over how long, its loads)
        self._told: dict[str, tuple[tuple[int, int], float, float, list[Load]]] = {}

    def every_ms(self, members: int) -> float:
        """How often load is told: seldomer in large fleets, so that a judge is not told more a second."""
        return self.share.load_ms * max(1.0, members / FLAT)

    def judges(self, members: list[str]) -> list[str]:
        return pick("load", members, self.share.judges)

    def take(self, member: str, order: tuple[int, int], now: float, span_ms: float, loads) -> bool:
        """A member's load over `span_ms`; False where it makes no sense or is late."""
        held = self._told.get(member)
        if len(loads) != len(self.share.priorities) or not 0 < span_ms < 60_000:
            return False
        if held is not None and held[0] >= order:
            return False
        self._told[member] = (order, now, span_ms, [Load(*one) for one in loads])
        return True

    def judge(self, now: float, members: list[str], said_age_ms: float | None) -> list[float] | None:
        """What is to be turned away of each class; None where we are not to say (now).

        `said_age_ms` is how long ago this was said last, by anyone; None: not lately.
        """
        judges = self.judges(members)
        if self.me not in judges:
            return None
        every, known = self.every_ms(len(members)), set(members)
        kept = (item for item in self._told.items() if item[0] in known and now - item[1][1] < KEPT * every)
        self._told = dict(kept)
        rank = judges.index(self.me)
        if rank and said_age_ms is not None and said_age_ms < rank * LIFE_MS / 2:
            return None
        sums = [Load()] * len(self.share.priorities)
        for _, _, span, loads in self._told.values():
            part = every / span
            scaled = (
                Load(*(round(part * x) for x in (b.offered, b.shed, b.good, b.late, b.bad))) for b in loads
            )
            sums = [a + b for a, b in zip(sums, scaled, strict=True)]
        self.pace.judge(now, sums, every / 1000)
        return self.pace.parts(now, sums, every / 1000, list(self.share.priorities))
