"""The propagation bound is split over its steps with a margin, for any length of the bound."""

import pytest

from molespur.system.consensus.timing import MAX_ELECTION_TIMEOUT_MS
from molespur.system.feed.budget import NORMAL_AGE_MS, FreshnessBudget

WORST_CASE_MS = 1600.0  # for a bound of 2,000 ms, as in the deployments
MARGIN_SHARE = 0.25


def test_the_steps_take_less_than_the_bound_with_a_margin():
    budget = FreshnessBudget(2000.0)
    assert budget.worst_case_ms <= WORST_CASE_MS
    assert budget.worst_case_ms <= (1.0 - MARGIN_SHARE) * budget.bound_ms


@pytest.mark.parametrize("bound", [500.0, 1000.0, 2000.0, 17_000.0])
def test_a_healthy_source_is_kept_and_refusals_need_state_younger_than_the_bound(bound):
    budget = FreshnessBudget(bound)
    assert budget.leave_age_ms > NORMAL_AGE_MS
    assert budget.max_refusal_age_ms < bound


def test_an_election_is_shorter_than_the_refusal_age():
    """Without a leader nothing is acknowledged: the state ages, but does not become wrong."""
    budget = FreshnessBudget(2000.0)
    assert budget.max_refusal_age_ms > MAX_ELECTION_TIMEOUT_MS
