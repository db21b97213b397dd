"""An acknowledged change takes effect everywhere in time, whatever single fault a control-plane process has.

The first test guards against this failure: clients got 404 on a route that had been added more than two
seconds before.  Messages from one control-plane process to the two others were lost, while it still received
theirs.  A new leader was elected, but the log of that process did not match its appends, and the rejections
were lost too, so the log stood still.  Schedulers judged their source by the time since its last contact with
a leader.  That contact was always recent, so they stayed with the source for as long as the fault lasted, and
two seconds more.

The log of that process showed this over ten seconds: applied index 346, last log entry 347, leader commit
index 360, last leader contact 10 ms ago.  Schedulers left the source only after it had had no leader contact
for 1,500 ms.
"""

import pytest
from propagation import FAULTS, Run, measure

MAX_PROPAGATION_MS = 2000.0  # ConfigPropagationMs of the virtual fleet's settings
MAX_ONE_FAULT_MS = 1200.0
MAX_TWO_FAULTS_MS = 1600.0
SEEDS = (1, 2)


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_schedulers_leave_a_source_that_has_leader_contact_but_an_old_state(role, monkeypatch):
    measured = measure(monkeypatch, Run("not heard", role, duration_s=8.0))
    assert len(measured.acknowledged) > 60, "too few changes were acknowledged"
    assert measured.worst() <= MAX_PROPAGATION_MS


@pytest.mark.parametrize("role", ["leader", "follower"])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_change_takes_effect_well_within_the_limit_under_any_single_fault(fault, role, monkeypatch):
    for seed in SEEDS:
        measured = measure(monkeypatch, Run(fault, role, seed=seed))
        assert len(measured.acknowledged) > 30 and measured.worst() <= MAX_ONE_FAULT_MS, seed


def test_a_shard_without_a_leader_does_not_hide_an_old_configuration(monkeypatch):
    """All processes have an old worker shard; the one that led that shard also has an old configuration.

    This guards against the following failure: that process received no messages from the others, but they
    received its messages, so its shard had no other leader for 2 s.  Schedulers compared sources by their
    oldest shard, found no difference, and stayed with the source whose configuration was old.
    `benchmarks.propagation` showed 2,000 ms with the fault "not hearing" and seed 15.
    """
    assert measure(monkeypatch, Run("not hearing", seed=15)).worst() <= MAX_ONE_FAULT_MS


@pytest.mark.parametrize("course", ["two in a row", "again and again"])
@pytest.mark.parametrize("fault", ["cut off", "not heard", "not hearing", "frozen"])
def test_two_faults_and_a_recurring_fault_stay_within_the_limit(fault, course, monkeypatch):
    measured = measure(monkeypatch, Run(fault, "leader", course=course))
    assert len(measured.acknowledged) > 30 and measured.worst() <= MAX_TWO_FAULTS_MS


def test_five_voters_and_many_schedulers(monkeypatch):
    measured = measure(monkeypatch, Run("not heard", "leader", schedulers=40, voters=5))
    assert measured.worst() <= MAX_ONE_FAULT_MS
