"""The cold ramp of a whole fleet: what all schedulers together send to a cold worker, restarted ones too."""

from random import Random

import pytest
from helpers import SAFE, entry, make_dispatcher, update_fleet

from molespur.interface import AttemptEnded, JobClass, Outcome, Send, Submitted, TimerFired

WINDOW, COLD, SHARE, MULTIPLE, SLOTS, STEP = 3000.0, 23000.0, 0.14, 3.0, 8, 50
CLASS = JobClass("job", aim_ms=20_000, deadline_ms=20_000)


class Cold:
    """One cold worker, and all that is sent to it: times and works in core milliseconds."""

    def __init__(self, born, rng, full):
        self.born, self.rng, self.full, self.sends, self.out = born, rng, full, [], []

    def took(self, who, send, work, now):
        """Some are turned away at once, which counts as well; the others end in time."""
        self.sends.append((now, work))
        full = self.rng.random() < self.full
        ends = (Outcome.FULL, now + STEP) if full else (Outcome.OK, now + work)
        self.out.append((ends[1], who, send, ends[0], now))

    def able(self, now):
        """Core milliseconds that it can do in a window, by its age."""
        age = now - self.born
        return (SHARE + (1 - SHARE) * min(age / COLD, 1.0)) * SLOTS * WINDOW


def play(many, work, seed, spread=300.0, restarts=0, back_at=0, full=1 / 3):
    """9 s of a fleet whose only worker is cold from the start, and cold again at back_at; its Colds."""
    rng = Random(seed)
    serial = 0

    def scheduler(told_at):
        nonlocal serial
        serial += 1
        d = make_dispatcher(
            seed=serial * 7919 + seed, balancers=many, classes=(SAFE, CLASS), cold_ms=COLD, max_attempts=3,
            cold_window_ms=WINDOW, cold_start_share=SHARE, cold_multiple=MULTIPLE,
        )  # fmt: skip
        d.told_at, d.number, d.works = told_at, 0, {}
        d.classes["job"].mean = d.classes["job"].median = work
        return d

    cold = [Cold(1.0, rng, full)]
    fleet = [scheduler(1.0 + spread * rng.random()) for _ in range(many)]
    for now in (float(t) for t in range(1, 9_000, STEP)):
        if restarts and abs(now - restarts) < STEP / 2:
            # seven in ten are killed at once: they forget what they sent, and are told of the worker anew
            kept = [i % 10 >= 7 for i in range(many)]
            pairs = zip(kept, fleet, strict=True)
            fleet = [d if k else scheduler(now + spread * rng.random()) for k, d in pairs]
        if back_at and abs(now - back_at) < STEP / 2:
            cold.append(Cold(now, rng, full))
            for d in fleet:
                d.told_at = now + spread * rng.random()
        worker, events = cold[-1], []
        for one in [o for o in worker.out if o[0] <= now]:
            worker.out.remove(one)
            _, d, send, outcome, sent = one
            number, ok = d.sent[send.request] - 1, outcome is Outcome.OK
            events.append((d, AttemptEnded(send.request, number, outcome, now - sent, ok)))
        for d in fleet:
            if d.told_at is not None and d.told_at <= now:
                update_fleet(d, entry("w", born=worker.born), now=now)
                d.workers["w"].learn_slots(SLOTS)
                d.told_at = None
            d.sent = getattr(d, "sent", {})
            if d.live and d.told_at is None:
                # there is always a job to send: clients bring more than the worker may get
                d.number += 1
                d.works[d.number] = min(max(rng.lognormvariate(0, 0.4) * work, work / 4), work * 4)
                events.append((d, Submitted(d.number, "job", 20_000.0, work_hint_ms=d.works[d.number])))
            events.append((d, TimerFired("due")))
        for d, event in events:
            for action in d.handle(now, event):
                if isinstance(action, Send):
                    d.sent[action.request] = d.sent.get(action.request, 0) + 1
                    worker.took(d, action, d.works[action.request], now)
    return cold


CASES = {
    "all told at once": {"spread": 0.0},
    "told at different times": {"spread": 1500.0},
    "most restarted": {"restarts": 1501.0},
    "back cold under the same id": {"back_at": 4001.0},
    "nothing turned away": {"full": 0.0},
}


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize(
    ("many", "work"), [(1, 250.0), (6, 250.0), (20, 250.0), (30, 250.0), (30, 900.0), (200, 250.0)]
)
def test_a_cold_worker_gets_its_budget_from_all_and_no_more(many, work, case):
    for cold in play(many, work, seed=many, **CASES[case]):
        times = [at for at, _ in cold.sends]
        for at in times:
            inside = [w for t, w in cold.sends if at <= t < at + WINDOW]
            n = MULTIPLE * cold.able(at) / work  # calls of mean work, by what it can do as the window begins
            assert sum(inside) / work <= n + 2 * n**0.5 + 2
        if case == "nothing turned away":
            # and it gets work: half of what it can do at least, as it came
            assert sum(w for t, w in cold.sends if t < cold.born + WINDOW) >= 0.5 * cold.able(cold.born)
