"""Orders to workers to change their phase.  Only the owner of a service's shard sends them.

The fencing token is the term of the shard's group: two owners never share a term, and a later owner has a
higher one.  A new owner waits for a lease before its first order, so that the orders of two owners do not
alternate.  A worker that refuses a token because it has seen a higher one gets no more orders with that
token.  Where the number of orders that the worker has accepted before is known, the order carries it
(`IfRevision`).  A worker whose number differs has accepted another process's order; its phase and number are
read before the next order.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Callable

from absl import logging

from ..errors import FleetError
from ..membership.schedulers import SchedulerMonitor
from ..rpc import molespur_pb2 as pb
from ..settings import configuration
from ..settings.process import ProcessSettings
from ..shards.host import ReplicaHost
from ..shards.placement import CONFIGURATION, WORKER_GROUPS
from ..workers.phases import DECODE, HYSTERESIS, PREFILL, PhaseOrder, PhasePlanner, live_workers
from ..workers.revisions import OrderRevisions
from .calls import ControlCalls

ORDER_TIMEOUT_S = 0.8
HANDOVER_MS = 1000.0  # wait of a new owner before its first order, in addition to the lease
ACCEPTED_STATUSES = (200, 202)
CONFLICT = 409  # another order is in progress, or the number of accepted orders differs
STALE_TOKEN = 412  # the worker has seen a higher fencing token
DEFAULT_SWITCH_S = 2.0
MAX_REPORT_POLLS = 4  # polls of a switching worker; after that its heartbeat completes the order
REPORT_POLL_S = 0.25
EXPECTED_INSTANCE = "Molespur-Expected-Instance"
SPLIT_LOG_MS = 1000.0  # min. interval between log lines on a service's split


class PhaseOrders:
    """Sends the orders for all shards that this process owns."""

    def __init__(
        self,
        settings: ProcessSettings,
        host: ReplicaHost,
        calls: ControlCalls,
        schedulers: SchedulerMonitor,
        clock: Callable[[], float],
    ):
        self.settings, self.host, self.calls, self.schedulers = settings, host, calls, schedulers
        self.clock = clock
        self.owner_since: dict[str, float] = {}
        self.planners: dict[tuple[str, str], PhasePlanner] = {}  # by group and service
        self.outcomes: Counter[tuple[str, str]] = Counter()  # (phase, status or "no answer")
        self.refused_tokens: dict[str, int] = {}  # worker id -> the token that it has refused as stale
        self.revisions = OrderRevisions()
        self._split_logged_at: dict[str, float] = {}  # by service
        self._client = None  # created for the first order: most processes never send one
        self._tasks: set[asyncio.Task] = set()

    def became_owner(self, group: str) -> None:
        """This process has become the leader of a group."""
        self.owner_since[group] = self.clock()
        self.revisions.forget()
        self.planners = {key: planner for key, planner in self.planners.items() if key[0] != group}

    def send_due_orders(self, now: float) -> None:
        """Start the orders that are needed now, at most one per service."""
        for group in WORKER_GROUPS:
            waited = now - self.owner_since.get(group, now)
            if not self.host.has_lease(group) or waited < self.settings.bounds.lease_ms + HANDOVER_MS:
                continue
            # read while leadership is certain: a later term belongs to another owner
            token = self.host.groups[group].replica.hard_state.term
            services: dict[str, list[pb.Worker]] = {}
            for worker in self.host.groups[group].state_machine.workers.values():
                if worker.phase:
                    services.setdefault(worker.service, []).append(worker)
            for service, workers in services.items():
                planner = self.planners.setdefault((group, service), PhasePlanner())
                load = self.schedulers.load(now, service)
                order = planner.plan(now, workers, load)
                self._log_split(now, service, workers, load, planner)
                if order is not None and self.refused_tokens.get(order.worker.id, -1) < token:
                    task = asyncio.get_running_loop().create_task(self._execute(group, order, token))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)

    def hold_counts(self) -> Counter[tuple[str, str]]:
        """Checks of the split that planned no order, by service and reason."""
        counts = Counter()
        for (_, service), planner in self.planners.items():
            for hold, count in planner.holds.items():
                counts[service, hold.value] += count
        return counts

    def _log_split(
        self, now: float, service: str, workers: list[pb.Worker], load: pb.ServiceLoad, planner: PhasePlanner
    ) -> None:
        """Log, rate-limited, that the split of a service's workers is off its target."""
        alive = live_workers(workers)
        lacks_decode = bool(alive) and all(worker.phase != DECODE for worker in alive)
        is_off = lacks_decode or abs(planner.prefill_deficit) > HYSTERESIS
        if not is_off or now - self._split_logged_at.get(service, float("-inf")) < SPLIT_LOG_MS:
            return
        self._split_logged_at[service] = now
        logging.info(
            "%s: %d of %d live workers in prefill, deficit %+.1f; "
            "load: %.0f prefill tokens/s, %.0f running; order: %s",
            service,
            sum(worker.phase == PREFILL for worker in alive),
            len(alive),
            planner.prefill_deficit,
            load.read_tokens_per_s,
            load.running,
            "planned" if planner.hold is None else f"held ({planner.hold.value})",
        )

    async def _execute(self, group: str, order: PhaseOrder, token: int) -> None:
        """Send an order and follow it up."""
        worker = order.worker
        self._forget_gone_workers(keep=worker.id)
        status = await self._post(order, token)
        self.revisions.order_sent(worker.id)
        if status is None:
            self.outcomes[order.phase, "no answer"] += 1
            return
        logging.info("order to %s to switch to %s: status %d", worker.id, order.phase, status)
        self.outcomes[order.phase, str(status)] += 1
        if status == STALE_TOKEN:
            logging.warning(
                "%s has seen a higher fencing token than %d: no more orders with it", worker.id, token
            )
            self.refused_tokens[worker.id] = token
        elif status == CONFLICT:
            await self._has_completed(worker, order.phase)
        elif status in ACCEPTED_STATUSES:
            await self._await_completion(group, order)

    def _forget_gone_workers(self, keep: str) -> None:
        """Drop what is known of workers that are not registered any more."""
        groups = (self.host.groups[name] for name in WORKER_GROUPS)
        registered = {keep}.union(*(group.state_machine.workers for group in groups))
        self.refused_tokens = {
            worker_id: token for worker_id, token in self.refused_tokens.items() if worker_id in registered
        }
        self.revisions.retain(registered)

    async def _post(self, order: PhaseOrder, token: int) -> int | None:
        """Send an order; return the status of the response, None without a response."""
        import httpx

        worker = order.worker
        body = {
            "Operation": "Phase",
            "Phase": order.phase,
            "Holder": self.settings.node_name,
            "FencingToken": token,
        }
        expected = self.revisions.expected(worker.id)
        if expected is not None:
            body["IfRevision"] = expected
        if self._client is None:
            self._client = _create_client()
        try:
            response = await self._client.post(
                f"http://{worker.address}/api/order",
                content=json.dumps(body),
                headers={"Content-Type": "application/json", EXPECTED_INSTANCE: worker.id},
            )
        except httpx.HTTPError as error:
            logging.warning("order to %s failed: %r", worker.id, error)
            return None
        return response.status_code

    async def _await_completion(self, group: str, order: PhaseOrder) -> None:
        """Record that a worker is switching its phase, and later that it has completed the switch."""
        worker, liveness = order.worker, self.calls.liveness[group]
        await self._record(group, liveness.order_accepted(self.clock(), worker, order.phase))
        await asyncio.sleep(self._switch_s(worker.service))
        for _ in range(MAX_REPORT_POLLS):
            if await self._has_completed(worker, order.phase):
                changed = liveness.order_completed(worker.id)
                if changed is not None:
                    await self._record(group, changed)
                return
            await asyncio.sleep(REPORT_POLL_S)

    async def _record(self, group: str, worker: pb.Worker) -> None:
        """Commit a worker's record to the shard."""
        try:
            await self.host.propose(group, pb.WorkerCommand(workers=[worker]).SerializeToString())
        except FleetError as error:
            logging.warning("state of %s after an order not recorded: %s", worker.id, error)

    def _switch_s(self, service: str) -> float:
        """The time that a worker of a service needs to change its phase, from the configuration."""
        body = self.host.groups[CONFIGURATION].state_machine.body
        try:
            services = configuration.parse(body).services
        except FleetError:
            return DEFAULT_SWITCH_S
        engines = [s.engine for s in services if s.name == service and s.engine is not None]
        return engines[0].role_switch_s if engines else DEFAULT_SWITCH_S

    async def _has_completed(self, worker: pb.Worker, phase: str) -> bool:
        """Whether a worker reports this phase and no order in progress; its next heartbeat may come later.

        The reported number of accepted orders is kept for the next order.
        """
        import httpx

        try:
            response = await self._client.get(
                f"http://{worker.address}/api/report", headers={EXPECTED_INSTANCE: worker.id}
            )
            report = response.json()
            if report.get("Utilization"):
                return False
            if isinstance(report.get("Sequence"), int):
                self.revisions.reported(worker.id, report["Sequence"])
            return report.get("Phase") == phase
        except (httpx.HTTPError, ValueError, AttributeError):
            return False


def _create_client():
    """An HTTP client that uses a connection for one call only.

    Nothing in a response to an order or in a load report names the call that it answers, so a late second
    response on a kept connection would be read as the response to the next call.
    """
    import httpx

    return httpx.AsyncClient(
        timeout=ORDER_TIMEOUT_S,
        trust_env=False,
        verify=False,
        limits=httpx.Limits(max_keepalive_connections=0),
    )
