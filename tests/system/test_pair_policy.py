"""The choice of a pair: what is forecast, what is preferred, and what earlier faults of it taught."""

from random import Random

import pytest

from molespur.policy.pair import PREFERRED_MATCH, Demand, EngineShape, PairPolicy, Step
from molespur.policy.tracking import (
    IN_PROGRESS_PROBABILITY,
    IN_PROGRESS_REMAINING_SHARE,
    RANKS,
    LoadReport,
    ServingPhase,
    WorkerTrack,
)
from molespur.system.data_plane.worker_call import silence_age_s

ENGINE = EngineShape(18_432.0, 550_000.0, 400_000.0)
LONG = (("a" * 8, 2_500.0), ("b" * 8, 3_800.0), ("own1", 2_800.0))
SHORT = (("c" * 8, 100.0), ("d" * 8, 70.0), ("own2", 540.0))


def worker(name, phase, zone="a"):
    return WorkerTrack(name, f"{name}:80", zone, phase, 64, capacity_tokens=240_000.0)


def fleet():
    return [worker(f"p{n}", "prefill") for n in range(4)] + [worker(f"d{n}", "decode") for n in range(3)]


def demand(parts, now=0.0, aim=400.0, **more):
    tokens = sum(tokens for _, tokens in parts)
    return Demand("r", now + aim, now + 3000.0, ENGINE, tokens, parts, **more)


def choices(policy, workers, asked, count=200, now=0.0):
    return [policy.choose(now, workers, asked).plan for _ in range(count)]


def test_a_long_prompt_is_read_apart_mostly_at_the_home_of_its_prefix():
    plans = choices(PairPolicy("a", Random(1)), fleet(), demand(LONG))
    assert all(plan.prefill_step is not None for plan in plans)
    homes = [plan.prefill_step.worker.id for plan in plans]
    assert max(homes.count(name) for name in set(homes)) > 180


def test_all_schedulers_have_the_same_home_for_a_prefix():
    homes = set()
    for seed in range(8):
        plans = choices(PairPolicy("a", Random(seed)), fleet(), demand(LONG), 20)
        names = [plan.prefill_step.worker.id for plan in plans]
        homes.add(max(set(names), key=names.count))
    assert len(homes) == 1


def test_a_short_prompt_goes_to_an_idle_decode_worker_and_not_to_a_busy_home():
    policy, workers = PairPolicy("a", Random(2)), fleet()
    for track in workers[:4]:
        track.prefill_tokens[1] = 8_000.0
    plans = choices(policy, workers, demand(SHORT))
    assert sum(plan.prefill_step is None for plan in plans) > 180


def test_a_long_read_does_not_hold_up_a_decode_worker_while_readers_are_there():
    policy, workers = PairPolicy("a", Random(3)), fleet()
    for track in workers[:4]:
        track.prefill_tokens[1] = 20_000.0
    assert all(plan.prefill_step is not None for plan in choices(policy, workers, demand(LONG)))
    assert all(
        plan.response_step.phase is ServingPhase.DIRECT
        for plan in choices(policy, workers[4:], demand(LONG), 20)
    )


def test_a_running_stream_does_not_make_its_worker_look_late():
    policy, workers = PairPolicy("a", Random(4)), fleet()
    asked = demand(SHORT)
    plan = next(w for w in choices(policy, workers, asked) if w.prefill_step is None)
    policy.record_sent(0.0, plan.response_step, asked, 1)
    policy.record_first_response(40.0, plan.response_step, asked, 1, 40.0)
    track = plan.response_step.worker
    assert track.overdue_ms(5_000.0) == 0.0 and track.unfinished == 1
    policy.record_ended(5_000.0, plan.response_step, 1)
    assert track.unfinished == 0 and track.total_prefill_tokens == 0.0


def test_a_worker_that_gives_no_answer_looks_late_and_is_avoided():
    policy, workers = PairPolicy("a", Random(5)), fleet()
    asked = demand(SHORT)
    plan = next(w for w in choices(policy, workers, asked) if w.prefill_step is None)
    policy.record_sent(0.0, plan.response_step, asked, 1)
    later = demand(SHORT, 2_000.0)
    chosen = [policy.choose(2_000.0, workers, later).plan.response_step.worker.id for _ in range(100)]
    assert plan.response_step.worker.id not in chosen


def test_reports_of_others_count_and_fade():
    track = worker("d", "decode")
    track.report = LoadReport(0.0, active=20, queued=5)
    track.unfinished = 5
    assert track.other_requests(100.0) == 20.0
    assert 0 < track.other_requests(5_000.0) < 10.0


def test_repeated_failures_let_a_worker_rest_and_a_whole_fleet_does_not_rest():
    policy, workers = PairPolicy("a", Random(6)), fleet()
    bad = workers[4]
    for _ in range(3):
        bad.record_failure(0.0)
    assert bad.is_ejected(10.0) and not bad.is_ejected(3_000.0)
    plans = choices(policy, workers, demand(SHORT))
    assert all(plan.response_step.worker is not bad for plan in plans)
    for track in workers:
        for _ in range(3):
            track.record_failure(0.0)
    assert policy.choose(10.0, workers, demand(SHORT)) is not None


def test_a_worker_silent_to_control_is_used_only_if_it_served_lately():
    policy, workers = PairPolicy("a", Random(7)), fleet()
    quiet = workers[4]
    quiet.silent = True
    assert all(plan.response_step.worker is not quiet for plan in choices(policy, workers, demand(SHORT)))
    quiet.last_received_at = -100.0
    assert any(plan.response_step.worker is quiet for plan in choices(policy, workers, demand(SHORT)))


def test_the_model_learns_the_pace_of_each_part():
    policy, workers = PairPolicy("a", Random(8)), fleet()
    now = 0.0
    for number in range(200):
        now += 50.0
        asked = demand((("x" * 8, 10.0), (f"own{number}", 2_000.0)), now)
        choice = policy.choose(now, workers, asked)
        step = choice.plan.prefill_step or choice.plan.response_step
        policy.record_sent(now, step, asked, number)
        policy.record_first_response(now, step, asked, number, 3.0 * step.run_ms + step.wait_ms)
        policy.record_ended(now, step, number)
    asked = demand((("y" * 8, 10.0), ("own", 2_000.0)), now)
    step = policy.choose(now, workers, asked).plan.prefill_step
    assert step.forecast_ms > 1.8 * step.run_ms


def test_prefixes_unused_longest_give_way():
    track = worker("p", "prefill")
    track.capacity_tokens = 1_000.0
    track.add_prefix((("a", 400.0), ("b", 400.0)))
    track.add_prefix((("a", 400.0),))
    track.add_prefix((("c", 400.0),))
    assert track.cached_tokens((("a", 400.0), ("b", 400.0))) == 400.0
    assert track.cached_tokens((("c", 400.0),)) == 400.0


def test_short_reads_go_first_and_hand_overs_before_any():
    policy, workers = PairPolicy("a", Random(9)), fleet()
    plans = choices(policy, workers, demand(LONG), 20)
    assert {plan.response_step.rank for plan in plans} == {0} and all(
        plan.prefill_step.rank > 1 for plan in plans
    )
    cold = demand((("z" * 8, 10.0), ("own3", 30_000.0)))
    assert {plan.prefill_step.rank for plan in choices(policy, workers, cold, 20)} == {RANKS - 1}


def test_a_read_waits_for_what_is_as_urgent_and_for_what_has_begun():
    """A worker puts no read back once it has begun, however urgent the next one is."""
    track = worker("p", "prefill")
    track.prefill_tokens[4] = 9_000.0
    assert track.prefill_tokens_ahead(1) == IN_PROGRESS_REMAINING_SHARE * 9_000.0, (
        "it has begun, since nothing else is there"
    )
    track.prefill_tokens[1] = 500.0
    assert (
        track.prefill_tokens_ahead(1)
        == 500.0 + IN_PROGRESS_REMAINING_SHARE * IN_PROGRESS_PROBABILITY * 9_000.0
    )
    assert track.prefill_tokens_ahead(4) == 9_500.0
    track.prefill_tokens[4] = 40_000.0
    assert (
        track.prefill_tokens_ahead(1)
        == 500.0 + IN_PROGRESS_REMAINING_SHARE * IN_PROGRESS_PROBABILITY * 10_000.0
    ), "several reads, of which one has begun"
    track.prefill_tokens[4], track.peer_prefill_tokens[4], track.peer_scale = 0.0, 2_000.0, 2.0
    assert (
        track.prefill_tokens_ahead(1)
        == 500.0 + IN_PROGRESS_REMAINING_SHARE * IN_PROGRESS_PROBABILITY * 4_000.0
    )


@pytest.mark.parametrize(("scale", "run_ms"), [(0.0, 60.5), (1.0, 162.5), (4.0, 86.0)])
def test_a_home_is_expected_to_be_warm_as_far_as_others_may_have_sent_there(scale, run_ms):
    """With every other scheduler heard, a prefix that nobody has told of is nowhere."""
    policy, track = PairPolicy("a", Random(4)), worker("p", "prefill")
    track.peer_scale = scale
    asked = demand((("shared", 6_000.0), ("own", 1_125.0)))
    step = policy._prefill_step(0.0, track, ServingPhase.PREFILL, asked, preferred=True)
    assert step.run_ms == pytest.approx(run_ms)
    assert step.prefix_match == PREFERRED_MATCH and step.repeated_tokens == 0.0


def test_what_other_schedulers_tell_counts_like_own_work():
    policy, workers = PairPolicy("a", Random(10)), fleet()
    for track in workers:
        track.peer_scale = 1.0
    for track in workers[:3]:
        track.peer_prefill_tokens[1] = 30_000.0
    asked = demand((("w" * 8, 10.0), ("own4", 4_000.0)))
    assert {plan.prefill_step.worker.id for plan in choices(policy, workers, asked, 50)} == {"p3"}


def test_a_move_between_zones_is_the_exception():
    policy, workers = PairPolicy("a", Random(3)), [worker(f"d-{zone}", "decode", zone) for zone in "abc"]
    source = worker("p-c", "prefill", "c")
    asked = demand((("x", 6000.0), ("own", 3000.0)))
    chosen = [policy.choose_decode(0.0, workers, asked, source, ()).worker.zone for _ in range(400)]
    assert chosen.count("c") > 0.8 * len(chosen)


@pytest.mark.parametrize(("peer_scale", "seconds"), [(0.0, 0.4), (1.0, 0.4), (4.0, 0.8), (100.0, 1.2)])
def test_patience_grows_where_few_schedulers_are_heard(peer_scale, seconds):
    known = worker("p", "prefill")
    known.peer_scale = peer_scale
    step = Step(
        known,
        ServingPhase.PREFILL,
        run_ms=50.0,
        wait_ms=0.0,
        slot_use=0.0,
        prefix_match=1.0,
        forecast_ms=60.0,
    )
    assert silence_age_s(step, 4.0, 400.0) == pytest.approx(seconds)
