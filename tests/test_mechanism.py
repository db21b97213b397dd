"""The parts of a decision (model, filter, tiers, draw, refusal), and regression tests of past failures."""

from collections import Counter
from math import log
from random import Random

import pytest
from helpers import SAFE, UNSAFE, actions_of, end_attempt, entry, make_dispatcher, submit, update_fleet

from molespur import Settings
from molespur.interface import (
    Cancel,
    ColdUsage,
    FleetUpdate,
    JobClass,
    Lifecycle,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    Send,
    SharedStateUpdate,
    Submitted,
    Tenant,
    TimerFired,
    UpdateMode,
    Watch,
)
from molespur.records import Job


def make_job(d, n, cls="safe", **more):
    more.setdefault("work_hint_ms", 100.0)
    return Job(Submitted(n, cls, 5000.0, **more), d.classes[cls], 3, d.now)


def set_pace(d, **paces):
    for name, value in paces.items():
        d.workers[name].pace = value
        d._set_slope(d.workers[name])


def test_model_learns_kind_speed_from_finished_jobs():
    d = make_dispatcher(progress_ms=0.0, tells_start=False)
    update_fleet(d, entry("quick", kind="q"), entry("slow", kind="s"))
    rng, now = Random(3), 10.0
    for n in range(400):
        now += 300
        hint = rng.uniform(50, 150)
        for send in actions_of(submit(d, n, now=now, work_hint_ms=hint), Send):
            took = hint * (0.5 if send.worker == "quick" else 2.0)
            end_attempt(d, n, Outcome.OK, now + took, elapsed=took)
        d.handle(now + 290, TimerFired("due"))
    quick, slow = (d.workers[n].slope for n in ("quick", "slow"))
    assert quick < 0.75 < slow


def test_a_single_job_is_within_its_tenants_quota_at_one_of_many_dispatchers():
    """20 jobs a second over 200 dispatchers are one in 10 s at each: its first job is within the quota."""
    classes = (JobClass("low", 1000.0, 5000.0), JobClass("high", 1000.0, 5000.0, priority=1))
    d = make_dispatcher(classes=classes, balancers=200, tenants=(Tenant("t", 20.0),), over_share_worth=0.1)
    update_fleet(d, entry("w"))
    submit(d, 1, "high", tenant="t", work_hint_ms=50.0)
    assert not d.jobs[1].sheddable


def test_own_unfinished_jobs_lengthen_the_forecast():
    d = make_dispatcher()
    update_fleet(d, entry("w"))
    w = d.workers["w"]
    waits = []
    for _ in range(6):
        waits.append(d._expected_wait(w, 1.0)[0])
        w.add_own(1.0, d.now)
    assert waits == sorted(waits) and waits[5] > waits[0] + 0.2 * d.mean_run


def test_draw_is_random_and_favours_most_headroom():
    d = make_dispatcher(2)
    update_fleet(d, entry("a"), entry("b"), entry("c"))
    set_pace(d, b=0.1, c=0.2)
    drawn = Counter()
    for n in range(400):
        job = make_job(d, n)
        drawn[d._choose(job, d.live)[0].id] += 1
    assert drawn["a"] > drawn["b"] > drawn["c"] and drawn["b"] > 20


def test_workers_that_miss_the_aim_are_explored_in_a_small_share():
    d = make_dispatcher(2)
    update_fleet(d, entry("good"), entry("bad"))
    set_pace(d, bad=2.5)
    drawn = Counter(d._choose(make_job(d, n), d.live)[0].id for n in range(3000))
    assert 5 <= drawn["bad"] <= 90


def test_among_workers_that_miss_the_aim_the_smallest_deficit_is_preferred():
    d = make_dispatcher(2)
    update_fleet(d, entry("bad"), entry("worse"))
    set_pace(d, bad=2.2, worse=2.5)
    picks = [d._choose(make_job(d, n, "unsafe", work_hint_ms=900.0), d.live) for n in range(200)]
    assert not any(meets for _, _, meets, _ in picks)
    drawn = Counter(w.id for w, *_ in picks)
    assert drawn["bad"] > 2 * drawn["worse"]


def test_a_worker_that_has_a_key_is_preferred_until_it_is_too_slow():
    d = make_dispatcher(4)
    update_fleet(d, *(entry(f"w{i}") for i in range(5)))
    d.preferred[9] = {}  # only keys that were sent count here
    d.workers["w3"].keys[9] = None
    drawn = Counter(d._choose(make_job(d, n, key=9), d.live)[0].id for n in range(300))
    assert drawn["w3"] > 280
    d.workers["w3"].other_slots, d.workers["w3"].measured_at = 40.0, d.now
    drawn = Counter(d._choose(make_job(d, n, key=9), d.live)[0].id for n in range(100))
    assert drawn["w3"] < 10


def test_lowest_priority_is_refused_unsent_when_no_worker_can_meet_the_aim():
    d = make_dispatcher(classes=(JobClass("low", 100, 5000), UNSAFE))
    update_fleet(d, entry("w"))
    assert actions_of(submit(d, 1, "low", work_hint_ms=4000.0), Refuse)
    assert actions_of(submit(d, 2, "unsafe", now=3.0, work_hint_ms=400.0), Send)


def test_needed_kind_slots_and_memory_limit_the_choice():
    cls = JobClass("bound", 500, 5000, kind="x")
    d = make_dispatcher(classes=(cls, SAFE))
    update_fleet(d, entry("a", kind="y"), entry("b", kind="x"))
    assert actions_of(submit(d, 1, "bound", work_hint_ms=50.0), Send)[0].worker == "b"
    d.workers["a"].learn_slots(2)
    d.workers["b"].learn_slots(4)
    assert actions_of(submit(d, 2, now=3.0, memory=3.0, work_hint_ms=50.0), Send)[0].worker == "b"


def test_jobs_over_their_tenants_quota_are_shed_first():
    d = make_dispatcher(classes=(UNSAFE,), tenants=(Tenant("t", 2.0),), over_share_worth=0.1)
    update_fleet(d, *(entry(f"w{i}") for i in range(4)))
    jobs = []
    for n in range(4):
        submit(d, n, "unsafe", tenant="t", work_hint_ms=50.0)
        jobs.append(d.jobs[n])
    assert [j.sheddable for j in jobs] == [True if n == 0 else j.sheddable for n, j in enumerate(jobs)]
    assert jobs[-1].sheddable and jobs[-1].worth == pytest.approx(0.5)


def test_a_fast_failing_worker_does_not_attract_all_jobs():
    d = make_dispatcher(5)
    update_fleet(d, *(entry(f"w{i}") for i in range(4)))
    now, bad = 10.0, 0
    for n in range(200):
        now += 40
        for send in actions_of(submit(d, n, now=now, work_hint_ms=100.0), Send):
            bad += send.worker == "w0"
            outcome = Outcome.ERROR if send.worker == "w0" else Outcome.OK
            again = end_attempt(d, n, outcome, now + 2, elapsed=2.0)
            for more in actions_of(again, Send):
                bad += more.worker == "w0"
                end_attempt(d, n, Outcome.OK, now + 30, attempt=1, elapsed=28.0)
    assert bad <= 8


def test_jobs_do_not_use_up_their_attempts_on_full_workers():
    d = make_dispatcher(6)
    update_fleet(d, entry("w0"), entry("w1"))
    submit(d, 1, work_hint_ms=400.0)
    sends, now = 1, 5.0
    actions = end_attempt(d, 1, Outcome.FULL, now)
    while now < 60.0:
        for _ in actions_of(actions, Send):
            sends += 1
            end_attempt(d, 1, Outcome.FULL, now, attempt=sends - 1)
        now += 5
        actions = d.handle(now, TimerFired("due"))
    assert sends <= 3


def test_slots_are_learned_from_high_readings():
    d = make_dispatcher()
    update_fleet(d, entry("w"))
    w = d.workers["w"]
    for reading in (4, 2, 2, 2, 2):
        w.learn_slots(reading)
    assert w.slots > 3.5


def test_a_large_job_waits_for_a_warm_worker_where_a_share_holds_usual_jobs():
    """Single jobs may exceed a dispatcher's share only where that is smaller than a usual job."""
    d = make_dispatcher(cold_ms=60_000.0)
    update_fleet(d, entry("new", started_at=1.0))
    for _ in range(20):
        d.classes["safe"].learn_run(100.0)
    d.mean_run = 100.0
    large = make_job(d, 1, work_hint_ms=4000.0)
    d.now, d.workers["new"].large_job_since = 30_000.0, -1e9
    assert not d._cold_allows(d.workers["new"], large)
    d.mean_run = 4000.0
    assert d._cold_allows(d.workers["new"], large)


def test_late_priority_jobs_raise_the_margin_for_cheaper_jobs():
    d = make_dispatcher(classes=(JobClass("low", 500, 5000), UNSAFE), worth_by_work=True)
    update_fleet(d, entry("w"))
    for n in range(8):
        d.workers["w"].other_slots, d.workers["w"].measured_at = (
            40.0,
            10.0 + 3000 * n,
        )  # jobs of others make it wait
        submit(d, n, "unsafe", now=10.0 + 3000 * n, work_hint_ms=100.0)
        end_attempt(d, n, Outcome.OK, 10.0 + 3000 * n + 900, elapsed=900.0)
    assert d.margins[None][0] > 0.5
    before = d.margins[None][0]
    for n in range(8, 20):
        submit(d, n, "unsafe", now=40000.0 + 300 * n, work_hint_ms=100.0)
        end_attempt(d, n, Outcome.OK, 40000.0 + 300 * n + 100, elapsed=100.0)
    assert d.margins[None][0] < before


def test_a_job_that_is_late_only_by_its_hint_does_not_raise_the_margin():
    """Guards against refusals at low load: with rough hints many jobs look late though none had to wait."""
    d = make_dispatcher(classes=(JobClass("low", 500, 5000), UNSAFE), worth_by_work=True)
    update_fleet(d, *(entry(f"w{n}") for n in range(4)))
    for n in range(8):
        submit(d, n, "unsafe", now=10.0 + 3000 * n, work_hint_ms=400.0)
        end_attempt(d, n, Outcome.OK, 10.0 + 3000 * n + 1500, elapsed=1500.0)
    assert d.margins[None][0] == 0.0


def test_an_expected_key_miss_does_not_count_as_slowness_of_the_worker():
    """Guards against workers that look ever slower, and get no jobs, since they seldom have the keys."""
    d = make_dispatcher(tells_start=False)
    update_fleet(d, entry("w"))
    w, now = d.workers["w"], 10.0
    for n in range(60):
        now += 3000
        submit(d, n, "unsafe", now=now, key=n, work_hint_ms=100.0)
        took = sum(d.jobs[n].attempts[0].sample[1:4])
        end_attempt(d, n, Outcome.OK, now + took, elapsed=took)
    assert abs(w.pace) < 0.1


def test_rough_hints_do_not_swing_a_workers_pace():
    """Guards against a pace that follows the error of the latest hint instead of the worker."""
    d = make_dispatcher(tells_start=False, progress_ms=0.0)
    update_fleet(d, entry("w"))
    rng, now, seen = Random(5), 10.0, []
    for n in range(200):
        now += 3000
        submit(d, n, now=now, work_hint_ms=100.0)
        took = sum(d.jobs[n].attempts[0].sample[1:3]) * rng.lognormvariate(0, 1)
        end_attempt(d, n, Outcome.OK, now + took, elapsed=took)
        seen.append(d.workers["w"].pace)
    assert max(seen) - min(seen) < 0.9


@pytest.mark.parametrize("informative, max_slope, min_slope", [(True, 1.2, 1.0), (False, 0.3, 0.0)])
def test_hints_are_trusted_as_far_as_finished_jobs_confirm_them(informative, max_slope, min_slope):
    """Guards against aims and forecasts that follow rough hints: small jobs were refused on idle workers."""
    d = make_dispatcher(tells_start=False, progress_ms=0.0)
    update_fleet(d, entry("w"))
    rng, now = Random(6), 10.0
    for n in range(300):
        now += 5000
        hint = 200.0 * rng.lognormvariate(0, 1)
        submit(d, n, "unsafe", now=now, work_hint_ms=hint)
        took = sum(d.jobs[n].attempts[0].sample[2:4]) + (hint if informative else 200.0)
        end_attempt(d, n, Outcome.OK, now + took, elapsed=took)
    state = d.classes["unsafe"]
    assert min_slope * 0.8 <= log(state.expected_run(800.0) / state.expected_run(100.0)) / log(8) <= max_slope


def test_the_forecast_grows_with_the_silence_of_a_worker():
    d = make_dispatcher()
    update_fleet(d, entry("w"))
    submit(d, 1, work_hint_ms=100.0)
    w = d.workers["w"]
    d.now = 500.0
    near = d._expected_wait(w, 1.0)[0]
    d.now = 4000.0
    assert d._expected_wait(w, 1.0)[0] > near + 2000


def test_a_timeout_without_contact_ejects_the_worker():
    d = make_dispatcher(tells_start=False)
    update_fleet(d, entry("w"))
    submit(d, 1, "unsafe")
    end_attempt(d, 1, Outcome.TIMEOUT, 5002, elapsed=5000.0)
    assert d.workers["w"].ejections == 1


def test_the_aim_of_a_retry_counts_from_the_first_attempt():
    d = make_dispatcher()
    update_fleet(d, entry("w"))
    first = make_job(d, 1)
    state = d.classes["safe"]
    again = type(first)(Submitted(2, "safe", 4600.0, work_hint_ms=100.0), state, 3, d.now)
    assert again.aim_at == pytest.approx(first.aim_at - 400)


def test_the_watch_is_requested_again_after_an_error():
    d = make_dispatcher(subscribes=True, must_ask_in_ms=4000.0)
    d.handle(5.0, FleetUpdate(UpdateMode.ERROR))
    requests, now = 0, 5.0
    while now < 4000:
        now += 50
        requests += len(actions_of(d.handle(now, TimerFired("due")), Watch))
    assert 1 <= requests <= 8


def test_workers_are_probed_only_where_permitted():
    for allowed in (True, False):
        d = make_dispatcher(may_probe=allowed)
        update_fleet(d, entry("w"))
        seen, now = [], 1.0
        while now < 3000:
            now += 20
            seen += actions_of(d.handle(now, TimerFired("due")), Probe)
        assert bool(seen) is allowed


@pytest.mark.parametrize(
    ("field", "value"),
    [("balancers", 0), ("cold_start_share", 0.0), ("cold_ms", -1.0), ("max_attempts", float("nan"))],
)
def test_invalid_settings_name_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        Settings(classes=(SAFE,), **{field: value})


def test_an_invalid_class_names_the_field():
    with pytest.raises(ValueError, match="deadline_ms"):
        JobClass("x", 1, 0)


def test_nothing_is_sent_to_a_worker_whose_queue_is_full():
    d = make_dispatcher(9)
    update_fleet(d, entry("w"))
    w = d.workers["w"]
    submit(d, 1, work_hint_ms=400.0)
    w.other_slots, w.measured_at = 4.0, 3.0
    end_attempt(d, 1, Outcome.FULL, 3.0)
    w.full_until = 0.0
    w.other_slots, w.measured_at = 6.0, d.now
    assert d._choose(make_job(d, 2), d.live) is None
    w.other_slots, w.measured_at = 1.0, d.now
    assert d._choose(make_job(d, 3), d.live) is not None


def test_cold_worker_is_forecast_as_one_with_fewer_slots():
    d = make_dispatcher()
    update_fleet(d, entry("w"), entry("new", started_at=1.0))
    warm, cold = d.workers["w"], d.workers["new"]
    assert cold.slope == warm.slope
    warm.own_slots = cold.own_slots = 2.0  # of four slots, and of one while a quarter warm
    assert d._expected_wait(cold, 1.0)[0] > 10 * d._expected_wait(warm, 1.0)[0]


def test_a_cold_worker_gets_jobs_even_where_a_share_is_smaller_than_a_job():
    d = make_dispatcher(balancers=8)
    update_fleet(d, entry("new", started_at=1.0))
    sent, now = 0, 10.0
    for n in range(80):
        now += 100
        sent += len(actions_of(submit(d, n, now=now, work_hint_ms=300.0), Send))
        sent += len(actions_of(d.handle(now + 50, TimerFired("due")), Send))
    assert 1 <= sent <= 6


def test_the_draw_prefers_the_own_zone_by_the_price_of_crossing():
    shares = []
    for price in (0.0, 0.03):
        d = make_dispatcher(3, zone="a", cross_zone_price=price)
        update_fleet(d, entry("near", zone="a"), entry("far", zone="b"))
        shares.append(sum(d._choose(make_job(d, n), d.live)[0].id == "near" for n in range(400)) / 400)
    assert shares[0] < 0.6 < 0.75 < shares[1]


def test_classes_of_zero_worth_are_accepted():
    d = make_dispatcher(classes=(SAFE, JobClass("nil", 500, 5000, priority=1, worth=0)))
    update_fleet(d, entry("w"))
    for n in range(4):
        submit(d, n, "nil", now=10.0 + 3000 * n, work_hint_ms=100.0)
        end_attempt(d, n, Outcome.OK, 2510.0 + 3000 * n, elapsed=2500.0)
    assert actions_of(submit(d, 9, now=20000.0, work_hint_ms=50.0), Send)


def test_the_load_of_warm_workers_is_not_assumed_for_cold_ones():
    """The load by others is learned apart for cold workers: that of warm ones must not exclude them."""
    d = make_dispatcher(balancers=9, cold_ms=60_000.0)
    update_fleet(d, entry("w"), entry("new", started_at=1.0))
    warm, cold = d.workers["w"], d.workers["new"]
    warm.add_own(3.0, 1.0)
    warm.add_own(0.0, 5000.0)
    d.now = 5000.0
    d._refit()
    warm.add_own(-3.0, 5000.0)
    assert d._expected_wait(warm, 1.0)[0] > 3 * d._expected_wait(cold, 1.0)[0]


def test_in_a_large_fleet_a_subset_that_favours_the_own_zone_is_used():
    """Guards against jobs spread so thinly that no worker is ever known, and against the cost of a choice."""
    d = make_dispatcher(cpu_per_request_us=10.0, zone="a")
    update_fleet(d, *(entry(f"w{n}", zone="abcde"[n % 5]) for n in range(200)))
    sent = Counter(s.worker for n in range(100) for s in actions_of(submit(d, n, now=10.0 + n), Send))
    few = d.live[: d.subset_size]
    assert set(sent) <= {w.id for w in few}
    assert 0.2 * d.subset_size < sum(w.zone == "a" for w in few) < 0.8 * d.subset_size
    other = make_dispatcher(seed=2, cpu_per_request_us=10.0, zone="a")
    update_fleet(other, *(entry(f"w{n}", zone="abcde"[n % 5]) for n in range(200)))
    assert len({w.id for w in few} & {w.id for w in other.live[: other.subset_size]}) < d.subset_size


def test_a_full_subset_does_not_stop_jobs_while_others_have_room():
    d = make_dispatcher(cpu_per_request_us=10.0)
    update_fleet(d, *(entry(f"w{n}") for n in range(200)))
    few = {w.id for w in d.live[: d.subset_size]}
    for worker in d.live[: d.subset_size]:
        worker.full_until = 1e6
    (send,) = actions_of(submit(d, 1), Send)
    assert send.worker not in few


def test_the_load_by_others_is_learned_from_reports_where_there_are_any():
    """Own jobs times a hundred dispatchers would be noise, and exclude workers without a recent report."""
    d = make_dispatcher(balancers=100)
    update_fleet(d, *(entry(f"w{n}") for n in range(30)))
    for n, worker in enumerate(d.live):
        d.now = 10.0 + n
        d._apply_report(worker, {"inflight": 2.0, "free_slots": 2.0})
    d.live[0].add_own(4.0, 20.0)
    d.now = 5000.0
    d._refit()
    assert 0.3 < d.others_load[False] < 0.6


@pytest.mark.parametrize("outcome, passes", [(Outcome.FULL, 0), (Outcome.ERROR, 0), (Outcome.OK, 1)])
def test_the_held_queue_is_scanned_when_a_slot_is_freed(outcome, passes):
    """Guards against its cost under overload, when most outcomes are FULL, which frees no slot."""
    d = make_dispatcher(tells_start=False)
    update_fleet(d, entry("w"))
    calls = []
    d._retry_held = lambda: calls.append(d.now)
    submit(d, 1)
    end_attempt(d, 1, outcome, 5.0)
    assert len(calls) == passes


def test_the_rate_of_probes_follows_their_price_in_a_fleet_of_any_size():
    d = make_dispatcher(may_probe=True, probe_price=0.002)
    update_fleet(d, *(entry(f"w{n}") for n in range(200)))
    probes, fed = 0, 0
    for now in range(10, 20_000, 10):
        if now % 300 == 0:
            fed += 1
            submit(d, now, now=float(now))
        probes += len(actions_of(d.handle(float(now), TimerFired("due")), Probe))
    assert fed < probes < 3 * fed


def test_all_dispatchers_prefer_the_same_worker_for_a_new_key():
    """Guards against keys that each dispatcher brings to a worker of its own."""
    names = [f"w{n}" for n in range(8)]
    preferred = {}
    for seed in range(6):
        d = make_dispatcher(seed)
        update_fleet(d, *(entry(name) for name in (names if seed % 2 else reversed(names))))
        for key in range(40):
            chosen = [d._choose(make_job(d, 1, key=key), d.live)[0].id for _ in range(4)]
            preferred.setdefault(key, Counter()).update(chosen)
    assert all(seen.most_common(1)[0][1] >= 21 for seen in preferred.values())
    assert len({seen.most_common(1)[0][0] for seen in preferred.values()}) == 8
    d.handle(3.0, FleetUpdate(UpdateMode.PARTIAL, (entry("w1", lifecycle=Lifecycle.GONE),)))
    assert not any("w1" in d.preferred[k] for k in range(40) if d._key_match(d.workers["w0"], k) >= 0)


def test_a_held_job_does_not_block_others_of_its_class():
    """Guards against a queue behind one job whose key is cold, while others would be in time at once."""
    d = make_dispatcher()
    update_fleet(d, entry("a"), entry("b"))
    set_pace(d, a=0.7, b=0.7)
    d.mean_run = 2000.0  # a key miss makes any job late
    for w in d.live:
        w.keys.update({n: None for n in range(20)})
    d.preferred = {n: {} for n in range(100)}
    assert not actions_of(submit(d, 1, key=50, work_hint_ms=100.0), Send) and len(d.held) == 1
    assert actions_of(submit(d, 2, key=19, work_hint_ms=100.0, now=3.0), Send)


def test_a_frequent_key_has_many_preferred_workers():
    """Guards against all dispatchers overloading one worker with the key that most jobs need."""
    d = make_dispatcher()
    update_fleet(d, *(entry(f"w{n}") for n in range(10)))
    for n in range(200):
        submit(d, n, key=7 if n % 4 == 0 else 1000 + n, now=10.0 + n)
        end_attempt(d, n, Outcome.OK, 10.5 + n)
    d.preferred = {}
    preferred = {
        key: sum(d._key_match(w, key) > 0.8 and key not in w.keys for w in d.live) for key in (7, 2000)
    }
    for w in d.live:
        w.keys.clear()
    warm = {key: sum(d._key_match(w, key) > 0.8 for w in d.live) for key in (7, 2000)}
    assert warm[2000] == 1 and warm[7] >= 4 and preferred[2000] == 1


def test_single_broken_connections_among_finished_jobs_eject_no_worker():
    """Guards against a lossy network that puts the whole fleet on probation, where keyed jobs go nowhere."""
    d = make_dispatcher(tells_start=False)
    update_fleet(d, entry("w"))
    for n in range(40):
        submit(d, n, now=10.0 + n)
        end_attempt(d, n, Outcome.RESET if n % 4 == 0 else Outcome.OK, 10.5 + n)
    assert not d.workers["w"].probation
    for n in range(40, 45):
        submit(d, n, now=10.0 + n)
        end_attempt(d, n, Outcome.RESET, 10.5 + n)
    assert d.workers["w"].probation


def test_a_worker_that_answers_no_probe_is_ejected_and_its_jobs_go_elsewhere():
    """Guards against jobs that wait until their deadline for a machine that is gone."""
    d = make_dispatcher(may_probe=True, tells_start=False)
    update_fleet(d, entry("a", cell=1), entry("b", cell=1))
    submitted = [submit(d, n, work_hint_ms=100.0) for n in range(6)]
    sent = {s.worker: s.request for actions in submitted for s in actions_of(actions, Send)}
    d.handle(100.0, ProbeEnded("a", Outcome.TIMEOUT, 200.0))
    assert not d.workers["a"].probation
    cancels = actions_of(d.handle(400.0, ProbeEnded("a", Outcome.TIMEOUT, 200.0)), Cancel)
    assert sent["a"] in {c.request for c in cancels} and sent["b"] not in {c.request for c in cancels}
    moved = actions_of(end_attempt(d, sent["a"], Outcome.CANCELLED, 401.0), Send)
    assert [s.worker for s in moved] == ["b"]


def test_watch_requests_do_not_double_at_each_error():
    """Guards against calls to a failed discovery so often that each cuts off the one before."""
    d, now, requests = make_dispatcher(subscribes=True, must_ask_in_ms=10000.0), 0.0, 1
    update_fleet(d, now=now, mode=UpdateMode.ERROR)
    for _ in range(600):
        now += 50.0
        for _ in actions_of(d.handle(now, TimerFired("due")), Watch):
            requests += 1
            update_fleet(d, now=now, mode=UpdateMode.ERROR)
    assert 5 <= requests <= 24  # 30 s: delays of up to 0.2 s, which doubles up to 5 s


def send_cold_work(d, n=60):
    """Send n jobs of 100 ms at once as far as the cold budget allows; the work that is sent."""
    d.now = 30.0
    for i in range(n):
        job = Job(Submitted(i, "safe", 5000.0, work_hint_ms=100.0), d.classes["safe"], 3, d.now)
        if d._cold_allows(d.workers["new"], job):
            d._send(job, d.workers["new"], None)
    return d._cold_budget(d.workers["new"])[2]


@pytest.mark.parametrize(("share", "expected_share"), [(None, 0.25), (0.5, 0.5), (1.0, 1.0), (0.0, 0.0)])
def test_a_cold_worker_gets_the_share_that_the_schedulers_agree_on(share, expected_share):
    d = make_dispatcher(balancers=4, cold_ms=60_000.0, cold_window_ms=4000.0)
    update_fleet(d, entry("new", started_at=1.0))
    for state in d.classes.values():
        state.mean = d.mean_run = 100.0  # sends count for at least their class's mean
    limit = d._cold_budget(d.workers["new"])[1]
    shares = {} if share is None else {"new": share}
    (usage,) = actions_of(d.handle(20.0, SharedStateUpdate(shares)), ColdUsage) or (None,)
    sent = send_cold_work(d)
    assert expected_share * limit - 200.0 < sent <= expected_share * limit + 1e-6
    (usage,) = actions_of(d.handle(40.0, SharedStateUpdate({"new": 0.5})), ColdUsage)
    assert usage.worker == "new" and usage.sent_share == pytest.approx(sent / limit, rel=0.01)
    assert usage.requested_share > expected_share - 0.01, "more was requested than it got"


def test_a_worker_that_schedulers_judge_bad_is_ejected_and_then_on_probation():
    d = make_dispatcher()
    update_fleet(d, entry("w0"), entry("w1"), entry("w2"))
    d.handle(5.0, SharedStateUpdate(bad_workers=frozenset({"w1", "unknown"})))
    assert d.ejected_workers(6.0) == {"w1"} and d.workers["w1"].probation
    d.handle(7.0, SharedStateUpdate(bad_workers=frozenset({"w1"})))
    assert d.workers["w1"].ejections == 1, "reported again during its ejection: not ejected twice"
    d.handle(8.0, SharedStateUpdate(bad_workers=frozenset({"w0", "w1", "w2"})))
    assert d.ejected_workers(9.0) == set(), "none, since too many would be ejected"


@pytest.mark.parametrize("outcome", [Outcome.MOOT, Outcome.RESET])
def test_without_retries_left_only_an_attempt_that_was_never_sent_is_repeated(outcome):
    d = make_dispatcher()
    update_fleet(d, entry("w0"), entry("w1"), entry("w2"))
    d.handle(5.0, SharedStateUpdate(retries_left=0.0))
    submit(d, 7, now=10.0)
    actions = end_attempt(d, 7, outcome, 20.0)
    assert bool(actions_of(actions, Send)) is (outcome is Outcome.MOOT)
    assert bool(actions_of(actions, Refuse)) is (outcome is Outcome.RESET)
