"""One order of shedding: how much of each class all schedulers turn away.  Pure.

Each member tells judges what it was asked for and what became of it; the acting judge adds up and keeps a
*pace*: the jobs a second that are let in.  Where more are asked for, the rest is turned away, the lowest
priority first, whatever scheduler it comes to.

The pace starts at what the fleet was seen to serve, in time or late: the most of the last seconds, as BBR
estimates a link's rate by the most that it was seen to carry.  While more than `BAD_HIGH` of the jobs let in
end badly (late, refused, failed) it falls to a little less than what is served, a round at a time, since jobs
may wait for seconds; while fewer than `BAD_LOW` do it rises, twice as far each round, so that a pace which
is far too low (found while workers warmed, or were away) does not starve the fleet for long; between the two
it stands (hysteresis).

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
from .sharing import SharingConfig

BAD_HIGH, BAD_LOW = 0.10, 0.05  # of the jobs let in that ended
FALL, LEAST = 0.95, 0.90  # a fall of the pace, and the least that it may be of what is served
RISE, RISE_MOST = 0.03, 1.0  # a rise of the pace after a fall, doubled at each further one, and the most
ROUND_MS = 1_500.0  # a move of the pace shows by then
SERVED_MS, MEAN_MS = 10_000.0, 2_000.0  # the most served is over so long, of means over so long
CALM_MS = 3_000.0  # asked for less than the pace for so long, the fleet is no more in a crowd
PART_MOST = 0.96  # of a class that is turned away: those let in tell how many there are
ACT_MS = 1_500.0  # from one change of what is turned away to the next
STEP_UP = 0.2  # of a priority at one change
AGAIN = 0.8  # of the tries let in and refused, so many are taken to be of jobs that come again
GONE = 0.6  # asked for so much less than just before, the crowd is going, and what was before is no guide
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

    @property
    def badly(self) -> float:
        """The part of the jobs let in that ended badly; 0 where too few ended to say."""
        ended = self.good + self.late + self.bad
        return (self.late + self.bad) / ended if ended >= LEAST_JOBS else 0.0


class Pace:
    """The acting judge's state; `jobs_per_s` is None while nothing has to be turned away."""

    def __init__(self):
        self.jobs_per_s: float | None = None
        self._served: deque[tuple[float, float, float]] = deque()  # (when, jobs served, over how long in s)
        self._lately: deque[list[float]] = deque(maxlen=2)  # jobs asked for a second, by class
        self._parts: list[float] = []
        self._in_force: list[float] = []  # the parts while the jobs that are told of now were let in
        self._level = 0.0
        self._acted_at = float("-inf")
        self._moved_at = self._busy_at = self._crowd_at = float("-inf")
        self._began = float("inf")  # when anything was served first
        self._rise, self._round = RISE, Load()  # what is told of since the pace moved

    def served_per_s(self, now: float) -> float:
        """The most that the fleet was seen to serve lately, as a mean over some judgements."""
        while self._served and now - self._served[0][0] > SERVED_MS:
            self._served.popleft()
        most, line = 0.0, list(self._served)
        for at, _, _ in line:
            part = [(jobs, span) for when, jobs, span in line if at - MEAN_MS < when <= at]
            most = max(most, sum(jobs for jobs, _ in part) / sum(span for _, span in part))
        return most

    def _note(self, now: float, loads: list[Load], seconds: float) -> Load:
        all_ = sum(loads, Load())
        self._served.append((now, all_.good + all_.late, seconds))
        if all_.good + all_.late:
            self._began = min(self._began, now)
        return all_

    def judge(self, now: float, loads: list[Load], seconds: float) -> None:
        """Move the pace by what all members told of the last seconds."""
        all_ = self._note(now, loads, seconds)
        served = self.served_per_s(now)
        if self.jobs_per_s is None:
            if all_.badly > BAD_HIGH and served > 0:
                self.jobs_per_s, self._round = served, Load()
                # what was served says little where it is short: workers may just have come up, as we have
                self._rise = RISE if now - self._began > 2 * MEAN_MS else RISE_MOST
                self._moved_at = self._busy_at = self._crowd_at = now
            return
        if any(self._parts) or all_.offered / seconds > self.jobs_per_s:
            self._busy_at = now
        if now - self._busy_at > CALM_MS:
            self.jobs_per_s = None
            return
        self._round += all_
        if now - self._moved_at < ROUND_MS:
            return
        badly, self._round, self._moved_at = self._round.badly, Load(), now
        if badly > BAD_HIGH:
            self.jobs_per_s = max(FALL * min(self.jobs_per_s, served), LEAST * served)
        elif badly < BAD_LOW:
            self.jobs_per_s *= 1 + self._rise
        self._rise = min(2 * self._rise, RISE_MOST) if badly < BAD_LOW else RISE

    def parts(self, now: float, loads: list[Load], seconds: float, priorities: list[int]) -> list[float]:
        """Of each class the part to turn away from now on, the lowest priority first."""
        # guards against parts that have just risen: few of the jobs told of were let in under them
        before, self._in_force = self._in_force or [0.0] * len(loads), list(self._parts)
        asked = [
            (one.offered - one.shed - AGAIN * one.bad) / seconds / (1.0 - part)
            for one, part in zip(loads, before, strict=True)
        ]
        if self._lately and sum(asked) < GONE * sum(self._lately[-1]):
            self._lately.clear()
        self._lately.append(asked)
        if self.jobs_per_s is None:
            self._parts, self._level, self._acted_at = [0.0] * len(loads), 0.0, now - ACT_MS
            return self._parts
        jobs = [sum(found) / len(found) for found in zip(*self._lately, strict=True)]
        wanted = _level(jobs, sum(jobs) - self.jobs_per_s, priorities)
        first, gone = now - self._crowd_at <= FIRST_MS, wanted <= self._level / 2
        # a crowd that comes or goes is not waited for
        if now - self._acted_at >= (ACT_MS / 3 if first or gone else ACT_MS):
            self._acted_at = now
            if first:
                self._level = min(wanted, int(self._level) + 1.0)
            else:
                # guards against jobs let in that were refused all the same and came again, counted as many
                self._level = min(wanted, (wanted + self._level) / 2, self._level + STEP_UP)
            order = sorted(set(priorities))
            self._parts = [min(max(self._level - order.index(p), 0.0), PART_MOST) for p in priorities]
        return self._parts

    def follow(self, now: float, loads: list[Load], seconds: float, parts: list[float], priorities) -> None:
        """Another acts as judge: keep what it would take to go on where it stops."""
        self._note(now, loads, seconds)
        self._parts = self._in_force = parts
        by_priority = {p: part for p, part in zip(priorities, parts, strict=True)}
        self._level = sum(1.0 if part >= PART_MOST else part for part in by_priority.values())
        self._lately.clear()
        self._round, self._moved_at, self._busy_at, self._rise = Load(), now, now, RISE
        served = self.served_per_s(now)
        self.jobs_per_s = served if self._level and served else None


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

    def __init__(self, me: str, share: SharingConfig):
        self.me, self.share, self.pace = me, share, Pace()
        self.acting = False  # what we say is in force, or will be
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

    def judge(
        self, now: float, members: list[str], said_age_ms: float | None, said: tuple[float, ...] = ()
    ) -> list[float] | None:
        """What is to be turned away of each class; None where we are not to say (now).

        `said` is what is turned away, `said_age_ms` how long ago anyone said it last; None: not lately.
        """
        judges, self.acting = self.judges(members), False
        if self.me not in judges:
            return None
        every, known = self.every_ms(len(members)), set(members)
        kept = (item for item in self._told.items() if item[0] in known and now - item[1][1] < KEPT * every)
        self._told = dict(kept)
        sums = [Load()] * len(self.share.priorities)
        for _, _, span, loads in self._told.values():
            part = every / span
            scaled = (
                Load(*(round(part * x) for x in (b.offered, b.shed, b.good, b.late, b.bad))) for b in loads
            )
            sums = [a + b for a, b in zip(sums, scaled, strict=True)]
        rank, priorities = judges.index(self.me), list(self.share.priorities)
        if rank and said_age_ms is not None and said_age_ms < rank * LIFE_MS / 2:
            parts = list(said) or [0.0] * len(priorities)
            self.pace.follow(now, sums, every / 1000, parts, priorities)
            return None
        self.acting = True
        self.pace.judge(now, sums, every / 1000)
        return self.pace.parts(now, sums, every / 1000, priorities)
