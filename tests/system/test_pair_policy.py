"""The selection of a prefill and a decode worker: forecasts, preferences, and earlier faults."""

from random import Random

import pytest

from molespur.policy.pair import PREFERRED_MATCH, Demand, EngineShape, PairPolicy, Step
from molespur.policy.tracking import (
    IN_PROGRESS_PROBABILITY,
    IN_PROGRESS_REMAINING_SHARE,
    MAX_PREFIX_SEGMENTS,
    RANKS,
    LoadReport,
    ServingPhase,
    WorkerTrack,
)
from molespur.system.data_plane.client_request import MAX_SEGMENT_ID_BYTES, MAX_SEGMENTS, _segments
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


def plans_of(policy, workers, request, count=200, now=0.0):
    return [policy.choose(now, workers, request).plan for _ in range(count)]


def test_a_long_prompt_gets_a_separate_prefill_mostly_at_its_preferred_worker():
    plans = plans_of(PairPolicy("a", Random(1)), fleet(), demand(LONG))
    assert all(plan.prefill_step is not None for plan in plans)
    names = [plan.prefill_step.worker.id for plan in plans]
    assert max(names.count(name) for name in set(names)) > 180


def test_all_schedulers_prefer_the_same_worker_for_a_prefix():
    preferred = set()
    for seed in range(8):
        plans = plans_of(PairPolicy("a", Random(seed)), fleet(), demand(LONG), 20)
        names = [plan.prefill_step.worker.id for plan in plans]
        preferred.add(max(set(names), key=names.count))
    assert len(preferred) == 1


def test_a_short_prompt_goes_to_an_idle_decode_worker_and_not_to_a_busy_preferred_one():
    policy, workers = PairPolicy("a", Random(2)), fleet()
    for track in workers[:4]:
        track.prefill_tokens[1] = 8_000.0
    plans = plans_of(policy, workers, demand(SHORT))
    assert sum(plan.prefill_step is None for plan in plans) > 180


def test_a_long_prefill_does_not_stall_a_decode_worker_while_there_are_prefill_workers():
    policy, workers = PairPolicy("a", Random(3)), fleet()
    for track in workers[:4]:
        track.prefill_tokens[1] = 20_000.0
    assert all(plan.prefill_step is not None for plan in plans_of(policy, workers, demand(LONG)))
    assert all(
        plan.response_step.phase is ServingPhase.DIRECT
        for plan in plans_of(policy, workers[4:], demand(LONG), 20)
    )


def test_a_running_stream_does_not_count_as_an_overdue_response():
    policy, workers = PairPolicy("a", Random(4)), fleet()
    request = demand(SHORT)
    plan = next(w for w in plans_of(policy, workers, request) if w.prefill_step is None)
    policy.record_sent(0.0, plan.response_step, request, 1)
    policy.record_first_response(40.0, plan.response_step, request, 1, 40.0)
    track = plan.response_step.worker
    assert track.overdue_ms(5_000.0) == 0.0 and track.unfinished == 1
    policy.record_ended(5_000.0, plan.response_step, 1)
    assert track.unfinished == 0 and track.total_prefill_tokens == 0.0


def test_a_worker_with_an_overdue_response_is_avoided():
    policy, workers = PairPolicy("a", Random(5)), fleet()
    request = demand(SHORT)
    plan = next(w for w in plans_of(policy, workers, request) if w.prefill_step is None)
    policy.record_sent(0.0, plan.response_step, request, 1)
    later = demand(SHORT, 2_000.0)
    chosen = [policy.choose(2_000.0, workers, later).plan.response_step.worker.id for _ in range(100)]
    assert plan.response_step.worker.id not in chosen


def test_reported_requests_of_other_schedulers_count_less_with_age():
    track = worker("d", "decode")
    track.report = LoadReport(0.0, active=20, queued=5)
    track.unfinished = 5
    assert track.other_requests(100.0) == 20.0
    assert 0 < track.other_requests(5_000.0) < 10.0


def test_repeated_failures_eject_a_worker_but_not_a_whole_fleet():
    policy, workers = PairPolicy("a", Random(6)), fleet()
    bad = workers[4]
    for _ in range(3):
        bad.record_failure(0.0)
    assert bad.is_ejected(10.0) and not bad.is_ejected(3_000.0)
    plans = plans_of(policy, workers, demand(SHORT))
    assert all(plan.response_step.worker is not bad for plan in plans)
    for track in workers:
        for _ in range(3):
            track.record_failure(0.0)
    assert policy.choose(10.0, workers, demand(SHORT)) is not None


def test_a_worker_silent_to_the_control_plane_is_used_only_if_it_served_recently():
    policy, workers = PairPolicy("a", Random(7)), fleet()
    silent_worker = workers[4]
    silent_worker.silent = True
    assert all(
        plan.response_step.worker is not silent_worker for plan in plans_of(policy, workers, demand(SHORT))
    )
    silent_worker.last_received_at = -100.0
    assert any(
        plan.response_step.worker is silent_worker for plan in plans_of(policy, workers, demand(SHORT))
    )


def test_the_model_learns_the_pace_of_each_phase():
    policy, workers = PairPolicy("a", Random(8)), fleet()
    now = 0.0
    for number in range(200):
        now += 50.0
        request = demand((("x" * 8, 10.0), (f"own{number}", 2_000.0)), now)
        selection = policy.choose(now, workers, request)
        step = selection.plan.prefill_step or selection.plan.response_step
        policy.record_sent(now, step, request, number)
        policy.record_first_response(now, step, request, number, 3.0 * step.run_ms + step.wait_ms)
        policy.record_ended(now, step, number)
    request = demand((("y" * 8, 10.0), ("own", 2_000.0)), now)
    step = policy.choose(now, workers, request).plan.prefill_step
    assert step.forecast_ms > 1.8 * step.run_ms


def test_the_least_recently_used_prefixes_are_evicted():
    track = worker("p", "prefill")
    track.capacity_tokens = 1_000.0
    track.add_prefix((("a", 400.0), ("b", 400.0)))
    track.add_prefix((("a", 400.0),))
    track.add_prefix((("c", 400.0),))
    assert track.cached_tokens((("a", 400.0), ("b", 400.0))) == 400.0
    assert track.cached_tokens((("c", 400.0),)) == 400.0


@pytest.mark.parametrize("tokens", [0.0, 1.0])
def test_segments_of_few_tokens_are_evicted_too(tokens):
    """Guards against clients that name ever new segments, which the capacity in tokens does not bound."""
    track = worker("p", "prefill")
    track.capacity_tokens = 1e6
    for number in range(3 * MAX_PREFIX_SEGMENTS):
        track.add_prefix(((f"s{number}", tokens),))
    assert len(track.prefixes) <= MAX_PREFIX_SEGMENTS
    last = f"s{3 * MAX_PREFIX_SEGMENTS - 1}"
    assert last in track.prefixes


@pytest.mark.parametrize(
    "header",
    [
        b",".join(b"%x:1" % number for number in range(MAX_SEGMENTS + 1)),
        b"%s:1" % (b"a" * (MAX_SEGMENT_ID_BYTES + 1)),
    ],
    ids=["many", "long"],
)
def test_a_prefix_of_too_many_or_too_long_segments_is_not_kept(header):
    assert _segments(header) == ()
    assert _segments(b"a1:5,b2:6") == (("a1", 5.0), ("b2", 6.0))


def test_short_prefills_rank_before_long_ones_and_transfers_before_any():
    policy, workers = PairPolicy("a", Random(9)), fleet()
    plans = plans_of(policy, workers, demand(LONG), 20)
    assert {plan.response_step.rank for plan in plans} == {0} and all(
        plan.prefill_step.rank > 1 for plan in plans
    )
    cold = demand((("z" * 8, 10.0), ("own3", 30_000.0)))
    assert {plan.prefill_step.rank for plan in plans_of(policy, workers, cold, 20)} == {RANKS - 1}


def test_a_prefill_waits_for_earlier_ranks_and_for_the_one_in_progress():
    """A worker does not interrupt a prefill that has begun, whatever the rank of the next one is."""
    track = worker("p", "prefill")
    track.prefill_tokens[4] = 9_000.0
    assert track.prefill_tokens_ahead(1) == IN_PROGRESS_REMAINING_SHARE * 9_000.0, (
        "it is in progress, since nothing else is queued"
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
    ), "several prefills, of which one is in progress"
    track.prefill_tokens[4], track.peer_prefill_tokens[4], track.peer_scale = 0.0, 2_000.0, 2.0
    assert (
        track.prefill_tokens_ahead(1)
        == 500.0 + IN_PROGRESS_REMAINING_SHARE * IN_PROGRESS_PROBABILITY * 4_000.0
    )


@pytest.mark.parametrize(("scale", "run_ms"), [(0.0, 60.5), (1.0, 162.5), (4.0, 86.0)])
def test_a_preferred_worker_is_expected_to_be_warm_as_far_as_other_schedulers_are_unknown(scale, run_ms):
    """If all other schedulers announce their work, a prefix that none has announced is cached nowhere."""
    policy, track = PairPolicy("a", Random(4)), worker("p", "prefill")
    track.peer_scale = scale
    request = demand((("shared", 6_000.0), ("own", 1_125.0)))
    step = policy._prefill_step(0.0, track, ServingPhase.PREFILL, request, preferred=True)
    assert step.run_ms == pytest.approx(run_ms)
    assert step.prefix_match == PREFERRED_MATCH and step.repeated_tokens == 0.0


def test_work_that_other_schedulers_announce_counts_like_own_work():
    policy, workers = PairPolicy("a", Random(10)), fleet()
    for track in workers:
        track.peer_scale = 1.0
    for track in workers[:3]:
        track.peer_prefill_tokens[1] = 30_000.0
    request = demand((("w" * 8, 10.0), ("own4", 4_000.0)))
    assert {plan.prefill_step.worker.id for plan in plans_of(policy, workers, request, 50)} == {"p3"}


def test_a_transfer_between_zones_is_the_exception():
    policy, workers = PairPolicy("a", Random(3)), [worker(f"d-{zone}", "decode", zone) for zone in "abc"]
    source = worker("p-c", "prefill", "c")
    request = demand((("x", 6000.0), ("own", 3000.0)))
    chosen = [policy.choose_decode(0.0, workers, request, source, ()).worker.zone for _ in range(400)]
    assert chosen.count("c") > 0.8 * len(chosen)


@pytest.mark.parametrize(("peer_scale", "seconds"), [(0.0, 0.4), (1.0, 0.4), (4.0, 0.8), (100.0, 1.2)])
def test_silence_may_be_longer_if_few_schedulers_announce_their_work(peer_scale, seconds):
    track = worker("p", "prefill")
    track.peer_scale = peer_scale
    step = Step(
        track,
        ServingPhase.PREFILL,
        run_ms=50.0,
        wait_ms=0.0,
        slot_use=0.0,
        prefix_match=1.0,
        forecast_ms=60.0,
    )
    assert silence_age_s(step, 4.0, 400.0) == pytest.approx(seconds)
