"""A whole control plane in one test: real roles on a virtual clock, network and disks, and a checker.

Every process is a `ControlPlane` as it runs in service, but for its sockets, its disk and its clock.
Schedulers are real followers of the feed.  Everything follows from one seed.
"""

import asyncio
import json
import selectors
from random import Random

from molespur.system.control_plane import role
from molespur.system.control_plane.calls import worker_from_registration
from molespur.system.control_plane.http import create_app
from molespur.system.errors import FleetError
from molespur.system.feed import follower as following
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.settings.process import FaultTolerance, ProcessSettings
from molespur.system.shards import host
from molespur.system.shards.placement import CONFIGURATION
from molespur.system.storage.store import StoredGroup

SYNC_S = 0.02
DISK_RETRY_S = 0.2
RESEND_S = 0.2  # a packet that was lost is sent again after this time, the next time after twice that
STUCK_S = 1.5  # a connection whose bytes are not acknowledged ends after this time
LONGEST_S = 300.0  # of virtual time: a scenario that waits for what never comes fails
LOST_ANSWERS = 0.08  # share of the answers that get lost on their way
ORDER_S = 1e-6  # keeps frames of one connection in order
ADDRESSES = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
HTTP_PORT, RPC_PORT = 80, 7000


class VirtualSelector(selectors.DefaultSelector):
    """Waits for no time: the loop's clock jumps to the next timer."""

    jumped = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "nothing will ever happen"
        self.jumped += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is virtual."""

    def __init__(self):
        super().__init__(VirtualSelector())

    def time(self):
        return self._selector.jumped


class Disk:
    """What a process has synced, in place of `Store`."""

    def __init__(self):
        self.replica_id, self.groups = None, {}

    def identity(self):
        return self.replica_id

    def set_identity(self, replica_id):
        self.replica_id = replica_id

    def load(self, group):
        state, snapshot, entries = self.groups.get(group, (role_states()[0], role_states()[1], {}))
        kept = [entries[index] for index in sorted(entries) if index > snapshot.index]
        return StoredGroup(type(state)(state.term, state.vote), snapshot, kept)

    def write(self, records):
        for group, record in records:
            _, snapshot, entries = self.groups.get(group, (*role_states(), {}))
            entries = dict(entries)
            if record.snapshot is not None:
                snapshot = record.snapshot
                entries = {i: e for i, e in entries.items() if i > snapshot.index}
            if record.truncate_from is not None:
                entries = {i: e for i, e in entries.items() if i < record.truncate_from}
            entries.update({entry.index: entry for entry in record.entries})
            self.groups[group] = (record.hard_state, snapshot, entries)

    def close(self):
        pass


def role_states():
    """A hard state and a snapshot of a disk that holds nothing."""
    from molespur.system.consensus.replica import HardState, Snapshot

    return HardState(), Snapshot()


class Writer:
    """Writes to a disk after a time; what is on its way when power goes is there as a whole or not at all.

    A transaction that is torn on the disk is undone when the database is opened: `test_torn_writes.py`.
    """

    failures = 0

    def __init__(self, fleet, process):
        self.fleet, self.process, self.waiting, self.busy = fleet, process, [], False
        self.on_its_way = []

    def write(self, group, record):
        self.waiting.append((group, record))
        if not self.busy:
            self._begin()

    def _begin(self):
        self.busy = True
        batch, self.waiting = self.waiting, []
        self.on_its_way = batch
        self.fleet.loop.call_later(SYNC_S * self.process.disk_slowness, self._written, batch)

    def _written(self, batch):
        if not self.process.up:
            return
        if self.process.disk_full:
            self.fleet.loop.call_later(DISK_RETRY_S, self._written, batch)
            return
        self.process.disk.write(batch)
        self.on_its_way = []
        self.process.when_awake(self._told, batch)

    def _told(self, batch):
        self.busy = False
        if self.waiting:
            self._begin()
        for group, record in batch:
            self.process.plane.host.handle_written(group, record)

    def power_lost(self):
        """The batch that was being written may have reached the disk, though nobody was told."""
        if self.on_its_way and self.fleet.random.random() < 0.5:
            self.process.disk.write(self.on_its_way)

    def stop(self):
        pass


class Link:
    """One direction of a connection: frames keep their order, and after one is lost none arrives."""

    def __init__(self, fleet, here, there, deliver):
        self.fleet, self.here, self.there, self.deliver = fleet, here, there, deliver
        self.label, self.open, self.arrives_at = there, True, 0.0

    def send(self, frame):
        if not self.open or self.fleet.apart(self.here, self.there):
            self.open = False
            return False
        data = frame.SerializeToString()
        if self.fleet.too_large(self.here, self.there, len(data)):
            self.fleet.loop.call_later(STUCK_S, self.close)
            self.deliver = lambda _frame: None  # nothing behind it arrives either
            return True
        copy = pb.Frame.FromString(data)
        delay = 0.001 + 0.003 * self.fleet.random.random() + self.fleet.lateness(self.here, copy)
        delay += self.fleet.resent(self.here, self.there)
        self.arrives_at = max(self.arrives_at + ORDER_S, self.fleet.loop.time() + delay)
        self.fleet.loop.call_at(self.arrives_at, self._arrive, copy)
        return True

    def _arrive(self, frame):
        if self.fleet.apart(self.here, self.there):
            self.open = False
        if self.open:
            self.deliver(frame)

    def close(self):
        self.open = False


class PeerLink(Link):
    """Frames from one control-plane process to another, which dials again by itself."""

    def __init__(self, fleet, here, there, deliver):
        super().__init__(fleet, here, there, deliver)
        self._deliver = deliver

    def send(self, frame):
        if not self.open:
            self.open, self.deliver = True, self._deliver
        return super().send(frame)

    def peer_alive(self):
        """A link is always open."""


class Process:
    """One control-plane process on its disk."""

    def __init__(self, fleet, address, disk, bootstrap):
        self.fleet, self.address, self.disk, self.up = fleet, address, disk, True
        self.disk_slowness, self.disk_full = 1.0, False
        self.frozen, self._when_thawed = False, []
        self.slow_s, self._free_at = (
            0.0,
            0.0,
        )  # processor time of each thing it is told; until when it is busy
        seeds = tuple(f"{a}:{HTTP_PORT}" for a in (ADDRESSES if bootstrap else fleet.seeds()))
        settings = ProcessSettings(
            f"core-{address}",
            address,
            address,
            (RPC_PORT, RPC_PORT + 10),
            seeds,
            listen={"ControlPlane": f"{address}:{HTTP_PORT}"},
            bootstrap=bootstrap,
            data_directory=address,
            fault_tolerance=FaultTolerance(nodes=fleet.tolerance),
        )
        self.plane = role.ControlPlane(settings)
        self.plane.host.dial = self._dial
        self.writer = Writer(fleet, self)
        self.plane.host.set_writer(self.writer)
        self.client = create_app(self.plane.calls, self.plane.metrics).test_client()
        self._run()

    def _run(self):
        parts = (self.plane.host.run(), self.plane._repeat())
        self.tasks = [self.fleet.loop.create_task(part) for part in parts]

    def freeze(self):
        """The process stands still; what comes meanwhile waits in its sockets."""
        self.frozen = True
        for task in self.tasks:
            task.cancel()

    def thaw(self):
        """It goes on, first with what has come meanwhile: its timers are read after that."""
        self.frozen = False
        waiting, self._when_thawed = self._when_thawed, []
        for call, arguments in waiting:
            if self.up:
                call(*arguments)
        if self.up:
            self._run()

    def when_awake(self, call, *arguments):
        """Call now, or once the process runs again; one at a time where it is slow."""
        if self.slow_s and not self.frozen:
            self._free_at = max(self._free_at, self.fleet.loop.time()) + self.slow_s
            self.fleet.loop.call_at(self._free_at, self._when_free, call, arguments)
        elif self.frozen:
            self._when_thawed.append((call, arguments))
        else:
            call(*arguments)

    def _when_free(self, call, arguments):
        if self.up and not self.frozen:
            call(*arguments)

    def _dial(self, address):
        dialers = self.plane.host.dialers
        host = address.partition(":")[0]
        if host and host != self.address and address not in dialers:
            dialers[address] = PeerLink(
                self.fleet, self.address, host, lambda f: self.fleet.frame(self.address, host, f)
            )

    def end(self):
        self.up = False
        self.writer.power_lost()
        for task in self.tasks:
            task.cancel()


class FollowerDialer:
    """A scheduler's channel to a control-plane process, in place of `Dialer`."""

    def __init__(self, fleet, name, address, on_frame, on_open=None, bind_ip=""):
        self.fleet, self.name, self.address, self.on_frame = fleet, name, address, on_frame
        self.host = address.partition(":")[0]
        self.channel = None
        if not (fleet.apart(name, self.host) or fleet.apart(self.host, name)):
            process = fleet.processes[self.host]
            back = Link(fleet, self.host, name, self._told)
            self.channel = Link(fleet, name, self.host, lambda frame: self._arrived(process, back, frame))
            self.channel.label = address
            if on_open is not None:
                fleet.loop.call_soon(on_open, self.channel)

    @staticmethod
    def _arrived(process, back, frame):
        if process.up:
            process.when_awake(process.plane._frame, back, frame)

    def _told(self, frame):
        if self.channel is not None:
            self.on_frame(self.channel, frame)

    def send(self, frame):
        return self.channel is not None and self.channel.send(frame)

    def stop(self):
        if self.channel is not None:
            self.channel.close()


class VirtualFleet:
    """Processes, schedulers, the network between them, and what everyone was told."""

    def __init__(self, seed, monkeypatch, schedulers=2, tolerance=1, spares=()):
        self.random, self.loop = Random(seed), VirtualLoop()
        self.processes, self.cut, self.checker = {}, set(), Checker()
        self.gone = set()  # addresses of machines that have left for good
        self.one_way, self.late_from = (
            set(),
            set(),
        )  # (from, to) that nothing passes; senders of late snapshots
        self.tolerance, self.spares = (
            tolerance,
            tuple(spares),
        )  # spares: members from the start, beside the seeds
        self.lossy, self.small = {}, {}  # machine -> share of packets lost, largest frame that passes (bytes)
        self.silence_s = 0.0  # how long a caller waits for a process that does not answer
        self._new_disk, self.identities = None, 0
        self.acknowledged = asyncio.Event()  # set with each acknowledgement to the operator
        monkeypatch.setattr(role, "Store", lambda _folder: self._new_disk)
        monkeypatch.setattr(role, "clock", self.clock)
        monkeypatch.setattr(role, "Random", lambda: Random(self.random.random()))
        monkeypatch.setattr(host, "new_identity", self._new_identity)
        self._monkeypatch = monkeypatch
        self.schedulers, self.lost_answers = schedulers, LOST_ANSWERS
        self.followers = []

    def clock(self):
        return self.loop.time() * 1000.0

    def _new_identity(self, address):
        self.identities += 1
        return f"{address}#{self.identities}"

    def run(self, scenario):
        """Run a coroutine function that takes the fleet, started with empty disks."""

        async def whole():
            for address in (*ADDRESSES, *self.spares):
                self.start(address, Disk(), bootstrap=True)
            for number in range(self.schedulers):
                self._follow(f"edge-{number}")
            await asyncio.wait_for(scenario(self), LONGEST_S)
            for process in self.processes.values():
                process.end()

        try:
            asyncio.set_event_loop(self.loop)
            self.loop.run_until_complete(whole())
        finally:
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))
            asyncio.set_event_loop(None)
            self.loop.close()

    # -- Processes and network -----------------------------------------------------------------

    def start(self, address, disk, bootstrap=False):
        self._new_disk = disk
        self.processes[address] = Process(self, address, disk, bootstrap)

    def kill(self, address):
        """The process ends; writes on their way are lost, as with power."""
        self.processes[address].end()

    def seeds(self):
        """Three processes that run, as an operator's list has them; the first ones where fewer do."""
        up = [address for address, process in self.processes.items() if process.up]
        return [*up, *ADDRESSES][: len(ADDRESSES)]

    def restart(self, address):
        self.start(address, self.processes[address].disk)

    def wipe(self, address):
        """It comes back with an empty disk."""
        self.start(address, Disk())

    def apart(self, one, other):
        """Whether nothing passes from one to the other."""
        down = any(end in self.processes and not self.processes[end].up for end in (one, other))
        if one in self.gone or other in self.gone:
            return True
        return down or frozenset((one, other)) in self.cut or (one, other) in self.one_way

    def isolate(self, address, core_only=False):
        """Cut a process off from the others, and from schedulers too unless `core_only`."""
        followers = () if core_only else (name for name, _ in self.followers)
        names = [*self.processes, *followers]
        self.cut |= {frozenset((address, other)) for other in names if other != address}

    def halve(self, half):
        """Cut some processes off from the other processes."""
        rest = set(self.processes) - set(half)
        self.cut |= {frozenset((one, other)) for one in half for other in rest}

    def heal(self):
        self.cut.clear()
        self.lossy.clear()
        self.small.clear()
        self.one_way.clear()
        self.late_from.clear()

    def lateness(self, sender, frame):
        """How much longer a frame takes, s: snapshots of some senders come late."""
        is_snapshot = frame.consensus.HasField("install_snapshot")
        return 1.5 * self.random.random() if is_snapshot and sender in self.late_from else 0.0

    def resent(self, here, there):
        """How much longer packets take that are lost on their way, s: each loss doubles the wait."""
        share, late, wait = max(self.lossy.get(here, 0.0), self.lossy.get(there, 0.0)), 0.0, RESEND_S
        while self.random.random() < share:
            late, wait = late + wait, 2 * wait
        return late

    def too_large(self, here, there, size):
        """Whether a frame is larger than what the links of one of two machines pass."""
        return size > min(self.small.get(here, size), self.small.get(there, size))

    def leader(self, group=CONFIGURATION):
        """Address of the process that leads a group with the newest term; None without one."""
        leading = [
            (process.plane.host.groups[group].replica.hard_state.term, address)
            for address, process in self.processes.items()
            if process.up and not process.frozen and process.plane.host.is_leader(group)
        ]
        return max(leading)[1] if leading else None

    def voters(self, group=CONFIGURATION):
        """Addresses of the voting members, as the leader sees them; of disks that are gone: the identity."""
        leader = self.leader(group)
        if leader is None:
            return []
        replica = self.processes[leader].plane.host.groups[group].replica
        present = {process.plane.host.replica_id: address for address, process in self.processes.items()}
        return [present.get(name, name) for name in replica.voters()]

    def remove(self, address):
        """The machine is gone for good, with its disk."""
        process = self.processes.pop(address)
        if process.up:
            process.end()
        self.gone.add(address)

    async def stop(self, address):
        """SIGTERM: the process passes on what it holds, then ends."""
        process = self.processes[address]
        await process.plane.host.stop()
        if self.processes[address] is process and process.up:
            process.end()

    def frame(self, sender, receiver, frame):
        process = self.processes.get(receiver)
        if process is not None and process.up:
            process.when_awake(self._take, process, sender, receiver, frame)

    def _take(self, process, sender, receiver, frame):
        if process.up:
            back = Link(self, receiver, sender, lambda answer: self.frame(receiver, sender, answer))
            back.label = f"{sender}:{RPC_PORT}"
            process.plane._frame(back, frame)

    def _follow(self, name):
        settings = ProcessSettings(
            name, f"10.1.0.{len(self.followers) + 1}", "10.0.0.1", (RPC_PORT, RPC_PORT + 10),
            tuple(f"{address}:{HTTP_PORT}" for address in ADDRESSES),
        )  # fmt: skip
        seen = self.checker.follower(name)
        made = following.FeedFollower(
            settings, self.clock, Random(self.random.random()), seen, lambda _now: []
        )
        self._monkeypatch.setattr(
            following, "Dialer", lambda *arguments: FollowerDialer(self, name, *arguments), raising=True
        )
        self.followers.append((name, made))
        self.loop.create_task(self._run_follower(name, made))

    async def _run_follower(self, name, made):
        def dialer(*arguments, **options):
            return FollowerDialer(self, name, *arguments, **options)

        while True:
            following.Dialer = dialer  # each turn of a follower is one step without a wait
            made.step(self.clock())
            await asyncio.sleep(following.WATCH_S)

    # -- Callers -------------------------------------------------------------------------------

    async def call(self, method, path, body, headers, address):
        """(status, body, location) of one call; None when nothing answers."""
        process = self.processes.get(address)
        if process is None or not process.up or process.frozen:
            await asyncio.sleep(self.silence_s)
            return None
        try:
            async with asyncio.timeout(1.0):
                response = await process.client.open(path, method=method, data=body, headers=headers)
        except TimeoutError:
            return None
        if not process.up or process.frozen or self.random.random() < self.lost_answers:
            return None
        return response.status_code, await response.get_data(), response.headers.get("Location", "")

    async def ask(self, method, path, body=b"", headers=None, tries=12):
        """A clear answer, as the operator and workers look for one: elsewhere after a failure; else None."""
        address = self.random.choice(list(self.processes))
        for _ in range(tries):
            answer = await self.call(method, path, body, headers or {}, address)
            if answer is not None and answer[0] == 307:
                address = answer[2].removeprefix("http://").partition(":")[0]
                continue
            if answer is not None and answer[0] < 500:
                return answer[0], answer[1]
            address = self.random.choice(list(self.processes))
            await asyncio.sleep(0.2)
        return None

    async def put(self, version, base, mark):
        """Put a configuration; the checker is told what became of it."""
        body = configuration(version, mark)
        self.checker.sent(version, base, body)
        answer = await self.ask("PUT", "/api/config", body, {"If-Match": str(base)})
        self.checker.answered(body, None if answer is None else answer[0])
        if answer is not None and answer[0] == 200:
            self.acknowledged.set()
        return answer

    async def beat(self, name, state, sequence):
        """One heartbeat of a worker; whether it was acknowledged."""
        body = {
            "Service": "s",
            "Address": f"10.2.0.{name}:1",
            "Zone": "a",
            "State": state,
            "Sequence": sequence,
        }
        answer = await self.ask("PUT", f"/api/instances/w-{name}", json.dumps(body).encode(), tries=4)
        acknowledged = answer is not None and answer[0] == 200
        if acknowledged and state == "draining":
            self.checker.draining.add(f"w-{name}")
        return acknowledged

    async def settle(self):
        """Everyone is up and together again, for a while."""
        self.heal()
        for address, process in list(self.processes.items()):
            if not process.up:
                self.restart(address)
        await asyncio.sleep(12.0)


def configuration(version, mark, padding=0):
    """A configuration that can be told from others of its version by its mark; `padding` bytes larger."""
    route = {"Name": mark, "Host": "h", "PathPrefix": f"/{mark}/", "Type": "idempotent", "Service": "s"}
    services = [{"Name": "s", "MaxConnections": 10}]
    made = {"Version": version, "Routes": [route], "Services": services}
    if padding:
        made["Comment"] = "x" * padding
    return json.dumps(made).encode()


class Checker:
    """What was said to the operator, to workers and to schedulers, and what must hold between these."""

    def __init__(self):
        self.base_of, self.version_of = {}, {}  # by body
        self.acknowledged, self.refused = set(), set()
        self.in_force = {}  # version -> body, as any scheduler was told
        self.draining = set()  # workers whose draining was acknowledged
        self.ready = {}  # scheduler -> shard -> workers that it may send to

    def sent(self, version, base, body):
        self.base_of[body], self.version_of[body] = base, version

    def answered(self, body, status):
        if status == 200:
            self.acknowledged.add(body)
        elif status is not None:
            self.refused.add(body)

    def follower(self, name):
        """What a scheduler does with each step of the feed: check it."""
        newest, left = 0, set()
        ready = self.ready.setdefault(name, {})

        def configured(state):
            nonlocal newest
            assert state.version >= newest, f"{name} went back from {newest} to {state.version}"
            newest = state.version
            known = self.in_force.setdefault(state.version, state.body)
            assert known == state.body, f"two configurations {state.version} in force"

        def listed(group, snapshot, workers):
            known = ready.setdefault(group, set())
            if snapshot:
                gone = known - {worker.id for worker in workers}
                left.update(gone)
                known -= gone
            for worker in workers:
                if worker.state in (pb.DRAINING, pb.GONE):
                    left.add(worker.id)
                    known.discard(worker.id)
                else:
                    assert worker.id not in left, f"{worker.id} came back at {name}"
                    known.add(worker.id)

        def update(group, snapshot, payload):
            if group != CONFIGURATION:
                listed(group, snapshot, pb.WorkerSet.FromString(payload).workers)
                return
            state = pb.ConfigurationState.FromString(payload)
            if state.version:
                configured(state)

        return update

    def check(self, read_back):
        """At the end, with the configuration that the operator has read back."""
        assert not self.acknowledged & self.refused, "a change was acknowledged and refused"
        bases = [self.base_of[body] for body in self.acknowledged]
        assert len(set(bases)) == len(bases), "two changes on one version were acknowledged"
        for body in self.refused:
            assert body not in self.in_force.values(), "a refused change is in force"
        newest = max((self.version_of[body] for body in self.acknowledged), default=0)
        version = self.version_of.get(read_back, 0)
        assert version >= newest, f"{newest} was acknowledged, {version} was read back"
        assert newest == 0 or read_back in self.base_of, "what was read back was never sent"
        for name, shards in self.ready.items():
            kept = self.draining & set().union(*shards.values())
            assert not kept, f"{name} still sends to {kept}, whose draining was acknowledged"


__all__ = ["ADDRESSES", "Checker", "FleetError", "VirtualFleet", "configuration", "worker_from_registration"]
