"""Processes that go down and come back in the middle of a change of members, and then the final fault.

These tests guard against a group that has no leader for good, although no more disks are lost than it
tolerates (review/4): a learner was made a voter while its process was down, did not know of its vote, and
refused it to everyone.  Times are in milliseconds of virtual time.
"""

import pytest
from virtual_group import VirtualGroup

from molespur.system.consensus import replica as raft

SETTLE_MS = 4000
DOWN_MS = 1500
RECOVERY_MS = 12_000
SLOW_SYNC_MS = 90.0
CHANGE_MS = 1500  # after the first kill the leader has replaced the voter
COMMAND = b"acknowledged"
COMMAND_MEANWHILE = b"proposed in the trouble"


def grown_group(seed, voters):
    """A group with so many voters, the number that it keeps, and one more process that is its learner."""
    group = VirtualGroup(seed, voters, target_voters=voters)
    group.run(SETTLE_MS)
    spare = f"10.0.0.{voters + 1}:1"
    group.processes[spare] = group.processes[next(iter(group.processes))]  # `wipe` gives it a new disk
    group.wipe(spare)
    group.run(SETTLE_MS)
    learners = [m.rpc_address for m in group.leader().replica.log.membership.members if not m.voter]
    assert learners == [spare]
    return group, spare


def follower(group, *others):
    """A running voter beside the leader and these processes."""
    leader = group.leader()
    voters = set(leader.replica.voters())
    return next(
        address
        for address, process in group.processes.items()
        if process.replica.id in voters
        and address not in (leader.address, *others)
        and address not in group.down
    )


def propose(group, command):
    """Have a command acknowledged."""
    for _ in range(40):
        proposed = group.propose(command)
        group.run(100)
        if group.is_acknowledged(proposed):
            return
    raise AssertionError("the command was not acknowledged")


def final_fault(group, wiped):
    """All processes lose power, these lose their disks, and all come back."""
    addresses = list(group.processes)
    for address in addresses:
        group.kill(address)
    group.run(DOWN_MS)
    for address in addresses:
        if address in wiped:
            group.wipe(address)
        else:
            group.restart(address)


def check_recovered(group):
    """A leader is elected, and has what was acknowledged."""
    group.run(RECOVERY_MS)
    leader = group.leader()
    assert leader is not None, "no leader is elected"
    assert COMMAND in leader.state_machine.commands
    leader.handle(raft.Read(1))
    group.run(200)
    assert COMMAND in (leader.reads.get(1) or ()), "the leader confirms no read"


@pytest.mark.parametrize("between_ms", range(0, 1300, 50))
@pytest.mark.parametrize(("voters", "tolerated"), [(5, 2), (3, 1)])
def test_a_learner_that_is_made_a_voter_while_it_is_down_votes_afterwards(voters, tolerated, between_ms):
    group, spare = grown_group(between_ms + voters, voters)
    propose(group, COMMAND)
    killed = follower(group)
    group.kill(killed)
    group.run(between_ms)
    wiped = [group.leader().address, follower(group, spare)][:tolerated]
    group.kill(spare)
    group.run(CHANGE_MS - between_ms)
    if tolerated == 2:  # with two processes down the group serves on
        propose(group, COMMAND_MEANWHILE)
    else:
        group.propose(COMMAND_MEANWHILE)
    final_fault(group, wiped)
    check_recovered(group)
    assert tolerated == 1 or COMMAND_MEANWHILE in group.leader().state_machine.commands


@pytest.mark.parametrize("between_ms", range(140, 290, 8))
def test_a_learner_that_falls_silent_after_the_lost_voter_was_removed_still_gets_its_vote(between_ms):
    """With a slow disk the removal is committed when the learner's last reply is too old to count."""
    group, spare = grown_group(between_ms, 5)
    group.sync_ms = SLOW_SYNC_MS
    group.kill(follower(group))
    group.run(between_ms)
    group.kill(spare)
    group.run(CHANGE_MS - between_ms)
    propose(group, COMMAND)
    assert len(group.leader().replica.voters()) == 5
    final_fault(group, [group.leader().address, follower(group)])
    check_recovered(group)


@pytest.mark.parametrize("after_ms", range(0, 1600, 50))
def test_a_leader_that_fails_in_the_middle_of_a_change_loses_nothing(after_ms):
    group, spare = grown_group(after_ms, 3)
    propose(group, COMMAND)
    killed = follower(group)
    group.kill(killed)
    group.run(after_ms)
    leader = group.leader()
    group.kill(spare)
    if leader is not None:
        group.kill(leader.address)
    final_fault(group, [])
    check_recovered(group)
