"""One run of a soak:

the fleet comes up, clients, operators, workers and trouble go on at once, then all is checked.
"""

import asyncio
import json
import logging as standard_logging
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from random import Random

import httpx

from ..demo.fleet import FRONTEND_PORT, READINESS_PORT, WORKER_PORT, ZONES, Machine
from ..errors import ErrorKind, FleetError
from . import plan
from .checker import Finding, check
from .clients import HOST, Clients, Target
from .fleet import CONTROL, SCHEDULER, WORKER_BACK_PART, WORKER_PART, SoakFleet, control_addresses
from .operators import SERVICE, Operators
from .plain_worker import Mood, PlainWorker
from .plan import Event, Trouble
from .records import Arrival, BrokenOff, Change, Deed, Goodbye, Log, Probe, WorkerEnded

CONTROL_PROCESSES = 3
CLIENTS = 12
WORKERS = 4
READY_S = 30.0
LOOK_S = 0.1
SAMPLE_S = 1.0
PROBE_AFTER_S = 2.05  # the promise of propagation, and a little
PROBE_S = 3.0
DELAY_S = 0.05
LAST_S = 6.0  # a client waits 5 s for an answer at most
OPERATORS = ("north", "south")
DISK_BACK_S = 0.5
REPLACED_S = 1.0  # the new machine starts so much before the old one is told to end
NETWORKS = 128
LONGEST_MOOD_S = 3.0  # a request has 4 s
MOODS = {
    Trouble.WORKER_REST: Mood.REST,
    Trouble.WORKER_SLOW: Mood.SLOW,
    Trouble.WORKER_REFUSE: Mood.REFUSE,
    Trouble.WORKER_BREAK: Mood.BREAK,
}
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
        self.fleet = SoakFleet(folder, f"127.{64 + seed % NETWORKS}", self.log, self.clock)
        self.random = Random(seed)
        self.operators = Operators(self.log, self.clock, self.random, lambda: control_addresses(self.fleet))
        self.operators.on_taken = self._probe_later
        self.operator_names: Sequence[str] = OPERATORS
        self.clients = Clients(self.log, self.clock, self.random, self._targets)
        self.workers: dict[str, PlainWorker] = {}
        self.stop = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._worker_number = self._probe_number = 0

    def clock(self) -> float:
        """Seconds on the steady clock since the run began."""
        return time.monotonic() - self.began

    def _spawn(self, work) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            standard_logging.getLogger(__name__).error("soak: %r", task.exception())
            self.met["faults of the soak itself"] += 1

    # -- The course ----------------------------------------------------------------------------

    async def run(self) -> None:
        """The whole course.  Raises FleetError where the fleet does not come up."""
        try:
            await self._come_up()
            clients = [self._spawn(self.clients.run(number, self.stop)) for number in range(CLIENTS)]
            for name in self.operator_names:
                self._spawn(self.operators.run(name, self.stop))
            self._spawn(self._watch())
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
        for _ in range(WORKERS):
            self._start_worker()
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
        """All trouble is over: the last answers come in, and the newest configuration is read back."""
        self.stop.set()
        await asyncio.wait(clients, timeout=LAST_S)
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
            self._strike_worker(event)
            return
        victim = self._victim(event)
        if victim is None:
            return
        self.met[event.trouble.value] += 1
        self.fleet.busy.add(victim.name)
        try:
            await STRIKES[event.trouble](self, victim, event)
        finally:
            self.fleet.busy.discard(victim.name)

    async def _stop_and_start(self, victim: Machine, event: Event) -> None:
        self.fleet.signal(victim.name, signal.SIGTERM, Deed.TERMINATE)
        await self.fleet.ended(victim.name)
        await self.fleet.start(victim)

    async def _kill(self, victim: Machine, event: Event) -> None:
        self.fleet.signal(victim.name, signal.SIGKILL, Deed.KILL)
        await self.fleet.ended(victim.name)
        await asyncio.sleep(event.for_s / 5)
        await self.fleet.start(victim)

    async def _freeze(self, victim: Machine, event: Event) -> None:
        self.fleet.signal(victim.name, signal.SIGSTOP, Deed.FREEZE)
        await asyncio.sleep(event.for_s)
        self.fleet.signal(victim.name, signal.SIGCONT, Deed.THAW)

    async def _reload(self, victim: Machine, event: Event) -> None:
        self.fleet.write_settings(victim)
        self.fleet.signal(victim.name, signal.SIGHUP, Deed.RELOAD)

    async def _rename(self, victim: Machine, event: Event) -> None:
        await self.fleet.start(self.fleet.new_machine(SCHEDULER))
        self.fleet.signal(victim.name, signal.SIGTERM, Deed.TERMINATE)
        await self.fleet.ended(victim.name)
        self.fleet.remove(victim)

    async def _wipe(self, victim: Machine, event: Event) -> None:
        self.fleet.signal(victim.name, signal.SIGKILL, Deed.KILL)
        await self.fleet.ended(victim.name)
        self.fleet.lose_disk(victim)
        await asyncio.sleep(DISK_BACK_S)
        await self.fleet.start(victim)

    async def _replace(self, victim: Machine, event: Event) -> None:
        await self.fleet.start(self.fleet.new_machine(CONTROL))
        await asyncio.sleep(REPLACED_S)
        self.fleet.signal(victim.name, signal.SIGTERM, Deed.TERMINATE)
        await self.fleet.ended(victim.name)
        self.fleet.remove(victim)

    async def _cut(self, victim: Machine, event: Event) -> None:
        others = [machine.name for machine in self.fleet.of_role(CONTROL) if machine.name != victim.name]
        outgoing = event.trouble is not Trouble.CONTROL_NOT_HEARING
        incoming = event.trouble is not Trouble.CONTROL_NOT_HEARD
        self.fleet.note(victim.name, Deed.CUT)
        self.fleet.line.cut(victim.name, others, outgoing, incoming)
        await asyncio.sleep(event.for_s)
        self.fleet.line.heal(victim.name)
        self.fleet.note(victim.name, Deed.HEAL)

    async def _reset(self, victim: Machine, event: Event) -> None:
        self.fleet.note(victim.name, Deed.RESET)
        self.fleet.line.reset(victim.name)

    async def _delay(self, victim: Machine, event: Event) -> None:
        self.fleet.line.delay_s[victim.name] = DELAY_S
        await asyncio.sleep(event.for_s)
        self.fleet.line.heal(victim.name)

    # -- Workers -------------------------------------------------------------------------------

    def _start_worker(self) -> None:
        self._worker_number += 1
        number = self._worker_number
        last = number % 250 + 1
        host = f"{self.fleet.network}.{WORKER_PART + number // 250}.{last}"
        back = f"{self.fleet.network}.{WORKER_BACK_PART + number // 250}.{last}"
        worker = PlainWorker(
            f"worker-{number}", SERVICE, f"{host}:{WORKER_PORT}", ZONES[number % len(ZONES)],
            self._arrived, lambda name: self.log.goodbyes.append(Goodbye(self.clock(), name)),
            lambda name, attempt: self.log.broken_off.append(BrokenOff(self.clock(), name, attempt)),
            bind_host=back,
        )  # fmt: skip
        self.workers[worker.name] = worker
        self._spawn(self._live(worker))

    async def _live(self, worker: PlainWorker) -> None:
        host, _, port = worker.address.rpartition(":")
        await self.fleet.line.serve(worker.name, host, worker.bind_host, int(port))
        try:
            await worker.run(lambda: control_addresses(self.fleet))
        finally:
            self.fleet.line.close(worker.name)
            self.workers.pop(worker.name, None)
            self.log.ends.append(WorkerEnded(self.clock(), worker.name))

    def _arrived(self, worker: str, attempt: str, runs: bool) -> None:
        self.log.arrivals.append(Arrival(self.clock(), worker, attempt, runs))

    def _strike_worker(self, event: Event) -> None:
        staying = [worker for worker in self.workers.values() if not worker.leaving.is_set()]
        if len(staying) < 3:
            return
        self.met[event.trouble.value] += 1
        worker = staying[int(event.choice * len(staying))]
        if event.trouble in MOODS:
            worker.change_mood(MOODS[event.trouble], min(event.for_s, LONGEST_MOOD_S))
            return
        if event.trouble in plan.WORKER_LINKS:
            self._spawn(self._strike_links(worker, event))
            return
        self._start_worker()
        if event.trouble is Trouble.WORKER_DRAIN:
            worker.leaving.set()
            return
        worker.down.set()

    async def _strike_links(self, worker: PlainWorker, event: Event) -> None:
        """What a worker sends and gets is held up for a moment, or its connections break."""
        if event.trouble is Trouble.WORKER_RESET:
            self.fleet.note(worker.name, Deed.RESET)
            self.fleet.line.reset(worker.name)
            return
        self.fleet.line.cut_from_strangers(worker.name)
        await asyncio.sleep(min(event.for_s, LONGEST_MOOD_S))
        self.fleet.line.heal(worker.name)

    # -- Watching ------------------------------------------------------------------------------

    def _targets(self) -> list[Target]:
        return [Target(m.name, m.host, FRONTEND_PORT) for m in self.fleet.of_role(SCHEDULER)]

    def _probe_later(self, change: Change) -> None:
        self.met["changes taken"] += 1
        for route in (*change.added, *change.removed):
            self._spawn(self._probe(route))

    async def _probe(self, route: str) -> None:
        await asyncio.sleep(PROBE_AFTER_S)
        targets = self._targets()
        await asyncio.gather(*(self._probe_one(target, route) for target in targets))

    async def _probe_one(self, target: Target, route: str) -> None:
        self._probe_number += 1
        head = (
            f"POST {route}x HTTP/1.1\r\nHost: {HOST}\r\nMolespur-Attempt-Id: probe{self._probe_number:x}\r\n"
            f"Molespur-Deadline-Ms: {int(PROBE_S * 1000)}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            async with asyncio.timeout(PROBE_S):
                reader, writer = await asyncio.open_connection(target.host, target.port)
                try:
                    sent_at = self.clock()
                    writer.write(head.encode())
                    status = int((await reader.readuntil(b"\r\n")).split(b" ", 2)[1])
                    self.log.probes.append(Probe(sent_at, self.clock(), target.name, route, status))
                finally:
                    writer.transport.abort()

    async def _watch(self) -> None:
        sampled = 0.0
        async with httpx.AsyncClient(timeout=SAMPLE_S) as client:
            while True:
                self.fleet.look()
                if self.clock() - sampled >= SAMPLE_S:
                    sampled = self.clock()
                    for sample in self.fleet.samples():
                        version = await self._version(client, sample.process)
                        self.log.samples.append(replace(sample, version=version))
                await asyncio.sleep(LOOK_S)

    async def _version(self, client: httpx.AsyncClient, name: str) -> int | None:
        machine = self.fleet.machines.get(name)
        if machine is None or name in self.fleet.busy:
            return None
        address = machine.control_address if machine.role == CONTROL else f"{machine.host}:{READINESS_PORT}"
        with suppress(httpx.HTTPError, ValueError, KeyError):
            text = (await client.get(f"http://{address}/api/metrics")).text
            figures = dict(line.rpartition(" ")[::2] for line in text.splitlines())
            return int(float(figures["molespur_configuration_version"]))
        return None


STRIKES: dict[Trouble, Callable] = {
    Trouble.SCHEDULER_STOP: Soak._stop_and_start,
    Trouble.SCHEDULER_KILL: Soak._kill,
    Trouble.SCHEDULER_FREEZE: Soak._freeze,
    Trouble.SCHEDULER_RELOAD: Soak._reload,
    Trouble.SCHEDULER_RENAME: Soak._rename,
    Trouble.CONTROL_STOP: Soak._stop_and_start,
    Trouble.CONTROL_KILL: Soak._kill,
    Trouble.CONTROL_FREEZE: Soak._freeze,
    Trouble.CONTROL_RELOAD: Soak._reload,
    Trouble.CONTROL_WIPE: Soak._wipe,
    Trouble.CONTROL_REPLACE: Soak._replace,
    Trouble.CONTROL_CUT: Soak._cut,
    Trouble.CONTROL_NOT_HEARD: Soak._cut,
    Trouble.CONTROL_NOT_HEARING: Soak._cut,
    Trouble.CONTROL_RESET: Soak._reset,
    Trouble.CONTROL_DELAY: Soak._delay,
}


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
