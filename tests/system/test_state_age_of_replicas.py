"""The state age of replicas: claims of a leader in the follower's own time, and when they take effect."""

from virtual_group import GROUP, VirtualGroup

from molespur.system.consensus import replica as raft
from molespur.system.consensus.state_age import MAX_PENDING_CLAIMS, StateAgeTracker
from molespur.system.rpc import molespur_pb2 as pb

MAX_CALM_AGE_MS = 450.0  # without any fault


def settled_group(seed=5):
    group = VirtualGroup(seed)
    group.run(3000)
    return group


def group_with_new_leader():
    """Return a group with slow disks that has just elected a leader after the loss of the previous one."""
    group = settled_group()
    first = group.leader()
    group.kill(first.address)
    group.sync_ms = 400.0
    while group.leader() is first or group.leader() is None:
        group.run(5)
    return group


def followers(group):
    leader = group.leader()
    return [process for process in group.processes.values() if process is not leader]


def age(group, process):
    return process.replica.state_age_ms(group.now)


def test_state_ages_stay_low_without_faults():
    group = settled_group()
    for _ in range(50):
        group.run(40)
        assert all(0.0 <= age(group, process) <= MAX_CALM_AGE_MS for process in group.processes.values())


def test_a_claim_takes_effect_once_its_index_is_applied():
    state = StateAgeTracker()
    state.add_claim(5, 100.0)
    state.add_claim(9, 200.0)
    state.advance_applied(4)
    assert state.confirmed_at_ms == float("-inf")
    state.advance_applied(8)
    assert state.confirmed_at_ms == 100.0
    state.advance_applied(9)
    assert state.confirmed_at_ms == 200.0
    state.confirm(150.0)
    assert state.confirmed_at_ms == 200.0, "the confirmed time must not decrease"


def test_a_replica_far_behind_keeps_only_the_first_claims():
    state = StateAgeTracker()
    for index in range(10 * MAX_PENDING_CLAIMS):
        state.add_claim(index, float(index))
    state.advance_applied(3)
    assert state.confirmed_at_ms == 3.0
    state.advance_applied(10 * MAX_PENDING_CLAIMS)
    assert state.confirmed_at_ms == MAX_PENDING_CLAIMS - 1.0


def test_the_state_of_a_follower_whose_replies_are_lost_ages_although_it_receives_appends():
    group = settled_group()
    leader, unheard = group.leader(), followers(group)[0]
    sent = group.send
    group.send = lambda sender, *rest: None if sender is unheard else sent(sender, *rest)
    began = group.now
    group.run(2000)
    assert unheard.replica.ms_since_leader_contact(group.now) < 200.0 and group.leader() is leader
    assert age(group, unheard) >= group.now - began


def test_the_state_of_a_leader_without_replies_from_a_majority_ages():
    group = settled_group()
    leader = group.leader()
    for other in followers(group):
        group.cut_links.add(frozenset((leader.address, other.address)))
    began = group.now
    group.run(1000)
    assert age(group, leader) >= group.now - began
    group.cut_links.clear()
    group.run(2500)
    assert age(group, leader) <= MAX_CALM_AGE_MS


def test_a_claim_for_another_instance_of_the_process_is_ignored():
    """The steady clocks of two instances cannot be compared: that of the later one may start lower."""
    group = settled_group()
    process = followers(group)[0]
    replica = process.replica
    confirmed = replica.state_age_tracker.confirmed_at_ms
    message = pb.ConsensusMessage(
        group=GROUP, sender=group.leader().replica.id, receiver=replica.id, term=replica.hard_state.term
    )
    request = message.append_request
    request.previous_index, request.previous_term = replica.log.last_index, replica.log.last_term
    request.commit_index, request.confirmed_at_ms = replica.log.commit_index, int(group.now + 60_000)
    request.life = replica.instance_id + 1
    replica.handle(group.now, raft.Received(message))
    assert replica.state_age_tracker.confirmed_at_ms == confirmed
    request.life = replica.instance_id
    replica.handle(group.now, raft.Received(message))
    assert replica.state_age_tracker.confirmed_at_ms == group.now, "a claim must not reach into the future"


def test_a_leader_claims_nothing_before_an_entry_of_its_own_term_is_committed():
    """It may not know yet everything that earlier leaders have committed."""
    group = group_with_new_leader()
    leader = group.leader()
    other = next(p for p in followers(group) if p.address not in group.down)
    before = other.replica.state_age_tracker.confirmed_at_ms
    assert leader.replica.log.term_at(leader.replica.log.commit_index) != leader.replica.hard_state.term
    group.run(300)
    assert other.replica.state_age_tracker.confirmed_at_ms == before
    group.run(2000)
    assert age(group, other) <= MAX_CALM_AGE_MS + 400.0


def test_a_rejected_append_confirms_nothing_to_a_new_leader():
    """It proves that no other replica leads, but not that this leader knows what earlier ones committed."""
    group = group_with_new_leader()
    leader, other = group.leader(), next(p for p in followers(group) if p.address not in group.down)
    confirmed = leader.replica.state_age_tracker.confirmed_at_ms
    reply = pb.ConsensusMessage(
        group=GROUP,
        sender=other.replica.id,
        receiver=leader.replica.id,
        term=leader.replica.hard_state.term,
    )
    reply.append_reply.success = False
    reply.append_reply.match_index = 1
    reply.append_reply.sent_at_ms = int(group.now)
    leader.replica.handle(group.now, raft.Received(reply))
    assert age(group, leader) == group.now - confirmed


def test_a_state_lacks_no_write_acknowledged_before_its_confirmed_time():
    """Every write that a state lacks was acknowledged after the time up to which the state is confirmed."""
    for seed in range(12):
        group = VirtualGroup(seed, loss=0.05)
        group.run(3000)
        acknowledged = []  # (time, index)
        for step in range(60):
            leader = group.leader()
            if leader is not None:
                index = leader.replica.log.last_index + 1
                group.propose(b"%d" % step)
                group.run(60)
                if leader.replica.log.commit_index >= index and group.leader() is leader:
                    acknowledged.append((group.now, index))
            if step % 9 == 4:
                group.cut_links.clear()
                for other in group.processes:
                    if leader is not None and other != leader.address:
                        group.cut_links.add(frozenset((leader.address, other)))
            if step % 9 == 8:
                group.cut_links.clear()
            group.run(30)
            for process in group.processes.values():
                confirmed = process.replica.state_age_tracker.confirmed_at_ms
                missing = [at for at, i in acknowledged if i > process.replica.log.applied_index]
                assert all(at >= confirmed for at in missing), (seed, step, process.address)
        assert len(acknowledged) > 15
