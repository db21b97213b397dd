"""The state of a data-plane process: the configuration in force, the workers, its share of the budgets."""

import asyncio
import json
from random import Random

from absl import logging

from ...policy.pair import PairPolicy
from ...policy.tracking import LoadReport, WorkerTrack
from ..errors import FleetError
from ..rpc import molespur_pb2 as pb
from ..settings import configuration
from ..settings.configuration import Configuration, Limits, Service
from ..settings.process import ProcessSettings
from ..shards.placement import CONFIGURATION, GROUPS
from .budget import RetryBudget
from .forecast_probe import ForecastProbe
from .hedging import HedgeGate
from .load import LoadMeter
from .peer_work import PeerWorkTable, worker_hash
from .routes import RouteTable

CONNECTION_SHARE = 0.9  # share of a worker's connections that all schedulers together may use
MIN_CONNECTIONS = 2
ASSUMED_SCHEDULERS = 32  # until the control plane has announced their number
GOLDEN_RATIO = 0.6180339887498949
CACHE_SHARE = 0.6  # share of a worker's KV cache that recently sent prompts are expected to occupy


class DataPlaneState:
    """Everything that decisions on requests depend on.  The feed writes it, the ingress reads it."""

    def __init__(self, settings: ProcessSettings, random: Random):
        self.settings, self.random = settings, random
        self.policy = PairPolicy(settings.zone, random)
        self.configuration: Configuration | None = None
        self.routes: RouteTable | None = None
        self.services: dict[str, Service] = {}
        self.lowest_priority = 0
        self.workers: dict[str, dict[str, WorkerTrack]] = {}  # service -> id -> worker
        self.groups: dict[str, set[str]] = {}  # group -> ids of the workers that it has announced
        self.service_of: dict[str, str] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.meters: dict[str, LoadMeter] = {}
        self.hedge_gates: dict[str, HedgeGate] = {}
        self.forecast_probes: dict[str, ForecastProbe] = {}
        self.schedulers = 0  # the highest number that the control plane has announced
        self.first_state_received = (
            asyncio.Event()
        )  # a configuration and a first snapshot of every shard are here
        self.by_hash: dict[int, WorkerTrack] = {}
        self.peer_work = PeerWorkTable(settings.node_name, self.by_hash)
        self.split_positions: dict[str, float] = {}  # route -> next position within the sum of its weights
        self.removed_addresses: list[str] = []  # of workers whose connections can be closed

    def configuration_version(self) -> int:
        """The version in force; 0 before the first."""
        return self.configuration.version if self.configuration is not None else 0

    # -- The feed ------------------------------------------------------------------------------

    def update(self, group: str, snapshot: bool, payload: bytes) -> None:
        """Apply one update of the feed."""
        self.groups.setdefault(group, set())
        if group == CONFIGURATION:
            self._put_configuration(pb.ConfigurationState.FromString(payload))
        else:
            self._put_workers(group, snapshot, payload)
        if self.configuration is not None and all(name in self.groups for name in GROUPS):
            self.first_state_received.set()

    def _put_workers(self, group: str, snapshot: bool, payload: bytes) -> None:
        workers = pb.WorkerSet.FromString(payload).workers
        if snapshot:
            announced = {worker.id for worker in workers}
            for worker_id in self.groups[group] - announced:
                self._remove(group, worker_id)
        for worker in workers:
            if worker.state == pb.GONE:
                self._remove(group, worker.id)
            else:
                self._put_worker(group, worker)

    def _put_configuration(self, state: pb.ConfigurationState) -> None:
        if not state.version or (self.configuration and state.version <= self.configuration.version):
            return
        try:
            parsed = configuration.parse(state.body)
        except FleetError as error:
            logging.error("ignored invalid configuration %d: %s", state.version, error)
            return
        self.configuration = parsed
        self.routes = RouteTable(parsed)
        self.services = {service.name: service for service in parsed.services}
        self.lowest_priority = max((route.priority for route in parsed.routes), default=0)
        for name in self.services:
            self._set_capacity(name)
        logging.info("configuration %d is in force with %d routes", parsed.version, len(parsed.routes))

    def _put_worker(self, group: str, worker: pb.Worker) -> None:
        self.groups[group].add(worker.id)
        self.service_of[worker.id] = worker.service
        known = self.workers.setdefault(worker.service, {})
        track = known.get(worker.id)
        if track is None:
            track = known[worker.id] = WorkerTrack(
                worker.id, worker.address, worker.zone, worker.phase, worker.capacity
            )
            self.by_hash[worker_hash(worker.id)] = track
            self._set_capacity(worker.service)
        track.phase = worker.phase
        track.usable = worker.state not in (pb.DRAINING, pb.SWITCHING)
        track.silent = worker.state == pb.SILENT

    def _remove(self, group: str, worker_id: str) -> None:
        self.groups.get(group, set()).discard(worker_id)
        track = self.workers.get(self.service_of.pop(worker_id, ""), {}).pop(worker_id, None)
        if track is not None:
            track.usable = False
            self.by_hash.pop(worker_hash(worker_id), None)
            self.removed_addresses.append(track.address)

    def _set_capacity(self, service: str) -> None:
        shape = self.services.get(service)
        engine = shape.engine if shape else None
        for track in self.workers.get(service, {}).values():
            track.capacity_tokens = CACHE_SHARE * engine.kv_capacity_tokens if engine else 0.0

    # -- Queries of requests ---------------------------------------------------------------------

    @property
    def limits(self) -> Limits:
        """The limits on what clients may send."""
        return self.configuration.limits if self.configuration else Limits()

    def listed_workers(self, service: str) -> list[WorkerTrack]:
        """The workers of a service that the control plane lists."""
        return list(self.workers.get(service, {}).values())

    def max_connections(self, service: Service) -> int:
        """How many connections this scheduler may have to one worker."""
        schedulers = self.schedulers or ASSUMED_SCHEDULERS
        return max(int(CONNECTION_SHARE * service.max_connections / schedulers), MIN_CONNECTIONS)

    def budget(self, service: str) -> RetryBudget:
        """This scheduler's share of a service's retry budget."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = self.budgets[service] = RetryBudget(
                bounds.retry_budget_ratio, bounds.retry_budget_min, bounds.retry_window_s * 1000.0
            )
        return budget

    def hedge_gate(self, service: str) -> HedgeGate:
        """The limit on this scheduler's hedges for a service."""
        gate = self.hedge_gates.get(service)
        if gate is None:
            gate = self.hedge_gates[service] = HedgeGate(lambda: self.listed_workers(service))
        return gate

    def forecast_probe(self, service: str) -> ForecastProbe:
        """What lets requests for a service through in spite of their forecast."""
        probe = self.forecast_probes.get(service)
        if probe is None:
            probe = self.forecast_probes[service] = ForecastProbe(lambda: self.listed_workers(service))
        return probe

    def meter(self, service: str) -> LoadMeter:
        """The meter of what this scheduler sends to a service."""
        return self.meters.setdefault(service, LoadMeter())

    def loads(self, now: float) -> list[pb.ServiceLoad]:
        """The load that this scheduler causes at each service with model workers."""
        return [
            pb.ServiceLoad(
                service=service.name,
                read_tokens_per_s=self.meter(service.name).prefill_tokens_per_s(now),
                running=self.meter(service.name).running,
            )
            for service in self.services.values()
            if service.engine is not None
        ]

    def set_scheduler_count(self, now: float, count: int) -> None:
        """The control plane has announced this many schedulers; 0: it has announced no number."""
        self.schedulers = max(count, self.schedulers) if count else self.schedulers
        for service in self.services:
            self.budget(service).set_scheduler_count(now, count)

    def pick_service(self, route) -> str:
        """Pick one of the route's services by their weights.

        Positions that advance by the golden ratio are evenly spread: the shares are right after a few dozen
        requests, while random draws would be off by a tenth.
        """
        targets = route.targets()
        if len(targets) == 1:
            return targets[0].service
        position = self.split_positions.get(route.name, self.random.random())
        self.split_positions[route.name] = (position + GOLDEN_RATIO) % 1.0
        left = position * sum(target.weight for target in targets)
        for target in targets:
            left -= target.weight
            if left < 0:
                return target.service
        return next(target.service for target in reversed(targets) if target.weight > 0)

    @staticmethod
    def update_report(track: WorkerTrack, now: float, body: bytes) -> None:
        """Store a worker's load report.  Raises ValueError for one that can't be parsed."""
        raw = json.loads(body)
        if not isinstance(raw, dict):
            raise ValueError("load report is not a JSON object")
        numbers = [raw.get(key, 0) for key in ("Active", "Queued", "KvUsed", "KvTotal")]
        if not all(isinstance(number, int | float) and number >= 0 for number in numbers):
            raise ValueError("load report has a field that is not a number of 0 or more")
        track.report = LoadReport(now, *numbers)
        if raw.get("Phase") in ("prefill", "decode"):
            track.phase = raw["Phase"]
