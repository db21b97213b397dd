"""An acknowledged change is in force everywhere in time, whatever one control-plane process goes through.

The failure behind this test: users got 404 on a route that had been added more than two seconds before.
What one control-plane process sent to the two others was lost, while it went on hearing them. Another
leader was elected; its appends did not join the log of the process that nobody heard, and the refusals
never came back, so that log stood still. Schedulers judged their source by how lately it had heard its
leader. It had, a moment ago, all the while: they stayed with it, for as long as it heard, and two
seconds more.

Evidence: the log of that process over ten seconds ("configuration: lags: applied 346, log ends at 347,
its leader names 360, heard 10 ms ago"), and of the schedulers that left it only once its leaders were
silent for 1,500 ms.
"""

import pytest
from propagation import FAULTS, Run, measure

PROMISE_MS = 2000.0  # ConfigPropagationMs of the virtual fleet's settings
WORST_MS = 1200.0  # under one trouble
WORST_OF_TWO_MS = 1600.0
SEEDS = (1, 2)


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_schedulers_do_not_stay_with_a_source_that_hears_its_leader_and_learns_nothing(role, monkeypatch):
    seen = measure(monkeypatch, Run("not heard", role, duration_s=8.0))
    assert len(seen.acknowledged) > 60, "changes went on"
    assert seen.worst() <= PROMISE_MS


@pytest.mark.parametrize("role", ["leader", "follower"])
@pytest.mark.parametrize("trouble", FAULTS)
def test_a_change_is_in_force_well_within_the_promise_under_any_one_trouble(trouble, role, monkeypatch):
    for seed in SEEDS:
        seen = measure(monkeypatch, Run(trouble, role, seed=seed))
        assert len(seen.acknowledged) > 30 and seen.worst() <= WORST_MS, seed


def test_a_shard_without_a_leader_hides_no_old_configuration(monkeypatch):
    """Every process is old by a shard of workers; one, which led that shard, by the configuration too.

    The failure behind this test: that process heard none of the others, but they heard it, so its shard
    had no other leader for 2 s.  Schedulers compared sources by their oldest shard, found all alike, and
    stayed with the one whose configuration was old.  Evidence: benchmarks.propagation, not hearing, seed
    15: 2,000 ms.
    """
    assert measure(monkeypatch, Run("not hearing", seed=15)).worst() <= WORST_MS


@pytest.mark.parametrize("course", ["two in a row", "again and again"])
@pytest.mark.parametrize("trouble", ["cut off", "not heard", "not hearing", "frozen"])
def test_two_troubles_and_one_that_comes_and_goes_keep_the_promise_too(trouble, course, monkeypatch):
    seen = measure(monkeypatch, Run(trouble, "leader", course=course))
    assert len(seen.acknowledged) > 30 and seen.worst() <= WORST_OF_TWO_MS


def test_five_voters_and_many_schedulers(monkeypatch):
    seen = measure(monkeypatch, Run("not heard", "leader", schedulers=40, voters=5))
    assert seen.worst() <= WORST_MS
