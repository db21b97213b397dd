"""The leader's membership plan: which learners become voters, which voters are demoted, and who may leave."""

import pytest
from virtual_group import VirtualGroup

from molespur.system.consensus import replica as raft
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.membership_changes import VOTER_LOST_AFTER_MS, MembershipPlanner

LEARNER = "10.0.0.9:1#9"


@pytest.fixture
def leader():
    """A leader with three voters and a learner that has just replied."""
    group = VirtualGroup(41)
    group.run(3000)
    replica = group.leader().replica
    planner = MembershipPlanner(3)
    joining = pb.Member(replica_id=LEARNER, rpc_address="10.0.0.9:1")
    group.leader().handle(raft.ChangeMembership(planner.admit(replica, joining)))
    group.run(60)
    replica.progress[LEARNER].last_reply_at_ms = group.now
    replica.progress[LEARNER].match_index = replica.log.last_index
    return group, replica, planner


def voters_of(membership):
    return {m.replica_id for m in membership.members if m.voter}


def followers(replica):
    return [name for name in replica.voters() if name != replica.id]


def test_without_leaving_or_lost_voters_nothing_changes(leader):
    group, replica, planner = leader
    assert planner.plan(replica, group.now) is None


def test_a_leaving_voter_is_replaced_before_it_is_demoted(leader):
    group, replica, planner = leader
    leaving = followers(replica)[0]
    planner.record_leaving(leaving, group.now)
    assert not planner.may_leave(replica, leaving, group.now)
    larger = planner.plan(replica, group.now)
    assert voters_of(larger) == {*replica.voters(), LEARNER}
    replica.log.memberships.append((replica.log.commit_index, larger))
    smaller = planner.plan(replica, group.now)
    assert voters_of(smaller) == voters_of(larger) - {leaving}
    replica.log.memberships.append((replica.log.commit_index, smaller))
    assert planner.may_leave(replica, leaving, group.now)
    assert planner.plan(replica, group.now) is None, "a replica that is leaving must not be promoted"


def test_a_leaving_voter_stays_until_it_is_demoted(leader):
    """The standby learner has become a voter already, so there is no standby learner any more."""
    group, replica, planner = leader
    leaving = followers(replica)[0]
    planner.record_leaving(leaving, group.now)
    larger = planner.plan(replica, group.now)
    replica.log.memberships.append((replica.log.commit_index, larger))
    assert len(replica.voters()) == 4 and not planner.has_standby_learner(replica, group.now)
    for name in replica.voters():
        if name != replica.id:
            replica.progress[name].match_index = replica.log.last_index
    assert not planner.may_leave(replica, leaving, group.now)


def test_a_learner_that_lacks_entries_gets_no_vote(leader):
    group, replica, planner = leader
    planner.record_leaving(followers(replica)[0], group.now)
    replica.progress[LEARNER].match_index = 1
    replica.log.entries.extend(
        pb.LogEntry(index=replica.log.last_index + n, term=1, kind=pb.COMMAND) for n in range(1, 9)
    )
    assert planner.plan(replica, group.now) is None


def test_a_lost_voter_is_replaced_only_while_the_leader_has_contact_with_a_majority(leader):
    group, replica, planner = leader
    lost = followers(replica)[0]
    replica.progress[lost].last_reply_at_ms = group.now - VOTER_LOST_AFTER_MS - 1.0
    assert voters_of(planner.plan(replica, group.now)) == {*replica.voters(), LEARNER}
    for name in followers(replica):
        replica.progress[name].last_reply_at_ms = group.now - VOTER_LOST_AFTER_MS - 1.0
    assert planner.plan(replica, group.now) is None, (
        "without any replies the fault may be on the leader's side"
    )
    replica.progress[followers(replica)[1]].last_reply_at_ms = group.now
    for name in followers(replica):
        replica.progress[name].acked_sent_at_ms = group.now - 5000.0
    replica.leader_since_ms = group.now - 5000.0
    assert planner.plan(replica, group.now) is None, "no majority replies"


def test_a_lost_voter_is_demoted_at_once_when_the_learner_votes_in_its_place(leader):
    group, replica, planner = leader
    lost = followers(replica)[0]
    replica.progress[lost].last_reply_at_ms = group.now - VOTER_LOST_AFTER_MS - 1.0
    larger = planner.plan(replica, group.now)
    replica.log.memberships.append((replica.log.commit_index, larger))
    smaller = planner.plan(replica, group.now)
    assert voters_of(smaller) == voters_of(larger) - {lost}
    assert lost in {m.replica_id for m in smaller.members}, "it is a learner when it comes back"


def test_without_a_learner_a_lost_voter_keeps_its_vote(leader):
    group, replica, planner = leader
    replica.progress[LEARNER].match_index = 0
    replica.progress[followers(replica)[0]].last_reply_at_ms = group.now - VOTER_LOST_AFTER_MS - 1.0
    assert planner.plan(replica, group.now) is None


def test_a_group_with_an_even_number_of_voters_takes_a_learner_that_does_not_reply(leader):
    """One more voter does not raise the number of votes that a majority needs then."""
    group, replica, planner = leader
    kept = [m for m in replica.log.membership.members if m.replica_id != followers(replica)[0]]
    smaller = pb.Membership(members=kept)
    replica.log.memberships.append((replica.log.commit_index, smaller))
    replica.progress[LEARNER].last_reply_at_ms = group.now - 5000.0
    assert voters_of(planner.plan(replica, group.now)) == {*voters_of(smaller), LEARNER}
    planner.record_leaving(LEARNER, group.now)
    assert planner.plan(replica, group.now) is None


def test_a_surplus_voter_is_demoted_even_if_none_is_leaving(leader):
    group, replica, planner = leader
    planner.record_leaving(followers(replica)[0], group.now)
    larger = planner.plan(replica, group.now)
    replica.log.memberships.append((replica.log.commit_index, larger))
    assert planner.plan(replica, group.now + 1100.0) is None
    smaller = planner.plan(replica, group.now + 4000.0)
    assert len(voters_of(smaller)) == 3 and replica.id in voters_of(smaller)


def test_a_replica_that_stops_sending_leave_notices_stays(leader):
    group, replica, planner = leader
    planner.record_leaving(followers(replica)[0], group.now)
    replica.progress[LEARNER].last_reply_at_ms = group.now + 2000.0
    assert planner.plan(replica, group.now + 2000.0) is None


def test_no_change_is_proposed_before_the_previous_one_is_committed(leader):
    group, replica, planner = leader
    joining = pb.Member(replica_id="10.0.0.8:1#8", rpc_address="10.0.0.8:1")
    group.leader().handle(raft.ChangeMembership(planner.admit(replica, joining)))
    assert not replica.log.membership_committed
    last = replica.log.last_index
    planner.record_leaving(followers(replica)[0], group.now)
    assert planner.plan(replica, group.now) is None
    another = pb.Member(replica_id="10.0.0.7:1#7", rpc_address="10.0.0.7:1")
    group.leader().handle(raft.ChangeMembership(planner.admit(replica, another)))
    assert replica.log.last_index == last


def test_without_a_standby_learner_a_leaving_voter_stays_while_it_has_one_of_two_copies(leader):
    group, replica, planner = leader
    leaving, other = followers(replica)
    replica.progress[LEARNER].last_reply_at_ms = group.now - 5000.0  # no standby learner
    assert planner.may_leave(replica, leaving, group.now)
    replica.progress[other].match_index = replica.log.commit_index - 1
    assert not planner.may_leave(replica, leaving, group.now)


def test_a_replica_with_an_empty_disk_replaces_the_previous_one_at_its_address(leader):
    _group, replica, planner = leader
    wiped = replica.member(followers(replica)[0])
    joining = pb.Member(replica_id="fresh", rpc_address=wiped.rpc_address)
    admitted = planner.admit(replica, joining)
    assert wiped.replica_id not in {m.replica_id for m in admitted.members}
    assert voters_of(admitted) == set(replica.voters()) - {wiped.replica_id}
