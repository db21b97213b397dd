"""The replicas that a control-plane process hosts: carries out what the pure replicas ask for.

One process hosts a replica of every group.  Each group has a leader of its own; no log spans two groups.
"""

import asyncio
import secrets
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from absl import logging

from ..consensus import replica as raft
from ..errors import ErrorKind, FleetError
from ..rpc import molespur_pb2 as pb
from ..rpc.channel import Dialer
from ..storage.store import Store, bootstrap_identity, new_identity
from .lag import LagLog
from .leaving import Leaving
from .membership_changes import MembershipPlanner

TICK_S = 0.05
JOIN_S = 0.5
HISTORY = 256  # changes kept for followers of the feed, for each group
COMPACT_ENTRIES = 64
COMPACT_BYTES = 1 << 20
STATE_BYTES_PER_ENTRY = 1 << 10  # a large state is written again only after as many more entries
LIFE_BITS = 63
PROPOSAL_S = 0.85  # callers move on after a second


@dataclass
class Waiter:
    """A proposal whose outcome somebody waits for."""

    term: int
    outcome: asyncio.Future


@dataclass
class HostedGroup:
    """A replica with its state machine and the recent changes of it."""

    name: str
    replica: raft.Replica
    machine: object  # provides IStateMachine
    planner: MembershipPlanner
    history_from: int = 0  # every change after this index is in `history`
    history: deque = field(default_factory=lambda: deque(maxlen=HISTORY))
    waiters: dict[int, Waiter] = field(default_factory=dict)
    reads: dict[int, asyncio.Future] = field(default_factory=dict)
    log_bytes: int = 0
    lag: LagLog = field(default_factory=LagLog)


class ReplicaHost:
    """All groups of this process, their disk, and the channels to other control-plane processes."""

    def __init__(
        self, settings, store: Store, machines: dict[str, object], clock: Callable[[], float], random: Random
    ):
        self.settings, self.store, self.clock = settings, store, clock
        self.writer = None
        self.dialers: dict[str, Dialer] = {}
        self.on_change: Callable[[str, int, bytes], None] = lambda *_: None
        self.on_restore: Callable[[str], None] = lambda *_: None
        self.on_role: Callable[[str], None] = lambda *_: None
        self.on_frame: Callable = lambda *_: None
        self.replica_id = self._identity(machines)
        self.self_member = pb.Member(
            replica_id=self.replica_id,
            rpc_address=settings.rpc_address,
            control_address=settings.listen.get("ControlPlane", ""),
            zone=settings.zone,
        )
        self._life = secrets.randbits(LIFE_BITS) | 1
        self.groups = {name: self._open(name, machine, random) for name, machine in machines.items()}
        self.joined_at = float("-inf")
        self.leaving = Leaving(self, clock, settings.bounds.grace_period_s)
        self._read_numbers = count(1)

    # -- Start ---------------------------------------------------------------------------------

    def _identity(self, groups: Iterable[str]) -> str:
        """The identity of this disk; an empty disk gets one, and at a first start the first membership."""
        known = self.store.identity()
        if known is not None:
            return known
        address = self.settings.rpc_address
        seeds = self.settings.seed_rpc_addresses()
        if not self.settings.bootstrap or address not in seeds:
            replica_id = new_identity(address)
            self.store.set_identity(replica_id)
            return replica_id
        replica_id = bootstrap_identity(address)
        membership = pb.Membership()
        for seed, control in sorted(zip(seeds, self.settings.seed_nodes, strict=True)):
            member = membership.members.add()
            member.replica_id, member.rpc_address = bootstrap_identity(seed), seed
            member.control_address, member.voter = control, True
        first = raft.Snapshot(1, 1, membership, b"")
        self.store.write([(name, raft.Persist(raft.HardState(1, ""), snapshot=first)) for name in groups])
        self.store.set_identity(replica_id)
        return replica_id

    def _open(self, name: str, machine, random: Random) -> HostedGroup:
        loaded = self.store.load(name)
        if loaded.snapshot.state:
            machine.restore(loaded.snapshot.state)
        replica = raft.Replica(
            name,
            self.replica_id,
            random,
            loaded.hard_state,
            loaded.snapshot,
            loaded.entries,
            self.clock(),
            self._life,
        )
        voters = 2 * max(self.settings.fault_tolerance.nodes, 1) + 1
        return HostedGroup(name, replica, machine, MembershipPlanner(voters), loaded.snapshot.index)

    async def run(self) -> None:
        """Tick until cancelled."""
        for address in self.settings.seed_rpc_addresses():
            self._dial(address)
        while True:
            self.step()
            await asyncio.sleep(TICK_S)

    def start(self, writer) -> None:
        """Write to the disk with this writer from now on."""
        self.writer = writer

    def step(self) -> None:
        """What is due now, in every group."""
        now = self.clock()
        for group in self.groups.values():
            self._handle(group, raft.Tick())
            self._plan(group, now)
            self._maybe_compact(group)
            self._maybe_log_lag(group, now)
        self._maybe_join(now)

    def reseed(self, settings) -> None:
        """Other seeds are known from now on."""
        for address in settings.seed_rpc_addresses():
            self._dial(address)

    async def stop(self) -> None:
        """Pass leads and votes on, then write no more."""
        await self.leaving.run()
        if self.writer is not None:
            self.writer.stop()

    def transfer_lead(self, group: HostedGroup) -> None:
        """Hand the lead of a group over."""
        self._handle(group, raft.TransferLeadership())

    def tell_all(self, frame: pb.Frame) -> None:
        """Send a frame to every other control-plane process that is known."""
        for dialer in self.dialers.values():
            dialer.send(frame)

    @staticmethod
    def _maybe_log_lag(group: HostedGroup, now: float) -> None:
        replica = group.replica
        applied, named = replica.log.applied_index, replica.named_commit_index
        if group.lag.due(now, applied, named):
            logging.warning(
                "%s: lags: applied %d, log ends at %d, its leader names %d, heard %d ms ago",
                group.name, applied, replica.log.last_index, named, replica.leader_silence(now),
            )  # fmt: skip

    # -- What others ask ---------------------------------------------------------------------------

    def leads(self, group: str) -> bool:
        """Whether this process owns the group now."""
        return self.groups[group].replica.role is raft.Role.LEADER

    def has_lease(self, group: str) -> bool:
        """Whether this process leads the group and a majority has followed it lately."""
        return self.groups[group].replica.has_lease(self.clock())

    def in_touch(self, group: str) -> bool:
        """Whether this process leads the group and can still commit: what it is asked is worth proposing."""
        return self.groups[group].replica.in_touch(self.clock())

    def leader(self, group: str) -> pb.Member | None:
        """The group's leader, as far as known."""
        replica = self.groups[group].replica
        if (
            replica.role is not raft.Role.LEADER
            and replica.leader_silence(self.clock()) > raft.ELECTION_MS[0]
        ):
            return None
        return replica.member(replica.leader_id)

    def state_age_ms(self, name: str | None = None) -> float:
        """Time since which something may have been acknowledged that a group's state here lacks.

        Of the oldest group where none is named; `inf` where nothing is certain.
        """
        now = self.clock()
        groups = self.groups.values() if name is None else [self.groups[name]]
        return max(group.replica.state_age(now) for group in groups)

    def members(self) -> list[pb.Member]:
        """The members of the configuration's group."""
        return list(next(iter(self.groups.values())).replica.log.membership.members)

    async def propose(self, name: str, data: bytes) -> object:
        """Put a command into the log; return what the state machine said once it is committed.

        Raises FleetError: NO_LEADER when it was not taken, OUTCOME_UNKNOWN when it may be.
        """
        group = self.groups[name]
        if not group.replica.in_touch(self.clock()):
            raise FleetError(ErrorKind.NO_LEADER, name)
        outcome = asyncio.get_running_loop().create_future()
        actions = group.replica.handle(self.clock(), raft.Propose(data))
        for action in actions:
            if isinstance(action, raft.Proposed):
                group.waiters[action.index] = Waiter(action.term, outcome)
                group.log_bytes += len(data)
            elif isinstance(action, raft.NotLeader):
                outcome.set_exception(FleetError(ErrorKind.NO_LEADER, name))
        self._carry_out(group, actions)
        try:
            return await asyncio.wait_for(outcome, PROPOSAL_S)
        except TimeoutError as error:
            raise FleetError(ErrorKind.OUTCOME_UNKNOWN, name) from error

    async def read(self, name: str) -> object:
        """The group's state machine once it certainly holds all that was acknowledged before this call.

        Raises FleetError(NO_LEADER) when this process can't tell.
        """
        group = self.groups[name]
        number = next(self._read_numbers)
        outcome = group.reads[number] = asyncio.get_running_loop().create_future()
        self._handle(group, raft.Read(number))
        try:
            confirmed = await asyncio.wait_for(outcome, PROPOSAL_S)
        except TimeoutError:
            confirmed = False
        finally:
            del group.reads[number]
        if not confirmed:
            raise FleetError(ErrorKind.NO_LEADER, name)
        return group.machine

    def receive(self, message: pb.ConsensusMessage) -> None:
        """Take a message of another replica, if it is for the identity of this disk."""
        dialer = self.dialers.get(message.sender.partition("#")[0])
        if dialer is not None:
            dialer.peer_alive()
        group = self.groups.get(message.group)
        if group is None:
            return
        if message.receiver == self.replica_id:
            self._handle(group, raft.Received(message))
        elif group.replica.role is raft.Role.OUTSIDER:
            # meant for a disk that was here before: its sender can take this replica in
            self._dial(message.sender.partition("#")[0])

    def join_requested(self, request: pb.JoinRequest) -> None:
        """A replica that is in no membership asks to be taken in; it may not know who leads."""
        self._dial(request.member.rpc_address)
        for name in request.groups:
            group = self.groups.get(name)
            if group is None:
                continue
            if not self.leads(name):
                self._forward_join(name, request)
                continue
            membership = group.planner.admit(group.replica, request.member)
            if membership is not None:
                self._handle(group, raft.ChangeMembership(membership))

    def _forward_join(self, name: str, request: pb.JoinRequest) -> None:
        leader = self.leader(name)
        dialer = self.dialers.get(leader.rpc_address) if leader is not None else None
        if dialer is not None and not request.forwarded:
            forwarded = pb.JoinRequest(member=request.member, groups=[name], forwarded=True)
            dialer.send(pb.Frame(join=forwarded))

    def leave_requested(self, request: pb.LeaveRequest) -> pb.LeaveReply:
        """A replica's process was told to stop: the groups led here that need it no longer."""
        released = []
        for name in request.groups:
            group = self.groups.get(name)
            if group is None or not self.in_touch(name):
                continue
            group.planner.leaves(request.replica_id, self.clock())
            if group.planner.may_leave(group.replica, request.replica_id, self.clock()):
                released.append(name)
        return pb.LeaveReply(groups=released)

    # -- Actions -----------------------------------------------------------------------------------

    def _handle(self, group: HostedGroup, event: raft.Event) -> None:
        self._carry_out(group, group.replica.handle(self.clock(), event))

    def _carry_out(self, group: HostedGroup, actions: list[raft.Action]) -> None:
        for action in actions:
            match action:
                case raft.Send(member, message):
                    self._dial(member.rpc_address)
                    dialer = self.dialers.get(member.rpc_address)
                    if dialer is not None:
                        dialer.send(pb.Frame(consensus=message))
                case raft.Persist():
                    self.writer.write(group.name, action)
                case raft.Apply(entry):
                    self._apply(group, entry)
                case raft.Restore(snapshot):
                    group.machine.restore(snapshot.state)
                    group.history.clear()
                    group.history_from = snapshot.index
                    self.on_restore(group.name)
                case raft.ReadConfirmed(number):
                    self._read_ended(group, number, True)
                case raft.ReadRefused(number):
                    self._read_ended(group, number, False)
                case raft.RoleChanged(role, leader):
                    logging.info(
                        "%s: %s, leader %s", group.name, role.value, leader.replica_id if leader else "?"
                    )
                    if role is not raft.Role.LEADER:
                        self._fail_waiters(group)
                    self.on_role(group.name)

    @staticmethod
    def _fail_waiters(group: HostedGroup) -> None:
        """The lead is lost: who waits is told at once that the outcome is unknown."""
        waiters, group.waiters = group.waiters, {}
        for waiter in waiters.values():
            if not waiter.outcome.done():
                waiter.outcome.set_exception(FleetError(ErrorKind.OUTCOME_UNKNOWN, group.name))

    @staticmethod
    def _read_ended(group: HostedGroup, number: int, confirmed: bool) -> None:
        outcome = group.reads.get(number)
        if outcome is not None and not outcome.done():
            outcome.set_result(confirmed)

    def _apply(self, group: HostedGroup, entry: pb.LogEntry) -> None:
        waiter = group.waiters.pop(entry.index, None)
        result = None
        if entry.kind == pb.COMMAND:
            result, payload = group.machine.apply(entry.data)
            if payload is not None:
                if len(group.history) == HISTORY:
                    group.history_from = group.history[0][0]
                group.history.append((entry.index, payload))
                self.on_change(group.name, entry.index, payload)
        if waiter is None or waiter.outcome.done():
            return
        if waiter.term == entry.term:
            waiter.outcome.set_result(result)
        else:
            waiter.outcome.set_exception(FleetError(ErrorKind.NO_LEADER, group.name))

    def written(self, name: str, record: raft.Persist) -> None:
        """A record is on the disk."""
        group = self.groups[name]
        self._carry_out(group, record.release)
        self._handle(group, raft.Persisted(record.sequence))

    def _maybe_compact(self, group: HostedGroup) -> None:
        replica = group.replica
        behind = replica.log.applied_index - replica.log.snapshot.index
        heavy = group.log_bytes > max(COMPACT_BYTES, 2 * group.machine.size)
        many = max(COMPACT_ENTRIES, group.machine.size // STATE_BYTES_PER_ENTRY)
        if behind >= many or (heavy and behind > 1):
            group.log_bytes = 0
            self._handle(group, raft.Compact(replica.log.applied_index, group.machine.snapshot()))

    # -- Membership of the groups --------------------------------------------------------------------

    def _plan(self, group: HostedGroup, now: float) -> None:
        if group.replica.role is raft.Role.LEADER:
            membership = group.planner.plan(group.replica, now)
            if membership is not None:
                self._handle(group, raft.ChangeMembership(membership))

    def _maybe_join(self, now: float) -> None:
        if now - self.joined_at < JOIN_S * 1000:
            return
        self.joined_at = now
        outside = [g.name for g in self.groups.values() if g.replica.member(self.replica_id) is None]
        lost = [
            g.name
            for g in self.groups.values()
            if g.replica.leader_silence(now) > 2 * raft.ELECTION_MS[1] and g.name not in outside
        ]
        if outside or lost:
            self.tell_all(pb.Frame(join=pb.JoinRequest(member=self.self_member, groups=outside + lost)))

    def _dial(self, address: str) -> None:
        if address and address != self.settings.rpc_address and address not in self.dialers:
            self.dialers[address] = Dialer(
                address, self.on_frame, self._opened, bind_ip=self.settings.bind_ip
            )

    def _opened(self, _channel) -> None:
        """A channel to another process has opened: who is outside asks at once to be taken in."""
        self.joined_at = float("-inf")
