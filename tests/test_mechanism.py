"""The design's parts: model, filter, tiers, draw, refusal; and each failure found so far."""

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
    SharedState,
    Submitted,
    Tenant,
    TimerFired,
    UpdateMode,
    Watch,
)
from molespur.records import Job


def d_job(d, n, cls="safe", **more):
    more.setdefault("work_hint_ms", 100.0)
    return Job(Submitted(n, cls, 5000.0, **more), d.classes[cls], 3, d.now)


def pace(d, **paces):
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


def test_a_lone_job_is_within_its_tenants_share_at_one_of_many():
    """At 200 dispatchers a share of 20 jobs a second is one in 10 s at each: its first is not over it."""
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
    pace(d, b=0.1, c=0.2)
    drawn = Counter()
    for n in range(400):
        job = d_job(d, n)
        drawn[d._choose(job, d.live)[0].id] += 1
    assert drawn["a"] > drawn["b"] > drawn["c"] and drawn["b"] > 20


def test_missing_tier_is_explored_a_little():
    d = make_dispatcher(2)
    update_fleet(d, entry("good"), entry("bad"))
    pace(d, bad=2.5)
    drawn = Counter(d._choose(d_job(d, n), d.live)[0].id for n in range(3000))
    assert 5 <= drawn["bad"] <= 90


def test_smallest_deficit_in_the_missing_tier():
    d = make_dispatcher(2)
    update_fleet(d, entry("bad"), entry("worse"))
    pace(d, bad=2.2, worse=2.5)
    picks = [d._choose(d_job(d, n, "unsafe", work_hint_ms=900.0), d.live) for n in range(200)]
    assert not any(meets for _, _, meets, _ in picks)
    drawn = Counter(w.id for w, *_ in picks)
    assert drawn["bad"] > 2 * drawn["worse"]


def test_warm_workers_keep_a_key_until_they_fall_behind():
    d = make_dispatcher(4)
    update_fleet(d, *(entry(f"w{i}") for i in range(5)))
    d.preferred[9] = {}  # only what was sent counts here
    d.workers["w3"].keys[9] = None
    drawn = Counter(d._choose(d_job(d, n, key=9), d.live)[0].id for n in range(300))
    assert drawn["w3"] > 280
    d.workers["w3"].other_slots, d.workers["w3"].measured_at = 40.0, d.now
    drawn = Counter(d._choose(d_job(d, n, key=9), d.live)[0].id for n in range(100))
    assert drawn["w3"] < 10


def test_lowest_priority_is_refused_unsent_when_none_can_meet():
    d = make_dispatcher(classes=(JobClass("low", 100, 5000), UNSAFE))
    update_fleet(d, entry("w"))
    assert actions_of(submit(d, 1, "low", work_hint_ms=4000.0), Refuse)
    assert actions_of(submit(d, 2, "unsafe", now=3.0, work_hint_ms=400.0), Send)


def test_needed_kind_slots_and_memory_bound_the_choice():
    cls = JobClass("bound", 500, 5000, kind="x")
    d = make_dispatcher(classes=(cls, SAFE))
    update_fleet(d, entry("a", kind="y"), entry("b", kind="x"))
    assert actions_of(submit(d, 1, "bound", work_hint_ms=50.0), Send)[0].worker == "b"
    d.workers["a"].learn_slots(2)
    d.workers["b"].learn_slots(4)
    assert actions_of(submit(d, 2, now=3.0, memory=3.0, work_hint_ms=50.0), Send)[0].worker == "b"


def test_over_share_jobs_yield_first():
    d = make_dispatcher(classes=(UNSAFE,), tenants=(Tenant("t", 2.0),), over_share_worth=0.1)
    update_fleet(d, *(entry(f"w{i}") for i in range(4)))
    jobs = []
    for n in range(4):
        submit(d, n, "unsafe", tenant="t", work_hint_ms=50.0)
        jobs.append(d.jobs[n])
    assert [j.sheddable for j in jobs] == [True if n == 0 else j.sheddable for n, j in enumerate(jobs)]
    assert jobs[-1].sheddable and jobs[-1].worth == pytest.approx(0.5)


def test_fast_failing_worker_is_no_black_hole():
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


def test_full_worker_rests_and_jobs_keep_their_attempts():
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


def test_slots_are_learnt_from_high_readings():
    d = make_dispatcher()
    update_fleet(d, entry("w"))
    w = d.workers["w"]
    for reading in (4, 2, 2, 2, 2):
        w.learn_slots(reading)
    assert w.slots > 3.5


def test_large_job_waits_for_a_warm_worker_where_a_share_holds_usual_ones():
    """Only where a dispatcher's share is under a usual job may single jobs exceed it."""
    d = make_dispatcher(cold_ms=60_000.0)
    update_fleet(d, entry("new", born=1.0))
    for _ in range(20):
        d.classes["safe"].learn_run(100.0)
    d.mean_run = 100.0
    large = d_job(d, 1, work_hint_ms=4000.0)
    d.now, d.workers["new"].large_job_since = 30_000.0, -1e9
    assert not d._cold_allows(d.workers["new"], large)
    d.mean_run = 4000.0
    assert d._cold_allows(d.workers["new"], large)


def test_late_priority_jobs_raise_the_bar_for_cheaper_ones():
    d = make_dispatcher(classes=(JobClass("low", 500, 5000), UNSAFE), worth_by_work=True)
    update_fleet(d, entry("w"))
    for n in range(8):
        d.workers["w"].other_slots, d.workers["w"].measured_at = (
            40.0,
            10.0 + 3000 * n,
        )  # others' jobs have it waiting
        submit(d, n, "unsafe", now=10.0 + 3000 * n, work_hint_ms=100.0)
        end_attempt(d, n, Outcome.OK, 10.0 + 3000 * n + 900, elapsed=900.0)
    assert d.margins[None][0] > 0.5
    before = d.margins[None][0]
    for n in range(8, 20):
        submit(d, n, "unsafe", now=40000.0 + 300 * n, work_hint_ms=100.0)
        end_attempt(d, n, Outcome.OK, 40000.0 + 300 * n + 100, elapsed=100.0)
    assert d.margins[None][0] < before


def test_a_job_that_only_its_hint_made_late_does_not_raise_the_bar():
    """Guards against refusals on a calm day: with rough hints many jobs look late though none had to wait."""
    d = make_dispatcher(classes=(JobClass("low", 500, 5000), UNSAFE), worth_by_work=True)
    update_fleet(d, *(entry(f"w{n}") for n in range(4)))
    for n in range(8):
        submit(d, n, "unsafe", now=10.0 + 3000 * n, work_hint_ms=400.0)
        end_attempt(d, n, Outcome.OK, 10.0 + 3000 * n + 1500, elapsed=1500.0)
    assert d.margins[None][0] == 0.0


def test_an_expected_key_miss_is_no_slowness_of_the_worker():
    """Guards against workers that look ever slower, and are shunned, because keys are seldom found there."""
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
    """Guards against pace that follows the latest hint's error instead of the worker."""
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


@pytest.mark.parametrize("told, most, least", [(True, 1.2, 1.0), (False, 0.3, 0.0)])
def test_hints_count_as_far_as_finished_jobs_bear_them_out(told, most, least):
    """Guards against aims and forecasts that follow rough hints: small hints were refused on idle workers."""
    d = make_dispatcher(tells_start=False, progress_ms=0.0)
    update_fleet(d, entry("w"))
    rng, now = Random(6), 10.0
    for n in range(300):
        now += 5000
        hint = 200.0 * rng.lognormvariate(0, 1)
        submit(d, n, "unsafe", now=now, work_hint_ms=hint)
        took = sum(d.jobs[n].attempts[0].sample[2:4]) + (hint if told else 200.0)
        end_attempt(d, n, Outcome.OK, now + took, elapsed=took)
    state = d.classes["unsafe"]
    assert least * 0.8 <= log(state.expected_run(800.0) / state.expected_run(100.0)) / log(8) <= most


def test_unheard_worker_looks_slow():
    d = make_dispatcher()
    update_fleet(d, entry("w"))
    submit(d, 1, work_hint_ms=100.0)
    w = d.workers["w"]
    d.now = 500.0
    near = d._expected_wait(w, 1.0)[0]
    d.now = 4000.0
    assert d._expected_wait(w, 1.0)[0] > near + 2000


def test_time_out_without_a_word_is_a_strike():
    d = make_dispatcher(tells_start=False)
    update_fleet(d, entry("w"))
    submit(d, 1, "unsafe")
    end_attempt(d, 1, Outcome.TIMEOUT, 5002, elapsed=5000.0)
    assert d.workers["w"].ejections == 1


def test_repeats_are_aimed_from_the_first_try():
    d = make_dispatcher()
    update_fleet(d, entry("w"))
    first = d_job(d, 1)
    state = d.classes["safe"]
    again = type(first)(Submitted(2, "safe", 4600.0, work_hint_ms=100.0), state, 3, d.now)
    assert again.aim_at == pytest.approx(first.aim_at - 400)


def test_watch_is_asked_for_again_after_an_error():
    d = make_dispatcher(subscribes=True, must_ask_in_ms=4000.0)
    d.handle(5.0, FleetUpdate(UpdateMode.ERROR))
    asked, now = 0, 5.0
    while now < 4000:
        now += 50
        asked += len(actions_of(d.handle(now, TimerFired("due")), Watch))
    assert 1 <= asked <= 8


def test_probes_only_where_permitted():
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
def test_senseless_settings_name_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        Settings(classes=(SAFE,), **{field: value})


def test_senseless_class_names_the_field():
    with pytest.raises(ValueError, match="deadline_ms"):
        JobClass("x", 1, 0)


def test_queue_that_takes_no_more_is_not_sent_to():
    d = make_dispatcher(9)
    update_fleet(d, entry("w"))
    w = d.workers["w"]
    submit(d, 1, work_hint_ms=400.0)
    w.other_slots, w.measured_at = 4.0, 3.0
    end_attempt(d, 1, Outcome.FULL, 3.0)
    w.full_until = 0.0
    w.other_slots, w.measured_at = 6.0, d.now
    assert d._choose(d_job(d, 2), d.live) is None
    w.other_slots, w.measured_at = 1.0, d.now
    assert d._choose(d_job(d, 3), d.live) is not None


def test_cold_worker_is_forecast_as_one_with_fewer_slots():
    d = make_dispatcher()
    update_fleet(d, entry("w"), entry("new", born=1.0))
    warm, cold = d.workers["w"], d.workers["new"]
    assert cold.slope == warm.slope
    warm.own_slots = cold.own_slots = 2.0  # of four slots, and of one while a quarter warm
    assert d._expected_wait(cold, 1.0)[0] > 10 * d._expected_wait(warm, 1.0)[0]


def test_cold_worker_gets_jobs_even_where_a_share_is_smaller_than_one():
    d = make_dispatcher(balancers=8)
    update_fleet(d, entry("new", born=1.0))
    sent, now = 0, 10.0
    for n in range(80):
        now += 100
        sent += len(actions_of(submit(d, n, now=now, work_hint_ms=300.0), Send))
        sent += len(actions_of(d.handle(now + 50, TimerFired("due")), Send))
    assert 1 <= sent <= 6


def test_draw_prefers_its_own_zone_by_the_price_of_crossing():
    shares = []
    for price in (0.0, 0.03):
        d = make_dispatcher(3, zone="a", cross_zone_price=price)
        update_fleet(d, entry("near", zone="a"), entry("far", zone="b"))
        shares.append(sum(d._choose(d_job(d, n), d.live)[0].id == "near" for n in range(400)) / 400)
    assert shares[0] < 0.6 < 0.75 < shares[1]


def test_classes_worth_nothing_are_no_fault():
    d = make_dispatcher(classes=(SAFE, JobClass("nil", 500, 5000, priority=1, worth=0)))
    update_fleet(d, entry("w"))
    for n in range(4):
        submit(d, n, "nil", now=10.0 + 3000 * n, work_hint_ms=100.0)
        end_attempt(d, n, Outcome.OK, 2510.0 + 3000 * n, elapsed=2500.0)
    assert actions_of(submit(d, 9, now=20000.0, work_hint_ms=50.0), Send)


def test_cold_worker_is_not_taken_for_as_busy_as_the_warm_ones():
    """Others' unseen load on cold workers is learnt apart: warm ones' load must not shut them out."""
    d = make_dispatcher(balancers=9, cold_ms=60_000.0)
    update_fleet(d, entry("w"), entry("new", born=1.0))
    warm, cold = d.workers["w"], d.workers["new"]
    warm.add_own(3.0, 1.0)
    warm.add_own(0.0, 5000.0)
    d.now = 5000.0
    d._refit()
    warm.add_own(-3.0, 5000.0)
    assert d._expected_wait(warm, 1.0)[0] > 3 * d._expected_wait(cold, 1.0)[0]


def test_large_fleet_is_known_by_a_subset_that_favours_the_own_zone():
    """Guards against jobs spread so thin that no worker is ever known, and against the cost of a choice."""
    d = make_dispatcher(cpu_per_request_us=10.0, zone="a")
    update_fleet(d, *(entry(f"w{n}", zone="abcde"[n % 5]) for n in range(200)))
    sent = Counter(s.worker for n in range(100) for s in actions_of(submit(d, n, now=10.0 + n), Send))
    few = d.live[: d.subset_size]
    assert set(sent) <= {w.id for w in few}
    assert 0.2 * d.subset_size < sum(w.zone == "a" for w in few) < 0.8 * d.subset_size
    other = make_dispatcher(seed=2, cpu_per_request_us=10.0, zone="a")
    update_fleet(other, *(entry(f"w{n}", zone="abcde"[n % 5]) for n in range(200)))
    assert len({w.id for w in few} & {w.id for w in other.live[: other.subset_size]}) < d.subset_size


def test_full_subset_does_not_stop_jobs_while_others_have_room():
    d = make_dispatcher(cpu_per_request_us=10.0)
    update_fleet(d, *(entry(f"w{n}") for n in range(200)))
    few = {w.id for w in d.live[: d.subset_size]}
    for worker in d.live[: d.subset_size]:
        worker.full_until = 1e6
    (send,) = actions_of(submit(d, 1), Send)
    assert send.worker not in few


def test_usual_load_comes_from_reports_where_there_are_any():
    """Own jobs times a hundred dispatchers would be noise, and shut out every worker not heard of lately."""
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
def test_held_queue_is_gone_through_when_a_slot_frees(outcome, passes):
    """Guards against its cost under overload, when most answers are full and none of them frees a slot."""
    d = make_dispatcher(tells_start=False)
    update_fleet(d, entry("w"))
    calls = []
    d._retry_held = lambda: calls.append(d.now)
    submit(d, 1)
    end_attempt(d, 1, outcome, 5.0)
    assert len(calls) == passes


def test_probes_are_as_many_as_the_price_allows_in_a_fleet_of_any_size():
    d = make_dispatcher(may_probe=True, probe_price=0.002)
    update_fleet(d, *(entry(f"w{n}") for n in range(200)))
    probes, fed = 0, 0
    for now in range(10, 20_000, 10):
        if now % 300 == 0:
            fed += 1
            submit(d, now, now=float(now))
        probes += len(actions_of(d.handle(float(now), TimerFired("due")), Probe))
    assert fed < probes < 3 * fed


def test_all_dispatchers_take_a_key_to_the_same_home_at_first_sight():
    """Guards against keys that every dispatcher warms up at a worker of its own."""
    names = [f"w{n}" for n in range(8)]
    homes = {}
    for seed in range(6):
        d = make_dispatcher(seed)
        update_fleet(d, *(entry(name) for name in (names if seed % 2 else reversed(names))))
        for key in range(40):
            chosen = [d._choose(d_job(d, 1, key=key), d.live)[0].id for _ in range(4)]
            homes.setdefault(key, Counter()).update(chosen)
    assert all(seen.most_common(1)[0][1] >= 21 for seen in homes.values())
    assert len({seen.most_common(1)[0][0] for seen in homes.values()}) == 8
    d.handle(
        3.0,
        FleetUpdate(UpdateMode.PARTIAL, (entry("w1", life=Lifecycle.GONE),)),
    )
    assert not any("w1" in d.preferred[k] for k in range(40) if d._key_match(d.workers["w0"], k) >= 0)


def test_a_held_job_keeps_no_other_of_its_class_waiting():
    """Guards against a queue behind one job whose key is cold, while others would be in time at once."""
    d = make_dispatcher()
    update_fleet(d, entry("a"), entry("b"))
    pace(d, a=0.7, b=0.7)
    d.mean_run = 2000.0  # a key miss makes any job late
    for w in d.live:
        w.keys.update({n: None for n in range(20)})
    d.preferred = {n: {} for n in range(100)}
    assert not actions_of(submit(d, 1, key=50, work_hint_ms=100.0), Send) and len(d.held) == 1
    assert actions_of(submit(d, 2, key=19, work_hint_ms=100.0, now=3.0), Send)


def test_a_key_asked_for_by_many_has_many_homes():
    """Guards against all dispatchers crowding one worker with the key that most jobs need."""
    d = make_dispatcher()
    update_fleet(d, *(entry(f"w{n}") for n in range(10)))
    for n in range(200):
        submit(d, n, key=7 if n % 4 == 0 else 1000 + n, now=10.0 + n)
        end_attempt(d, n, Outcome.OK, 10.5 + n)
    d.preferred = {}
    homes = {key: sum(d._key_match(w, key) > 0.8 and key not in w.keys for w in d.live) for key in (7, 2000)}
    for w in d.live:
        w.keys.clear()
    warm = {key: sum(d._key_match(w, key) > 0.8 for w in d.live) for key in (7, 2000)}
    assert warm[2000] == 1 and warm[7] >= 4 and homes[2000] == 1


def test_single_breaks_among_finished_jobs_rest_no_worker():
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


def test_a_worker_that_answers_no_probe_is_rested_and_its_jobs_are_taken_elsewhere():
    """Guards against jobs that wait out their deadline at a machine that has vanished."""
    d = make_dispatcher(may_probe=True, tells_start=False)
    update_fleet(d, entry("a", cell=1), entry("b", cell=1))
    given = [submit(d, n, work_hint_ms=100.0) for n in range(6)]
    sent = {s.worker: s.request for actions in given for s in actions_of(actions, Send)}
    d.handle(100.0, ProbeEnded("a", Outcome.TIMEOUT, 200.0))
    assert not d.workers["a"].probation
    called = actions_of(d.handle(400.0, ProbeEnded("a", Outcome.TIMEOUT, 200.0)), Cancel)
    assert sent["a"] in {c.request for c in called} and sent["b"] not in {c.request for c in called}
    moved = actions_of(end_attempt(d, sent["a"], Outcome.CANCELLED, 401.0), Send)
    assert [s.worker for s in moved] == ["b"]


def test_asking_for_the_watch_does_not_double_at_each_error():
    """Guards against a discovery that is down being asked so often that each asking cuts off the last."""
    d, now, asked = make_dispatcher(subscribes=True, must_ask_in_ms=10000.0), 0.0, 1
    update_fleet(d, now=now, mode=UpdateMode.ERROR)
    for _ in range(600):
        now += 50.0
        for _ in actions_of(d.handle(now, TimerFired("due")), Watch):
            asked += 1
            update_fleet(d, now=now, mode=UpdateMode.ERROR)
    assert 5 <= asked <= 24  # 30 s: waits of up to 0.2 s, which doubles up to 5 s


def cold_work(d, n=60):
    """The work that a cold worker is allowed of n jobs of 100 ms that come at once."""
    d.now = 30.0
    for i in range(n):
        job = Job(Submitted(i, "safe", 5000.0, work_hint_ms=100.0), d.classes["safe"], 3, d.now)
        if d._cold_allows(d.workers["new"], job):
            d._send(job, d.workers["new"], None)
    return d._cold_budget(d.workers["new"])[2]


@pytest.mark.parametrize(("part", "of_all"), [(None, 0.25), (0.5, 0.5), (1.0, 1.0), (0.0, 0.0)])
def test_a_cold_worker_gets_the_part_that_the_schedulers_agree_on(part, of_all):
    d = make_dispatcher(balancers=4, cold_ms=60_000.0, cold_window_ms=4000.0)
    update_fleet(d, entry("new", born=1.0))
    for state in d.classes.values():
        state.mean = d.mean_run = 100.0  # sends count for at least their class's mean
    may = d._cold_budget(d.workers["new"])[1]
    parts = {} if part is None else {"new": part}
    (use,) = actions_of(d.handle(20.0, SharedState(parts)), ColdUsage) or (None,)
    sent = cold_work(d)
    assert of_all * may - 200.0 < sent <= of_all * may + 1e-6
    (use,) = actions_of(d.handle(40.0, SharedState({"new": 0.5})), ColdUsage)
    assert use.worker == "new" and use.sent_share == pytest.approx(sent / may, rel=0.01)
    assert use.requested_share > of_all - 0.01, "more was asked for than it got"


def test_a_worker_that_is_bad_for_all_rests_and_is_tried_again_with_care():
    d = make_dispatcher()
    update_fleet(d, entry("w0"), entry("w1"), entry("w2"))
    d.handle(5.0, SharedState(bad_workers=frozenset({"w1", "unknown"})))
    assert d.ejected_workers(6.0) == {"w1"} and d.workers["w1"].probation
    d.handle(7.0, SharedState(bad_workers=frozenset({"w1"})))
    assert d.workers["w1"].ejections == 1, "told again while it rests: no further strike"
    d.handle(8.0, SharedState(bad_workers=frozenset({"w0", "w1", "w2"})))
    assert d.ejected_workers(9.0) == set(), "too many would be: none is"


@pytest.mark.parametrize("outcome", [Outcome.MOOT, Outcome.RESET])
def test_without_retries_left_only_what_was_never_sent_goes_on(outcome):
    d = make_dispatcher()
    update_fleet(d, entry("w0"), entry("w1"), entry("w2"))
    d.handle(5.0, SharedState(retries_left=0.0))
    submit(d, 7, now=10.0)
    actions = end_attempt(d, 7, outcome, 20.0)
    assert bool(actions_of(actions, Send)) is (outcome is Outcome.MOOT)
    assert bool(actions_of(actions, Refuse)) is (outcome is Outcome.RESET)
