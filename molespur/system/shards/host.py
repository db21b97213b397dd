"""The replicas that a control-plane process hosts: carries out what the pure replicas ask for.

One process hosts a replica of every group.  Each group has a leader of its own; no log spans two groups.
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
from .leaving import Leaving
from .membership import Membership
from .membership_changes import MembershipPlanner

TICK_S = 0.05
LIFE_BITS = 63
PROPOSAL_S = 0.85  # callers move on after a second


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
        self.on_role_change: Callable[[str], None] = lambda *_: None
        self.on_frame: Callable = lambda *_: None
        self.replica_id = self._identity(machines)
        self.local_member = pb.Member(
            replica_id=self.replica_id,
            rpc_address=settings.rpc_address,
            control_address=settings.listen.get("ControlPlane", ""),
            zone=settings.zone,
        )
        self._life = secrets.randbits(LIFE_BITS) | 1
        self.groups = {name: self._open(name, machine, random) for name, machine in machines.items()}
        self.membership = Membership(self, clock)
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
        history = ChangeHistory(loaded.snapshot.index)
        return HostedGroup(name, replica, machine, MembershipPlanner(voters), history)

    async def run(self) -> None:
        """Tick until cancelled."""
        for address in self.settings.seed_rpc_addresses():
            self.dial(address)
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def set_writer(self, writer) -> None:
        """Write to the disk with this writer from now on."""
        self.writer = writer

    def tick(self) -> None:
        """What is due now, in every group."""
        now = self.clock()
        for group in self.groups.values():
            self.handle(group, raft.Tick())
            self.membership.plan(group, now)
            group.log_lag(now)
        self.membership.maybe_join(now)

    def reseed(self, settings) -> None:
        """Other seeds are known from now on."""
        for address in settings.seed_rpc_addresses():
            self.dial(address)

    async def stop(self) -> None:
        """Pass leads and votes on, then write no more."""
        await self.leaving.run()
        if self.writer is not None:
            self.writer.stop()

    def transfer_lead(self, group: HostedGroup) -> None:
        """Hand the lead of a group over."""
        self.handle(group, raft.TransferLeadership())

    def broadcast(self, frame: pb.Frame) -> None:
        """Send a frame to every other control-plane process that is known."""
        for dialer in self.dialers.values():
            dialer.send(frame)

    # -- What others ask ---------------------------------------------------------------------------

    def is_leader(self, group: str) -> bool:
        """Whether this process owns the group now."""
        return self.groups[group].replica.role is raft.Role.LEADER

    def has_lease(self, group: str) -> bool:
        """Whether this process leads the group and a majority has followed it lately."""
        return self.groups[group].replica.has_lease(self.clock())

    def has_quorum_contact(self, group: str) -> bool:
        """Whether this process leads the group and can still commit: what it is asked is worth proposing."""
        return self.groups[group].replica.has_quorum_contact(self.clock())

    def leader(self, group: str) -> pb.Member | None:
        """The group's leader, as far as known."""
        replica = self.groups[group].replica
        if (
            replica.role is not raft.Role.LEADER
            and replica.ms_since_leader_contact(self.clock()) > raft.MIN_ELECTION_TIMEOUT_MS
        ):
            return None
        return replica.member(replica.leader_id)

    def state_age_ms(self, name: str | None = None) -> float:
        """Time since which something may have been acknowledged that a group's state here lacks.

        Of the oldest group where none is named; `inf` where nothing is certain.
        """
        now = self.clock()
        groups = self.groups.values() if name is None else [self.groups[name]]
        return max(group.replica.state_age_ms(now) for group in groups)

    def members(self) -> list[pb.Member]:
        """The members of the configuration's group."""
        return list(next(iter(self.groups.values())).replica.log.membership.members)

    async def propose(self, name: str, data: bytes) -> object:
        """Put a command into the log; return what the state machine said once it is committed.

        Raises FleetError: NO_LEADER when it was not taken, OUTCOME_UNKNOWN when it may be.
        """
        group = self.groups[name]
        if not group.replica.has_quorum_contact(self.clock()):
            raise FleetError(ErrorKind.NO_LEADER, name)
        outcome = asyncio.get_running_loop().create_future()
        actions = group.replica.handle(self.clock(), raft.Propose(data))
        for action in actions:
            if isinstance(action, raft.Proposed):
                group.proposed(action, outcome)
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
        self.handle(group, raft.Read(number))
        try:
            confirmed = await asyncio.wait_for(outcome, PROPOSAL_S)
        except TimeoutError:
            confirmed = False
        finally:
            del group.reads[number]
        if not confirmed:
            raise FleetError(ErrorKind.NO_LEADER, name)
        return group.state_machine

    def receive(self, message: pb.ConsensusMessage) -> None:
        """Take a message of another replica, if it is for the identity of this disk."""
        dialer = self.dialers.get(message.sender.partition("#")[0])
        if dialer is not None:
            dialer.peer_alive()
        group = self.groups.get(message.group)
        if group is None:
            return
        if message.receiver == self.replica_id:
            self.handle(group, raft.Received(message))
        elif group.replica.role is raft.Role.NON_MEMBER:
            # meant for a disk that was here before: its sender can take this replica in
            self.dial(message.sender.partition("#")[0])

    # -- Actions -----------------------------------------------------------------------------------

    def handle(self, group: HostedGroup, event: raft.Event) -> None:
        """Give one event to a group's replica, and carry out what it calls for."""
        self._carry_out(group, group.replica.handle(self.clock(), event))

    def _carry_out(self, group: HostedGroup, actions: list[raft.Action]) -> None:
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
                    group.read_ended(number, True)
                case raft.ReadRefused(number):
                    group.read_ended(number, False)
                case raft.RoleChanged(role, leader):
                    logging.info(
                        "%s: %s, leader %s", group.name, role.value, leader.replica_id if leader else "?"
                    )
                    if role is not raft.Role.LEADER:
                        group.fail_waiters()
                    self.on_role_change(group.name)
        compaction = group.take_compaction()
        if compaction is not None:  # after all other actions, whose records come before it
            self.handle(group, compaction)

    def handle_written(self, name: str, record: raft.Persist) -> None:
        """A record is on the disk."""
        group = self.groups[name]
        self._carry_out(group, record.send_after_sync)
        self.handle(group, raft.Persisted(record.sequence))

    def dial(self, address: str) -> None:
        """Keep a channel to another control-plane process from now on."""
        if address and address != self.settings.rpc_address and address not in self.dialers:
            self.dialers[address] = Dialer(
                address, self.on_frame, self._opened, bind_ip=self.settings.bind_ip
            )

    def _opened(self, _channel) -> None:
        """A channel to another process has opened: who is outside asks at once to be taken in."""
        self.membership.join_soon()
