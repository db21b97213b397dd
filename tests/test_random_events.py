"""Rules 1 to 3 and the cold budget under thousands of random but valid events."""

from random import Random

from helpers import CLASSES, entry, make_dispatcher
from hypothesis import given, settings
from hypothesis import strategies as st

from molespur.interface import (
    NEVER_RAN,
    AttemptEnded,
    ClientGone,
    Effect,
    Fail,
    FleetUpdate,
    Group,
    Lifecycle,
    Outcome,
    Progressed,
    Refuse,
    Send,
    SetTimer,
    Started,
    Submitted,
    TimerFired,
    UpdateMode,
)

BY_NAME = {c.name: c for c in CLASSES}


class World:
    """Simulated workers and clients: draws random events, and checks every action against the rules."""

    def __init__(self, seed, **changes):
        self.rng, self.now = Random(seed), 1.0
        self.changes = changes
        self.d = make_dispatcher(seed, **changes)
        self.fleet = {}
        self.jobs = {}  # id -> [class, deadline, attempts, final response]
        self.unfinished = []  # (id, attempt number)
        self.timers, self.cold_sent = [], {}
        self.next_id = 0
        self.carry_out(self.d.handle(self.now, Started()))

    def carry_out(self, actions):
        for a in actions:
            if isinstance(a, SetTimer):
                self.timers.append(self.now + a.delay_ms)
            elif isinstance(a, Send):
                self.check_send(a)
            elif isinstance(a, Refuse | Fail):
                cls, deadline, attempts, final = self.jobs[a.request]
                assert final is None and self.now <= deadline + 8
                ran = [t for t in attempts if t[2] not in NEVER_RAN]
                keyed_all = cls.effect is Effect.KEYED and cls.group is Group.ALL
                if isinstance(a, Refuse) and ran:
                    assert cls.effect is Effect.SAFE or keyed_all
                self.jobs[a.request][3] = a

    def check_send(self, a):
        cls, _, attempts, final = self.jobs[a.request]
        assert final is None
        there = self.fleet[a.worker]
        assert there.lifecycle is Lifecycle.IN_SERVICE
        ran = [t for t in attempts if t[2] not in NEVER_RAN]
        unfinished = [t for t in attempts if t[2] is None]
        assert not unfinished
        assert len(attempts) < 4
        if ran and cls.effect is Effect.UNSAFE:
            raise AssertionError("an unsafe job that may have run was sent again")
        if ran and cls.effect is Effect.KEYED:
            first = ran[0][0]
            assert self.now - ran[0][1] <= cls.key_ttl_ms
            assert cls.group is not Group.ZONE or first.zone == there.zone
            assert cls.group is not Group.CELL or first.cell == there.cell
        attempts.append([there, self.now, None])
        self.unfinished.append((a.request, len(attempts) - 1))
        if there.born_ms and self.now - there.born_ms < 8000:
            recent = self.cold_sent.setdefault(a.worker, [])
            recent.append(self.now)
            # 50 ms of work each; limit: 3 times the capacity of four slots in one second, by warmth
            share = 0.25 + 0.75 * (self.now - there.born_ms) / 8000
            assert sum(t > self.now - 1000 for t in recent) * 50 <= 3 * share * 4 * 1000

    def pass_time(self, until):
        """Fire timers and let clients give up, each at its own time."""
        while True:
            ends = {r: j[1] for r, j in self.jobs.items() if j[3] is None}
            first = min([until, *self.timers, *ends.values()])
            if first >= until:
                break
            self.now = max(self.now, first)
            if first in self.timers:
                self.timers.remove(first)
                self.carry_out(self.d.handle(self.now, TimerFired("due")))
                continue
            request = next(r for r, end in ends.items() if end == first)
            numbers = [n for r, n in self.unfinished if r == request]
            assert numbers, f"request {request} got no final response"
            for number in numbers:
                self.finish(request, number, Outcome.TIMEOUT)
            assert self.jobs[request][3] is not None
        self.now = until

    def step(self):
        self.pass_time(self.now + self.rng.expovariate(1 / 15))
        roll = self.rng.random()
        if roll < 0.08 or not self.fleet:
            self.change_fleet()
        elif roll < 0.5:
            name = self.rng.choice(list(BY_NAME))
            left = self.rng.choice([0.0, 30.0, 800.0, 5000.0])
            hint = 50.0
            self.jobs[self.next_id] = [BY_NAME[name], self.now + left, [], None]
            job = Submitted(self.next_id, name, left, 1.0, work_hint_ms=hint)
            self.next_id += 1
            self.carry_out(self.d.handle(self.now, job))
        elif roll < 0.55 and self.jobs:
            request = self.rng.choice(list(self.jobs))
            if self.jobs[request][3] is None:
                self.jobs[request][3] = "gone"
                self.carry_out(self.d.handle(self.now, ClientGone(request)))
        elif roll < 0.7 and self.unfinished:
            request, number = self.rng.choice(self.unfinished)
            self.carry_out(self.d.handle(self.now, Progressed(request, number)))
        elif self.unfinished:
            odds = [Outcome.OK] * 6 + [o for o in Outcome if o is not Outcome.OK]
            self.finish(*self.rng.choice(self.unfinished), self.rng.choice(odds))

    def finish(self, request, number, outcome):
        self.unfinished.remove((request, number))
        job = self.jobs[request]
        attempt = job[2][number]
        attempt[2] = outcome
        done = job[3] is not None or outcome is Outcome.OK
        if outcome is Outcome.OK and job[3] is None:
            job[3] = "served"
        elapsed = self.now - attempt[1]
        self.carry_out(self.d.handle(self.now, AttemptEnded(request, number, outcome, elapsed, done)))

    def change_fleet(self):
        name = f"w{self.rng.randrange(8)}"
        old = self.fleet.get(name)
        life = self.rng.choice([Lifecycle.IN_SERVICE] * 4 + [Lifecycle.DRAINING, Lifecycle.GONE])
        born = self.now if old is not None and self.rng.random() < 0.3 else (old.born_ms if old else 0.0)
        if born == self.now:
            self.cold_sent.pop(name, None)
        new = entry(name, zone="ab"[int(name[1]) % 2], cell=int(name[1]) % 3, lifecycle=life, started_at=born)
        self.fleet[name] = new
        self.carry_out(self.d.handle(self.now, FleetUpdate(UpdateMode.PARTIAL, (new,))))


@settings(derandomize=True, deadline=None, max_examples=12)
@given(st.integers(0, 2**32), st.booleans(), st.booleans())
def test_rules_hold(seed, second_copies, tells_start):
    world = World(seed, second_copies=second_copies, tells_start=tells_start)
    for _ in range(800):
        world.step()


def test_equal_events_give_equal_actions():
    worlds = [World(11, second_copies=True) for _ in range(2)]
    for _ in range(600):
        for world in worlds:
            world.step()
    assert worlds[0].unfinished == worlds[1].unfinished
    assert worlds[0].timers == worlds[1].timers
