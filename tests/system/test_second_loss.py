"""A second failure soon after a replacement: the majority and all acknowledged changes survive.

Times are in seconds of virtual time.  A replacement starts with an empty disk at another address.  The
process that it replaces gets SIGTERM one second later (planned) or failed one second earlier (unplanned).
"""

import asyncio

import pytest
from virtual_fleet import Disk, VirtualFleet

from molespur.system.shards.placement import GROUPS

SYNC_TIME_S = 4.0  # as in the deployments: a new process counts as failed for this long
RECOVERY_S = 12.0
GAP_S = 1.0
DOWN_S = 1.5  # from the loss of a disk to the restart of the process with an empty disk
SETTLE_S = 4.0
SPARE = "10.0.0.9"


async def put_change(fleet, number, timeout_s):
    """Send one change until its outcome is known; return the virtual time that it took."""
    began = fleet.loop.time()
    while fleet.loop.time() - began < timeout_s:
        response = await fleet.put(number, number - 1, "m")
        if response is not None:
            assert response[0] == 200
            return fleet.loop.time() - began
    raise AssertionError(f"change {number} was not accepted within {timeout_s} s: voters {fleet.voters()}")


async def lose_disk(fleet, address):
    fleet.kill(address)
    await asyncio.sleep(DOWN_S)
    fleet.wipe(address)


def second_victim(fleet, which, leaving):
    """Return the process that fails second: the leader or a follower, not the leaving or the new one."""
    leader = fleet.leader()
    if which == "leader" and leader not in (leaving, SPARE):
        return leader
    return next(a for a in fleet.processes if a not in (leader, leaving, SPARE) and fleet.processes[a].up)


async def replace(fleet, leaving, spare, planned):
    """Replace one process by an empty one at another address; return once the new one has started."""
    if planned:
        fleet.start(spare, Disk())
        await asyncio.sleep(GAP_S)
        return asyncio.create_task(fleet.stop(leaving))
    fleet.kill(leaving)
    await asyncio.sleep(GAP_S)
    fleet.start(spare, Disk())
    return None


async def read_back(fleet):
    read = await fleet.request("GET", "/api/config", tries=40)
    assert read is not None and read[0] == 200
    fleet.checker.check(read[1])


def run_second_loss(seed, monkeypatch, planned, which, after_s):
    """Replace a process; `after_s` after the start of the new one, lose the disk of another one."""

    async def history(fleet):
        await asyncio.sleep(SETTLE_S)
        await put_change(fleet, 1, RECOVERY_S)
        leaving = fleet.random.choice(list(fleet.processes))
        started = fleet.loop.time() + (0.0 if planned else GAP_S)
        stopping = await replace(fleet, leaving, SPARE, planned)
        number = 1
        while fleet.loop.time() - started < after_s - 0.3:
            number += 1
            await put_change(fleet, number, RECOVERY_S)
            await asyncio.sleep(0.1)
        await asyncio.sleep(max(started + after_s - fleet.loop.time(), 0.0))
        await lose_disk(fleet, second_victim(fleet, which, leaving))
        await put_change(fleet, number + 1, RECOVERY_S)
        if stopping is not None:
            await stopping
        await asyncio.sleep(3.0)
        assert (
            leaving not in fleet.voters()
            and len(fleet.voters()) == 3
            and set(fleet.voters()) <= set(fleet.processes)
        )
        await read_back(fleet)

    VirtualFleet(seed, monkeypatch, schedulers=1).run(history)


@pytest.mark.parametrize("which", ["leader", "follower"])
@pytest.mark.parametrize("after_s", [0.1, 0.5, 0.9, 1.02, 1.1, 1.3, 1.7, 2.5, 4.0, 8.0, 12.0])
def test_a_planned_replacement_tolerates_a_second_loss_at_any_time(after_s, which, monkeypatch):
    for seed in range(2):
        run_second_loss(seed, monkeypatch, True, which, after_s)


@pytest.mark.parametrize("which", ["leader", "follower"])
@pytest.mark.parametrize("after_s", [2.0, 3.0, SYNC_TIME_S, 8.0])
def test_an_unplanned_replacement_tolerates_a_second_loss_two_seconds_after_its_start(
    after_s, which, monkeypatch
):
    for seed in range(3):
        run_second_loss(seed, monkeypatch, False, which, after_s)


@pytest.mark.parametrize("tolerance", [1, 2])
def test_all_members_are_replaced_in_turn_with_a_loss_after_each(tolerance, monkeypatch):
    """After each replacement, as soon as the settings allow for it, other disks are lost."""
    extra = tuple(f"10.0.0.{n}" for n in (4, 5, 6)) if tolerance == 2 else ()

    async def history(fleet):
        await asyncio.sleep(SETTLE_S + 2.0)
        number = 0
        first = list(fleet.processes)
        for turn, leaving in enumerate(first):
            number += 1
            await put_change(fleet, number, RECOVERY_S)
            stopping = await replace(fleet, leaving, f"10.0.1.{turn + 1}", planned=turn % 2 == 0)
            await asyncio.sleep(SYNC_TIME_S)
            if stopping is not None:
                await stopping
            lost = [a for a in fleet.processes if fleet.processes[a].up][: fleet.tolerance]
            await asyncio.gather(*(lose_disk(fleet, address) for address in lost))
            number += 1
            await put_change(fleet, number, RECOVERY_S)
            await asyncio.sleep(SYNC_TIME_S)
        assert len(fleet.voters()) == 2 * tolerance + 1 and not set(first) & set(fleet.voters())
        await read_back(fleet)

    VirtualFleet(3, monkeypatch, schedulers=1, tolerance=tolerance, spares=extra).run(history)


def test_a_vote_is_handed_over_within_a_second_of_the_stop(monkeypatch):
    """The vote moves in all groups while the leaving process still runs; the process ends soon after.

    The seeds after the first guard against this failure: the process led a group itself and transferred
    leadership to the member that had just become a voter.  The new leader saw no standby learner and let the
    process stop with its vote: the group had four voters, one of them stopped.
    """

    async def history(fleet):
        await asyncio.sleep(SETTLE_S)
        for leaving, spare in (("10.0.0.1", "10.0.1.1"), ("10.0.0.2", "10.0.1.2"), ("10.0.0.3", "10.0.1.3")):
            fleet.start(spare, Disk())
            await asyncio.sleep(GAP_S)
            began = fleet.loop.time()
            await fleet.stop(leaving)
            assert fleet.loop.time() - began < 1.0
            for group in GROUPS:
                assert leaving not in fleet.voters(group) and spare in fleet.voters(group)

    for seed in (5, *range(100, 108)):
        VirtualFleet(seed, monkeypatch, schedulers=1).run(history)


def test_the_vote_of_a_lost_process_moves_within_two_seconds_of_the_start_of_its_replacement(monkeypatch):
    """This includes the loss of a leader, after which a new leader must be elected first.

    The seeds from 4 on guard against this failure: with one voter of three lost, the two others became
    candidates at the same time and split the votes repeatedly, so that there was no leader for three seconds.
    """

    async def history(fleet):
        await asyncio.sleep(SETTLE_S)
        for turn in range(4):
            leaving = fleet.leader() if turn % 2 else next(a for a in fleet.voters() if a != fleet.leader())
            spare = f"10.0.1.{turn + 1}"
            await replace(fleet, leaving, spare, planned=False)
            await asyncio.sleep(2.0)
            for group in GROUPS:
                assert spare in fleet.voters(group) and leaving not in fleet.voters(group)
                assert len(fleet.voters(group)) == 3
            await asyncio.sleep(SYNC_TIME_S)

    for seed in range(16):
        VirtualFleet(seed, monkeypatch, schedulers=1).run(history)


def test_a_process_that_stops_without_a_standby_learner_keeps_its_vote(monkeypatch):
    """A rolling restart: each process ends soon, keeps its vote, and is a voter again after its restart."""

    async def history(fleet):
        await asyncio.sleep(SETTLE_S)
        await put_change(fleet, 1, RECOVERY_S)
        for number, address in enumerate(list(fleet.processes)):
            began = fleet.loop.time()
            await fleet.stop(address)
            assert fleet.loop.time() - began < 1.0
            await asyncio.sleep(GAP_S)
            fleet.restart(address)
            await put_change(fleet, number + 2, RECOVERY_S)
            await asyncio.sleep(2.0)
            assert sorted(fleet.voters()) == sorted(fleet.processes)

    VirtualFleet(6, monkeypatch, schedulers=1).run(history)


def test_a_stopping_process_does_not_end_while_only_it_and_the_leader_have_an_entry(monkeypatch):
    """The other follower is cut off, so new entries are only on the leader and the stopping process."""

    async def history(fleet):
        await asyncio.sleep(SETTLE_S)
        leader = fleet.leader()
        leaving, cut_off = (address for address in fleet.processes if address != leader)
        fleet.isolate(cut_off)
        await put_change(fleet, 1, RECOVERY_S)
        stopping = asyncio.create_task(fleet.stop(leaving))
        await asyncio.sleep(2.0)
        assert fleet.processes[leaving].up, "it ended with one of two copies"
        fleet.heal()
        await asyncio.sleep(3.0)
        assert stopping.done() and not fleet.processes[leaving].up

    VirtualFleet(8, monkeypatch, schedulers=1).run(history)


def test_a_wiped_process_without_reachable_seeds_is_found_by_the_members_that_know_its_address(monkeypatch):
    async def history(fleet):
        await asyncio.sleep(SETTLE_S)
        fleet.seeds = lambda: ("10.9.9.7", "10.9.9.8", "10.9.9.9")
        await lose_disk(fleet, "10.0.0.2")
        await asyncio.sleep(3.0)
        assert "10.0.0.2" in fleet.voters()

    VirtualFleet(9, monkeypatch, schedulers=1).run(history)
