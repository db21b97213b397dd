"""Consensus of a replica group under message loss, cut links, restarts, lost disks and planned changes."""

from random import Random
from zlib import crc32

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from virtual_group import VirtualGroup

from molespur.system.consensus import replica as raft
from molespur.system.rpc import molespur_pb2 as pb


def commands(group):
    return {a: p.state_machine.commands for a, p in group.processes.items() if a not in group.down}


def check_converged(group, wanted):
    """Check that all running processes have the same commands in the same order, with the wanted ones."""
    group.heal()
    group.run(8000)
    histories = list(commands(group).values())
    assert all(history == histories[0] for history in histories), histories
    assert [c for c in wanted if c not in histories[0]] == []


def test_one_leader_is_elected_and_commands_reach_all_replicas():
    group = VirtualGroup(1)
    group.run(3000)
    proposed = group.propose(b"a")
    group.run(200)
    assert group.is_acknowledged(proposed)
    assert all(history == [b"a"] for history in commands(group).values())


def test_every_follower_learns_of_a_commit_within_a_few_round_trips_not_at_the_next_heartbeat():
    """Includes the follower whose reply arrives after the majority was reached."""
    group = VirtualGroup(12)
    group.run(3000)
    for number in range(20):
        group.propose(b"%d" % number)
        # at most three messages of 5 ms, two writes of 5 ms, and another message for the commit
        group.run(45)
        assert all(commands(group)[a][-1:] == [b"%d" % number] for a in group.processes), number
        group.run(37 * number % 150)


def test_nothing_is_committed_without_a_majority():
    group = VirtualGroup(2)
    group.run(3000)
    leader = group.leader()
    group.isolate(leader.address)
    proposed = leader.handle(raft.Propose(b"lost"))
    group.run(300)
    assert all(p.index not in group.committed for p in proposed if isinstance(p, raft.Proposed))
    group.run(4000)
    assert leader.replica.role is not raft.Role.LEADER, "a leader without replies must step down"
    kept = group.propose(b"kept")
    group.run(300)
    assert group.is_acknowledged(kept)
    check_converged(group, [b"kept"])


def test_a_lease_ends_before_another_leader_can_be_elected():
    group = VirtualGroup(3)
    group.run(3000)
    old = group.leader()
    assert old.replica.has_lease(group.now)
    group.isolate(old.address)
    for _ in range(80):
        group.run(50)
        new = group.leader()
        assert new is old or not old.replica.has_lease(group.now)
    assert group.leader() is not old


def test_a_read_returns_every_acknowledged_write():
    group = VirtualGroup(3)
    group.run(3000)
    group.propose(b"a")
    group.run(200)
    leader = group.leader()
    leader.handle(raft.Read(1))
    assert 1 not in leader.reads, "no follower has replied yet"
    group.run(50)
    assert leader.reads[1] == [b"a"]
    follower = next(p for p in group.processes.values() if p is not leader)
    follower.handle(raft.Read(1))
    assert follower.reads[1] is None


def test_a_deposed_leader_serves_no_read_even_if_its_lease_seems_valid():
    """Restarted voters do not remember the contact with a leader, so the lease does not bind them."""
    misleading_leases = 0
    for seed in range(40):
        group = VirtualGroup(seed)
        group.run(3000)
        old = group.leader()
        group.isolate(old.address)
        for address in group.processes:
            if address != old.address:
                group.kill(address)
                group.restart(address)
        number = 1
        for _ in range(60):
            group.run(20)
            new = group.leader()
            if new is not old and group.is_acknowledged(group.propose(b"new")):
                break
            proposed = group.propose(b"new") if new is not old else None
            group.run(12)
            if group.is_acknowledged(proposed):
                break
        assert b"new" not in old.state_machine.commands
        misleading_leases += old.replica.has_lease(group.now)
        old.handle(raft.Read(number))
        group.run(5000)
        assert old.reads.get(number) is None, (
            "a read returned an old state after a newer write was acknowledged"
        )
    assert misleading_leases > 0, "no seed has a lease that would have allowed a stale read"


def test_pending_reads_are_refused_when_leadership_is_lost():
    group = VirtualGroup(7)
    group.run(3000)
    leader = group.leader()
    group.isolate(leader.address)
    leader.handle(raft.Read(5))
    group.run(4000)
    assert leader.reads == {5: None}


def test_after_a_power_failure_a_failed_pre_vote_is_repeated_soon():
    for seed in range(20):
        group = VirtualGroup(seed)
        group.run(3000)
        leader = group.leader()
        outdated = next(a for a in group.processes if a != leader.address)
        group.isolate(outdated)
        group.propose(b"kept")
        group.run(200)
        for address in group.processes:
            group.kill(address)
        group.run(2000)
        group.heal()
        group.restart(leader.address)
        group.run(500)
        group.restart(outdated)
        group.run(450)
        assert group.leader() is not None, (
            "only the first replica to restart can lead, and its first pre-vote failed"
        )


def test_the_short_first_pre_votes_of_an_isolated_replica_disturb_no_leader():
    group = VirtualGroup(11)
    group.run(3000)
    leader = group.leader()
    term = leader.replica.hard_state.term
    isolated = next(a for a in group.processes if a != leader.address)
    group.kill(isolated)
    group.isolate(isolated)
    group.restart(isolated)
    group.run(3000)
    group.heal()
    group.run(3000)
    assert group.leader() is leader and leader.replica.hard_state.term == term


def test_an_entry_is_committed_only_once_a_majority_has_synced_it():
    group = VirtualGroup(4, sync_ms=5.0)
    group.run(3000)
    group.sync_ms = 10_000.0
    proposed = group.propose(b"unsynced")
    group.run(500)
    assert not group.is_acknowledged(proposed)


def test_a_leader_with_a_hanging_disk_commits_through_the_other_voters():
    group = VirtualGroup(5)
    group.run(3000)
    leader = group.leader()
    write = group.write
    group.write = lambda process, record: None if process is leader else write(process, record)
    proposed = group.propose(b"through the others")
    group.run(300)
    assert group.is_acknowledged(proposed)


def test_acknowledged_writes_survive_a_power_failure_of_all_replicas():
    group = VirtualGroup(6)
    group.run(3000)
    proposed = group.propose(b"kept")
    group.run(100)
    assert group.is_acknowledged(proposed)
    for address in list(group.processes):
        group.kill(address)
    group.run(1000)
    for address in list(group.processes):
        group.restart(address)
    check_converged(group, [b"kept"])


def test_acknowledged_writes_survive_a_lost_disk_during_a_power_failure_of_all_replicas():
    for seed in range(20):
        group = VirtualGroup(seed)
        group.run(3000)
        proposed = group.propose(b"kept")
        while not group.is_acknowledged(proposed):
            group.run(1)
        for address in list(group.processes):
            group.kill(address)
        lost = group.random.choice(sorted(group.processes))
        for address in list(group.processes):
            if address == lost:
                group.wipe(address)
            else:
                group.restart(address)
        check_converged(group, [b"kept"])
        assert group.processes[lost].replica.is_voter()


def test_a_replica_with_an_empty_disk_does_not_vote_before_it_is_admitted():
    group = VirtualGroup(7)
    group.run(3000)
    follower = next(p for p in group.processes.values() if p is not group.leader())
    group.kill(follower.address)
    fresh = group.wipe(follower.address)
    request = pb.ConsensusMessage(group="test", sender="10.0.0.9:1#0", receiver=fresh.replica.id, term=99)
    request.vote_request.last_index, request.vote_request.last_term = 99, 99
    assert fresh.handle(raft.Received(request)) == []
    group.run(6000)
    assert fresh.replica.is_voter() and len(fresh.replica.voters()) == 3


def test_a_replica_is_replaced_by_an_empty_one_at_another_address():
    group = VirtualGroup(8)
    group.run(3000)
    group.propose(b"before")
    group.run(200)
    lost = group.leader().address
    group.kill(lost)
    new = group.wipe("10.0.0.8:1")
    group.run(12_000)
    assert new.replica.is_voter()
    assert lost not in [m.rpc_address for m in new.replica.log.membership.members if m.voter]
    check_converged(group, [b"before"])


def test_a_leadership_transfer_elects_another_leader():
    group = VirtualGroup(9)
    group.run(3000)
    old = group.leader()
    old.handle(raft.TransferLeadership())
    group.run(150)
    assert group.leader() is not None and group.leader() is not old
    assert old.replica.role is raft.Role.FOLLOWER


def test_at_most_one_voter_changes_at_a_time():
    group = VirtualGroup(10)
    group.run(3000)
    leader = group.leader()
    two = pb.Membership(
        members=[m for m in leader.replica.log.membership.members if m.replica_id == leader.replica.id]
    )
    before = leader.replica.log.last_index
    leader.handle(raft.ChangeMembership(two))
    assert leader.replica.log.last_index == before


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["propose", "cut", "heal", "kill", "restart", "wipe", "wait", "transfer"]),
        st.integers(0, 9),
    ),
    min_size=5,
    max_size=40,
)


@settings(max_examples=80, deadline=None, suppress_health_check=list(HealthCheck))
@given(seed=st.integers(0, 10_000), steps=STEPS, loss=st.sampled_from([0.0, 0.05, 0.2]))
def test_random_histories_have_one_entry_for_each_index_and_lose_no_acknowledged_write(seed, steps, loss):
    group, choose = VirtualGroup(seed, loss=loss), Random(seed)
    group.run(2000)
    waiting, kept, wiped_at = [], [], float("-inf")
    for number, (step, amount) in enumerate(steps):
        address = choose.choice(sorted(group.processes))
        match step:
            case "propose":
                data = b"c%d" % number
                waiting.append((data, group.propose(data)))
            case "cut":
                group.isolate(address)
            case "heal":
                group.heal()
            case "kill" if not group.down:
                group.kill(address)
            case "restart":
                for down in sorted(group.down):
                    group.restart(down)
            case "wipe" if group.now - wiped_at > 15_000 and not group.down and not group.cut_links:
                voters = [
                    p.replica.is_voter() and len(p.replica.voters()) == 3 for p in group.processes.values()
                ]
                if all(voters):
                    wiped_at = group.now
                    group.wipe(address)
            case "transfer":
                if group.leader() is not None:
                    group.leader().handle(raft.TransferLeadership())
        group.run(100 + 300 * amount)
        kept += [data for data, proposed in waiting if group.is_acknowledged(proposed)]
        waiting = [(data, proposed) for data, proposed in waiting if not group.is_acknowledged(proposed)]
    group.loss = 0.0
    for down in sorted(group.down):
        group.restart(down)
    check_converged(group, kept)


def test_a_leader_does_not_count_itself_before_the_entry_is_on_its_disk():
    group = VirtualGroup(11)
    group.run(3000)
    leader = group.leader()
    cut_off = next(address for address in group.processes if address != leader.address)
    group.isolate(cut_off)
    write = group.write
    group.write = lambda process, record: None if process is leader else write(process, record)
    proposed = group.propose(b"on one disk of three")
    group.run(400)
    assert proposed is not None and proposed.index not in group.committed


def test_an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_current_term():
    """Figure 8 of the Raft paper: an old entry on a majority of the replicas is not committed yet."""
    names = ["10.0.0.1:1#0", "10.0.0.2:1#0", "10.0.0.3:1#0"]
    members = [pb.Member(replica_id=name, rpc_address=name[:-2], voter=True) for name in names]
    first = raft.Snapshot(1, 1, pb.Membership(members=members), b"")
    old = pb.LogEntry(index=2, term=2, kind=pb.COMMAND, data=b"old")
    leader = raft.Replica("test", names[0], Random(1), raft.HardState(3, ""), first, [old])
    written = []

    def handle(now, event):
        written.extend(a.sequence for a in leader.handle(now, event) if isinstance(a, raft.Persist))

    def reply_to_append(now, term, index):
        reply = pb.ConsensusMessage(group="test", sender=names[1], receiver=names[0], term=term)
        reply.append_reply.success, reply.append_reply.match_index = True, index
        handle(now, raft.Received(reply))

    handle(5_000.0, raft.Tick())
    for pre_vote in (True, False):
        vote = pb.ConsensusMessage(group="test", sender=names[1], receiver=names[0], term=4)
        vote.vote_reply.pre_vote, vote.vote_reply.granted = pre_vote, True
        handle(5_001.0, raft.Received(vote))
        handle(5_002.0, raft.Persisted(max(written, default=0)))
    handle(5_003.0, raft.Persisted(max(written)))
    assert leader.role is raft.Role.LEADER and leader.log.last_index == 3
    refused = leader.handle(5_003.5, raft.Read(1))
    assert [a.number for a in refused if isinstance(a, raft.ReadRefused)] == [1], (
        "entries acknowledged by earlier leaders may not be applied here yet"
    )
    reply_to_append(5_004.0, 4, 2)
    assert leader.log.commit_index == 1, "two of three hold the old entry, but it may still be overwritten"
    reply_to_append(5_005.0, 4, 3)
    assert leader.log.commit_index == 3


def install_snapshot_at_four(term):
    """Send a snapshot of index 4 and this term to a follower with entries 2 to 6 of term 2."""
    names = ["10.0.0.1:1#0", "10.0.0.2:1#0"]
    members = [pb.Member(replica_id=name, rpc_address=name[:-2], voter=True) for name in names]
    first = raft.Snapshot(1, 1, pb.Membership(members=members), b"")
    held = [pb.LogEntry(index=i, term=2, kind=pb.COMMAND, data=b"%d" % i) for i in range(2, 7)]
    follower = raft.Replica("test", names[0], Random(1), raft.HardState(term, ""), first, held)
    message = pb.ConsensusMessage(group="test", sender=names[1], receiver=names[0], term=term)
    message.install_snapshot.index, message.install_snapshot.term = 4, term
    message.install_snapshot.membership.CopyFrom(first.membership)
    message.install_snapshot.state, message.install_snapshot.size = b"state", 5
    message.install_snapshot.checksum = crc32(b"state")
    return follower, follower.handle(5.0, raft.Received(message))


def test_a_snapshot_of_entries_that_a_follower_has_deletes_no_later_entries():
    """The follower may have acknowledged the later entries, so the leader may count them as replicated."""
    follower, actions = install_snapshot_at_four(term=2)
    assert follower.log.last_index == 6
    assert [a.entry.index for a in actions if isinstance(a, raft.Apply)] == [2, 3, 4]
    assert not [a for a in actions if isinstance(a, raft.Restore)]
    (record,) = [a for a in actions if isinstance(a, raft.Persist)]
    assert record.truncate_from is None and record.snapshot is None
    assert record.send_after_sync[0].message.append_reply.match_index == 4


def test_a_snapshot_replaces_conflicting_entries():
    follower, actions = install_snapshot_at_four(term=3)
    assert (follower.log.last_index, follower.log.commit_index) == (4, 4)
    assert [a.snapshot.state for a in actions if isinstance(a, raft.Restore)] == [b"state"]
    (record,) = [a for a in actions if isinstance(a, raft.Persist)]
    assert record.truncate_from == 0 and record.snapshot.index == 4


def persist_sequences(actions):
    return [action.sequence for action in actions if isinstance(action, raft.Persist)]


def replies_at_once(actions):
    """The indexes that are acknowledged before anything else is written."""
    return [
        action.message.append_reply.match_index
        for action in actions
        if isinstance(action, raft.Send) and action.message.WhichOneof("body") == "append_reply"
    ]


def test_records_of_a_replaced_log_make_nothing_of_the_new_log_durable():
    """Guards against acknowledged entries that are on no disk, after a snapshot replaced a log.

    Records of the old log were completed after that, and their indexes counted for the new log.
    """
    follower, _ = install_snapshot_at_four(term=2)  # its log ends at 6
    follower.handle(6.0, raft.Persisted(follower._sequence))
    old = append_from_leader(follower, 7.0, term=2, previous=(6, 2), entries=[(7, 2), (8, 2), (9, 2)])
    snapshot = pb.ConsensusMessage(group="g", sender="b", receiver=follower.id, term=3)
    snapshot.install_snapshot.index, snapshot.install_snapshot.term = 6, 3
    snapshot.install_snapshot.membership.CopyFrom(follower.log.membership)
    snapshot.install_snapshot.state, snapshot.install_snapshot.size = b"state", 5
    snapshot.install_snapshot.checksum = crc32(b"state")
    follower.handle(8.0, raft.Received(snapshot))
    (old_sequence,) = persist_sequences(old)
    follower.handle(9.0, raft.Persisted(old_sequence))
    assert follower.log.durable_index < 6, "the snapshot itself is not written yet"
    new = append_from_leader(follower, 10.0, term=3, previous=(6, 3), entries=[(7, 3), (8, 3)])
    again = append_from_leader(follower, 11.0, term=3, previous=(6, 3), entries=[(7, 3), (8, 3)])
    assert replies_at_once(new) == replies_at_once(again) == [], "neither is on disk"
    follower.handle(12.0, raft.Persisted(persist_sequences(new)[0]))
    assert follower.log.durable_index == 8


def append_from_leader(follower, now, term, previous, entries):
    """Entries (index, term) arrive from the leader `b`, after the entry `previous`."""
    message = pb.ConsensusMessage(group="g", sender="b", receiver=follower.id, term=term)
    message.append_request.previous_index, message.append_request.previous_term = previous
    for index, entry_term in entries:
        message.append_request.entries.add(index=index, term=entry_term, data=b"%d" % index)
    return follower.handle(now, raft.Received(message))


@pytest.mark.parametrize("seed", range(40))
def test_what_counts_as_synced_is_on_disk_whatever_replaces_the_log(seed):
    """Slow disks, leaders that are cut off with entries of their own, and snapshots that replace their logs.

    The group checks after every event that what counts as synced is on the replica's disk.
    """
    group = VirtualGroup(seed, sync_ms=150.0, loss=0.02)
    group.run(4000)
    number = 0
    for _ in range(12):
        group.random.choice((group.heal, lambda: None))()
        cut_off = group.random.choice(sorted(group.processes))
        group.isolate(cut_off)
        for _ in range(group.random.randrange(4, 20)):
            number += 1
            for process in group.processes.values():  # also at a leader that is cut off
                if process.replica.role is raft.Role.LEADER:
                    process.handle(raft.Propose(b"%d" % number))
            group.run(group.random.choice((5, 30, 90, 400)))
        if group.random.random() < 0.4:
            group.kill(cut_off)
            group.run(300)
            group.restart(cut_off)
        group.heal()
        group.run(group.random.choice((20, 100, 300, 1500)))
    check_converged(group, [])
