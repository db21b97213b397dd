"""Votes of one replica: at most one in each term, on disk before the reply is sent, from voters only."""

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


def request_vote(voter, candidate, term=TERM, pre_vote=False, last=(1, 1)):
    """Return (granted, whether the reply waits for the disk) for a vote request; None without a reply."""
    message = pb.ConsensusMessage(group="test", sender=candidate, receiver=voter.id, term=term)
    message.vote_request.pre_vote = pre_vote
    message.vote_request.last_term, message.vote_request.last_index = last
    actions = voter.handle(10_000.0, raft.Received(message))
    immediate = [a for a in actions if isinstance(a, raft.Send)]
    after_sync = [send for a in actions if isinstance(a, raft.Persist) for send in a.send_after_sync]
    if not immediate and not after_sync:
        return None
    (send,) = [*immediate, *after_sync]
    return send.message.vote_reply.granted, bool(after_sync)


def test_a_vote_is_sent_only_after_its_record_is_on_disk():
    voter = replica(term=TERM - 1)
    assert request_vote(voter, NAMES[1]) == (True, True)
    assert (voter.hard_state.term, voter.hard_state.vote) == (TERM, NAMES[1])


def test_one_vote_in_each_term_also_after_a_restart():
    voter = replica()
    assert request_vote(voter, NAMES[1])[0]
    assert not request_vote(voter, NAMES[2])[0]
    assert request_vote(voter, NAMES[1])[0], "the same candidate repeats its request"
    assert not request_vote(replica(vote=NAMES[1]), NAMES[2])[0]
    assert request_vote(replica(vote=NAMES[1]), NAMES[2], term=TERM + 1)[0]


@pytest.mark.parametrize("last", [(1, 0), (0, 9)])
def test_no_vote_for_a_log_that_is_behind(last):
    assert not request_vote(replica(), NAMES[1], last=last)[0]
    assert not request_vote(replica(), NAMES[1], term=TERM + 1, pre_vote=True, last=last)[0]


def test_a_replica_without_a_vote_does_not_reply_to_vote_requests():
    assert request_vote(replica(LEARNER), NAMES[1], term=TERM + 1) is None
    non_member = raft.Replica("test", "10.0.0.9:1#5", Random(1), raft.HardState(TERM, ""))
    assert request_vote(non_member, NAMES[1], term=TERM + 1) is None


def test_a_pre_vote_changes_nothing():
    voter = replica()
    assert request_vote(voter, NAMES[1], term=TERM + 1, pre_vote=True) == (True, False)
    assert (voter.hard_state.term, voter.hard_state.vote) == (TERM, "")


def pre_candidate(name):
    """Return a replica that has just requested pre-votes."""
    candidate = replica(name)
    candidate.handle(10_000.0, raft.Tick())
    assert candidate.role is raft.Role.PRE_CANDIDATE
    return candidate


def test_of_two_pre_candidates_the_lower_identity_yields():
    """Otherwise both could win their pre-votes and split the votes."""
    lower, higher = pre_candidate(NAMES[0]), pre_candidate(NAMES[1])
    assert request_vote(lower, higher.id, term=TERM + 1, pre_vote=True) == (True, False)
    assert lower.role is raft.Role.FOLLOWER and lower.election_deadline_ms > lower.now
    assert request_vote(higher, lower.id, term=TERM + 1, pre_vote=True) == (True, False)
    assert higher.role is raft.Role.PRE_CANDIDATE


def test_no_pre_candidate_yields_to_one_with_a_shorter_log():
    lower = pre_candidate(NAMES[0])
    assert request_vote(lower, NAMES[1], term=TERM + 1, pre_vote=True, last=(0, 0)) == (False, False)
    assert lower.role is raft.Role.PRE_CANDIDATE
