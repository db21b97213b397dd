"""Random histories of a complete control plane under faults: what was acknowledged is never lost."""

import asyncio
from collections import Counter
from contextlib import suppress

import pytest
from virtual_fleet import Checker, Disk, VirtualFleet, configuration

HISTORY_S = 60.0  # of virtual time
FAULT_DURATION_S = (0.3, 4.0)  # min., max.
RECOVERY_S = 6.0  # between two faults
SPARES = tuple(f"10.0.2.{number}" for number in range(1, 40))


async def operators(fleet, until):
    """Successive changes, sometimes two concurrent ones based on one version."""
    version, number = 0, 0
    while fleet.loop.time() < until:
        number += 1
        step = fleet.random.randint(1, 3)
        marks = [f"m{number}a", f"m{number}b"][: 1 + (fleet.random.random() < 0.3)]
        changes = [(version + step + extra, mark) for extra, mark in enumerate(marks)]
        responses = await asyncio.gather(*(fleet.put(number, version, mark) for number, mark in changes))
        accepted = [n for (n, _), reply in zip(changes, responses, strict=True) if reply and reply[0] == 200]
        if accepted:
            version = accepted[0]
        else:
            read = await fleet.request("GET", "/api/config")
            if read is not None and read[0] == 200:
                version = fleet.checker.version_of[read[1]]
        await asyncio.sleep(fleet.random.random())


async def workers(fleet, until):
    """Workers that register, send heartbeats and leave; each has its own address."""
    number = 0
    while fleet.loop.time() < until:
        number += 1
        for sequence in (1, 2):
            await fleet.send_heartbeat(number, "ready", sequence)
        await fleet.send_heartbeat(number, "draining", 3)
        await fleet.send_heartbeat(number, "ready", 2)  # a delayed heartbeat
        await asyncio.sleep(fleet.random.random())


class FaultInjector:
    """Injects one fault at a time, or a power loss of all processes; counts the kinds."""

    def __init__(self, fleet, due):
        self.fleet, self.random, self.counts = fleet, fleet.random, Counter()
        self.spares, self.due = list(SPARES), due

    async def run(self, until):
        """Inject faults until a time, each followed by the recovery time that the guarantees assume."""
        while self.fleet.loop.time() < until:
            if not self.due:
                self.due.extend(self.random.sample(KINDS, len(KINDS)))
            await asyncio.sleep(0.5 + 2.0 * self.random.random())
            kind, address = self.due.pop(), self.random.choice(self._up())
            self.counts[kind] += 1
            await getattr(self, f"_inject_{kind}")(address)
            await asyncio.sleep(RECOVERY_S)

    def _up(self):
        return [address for address, process in self.fleet.processes.items() if process.up]

    async def _wait(self):
        """Wait for the duration of a fault."""
        await asyncio.sleep(
            FAULT_DURATION_S[0] + (FAULT_DURATION_S[1] - FAULT_DURATION_S[0]) * self.random.random()
        )

    async def _inject_kill(self, address):
        self.fleet.kill(address)
        await self._wait()
        self.fleet.restart(address)

    async def _inject_wipe(self, address):
        self.fleet.kill(address)
        await self._wait()
        self.fleet.wipe(address)

    async def _inject_cut(self, address):
        self.fleet.isolate(address)
        await self._wait()
        self.fleet.heal()

    async def _inject_one_way(self, address):
        others = [other for other in self._up() if other != address]
        outgoing = self.random.random() < 0.5
        pairs = {(address, other) if outgoing else (other, address) for other in others}
        self.fleet.one_way |= pairs
        await self._wait()
        self.fleet.heal()

    async def _inject_halves(self, _address):
        up = self._up()
        self.fleet.partition(self.random.sample(up, len(up) // 2))
        await self._wait()
        self.fleet.heal()

    async def _inject_slow_disk(self, address):
        process = self.fleet.processes[address]
        process.disk_slowness = 100.0
        await self._wait()
        process.disk_slowness = 1.0

    async def _inject_full_disk(self, address):
        process = self.fleet.processes[address]
        process.disk_full = True
        await self._wait()
        process.disk_full = False

    async def _inject_freeze(self, address):
        process = self.fleet.processes[address]
        process.freeze()
        await self._wait()
        process.thaw()

    async def _inject_late_snapshot(self, address):
        """A process needs a snapshot, whose pieces arrive late; meanwhile the leader is lost."""
        self.fleet.kill(address)
        await asyncio.sleep(4.0)
        self.fleet.late_snapshot_senders = set(self._up())
        self.fleet.restart(address)
        await asyncio.sleep(0.3)
        leader = self.fleet.leader()
        if leader not in (None, address):
            self.fleet.kill(leader)
            await self._wait()
            self.fleet.restart(leader)
        self.fleet.late_snapshot_senders.clear()

    async def _inject_planned_replacement(self, address):
        spare = self.spares.pop()
        self.fleet.start(spare, Disk())
        await asyncio.sleep(self.random.random() * 2.0)
        await self.fleet.stop(address)
        self.fleet.remove(address)

    async def _inject_unplanned_replacement(self, address):
        self.fleet.kill(address)
        await asyncio.sleep(self.random.random() * 2.0)
        self.fleet.start(self.spares.pop(), Disk())
        await asyncio.sleep(0.1)
        self.fleet.remove(address)

    async def _inject_restart(self, address):
        await self.fleet.stop(address)
        await asyncio.sleep(0.5)
        self.fleet.restart(address)

    async def _inject_all_without_power(self, _address):
        up = self._up()
        for other in up:
            self.fleet.kill(other)
        await self._wait()
        for other in up:
            self.fleet.restart(other)

    async def _inject_disk_lost_after_acknowledgement(self, address):
        """At an acknowledgement all processes lose power, and one its disk."""
        self.fleet.acknowledged.clear()
        with suppress(TimeoutError):
            await asyncio.wait_for(self.fleet.acknowledged.wait(), 5.0)
        await self._all_without_power_one_wiped(address)

    async def _inject_one_behind(self, address):
        """One process misses changes, then all lose power, and another one its disk."""
        self.fleet.isolate(address)
        await self._wait()
        wiped = next(other for other in self._up() if other != address)
        await self._all_without_power_one_wiped(wiped)
        self.fleet.heal()

    async def _all_without_power_one_wiped(self, wiped):
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
    """Run one history; return the number of faults by kind.  `due`: the kinds to inject next, last first."""
    counts = Counter()

    async def history(fleet):
        await asyncio.sleep(5.0)
        injector = FaultInjector(fleet, due)
        until = fleet.loop.time() + HISTORY_S
        await asyncio.gather(operators(fleet, until), workers(fleet, until), injector.run(until))
        await fleet.settle()
        read = await fleet.request("GET", "/api/config", tries=40)
        assert read is not None and read[0] == 200
        fleet.checker.check(read[1])
        assert len(fleet.checker.acknowledged) >= 5 and len(fleet.checker.draining) >= 5
        counts.update(injector.counts)

    spares = ("10.0.0.4", "10.0.0.5", "10.0.0.6") if tolerance == 2 else ()
    VirtualFleet(seed, monkeypatch, tolerance=tolerance, spares=spares).run(history)
    return counts


KINDS = [name.removeprefix("_inject_") for name in dir(FaultInjector) if name.startswith("_inject_")]


@pytest.mark.parametrize("batch", range(4))
def test_what_was_acknowledged_survives_every_kind_of_fault(batch, monkeypatch):
    """Each batch of histories must inject each kind of fault at least once."""
    counts, due = Counter(), []
    for seed in range(batch, 16, 4):
        counts.update(play(seed, monkeypatch, due))
    print(dict(counts))
    assert not [kind for kind in KINDS if not counts[kind]], counts


def test_what_was_acknowledged_survives_faults_of_five_voters_with_a_learner(monkeypatch):
    counts, due = Counter(), []
    for seed in range(3):
        counts.update(play(100 + seed, monkeypatch, due, tolerance=2))
    assert not [kind for kind in KINDS if not counts[kind]], counts


# -- The checker itself ----------------------------------------------------------------------------


def acknowledged(*changes):
    checker = Checker()
    for version, base, mark in changes:
        body = configuration(version, mark)
        checker.record_sent(version, base, body)
        checker.record_response(body, 200)
    return checker


def test_the_checker_finds_conflicting_changes_lost_changes_and_refused_ones():
    with pytest.raises(AssertionError, match="two changes on one version"):
        acknowledged((1, 0, "a"), (2, 0, "b")).check(configuration(2, "b"))
    with pytest.raises(AssertionError, match="2 was acknowledged, 1 was read back"):
        acknowledged((1, 0, "a"), (2, 1, "b")).check(configuration(1, "a"))
    checker = acknowledged((1, 0, "a"))
    checker.record_response(configuration(1, "a"), 412)
    with pytest.raises(AssertionError, match="acknowledged and refused"):
        checker.check(configuration(1, "a"))


def test_the_checker_finds_older_configurations_and_returning_workers_at_a_scheduler():
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
