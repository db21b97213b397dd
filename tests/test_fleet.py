"""Effects that only show when many dispatchers act at once, such as load on discovery or on one worker."""

import pytest
from helpers import actions_of, end_attempt, entry, make_dispatcher, submit, update_fleet

from molespur import Dispatcher
from molespur.interface import (
    ClientGone,
    FleetUpdate,
    Lifecycle,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    Send,
    Started,
    Submitted,
    TimerFired,
    UpdateMode,
    Watch,
)
from molespur.records import Job
from molespur.standins.fleet import Discovery, drive

MANY = 40


@pytest.mark.parametrize("event", ["started", "lost", "away"])
def test_all_dispatchers_that_call_discovery_at_once_get_their_watch(event):
    settings = make_dispatcher(subscribes=True, must_ask_in_ms=10000.0, balancers=MANY).settings
    fleet = [Dispatcher(settings, n) for n in range(MANY)]
    discovery = Discovery(each_ms=150.0, patience_ms=2000.0, most=20)
    first = Started() if event == "started" else FleetUpdate(UpdateMode.ERROR)
    if event == "away":
        discovery.down(0.0, 5000.0)
    drive(fleet, discovery, 30000.0, [(who, first) for who in range(MANY)])
    assert len(discovery.watching) == MANY
    assert len(discovery.asked) < 3 * MANY


def test_a_very_large_fleet_calls_discovery_again_within_the_time_limit():
    """Guards rule 3: without a watch, drains count as announced some time after the last call."""
    settings = make_dispatcher(subscribes=True, must_ask_in_ms=10000.0, balancers=150).settings
    fleet = [Dispatcher(settings, n) for n in range(150)]
    discovery = Discovery(each_ms=150.0, patience_ms=2000.0, most=20)
    drive(fleet, discovery, 10000.0, [(who, FleetUpdate(UpdateMode.ERROR)) for who in range(150)])
    assert len(discovery.first) == 150 and max(discovery.first.values()) < 9000.0


def test_calls_slow_down_until_discovery_can_answer_them():
    """Guards against a fleet too large for its initial delays: each failure must make the calls rarer."""
    settings = make_dispatcher(subscribes=True, must_ask_in_ms=10000.0, balancers=150).settings
    fleet = [Dispatcher(settings, n) for n in range(150)]
    discovery = Discovery(each_ms=150.0, patience_ms=2000.0, most=20)
    drive(fleet, discovery, 90000.0, [(who, Started()) for who in range(150)])
    assert len(discovery.watching) == 150


def test_a_failing_discovery_is_not_called_faster_than_before():
    """All watches break and all calls fail for a time; afterwards all are open.  Checks the stand-in, too."""
    settings = make_dispatcher(subscribes=True, must_ask_in_ms=10000.0, balancers=MANY).settings
    fleet = [Dispatcher(settings, n) for n in range(MANY)]
    discovery = Discovery(each_ms=20.0, patience_ms=2000.0, most=MANY)
    seen = []

    def tick(now):
        if now == 3000.0:
            seen.append(len(discovery.watching))
            discovery.down(now, 13000.0)

    drive(fleet, discovery, 40000.0, [(who, Started()) for who in range(MANY)], tick)
    assert seen == [MANY] and len(discovery.watching) == MANY
    down = [at for at in discovery.asked if 3000.0 <= at < 13000.0]
    assert MANY <= len(down) <= 3 * MANY and discovery.failed == MANY + len(down)


def test_a_call_to_discovery_is_not_replaced_by_the_next():
    d = make_dispatcher(subscribes=True, must_ask_in_ms=10000.0, balancers=MANY)
    d.handle(0.0, FleetUpdate(UpdateMode.ERROR))
    calls, now = [], 0.0
    while not calls or now < calls[0] + 5000.0:
        now += 5.0
        calls += [now for a in d.handle(now, TimerFired("due")) if isinstance(a, Watch)]
    assert len(calls) == 1


def submit_with_probes(left=5000.0, run=300.0, key=None, **changes):
    """A dispatcher with ten workers, and those that it probes and sends to for a job submitted at 2 ms."""
    d = make_dispatcher(**({"balancers": MANY, "may_probe": True} | changes))
    update_fleet(d, *(entry(f"w{n}") for n in range(10)))
    out = submit(d, 1, left=left, work_hint_ms=run, key=key)
    return (
        d,
        [probe.worker for probe in actions_of(out, Probe)],
        [send.worker for send in actions_of(out, Send)],
    )


def probe_reply(d, now, worker, free):
    """A probe shows free slots, or many waiting jobs; the actions that follow up to the next tick."""
    report = {"free_slots": 4.0 * free, "queue": 40.0 * (not free)}
    out = d.handle(now, ProbeEnded(worker, Outcome.OK, 1.0, report))
    return out + d.handle(now + 1, TimerFired("due"))


@pytest.mark.parametrize("free", range(6))
def test_one_of_many_dispatchers_probes_a_few_workers_first_and_sends_to_a_free_one(free):
    """Guards against blind sends: the periodic probes of one of many reach each worker too seldom."""
    d, probed, sent = submit_with_probes()
    assert len(set(probed)) == 6 and not sent
    for w in d.live:  # by earlier reports, all are overloaded
        w.other_slots, w.measured_at = 12.0, 2.0
    for n, worker in enumerate(probed):
        assert not actions_of(out := probe_reply(d, 3.0 + 2 * n, worker, n == free), Send) or n == 5
    assert [send.worker for send in actions_of(out, Send)] == [probed[free]]


def test_a_job_goes_to_a_worker_that_replied_rather_than_to_one_of_unknown_load():
    """Guards against guesses that look as good as replies: the load of most workers is guessed."""
    for seed in range(12):
        d, probed, _ = submit_with_probes(seed=seed)
        for n, worker in enumerate(probed[:5]):
            assert not actions_of(probe_reply(d, 3.0 + 2 * n, worker, True), Send)
        failed = ProbeEnded(probed[5], Outcome.ERROR, 1.0)
        out = d.handle(14.0, failed) + d.handle(15.0, TimerFired("due"))
        assert [send.worker in probed[:5] for send in actions_of(out, Send)] == [True]


def test_other_workers_are_considered_if_all_that_replied_are_overloaded():
    d, probed, _ = submit_with_probes()
    out = [one for n, worker in enumerate(probed) for one in probe_reply(d, 3.0 + 2 * n, worker, False)]
    assert [send.worker in probed for send in actions_of(out, Send)] == [False]


def test_a_worker_that_drains_after_its_reply_gets_nothing():
    """Guards rule 3."""
    d, probed, _ = submit_with_probes()
    for n, worker in enumerate(probed[:5]):
        probe_reply(d, 3.0 + 2 * n, worker, n == 0)
    d.handle(14.0, FleetUpdate(UpdateMode.PARTIAL, (entry(probed[0], lifecycle=Lifecycle.DRAINING),)))
    out = probe_reply(d, 15.0, probed[5], False)
    assert [send.worker not in probed for send in actions_of(out, Send)] == [True]


def test_the_preferred_worker_of_a_key_is_considered_beside_those_that_replied():
    """Guards against a key that is fetched again by each worker that is free."""
    found = []
    for seed in range(12):
        d, probed, _ = submit_with_probes(key=5, seed=seed)
        d.key_jobs, d.key_total = {5: 0.1}, 100.0
        (preferred,) = [w for w, match in d._preferred_workers(5).items() if match > 0.8]
        for n, worker in enumerate(probed):
            out = probe_reply(d, 3.0 + 2 * n, worker, True)
        found += [actions_of(out, Send)[0].worker == preferred] * (preferred not in probed)
    assert len(found) >= 3 and all(found)


@pytest.mark.parametrize("second, ejected", [(150.0, False), (220.0, True)], ids=["concurrent", "in a row"])
def test_two_concurrent_probes_that_fail_count_once(second, ejected):
    """Guards against a worker that counts as silent, and loses its jobs, since two jobs probed it."""
    d, _, _ = submit_with_probes()
    for began in (10.0, second):
        d.handle(began + 200.0, ProbeEnded("w0", Outcome.TIMEOUT, 200.0))
    assert d.workers["w0"].probation is ejected


def test_a_job_waits_for_silent_workers_for_a_tenth_of_its_time_or_of_a_mean_run():
    d, probed, sent = submit_with_probes()
    mean_run, now = d.mean_run, 2.0
    while not sent:
        now += 4.0
        sent = actions_of(d.handle(now, TimerFired("due")), Send)
    assert 0.1 * mean_run <= now - 2.0 <= 0.1 * mean_run + 8.0
    assert len(probed) == 6


def test_a_job_that_has_little_time_waits_only_briefly_for_replies():
    """With 60 ms left, of which 40 are for its response, it must not wait for a tenth of a mean run."""
    d, probed, sent = submit_with_probes(left=60.0)
    assert len(probed) == 6 and not sent
    assert actions_of(d.handle(9.0, TimerFired("due")), Send)


@pytest.mark.parametrize(
    "changes",
    [{"balancers": 8}, {"may_probe": False}, {"run": 100.0}],
    ids=["a few dispatchers", "no probes allowed", "a job with less time than the age of reports"],
)
def test_a_job_is_sent_at_once_where_probes_would_not_help(changes):
    _, probed, sent = submit_with_probes(**changes)
    assert not probed and len(sent) == 1


def test_nothing_is_sent_for_a_client_that_disconnected_during_the_probes():
    d, probed, _ = submit_with_probes()
    assert not actions_of(d.handle(3.0, ClientGone(1)), Send)
    for n, worker in enumerate(probed):
        assert not actions_of(probe_reply(d, 4.0 + 2 * n, worker, True), Send)
    assert not d.jobs


def test_a_job_whose_probes_take_until_its_deadline_is_still_answered():
    """Guards rule 1, also where no worker replies and none can be sent to."""
    d, _, _ = submit_with_probes()
    for w in d.live:
        w.full_until = 1e9
    now, answers = 2.0, []
    while now < 5100.0 and not answers:
        now += 4.0
        answers = actions_of(d.handle(now, TimerFired("due")), Refuse)
    assert answers and now <= 5002.0


def test_own_overdue_jobs_indicate_a_queue_that_no_report_shows():
    """A full worker reports no free slots, whether no job or a hundred wait there."""
    d = make_dispatcher(seed=3, balancers=MANY)
    update_fleet(d, entry("long"), entry("short"))
    for name in ("long", "short"):
        d.workers[name].learn_slots(4)
        d._apply_report(d.workers[name], {"free_slots": 0.0, "util": 1.0})
    job = submit(d, 1, now=2.0, work_hint_ms=100.0)
    first = actions_of(job, Send)[0].worker
    other = ({"long", "short"} - {first}).pop()
    waits = [d._expected_wait(d.workers[first], 1)[0]]
    for now in (500.0, 1000.0, 2000.0):
        d.now = now
        waits.append(d._expected_wait(d.workers[first], 1)[0])
    assert waits[3] > waits[2] > waits[1] and waits[3] > 1000
    d.now = 2000.0
    assert d._expected_wait(d.workers[other], 1)[0] < waits[3] / 4
    end_attempt(d, 1, Outcome.OK, now=2100.0, elapsed=2098.0)
    assert d._expected_wait(d.workers[first], 1)[0] > 1000  # the next would wait as long
    d._apply_report(d.workers[first], {"free_slots": 2.0, "free_memory": 0.0, "util": 0.5})
    assert d._expected_wait(d.workers[first], 1)[0] > 1000  # also where slots are free, but no memory
    d._apply_report(d.workers[first], {"free_slots": 2.0, "free_memory": 1.0, "util": 0.5})
    assert d._expected_wait(d.workers[first], 1)[0] < 400  # until both are seen free


def test_in_a_small_fleet_an_overdue_job_indicates_a_wait_only_after_long_silence():
    """Two dispatchers see all queues in own jobs and reports.  An overdue job may only have a bad hint."""
    d = make_dispatcher(seed=3, balancers=2, progress_ms=1000.0)
    update_fleet(d, entry("w"))
    w = d.workers["w"]
    w.learn_slots(4)
    submit(d, 1, now=2.0, work_hint_ms=100.0)
    d.now = 1400.0
    assert d._expected_wait(w, 1)[0] < 200
    d.now = 3000.0
    assert d._expected_wait(w, 1)[0] > 1500
    end_attempt(d, 1, Outcome.OK, now=3000.0, elapsed=2998.0)
    assert w.lateness == 0.0


def test_own_jobs_above_the_mean_stand_for_those_of_other_dispatchers():
    """Guards against an overload of one worker to which each of many dispatchers sends a few jobs."""
    increase = {}
    for balancers in (2, MANY):
        d = make_dispatcher(balancers=balancers)
        update_fleet(d, *(entry(f"w{n}") for n in range(10)))
        for w in d.live:
            w.learn_slots(8)
        before = d._expected_wait(d.live[0], 1)[1]
        d.live[0].own_slots += 2.0
        increase[balancers] = d._expected_wait(d.live[0], 1)[1] - before
    assert increase[MANY] > 8.0
    assert increase[2] == 2.0  # two see each other's jobs in every report, and must not count them twice


def test_a_key_goes_to_its_preferred_worker_outside_the_own_subset_too():
    """Guards against a key that is fetched by a different worker for each dispatcher."""
    chosen = set()
    for seed in range(12):
        d = make_dispatcher(seed=seed, balancers=MANY)
        update_fleet(d, *(entry(f"w{n}") for n in range(60)))
        d.key_jobs, d.key_total = {5: 0.1}, 100.0
        chosen.update(s.worker for s in actions_of(submit(d, 1, key=5, work_hint_ms=100.0), Send))
    assert len(chosen) <= 3


def test_all_dispatchers_use_a_cold_workers_guaranteed_capacity_but_stay_far_below_the_limit():
    """Each dispatcher's share is below one job here; together they neither starve nor overload the worker."""
    window, work = 3000.0, 300.0
    fleet = [
        make_dispatcher(seed=n, balancers=MANY, cold_ms=20000.0, cold_window_ms=window) for n in range(MANY)
    ]
    sent = [[] for _ in fleet]
    for number, d in enumerate(fleet):
        update_fleet(d, entry("new", started_at=1.0), now=1.0)
        d.workers["new"].learn_slots(8)
        for now in range(5, 9000, 25):
            d.now = float(now)
            job = Job(Submitted(now, "safe", 5000.0, work_hint_ms=work), d.classes["safe"], 3, d.now)
            if d._cold_allows(d.workers["new"], job):
                d.jobs[now] = job
                d._send(job, d.workers["new"], ("k", work, 0.0, 0.0, 0.0, 1.0))
                sent[number].append((d.now, d._counted_work(job)))
    d = fleet[0]
    for end_at in (3000.0, 6000.0, 9000.0):
        d.now = end_at - window / 2
        able = d._warmth(d.workers["new"]) * 8 * window
        total = sum(w for jobs in sent for at, w in jobs if end_at - window < at <= end_at)
        assert total < 0.75 * d.settings.cold_multiple * able
        assert total > 0.5 * able


@pytest.mark.parametrize(("many", "since", "sent"), [(1, 4000.0, 1), (3, 4000.0, 1), (3, 1150.0, 0)])
def test_jobs_that_wait_indicate_a_burst_but_jobs_that_hang_do_not(many, since, sent):
    """Guards against a dispatcher that refuses all jobs for as long as its only running job hangs."""
    d, now = make_dispatcher(seed=3, balancers=MANY), 5000.0
    update_fleet(d, *(entry(f"w{n}") for n in range(12)))
    for w in d.workers.values():
        w.learn_slots(4)
    for n in range(many):
        submit(d, n, "unsafe", now=now - since, work_hint_ms=100.0)
    assert len(actions_of(submit(d, 1000, now=now, work_hint_ms=100.0), Send)) == sent
