"""The parts that the dispatcher's decisions rest on, each alone; and how long the decisions are."""

import tomllib
from pathlib import Path
from random import Random

import pytest

from molespur import logic
from molespur.discovery_retry import DiscoveryRetry
from molespur.interface import JobClass, Settings
from molespur.linear import solve
from molespur.load_report import LoadReport
from molespur.policy import model, placement
from molespur.sliding_sum import SlidingSum
from molespur.timer_queue import TimerQueue
from molespur.token_bucket import Quotas, TokenBucket

ROOT = Path(__file__).parent.parent
MOST_POLICY_LINES = 740  # the operators' bound on the files under `policy`, blank lines aside


def test_the_policy_files_hold_no_more_lines_than_allowed():
    files = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    lines = [line for name in files for line in (ROOT / name).read_text().splitlines()]
    assert sum(1 for line in lines if line.strip()) <= MOST_POLICY_LINES


def test_the_dispatcher_shares_model_filter_tiers_and_draw_with_the_fleet():
    assert logic.FinishTimeModel is model.FinishTimeModel
    assert (logic.prefer_warm, logic.select_tier, logic.draw_candidate) == (
        placement.prefer_warm,
        placement.select_tier,
        placement.draw_candidate,
    )


def test_a_model_is_fitted_for_the_kinds_that_are_there():
    fitted = model.FinishTimeModel()
    for kind, pace, use in (("here", 2.0, 0.5), ("gone", 4.0, 0.9)):
        for run in range(100, 116):
            fitted.train(kind, run, 0.0, 0.0, use, 1.0, pace * run)
    fitted.refit(1.0, ["here"])
    assert fitted.pace("here") == pytest.approx(2.0, abs=0.35)
    assert fitted.pace("gone") == 1.0
    assert fitted.forecast(200.0, 10.0, 4.0) == pytest.approx(214.0, abs=1.0)


def test_solve_finds_the_solution_of_equations():
    assert solve([[4.0, 1.0, 9.0], [1.0, 3.0, 5.0]]) == pytest.approx([2.0, 1.0])


def test_timers_come_by_time_and_then_by_order_of_request():
    timers, calls = TimerQueue(), []
    timers.after(20.0, calls.append, "late")
    timers.after(10.0, calls.append, "first")
    timers.after(10.0, calls.append, "second")
    timers.now = 10.0
    timers.fired()
    assert calls == ["first", "second"]
    timers.now = 20.0
    timers.fired()
    assert calls == ["first", "second", "late"]


def test_a_host_is_asked_to_wake_up_only_for_what_comes_before_its_next_waking():
    timers = TimerQueue()
    assert timers.wake_up_in() is None
    timers.after(50.0, list)
    assert timers.wake_up_in() == 50.0
    timers.after(60.0, list)
    assert timers.wake_up_in() is None
    timers.after(0.2, list)
    assert timers.wake_up_in() == 1.0
    timers.now = 1.0
    timers.fired()
    assert timers.wake_up_in() == 49.0


def test_a_timer_that_fires_long_before_its_time_leaves_the_next_waking_set():
    timers = TimerQueue()
    timers.after(50.0, list)
    timers.wake_up_in()
    timers.now = 10.0
    timers.fired()
    assert timers.wake_up_in() is None
    timers.now = 49.6
    timers.fired()
    assert timers.wake_up_in() == 1.0


def test_a_token_bucket_gives_its_depth_at_once_and_then_its_rate():
    bucket = TokenBucket(rate_per_s=2.0, depth=3.0)
    assert [bucket.take(0.0) for _ in range(4)] == [True, True, True, False]
    assert not bucket.take(499.0)
    assert bucket.take(500.0)
    assert not bucket.take(501.0)


def test_quotas_keep_what_is_left_when_rates_change():
    quotas = Quotas()
    quotas.set({"a": 5.0}, least_depth=1.0)
    assert [quotas.take("a", 0.0) for _ in range(6)] == [True] * 5 + [False]
    quotas.set({"a": 1000.0, "b": 0.1}, least_depth=4.0)
    assert not quotas.take("a", 0.0)
    assert quotas.take("a", 1.0)
    assert [quotas.take("b", 1.0) for _ in range(5)] == [True] * 4 + [False]
    assert quotas.take(None, 1.0) and quotas.take("unknown", 1.0)
    quotas.set({}, least_depth=4.0)
    assert quotas.take("b", 1.0)


class MiddleRandom(Random):
    """Always draws a half."""

    def random(self):
        return 0.5


def test_waits_before_discovery_is_asked_again_double_up_to_a_longest():
    retry = DiscoveryRetry(MiddleRandom())
    retry.set(dispatchers=10, must_ask_in=30_000.0)
    assert [retry.failed() for _ in range(5)] == [1000.0, 2000.0, 4000.0, 7500.0, 7500.0]
    retry.succeeded()
    assert retry.failed() == 1000.0
    assert retry.failures == 6


def test_discovery_is_asked_in_time_where_it_must_be_asked():
    retry = DiscoveryRetry(MiddleRandom())
    retry.set(dispatchers=100, must_ask_in=1000.0)
    assert retry.failed() == 400.0


def test_a_sliding_sum_forgets_what_came_before_its_window():
    total = SlidingSum()
    total.add(0.0, 1.0)
    total.add(10.0, 2.0)
    total.add(20.0, 4.0)
    assert total.since(10.0) == 6.0
    assert total.since(0.0) == 6.0
    assert total.since(21.0) == 0.0


@pytest.mark.parametrize(
    ("fields", "slots", "used_of_eight"),
    [
        ({"free_slots": 2.0, "inflight": 7.0, "queue": 1.0}, 8, 7.0),
        ({"free_slots": 2.0, "util": 0.5}, 4, 6.0),
        ({"free_slots": 2.0, "util": 0.9}, None, 6.0),
        ({"free_slots": 0.0, "util": 0.5}, None, 8.0),
        ({"free_slots": 3.0, "free_memory": 1.0}, None, 7.0),
        ({"inflight": 5.0, "queue": 2.0}, None, 5.0),
        ({"util": 0.25, "queue": 3.0}, None, 5.0),
    ],
)
def test_a_report_tells_of_slots_by_whatever_fields_it_has(fields, slots, used_of_eight):
    report = LoadReport.read(fields)
    assert report.tells_load
    assert (report.slots, report.used(8.0)) == (slots, used_of_eight)


def test_a_report_without_load_or_with_unknown_fields_is_read():
    report = LoadReport.read({"queue": 1.0, "temperature": 60.0})
    assert not report.tells_load
    assert not report.failing


@pytest.mark.parametrize(
    ("qps", "errors", "failing"),
    [(0.0, 0.5, False), (0.0, 0.6, True), (8.0, 2.0, False), (8.0, 2.1, True)],
)
def test_a_worker_fails_by_its_share_of_errors(qps, errors, failing):
    assert LoadReport.read({"util": 0.1, "qps": qps, "errors_per_s": errors}).failing is failing


def test_a_worker_warms_evenly_from_its_start():
    settings = Settings((JobClass("c", 100.0, 1000.0),), cold_start_share=0.2, cold_ms=1000.0)
    assert [settings.warmth(age) for age in (-5.0, 0.0, 500.0, 1000.0)] == pytest.approx([0.2, 0.2, 0.6, 1.0])
    assert Settings((JobClass("c", 100.0, 1000.0),)).warmth(0.0) == 1.0
