"""The promise of propagation is split over its hops with margin, for any length of the promise."""

import pytest

from molespur.system.consensus.timing import MAX_ELECTION_TIMEOUT_MS
from molespur.system.feed.budget import CALM_MS, FreshnessBudget

WORST_ASKED_MS = 1600.0  # for the promise of 2,000 ms that the deployments of today make
MARGIN_SHARE = 0.25


def test_the_hops_add_up_to_less_than_the_promise():
    budget = FreshnessBudget(2000.0)
    assert budget.worst_ms <= WORST_ASKED_MS
    assert budget.worst_ms <= (1.0 - MARGIN_SHARE) * budget.promise_ms


@pytest.mark.parametrize("promise", [500.0, 1000.0, 2000.0, 17_000.0])
def test_a_source_in_order_is_never_left_and_nothing_is_refused_out_of_older_state_than_promised(promise):
    budget = FreshnessBudget(promise)
    assert budget.leave_ms > CALM_MS
    assert budget.refuse_ms < promise


def test_an_election_fits_into_the_promise_of_today():
    """While nobody leads nothing is acknowledged: state grows old by it, but not wrong."""
    budget = FreshnessBudget(2000.0)
    assert budget.refuse_ms > MAX_ELECTION_TIMEOUT_MS
