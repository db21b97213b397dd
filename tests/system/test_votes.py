"""Votes of one replica: at most one in each term, and on disk before the reply is sent."""

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


@pytest.mark.parametrize("pre_vote", [False, True])
def test_a_learner_votes_by_the_same_rules_as_a_voter(pre_vote):
    """It may have been made a voter while its process was down, and then only the others know of its vote.

    Whose votes count is up to the candidate, by its own membership (Raft, section 4.1).
    """
    learner = replica(LEARNER)
    assert request_vote(learner, NAMES[1], TERM + 1, pre_vote, last=(1, 0)) == (False, not pre_vote)
    learner = replica(LEARNER)
    assert request_vote(learner, NAMES[1], TERM + 1, pre_vote) == (True, not pre_vote)
    if not pre_vote:
        assert (learner.hard_state.term, learner.hard_state.vote) == (TERM + 1, NAMES[1])
        assert request_vote(learner, NAMES[2], TERM + 1) == (False, True), "one vote in each term"
    assert not request_vote(replica(LEARNER), NAMES[1], TERM - 1, pre_vote)[0]


def test_a_learner_that_has_a_leader_ignores_vote_requests():
    learner = replica(LEARNER)
    heartbeat = pb.ConsensusMessage(group="test", sender=NAMES[0], receiver=LEARNER, term=TERM)
    heartbeat.append_request.previous_index = heartbeat.append_request.previous_term = 1
    learner.handle(9_900.0, raft.Received(heartbeat))
    assert request_vote(learner, NAMES[1], term=TERM + 1) is None


def test_a_learner_never_campaigns():
    learner = replica(LEARNER)
    assert not any(isinstance(action, raft.Send) for action in learner.handle(10_000.0, raft.Tick()))
    assert learner.role is raft.Role.FOLLOWER


def test_a_replica_that_knows_no_membership_does_not_reply_to_vote_requests():
    """It has no entry, so nobody can have made it a voter."""
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
