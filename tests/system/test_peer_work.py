"""The exchange of work between schedulers: lost, late and invalid datagrams, peers that fall silent."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from molespur.policy.tracking import RANKS, WorkerTrack
from molespur.system.data_plane.peer_work import MAX_WORKERS, PeerWorkTable, worker_hash
from molespur.system.feed.source import MAX_PEERS, peers_of
from molespur.system.rpc import molespur_pb2 as pb


def scheduler(name, workers=3):
    tracks = [
        WorkerTrack(f"w{n}", f"w{n}:80", "a", "prefill", 64, capacity_tokens=1e6) for n in range(workers)
    ]
    table = PeerWorkTable(name, {worker_hash(track.id): track for track in tracks})
    return table, tracks


def announce(table, tracks, now):
    """The datagrams after a change at any of these workers."""
    for track in tracks:
        table.mark_changed(track)
    return table.datagrams(now)


def test_work_and_prefixes_reach_the_others():
    (a, own), (b, remote) = scheduler("a"), scheduler("b")
    own[1].unfinished, own[1].prefill_tokens[2] = 3, 500.0
    a.record_placed(own[1], (("part", 900.0),))
    for datagram in announce(a, own, 0.0):
        b.receive(5.0, datagram)
    b.expire(10.0, 5)
    assert remote[1].peer_running == 3 and remote[1].peer_prefill_tokens[2] == 500.0
    assert remote[1].peer_scale == 4.0 and remote[1].other_requests(10.0) == 12.0
    assert remote[1].cached_tokens((("part", 900.0),)) == 900.0
    assert announce(a, own, 20.0) == [], "nothing has changed"
    own[1].unfinished, own[1].prefill_tokens[2] = 0, 0.0
    for datagram in announce(a, own, 40.0):
        b.receive(45.0, datagram)
    assert remote[1].peer_running == 0 and sum(remote[1].peer_prefill_tokens) == 0.0


def test_a_peer_that_falls_silent_has_no_work_that_counts():
    (a, own), (b, remote) = scheduler("a"), scheduler("b")
    own[0].unfinished = 4
    for datagram in announce(a, own, 0.0):
        b.receive(0.0, datagram)
    b.expire(100.0, 2)
    assert remote[0].other_requests(100.0) == 4
    b.expire(5_000.0, 2)
    assert remote[0].peer_running == 0 and remote[0].peer_scale == 0.0


def test_late_and_invalid_datagrams_are_counted_and_dropped():
    (a, own), (b, remote) = scheduler("a"), scheduler("b")
    own[0].unfinished = 1
    first = announce(a, own, 0.0)[0]
    own[0].unfinished = 2
    b.receive(1.0, announce(a, own, 50.0)[0])
    b.receive(2.0, first)
    b.receive(3.0, b"\xff\xff")
    b.receive(4.0, pb.PeerWork(node="x", sequence=1, workers=[pb.WorkerWork(reads=[1])]).SerializeToString())
    b.receive(5.0, pb.PeerWork(node="b", sequence=99).SerializeToString())
    assert remote[0].peer_running == 2
    assert b.dropped == {"late": 1, "unreadable": 1, "nonsense": 2}


def test_datagrams_of_a_restarted_peer_are_accepted():
    (_, _), (b, remote) = scheduler("a"), scheduler("b")
    b.receive(0.0, pb.PeerWork(node="a", sequence=900, whole=True).SerializeToString())
    b.expire(4_000.0, 2)
    fresh, own = scheduler("a")
    own[0].unfinished = 1
    b.receive(4_100.0, announce(fresh, own, 0.0)[0])
    assert remote[0].peer_running == 1


def test_many_workers_are_announced_in_several_datagrams():
    (a, own), (b, remote) = scheduler("a", 2 * MAX_WORKERS + 1), scheduler("b", 2 * MAX_WORKERS + 1)
    for track in own:
        track.unfinished = 1
    datagrams = announce(a, own, 0.0)
    assert len(datagrams) == 3
    for datagram in datagrams:
        b.receive(1.0, datagram)
    assert [track.peer_running for track in remote] == [1] * len(remote)


@settings(max_examples=60, deadline=None)
@given(seed=st.integers(0, 9999), loss=st.sampled_from([0.0, 0.3, 0.7]))
def test_the_sums_become_right_whatever_datagrams_are_lost(seed, loss):
    random = Random(seed)
    (a, own), (b, remote) = scheduler("a"), scheduler("b")
    now = 0.0
    for _ in range(60):
        now += 40.0
        track = random.choice(own)
        track.unfinished = random.randrange(4)
        track.prefill_tokens[random.randrange(RANKS)] = float(random.randrange(3)) * 100
        for datagram in announce(a, own, now):
            if random.random() >= loss:
                b.receive(now, datagram)
    for _ in range(30):
        now += 40.0
        for datagram in announce(a, own, now):
            b.receive(now, datagram)
    assert [(t.peer_running, t.peer_prefill_tokens) for t in remote] == [
        (t.unfinished, t.prefill_tokens) for t in own
    ]


def test_each_scheduler_has_few_peers_and_the_relation_is_mutual():
    addresses = {f"edge-{n}": f"10.0.{n // 200}.{n % 200}:1" for n in range(390)}
    peers = {node: set(peers_of(node, addresses)) for node in addresses}
    assert {len(p) for p in peers.values()} == {MAX_PEERS}
    nodes = {address: node for node, address in addresses.items()}
    assert all(addresses[node] in peers[nodes[other]] for node in peers for other in peers[node])
    few = {node: addresses[node] for node in list(addresses)[:9]}
    assert all(len(peers_of(node, few)) == 8 for node in few)
