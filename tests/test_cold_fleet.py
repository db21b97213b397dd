"""What all schedulers together send to a cold worker, also if some of them restart."""

from random import Random

import pytest
from helpers import SAFE, entry, make_dispatcher, update_fleet

from molespur.interface import AttemptEnded, JobClass, Outcome, Send, Submitted, TimerFired

WINDOW_MS, COLD_MS, START_SHARE, MULTIPLE, SLOTS, STEP_MS = 3000.0, 23000.0, 0.14, 3.0, 8, 50
CLASS = JobClass("job", aim_ms=20_000, deadline_ms=20_000)


class ColdWorker:
    """One cold worker, and the times and works (core ms) of all jobs sent to it."""

    def __init__(self, started_at, rng, full_share):
        self.started_at, self.rng, self.full_share, self.sends, self.out = started_at, rng, full_share, [], []

    def accept(self, dispatcher, send, work, now):
        """Some jobs get FULL at once, which counts as a send as well; the others take their work as time."""
        self.sends.append((now, work))
        full = self.rng.random() < self.full_share
        ends = (Outcome.FULL, now + STEP_MS) if full else (Outcome.OK, now + work)
        self.out.append((ends[1], dispatcher, send, ends[0], now))

    def guaranteed_work(self, now):
        """Work (core ms) that it can do in a window, by its age."""
        age = now - self.started_at
        return (START_SHARE + (1 - START_SHARE) * min(age / COLD_MS, 1.0)) * SLOTS * WINDOW_MS


def play(many, work, seed, spread=300.0, restarts_at=0, back_at=0, full_share=1 / 3):
    """Play 9 s of schedulers whose only worker is cold at first, and again at back_at; its ColdWorkers."""
    rng = Random(seed)
    serial = 0

    def scheduler(notified_at):
        nonlocal serial
        serial += 1
        d = make_dispatcher(
            seed=serial * 7919 + seed, balancers=many, classes=(SAFE, CLASS), cold_ms=COLD_MS, max_attempts=3,
            cold_window_ms=WINDOW_MS, cold_start_share=START_SHARE, cold_multiple=MULTIPLE,
        )  # fmt: skip
        d.notified_at, d.number, d.works = notified_at, 0, {}
        d.classes["job"].mean = d.classes["job"].median = work
        return d

    cold = [ColdWorker(1.0, rng, full_share)]
    fleet = [scheduler(1.0 + spread * rng.random()) for _ in range(many)]
    for now in (float(t) for t in range(1, 9_000, STEP_MS)):
        if restarts_at and abs(now - restarts_at) < STEP_MS / 2:
            # 70% are killed at once: their successors don't know what was sent, and learn of the worker anew
            kept = [i % 10 >= 7 for i in range(many)]
            pairs = zip(kept, fleet, strict=True)
            fleet = [d if k else scheduler(now + spread * rng.random()) for k, d in pairs]
        if back_at and abs(now - back_at) < STEP_MS / 2:
            cold.append(ColdWorker(now, rng, full_share))
            for d in fleet:
                d.notified_at = now + spread * rng.random()
        worker, events = cold[-1], []
        for one in [o for o in worker.out if o[0] <= now]:
            worker.out.remove(one)
            _, d, send, outcome, sent = one
            number, ok = d.sent[send.request] - 1, outcome is Outcome.OK
            events.append((d, AttemptEnded(send.request, number, outcome, now - sent, ok)))
        for d in fleet:
            if d.notified_at is not None and d.notified_at <= now:
                update_fleet(d, entry("w", started_at=worker.started_at), now=now)
                d.workers["w"].learn_slots(SLOTS)
                d.notified_at = None
            d.sent = getattr(d, "sent", {})
            if d.live and d.notified_at is None:
                # there is always a job to send: clients submit more than the worker may get
                d.number += 1
                d.works[d.number] = min(max(rng.lognormvariate(0, 0.4) * work, work / 4), work * 4)
                events.append((d, Submitted(d.number, "job", 20_000.0, work_hint_ms=d.works[d.number])))
            events.append((d, TimerFired("due")))
        for d, event in events:
            for action in d.handle(now, event):
                if isinstance(action, Send):
                    d.sent[action.request] = d.sent.get(action.request, 0) + 1
                    worker.accept(d, action, d.works[action.request], now)
    return cold


CASES = {
    "all notified at once": {"spread": 0.0},
    "notified at different times": {"spread": 1500.0},
    "most restarted": {"restarts_at": 1501.0},
    "back cold under the same id": {"back_at": 4001.0},
    "no job refused": {"full_share": 0.0},
}


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize(
    ("many", "work"), [(1, 250.0), (6, 250.0), (20, 250.0), (30, 250.0), (30, 900.0), (200, 250.0)]
)
def test_all_schedulers_together_use_a_cold_workers_budget_and_no_more(many, work, case):
    for cold in play(many, work, seed=many, **CASES[case]):
        times = [at for at, _ in cold.sends]
        for at in times:
            inside = [w for t, w in cold.sends if at <= t < at + WINDOW_MS]
            n = (
                MULTIPLE * cold.guaranteed_work(at) / work
            )  # jobs of mean work, by its capacity at the start of the window
            assert sum(inside) / work <= n + 2 * n**0.5 + 2
        if case == "no job refused":
            # and it gets at least half of the work that it can do when it starts
            assert sum(
                w for t, w in cold.sends if t < cold.started_at + WINDOW_MS
            ) >= 0.5 * cold.guaranteed_work(cold.started_at)
