"""Hedges (second attempts beside silent ones): their share, their limits, and what they show of a worker."""

from random import Random

import pytest

from molespur.policy.pair import Demand, PairPolicy, Step
from molespur.policy.tracking import MIN_EJECTION_MS, ServingPhase, WorkerTrack
from molespur.system.data_plane.exchange_messages import HedgeRefusal
from molespur.system.data_plane.hedging import (
    HEDGES_PER_REQUEST,
    MAX_SAVED_HEDGES,
    MIN_BUSY_WORKERS,
    UNRESPONSIVE_MS,
    HedgeGate,
)


def busy_worker(name, busy_since=0.0, last_received_at=float("-inf")):
    return WorkerTrack(
        name,
        "10.0.0.1:80",
        "a",
        "decode",
        64,
        unfinished=1,
        busy_since=busy_since,
        last_received_at=last_received_at,
    )


def test_hedges_beside_responsive_workers_have_a_share_of_the_traffic():
    now = 10_000.0
    busy = busy_worker("w", last_received_at=now - 1)
    gate = HedgeGate(lambda: [busy])
    started = 0
    for _ in range(1000):
        gate.count_request()
        while gate.refusal(now, busy) is None and started < 1000:
            gate.count_started(now, busy)
            started += 1
    assert gate.refusal(now, busy) is HedgeRefusal.SHARE_USED
    assert started == pytest.approx(1000 * HEDGES_PER_REQUEST, abs=2)


def test_few_hedges_are_saved_up():
    busy = busy_worker("w", last_received_at=9_999.0)
    gate = HedgeGate(lambda: [busy])
    for _ in range(10_000):
        gate.count_request()
    started = 0
    while gate.refusal(10_000.0, busy) is None and started < 1000:
        gate.count_started(10_000.0, busy)
        started += 1
    assert started == int(MAX_SAVED_HEDGES)


def test_the_share_does_not_limit_hedges_beside_an_unresponsive_worker():
    lost = busy_worker("w")
    gate = HedgeGate(lambda: [lost])
    for _ in range(50):
        assert gate.refusal(UNRESPONSIVE_MS, lost) is None
        gate.count_started(UNRESPONSIVE_MS, lost)
    assert gate.outcomes["begun"] == 50


@pytest.mark.parametrize("unresponsive", range(6))
def test_no_hedge_starts_while_most_workers_are_unresponsive(unresponsive):
    now = 10_000.0
    workers = [busy_worker(f"r{n}") for n in range(unresponsive)]
    workers += [
        busy_worker(f"w{n}", last_received_at=now - UNRESPONSIVE_MS / 2) for n in range(5 - unresponsive)
    ]
    idle = WorkerTrack("idle", "10.0.0.1:80", "a", "decode", 64)
    gate = HedgeGate(lambda: [*workers, idle])
    expected = HedgeRefusal.MOST_WORKERS_SILENT if unresponsive > 2 else None
    assert gate.refusal(now, workers[0]) is expected


def test_few_busy_workers_indicate_no_overload():
    workers = [busy_worker(f"r{n}") for n in range(MIN_BUSY_WORKERS - 1)]
    assert HedgeGate(lambda: workers).refusal(10_000.0, workers[0]) is None


# -- What an overtaken call shows of its worker --------------------------------------------------------


def started_call(policy, worker, now=0.0):
    step = Step(worker, ServingPhase.DECODE, 20.0, 0.0, 0.0, 1.0, 40.0)
    policy.record_sent(now, step, Demand("r", 300.0, 3000.0), "key")
    return step


def overtake(policy, step, now, last_received_at, responded=False):
    policy.record_overtaken(now, step, 0.0, last_received_at, responded)
    policy.record_ended(now, step, "key", failed=False, elapsed_ms=now)


def test_an_overtaken_call_is_no_failure_of_its_worker():
    policy, worker = PairPolicy("a", Random(1)), WorkerTrack("w", "10.0.0.1:80", "a", "decode", 64)
    before = policy.model.pace(ServingPhase.DECODE)
    for _ in range(10):
        overtake(policy, started_call(policy, worker), 900.0, 0.0)
    assert worker.ejection.failures == 0 and worker.ejection.next_duration_ms == MIN_EJECTION_MS
    assert policy.model.pace(ServingPhase.DECODE) == before
    assert worker.unfinished == 0 and not worker.response_due_at


def test_a_worker_silent_on_all_calls_is_ejected_until_its_next_bytes():
    policy, worker = PairPolicy("a", Random(1)), WorkerTrack("w", "10.0.0.1:80", "a", "decode", 64)
    overtake(policy, started_call(policy, worker), 900.0, 0.0)
    assert worker.is_ejected(901.0) and not worker.is_ejected(900.0 + MIN_EJECTION_MS)
    overtake(policy, started_call(policy, worker), 3000.0, 0.0)
    worker.record_received(3010.0)
    assert not worker.is_ejected(3010.0)


def test_a_failure_counts_also_while_a_worker_is_suspected():
    worker = WorkerTrack("w", "10.0.0.1:80", "a", "decode", 64)
    worker.suspect(0.0)
    worker.record_failure(10.0)
    worker.record_failure(20.0)
    worker.record_received(30.0)
    assert worker.is_ejected(30.0), "bytes end an ejection for silence, not one for failures"


def test_a_worker_that_responds_to_other_calls_is_not_ejected_but_known_to_be_slow():
    policy, worker = PairPolicy("a", Random(1)), WorkerTrack("w", "10.0.0.1:80", "a", "decode", 64)
    step = started_call(policy, worker)
    worker.record_received(500.0)
    overtake(policy, step, 900.0, 0.0)
    assert not worker.is_ejected(901.0) and worker.log_pace[ServingPhase.DECODE] > 0


def test_a_worker_that_sends_nothing_on_open_calls_is_unresponsive():
    policy, worker = PairPolicy("a", Random(1)), WorkerTrack("w", "10.0.0.1:80", "a", "decode", 64)
    assert not worker.is_unresponsive(5000.0, UNRESPONSIVE_MS), "it has no open calls"
    started_call(policy, worker, 5000.0)
    assert not worker.is_unresponsive(
        5000.0 + UNRESPONSIVE_MS - 1, UNRESPONSIVE_MS
    ) and worker.is_unresponsive(5000.0 + UNRESPONSIVE_MS, UNRESPONSIVE_MS)
    worker.record_received(5600.0)
    assert not worker.is_unresponsive(5700.0, UNRESPONSIVE_MS)
