"""Gives orders to workers: a singleton role, which the owner of a service's shard has.

The fencing token is the term of the shard's group: two owners never share one, and a later owner has a higher
one.  A new owner waits a lease before its first order, so that holders don't take turns.  A worker that
refuses a token since it has seen a higher one gets no order with that token again.  An order names how many
the worker should have taken before it (`IfRevision`), where that is known; a worker that says otherwise has
taken somebody else's order, and is asked what it does before it gets another one.
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
from ..workers.phases import HYSTERESIS, PREFILL, PhaseOrder, PhasePlanner
from ..workers.revisions import OrderRevisions
from .calls import ControlCalls

ORDER_TIMEOUT_S = 0.8
HANDOVER_MS = 1000.0  # on top of the lease, before a new owner gives orders
TAKEN = (200, 202)
CONFLICT = 409  # another order is under way, or the worker has taken others than was expected
FENCED_OFF = 412  # the worker has seen a higher fencing token
DEFAULT_SWITCH_S = 2.0
REPORTS, REPORT_PAUSE_S = 4, 0.25  # asked of a worker under orders, before its heartbeat is waited for
SPLIT_LOG_MS = 1000.0  # between two lines of the log on a split that is off


class PhaseOrders:
    """The orders of all shards that this process owns."""

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
        self.given: Counter[tuple[str, str]] = Counter()  # (part, status or "no answer")
        self.fenced_off: dict[str, int] = {}  # worker -> the token that it has refused
        self.revisions = OrderRevisions()
        self._split_logged_at = float("-inf")
        self._client = None  # made with the first order: most processes never give one
        self._tasks: set[asyncio.Task] = set()

    def became_owner(self, group: str) -> None:
        """This process has a group's lead."""
        self.owner_since[group] = self.clock()
        self.revisions.forget()
        self.planners = {key: planner for key, planner in self.planners.items() if key[0] != group}

    def look(self, now: float) -> None:
        """Give the orders that are called for now, one a service."""
        for group in WORKER_GROUPS:
            waited = now - self.owner_since.get(group, now)
            if not self.host.has_lease(group) or waited < self.settings.bounds.lease_ms + HANDOVER_MS:
                continue
            # read while the lead is certain: a later term belongs to another owner
            fence = self.host.groups[group].replica.hard_state.term
            services: dict[str, list[pb.Worker]] = {}
            for worker in self.host.groups[group].state_machine.workers.values():
                if worker.phase:
                    services.setdefault(worker.service, []).append(worker)
            for service, workers in services.items():
                planner = self.planners.setdefault((group, service), PhasePlanner())
                load = self.schedulers.load(now, service)
                order = planner.plan(now, workers, load)
                self._log_split(now, service, workers, load, planner)
                if order is not None and self.fenced_off.get(order.worker.id, -1) < fence:
                    task = asyncio.get_running_loop().create_task(self._give(group, order, fence))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)

    def _log_split(
        self, now: float, service: str, workers: list[pb.Worker], load: pb.ServiceLoad, planner: PhasePlanner
    ) -> None:
        """Say now and then that a service has another split of its workers than it should have."""
        if abs(planner.lacking) <= HYSTERESIS or now - self._split_logged_at < SPLIT_LOG_MS:
            return
        self._split_logged_at = now
        ready = [worker for worker in workers if worker.state == pb.READY]
        readers = sum(worker.phase == PREFILL for worker in ready)
        logging.info(
            "%s: %d of %d workers read prompts, %+.1f wanted; %.0f tokens/s to read, %.0f running",
            service,
            readers,
            len(ready),
            planner.lacking,
            load.read_tokens_per_s,
            load.running,
        )

    async def _give(self, group: str, order: PhaseOrder, fence: int) -> None:
        worker = order.worker
        status = await self._post(order, fence)
        self.revisions.order_sent(worker.id)
        if status is None:
            self.given[order.phase, "no answer"] += 1
            return
        logging.info("%s ordered to %s: %d", worker.id, order.phase, status)
        self.given[order.phase, str(status)] += 1
        if status == FENCED_OFF:
            logging.warning("%s has seen a higher token than %d: no more orders with it", worker.id, fence)
            self.fenced_off[worker.id] = fence
        elif status == CONFLICT:
            await self._has_phase(worker, order.phase)
        elif status in TAKEN:
            await self._follow_up(group, order)

    async def _post(self, order: PhaseOrder, fence: int) -> int | None:
        """Send an order; return the status of its answer, None where there is none."""
        import httpx

        worker = order.worker
        body = {
            "Operation": "Phase",
            "Phase": order.phase,
            "Holder": self.settings.node_name,
            "FencingToken": fence,
        }
        expected = self.revisions.expected(worker.id)
        if expected is not None:
            body["IfRevision"] = expected
        if self._client is None:
            self._client = httpx.AsyncClient(timeout=ORDER_TIMEOUT_S, trust_env=False, verify=False)
        try:
            response = await self._client.post(
                f"http://{worker.address}/api/order",
                content=json.dumps(body),
                headers={"Content-Type": "application/json", "Molespur-Expected-Instance": worker.id},
            )
        except httpx.HTTPError as error:
            logging.warning("order to %s: %r", worker.id, error)
            return None
        return response.status_code

    async def _follow_up(self, group: str, order: PhaseOrder) -> None:
        """Note that a worker changes its part, and once it says so that it has."""
        worker, liveness = order.worker, self.calls.liveness[group]
        await self._note(group, liveness.order_given(self.clock(), worker, order.phase))
        await asyncio.sleep(self._switch_s(worker.service))
        for _ in range(REPORTS):
            if await self._has_phase(worker, order.phase):
                changed = liveness.order_done(worker.id)
                if changed is not None:
                    await self._note(group, changed)
                return
            await asyncio.sleep(REPORT_PAUSE_S)

    async def _note(self, group: str, worker: pb.Worker) -> None:
        """Put a worker's record into the shard."""
        try:
            await self.host.propose(group, pb.WorkerCommand(workers=[worker]).SerializeToString())
        except FleetError as error:
            logging.warning("order to %s not noted: %s", worker.id, error)

    def _switch_s(self, service: str) -> float:
        """How long a worker of a service takes to change its part, by the configuration."""
        body = self.host.groups[CONFIGURATION].state_machine.body
        try:
            services = configuration.parse(body).services
        except FleetError:
            return DEFAULT_SWITCH_S
        engines = [s.engine for s in services if s.name == service and s.engine is not None]
        return engines[0].role_switch_s if engines else DEFAULT_SWITCH_S

    async def _has_phase(self, worker: pb.Worker, phase: str) -> bool:
        """Whether a worker says that it has a part and no order under way: its next heartbeat may be late.

        What it says of the orders that it has taken is kept for the next one.
        """
        import httpx

        try:
            response = await self._client.get(f"http://{worker.address}/api/report")
            report = response.json()
            if report.get("Utilization"):
                return False
            if isinstance(report.get("Sequence"), int):
                self.revisions.reported(worker.id, report["Sequence"])
            return report.get("Phase") == phase
        except (httpx.HTTPError, ValueError, AttributeError):
            return False
