"""Unit tests of the parts that the dispatcher uses, and a bound on the length of the decision module."""

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
MAX_POLICY_LINES = 740  # the operators' limit for the files under `policy`, without blank lines


def test_the_policy_files_hold_no_more_lines_than_allowed():
    files = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    lines = [line for name in files for line in (ROOT / name).read_text().splitlines()]
    assert sum(1 for line in lines if line.strip()) <= MAX_POLICY_LINES


def test_the_dispatcher_shares_model_filter_tiers_and_draw_with_the_router_fleet():
    assert logic.FinishTimeModel is model.FinishTimeModel
    assert (logic.prefer_warm, logic.select_tier, logic.draw_candidate) == (
        placement.prefer_warm,
        placement.select_tier,
        placement.draw_candidate,
    )


def test_a_model_is_fitted_for_the_given_kinds_only():
    fitted = model.FinishTimeModel()
    for kind, pace, use in (("listed", 2.0, 0.5), ("unlisted", 4.0, 0.9)):
        for run in range(100, 116):
            fitted.train(kind, run, 0.0, 0.0, use, 1.0, pace * run)
    fitted.refit(1.0, ["listed"])
    assert fitted.pace("listed") == pytest.approx(2.0, abs=0.35)
    assert fitted.pace("unlisted") == 1.0
    assert fitted.forecast(200.0, 10.0, 4.0) == pytest.approx(214.0, abs=1.0)


def test_solve_finds_the_solution_of_equations():
    assert solve([[4.0, 1.0, 9.0], [1.0, 3.0, 5.0]]) == pytest.approx([2.0, 1.0])


def test_timers_fire_by_due_time_and_then_in_order_of_scheduling():
    timers, calls = TimerQueue(), []
    timers.after(20.0, calls.append, "late")
    timers.after(10.0, calls.append, "first")
    timers.after(10.0, calls.append, "second")
    timers.now = 10.0
    timers.on_timer()
    assert calls == ["first", "second"]
    timers.now = 20.0
    timers.on_timer()
    assert calls == ["first", "second", "late"]


def test_the_host_sets_a_timer_only_for_calls_due_before_its_pending_one():
    timers = TimerQueue()
    assert timers.next_delay_ms() is None
    timers.after(50.0, list)
    assert timers.next_delay_ms() == 50.0
    timers.after(60.0, list)
    assert timers.next_delay_ms() is None
    timers.after(0.2, list)
    assert timers.next_delay_ms() == 1.0
    timers.now = 1.0
    timers.on_timer()
    assert timers.next_delay_ms() == 49.0


def test_a_timer_that_fires_far_too_early_leaves_the_next_wake_up_set():
    timers = TimerQueue()
    timers.after(50.0, list)
    timers.next_delay_ms()
    timers.now = 10.0
    timers.on_timer()
    assert timers.next_delay_ms() is None
    timers.now = 49.6
    timers.on_timer()
    assert timers.next_delay_ms() == 1.0


def test_a_token_bucket_allows_a_burst_of_its_depth_and_then_its_rate():
    bucket = TokenBucket(rate_per_s=2.0, depth=3.0)
    assert [bucket.take(0.0) for _ in range(4)] == [True, True, True, False]
    assert not bucket.take(499.0)
    assert bucket.take(500.0)
    assert not bucket.take(501.0)


def test_quotas_keep_their_tokens_when_rates_change():
    quotas = Quotas()
    quotas.configure({"a": 5.0}, min_depth=1.0)
    assert [quotas.take("a", 0.0) for _ in range(6)] == [True] * 5 + [False]
    quotas.configure({"a": 1000.0, "b": 0.1}, min_depth=4.0)
    assert not quotas.take("a", 0.0)
    assert quotas.take("a", 1.0)
    assert [quotas.take("b", 1.0) for _ in range(5)] == [True] * 4 + [False]
    assert quotas.take(None, 1.0) and quotas.take("unknown", 1.0)
    quotas.configure({}, min_depth=4.0)
    assert quotas.take("b", 1.0)


class MiddleRandom(Random):
    """Always returns 0.5."""

    def random(self):
        return 0.5


def test_discovery_retry_delays_double_up_to_a_maximum():
    retry = DiscoveryRetry(MiddleRandom())
    retry.configure(dispatchers=10, must_ask_in_ms=30_000.0)
    assert [retry.record_failure() for _ in range(5)] == [1000.0, 2000.0, 4000.0, 7500.0, 7500.0]
    retry.record_success()
    assert retry.record_failure() == 1000.0
    assert retry.failures == 6


def test_discovery_is_called_again_within_the_max_time_without_a_call():
    retry = DiscoveryRetry(MiddleRandom())
    retry.configure(dispatchers=100, must_ask_in_ms=1000.0)
    assert retry.record_failure() == 400.0


def test_a_sliding_sum_drops_amounts_older_than_its_window():
    total = SlidingSum()
    total.add(0.0, 1.0)
    total.add(10.0, 2.0)
    total.add(20.0, 4.0)
    assert total.sum_since(10.0) == 6.0
    assert total.sum_since(0.0) == 6.0
    assert total.sum_since(21.0) == 0.0


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
def test_slots_are_read_from_any_combination_of_report_fields(fields, slots, used_of_eight):
    report = LoadReport.from_fields(fields)
    assert report.has_load
    assert (report.slots, report.used(8.0)) == (slots, used_of_eight)


def test_reports_without_load_or_with_unknown_fields_are_accepted():
    report = LoadReport.from_fields({"queue": 1.0, "temperature": 60.0})
    assert not report.has_load
    assert not report.is_failing


@pytest.mark.parametrize(
    ("qps", "errors", "failing"),
    [(0.0, 0.5, False), (0.0, 0.6, True), (8.0, 2.0, False), (8.0, 2.1, True)],
)
def test_a_worker_is_failing_by_its_share_of_errors(qps, errors, failing):
    assert LoadReport.from_fields({"util": 0.1, "qps": qps, "errors_per_s": errors}).is_failing is failing


def test_warmth_is_linear_in_a_workers_age():
    settings = Settings((JobClass("c", 100.0, 1000.0),), cold_start_share=0.2, cold_ms=1000.0)
    assert [settings.warmth(age) for age in (-5.0, 0.0, 500.0, 1000.0)] == pytest.approx([0.2, 0.2, 0.6, 1.0])
    assert Settings((JobClass("c", 100.0, 1000.0),)).warmth(0.0) == 1.0
