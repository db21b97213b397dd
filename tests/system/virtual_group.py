"""A complete replica group in one test: virtual time, a lossy network, cut links, disks that can be lost.

Every run is determined by its seed.
"""

from heapq import heappop, heappush
from random import Random

from molespur.system.consensus import replica as raft
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.membership_changes import MembershipPlanner

GROUP = "test"
TICK_MS = 50.0


class Disk:
    """The synced state of one replica; a record that is being written is lost at a power failure."""

    def __init__(self, identity):
        self.identity = identity
        self.hard_state = raft.HardState()
        self.snapshot = raft.Snapshot()
        self.entries = {}

    def write(self, record):
        self.hard_state = record.hard_state
        if record.snapshot is not None:
            self.snapshot = record.snapshot
            self.entries = {i: e for i, e in self.entries.items() if i > record.snapshot.index}
        if record.truncate_from is not None:
            self.entries = {i: e for i, e in self.entries.items() if i < record.truncate_from}
        self.entries.update({e.index: e for e in record.entries})

    def log(self):
        return [self.entries[i] for i in sorted(self.entries) if i > self.snapshot.index]


class CommandList:
    """A state machine that stores the commands in order."""

    def __init__(self):
        self.commands = []

    def apply(self, data):
        self.commands.append(data)

    def snapshot(self):
        return b"\n".join(self.commands)

    def restore(self, state):
        self.commands = state.split(b"\n") if state else []


class Process:
    """One process: a replica, its state machine and its disk."""

    def __init__(self, group, address, disk):
        self.group, self.address, self.disk = group, address, disk
        self.state_machine = group.make_state_machine()
        self.state_machine.restore(disk.snapshot.state)
        hard_state = raft.HardState(disk.hard_state.term, disk.hard_state.vote)
        self.replica = raft.Replica(
            GROUP,
            disk.identity,
            Random(group.random.random()),
            hard_state,
            disk.snapshot,
            disk.log(),
            group.now,
        )
        self.planner = MembershipPlanner(group.target_voters)
        self.waiters = {}  # index -> (term, callback for the outcome)
        self.on_read = {}  # number -> callback for the confirmed read
        self.reads = {}  # number -> commands that the read returned; None if it was refused

    def handle(self, event):
        actions = self.replica.handle(self.group.now, event)
        for action in actions:
            match action:
                case raft.Send(member, message):
                    self.group.send(self, member, message)
                case raft.Persist():
                    self.group.write(self, action)
                case raft.Apply(entry):
                    self.apply(entry)
                    self.group.check_applied(entry)
                case raft.Restore(snapshot):
                    self.state_machine.restore(snapshot.state)
                case raft.ReadConfirmed(number):
                    if number in self.on_read:
                        self.on_read.pop(number)()
                    else:
                        self.reads[number] = list(self.state_machine.commands)
                case raft.ReadRefused(number):
                    self.on_read.pop(number, None)
                    self.reads[number] = None
        self.check_durable()
        return actions

    def check_durable(self):
        """Check that the entries that count as synced are on the disk, from the log as it is now."""
        log = self.replica.log
        for index in range(log.snapshot.index + 1, log.durable_index + 1):
            entry = self.disk.entries.get(index)
            assert entry is not None and entry.term == log.term_at(index), f"entry {index} is not on disk"

    def apply(self, entry):
        outcome = self.state_machine.apply(entry.data) if entry.kind == pb.COMMAND else None
        term, callback = self.waiters.pop(entry.index, (0, None))
        if callback is not None and term == entry.term:
            callback(outcome)

    def tick(self):
        self.handle(raft.Tick())
        if self.replica.role is raft.Role.LEADER:
            membership = self.planner.plan(self.replica, self.group.now)
            if membership is not None:
                self.handle(raft.ChangeMembership(membership))
        if self.replica.log.applied_index - self.replica.log.snapshot.index > self.group.compact_after:
            self.handle(raft.Compact(self.replica.log.applied_index, self.state_machine.snapshot()))
        if self.replica.member(self.replica.id) is None:
            self.group.request_join(self)


class VirtualGroup:
    """The processes, the network between them, and the committed entries by index."""

    def __init__(self, seed, count=3, loss=0.0, sync_ms=5.0, state_machine=CommandList, target_voters=3):
        self.make_state_machine, self.compact_after = state_machine, 8
        self.random, self.now, self.loss, self.sync_ms = Random(seed), 0.0, loss, sync_ms
        self.target_voters = target_voters
        self.queue, self.serial = [], 0
        self.cut_links, self.down, self.processes = set(), set(), {}
        self.frozen = {}  # address -> calls that wait until the process runs again, as (call, arguments)
        self.committed, self.sent_bytes = {}, 0
        addresses = [f"10.0.0.{n}:1" for n in range(1, count + 1)]
        membership = pb.Membership(
            members=[pb.Member(replica_id=f"{a}#0", rpc_address=a, voter=True) for a in addresses]
        )
        for address in addresses:
            disk = Disk(f"{address}#0")
            disk.write(raft.Persist(raft.HardState(1, ""), snapshot=raft.Snapshot(1, 1, membership, b"")))
            self.start(address, disk)

    # -- Processes -----------------------------------------------------------------------------

    def start(self, address, disk):
        self.down.discard(address)
        process = self.processes[address] = Process(self, address, disk)
        self.schedule(self.random.random() * TICK_MS, self._tick, process)
        return process

    def _tick(self, process):
        if self.processes.get(process.address) is process and process.address not in self.down:
            if process.address not in self.frozen:
                process.tick()
            self.schedule(TICK_MS, self._tick, process)

    def kill(self, address):
        """Fail the power of a process: unsynced records and messages in flight to it are lost."""
        self.frozen.pop(address, None)
        self.down.add(address)

    def freeze(self, address, ms):
        """Pause a process; what arrives meanwhile is handled first when it resumes."""
        if address not in self.frozen:
            self.frozen[address] = []
            self.schedule(ms, self._resume, address)

    def _resume(self, address):
        for call, arguments in self.frozen.pop(address, ()):
            call(*arguments)

    def when_awake(self, address, call, *arguments):
        """Call now, or when the process resumes."""
        if address in self.frozen:
            self.frozen[address].append((call, arguments))
        else:
            call(*arguments)

    def restart(self, address):
        return self.start(address, self.processes[address].disk)

    def wipe(self, address):
        """Start a process with an empty disk and a new identity."""
        self.serial += 1
        return self.start(address, Disk(f"{address}#{self.serial}"))

    # -- Time and network ----------------------------------------------------------------------

    def schedule(self, delay, call, *arguments):
        self.serial += 1
        heappush(self.queue, (self.now + delay, self.serial, call, arguments))

    def run(self, ms):
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call, arguments = heappop(self.queue)
            call(*arguments)
        self.now = end

    def send(self, sender, member, message):
        receiver = member.rpc_address
        if self.random.random() < self.loss:
            return
        data = message.SerializeToString()
        self.sent_bytes += len(data)
        copy = pb.ConsensusMessage.FromString(data)
        self.schedule(1.0 + 4.0 * self.random.random(), self._arrive, sender.address, receiver, copy)

    def _arrive(self, sender, receiver, message):
        process = self.processes.get(receiver)
        cut = frozenset((sender, receiver)) in self.cut_links
        if process and receiver not in self.down and not cut and message.receiver == process.replica.id:
            self.when_awake(receiver, self._deliver, process, message)

    def _deliver(self, process, message):
        if self.processes.get(process.address) is process and process.address not in self.down:
            process.handle(raft.Received(message))

    def write(self, process, record):
        copy = raft.Persist(
            raft.HardState(record.hard_state.term, record.hard_state.vote),
            record.truncate_from,
            list(record.entries),
            record.snapshot,
            list(record.send_after_sync),
            record.sequence,
        )
        self.schedule(self.sync_ms, self._written, process, copy)

    def _written(self, process, record):
        if self.processes.get(process.address) is not process or process.address in self.down:
            return
        process.disk.write(record)
        self.when_awake(process.address, self._report_written, process, record)

    def _report_written(self, process, record):
        if self.processes.get(process.address) is not process or process.address in self.down:
            return
        for send in record.send_after_sync:
            self.send(process, send.member, send.message)
        process.handle(raft.Persisted(record.sequence))

    def request_join(self, process):
        for other in self.processes.values():
            disconnected = (
                other.address in self.down or frozenset((other.address, process.address)) in self.cut_links
            )
            if other.replica.role is raft.Role.LEADER and not disconnected:
                member = pb.Member(replica_id=process.replica.id, rpc_address=process.address)
                membership = other.planner.admit(other.replica, member)
                if membership is not None:
                    other.handle(raft.ChangeMembership(membership))

    # -- Checks and operations for tests -------------------------------------------------------

    def check_applied(self, entry):
        """Check that no two replicas apply different entries at the same index."""
        known = self.committed.setdefault(entry.index, (entry.term, entry.data))
        assert known == (entry.term, entry.data), f"two different entries at index {entry.index}"

    def leader(self):
        leaders = [
            p for a, p in self.processes.items() if a not in self.down and p.replica.role is raft.Role.LEADER
        ]
        return max(leaders, key=lambda p: p.replica.hard_state.term, default=None)

    def propose(self, data):
        """Propose at the leader with the highest term; return the Proposed action or None."""
        leader = self.leader()
        if leader is None:
            return None
        for action in leader.handle(raft.Propose(data)):
            if isinstance(action, raft.Proposed):
                return action
        return None

    def is_acknowledged(self, proposed):
        """Return whether the entry is committed with the term in which it was proposed."""
        return proposed is not None and self.committed.get(proposed.index, (None,))[0] == proposed.term

    def isolate(self, address):
        self.cut_links |= {frozenset((address, other)) for other in self.processes if other != address}

    def heal(self):
        self.cut_links.clear()
