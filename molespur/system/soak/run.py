"""One run of a soak: starts the fleet, runs clients, operators, workers and faults, and checks the log."""

import asyncio
import json
import logging as standard_logging
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine, Sequence
from contextlib import suppress
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

import httpx

from ..demo.fleet import FRONTEND_PORT, READINESS_PORT, Machine
from ..errors import ErrorKind, FleetError
from . import plan
from .checker import Finding, check
from .clients import Clients, Target
from .fault_actions import FAULT_ACTIONS
from .fleet import CONTROL, SCHEDULER, SoakFleet, control_addresses
from .operators import Operators
from .plan import Event
from .records import Change, Log
from .recovery import RECOVERY_S, FinalRequests
from .service_workers import ServiceWorkers
from .watch import LOOK_S, ProcessWatch, RouteProbes

CONTROL_PROCESSES = 3
CLIENTS = 12
READY_S = 30.0
MAX_CLIENT_END_S = 6.0  # a client waits for a response for at most 5 s
OPERATORS = ("north", "south")
HISTORY_FILE = "history.json"  # the complete log, in the folder of the processes' logs


@dataclass
class Result:
    """The result of one run; `met` counts the faults and accepted changes."""

    seed: int
    findings: list[Finding]
    met: Counter
    log: Log
    folder: Path


class Soak:
    """One run."""

    def __init__(self, seed: int, length_s: float, processes: int, folder: Path):
        self.seed, self.length_s, self.processes = seed, length_s, processes
        self.log, self.met = Log(), Counter()
        self.started_at = time.monotonic()
        self.fleet = SoakFleet(folder, seed, self.log, self.clock)
        self.random = Random(seed)
        self.operators = Operators(self.log, self.clock, self.random, lambda: control_addresses(self.fleet))
        self.operators.on_accepted = self._change_accepted
        self.operator_names: Sequence[str] = OPERATORS
        self.clients = Clients(self.log, self.clock, self.random, self._targets)
        self.workers = ServiceWorkers(self.fleet, self.log, self.clock, self.met, self._spawn)
        self.probes = RouteProbes(self.log, self.clock, self._targets, self._spawn)
        self.final_requests = FinalRequests(self.log, self.clock, self._targets)
        self.watch = ProcessWatch(self.fleet, self.log, self.clock)
        self.stop = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    def clock(self) -> float:
        """Seconds on the steady clock since the run began."""
        return time.monotonic() - self.started_at

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            standard_logging.getLogger(__name__).error("soak: %r", task.exception())
            self.met["faults of the soak itself"] += 1

    def _targets(self) -> list[Target]:
        return [Target(m.name, m.host, FRONTEND_PORT) for m in self.fleet.of_role(SCHEDULER)]

    def _change_accepted(self, change: Change) -> None:
        self.met["changes taken"] += 1
        self.probes.later(change)

    # -- Phases of a run ----------------------------------------------------------------------------

    async def run(self) -> None:
        """Run to the end.  Raises FleetError if the fleet does not become ready."""
        try:
            await self._start_fleet()
            clients = [self._spawn(self.clients.run(number, self.stop)) for number in range(CLIENTS)]
            for name in self.operator_names:
                self._spawn(self.operators.run(name, self.stop))
            self._spawn(self.watch.run())
            await self._inject_faults()
            await self._finish(clients)
        finally:
            self.stop.set()
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await asyncio.to_thread(self.fleet.stop)

    async def _start_fleet(self) -> None:
        control = [self.fleet.new_machine(CONTROL) for _ in range(CONTROL_PROCESSES)]
        others = [self.fleet.new_machine(SCHEDULER) for _ in range(self.processes - CONTROL_PROCESSES)]
        for machine in (*control, *others):
            await self.fleet.start(machine, bootstrap=True)
        self.workers.start_all()
        async with asyncio.timeout(READY_S):
            await self.operators.first()
        until = self.clock() + READY_S
        while not await self._all_ready():
            if self.clock() > until:
                raise FleetError(ErrorKind.NO_LEADER, f"the fleet did not come up in {READY_S:g} s")
            await asyncio.sleep(LOOK_S)

    async def _all_ready(self) -> bool:
        async with httpx.AsyncClient(timeout=1.0) as client:
            for machine in self.fleet.of_role(SCHEDULER):
                with suppress(httpx.HTTPError):
                    answer = await client.get(f"http://{machine.host}:{READINESS_PORT}/api/readyz")
                    if answer.is_success:
                        continue
                return False
        return True

    async def _inject_faults(self) -> None:
        started_at = self.clock()
        for event in plan.create_events(self.seed, self.length_s):
            await asyncio.sleep(max(started_at + event.at - self.clock(), 0.0))
            self._spawn(self._apply(event))
        await asyncio.sleep(max(started_at + self.length_s - self.clock(), 0.0))

    async def _finish(self, clients: list[asyncio.Task]) -> None:
        """Stop the traffic, thin the services out, and record whether the fleet has recovered."""
        self.stop.set()
        await asyncio.wait(clients, timeout=MAX_CLIENT_END_S)
        self.workers.thin_out(self.random)
        await asyncio.sleep(RECOVERY_S)
        await self.final_requests.send()
        self.log.final_versions = await self.watch.versions()
        self.log.last_read = await self.operators.read_back()

    # -- Faults ------------------------------------------------------------------------------

    def _target(self, event: Event) -> Machine | None:
        role = CONTROL if event.fault.name.startswith("CONTROL") else SCHEDULER
        idle = self.fleet.idle(role)
        if role == SCHEDULER and len(idle) < 2:
            return None  # one scheduler has to stay available
        return idle[int(event.choice * len(idle))] if idle else None

    async def _apply(self, event: Event) -> None:
        if event.fault.name.startswith("WORKER"):
            self.workers.apply_fault(event)
            return
        machine = self._target(event)
        if machine is None:
            return
        self.met[event.fault.value] += 1
        self.fleet.busy.add(machine.name)
        try:
            await FAULT_ACTIONS[event.fault](self.fleet, machine, event)
        finally:
            self.fleet.busy.discard(machine.name)


def run_soak(seed: int, length_s: float, processes: int) -> Result:
    """Run one soak; the processes' logs stay in the result's folder.  Raises FleetError or OSError."""
    for library in ("httpx", "httpcore", "asyncio"):
        standard_logging.getLogger(library).setLevel(standard_logging.CRITICAL)
    folder = Path(tempfile.mkdtemp(prefix=f"molespur-soak-{seed}-"))
    soak = Soak(seed, length_s, processes, folder)
    asyncio.run(soak.run())
    history = json.dumps(asdict(soak.log), default=lambda value: value.value)
    (folder / HISTORY_FILE).write_text(history)
    return Result(seed, check(soak.log), soak.met, soak.log, folder)
