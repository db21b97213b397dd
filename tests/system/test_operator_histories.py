"""Histories of concurrent and repeated configuration changes are linearizable."""

from collections import Counter

import pytest
from linearizability import Change, Get, Put, PutResult, linearizable
from operator_history import play

from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.configuration import ConfigurationStateMachine, PutOutcome

HISTORIES, BATCHES = 200, 4
REQUIRED_EVENTS = (
    "response lost", "two leaders", "on a future version", "repeat", "repeat of a refused change",
    "same change twice concurrently", "accepted", "refused", "cut", "power", "all power", "wipe", "freeze",
)  # fmt: skip


FAILED_SEEDS = (10811,)  # here the checker misjudged a refusal whose response was lost


@pytest.mark.parametrize("seed", FAILED_SEEDS)
def test_histories_that_failed_before_are_linearizable(seed):
    assert play(seed)[0]


@pytest.mark.parametrize("batch", range(BATCHES))
def test_histories_of_operators_are_linearizable(batch):
    total = Counter()
    for seed in range(batch, HISTORIES, BATCHES):
        is_linearizable, counts = play(seed)
        assert is_linearizable, f"seed {seed}"
        total.update(counts)
    assert not [kind for kind in REQUIRED_EVENTS if not total[kind]], total


# -- The checker detects faulty state machines --------------------------------------------------------


class ForgetsAccepted(ConfigurationStateMachine):
    """Forgets which changes were accepted."""

    def apply(self, data):
        self.accepted_digests.clear()
        return super().apply(data)


class ForgetsRefused(ConfigurationStateMachine):
    """Forgets which changes were refused."""

    def apply(self, data):
        self.refused_bases.clear()
        return super().apply(data)


class IgnoresBaseVersion(ConfigurationStateMachine):
    """Accepts a change based on any version."""

    def apply(self, data):
        command = pb.PutConfiguration.FromString(data)
        command.base_version = self.version
        return super().apply(command.SerializeToString())


class LosesDigestsOnRestore(ConfigurationStateMachine):
    """Loses the digests when a snapshot is restored."""

    def restore(self, data):
        super().restore(data)
        self.accepted_digests.clear()


class AcknowledgesRefused(ConfigurationStateMachine):
    """Reports refused changes as accepted."""

    def apply(self, data):
        _, payload = super().apply(data)
        return PutOutcome.ACCEPTED, payload


@pytest.mark.parametrize(
    "machine",
    [ForgetsAccepted, ForgetsRefused, IgnoresBaseVersion, LosesDigestsOnRestore, AcknowledgesRefused],
)
def test_a_faulty_state_machine_is_detected(machine):
    assert any(not play(seed, machine)[0] for seed in range(120))


A, B = Change(2, 0, "a"), Change(2, 0, "b")
LATER = Change(3, 2, "c")


@pytest.mark.parametrize(
    ("history", "expected"),
    [
        ([Put(A, 0, 1, PutResult.ACCEPTED), Put(B, 0, 1, PutResult.REFUSED), Get(A, 2, 3)], True),
        ([Put(A, 0, 1, PutResult.ACCEPTED), Put(B, 0, 1, PutResult.ACCEPTED)], False),
        ([Put(A, 0, 1, PutResult.ACCEPTED), Get(None, 2, 3)], False),
        ([Put(A, 0, 5, PutResult.ACCEPTED), Get(None, 2, 3)], True),
        ([Put(A, 0), Get(A, 2, 3), Get(A, 8, 9)], True),
        ([Put(A, 0), Get(A, 2, 3), Get(None, 8, 9)], False),
        (
            [
                Put(A, 0, 1, PutResult.ACCEPTED),
                Put(LATER, 2, 3, PutResult.ACCEPTED),
                Put(A, 9, 10, PutResult.ACCEPTED),
            ],
            True,
        ),
        (
            [
                Put(A, 0, 1, PutResult.ACCEPTED),
                Put(LATER, 2, 3, PutResult.ACCEPTED),
                Put(A, 9, 10, PutResult.REFUSED),
            ],
            False,
        ),
        ([Put(LATER, 0, 1, PutResult.REFUSED), Put(A, 2, 3, PutResult.ACCEPTED), Get(LATER, 4, 5)], False),
        ([Put(LATER, 0), Put(A, 2, 3, PutResult.ACCEPTED), Get(LATER, 4, 5)], True),
        ([Put(LATER, 0), Put(A, 2, 3, PutResult.ACCEPTED), Put(LATER, 4, 5, PutResult.REFUSED)], True),
        ([Put(A, 2, 3, PutResult.ACCEPTED), Put(LATER, 4, 5, PutResult.REFUSED)], False),
    ],
)
def test_the_checker_on_short_histories(history, expected):
    assert linearizable(history) is expected
