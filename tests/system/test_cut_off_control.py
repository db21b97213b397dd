"""A control-plane process cut off for twenty seconds by different faults: its responses until after recovery.

It serves no old configuration, acknowledges nothing that a majority has not committed, refuses nothing
permanently, and starts no scheduler with an old state.  Times are in seconds of virtual time.
"""

import asyncio

import pytest
from propagation import cut_from_control, cut_off, fill_disk, freeze, heal, lose_incoming, lose_outgoing
from virtual_fleet import ADDRESSES, Link, VirtualFleet, configuration

from molespur.system.errors import FleetError
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION

CUT_S = 20.0
SETTLE_S = 6.0
LEARNER = "10.0.0.4"
MAX_REFUSAL_S = 0.05  # for a 503 response, once the process can have detected the cut
DETECTED_AFTER_S = 1.5
MAX_RESPONSE_S = 1.0  # for any response


def hang_disk(fleet, address):
    fleet.processes[address].disk_slowness = CUT_S / 0.02


FAULTS = {
    "all": cut_off,
    "core": cut_from_control,
    "outgoing": lose_outgoing,
    "incoming": lose_incoming,
    "frozen": freeze,
    "disk hangs": hang_disk,
    "disk full": fill_disk,
}


class NewestChange:
    """The newest acknowledged change and its base version."""

    def __init__(self):
        self.version = self.base = 0
        self.body = b""

    def record(self, version, base, body):
        self.version, self.base, self.body = version, base, body


async def put_changes(fleet, newest):
    """Put one change after the other, at any process that accepts them."""
    while True:
        version, base = newest.version + 1, newest.version
        response = await fleet.put(version, base, f"m{version}")
        if response is not None and response[0] == 200:
            newest.record(version, base, configuration(version, f"m{version}"))
        else:
            assert response is None, f"a valid change was refused: {response}"
        await asyncio.sleep(0.3)


class Prober:
    """Operators, workers and schedulers that send requests to the process that is cut off."""

    def __init__(self, fleet, address, newest):
        self.fleet, self.address, self.newest = fleet, address, newest
        self.cut_at, self.healed_at = float("inf"), float("inf")
        self.statuses = {}  # status -> number of responses during the cut
        self.sequence = 0
        self.started = []  # (newest version at the request, version that the scheduler received)

    async def run(self):
        while True:
            await self.read_configuration()
            await self.repeat_change()
            await self.register_worker()
            self.start_scheduler()
            await asyncio.sleep(0.25)

    async def _call(self, method, path, body=b"", headers=None):
        began = self.fleet.loop.time()
        response = await self.fleet.call(method, path, body, headers or {}, self.address)
        took = self.fleet.loop.time() - began
        if response is not None:
            assert took <= MAX_RESPONSE_S
            if self.cut_at + DETECTED_AFTER_S < began < self.healed_at:
                self.statuses[response[0]] = self.statuses.get(response[0], 0) + 1
                if response[0] == 503:
                    assert took <= MAX_REFUSAL_S, f"{method} {path} took {took} s"
        return response

    async def read_configuration(self):
        version = self.newest.version
        response = await self._call("GET", "/api/config")
        if response is not None and response[0] != 307:
            assert response[0] in (200, 503) or version == 0, response
            if response[0] == 200:
                assert self.fleet.checker.version_of[response[1]] >= version, (
                    "an old configuration was served"
                )

    async def repeat_change(self):
        """Put the newest change again: it was accepted, so no process may refuse it."""
        if self.newest.version:
            headers = {"If-Match": str(self.newest.base)}
            response = await self._call("PUT", "/api/config", self.newest.body, headers)
            assert response is None or response[0] in (200, 307, 503), response

    async def register_worker(self):
        """Register a worker and drain it; the last call is repeated, as after a lost response."""
        self.sequence += 1
        name = f"p{self.sequence}"
        for state, number in (("ready", 1), ("draining", 2), ("draining", 2)):
            if await self._beat(name, state, number) and state == "draining":
                self.fleet.checker.draining.add(f"w-{name}")

    async def _beat(self, name, state, number):
        body = (
            f'{{"Service":"s","Address":"10.2.1.{name}:1","Zone":"a","State":"{state}","Sequence":{number}}}'
        )
        response = await self._call("PUT", f"/api/instances/w-{name}", body.encode())
        return response is not None and response[0] == 200

    def start_scheduler(self):
        """Let a scheduler without any state subscribe to the feed of this process."""
        process = self.fleet.processes[self.address]
        newest_at_request = self.newest.version
        received = []

        def receive(frame):
            update = frame.update
            if frame.HasField("update") and update.group == CONFIGURATION and not received:
                received.append(pb.ConfigurationState.FromString(update.payload).version)
                self.started.append((newest_at_request, received[0]))

        link = Link(self.fleet, self.address, "edge-probe", receive)
        frame = pb.Frame(subscribe=pb.Subscribe(node=f"probe-{self.sequence}"))
        process.when_awake(process.plane._handle_frame, link, frame)


def process_with_role(fleet, role):
    if role == "learner":
        return LEARNER
    leader = fleet.leader()
    return leader if role == "leader" else next(a for a in ADDRESSES if a != leader)


@pytest.mark.parametrize("role", ["leader", "follower", "learner"])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_process_that_is_cut_off_serves_no_old_state_and_acknowledges_nothing(fault, role, monkeypatch):
    async def history(fleet):
        await asyncio.sleep(SETTLE_S)
        address, newest = process_with_role(fleet, role), NewestChange()
        prober = Prober(fleet, address, newest)
        tasks = [asyncio.create_task(task) for task in (put_changes(fleet, newest), prober.run())]
        await asyncio.sleep(3.0)
        prober.cut_at = fleet.loop.time()
        FAULTS[fault](fleet, address)
        await asyncio.sleep(CUT_S)
        before = newest.version
        assert before > 10, "the other processes must continue"
        prober.healed_at = fleet.loop.time()
        heal(fleet, address)
        await asyncio.sleep(SETTLE_S)
        for task in tasks:
            assert not task.done(), task.exception()
            task.cancel()
        await asyncio.sleep(0.5)
        assert all(version >= requested for requested, version in prober.started), prober.started
        assert any(requested >= before for requested, _ in prober.started), "it must start schedulers again"
        assert newest.version > before
        response = await fleet.request("GET", "/api/config", tries=40)
        fleet.checker.check(response[1])
        own = fleet.processes[address].plane.host.groups[CONFIGURATION].state_machine
        assert own.version >= newest.version
        if fault in ("all", "core", "outgoing", "incoming"):
            assert set(prober.statuses) <= {503, 307} and prober.statuses, prober.statuses

    VirtualFleet(4, monkeypatch, schedulers=1, spares=(LEARNER,)).run(history)


def test_a_leader_that_is_cut_off_stops_its_duties_until_it_has_contact_again(monkeypatch):
    """It declares no worker silent and accepts no proposal, both before and after it steps down."""

    async def history(fleet):
        await asyncio.sleep(SETTLE_S)
        for number in range(4):
            await fleet.send_heartbeat(number, "ready", 1)
        leaders = {name: fleet.leader(name) for name in fleet.processes[ADDRESSES[0]].plane.host.groups}
        for leader in set(leaders.values()):
            fleet.isolate(leader)
            host = fleet.processes[leader].plane.host
            led = [name for name, address in leaders.items() if address == leader]
            logs = {name: host.groups[name].replica.log.last_index for name in led}
            await asyncio.sleep(0.75)
            assert not any(host.has_quorum_contact(name) for name in led)
            for name in led:
                requested_at = fleet.loop.time()
                with pytest.raises(FleetError):
                    await host.propose(name, b"")
                assert fleet.loop.time() == requested_at, "the proposal must be refused at once"
            await asyncio.sleep(CUT_S)
            assert logs == {name: host.groups[name].replica.log.last_index for name in led}
            fleet.heal()
            await asyncio.sleep(SETTLE_S)

    VirtualFleet(2, monkeypatch, schedulers=1).run(history)


def test_the_control_plane_reads_only_the_steady_clock():
    """A step of the time of day thus has no effect; the safety of the control plane depends on no clock."""
    import ast
    from pathlib import Path

    import molespur.system as package

    root = Path(package.__file__).parent
    folders = ("consensus", "control_plane", "feed", "membership", "shards", "storage", "workers", "rpc")
    wall_clock = {"time", "time_ns", "now", "utcnow", "today"}
    for path in (path for folder in folders for path in (root / folder).glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
                reads_wall_clock = node.value.id in ("time", "datetime", "date") and node.attr in wall_clock
                assert not reads_wall_clock, f"{path.name}:{node.lineno}"
