"""Random histories of a whole control plane: what was acknowledged holds, whatever is lost, one at a time."""

import asyncio
from collections import Counter
from contextlib import suppress

import pytest
from virtual_fleet import Checker, Disk, VirtualFleet, configuration

LENGTH_S = 60.0  # of virtual time
FAULT_S = (0.3, 4.0)
CALM_S = 6.0
SPARES = tuple(f"10.0.2.{number}" for number in range(1, 40))


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
            read = await fleet.request("GET", "/api/config")
            if read is not None and read[0] == 200:
                version = fleet.checker.version_of[read[1]]
        await asyncio.sleep(fleet.random.random())


async def workers(fleet, until):
    """Workers come, beat, and leave; each has its address."""
    number = 0
    while fleet.loop.time() < until:
        number += 1
        for sequence in (1, 2):
            await fleet.send_heartbeat(number, "ready", sequence)
        await fleet.send_heartbeat(number, "draining", 3)
        await fleet.send_heartbeat(number, "ready", 2)  # a call that was held up on its way
        await asyncio.sleep(fleet.random.random())


class Trouble:
    """Losses one at a time, or of all at once with their disks kept; counts what came."""

    def __init__(self, fleet, due):
        self.fleet, self.random, self.met = fleet, fleet.random, Counter()
        self.spares, self.due = list(SPARES), due

    async def run(self, until):
        """Strike until a time, with a calm after each that the bounds ask for."""
        while self.fleet.loop.time() < until:
            if not self.due:
                self.due.extend(self.random.sample(KINDS, len(KINDS)))
            await asyncio.sleep(0.5 + 2.0 * self.random.random())
            kind, address = self.due.pop(), self.random.choice(self._up())
            self.met[kind] += 1
            await getattr(self, f"_strike_{kind}")(address)
            await asyncio.sleep(CALM_S)

    def _up(self):
        return [address for address, process in self.fleet.processes.items() if process.up]

    async def _pass(self):
        await asyncio.sleep(FAULT_S[0] + (FAULT_S[1] - FAULT_S[0]) * self.random.random())

    async def _strike_kill(self, address):
        self.fleet.kill(address)
        await self._pass()
        self.fleet.restart(address)

    async def _strike_wipe(self, address):
        self.fleet.kill(address)
        await self._pass()
        self.fleet.wipe(address)

    async def _strike_cut(self, address):
        self.fleet.isolate(address)
        await self._pass()
        self.fleet.heal()

    async def _strike_one_way(self, address):
        others = [other for other in self._up() if other != address]
        outgoing = self.random.random() < 0.5
        pairs = {(address, other) if outgoing else (other, address) for other in others}
        self.fleet.one_way |= pairs
        await self._pass()
        self.fleet.heal()

    async def _strike_halves(self, _address):
        up = self._up()
        self.fleet.halve(self.random.sample(up, len(up) // 2))
        await self._pass()
        self.fleet.heal()

    async def _strike_slow_disk(self, address):
        process = self.fleet.processes[address]
        process.disk_slowness = 100.0
        await self._pass()
        process.disk_slowness = 1.0

    async def _strike_full_disk(self, address):
        process = self.fleet.processes[address]
        process.disk_full = True
        await self._pass()
        process.disk_full = False

    async def _strike_freeze(self, address):
        process = self.fleet.processes[address]
        process.freeze()
        await self._pass()
        process.thaw()

    async def _strike_late_snapshot(self, address):
        """One misses enough changes for a snapshot, and its pieces come late; then the leader is lost."""
        self.fleet.kill(address)
        await asyncio.sleep(4.0)
        self.fleet.late_snapshot_senders = set(self._up())
        self.fleet.restart(address)
        await asyncio.sleep(0.3)
        leader = self.fleet.leader()
        if leader not in (None, address):
            self.fleet.kill(leader)
            await self._pass()
            self.fleet.restart(leader)
        self.fleet.late_snapshot_senders.clear()

    async def _strike_planned_replacement(self, address):
        spare = self.spares.pop()
        self.fleet.start(spare, Disk())
        await asyncio.sleep(self.random.random() * 2.0)
        await self.fleet.stop(address)
        self.fleet.remove(address)

    async def _strike_unplanned_replacement(self, address):
        self.fleet.kill(address)
        await asyncio.sleep(self.random.random() * 2.0)
        self.fleet.start(self.spares.pop(), Disk())
        await asyncio.sleep(0.1)
        self.fleet.remove(address)

    async def _strike_restart(self, address):
        await self.fleet.stop(address)
        await asyncio.sleep(0.5)
        self.fleet.restart(address)

    async def _strike_all_without_power(self, _address):
        up = self._up()
        for other in up:
            self.fleet.kill(other)
        await self._pass()
        for other in up:
            self.fleet.restart(other)

    async def _strike_disk_lost_after_acknowledgement(self, address):
        """Power goes at the moment of an acknowledgement, and a disk with it."""
        self.fleet.acknowledged.clear()
        with suppress(TimeoutError):
            await asyncio.wait_for(self.fleet.acknowledged.wait(), 5.0)
        await self._all_dark_one_wiped(address)

    async def _strike_one_behind(self, address):
        """One misses changes, then another loses its disk while all are without power."""
        self.fleet.isolate(address)
        await self._pass()
        wiped = next(other for other in self._up() if other != address)
        await self._all_dark_one_wiped(wiped)
        self.fleet.heal()

    async def _all_dark_one_wiped(self, wiped):
        up = self._up()
        for other in up:
            self.fleet.kill(other)
        await asyncio.sleep(0.5)
        self.fleet.heal()
        for other in up:
            if other == wiped:
                self.fleet.wipe(other)
            else:
                self.fleet.restart(other)


def play(seed, monkeypatch, due, tolerance=1):
    """One history; returns how often each kind of trouble came.  `due`: kinds that come next, last first."""
    met = Counter()

    async def history(fleet):
        await asyncio.sleep(5.0)
        trouble = Trouble(fleet, due)
        until = fleet.loop.time() + LENGTH_S
        await asyncio.gather(operators(fleet, until), workers(fleet, until), trouble.run(until))
        await fleet.settle()
        read = await fleet.request("GET", "/api/config", tries=40)
        assert read is not None and read[0] == 200
        fleet.checker.check(read[1])
        assert len(fleet.checker.acknowledged) >= 5 and len(fleet.checker.draining) >= 5
        met.update(trouble.met)

    spares = ("10.0.0.4", "10.0.0.5", "10.0.0.6") if tolerance == 2 else ()
    VirtualFleet(seed, monkeypatch, tolerance=tolerance, spares=spares).run(history)
    return met


KINDS = [name.removeprefix("_strike_") for name in dir(Trouble) if name.startswith("_strike_")]


@pytest.mark.parametrize("part", range(4))
def test_whatever_is_lost_what_was_acknowledged_holds(part, monkeypatch):
    """Each kind of trouble comes in each part of the histories: a part that lacks one fails."""
    met, due = Counter(), []
    for seed in range(part, 16, 4):
        met.update(play(seed, monkeypatch, due))
    print(dict(met))
    assert not [kind for kind in KINDS if not met[kind]], met


def test_whatever_is_lost_of_five_voters_with_a_learner(monkeypatch):
    met, due = Counter(), []
    for seed in range(3):
        met.update(play(100 + seed, monkeypatch, due, tolerance=2))
    assert not [kind for kind in KINDS if not met[kind]], met


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
