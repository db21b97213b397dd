"""One run of a soak:

the fleet comes up, clients, operators, workers and trouble go on at once, then all is checked.
"""

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
from .fleet import CONTROL, SCHEDULER, SoakFleet, control_addresses
from .operators import Operators
from .plan import Event
from .records import Change, Log
from .recovery import RECOVERY_S, FinalRequests
from .service_workers import ServiceWorkers
from .strikes import STRIKES
from .watch import LOOK_S, ProcessWatch, RouteProbes

CONTROL_PROCESSES = 3
CLIENTS = 12
READY_S = 30.0
LAST_S = 6.0  # a client waits 5 s for an answer at most
OPERATORS = ("north", "south")
HISTORY_FILE = "history.json"  # beside the processes' logs: all that was noted


@dataclass
class Result:
    """What one run gave."""

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
        self.began = time.monotonic()
        self.fleet = SoakFleet(folder, seed, self.log, self.clock)
        self.random = Random(seed)
        self.operators = Operators(self.log, self.clock, self.random, lambda: control_addresses(self.fleet))
        self.operators.on_taken = self._taken
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
        return time.monotonic() - self.began

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

    def _taken(self, change: Change) -> None:
        self.met["changes taken"] += 1
        self.probes.later(change)

    # -- The course ----------------------------------------------------------------------------

    async def run(self) -> None:
        """The whole course.  Raises FleetError where the fleet does not come up."""
        try:
            await self._come_up()
            clients = [self._spawn(self.clients.run(number, self.stop)) for number in range(CLIENTS)]
            for name in self.operator_names:
                self._spawn(self.operators.run(name, self.stop))
            self._spawn(self.watch.run())
            await self._trouble()
            await self._settle(clients)
        finally:
            self.stop.set()
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await asyncio.to_thread(self.fleet.stop)

    async def _come_up(self) -> None:
        control = [self.fleet.new_machine(CONTROL) for _ in range(CONTROL_PROCESSES)]
        others = [self.fleet.new_machine(SCHEDULER) for _ in range(self.processes - CONTROL_PROCESSES)]
        for machine in (*control, *others):
            await self.fleet.start(machine, bootstrap=True)
        self.workers.come_up()
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

    async def _trouble(self) -> None:
        began = self.clock()
        for event in plan.make(self.seed, self.length_s):
            await asyncio.sleep(max(began + event.at - self.clock(), 0.0))
            self._spawn(self._strike(event))
        await asyncio.sleep(max(began + self.length_s - self.clock(), 0.0))

    async def _settle(self, clients: list[asyncio.Task]) -> None:
        """All trouble is over: the last answers come in, and what has to recover is looked at."""
        self.stop.set()
        await asyncio.wait(clients, timeout=LAST_S)
        self.workers.thin_out(self.random)
        await asyncio.sleep(RECOVERY_S)
        await self.final_requests.send()
        self.log.final_versions = await self.watch.versions()
        self.log.last_read = await self.operators.read_back()

    # -- Trouble -------------------------------------------------------------------------------

    def _victim(self, event: Event) -> Machine | None:
        role = CONTROL if event.trouble.name.startswith("CONTROL") else SCHEDULER
        idle = self.fleet.idle(role)
        if role == SCHEDULER and len(idle) < 2:
            return None  # somebody must be there to serve
        return idle[int(event.choice * len(idle))] if idle else None

    async def _strike(self, event: Event) -> None:
        if event.trouble.name.startswith("WORKER"):
            self.workers.strike(event)
            return
        victim = self._victim(event)
        if victim is None:
            return
        self.met[event.trouble.value] += 1
        self.fleet.busy.add(victim.name)
        try:
            await STRIKES[event.trouble](self.fleet, victim, event)
        finally:
            self.fleet.busy.discard(victim.name)


def run_soak(seed: int, length_s: float, processes: int) -> Result:
    """Play one run; its logs stay where the result says.  Raises FleetError or OSError."""
    for library in ("httpx", "httpcore", "asyncio"):
        standard_logging.getLogger(library).setLevel(standard_logging.CRITICAL)
    folder = Path(tempfile.mkdtemp(prefix=f"molespur-soak-{seed}-"))
    soak = Soak(seed, length_s, processes, folder)
    asyncio.run(soak.run())
    history = json.dumps(asdict(soak.log), default=lambda value: value.value)
    (folder / HISTORY_FILE).write_text(history)
    return Result(seed, check(soak.log), soak.met, soak.log, folder)
