"""What workers and the operator ask of the control plane, apart from how it is asked.

Every process takes every call.  Calls about workers are handed to the owner of the shard; calls of the
operator are led there by a redirect.  The contact that each answer needs:

- a configuration that is read: a majority confirms the lead after the call has come (`ReplicaHost.read`);
- a change, a heartbeat that changes something, a goodbye: a majority has committed it
  (`ReplicaHost.propose`), which also decides whether it is refused;
- a heartbeat or goodbye that changes nothing: what it says is committed here, and a majority has answered
  within the lease;
- a redirect: the process that it names has said since the call came that it leads and is in touch;
- a refusal of a body that can't be read: none, since no state has a part in it.

Without that contact the answer is 503 at once.
"""

import hashlib
import json
from collections.abc import Callable

from absl import logging

from ..errors import ErrorKind, FleetError
from ..faults import FaultPoint, strike
from ..membership.schedulers import SchedulerMonitor
from ..rpc import molespur_pb2 as pb
from ..rpc.channel import Channel
from ..rpc.peer_calls import PeerCalls
from ..settings import configuration
from ..shards.configuration import PutOutcome
from ..shards.host import ReplicaHost
from ..shards.placement import CONFIGURATION, WORKER_GROUPS, group_of_service
from ..workers.liveness import WorkerLiveness
from .methods import LEADS, PUT_WORKER, READ_INDEX, REMOVE_WORKER, SCHEDULERS

STATES = {"ready": pb.READY, "draining": pb.DRAINING}
OK = 200
REDIRECT_S = 0.25  # a leader that has not said by then that it leads is not named to the operator


class ControlCalls:
    """The calls, on top of the replicas that this process hosts."""

    def __init__(
        self,
        host: ReplicaHost,
        peers: PeerCalls,
        clock: Callable[[], float],
        interval_ms: float,
        schedulers: SchedulerMonitor,
    ):
        self.host, self.peers, self.clock, self.schedulers = host, peers, clock, schedulers
        self.liveness = {
            name: WorkerLiveness(host.groups[name].state_machine, interval_ms) for name in WORKER_GROUPS
        }

    # -- Workers -----------------------------------------------------------------------------------

    async def heartbeat(self, worker: pb.Worker) -> str:
        """Take a heartbeat; return the owner's control address.  Raises FleetError."""
        name = group_of_service(worker.service)
        return await self._at_owner(name, PUT_WORKER, worker)

    async def remove(self, worker_id: str) -> None:
        """Take a goodbye.  Raises FleetError."""
        names = [n for n in WORKER_GROUPS if worker_id in self.host.groups[n].state_machine.workers]
        worker = pb.Worker(id=worker_id, state=pb.GONE, deregistered=True)
        for name in names or WORKER_GROUPS:
            await self._at_owner(name, REMOVE_WORKER, worker)

    async def _at_owner(self, name: str, method: str, worker: pb.Worker) -> str:
        if self.host.is_leader(name):
            await self._own(name, method, worker)
            return self.host.local_member.control_address
        leader = self.host.leader(name)
        if leader is None:
            raise FleetError(ErrorKind.NO_LEADER, name)
        reply = await self.peers.call(leader.rpc_address, method, name, worker.SerializeToString())
        if reply.status != OK:
            raise FleetError(ErrorKind.OUTCOME_UNKNOWN, name)
        return leader.control_address

    async def _own(self, name: str, method: str, worker: pb.Worker) -> None:
        """The owner's part of a call."""
        if not self.host.has_lease(name):
            raise FleetError(ErrorKind.NO_LEADER, name)
        if method == REMOVE_WORKER:
            directory = self.host.groups[name].state_machine
            if worker.id in directory.workers or worker.id not in directory.removed:
                await self.host.propose(name, pb.WorkerCommand(workers=[worker]).SerializeToString())
            return
        liveness = self.liveness[name]
        changed = liveness.heartbeat(self.clock(), worker)
        if changed is not None:
            await self.host.propose(name, pb.WorkerCommand(workers=[changed]).SerializeToString())
            liveness.committed(changed)

    async def answer(self, channel: Channel, call: pb.Call) -> None:
        """Carry out a call that another process, or the operators' command, has handed over."""
        reply = pb.Reply(id=call.id, status=OK)
        try:
            reply.body = await self._carry_out(call)
        except FleetError as error:
            reply.status = error.answer.status
        channel.send(pb.Frame(reply=reply))

    async def _carry_out(self, call: pb.Call) -> bytes:
        """The body of the reply to a call.  Raises FleetError."""
        if call.method == SCHEDULERS:
            return self._known_schedulers().SerializeToString()
        if call.subject not in self.host.groups:
            raise FleetError(ErrorKind.MALFORMED, call.subject)
        if not self.host.is_leader(call.subject):
            raise FleetError(ErrorKind.NO_LEADER, call.subject)
        if call.method == LEADS:
            self._must_be_in_touch(call.subject)
            return b""
        if call.method == READ_INDEX:
            index = await self._confirmed_index(call.subject)
            return pb.Offset(group=call.subject, index=index).SerializeToString()
        if call.method in (PUT_WORKER, REMOVE_WORKER) and call.subject in WORKER_GROUPS:
            await self._own(call.subject, call.method, pb.Worker.FromString(call.body))
            return b""
        raise FleetError(ErrorKind.MALFORMED, call.method)

    def _known_schedulers(self) -> pb.SchedulerList:
        """Which schedulers this process knows of, and what configuration each one has."""
        known = pb.SchedulerList(schedulers=self.schedulers.heard_lately(self.clock()))
        known.configuration_version = self.host.groups[CONFIGURATION].state_machine.version
        return known

    async def read_barrier(self, name: str) -> int:
        """An index of a group's log: whoever has applied it knows all that was acknowledged before this call.

        Raises FleetError where no leader confirms it.
        """
        if self.host.is_leader(name):
            return await self._confirmed_index(name)
        leader = self.host.leader(name)
        if leader is None:
            raise FleetError(ErrorKind.NO_LEADER, name)
        reply = await self.peers.call(leader.rpc_address, READ_INDEX, name)
        if reply.status != OK:
            raise FleetError(ErrorKind.NO_LEADER, name)
        return pb.Offset.FromString(reply.body).index

    async def _confirmed_index(self, name: str) -> int:
        await self.host.read(name)
        return self.host.groups[name].replica.log.applied_index

    def became_owner(self, name: str) -> None:
        """This process has a group's lead."""
        if name in self.liveness:
            self.liveness[name].begin(self.clock())

    async def look_for_silence(self) -> None:
        """Propose what follows from missing heartbeats, in the shards that this process owns."""
        for name in WORKER_GROUPS:
            if not self.host.has_lease(name):
                self.liveness[name].rest()
                continue
            overdue = self.liveness[name].overdue(self.clock())
            if not overdue:
                continue
            logging.info("%s: silent: %s", name, ", ".join(worker.id for worker in overdue))
            try:
                await self.host.propose(name, pb.WorkerCommand(workers=overdue).SerializeToString())
            except FleetError as error:
                logging.warning("%s: silence not noted: %s", name, error)

    # -- The operator ------------------------------------------------------------------------------

    async def put_configuration(self, body: bytes, base_version: int) -> None:
        """Put a configuration in force, at the owner of its shard.  Raises FleetError."""
        parsed = configuration.parse(body)
        digest = hashlib.sha256(b"%d\n" % base_version + body).digest()[:16]
        machine = self.host.groups[CONFIGURATION].state_machine
        command = pb.PutConfiguration(
            version=parsed.version, base_version=base_version, digest=digest, body=body
        )
        strike(FaultPoint.BEFORE_PROPOSAL)
        outcome = await self.host.propose(CONFIGURATION, command.SerializeToString())
        strike(FaultPoint.BEFORE_ACKNOWLEDGEMENT)
        if outcome is PutOutcome.MISMATCH:
            raise FleetError(ErrorKind.VERSION_MISMATCH, f"current version is {machine.version}")
        if outcome is PutOutcome.NOT_NEWER:
            raise FleetError(ErrorKind.INVALID_CONFIGURATION, f"Version: not above {machine.version}")

    async def configuration(self) -> bytes | None:
        """The newest configuration, None before the first.  Raises FleetError(NO_LEADER) when unsure."""
        machine = await self.host.read(CONFIGURATION)
        return machine.body if machine.version else None

    async def configuration_owner(self) -> str | None:
        """Control address of the owner of the configuration's shard, if it is another process.

        It has just said itself that it can commit: an operator that is led to a process that does not answer
        would wait there until its own time-out.  Raises FleetError where no process says so.
        """
        if self.host.is_leader(CONFIGURATION):
            return None
        leader = self.host.leader(CONFIGURATION)
        if leader is None:
            raise FleetError(ErrorKind.NO_LEADER, CONFIGURATION)
        reply = await self.peers.call(leader.rpc_address, LEADS, CONFIGURATION, answer_s=REDIRECT_S)
        if reply.status != OK:
            raise FleetError(ErrorKind.NO_LEADER, CONFIGURATION)
        return leader.control_address

    def _must_be_in_touch(self, name: str) -> None:
        """Raises FleetError(NO_LEADER) where this process can commit nothing in a group."""
        if not self.host.has_quorum_contact(name):
            raise FleetError(ErrorKind.NO_LEADER, name)


def worker_from_registration(worker_id: str, body: bytes) -> pb.Worker:
    """A worker from the body of its heartbeat.  Raises FleetError(UNREADABLE)."""
    try:
        raw = json.loads(body)
        return pb.Worker(
            id=worker_id,
            service=raw["Service"],
            address=raw["Address"],
            zone=raw["Zone"],
            software_version=str(raw.get("Version", "")),
            capacity=max(int(raw.get("Capacity", 1)), 1),
            state=STATES[raw["State"]],
            phase=raw.get("Phase") or "",
            sequence=int(raw.get("Sequence", 0)),
            models=json.dumps(raw.get("Models") or [], separators=(",", ":")),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise FleetError(ErrorKind.UNREADABLE, f"{type(error).__name__}: {error}") from error
