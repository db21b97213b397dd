"""Votes of one replica: at most one a term, on the disk before it is told, of members only."""

from random import Random

import pytest

from molespur.system.consensus import replica as raft
from molespur.system.rpc import molespur_pb2 as pb

NAMES = ("10.0.0.1:1#0", "10.0.0.2:1#0", "10.0.0.3:1#0")
LEARNER = "10.0.0.4:1#0"
TERM = 7


def replica(name=NAMES[0], vote="", term=TERM):
    members = [pb.Member(replica_id=voter, rpc_address=voter[:-2], voter=True) for voter in NAMES]
    members.append(pb.Member(replica_id=LEARNER, rpc_address=LEARNER[:-2]))
    first = raft.Snapshot(1, 1, pb.Membership(members=members), b"")
    return raft.Replica("test", name, Random(1), raft.HardState(term, vote), first)


def asked(voter, candidate, term=TERM, pre_vote=False, last=(1, 1)):
    """(granted, whether the answer waits for the disk) for a request; None for no answer."""
    message = pb.ConsensusMessage(group="test", sender=candidate, receiver=voter.id, term=term)
    message.vote_request.pre_vote = pre_vote
    message.vote_request.last_term, message.vote_request.last_index = last
    actions = voter.handle(10_000.0, raft.Received(message))
    at_once = [a for a in actions if isinstance(a, raft.Send)]
    later = [send for a in actions if isinstance(a, raft.Persist) for send in a.send_after_sync]
    if not at_once and not later:
        return None
    (send,) = [*at_once, *later]
    return send.message.vote_reply.granted, bool(later)


def test_a_vote_leaves_with_the_record_that_keeps_it():
    voter = replica(term=TERM - 1)
    assert asked(voter, NAMES[1]) == (True, True)
    assert (voter.hard_state.term, voter.hard_state.vote) == (TERM, NAMES[1])


def test_one_vote_a_term_also_after_a_restart():
    voter = replica()
    assert asked(voter, NAMES[1])[0]
    assert not asked(voter, NAMES[2])[0]
    assert asked(voter, NAMES[1])[0], "the same candidate asks again"
    assert not asked(replica(vote=NAMES[1]), NAMES[2])[0]
    assert asked(replica(vote=NAMES[1]), NAMES[2], term=TERM + 1)[0]


@pytest.mark.parametrize("last", [(1, 0), (0, 9)])
def test_no_vote_for_a_log_that_is_behind(last):
    assert not asked(replica(), NAMES[1], last=last)[0]
    assert not asked(replica(), NAMES[1], term=TERM + 1, pre_vote=True, last=last)[0]


def test_who_has_no_vote_answers_no_request():
    assert asked(replica(LEARNER), NAMES[1], term=TERM + 1) is None
    outsider = raft.Replica("test", "10.0.0.9:1#5", Random(1), raft.HardState(TERM, ""))
    assert asked(outsider, NAMES[1], term=TERM + 1) is None


def test_a_pre_vote_changes_nothing():
    voter = replica()
    assert asked(voter, NAMES[1], term=TERM + 1, pre_vote=True) == (True, False)
    assert (voter.hard_state.term, voter.hard_state.vote) == (TERM, "")


def pre_candidate(name):
    """A replica that has just asked the others whether they would vote for it."""
    made = replica(name)
    made.handle(10_000.0, raft.Tick())
    assert made.role is raft.Role.PRE_CANDIDATE
    return made


def test_of_two_that_ask_at_once_the_lower_identity_gives_way():
    """Else both would get every pre-vote, and split the votes."""
    lower, higher = pre_candidate(NAMES[0]), pre_candidate(NAMES[1])
    assert asked(lower, higher.id, term=TERM + 1, pre_vote=True) == (True, False)
    assert lower.role is raft.Role.FOLLOWER and lower.election_deadline_ms > lower.now
    assert asked(higher, lower.id, term=TERM + 1, pre_vote=True) == (True, False)
    assert higher.role is raft.Role.PRE_CANDIDATE


def test_nobody_gives_way_to_one_whose_log_is_shorter():
    lower = pre_candidate(NAMES[0])
    assert asked(lower, NAMES[1], term=TERM + 1, pre_vote=True, last=(0, 0)) == (False, False)
    assert lower.role is raft.Role.PRE_CANDIDATE
