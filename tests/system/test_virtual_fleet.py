"""Random histories of a whole control plane: what was acknowledged holds, whatever is lost, one at a time."""

import asyncio
from contextlib import suppress

import pytest
from virtual_fleet import ADDRESSES, Checker, VirtualFleet, configuration

FAULTS = ("kill", "wipe", "cut", "slow", "all", "behind", "acknowledged", "acknowledged")
FAULT_S = (0.3, 4.0)


async def operators(fleet, until):
    """Changes one after the other, now and then two at once on one version."""
    version, number = 0, 0
    while fleet.loop.time() < until:
        number += 1
        step = fleet.random.randint(1, 3)
        marks = [f"m{number}a", f"m{number}b"][: 1 + (fleet.random.random() < 0.3)]
        changes = [(version + step + extra, mark) for extra, mark in enumerate(marks)]
        answers = await asyncio.gather(*(fleet.put(number, version, mark) for number, mark in changes))
        taken = [n for (n, _), answer in zip(changes, answers, strict=True) if answer and answer[0] == 200]
        if taken:
            version = taken[0]
        else:
            read = await fleet.ask("GET", "/api/config")
            if read is not None and read[0] == 200:
                version = fleet.checker.version_of[read[1]]
        await asyncio.sleep(fleet.random.random())


async def workers(fleet, until):
    """Workers come, beat, and leave; each has its address."""
    number = 0
    while fleet.loop.time() < until:
        number += 1
        for sequence in (1, 2):
            await fleet.beat(number, "ready", sequence)
        await fleet.beat(number, "draining", 3)
        await fleet.beat(number, "ready", 2)  # a call that was held up on its way
        await asyncio.sleep(fleet.random.random())


async def trouble(fleet, until):
    """One loss at a time, or all processes at once with their disks kept."""
    while fleet.loop.time() < until:
        await asyncio.sleep(0.5 + 2.0 * fleet.random.random())
        await one_fault(fleet, fleet.random.choice(FAULTS), fleet.random.choice(ADDRESSES))
        await asyncio.sleep(6.0)


async def one_fault(fleet, kind, address):
    length = FAULT_S[0] + (FAULT_S[1] - FAULT_S[0]) * fleet.random.random()
    process = fleet.processes[address]
    match kind:
        case "kill":
            fleet.kill(address)
            await asyncio.sleep(length)
            fleet.restart(address)
        case "wipe":
            fleet.kill(address)
            await asyncio.sleep(length)
            fleet.wipe(address)
        case "cut":
            fleet.isolate(address)
            await asyncio.sleep(length)
            fleet.heal()
        case "slow":
            process.disk_slowness = 100.0
            await asyncio.sleep(length)
            process.disk_slowness = 1.0
        case "all":
            for other in ADDRESSES:
                fleet.kill(other)
            await asyncio.sleep(length)
            for other in ADDRESSES:
                fleet.restart(other)
        case "acknowledged":  # power goes at the moment of an acknowledgement, and a disk with it
            fleet.acknowledged.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(fleet.acknowledged.wait(), 5.0)
            for other in ADDRESSES:
                fleet.kill(other)
            await asyncio.sleep(length)
            for other in ADDRESSES:
                if other == address:
                    fleet.wipe(other)
                else:
                    fleet.restart(other)
        case "behind":  # one misses changes, then another loses its disk while all are without power
            fleet.isolate(address)
            await asyncio.sleep(length)
            lost = next(other for other in ADDRESSES if other != address)
            for other in ADDRESSES:
                fleet.kill(other)
            await asyncio.sleep(0.5)
            fleet.heal()
            for other in ADDRESSES:
                if other == lost:
                    fleet.wipe(other)
                else:
                    fleet.restart(other)


@pytest.mark.parametrize("seed", range(12))
def test_whatever_is_lost_what_was_acknowledged_holds(seed, monkeypatch):
    async def history(fleet):
        await asyncio.sleep(3.0)
        until = fleet.loop.time() + 40.0
        await asyncio.gather(*(part(fleet, until) for part in (operators, workers, trouble)))
        await fleet.settle()
        read = await fleet.ask("GET", "/api/config")
        assert read is not None and read[0] == 200
        fleet.checker.check(read[1])
        assert len(fleet.checker.acknowledged) >= 5 and len(fleet.checker.draining) >= 5

    VirtualFleet(seed, monkeypatch).run(history)


# -- The checker itself ----------------------------------------------------------------------------


def acknowledged(*changes):
    checker = Checker()
    for version, base, mark in changes:
        body = configuration(version, mark)
        checker.sent(version, base, body)
        checker.answered(body, 200)
    return checker


def test_the_checker_finds_two_winners_losses_and_refusals_in_force():
    with pytest.raises(AssertionError, match="two changes on one version"):
        acknowledged((1, 0, "a"), (2, 0, "b")).check(configuration(2, "b"))
    with pytest.raises(AssertionError, match="2 was acknowledged, 1 was read back"):
        acknowledged((1, 0, "a"), (2, 1, "b")).check(configuration(1, "a"))
    checker = acknowledged((1, 0, "a"))
    checker.answered(configuration(1, "a"), 412)
    with pytest.raises(AssertionError, match="acknowledged and refused"):
        checker.check(configuration(1, "a"))


def test_the_checker_finds_a_scheduler_that_goes_back_and_a_worker_that_does():
    from molespur.system.rpc import molespur_pb2 as pb
    from molespur.system.shards.placement import CONFIGURATION, WORKER_GROUPS

    update = Checker().follower("edge")
    update(CONFIGURATION, True, pb.ConfigurationState(version=2, body=b"x").SerializeToString())
    with pytest.raises(AssertionError, match="went back"):
        update(CONFIGURATION, True, pb.ConfigurationState(version=1, body=b"y").SerializeToString())
    leaving = pb.WorkerSet(workers=[pb.Worker(id="w", state=pb.DRAINING)]).SerializeToString()
    back = pb.WorkerSet(workers=[pb.Worker(id="w", state=pb.READY)]).SerializeToString()
    update(WORKER_GROUPS[0], False, leaving)
    with pytest.raises(AssertionError, match="came back"):
        update(WORKER_GROUPS[0], False, back)
