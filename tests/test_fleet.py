"""What is harmless when one dispatcher does it, and harmful when forty do: counted over all of them."""

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
def test_a_fleet_that_asks_discovery_at_once_gets_all_its_watches(event):
    settings = make_dispatcher(subscribes=True, must_ask_in_ms=10000.0, balancers=MANY).settings
    fleet = [Dispatcher(settings, n) for n in range(MANY)]
    discovery = Discovery(each_ms=150.0, patience_ms=2000.0, most=20)
    first = Started() if event == "started" else FleetUpdate(UpdateMode.ERROR)
    if event == "away":
        discovery.down(0.0, 5000.0)
    drive(fleet, discovery, 30000.0, [(who, first) for who in range(MANY)])
    assert len(discovery.watching) == MANY
    assert len(discovery.asked) < 3 * MANY


def test_a_very_large_fleet_asks_again_before_what_it_was_not_told_counts_as_told():
    """Guards rule 3: without a watch, drains count as told some time after the last asking."""
    settings = make_dispatcher(subscribes=True, must_ask_in_ms=10000.0, balancers=150).settings
    fleet = [Dispatcher(settings, n) for n in range(150)]
    discovery = Discovery(each_ms=150.0, patience_ms=2000.0, most=20)
    drive(fleet, discovery, 10000.0, [(who, FleetUpdate(UpdateMode.ERROR)) for who in range(150)])
    assert len(discovery.first) == 150 and max(discovery.first.values()) < 9000.0


def test_askings_slow_down_until_discovery_carries_them():
    """Guards against a fleet too large for its first waits: each failure must make the askings rarer."""
    settings = make_dispatcher(subscribes=True, must_ask_in_ms=10000.0, balancers=150).settings
    fleet = [Dispatcher(settings, n) for n in range(150)]
    discovery = Discovery(each_ms=150.0, patience_ms=2000.0, most=20)
    drive(fleet, discovery, 90000.0, [(who, Started()) for who in range(150)])
    assert len(discovery.watching) == 150


def test_a_discovery_that_goes_down_is_not_asked_faster_than_before():
    """A stand-in's own check, too: the watches break, every call fails, and all are back afterwards."""
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


def test_a_call_to_discovery_is_not_thrown_away_for_the_next():
    d = make_dispatcher(subscribes=True, must_ask_in_ms=10000.0, balancers=MANY)
    d.handle(0.0, FleetUpdate(UpdateMode.ERROR))
    calls, now = [], 0.0
    while not calls or now < calls[0] + 5000.0:
        now += 5.0
        calls += [now for a in d.handle(now, TimerFired("due")) if isinstance(a, Watch)]
    assert len(calls) == 1


def asked_first(left=5000.0, run=300.0, key=None, **changes):
    """A dispatcher with ten workers, and whom it probes and sends to for a job that comes at 2 ms."""
    d = make_dispatcher(**({"balancers": MANY, "may_probe": True} | changes))
    update_fleet(d, *(entry(f"w{n}") for n in range(10)))
    out = submit(d, 1, left=left, work_hint_ms=run, key=key)
    return (
        d,
        [probe.worker for probe in actions_of(out, Probe)],
        [send.worker for send in actions_of(out, Send)],
    )


def say(d, now, worker, free):
    """A worker says that it has slots free, or many jobs waiting; what is done then, up to the next tick."""
    report = {"free_slots": 4.0 * free, "queue": 40.0 * (not free)}
    out = d.handle(now, ProbeEnded(worker, Outcome.OK, 1.0, report))
    return out + d.handle(now + 1, TimerFired("due"))


@pytest.mark.parametrize("free", range(6))
def test_one_of_many_asks_a_few_workers_first_and_sends_to_the_one_that_is_free(free):
    """Its probes in turn tell of each worker too seldom: without asking it sends blindly."""
    d, asked, sent = asked_first()
    assert len(set(asked)) == 6 and not sent
    for w in d.live:  # by what others saw, all are crowded
        w.other_slots, w.measured_at = 12.0, 2.0
    for n, worker in enumerate(asked):
        assert not actions_of(out := say(d, 3.0 + 2 * n, worker, n == free), Send) or n == 5
    assert [send.worker for send in actions_of(out, Send)] == [asked[free]]


def test_a_job_goes_to_a_worker_that_has_said_something_rather_than_to_one_that_is_guessed_at():
    """Guards against guesses that look as good as a worker's word: most workers are guessed at."""
    for seed in range(12):
        d, asked, _ = asked_first(seed=seed)
        for n, worker in enumerate(asked[:5]):
            assert not actions_of(say(d, 3.0 + 2 * n, worker, True), Send)
        failed = ProbeEnded(asked[5], Outcome.ERROR, 1.0)
        out = d.handle(14.0, failed) + d.handle(15.0, TimerFired("due"))
        assert [send.worker in asked[:5] for send in actions_of(out, Send)] == [True]


def test_where_all_that_said_something_are_crowded_others_are_looked_at():
    d, asked, _ = asked_first()
    out = [one for n, worker in enumerate(asked) for one in say(d, 3.0 + 2 * n, worker, False)]
    assert [send.worker in asked for send in actions_of(out, Send)] == [False]


def test_a_worker_that_drains_after_it_has_said_something_gets_nothing():
    """Guards rule 3."""
    d, asked, _ = asked_first()
    for n, worker in enumerate(asked[:5]):
        say(d, 3.0 + 2 * n, worker, n == 0)
    d.handle(14.0, FleetUpdate(UpdateMode.PARTIAL, (entry(asked[0], life=Lifecycle.DRAINING),)))
    out = say(d, 15.0, asked[5], False)
    assert [send.worker not in asked for send in actions_of(out, Send)] == [True]


def test_the_home_of_a_key_is_looked_at_beside_those_that_said_something():
    """Guards against a key that is fetched anew by whoever has said that it is free."""
    found = []
    for seed in range(12):
        d, asked, _ = asked_first(key=5, seed=seed)
        d.key_jobs, d.key_total = {5: 0.1}, 100.0
        (home,) = [w for w, match in d._preferred_workers(5).items() if match > 0.8]
        for n, worker in enumerate(asked):
            out = say(d, 3.0 + 2 * n, worker, True)
        found += [actions_of(out, Send)[0].worker == home] * (home not in asked)
    assert len(found) >= 3 and all(found)


@pytest.mark.parametrize("second, rested", [(150.0, False), (220.0, True)], ids=["at once", "in a row"])
def test_two_probes_that_are_out_at_once_are_one_silence(second, rested):
    """Guards against a worker that is held for mute, and its jobs called off, since two jobs asked it."""
    d, _, _ = asked_first()
    for began in (10.0, second):
        d.handle(began + 200.0, ProbeEnded("w0", Outcome.TIMEOUT, 200.0))
    assert d.workers["w0"].probation is rested


def test_a_job_waits_for_workers_that_say_nothing_for_a_tenth_of_its_time_or_of_a_mean_run():
    d, asked, sent = asked_first()
    turn, now = d.mean_run, 2.0
    while not sent:
        now += 4.0
        sent = actions_of(d.handle(now, TimerFired("due")), Send)
    assert 0.1 * turn <= now - 2.0 <= 0.1 * turn + 8.0
    assert len(asked) == 6


def test_a_job_that_has_little_time_waits_little_for_what_workers_say():
    """With 60 ms left, of which 40 are for its answer, it must not wait for a tenth of a mean run."""
    d, asked, sent = asked_first(left=60.0)
    assert len(asked) == 6 and not sent
    assert actions_of(d.handle(9.0, TimerFired("due")), Send)


@pytest.mark.parametrize(
    "changes",
    [{"balancers": 8}, {"may_probe": False}, {"run": 100.0}],
    ids=["a few dispatchers", "no probes allowed", "a job with less time than reports are old"],
)
def test_where_asking_tells_nothing_a_job_is_sent_at_once(changes):
    _, asked, sent = asked_first(**changes)
    assert not asked and len(sent) == 1


def test_nothing_is_sent_for_a_client_that_left_while_workers_were_asked():
    d, asked, _ = asked_first()
    assert not actions_of(d.handle(3.0, ClientGone(1)), Send)
    for n, worker in enumerate(asked):
        assert not actions_of(say(d, 4.0 + 2 * n, worker, True), Send)
    assert not d.jobs


def test_a_job_whose_askings_are_cut_short_by_its_deadline_is_still_answered():
    """Guards rule 1: also where no worker says anything and none can be sent to."""
    d, _, _ = asked_first()
    for w in d.live:
        w.full_until = 1e9
    now, answers = 2.0, []
    while now < 5100.0 and not answers:
        now += 4.0
        answers = actions_of(d.handle(now, TimerFired("due")), Refuse)
    assert answers and now <= 5002.0


def test_own_jobs_that_are_overdue_tell_of_a_queue_that_no_report_shows():
    """A full worker reports no free slots, whether none or a hundred wait."""
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


def test_few_dispatchers_take_an_overdue_job_for_a_wait_only_after_long_silence():
    """Two see all that waits in own jobs and reports: one hint's error is no queue, a worker cut off is."""
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


def test_own_jobs_beyond_the_mean_stand_for_those_of_like_dispatchers():
    """Guards against a whole fleet piling up at one worker that each sends a few jobs to."""
    more = {}
    for balancers in (2, MANY):
        d = make_dispatcher(balancers=balancers)
        update_fleet(d, *(entry(f"w{n}") for n in range(10)))
        for w in d.live:
            w.learn_slots(8)
        before = d._expected_wait(d.live[0], 1)[1]
        d.live[0].own_slots += 2.0
        more[balancers] = d._expected_wait(d.live[0], 1)[1] - before
    assert more[MANY] > 8.0
    assert more[2] == 2.0  # two see each other's jobs in every report: to count them twice is a loss there


def test_a_key_goes_to_its_home_also_where_the_home_is_none_of_the_own_subset():
    """Guards against a key that is fetched by as many workers as there are dispatchers with other subsets."""
    chosen = set()
    for seed in range(12):
        d = make_dispatcher(seed=seed, balancers=MANY)
        update_fleet(d, *(entry(f"w{n}") for n in range(60)))
        d.key_jobs, d.key_total = {5: 0.1}, 100.0
        chosen.update(s.worker for s in actions_of(submit(d, 1, key=5, work_hint_ms=100.0), Send))
    assert len(chosen) <= 3


def test_a_fleet_uses_what_a_cold_worker_can_do_at_least_but_stays_far_from_the_rule():
    """Each dispatcher's share is below one job here; all together neither starve it nor push it over."""
    window, work = 3000.0, 300.0
    fleet = [
        make_dispatcher(seed=n, balancers=MANY, cold_ms=20000.0, cold_window_ms=window) for n in range(MANY)
    ]
    sent = [[] for _ in fleet]
    for number, d in enumerate(fleet):
        update_fleet(d, entry("new", born=1.0), now=1.0)
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
def test_jobs_that_hang_are_no_crowd_but_jobs_that_wait_are_one(many, since, sent):
    """Guards against a scheduler that refuses all for as long as its one job hangs, and so has no other."""
    d, now = make_dispatcher(seed=3, balancers=MANY), 5000.0
    update_fleet(d, *(entry(f"w{n}") for n in range(12)))
    for w in d.workers.values():
        w.learn_slots(4)
    for n in range(many):
        submit(d, n, "unsafe", now=now - since, work_hint_ms=100.0)
    assert len(actions_of(submit(d, 1000, now=now, work_hint_ms=100.0), Send)) == sent
