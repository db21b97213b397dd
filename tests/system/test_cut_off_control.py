"""A control machine cut off for twenty seconds, in every way: what it says meanwhile, and afterwards.

It serves no old configuration, confirms nothing that a majority has not, refuses nothing for good, and starts
no scheduler on old state.  Times are seconds of virtual time.
"""

import asyncio

import pytest
from propagation import cut_from_control, cut_off, fill_disk, freeze, heal, not_heard, not_hearing
from virtual_fleet import ADDRESSES, Link, VirtualFleet, configuration

from molespur.system.errors import FleetError
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION

CUT_S = 20.0
SETTLED_S = 6.0
LEARNER = "10.0.0.4"
AT_ONCE_S = 0.05  # for an answer, once the cut can be known
KNOWN_AFTER_S = 1.5
LONGEST_S = 1.0  # for any answer


def hang_disk(fleet, address):
    fleet.processes[address].disk_slowness = CUT_S / 0.02


WAYS = {
    "all": cut_off,
    "core": cut_from_control,
    "outgoing": not_heard,
    "incoming": not_hearing,
    "frozen": freeze,
    "disk hangs": hang_disk,
    "disk full": fill_disk,
}


class Newest:
    """The newest change that was acknowledged, and the base that it was built on."""

    def __init__(self):
        self.version = self.base = 0
        self.body = b""

    def taken(self, version, base, body):
        self.version, self.base, self.body = version, base, body


async def operator(fleet, newest):
    """Changes one after the other, at whichever process takes them."""
    while True:
        version, base = newest.version + 1, newest.version
        answer = await fleet.put(version, base, f"m{version}")
        if answer is not None and answer[0] == 200:
            newest.taken(version, base, configuration(version, f"m{version}"))
        else:
            assert answer is None, f"a proper change was refused: {answer}"
        await asyncio.sleep(0.3)


class Prober:
    """Operators, workers and schedulers that reach the machine which is cut off."""

    def __init__(self, fleet, address, newest):
        self.fleet, self.address, self.newest = fleet, address, newest
        self.cut_at, self.healed_at = float("inf"), float("inf")
        self.said = {}  # status -> how often, during the cut
        self.sequence = 0
        self.started = []  # (newest version when it asked, version that it was started with)

    async def run(self):
        while True:
            await self.read()
            await self.repeat()
            await self.worker()
            self.scheduler()
            await asyncio.sleep(0.25)

    async def _call(self, method, path, body=b"", headers=None):
        began = self.fleet.loop.time()
        answer = await self.fleet.call(method, path, body, headers or {}, self.address)
        took = self.fleet.loop.time() - began
        if answer is not None:
            assert took <= LONGEST_S
            if self.cut_at + KNOWN_AFTER_S < began < self.healed_at:
                self.said[answer[0]] = self.said.get(answer[0], 0) + 1
                if answer[0] == 503:
                    assert took <= AT_ONCE_S, f"{method} {path} took {took} s"
        return answer

    async def read(self):
        version = self.newest.version
        answer = await self._call("GET", "/api/config")
        if answer is not None and answer[0] != 307:
            assert answer[0] in (200, 503) or version == 0, answer
            if answer[0] == 200:
                assert self.fleet.checker.version_of[answer[1]] >= version, "an old configuration was served"

    async def repeat(self):
        """The newest change once more: it was taken, so no process may refuse it."""
        if self.newest.version:
            headers = {"If-Match": str(self.newest.base)}
            answer = await self._call("PUT", "/api/config", self.newest.body, headers)
            assert answer is None or answer[0] in (200, 307, 503), answer

    async def worker(self):
        """A worker that reports here and leaves; each call twice, as after a lost answer."""
        self.sequence += 1
        name = f"p{self.sequence}"
        for state, number in (("ready", 1), ("draining", 2), ("draining", 2)):
            if await self._beat(name, state, number) and state == "draining":
                self.fleet.checker.draining.add(f"w-{name}")

    async def _beat(self, name, state, number):
        body = (
            f'{{"Service":"s","Address":"10.2.1.{name}:1","Zone":"a","State":"{state}","Sequence":{number}}}'
        )
        answer = await self._call("PUT", f"/api/instances/w-{name}", body.encode())
        return answer is not None and answer[0] == 200

    def scheduler(self):
        """A scheduler that has nothing yet asks this process for its first state."""
        process = self.fleet.processes[self.address]
        asked = self.newest.version
        seen = []

        def told(frame):
            update = frame.update
            if frame.HasField("update") and update.group == CONFIGURATION and not seen:
                seen.append(pb.ConfigurationState.FromString(update.payload).version)
                self.started.append((asked, seen[0]))

        back = Link(self.fleet, self.address, "edge-probe", told)
        frame = pb.Frame(subscribe=pb.Subscribe(node=f"probe-{self.sequence}"))
        process.when_awake(process.plane._frame, back, frame)


def chosen(fleet, role):
    if role == "learner":
        return LEARNER
    leader = fleet.leader()
    return leader if role == "leader" else next(a for a in ADDRESSES if a != leader)


@pytest.mark.parametrize("role", ["leader", "follower", "learner"])
@pytest.mark.parametrize("way", WAYS)
def test_a_machine_that_is_cut_off_says_nothing_old_and_nothing_of_its_own(way, role, monkeypatch):
    async def history(fleet):
        await asyncio.sleep(SETTLED_S)
        address, newest = chosen(fleet, role), Newest()
        prober = Prober(fleet, address, newest)
        parts = [asyncio.create_task(part) for part in (operator(fleet, newest), prober.run())]
        await asyncio.sleep(3.0)
        prober.cut_at = fleet.loop.time()
        WAYS[way](fleet, address)
        await asyncio.sleep(CUT_S)
        before = newest.version
        assert before > 10, "the others went on"
        prober.healed_at = fleet.loop.time()
        heal(fleet, address)
        await asyncio.sleep(SETTLED_S)
        for part in parts:
            assert not part.done(), part.exception()
            part.cancel()
        await asyncio.sleep(0.5)
        assert all(version >= asked for asked, version in prober.started), prober.started
        assert any(asked >= before for asked, _ in prober.started), "it starts schedulers again"
        assert newest.version > before
        answer = await fleet.ask("GET", "/api/config", tries=40)
        fleet.checker.check(answer[1])
        own = fleet.processes[address].plane.host.groups[CONFIGURATION].state_machine
        assert own.version >= newest.version
        if way in ("all", "core", "outgoing", "incoming"):
            assert set(prober.said) <= {503, 307} and prober.said, prober.said

    VirtualFleet(4, monkeypatch, schedulers=1, spares=(LEARNER,)).run(history)


def test_a_leader_that_is_cut_off_gives_its_duties_up_until_it_is_in_touch(monkeypatch):
    """It judges no worker silent, and takes no proposal, before it steps down and after."""

    async def history(fleet):
        await asyncio.sleep(SETTLED_S)
        for number in range(4):
            await fleet.beat(number, "ready", 1)
        leaders = {name: fleet.leader(name) for name in fleet.processes[ADDRESSES[0]].plane.host.groups}
        for leader in set(leaders.values()):
            fleet.isolate(leader)
            host = fleet.processes[leader].plane.host
            led = [name for name, address in leaders.items() if address == leader]
            logs = {name: host.groups[name].replica.log.last_index for name in led}
            await asyncio.sleep(0.75)
            assert not any(host.has_quorum_contact(name) for name in led)
            for name in led:
                asked = fleet.loop.time()
                with pytest.raises(FleetError):
                    await host.propose(name, b"")
                assert fleet.loop.time() == asked, "nobody waits for what can't be committed"
            await asyncio.sleep(CUT_S)
            assert logs == {name: host.groups[name].replica.log.last_index for name in led}
            fleet.heal()
            await asyncio.sleep(SETTLED_S)

    VirtualFleet(2, monkeypatch, schedulers=1).run(history)


def test_no_clock_but_the_steady_one_is_read_by_the_control_plane():
    """So a step of the time of day changes nothing: the safety of control rests on no clock at all."""
    import ast
    from pathlib import Path

    import molespur.system as package

    root = Path(package.__file__).parent
    folders = ("consensus", "control_plane", "feed", "membership", "shards", "storage", "workers", "rpc")
    wall = {"time", "time_ns", "now", "utcnow", "today"}
    for path in (path for folder in folders for path in (root / folder).glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
                read = node.value.id in ("time", "datetime", "date") and node.attr in wall
                assert not read, f"{path.name}:{node.lineno}"
