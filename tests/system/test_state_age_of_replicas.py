"""The age of a replica's state: what a leader claims, in the follower's own time, and when a claim holds."""

from virtual_group import GROUP, VirtualGroup

from molespur.system.consensus import replica as raft
from molespur.system.consensus.state_age import MAX_PENDING_CLAIMS, StateAgeTracker
from molespur.system.rpc import molespur_pb2 as pb

CALM_MS = 450.0


def settled(seed=5):
    group = VirtualGroup(seed)
    group.run(3000)
    return group


def led_anew():
    """A group whose leader has just been elected, after a loss, and whose disks are slow."""
    group = settled()
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


def test_an_undisturbed_group_stays_young():
    group = settled()
    for _ in range(50):
        group.run(40)
        assert all(0.0 <= age(group, process) <= CALM_MS for process in group.processes.values())


def test_a_claim_holds_once_its_index_is_applied():
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
    assert state.confirmed_at_ms == 200.0, "it never falls"


def test_a_replica_that_is_far_behind_keeps_few_claims_and_gets_young_by_the_first_of_them():
    state = StateAgeTracker()
    for index in range(10 * MAX_PENDING_CLAIMS):
        state.add_claim(index, float(index))
    state.advance_applied(3)
    assert state.confirmed_at_ms == 3.0
    state.advance_applied(10 * MAX_PENDING_CLAIMS)
    assert state.confirmed_at_ms == MAX_PENDING_CLAIMS - 1.0


def test_a_follower_whose_answers_are_lost_grows_old_however_much_it_hears():
    group = settled()
    leader, deaf = group.leader(), followers(group)[0]
    sent = group.send
    group.send = lambda sender, *rest: None if sender is deaf else sent(sender, *rest)
    began = group.now
    group.run(2000)
    assert deaf.replica.ms_since_leader_contact(group.now) < 200.0 and group.leader() is leader
    assert age(group, deaf) >= group.now - began


def test_a_leader_that_no_majority_answers_grows_old():
    group = settled()
    leader = group.leader()
    for other in followers(group):
        group.cut_links.add(frozenset((leader.address, other.address)))
    began = group.now
    group.run(1000)
    assert age(group, leader) >= group.now - began
    group.cut_links.clear()
    group.run(2500)
    assert age(group, leader) <= CALM_MS


def test_a_claim_made_to_another_life_of_the_process_does_not_count():
    """The clocks of two lives don't compare: the later one may begin lower."""
    group = settled()
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
    assert replica.state_age_tracker.confirmed_at_ms == group.now, "and no claim reaches into the future"


def test_a_leader_claims_nothing_before_an_entry_of_its_own_term_is_committed():
    """It may not know yet of all that the leaders before it have committed."""
    group = led_anew()
    leader = group.leader()
    other = next(p for p in followers(group) if p.address not in group.down)
    before = other.replica.state_age_tracker.confirmed_at_ms
    assert leader.replica.log.term_at(leader.replica.log.commit_index) != leader.replica.hard_state.term
    group.run(300)
    assert other.replica.state_age_tracker.confirmed_at_ms == before
    group.run(2000)
    assert age(group, other) <= CALM_MS + 400.0


def test_an_answer_from_a_log_that_does_not_join_makes_a_new_leader_certain_of_nothing():
    """It proves that nobody else leads, not that this leader knows what those before it have committed."""
    group = led_anew()
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


def test_what_a_leader_claims_is_acknowledged_nowhere_else():
    """Whatever a young state lacks was acknowledged after the time of which it is certain."""
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
                certain = process.replica.state_age_tracker.confirmed_at_ms
                missing = [at for at, i in acknowledged if i > process.replica.log.applied_index]
                assert all(at >= certain for at in missing), (seed, step, process.address)
        assert len(acknowledged) > 15
