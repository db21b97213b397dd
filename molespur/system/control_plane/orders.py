"""Gives orders to workers: a singleton role, which the owner of a service's shard has.

The fencing token is the term of the shard's group: two owners never share one, and a later owner has a higher
one.  A new owner waits a lease before its first order, so that holders don't take turns.
"""

import asyncio
import json
from collections.abc import Callable

from absl import logging

from ..errors import FleetError
from ..membership.schedulers import SchedulerMonitor
from ..rpc import molespur_pb2 as pb
from ..settings.process import ProcessSettings
from ..shards.host import ReplicaHost
from ..shards.placement import WORKER_GROUPS
from ..workers.phases import PhaseOrder, PhasePlanner
from .calls import ControlCalls

ORDER_TIMEOUT_S = 0.8
HANDOVER_MS = 1000.0  # on top of the lease, before a new owner gives orders
TAKEN = (200, 202)


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
        self.planners: dict[str, PhasePlanner] = {}
        self._client = None  # made with the first order: most processes never give one
        self._tasks: set[asyncio.Task] = set()

    def became_owner(self, group: str) -> None:
        """This process has a group's lead."""
        self.owner_since[group] = self.clock()
        self.planners = {}

    def look(self, now: float) -> None:
        """Give the orders that are called for now, one a service."""
        for group in WORKER_GROUPS:
            waited = now - self.owner_since.get(group, now)
            if not self.host.has_lease(group) or waited < self.settings.bounds.lease_ms + HANDOVER_MS:
                continue
            services: dict[str, list[pb.Worker]] = {}
            for worker in self.host.groups[group].machine.workers.values():
                if worker.phase:
                    services.setdefault(worker.service, []).append(worker)
            for service, workers in services.items():
                planner = self.planners.setdefault(service, PhasePlanner())
                order = planner.plan(now, workers, self.schedulers.load(now, service))
                if order is not None:
                    task = asyncio.get_running_loop().create_task(self._give(group, order))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)

    async def _give(self, group: str, order: PhaseOrder) -> None:
        worker = order.worker
        body = {
            "Operation": "Phase",
            "Phase": order.phase,
            "Holder": self.settings.node_name,
            "FencingToken": self.host.groups[group].replica.hard_state.term,
        }
        import httpx

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
            return
        logging.info("%s ordered to %s: %d", worker.id, order.phase, response.status_code)
        if response.status_code not in TAKEN:
            return
        changed = self.calls.liveness[group].order_given(self.clock(), worker, order.phase)
        try:
            await self.host.propose(group, pb.WorkerCommand(workers=[changed]).SerializeToString())
        except FleetError as error:
            logging.warning("order to %s not noted: %s", worker.id, error)
