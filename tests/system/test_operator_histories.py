"""Two operators under one number, orders sent again: every history is explained by one order of its calls."""

from collections import Counter

import pytest
from linearizability import Change, Get, Put, Said, linearizable
from operator_history import play

from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.configuration import ConfigurationStateMachine, PutOutcome

HISTORIES, PARTS = 200, 4
MUST_MEET = (
    "answer lost", "two leaders", "on a version to come", "repeat", "repeat of a refused one",
    "same change twice at once", "taken", "refused", "cut", "power", "all power", "wipe", "freeze",
)  # fmt: skip


FOUND = (10811,)  # seeds that the command has found; the checker was wrong of a refusal with a lost answer


@pytest.mark.parametrize("seed", FOUND)
def test_histories_that_were_found_once(seed):
    assert play(seed)[0]


@pytest.mark.parametrize("part", range(PARTS))
def test_histories_of_operators_are_linearizable(part):
    met = Counter()
    for seed in range(part, HISTORIES, PARTS):
        good, counts = play(seed)
        assert good, f"no order explains seed {seed}"
        met.update(counts)
    assert not [kind for kind in MUST_MEET if not met[kind]], met


# -- The checker finds machines that are wrong ----------------------------------------------------------


class Forgetful(ConfigurationStateMachine):
    """Does not know which changes were taken."""

    def apply(self, data):
        self.accepted_digests.clear()
        return super().apply(data)


class Pardoning(ConfigurationStateMachine):
    """Does not know which changes were refused."""

    def apply(self, data):
        self.refused_bases.clear()
        return super().apply(data)


class Generous(ConfigurationStateMachine):
    """Takes a change on any version."""

    def apply(self, data):
        command = pb.PutConfiguration.FromString(data)
        command.base_version = self.version
        return super().apply(command.SerializeToString())


class Lossy(ConfigurationStateMachine):
    """Loses the digests with a snapshot."""

    def restore(self, data):
        super().restore(data)
        self.accepted_digests.clear()


class Hasty(ConfigurationStateMachine):
    """Tells a change that is refused that it was taken."""

    def apply(self, data):
        _, payload = super().apply(data)
        return PutOutcome.ACCEPTED, payload


@pytest.mark.parametrize("machine", [Forgetful, Pardoning, Generous, Lossy, Hasty])
def test_a_machine_that_is_wrong_is_found(machine):
    assert any(not play(seed, machine)[0] for seed in range(120))


A, B = Change(2, 0, "a"), Change(2, 0, "b")
LATER = Change(3, 2, "c")


@pytest.mark.parametrize(
    ("history", "good"),
    [
        ([Put(A, 0, 1, Said.TAKEN), Put(B, 0, 1, Said.REFUSED), Get(A, 2, 3)], True),
        ([Put(A, 0, 1, Said.TAKEN), Put(B, 0, 1, Said.TAKEN)], False),
        ([Put(A, 0, 1, Said.TAKEN), Get(None, 2, 3)], False),
        ([Put(A, 0, 5, Said.TAKEN), Get(None, 2, 3)], True),
        ([Put(A, 0), Get(A, 2, 3), Get(A, 8, 9)], True),
        ([Put(A, 0), Get(A, 2, 3), Get(None, 8, 9)], False),
        ([Put(A, 0, 1, Said.TAKEN), Put(LATER, 2, 3, Said.TAKEN), Put(A, 9, 10, Said.TAKEN)], True),
        ([Put(A, 0, 1, Said.TAKEN), Put(LATER, 2, 3, Said.TAKEN), Put(A, 9, 10, Said.REFUSED)], False),
        ([Put(LATER, 0, 1, Said.REFUSED), Put(A, 2, 3, Said.TAKEN), Get(LATER, 4, 5)], False),
        ([Put(LATER, 0), Put(A, 2, 3, Said.TAKEN), Get(LATER, 4, 5)], True),
        ([Put(LATER, 0), Put(A, 2, 3, Said.TAKEN), Put(LATER, 4, 5, Said.REFUSED)], True),
        ([Put(A, 2, 3, Said.TAKEN), Put(LATER, 4, 5, Said.REFUSED)], False),
    ],
)
def test_the_checker_by_hand(history, good):
    assert linearizable(history) is good
