"""The selector of a source: by the age of the state that each brings."""

from random import Random

import pytest

from molespur.system.feed.budget import CHECK_INTERVAL_MS, FreshnessBudget
from molespur.system.feed.sources import MIN_SEARCH_STAY_MS, LeaveReason, SourceSelector

PROMISE_MS = 2000.0
LEAVE_MS = FreshnessBudget(PROMISE_MS).leave_age_ms


class Scheduler:
    """A selector whose processes answer with the ages that the test sets; None: no answer."""

    def __init__(self, zones):
        self.selector = SourceSelector("a", FreshnessBudget(PROMISE_MS), Random(3))
        self.selector.zones = dict(zones)
        self.ages = dict.fromkeys(zones, 100.0)
        self.configuration_ages = {}  # where they differ
        self.now, self.turns = 0.0, []

    def run(self, ms, reachable=True):
        for _ in range(int(ms / CHECK_INTERVAL_MS)):
            turn = self.selector.select(self.now, reachable)
            if turn is not None:
                self.turns.append(turn)
            for address, age in self.ages.items():
                if age is not None:
                    configuration_age = self.configuration_ages.get(address, age)
                    self.selector.reported(self.now, address, self.now, age, configuration_age)
                    if address == self.selector.address:
                        self.selector.caught_up(self.now, age, configuration_age)
            self.now += CHECK_INTERVAL_MS
        return self.turns[-1]


@pytest.fixture
def scheduler():
    made = Scheduler({"p": "a", "q": "b", "r": "c"})
    made.run(2000)
    return made


def test_a_source_in_order_is_kept(scheduler):
    scheduler.run(20_000)
    assert [turn.address for turn in scheduler.turns] == ["p"], "the one of the own zone, and no other"


def test_an_old_source_is_left_for_the_freshest_of_the_others(scheduler):
    scheduler.ages.update(p=None, q=700.0, r=150.0)
    turn = scheduler.run(LEAVE_MS + 3 * CHECK_INTERVAL_MS)
    assert (turn.address, turn.reason) == ("r", LeaveReason.STALE)


def test_a_source_is_not_left_for_one_that_is_hardly_fresher(scheduler):
    scheduler.ages.update(p=850.0, q=700.0, r=700.0)
    assert scheduler.run(2000).address == "p"


def test_one_that_has_said_that_it_is_old_is_not_tried_while_another_has_said_nothing(scheduler):
    scheduler.ages.update(p=None, q=5000.0, r=None)
    turn = scheduler.run(LEAVE_MS + MIN_SEARCH_STAY_MS + 2000.0)
    assert "q" not in [t.address for t in scheduler.turns] and turn.address in ("p", "r")


def test_nobody_is_tried_while_all_others_say_that_they_are_old(scheduler):
    scheduler.ages.update(p=5000.0, q=5000.0, r=5000.0)
    scheduler.run(10_000)
    assert [turn.address for turn in scheduler.turns] == ["p"]


def test_an_unreachable_source_is_left_at_once(scheduler):
    began = scheduler.now
    scheduler.run(3 * CHECK_INTERVAL_MS, reachable=False)
    assert scheduler.turns[1].reason is LeaveReason.UNREACHABLE
    assert scheduler.selector.since - began <= 2 * CHECK_INTERVAL_MS


def test_an_age_never_falls_by_an_old_answer(scheduler):
    before = scheduler.selector.confirmed_at
    scheduler.selector.caught_up(0.0, 0.0, 0.0)
    assert scheduler.selector.confirmed_at == before


def test_a_shard_without_a_leader_hides_no_old_configuration(scheduler):
    scheduler.ages.update(p=3000.0, q=3000.0, r=3000.0)
    scheduler.configuration_ages.update(p=3000.0, q=3000.0, r=150.0)
    assert scheduler.run(3000).address == "r"


def test_with_a_fresh_configuration_a_fresher_state_is_still_looked_for(scheduler):
    scheduler.ages.update(p=3000.0, q=150.0, r=3000.0)
    scheduler.configuration_ages.update(p=150.0, q=150.0, r=150.0)
    assert scheduler.run(3000).address == "q"
