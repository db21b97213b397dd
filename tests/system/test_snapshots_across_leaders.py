"""A snapshot transfer resumes under any leader, because all replicas compact at the same indexes.

These tests guard against this failure: a replica compacted at the 50 ms tick of its process, and only the
leader counted the bytes of its log.  Replicas had snapshots of different indexes, so a follower that had
received half of a snapshot started from the beginning under the next leader.

Times are in milliseconds of virtual time.
"""

import asyncio
from itertools import pairwise
from random import Random

import pytest
from virtual_fleet import VirtualFleet
from virtual_group import VirtualGroup

from molespur.system.consensus import replica as raft
from molespur.system.consensus.compaction import MIN_ENTRIES, CompactionSchedule
from molespur.system.consensus.snapshot_transfer import CHUNK_BYTES
from molespur.system.shards.placement import CONFIGURATION

MANY_CHANGES = 300
LEADER_CHANGES = 3


def snapshot_of(process):
    snapshot = process.plane.host.groups[CONFIGURATION].replica.log.snapshot
    return snapshot.index, snapshot.term, snapshot.state


@pytest.mark.parametrize("seed", range(4))
def test_replicas_compact_at_the_same_indexes(monkeypatch, seed):
    """After bursts of changes, lost leaders and an absent member, all replicas have the same snapshot."""
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
def test_a_member_catches_up_through_three_leader_changes(megabytes):
    """Each leader loses leadership during the transfer; only the lost chunk is sent again."""
    group = VirtualGroup(50 + megabytes)
    group.run(3000)
    absent = next(address for address in group.processes if address != group.leader().address)
    group.isolate(absent)
    state_bytes = megabytes << 20
    for number in range(8):
        group.propose(b"%d" % number * (state_bytes // 8))
        group.run(400)
    group.run(1000)
    senders, arrive = [], group._arrive
    max_chunks = state_bytes // CHUNK_BYTES // (LEADER_CHANGES + 1)
    changes = 0

    def arrive_and_record(sender, receiver, message):
        nonlocal changes
        if message.HasField("install_snapshot"):
            senders.append(sender)
            if changes < LEADER_CHANGES and senders.count(sender) > max_chunks * (1 + changes // 2):
                changes += 1
                group.schedule(0.0, group.processes[sender].handle, raft.TransferLeadership())
                return  # the last chunk of this leader is lost
        arrive(sender, receiver, message)

    group._arrive = arrive_and_record
    group.heal()
    group.run(12_000)
    assert group.processes[absent].state_machine.commands == group.leader().state_machine.commands
    leader_changes = sum(one != other for one, other in pairwise(senders))
    assert leader_changes >= LEADER_CHANGES
    state = len(group.leader().state_machine.snapshot())
    min_chunks = -(-state // CHUNK_BYTES)
    assert len(senders) <= min_chunks + LEADER_CHANGES, (len(senders), min_chunks, leader_changes)


def compaction_points(schedule, first, entries):
    """Return the compaction points from `first` on of a log of (entry bytes, state bytes)."""
    return [
        i for i, sizes in enumerate(entries, start=1) if i >= first and schedule.record_applied(i, *sizes)
    ]


@pytest.mark.parametrize("seed", range(20))
def test_compaction_points_depend_on_the_log_alone(seed):
    """A replica that starts at any compaction point of another one has exactly its later points."""
    random = Random(seed)
    entries = [
        (random.choice((200, 40_000, 900_000)), random.choice((0, 5_000, 300_000))) for _ in range(2000)
    ]
    all_points = compaction_points(CompactionSchedule(), 1, entries)
    assert len(all_points) > 10
    for index in all_points:
        assert compaction_points(CompactionSchedule(), index + 1, entries) == [
            i for i in all_points if i > index
        ]


def test_replicas_with_snapshots_of_other_indexes_agree_from_a_multiple_of_the_stride_on():
    """Disks written by earlier releases, which compacted at the ticks of the process, have such snapshots."""
    entries = [(500, 20_000)] * 600
    one, other = (compaction_points(CompactionSchedule(), first, entries) for first in (37, 90))
    assert one[-4:] == other[-4:] and one[-1] - one[-2] == MIN_ENTRIES


def test_a_large_state_is_compacted_after_more_entries_and_bytes():
    assert compaction_points(CompactionSchedule(), 1, [(10, 1 << 20)] * 3000) == [1024, 2048]
    assert compaction_points(CompactionSchedule(), 1, [(400_000, 1 << 20)] * 8) == [6]
