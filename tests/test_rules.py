"""The four rules (see molespur/interface.py), for each effect and each outcome."""

from dataclasses import replace

import pytest
from helpers import KEYED, actions_of, end_attempt, entry, make_dispatcher, submit, update_fleet

from molespur.interface import (
    NEVER_RAN,
    Cancel,
    ClientGone,
    Fail,
    Group,
    Lifecycle,
    Outcome,
    Refuse,
    Send,
    StreamBegun,
    Submitted,
    TimerFired,
    UpdateMode,
)
from molespur.records import Job

FAILURES = [o for o in Outcome if o is not Outcome.OK]
FLEET = (
    entry("w1", zone="a", cell=1),
    entry("w2", zone="a", cell=1),
    entry("w3", zone="a", cell=2),
    entry("w4", zone="b", cell=2),
)


def listed(name):
    return next(w for w in FLEET if w.worker == name)


def run_timers(dispatcher, actions, request, now, until):
    """Fire timers until there is an action for a request, or until a time."""
    while not actions_of(actions, (Send, Refuse, Fail)) and now < until:
        now += 20
        actions = dispatcher.handle(now, TimerFired("due"))
    return actions, now


@pytest.mark.parametrize("outcome", FAILURES)
def test_an_unsafe_job_is_repeated_only_if_it_never_ran(outcome):
    d = make_dispatcher()
    update_fleet(d, *FLEET)
    assert actions_of(submit(d, 7, "unsafe"), Send)
    actions, _ = run_timers(d, end_attempt(d, 7, outcome, 60), 7, 60, 6000)
    if outcome in NEVER_RAN:
        assert actions_of(actions, (Send, Refuse)) and not actions_of(actions, Fail)
    else:
        assert actions_of(actions, Fail) and not actions_of(actions, (Send, Refuse))


@pytest.mark.parametrize("outcome", FAILURES)
def test_a_safe_job_is_retried(outcome):
    d = make_dispatcher()
    update_fleet(d, *FLEET)
    submit(d, 7)
    actions, _ = run_timers(d, end_attempt(d, 7, outcome, 60), 7, 60, 6000)
    assert len(actions_of(actions, Send)) == 1


@pytest.mark.parametrize("group", list(Group))
@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED])
def test_repeats_of_a_keyed_job_stay_in_its_group(group, outcome):
    for seed in range(8):
        d = make_dispatcher(seed)
        update_fleet(d, *FLEET)
        first = listed(actions_of(submit(d, 7, KEYED[group].name), Send)[0].worker)
        actions, _ = run_timers(d, end_attempt(d, 7, outcome, 60), 7, 60, 6000)
        for send in actions_of(actions, Send):
            there = listed(send.worker)
            assert group is not Group.ZONE or there.zone == first.zone
            assert group is not Group.CELL or there.cell == first.cell
        if group is not Group.ALL:
            assert not actions_of(actions, Refuse)


@pytest.mark.parametrize("group", list(Group))
def test_the_repeat_window_of_a_keyed_job_starts_with_the_first_send(group):
    d = make_dispatcher(
        classes=(replace(KEYED[group], aim_ms=4500),)
    )  # so that a repeat would still be in time
    update_fleet(d, *FLEET)
    submit(d, 7, KEYED[group].name, work_hint_ms=100.0)
    actions, _ = run_timers(d, end_attempt(d, 7, Outcome.ERROR, 2500), 7, 2500, 6000)
    assert not actions_of(actions, Send)
    assert actions_of(actions, Refuse if group is Group.ALL else Fail)


@pytest.mark.parametrize("life", [Lifecycle.DRAINING, Lifecycle.GONE])
def test_a_draining_worker_gets_no_new_job(life):
    d = make_dispatcher()
    update_fleet(d, entry("w1"), entry("w2"))
    update_fleet(d, entry("w1", lifecycle=life), now=5.0, mode=UpdateMode.PARTIAL)
    for n in range(20):
        assert {a.worker for a in actions_of(submit(d, n, now=10.0 + n), Send)} <= {"w2"}


def test_a_complete_list_drops_workers_that_it_lacks():
    d = make_dispatcher()
    update_fleet(d, entry("w1"), entry("w2"))
    update_fleet(d, entry("w2"), now=5.0)
    assert {a.worker for n in range(9) for a in actions_of(submit(d, n, now=10.0 + n), Send)} == {"w2"}


def test_a_held_job_is_answered_before_its_client_gives_up():
    d = make_dispatcher()
    assert not actions_of(submit(d, 7, left=1000.0), (Send, Refuse, Fail))  # empty fleet
    actions, now = run_timers(d, [], 7, 2, 3000)
    assert actions_of(actions, Refuse) and now < 1002


def test_a_job_without_time_left_is_refused_at_once():
    d = make_dispatcher()
    update_fleet(d, *FLEET)
    assert actions_of(submit(d, 7, left=0.0), Refuse)


def test_a_job_that_times_out_at_its_deadline_gets_its_final_response():
    d = make_dispatcher()
    update_fleet(d, *FLEET)
    submit(d, 7, "unsafe")
    assert actions_of(end_attempt(d, 7, Outcome.TIMEOUT, 5002, elapsed=5000.0), Fail)


def test_a_request_is_forgotten_when_its_client_disconnects_and_late_outcomes_do_no_harm():
    d = make_dispatcher()
    update_fleet(d, *FLEET)
    submit(d, 7)
    assert actions_of(d.handle(50.0, ClientGone(7)), Cancel)
    assert not actions_of(end_attempt(d, 7, Outcome.ERROR, 60), (Send, Refuse, Fail))
    assert not actions_of(end_attempt(d, 7, Outcome.ERROR, 70), (Send, Refuse, Fail))
    assert not d.jobs


def test_a_stream_that_has_begun_gets_no_other_final_response():
    d = make_dispatcher()
    update_fleet(d, *FLEET)
    submit(d, 7)
    d.handle(20.0, StreamBegun(7, 0))
    assert not actions_of(
        end_attempt(d, 7, Outcome.RESET, 60, answered=True),
        (Send, Refuse, Fail),
    )
    assert not d.jobs


def test_a_cold_worker_gets_no_more_than_its_budget():
    d = make_dispatcher(balancers=2)
    update_fleet(d, entry("new", started_at=100.0), now=100.0)
    sent = 0
    for n in range(60):
        now = 110.0 + n * 10
        sent += len(actions_of(submit(d, n, "unsafe", now=now, work_hint_ms=100.0), Send))
    # 1/4 of four slots for one second, times 3, of which half is for this dispatcher: 1500 ms of work at most
    assert 1 <= sent <= 15


def test_a_worker_that_restarts_under_its_id_is_cold_again():
    d = make_dispatcher()
    update_fleet(d, entry("w"))
    d.workers["w"].ejections = 3
    update_fleet(d, entry("w", started_at=500.0), now=500.0)
    d.now = 500.0
    assert d.workers["w"].ejections == 0 and d._warmth(d.workers["w"]) == pytest.approx(0.25)


def test_many_dispatchers_with_jobs_of_all_sizes_do_not_overload_a_cold_worker():
    """Guards rule 4 in a large fleet: a large job that waits must not let a small one through early."""
    sent, balancers = 0.0, 150
    for seed in range(balancers):
        d = make_dispatcher(seed, balancers=balancers, cold_ms=8000.0, cold_window_ms=2000.0)
        update_fleet(d, entry("new", started_at=1.0))
        for now in (2.0, 600.0, 1200.0, 1900.0):
            for n, hint in enumerate((2000.0, 1000.0, 150.0)):
                for state in d.classes.values():
                    state.mean = hint  # sends count for at least their class's mean
                d.now = now
                job = Job(Submitted(n, "safe", 5000.0, work_hint_ms=hint), d.classes["safe"], 3, now)
                if d._cold_allows(d.workers["new"], job):
                    d._send(job, d.workers["new"], None)
                    sent += hint
    assert 0 < sent < d.settings.cold_multiple * d.settings.cold_start_share * 4 * d.settings.cold_window_ms
