"""The replicas that a control-plane process hosts: executes the actions of the replicas, which do no I/O.

Each process hosts one replica of every group.  Each group has its own leader and its own log.
"""

import asyncio
import secrets
from collections.abc import Callable, Iterable
from itertools import count
from random import Random

from absl import logging

from ..consensus import replica as raft
from ..errors import ErrorKind, FleetError
from ..rpc import molespur_pb2 as pb
from ..rpc.channel import Dialer
from ..storage.store import Store, bootstrap_identity, new_identity
from .group import HostedGroup
from .history import ChangeHistory
from .leaving import GracefulLeave
from .membership import MembershipCoordinator
from .membership_changes import MembershipPlanner

TICK_INTERVAL_S = 0.05
INSTANCE_ID_BITS = 63
REQUEST_TIMEOUT_S = 0.85  # for proposals and reads; less than the 1 s after which callers give up


class ReplicaHost:
    """All groups of this process, their store, and the channels to other control-plane processes."""

    def __init__(
        self,
        settings,
        store: Store,
        state_machines: dict[str, object],
        clock: Callable[[], float],
        random: Random,
    ):
        self.settings, self.store, self.clock = settings, store, clock
        self.writer = None
        self.dialers: dict[str, Dialer] = {}
        self.on_change: Callable[[str, int, bytes], None] = lambda *_: None
        self.on_restore: Callable[[str], None] = lambda *_: None
        self.on_role_change: Callable[[str], None] = lambda *_: None
        self.on_frame: Callable = lambda *_: None
        self.replica_id = self._load_or_create_identity(state_machines)
        self.local_member = pb.Member(
            replica_id=self.replica_id,
            rpc_address=settings.rpc_address,
            control_address=settings.listen.get("ControlPlane", ""),
            zone=settings.zone,
        )
        self._instance_id = secrets.randbits(INSTANCE_ID_BITS) | 1
        self.groups = {
            name: self._load_group(name, state_machine, random)
            for name, state_machine in state_machines.items()
        }
        self.membership = MembershipCoordinator(self, clock)
        self.leaving = GracefulLeave(self, clock, settings.bounds.grace_period_s)
        self._read_numbers = count(1)

    # -- Start ---------------------------------------------------------------------------------

    def _load_or_create_identity(self, groups: Iterable[str]) -> str:
        """Return the identity of this disk; an empty disk gets a new one.

        On the first start of a new system the initial membership is written as well.
        """
        existing = self.store.identity()
        if existing is not None:
            return existing
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
        initial = raft.Snapshot(1, 1, membership, b"")
        self.store.write([(name, raft.Persist(raft.HardState(1, ""), snapshot=initial)) for name in groups])
        self.store.set_identity(replica_id)
        return replica_id

    def _load_group(self, name: str, state_machine, random: Random) -> HostedGroup:
        loaded = self.store.load(name)
        if loaded.snapshot.state:
            state_machine.restore(loaded.snapshot.state)
        replica = raft.Replica(
            name,
            self.replica_id,
            random,
            loaded.hard_state,
            loaded.snapshot,
            loaded.entries,
            self.clock(),
            self._instance_id,
        )
        target_voters = 2 * max(self.settings.fault_tolerance.nodes, 1) + 1
        history = ChangeHistory(loaded.snapshot.index)
        return HostedGroup(name, replica, state_machine, MembershipPlanner(target_voters), history)

    async def run(self) -> None:
        """Tick until cancelled."""
        for address in self.settings.seed_rpc_addresses():
            self.dial(address)
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def set_writer(self, writer) -> None:
        """Use this writer for all records from now on."""
        self.writer = writer

    def tick(self) -> None:
        """Run the periodic work of every group."""
        now = self.clock()
        for group in self.groups.values():
            self.handle(group, raft.Tick())
            self.membership.plan(group, now)
            group.log_lag(now)
        self.membership.request_join(now)

    def reseed(self, settings) -> None:
        """Connect to the seed nodes of changed settings."""
        for address in settings.seed_rpc_addresses():
            self.dial(address)

    async def stop(self) -> None:
        """Hand over leadership and votes, then stop the writer."""
        await self.leaving.run()
        if self.writer is not None:
            self.writer.stop()

    def transfer_leadership(self, group: HostedGroup) -> None:
        """Transfer the leadership of a group to another replica."""
        self.handle(group, raft.TransferLeadership())

    def broadcast(self, frame: pb.Frame) -> None:
        """Send a frame to all other known control-plane processes."""
        for dialer in self.dialers.values():
            dialer.send(frame)

    # -- Requests ------------------------------------------------------------------------------

    def is_leader(self, group: str) -> bool:
        """Return whether the replica of this process considers itself the leader of the group."""
        return self.groups[group].replica.role is raft.Role.LEADER

    def has_lease(self, group: str) -> bool:
        """Return whether this process leads the group and a majority has followed it recently."""
        return self.groups[group].replica.has_lease(self.clock())

    def has_quorum_contact(self, group: str) -> bool:
        """Return whether this process leads the group and has had contact with a majority recently."""
        return self.groups[group].replica.has_quorum_contact(self.clock())

    def leader(self, group: str) -> pb.Member | None:
        """Return the leader of the group; None if there was no contact with a leader recently."""
        replica = self.groups[group].replica
        if (
            replica.role is not raft.Role.LEADER
            and replica.ms_since_leader_contact(self.clock()) > raft.MIN_ELECTION_TIMEOUT_MS
        ):
            return None
        return replica.member(replica.leader_id)

    def state_age_ms(self, name: str | None = None) -> float:
        """Return how long ago a write may have been acknowledged that the local state of a group lacks.

        Without a name, the highest age of all groups; `inf` if the age is unknown.
        """
        now = self.clock()
        groups = self.groups.values() if name is None else [self.groups[name]]
        return max(group.replica.state_age_ms(now) for group in groups)

    def members(self) -> list[pb.Member]:
        """Return the members of the configuration group."""
        return list(next(iter(self.groups.values())).replica.log.membership.members)

    async def propose(self, name: str, data: bytes) -> object:
        """Append a command to the log; return the result of the state machine once it is committed.

        Raises FleetError: NO_LEADER if the command was not accepted, OUTCOME_UNKNOWN if it may still be
        committed.
        """
        group = self.groups[name]
        if not group.replica.has_quorum_contact(self.clock()):
            raise FleetError(ErrorKind.NO_LEADER, name)
        outcome = asyncio.get_running_loop().create_future()
        actions = group.replica.handle(self.clock(), raft.Propose(data))
        for action in actions:
            if isinstance(action, raft.Proposed):
                group.add_pending_proposal(action, outcome)
            elif isinstance(action, raft.NotLeader):
                outcome.set_exception(FleetError(ErrorKind.NO_LEADER, name))
        self._execute(group, actions)
        try:
            return await asyncio.wait_for(outcome, REQUEST_TIMEOUT_S)
        except TimeoutError as error:
            raise FleetError(ErrorKind.OUTCOME_UNKNOWN, name) from error

    async def read(self, name: str) -> object:
        """Return the state machine of a group once it has every write that was acknowledged before this call.

        Raises FleetError(NO_LEADER) if this process cannot confirm that.
        """
        group = self.groups[name]
        number = next(self._read_numbers)
        outcome = group.pending_reads[number] = asyncio.get_running_loop().create_future()
        self.handle(group, raft.Read(number))
        try:
            confirmed = await asyncio.wait_for(outcome, REQUEST_TIMEOUT_S)
        except TimeoutError:
            confirmed = False
        finally:
            del group.pending_reads[number]
        if not confirmed:
            raise FleetError(ErrorKind.NO_LEADER, name)
        return group.state_machine

    def receive(self, message: pb.ConsensusMessage) -> None:
        """Handle a message from another replica if it is addressed to the identity of this disk."""
        dialer = self.dialers.get(message.sender.partition("#")[0])
        if dialer is not None:
            dialer.notify_peer_alive()
        group = self.groups.get(message.group)
        if group is None:
            return
        if message.receiver == self.replica_id:
            self.handle(group, raft.Received(message))
        elif group.replica.role is raft.Role.NON_MEMBER:
            # addressed to a previous disk at this address: its sender can admit this replica
            self.dial(message.sender.partition("#")[0])

    # -- Actions -----------------------------------------------------------------------------------

    def handle(self, group: HostedGroup, event: raft.Event) -> None:
        """Pass an event to the replica of a group and execute the resulting actions."""
        self._execute(group, group.replica.handle(self.clock(), event))

    def _execute(self, group: HostedGroup, actions: list[raft.Action]) -> None:
        for action in actions:
            match action:
                case raft.Send(member, message):
                    self.dial(member.rpc_address)
                    dialer = self.dialers.get(member.rpc_address)
                    if dialer is not None:
                        dialer.send(pb.Frame(consensus=message))
                case raft.Persist():
                    self.writer.write(group.name, action)
                case raft.Apply(entry):
                    group.apply(entry, self.on_change)
                case raft.Restore(snapshot):
                    group.restore(snapshot)
                    self.on_restore(group.name)
                case raft.ReadConfirmed(number):
                    group.resolve_read(number, True)
                case raft.ReadRefused(number):
                    group.resolve_read(number, False)
                case raft.RoleChanged(role, leader):
                    logging.info(
                        "%s: role %s, leader %s",
                        group.name,
                        role.value,
                        leader.replica_id if leader else "unknown",
                    )
                    if role is not raft.Role.LEADER:
                        group.fail_pending_proposals()
                    self.on_role_change(group.name)
        compaction = group.take_compaction()
        if compaction is not None:  # after all other actions: their records are written before it
            self.handle(group, compaction)

    def handle_written(self, name: str, record: raft.Persist) -> None:
        """Continue after a record was written to disk."""
        group = self.groups[name]
        self._execute(group, record.send_after_sync)
        self.handle(group, raft.Persisted(record.sequence))

    def dial(self, address: str) -> None:
        """Open a channel to another control-plane process and keep it open."""
        if address and address != self.settings.rpc_address and address not in self.dialers:
            self.dialers[address] = Dialer(
                address, self.on_frame, self._handle_channel_opened, bind_ip=self.settings.bind_ip
            )

    def _handle_channel_opened(self, _channel) -> None:
        """Allow a join request at once, if one is needed, now that another process is reachable."""
        self.membership.reset_join_interval()
