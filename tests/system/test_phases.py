"""How many workers read prompts, and when one is told to change its part."""

from registrations import worker

from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.workers.phases import PhasePlanner


def fleet(readers, runners):
    return [
        worker(f"i-{n}", f"10.9.0.{n}:80", phase="prefill" if n < readers else "decode", zone="abc"[n % 3])
        for n in range(readers + runners)
    ]


def orders(planner, workers, load, start, until):
    given, now = [], start
    while now < until:
        order = planner.plan(now, workers, load)
        if order is not None:
            order.worker.phase = order.phase
            given.append(order.phase)
        now += 300.0
    return given


def test_the_parts_follow_the_demand_and_do_not_swing():
    planner, workers = PhasePlanner(), fleet(3, 6)
    busy = pb.ServiceLoad(service="s", read_tokens_per_s=160_000.0, running=20.0)
    assert orders(planner, workers, busy, 0.0, 250.0) == [], "a change must be called for over some time"
    given = orders(planner, workers, busy, 250.0, 9000.0)
    assert set(given) == {"prefill"} and sum(w.phase == "prefill" for w in workers) == planner.target(
        workers, busy
    )
    assert sum(w.phase == "decode" for w in workers) >= 3
    assert len({w.zone for w in workers if w.phase == "decode"}) == 3
    answers = pb.ServiceLoad(service="s", read_tokens_per_s=20_000.0, running=400.0)
    assert orders(planner, workers, answers, 9000.0, 9500.0) == []
    almost = pb.ServiceLoad(service="s", read_tokens_per_s=28_000.0 * 5.5, running=32.0 * 3.5)
    assert abs(planner.target(workers, almost) - 5.5) < 0.01
    assert orders(planner, workers, almost, 9500.0, 16_000.0) == [], "half a worker off is no reason"
    assert set(orders(planner, workers, answers, 20_000.0, 30_000.0)) == {"decode"}


def test_before_any_traffic_readers_are_made_ready_for_cold_caches_once():
    planner, workers = PhasePlanner(), fleet(3, 6)
    idle = pb.ServiceLoad(service="s")
    assert orders(planner, workers, idle, 0.0, 9000.0) == ["prefill", "prefill"]
    assert orders(planner, workers, idle, 9000.0, 60_000.0) == []
    assert len({w.zone for w in workers if w.phase == "decode"}) == 3
    assert orders(PhasePlanner(), fleet(5, 4), idle, 0.0, 9000.0) == []
    answers = pb.ServiceLoad(service="s", read_tokens_per_s=20_000.0, running=400.0)
    assert set(orders(planner, workers, answers, 60_000.0, 62_000.0)) == {"decode"}, "no wait to turn back"


def test_without_demand_nothing_is_ordered_once_there_was_some():
    planner, workers = PhasePlanner(), fleet(3, 6)
    steady = pb.ServiceLoad(service="s", read_tokens_per_s=28_000.0 * 3, running=32.0 * 6)
    assert orders(planner, workers, steady, 0.0, 9000.0) == []
    assert orders(planner, workers, pb.ServiceLoad(service="s"), 9000.0, 30_000.0) == []
