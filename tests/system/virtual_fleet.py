"""A complete control plane in a test: real roles on a virtual clock, network and disks, and a checker.

Every process is a `ControlPlane` as in production, except for its sockets, its disk and its clock.
Schedulers are real followers of the feed.  A run is determined by its seed.
"""

import asyncio
import json
import selectors
from random import Random

from molespur.system.control_plane import role
from molespur.system.control_plane.calls import worker_from_registration
from molespur.system.control_plane.http import create_app
from molespur.system.errors import FleetError
from molespur.system.feed import follower as feed_follower
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.settings.process import FaultTolerance, ProcessSettings
from molespur.system.shards import host
from molespur.system.shards.placement import CONFIGURATION
from molespur.system.storage.store import StoredGroup

SYNC_S = 0.02
DISK_RETRY_S = 0.2
RESEND_S = 0.2  # a lost packet is resent after this time, which doubles with each further loss
STUCK_TIMEOUT_S = 1.5  # a connection whose bytes are not acknowledged is closed after this time
MAX_SCENARIO_S = 300.0  # of virtual time: a scenario that waits for ever fails
RESPONSE_LOSS = 0.08  # share of the HTTP responses that are lost
MIN_FRAME_GAP_S = 1e-6  # keeps the frames of a connection in order
ADDRESSES = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
HTTP_PORT, RPC_PORT = 80, 7000


class VirtualSelector(selectors.DefaultSelector):
    """Does not wait: the loop's clock jumps to the next timer."""

    jumped = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "no timer is pending: the loop would wait for ever"
        self.jumped += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is virtual."""

    def __init__(self):
        super().__init__(VirtualSelector())

    def time(self):
        return self._selector.jumped


class Disk:
    """The synced data of a process, in place of `Store`."""

    def __init__(self):
        self.replica_id, self.groups = None, {}

    def identity(self):
        return self.replica_id

    def set_identity(self, replica_id):
        self.replica_id = replica_id

    def load(self, group):
        state, snapshot, entries = self.groups.get(group, (empty_state()[0], empty_state()[1], {}))
        kept = [entries[index] for index in sorted(entries) if index > snapshot.index]
        return StoredGroup(type(state)(state.term, state.vote), snapshot, kept)

    def write(self, records):
        for group, record in records:
            _, snapshot, entries = self.groups.get(group, (*empty_state(), {}))
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


def empty_state():
    """The hard state and the snapshot of an empty disk."""
    from molespur.system.consensus.replica import HardState, Snapshot

    return HardState(), Snapshot()


class Writer:
    """Writes to a disk with a delay; a batch in progress at a power loss is written completely or not at all.

    A torn transaction is rolled back when the database is opened: see `test_torn_writes.py`.
    """

    failures = 0

    def __init__(self, fleet, process):
        self.fleet, self.process, self.pending, self.busy = fleet, process, [], False
        self.in_progress = []

    def write(self, group, record):
        self.pending.append((group, record))
        if not self.busy:
            self._start_batch()

    def _start_batch(self):
        self.busy = True
        batch, self.pending = self.pending, []
        self.in_progress = batch
        self.fleet.loop.call_later(SYNC_S * self.process.disk_slowness, self._written, batch)

    def _written(self, batch):
        if not self.process.up:
            return
        if self.process.disk_full:
            self.fleet.loop.call_later(DISK_RETRY_S, self._written, batch)
            return
        self.process.disk.write(batch)
        self.in_progress = []
        self.process.when_awake(self._report_written, batch)

    def _report_written(self, batch):
        self.busy = False
        if self.pending:
            self._start_batch()
        for group, record in batch:
            self.process.plane.host.handle_written(group, record)

    def power_lost(self):
        """The batch in progress may have reached the disk, although its completion was not reported."""
        if self.in_progress and self.fleet.random.random() < 0.5:
            self.process.disk.write(self.in_progress)

    def stop(self):
        pass


class Link:
    """One direction of a connection: frames arrive in order, and none after a lost one."""

    def __init__(self, fleet, here, there, deliver):
        self.fleet, self.here, self.there, self.deliver = fleet, here, there, deliver
        self.label, self.open, self.arrives_at = there, True, 0.0

    def try_hold_unsent(self, _size):
        return True

    def send(self, frame):
        if not self.open or self.fleet.is_cut(self.here, self.there):
            self.open = False
            return False
        data = frame.SerializeToString()
        if self.fleet.is_too_large(self.here, self.there, len(data)):
            self.fleet.loop.call_later(STUCK_TIMEOUT_S, self.close)
            self.deliver = lambda _frame: None  # the frames behind it do not arrive either
            return True
        copy = pb.Frame.FromString(data)
        delay = 0.001 + 0.003 * self.fleet.random.random() + self.fleet.snapshot_delay_s(self.here, copy)
        delay += self.fleet.resend_delay_s(self.here, self.there)
        self.arrives_at = max(self.arrives_at + MIN_FRAME_GAP_S, self.fleet.loop.time() + delay)
        self.fleet.loop.call_at(self.arrives_at, self._arrive, copy)
        return True

    def _arrive(self, frame):
        if self.fleet.is_cut(self.here, self.there):
            self.open = False
        if self.open:
            self.deliver(frame)

    def close(self):
        self.open = False


class PeerLink(Link):
    """Frames from one control-plane process to another; a closed link reopens with the next frame."""

    def __init__(self, fleet, here, there, deliver):
        super().__init__(fleet, here, there, deliver)
        self._deliver = deliver

    def send(self, frame):
        if not self.open:
            self.open, self.deliver = True, self._deliver
        return super().send(frame)

    def notify_peer_alive(self):
        """No effect: a link needs no reconnection."""


class Process:
    """A control-plane process and its disk."""

    def __init__(self, fleet, address, disk, bootstrap):
        self.fleet, self.address, self.disk, self.up = fleet, address, disk, True
        self.disk_slowness, self.disk_full = 1.0, False
        self.frozen, self._when_thawed = False, []
        self.slow_s, self._free_at = 0.0, 0.0  # processor time per event; when the processor is free again
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
        coroutines = (self.plane.host.run(), self.plane._run_periodic_work())
        self.tasks = [self.fleet.loop.create_task(coroutine) for coroutine in coroutines]

    def freeze(self):
        """Stop the process, as with SIGSTOP; arriving frames wait in its sockets."""
        self.frozen = True
        for task in self.tasks:
            task.cancel()

    def thaw(self):
        """Continue the process: it handles the waiting frames before its timers."""
        self.frozen = False
        waiting, self._when_thawed = self._when_thawed, []
        for function, arguments in waiting:
            if self.up:
                function(*arguments)
        if self.up:
            self._run()

    def when_awake(self, function, *arguments):
        """Call a function now, once the process runs again, or in turn if its processor is slow."""
        if self.slow_s and not self.frozen:
            self._free_at = max(self._free_at, self.fleet.loop.time()) + self.slow_s
            self.fleet.loop.call_at(self._free_at, self._when_free, function, arguments)
        elif self.frozen:
            self._when_thawed.append((function, arguments))
        else:
            function(*arguments)

    def _when_free(self, function, arguments):
        if self.up and not self.frozen:
            function(*arguments)

    def _dial(self, address):
        dialers = self.plane.host.dialers
        host = address.partition(":")[0]
        if host and host != self.address and address not in dialers:
            dialers[address] = PeerLink(
                self.fleet, self.address, host, lambda f: self.fleet.deliver(self.address, host, f)
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
        if not (fleet.is_cut(name, self.host) or fleet.is_cut(self.host, name)):
            process = fleet.processes[self.host]
            back = Link(fleet, self.host, name, self._deliver_to_follower)
            self.channel = Link(
                fleet, name, self.host, lambda frame: self._deliver_to_process(process, back, frame)
            )
            self.channel.label = address
            if on_open is not None:
                fleet.loop.call_soon(on_open, self.channel)

    @staticmethod
    def _deliver_to_process(process, back, frame):
        if process.up:
            process.when_awake(process.plane._handle_frame, back, frame)

    def _deliver_to_follower(self, frame):
        if self.channel is not None:
            self.on_frame(self.channel, frame)

    def send(self, frame):
        return self.channel is not None and self.channel.send(frame)

    def stop(self):
        if self.channel is not None:
            self.channel.close()


class VirtualFleet:
    """Control-plane processes, schedulers, the network between them, and the checker."""

    def __init__(self, seed, monkeypatch, schedulers=2, tolerance=1, spares=()):
        self.random, self.loop = Random(seed), VirtualLoop()
        self.processes, self.cut_pairs, self.checker = {}, set(), Checker()
        self.removed = set()  # addresses of machines that are permanently removed
        # (from, to) of directions in which all frames are lost; senders whose snapshots arrive late
        self.one_way, self.late_snapshot_senders = set(), set()
        # spares: members from the start, in addition to the seeds
        self.tolerance, self.spares = tolerance, tuple(spares)
        self.loss_share, self.max_frame_bytes = {}, {}  # machine -> share of lost packets, largest frame
        self.unresponsive_s = 0.0  # how long a caller waits for a process that does not respond
        self._new_disk, self.identity_count = None, 0
        self.acknowledged = asyncio.Event()  # set with each acknowledged configuration change
        monkeypatch.setattr(role, "Store", lambda _folder: self._new_disk)
        monkeypatch.setattr(role, "clock", self.clock)
        monkeypatch.setattr(role, "Random", lambda: Random(self.random.random()))
        monkeypatch.setattr(host, "new_identity", self._new_identity)
        self._monkeypatch = monkeypatch
        self.schedulers, self.response_loss = schedulers, RESPONSE_LOSS
        self.followers = []

    def clock(self):
        return self.loop.time() * 1000.0

    def _new_identity(self, address):
        self.identity_count += 1
        return f"{address}#{self.identity_count}"

    def run(self, scenario):
        """Start the fleet with empty disks and run a coroutine function on it."""

        async def start_and_run():
            for address in (*ADDRESSES, *self.spares):
                self.start(address, Disk(), bootstrap=True)
            for number in range(self.schedulers):
                self._start_follower(f"edge-{number}")
            await asyncio.wait_for(scenario(self), MAX_SCENARIO_S)
            for process in self.processes.values():
                process.end()

        try:
            asyncio.set_event_loop(self.loop)
            self.loop.run_until_complete(start_and_run())
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
        """End a process as a power loss does; a write in progress may be lost."""
        self.processes[address].end()

    def seeds(self):
        """Three running processes, as an operator lists them; supplemented by the initial ones."""
        up = [address for address, process in self.processes.items() if process.up]
        return [*up, *ADDRESSES][: len(ADDRESSES)]

    def restart(self, address):
        self.start(address, self.processes[address].disk)

    def wipe(self, address):
        """Restart a process with an empty disk."""
        self.start(address, Disk())

    def is_cut(self, one, other):
        """Whether all frames from one machine to another are lost."""
        down = any(end in self.processes and not self.processes[end].up for end in (one, other))
        if one in self.removed or other in self.removed:
            return True
        return down or frozenset((one, other)) in self.cut_pairs or (one, other) in self.one_way

    def isolate(self, address, core_only=False):
        """Cut a process off from the other processes, and from schedulers unless `core_only`."""
        followers = () if core_only else (name for name, _ in self.followers)
        names = [*self.processes, *followers]
        self.cut_pairs |= {frozenset((address, other)) for other in names if other != address}

    def partition(self, half):
        """Cut some processes off from the other processes."""
        rest = set(self.processes) - set(half)
        self.cut_pairs |= {frozenset((one, other)) for one in half for other in rest}

    def heal(self):
        """End all faults of the network."""
        self.cut_pairs.clear()
        self.loss_share.clear()
        self.max_frame_bytes.clear()
        self.one_way.clear()
        self.late_snapshot_senders.clear()

    def snapshot_delay_s(self, sender, frame):
        """The additional delay of snapshots from some senders (s)."""
        is_snapshot = frame.consensus.HasField("install_snapshot")
        return 1.5 * self.random.random() if is_snapshot and sender in self.late_snapshot_senders else 0.0

    def resend_delay_s(self, here, there):
        """The additional delay of packets that are lost and resent (s): each loss doubles the wait."""
        share, delay, wait = (
            max(self.loss_share.get(here, 0.0), self.loss_share.get(there, 0.0)),
            0.0,
            RESEND_S,
        )
        while self.random.random() < share:
            delay, wait = delay + wait, 2 * wait
        return delay

    def is_too_large(self, here, there, size):
        """Whether a frame is larger than the links of one of two machines pass."""
        return size > min(self.max_frame_bytes.get(here, size), self.max_frame_bytes.get(there, size))

    def leader(self, group=CONFIGURATION):
        """The address of the process that leads a group in the newest term; None without one."""
        leading = [
            (process.plane.host.groups[group].replica.hard_state.term, address)
            for address, process in self.processes.items()
            if process.up and not process.frozen and process.plane.host.is_leader(group)
        ]
        return max(leading)[1] if leading else None

    def voters(self, group=CONFIGURATION):
        """Addresses of the voters, as the leader sees them; identities of those whose disk is lost."""
        leader = self.leader(group)
        if leader is None:
            return []
        replica = self.processes[leader].plane.host.groups[group].replica
        present = {process.plane.host.replica_id: address for address, process in self.processes.items()}
        return [present.get(name, name) for name in replica.voters()]

    def remove(self, address):
        """Remove a machine and its disk permanently."""
        process = self.processes.pop(address)
        if process.up:
            process.end()
        self.removed.add(address)

    async def stop(self, address):
        """Stop a process as with SIGTERM: it hands over leadership and votes, then ends."""
        process = self.processes[address]
        await process.plane.host.stop()
        if self.processes[address] is process and process.up:
            process.end()

    def deliver(self, sender, receiver, frame):
        """Deliver a frame from one control-plane process to another."""
        process = self.processes.get(receiver)
        if process is not None and process.up:
            process.when_awake(self._handle_frame, process, sender, receiver, frame)

    def _handle_frame(self, process, sender, receiver, frame):
        if process.up:
            back = Link(self, receiver, sender, lambda reply: self.deliver(receiver, sender, reply))
            back.label = f"{sender}:{RPC_PORT}"
            process.plane._handle_frame(back, frame)

    def _start_follower(self, name):
        settings = ProcessSettings(
            name, f"10.1.0.{len(self.followers) + 1}", "10.0.0.1", (RPC_PORT, RPC_PORT + 10),
            tuple(f"{address}:{HTTP_PORT}" for address in ADDRESSES),
        )  # fmt: skip
        on_update = self.checker.follower(name)
        follower = feed_follower.FeedFollower(
            settings, self.clock, Random(self.random.random()), on_update, lambda _now: []
        )
        self._monkeypatch.setattr(
            feed_follower, "Dialer", lambda *arguments: FollowerDialer(self, name, *arguments), raising=True
        )
        self.followers.append((name, follower))
        self.loop.create_task(self._run_follower(name, follower))

    async def _run_follower(self, name, follower):
        def dialer(*arguments, **options):
            return FollowerDialer(self, name, *arguments, **options)

        while True:
            feed_follower.Dialer = dialer  # set per step: a step does not await
            follower.step(self.clock())
            await asyncio.sleep(feed_follower.CHECK_INTERVAL_S)

    # -- Callers -------------------------------------------------------------------------------

    async def call(self, method, path, body, headers, address):
        """Make one HTTP call; return (status, body, location), or None without a response."""
        process = self.processes.get(address)
        if process is None or not process.up or process.frozen:
            await asyncio.sleep(self.unresponsive_s)
            return None
        try:
            async with asyncio.timeout(1.0):
                response = await process.client.open(path, method=method, data=body, headers=headers)
        except TimeoutError:
            return None
        if not process.up or process.frozen or self.random.random() < self.response_loss:
            return None
        return response.status_code, await response.get_data(), response.headers.get("Location", "")

    async def request(self, method, path, body=b"", headers=None, tries=12):
        """Retry as operators and workers do, at other processes; None without a definite response."""
        address = self.random.choice(list(self.processes))
        for _ in range(tries):
            response = await self.call(method, path, body, headers or {}, address)
            if response is not None and response[0] == 307:
                address = response[2].removeprefix("http://").partition(":")[0]
                continue
            if response is not None and response[0] < 500:
                return response[0], response[1]
            address = self.random.choice(list(self.processes))
            await asyncio.sleep(0.2)
        return None

    async def put(self, version, base, mark):
        """Put a configuration and record the outcome in the checker."""
        body = configuration(version, mark)
        self.checker.record_sent(version, base, body)
        response = await self.request("PUT", "/api/config", body, {"If-Match": str(base)})
        self.checker.record_response(body, None if response is None else response[0])
        if response is not None and response[0] == 200:
            self.acknowledged.set()
        return response

    async def send_heartbeat(self, name, state, sequence):
        """Send one heartbeat of a worker; return whether it was acknowledged."""
        body = {
            "Service": "s",
            "Address": f"10.2.0.{name}:1",
            "Zone": "a",
            "State": state,
            "Sequence": sequence,
        }
        response = await self.request("PUT", f"/api/instances/w-{name}", json.dumps(body).encode(), tries=4)
        acknowledged = response is not None and response[0] == 200
        if acknowledged and state == "draining":
            self.checker.draining.add(f"w-{name}")
        return acknowledged

    async def settle(self):
        """End all network faults, restart all processes, and wait."""
        self.heal()
        for address, process in list(self.processes.items()):
            if not process.up:
                self.restart(address)
        await asyncio.sleep(12.0)


def configuration(version, mark, padding=0):
    """A configuration; `mark` distinguishes it from others of its version, `padding` bytes are added."""
    route = {"Name": mark, "Host": "h", "PathPrefix": f"/{mark}/", "Type": "idempotent", "Service": "s"}
    services = [{"Name": "s", "MaxConnections": 10}]
    fields = {"Version": version, "Routes": [route], "Services": services}
    if padding:
        fields["Comment"] = "x" * padding
    return json.dumps(fields).encode()


class Checker:
    """Records the responses to the operator and to workers and the feed of schedulers; checks invariants."""

    def __init__(self):
        self.base_of, self.version_of = {}, {}  # by body
        self.acknowledged, self.refused = set(), set()
        self.in_force = {}  # version -> body, as received by any scheduler
        self.draining = set()  # workers whose draining was acknowledged
        self.usable_workers = {}  # scheduler -> shard -> workers that it may send requests to

    def record_sent(self, version, base, body):
        self.base_of[body], self.version_of[body] = base, version

    def record_response(self, body, status):
        if status == 200:
            self.acknowledged.add(body)
        elif status is not None:
            self.refused.add(body)

    def follower(self, name):
        """Return an `on_update` callback of a scheduler that checks each update of the feed."""
        newest, departed = 0, set()
        usable = self.usable_workers.setdefault(name, {})

        def check_configuration(state):
            nonlocal newest
            assert state.version >= newest, f"{name} went back from {newest} to {state.version}"
            newest = state.version
            known = self.in_force.setdefault(state.version, state.body)
            assert known == state.body, f"two configurations {state.version} in force"

        def check_workers(group, snapshot, workers):
            known = usable.setdefault(group, set())
            if snapshot:
                missing = known - {worker.id for worker in workers}
                departed.update(missing)
                known -= missing
            for worker in workers:
                if worker.state in (pb.DRAINING, pb.GONE):
                    departed.add(worker.id)
                    known.discard(worker.id)
                else:
                    assert worker.id not in departed, f"{worker.id} came back at {name}"
                    known.add(worker.id)

        def update(group, snapshot, payload):
            if group != CONFIGURATION:
                check_workers(group, snapshot, pb.WorkerSet.FromString(payload).workers)
                return
            state = pb.ConfigurationState.FromString(payload)
            if state.version:
                check_configuration(state)

        return update

    def check(self, read_back):
        """Check the final state; `read_back`: the configuration that the operator has read at the end."""
        assert not self.acknowledged & self.refused, "a change was acknowledged and refused"
        bases = [self.base_of[body] for body in self.acknowledged]
        assert len(set(bases)) == len(bases), "two changes on one version were acknowledged"
        for body in self.refused:
            assert body not in self.in_force.values(), "a refused change is in force"
        newest = max((self.version_of[body] for body in self.acknowledged), default=0)
        version = self.version_of.get(read_back, 0)
        assert version >= newest, f"{newest} was acknowledged, {version} was read back"
        assert newest == 0 or read_back in self.base_of, "the configuration read back was never sent"
        for name, shards in self.usable_workers.items():
            still_used = self.draining & set().union(*shards.values())
            assert not still_used, f"{name} still uses {still_used}, whose draining was acknowledged"


__all__ = ["ADDRESSES", "Checker", "FleetError", "VirtualFleet", "configuration", "worker_from_registration"]
