"""The control plane's operations for workers and the operator, independent of the transport.

Every process accepts every call.  Worker calls are forwarded to the owner of the shard; operator calls are
redirected to it.  The owner of a shard is the leader of its group.  What each response requires:

- reading the configuration: a majority confirms leadership after the call has arrived (`ReplicaHost.read`);
- a configuration change, a heartbeat that changes a record, a deregistration: a majority has committed it
  (`ReplicaHost.propose`), which also decides whether it is refused;
- a heartbeat or deregistration that changes nothing: its content is committed here, and a majority has
  responded within the lease;
- a redirect: the process that it names has confirmed since the call arrived that it leads and can commit;
- a refusal of an unreadable body: nothing, because it does not depend on state.

If the requirement is not met, the response is 503 without further waiting.
"""

import hashlib
import json
from collections.abc import Callable

from absl import logging

from ..errors import ErrorKind, FleetError
from ..faults import FaultPoint, trigger
from ..membership.schedulers import SchedulerMonitor
from ..rpc import molespur_pb2 as pb
from ..rpc.channel import Channel
from ..rpc.peer_calls import PeerCalls
from ..settings import configuration
from ..shards.configuration import PutOutcome
from ..shards.host import ReplicaHost
from ..shards.placement import CONFIGURATION, WORKER_GROUPS, group_of_service
from ..workers.directory import MAX_RECORD_BYTES
from ..workers.liveness import WorkerLiveness
from .methods import IS_LEADER, LIST_SCHEDULERS, PUT_WORKER, READ_INDEX, REMOVE_WORKER

WORKER_STATES = {"ready": pb.READY, "draining": pb.DRAINING}
OK = 200
REDIRECT_S = 0.25  # timeout of the IS_LEADER call that precedes a redirect


class ControlCalls:
    """Serves the calls from the replicas that this process hosts."""

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
        """Process a heartbeat; return the control address of the shard's owner.  Raises FleetError."""
        name = group_of_service(worker.service)
        return await self._call_owner(name, PUT_WORKER, worker)

    async def remove(self, worker_id: str) -> None:
        """Deregister a worker.  Raises FleetError."""
        names = [n for n in WORKER_GROUPS if worker_id in self.host.groups[n].state_machine.workers]
        worker = pb.Worker(id=worker_id, state=pb.GONE, deregistered=True)
        for name in names or WORKER_GROUPS:
            await self._call_owner(name, REMOVE_WORKER, worker)

    async def _call_owner(self, name: str, method: str, worker: pb.Worker) -> str:
        if self.host.is_leader(name):
            await self._apply_as_owner(name, method, worker)
            return self.host.local_member.control_address
        leader = self.host.leader(name)
        if leader is None:
            raise FleetError(ErrorKind.NO_LEADER, name)
        reply = await self.peers.call(leader.rpc_address, method, name, worker.SerializeToString())
        if reply.status != OK:
            raise FleetError(ErrorKind.OUTCOME_UNKNOWN, name)
        return leader.control_address

    async def _apply_as_owner(self, name: str, method: str, worker: pb.Worker) -> None:
        """Carry out a worker call as the owner of the shard.  Raises FleetError."""
        if not self.host.has_lease(name):
            raise FleetError(ErrorKind.NO_LEADER, name)
        if method == REMOVE_WORKER:
            directory = self.host.groups[name].state_machine
            if worker.id in directory.workers or worker.id not in directory.removed:
                await self.host.propose(name, pb.WorkerCommand(workers=[worker]).SerializeToString())
            return
        if worker.ByteSize() > MAX_RECORD_BYTES:
            raise FleetError(ErrorKind.BODY_TOO_LARGE, f"record of more than {MAX_RECORD_BYTES} bytes")
        if not self.host.groups[name].state_machine.has_room_for(worker):
            raise FleetError(ErrorKind.NO_MEMORY, "too many workers are registered")
        liveness = self.liveness[name]
        changed = liveness.heartbeat(self.clock(), worker)
        if changed is not None:
            await self.host.propose(name, pb.WorkerCommand(workers=[changed]).SerializeToString())
            liveness.committed(changed)

    async def reply_to(self, channel: Channel, call: pb.Call) -> None:
        """Carry out an RPC call of a peer or of the operator's client, and send the reply."""
        reply = pb.Reply(id=call.id, status=OK)
        try:
            reply.body = await self._dispatch(call)
        except FleetError as error:
            reply.status = error.response.status
        channel.send(pb.Frame(reply=reply))

    async def _dispatch(self, call: pb.Call) -> bytes:
        """Carry out a call; return the body of its reply.  Raises FleetError."""
        if call.method == LIST_SCHEDULERS:
            return self._known_schedulers().SerializeToString()
        if call.subject not in self.host.groups:
            raise FleetError(ErrorKind.MALFORMED, call.subject)
        if not self.host.is_leader(call.subject):
            raise FleetError(ErrorKind.NO_LEADER, call.subject)
        if call.method == IS_LEADER:
            self._check_in_touch(call.subject)
            return b""
        if call.method == READ_INDEX:
            index = await self._confirmed_index(call.subject)
            return pb.Offset(group=call.subject, index=index).SerializeToString()
        if call.method in (PUT_WORKER, REMOVE_WORKER) and call.subject in WORKER_GROUPS:
            await self._apply_as_owner(call.subject, call.method, pb.Worker.FromString(call.body))
            return b""
        raise FleetError(ErrorKind.MALFORMED, call.method)

    def _known_schedulers(self) -> pb.SchedulerList:
        """The schedulers that this process knows, each with its configuration version."""
        known = pb.SchedulerList(schedulers=self.schedulers.recent_schedulers(self.clock()))
        known.configuration_version = self.host.groups[CONFIGURATION].state_machine.version
        return known

    async def read_barrier(self, name: str) -> int:
        """A log index of a group that covers all that was acknowledged before this call.

        Raises FleetError if no leader confirms an index.
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
        """This process has become the leader of a group."""
        if name in self.liveness:
            self.liveness[name].reset(self.clock())

    async def check_heartbeats(self) -> None:
        """Propose the record changes for overdue workers, in the shards that this process owns."""
        for name in WORKER_GROUPS:
            if not self.host.has_lease(name):
                self.liveness[name].suspend()
                continue
            overdue = self.liveness[name].find_overdue(self.clock())
            if not overdue:
                continue
            logging.info(
                "%s: workers without heartbeats: %s", name, ", ".join(worker.id for worker in overdue)
            )
            try:
                await self.host.propose(name, pb.WorkerCommand(workers=overdue).SerializeToString())
            except FleetError as error:
                logging.warning("%s: overdue workers not recorded: %s", name, error)

    # -- Operator ---------------------------------------------------------------------------------

    async def put_configuration(self, body: bytes, base_version: int) -> None:
        """Put a configuration in force; this process must own the configuration shard.  Raises FleetError."""
        version = configuration.parse_change(
            body
        ).version  # nothing else is kept while the change is committed
        digest = hashlib.sha256(b"%d\n" % base_version + body).digest()[:16]
        machine = self.host.groups[CONFIGURATION].state_machine
        command = pb.PutConfiguration(version=version, base_version=base_version, digest=digest, body=body)
        trigger(FaultPoint.BEFORE_PROPOSAL)
        outcome = await self.host.propose(CONFIGURATION, command.SerializeToString())
        trigger(FaultPoint.BEFORE_ACKNOWLEDGEMENT)
        if outcome is PutOutcome.MISMATCH:
            raise FleetError(ErrorKind.VERSION_MISMATCH, f"current version is {machine.version}")
        if outcome is PutOutcome.NOT_NEWER:
            raise FleetError(ErrorKind.INVALID_CONFIGURATION, f"Version: not above {machine.version}")

    async def configuration(self) -> bytes | None:
        """The newest configuration, None before the first.  Raises FleetError(NO_LEADER) if unconfirmed."""
        machine = await self.host.read(CONFIGURATION)
        return machine.body if machine.version else None

    async def configuration_owner(self) -> str | None:
        """The control address of the owner of the configuration shard, if it is another process.

        That process must first confirm that it leads and can commit: an operator that is redirected to an
        unresponsive process would wait until its own timeout.  Raises FleetError if no process confirms.
        """
        if self.host.is_leader(CONFIGURATION):
            return None
        leader = self.host.leader(CONFIGURATION)
        if leader is None:
            raise FleetError(ErrorKind.NO_LEADER, CONFIGURATION)
        reply = await self.peers.call(leader.rpc_address, IS_LEADER, CONFIGURATION, timeout_s=REDIRECT_S)
        if reply.status != OK:
            raise FleetError(ErrorKind.NO_LEADER, CONFIGURATION)
        return leader.control_address

    def _check_in_touch(self, name: str) -> None:
        """Raises FleetError(NO_LEADER) if this process can't commit in a group."""
        if not self.host.has_quorum_contact(name):
            raise FleetError(ErrorKind.NO_LEADER, name)


def worker_from_registration(worker_id: str, body: bytes) -> pb.Worker:
    """Parse the body of a worker's heartbeat.  Raises FleetError(UNREADABLE)."""
    try:
        raw = json.loads(body)
        return pb.Worker(
            id=worker_id,
            service=raw["Service"],
            address=raw["Address"],
            zone=raw["Zone"],
            software_version=str(raw.get("Version", "")),
            capacity=max(int(raw.get("Capacity", 1)), 1),
            state=WORKER_STATES[raw["State"]],
            phase=raw.get("Phase") or "",
            sequence=int(raw.get("Sequence", 0)),
            models=json.dumps(raw.get("Models") or [], separators=(",", ":")),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise FleetError(ErrorKind.UNREADABLE, f"{type(error).__name__}: {error}") from error
