"""A snapshot goes on where it stopped whoever leads: all replicas compact at the same indexes.

The failure behind these tests: a replica compacted when its process looked, each 50 ms, and only the leader
counted the bytes of its log. Two replicas had snapshots of different indexes, so a follower that had received half of one
began again from nothing under the next leader.

Times are milliseconds of virtual time.
"""

import asyncio
from random import Random

import pytest
from virtual_fleet import VirtualFleet
from virtual_group import VirtualGroup

from molespur.system.consensus import replica as raft
from molespur.system.consensus.snapshot_transfer import PIECE_BYTES
from molespur.system.shards.placement import CONFIGURATION

MANY_CHANGES = 300
LEADER_CHANGES = 3


def snapshot_of(process):
    snapshot = process.plane.host.groups[CONFIGURATION].replica.log.snapshot
    return snapshot.index, snapshot.term, snapshot.state


@pytest.mark.parametrize("seed", range(4))
def test_replicas_compact_at_the_same_indexes(monkeypatch, seed):
    """Changes in bursts, leaders that are lost, and a member that was away: one snapshot at all."""
    random = Random(seed)

    async def history(fleet):
        await asyncio.sleep(3.0)
        version = 0
        while version < MANY_CHANGES:
            base, version = version, version + 1
            while await fleet.put(version, base, "m") is None:
                pass
            if version % 60 == 30:
                address = fleet.leader() if random.random() < 0.5 else random.choice(list(fleet.processes))
                fleet.kill(address)
                await asyncio.sleep(random.random())
                fleet.restart(address)
                await asyncio.sleep(random.random())
        await asyncio.sleep(3.0)
        snapshots = {snapshot_of(process) for process in fleet.processes.values()}
        assert len(snapshots) == 1, [snapshot[:2] for snapshot in snapshots]
        assert min(index for index, _, _ in snapshots) > MANY_CHANGES // 2

    VirtualFleet(40 + seed, monkeypatch).run(history)


@pytest.mark.parametrize("megabytes", [1, 16])
def test_a_member_is_caught_up_through_three_changes_of_leader(megabytes):
    """Each leader loses the lead in the middle of the transfer; no piece but the one under way is sent anew."""
    group = VirtualGroup(50 + megabytes)
    group.run(3000)
    away = next(address for address in group.processes if address != group.leader().address)
    group.isolate(away)
    state_bytes = megabytes << 20
    for number in range(8):
        group.propose(b"%d" % number * (state_bytes // 8))
        group.run(400)
    group.run(1000)
    pieces, arrive, leads = [], group._arrive, []
    per_leader = state_bytes // PIECE_BYTES // (LEADER_CHANGES + 1)

    def watched(sender, receiver, message):
        if message.HasField("install_snapshot"):
            pieces.append(message.install_snapshot.offset)
            leads.append(sender)
            if len(pieces) % max(per_leader, 1) == 0 and len(set(zip(leads, leads[1:], strict=False))) < 9:
                group.at(0.0, group.leader().handle, raft.TransferLeadership())
        arrive(sender, receiver, message)

    group._arrive = watched
    group.heal()
    group.run(12_000)
    assert group.processes[away].machine.commands == group.leader().machine.commands
    changes = sum(one != other for one, other in zip(leads, leads[1:], strict=False))
    assert changes >= LEADER_CHANGES
    state = len(group.leader().machine.snapshot())
    sent = len(pieces) * PIECE_BYTES
    assert sent <= state + (changes + 2) * PIECE_BYTES, (sent, state, changes)
