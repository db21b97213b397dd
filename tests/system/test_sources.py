"""The selection of a source by the age of the state that each one delivers."""

from random import Random

import pytest

from molespur.system.feed.budget import CHECK_INTERVAL_MS, FreshnessBudget
from molespur.system.feed.sources import MIN_SEARCH_STAY_MS, LeaveReason, SourceSelector

BOUND_MS = 2000.0
LEAVE_AGE_MS = FreshnessBudget(BOUND_MS).leave_age_ms


class Scheduler:
    """A selector whose processes report the ages that the test sets; None: no reply."""

    def __init__(self, zones):
        self.selector = SourceSelector("a", FreshnessBudget(BOUND_MS), Random(3))
        self.selector.zones = dict(zones)
        self.ages = dict.fromkeys(zones, 100.0)
        self.configuration_ages = {}  # where they differ
        self.now, self.changes = 0.0, []

    def run(self, ms, reachable=True):
        for _ in range(int(ms / CHECK_INTERVAL_MS)):
            change = self.selector.select(self.now, reachable)
            if change is not None:
                self.changes.append(change)
            for address, age in self.ages.items():
                if age is not None:
                    configuration_age = self.configuration_ages.get(address, age)
                    self.selector.reported(self.now, address, self.now, age, configuration_age)
                    if address == self.selector.address:
                        self.selector.caught_up(self.now, age, configuration_age)
            self.now += CHECK_INTERVAL_MS
        return self.changes[-1]


@pytest.fixture
def scheduler():
    new_scheduler = Scheduler({"p": "a", "q": "b", "r": "c"})
    new_scheduler.run(2000)
    return new_scheduler


def test_a_healthy_source_is_kept(scheduler):
    scheduler.run(20_000)
    assert [change.address for change in scheduler.changes] == ["p"], "only the one of the own zone"


def test_an_old_source_is_left_for_the_freshest_of_the_others(scheduler):
    scheduler.ages.update(p=None, q=700.0, r=150.0)
    change = scheduler.run(LEAVE_AGE_MS + 3 * CHECK_INTERVAL_MS)
    assert (change.address, change.reason) == ("r", LeaveReason.STALE)


def test_a_source_is_not_left_for_one_that_is_only_slightly_fresher(scheduler):
    scheduler.ages.update(p=850.0, q=700.0, r=700.0)
    assert scheduler.run(2000).address == "p"


def test_a_process_that_reports_old_state_is_not_tried_before_one_without_a_report(scheduler):
    scheduler.ages.update(p=None, q=5000.0, r=None)
    change = scheduler.run(LEAVE_AGE_MS + MIN_SEARCH_STAY_MS + 2000.0)
    assert "q" not in [c.address for c in scheduler.changes] and change.address in ("p", "r")


def test_the_source_is_kept_while_all_others_report_old_state(scheduler):
    scheduler.ages.update(p=5000.0, q=5000.0, r=5000.0)
    scheduler.run(10_000)
    assert [change.address for change in scheduler.changes] == ["p"]


def test_an_unreachable_source_is_left_after_a_short_timeout(scheduler):
    started_at = scheduler.now
    scheduler.run(3 * CHECK_INTERVAL_MS, reachable=False)
    assert scheduler.changes[1].reason is LeaveReason.UNREACHABLE
    assert scheduler.selector.since - started_at <= 2 * CHECK_INTERVAL_MS


def test_an_older_reply_does_not_change_the_age(scheduler):
    before = scheduler.selector.confirmed_at
    scheduler.selector.caught_up(0.0, 0.0, 0.0)
    assert scheduler.selector.confirmed_at == before


def test_a_shard_without_a_leader_does_not_hide_an_old_configuration(scheduler):
    scheduler.ages.update(p=3000.0, q=3000.0, r=3000.0)
    scheduler.configuration_ages.update(p=3000.0, q=3000.0, r=150.0)
    assert scheduler.run(3000).address == "r"


def test_with_a_fresh_configuration_a_source_with_fresher_state_is_selected(scheduler):
    scheduler.ages.update(p=3000.0, q=150.0, r=3000.0)
    scheduler.configuration_ages.update(p=150.0, q=150.0, r=150.0)
    assert scheduler.run(3000).address == "q"
