"""The demo's course: start a fleet, send traffic, lose a control-plane process and a worker, tell of it."""

import asyncio
import json
import logging
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from ..client.configuration import ConfigurationClient
from ..client.state import FleetState, read_state
from ..errors import ErrorKind, FleetError
from ..settings import process
from .engine import DECODE, PREFILL, Engine, EngineProfile
from .fleet import FIRST_WORKER, NETWORK, WORKER_PORT, ZONES, DemoFleet
from .story import Incident, as_text, seconds, summary
from .traffic import Traffic, configuration
from .worker import StandInWorker

SERVICE = "chat-model"
WORKERS, READERS = 6, 3
READY_S, LOOK_S = 20.0, 0.2
SEED = 7


def clock() -> float:
    """Milliseconds on the steady clock."""
    return time.monotonic() * 1000.0


def stand_in_workers() -> dict[str, StandInWorker]:
    """The workers, by address; every other one reads prompts."""
    workers: dict[str, StandInWorker] = {}
    for number in range(WORKERS):
        phase = PREFILL if number < READERS else DECODE
        engine = Engine(EngineProfile(), phase)
        address = f"{NETWORK}.{FIRST_WORKER + number}:{WORKER_PORT}"
        zone = ZONES[number % len(ZONES)]
        name = f"worker-{number + 1}"
        workers[address] = StandInWorker(name, SERVICE, address, zone, engine, clock, workers.get)
    return workers


class Demo:
    """One run."""

    def __init__(self, folder: Path, per_second: float, length_s: float):
        self.fleet = DemoFleet(folder)
        self.workers = stand_in_workers()
        self.per_second, self.length_s = per_second, length_s
        self.incidents: list[Incident] = []
        self.traffic = Traffic(
            [machine.frontend_address for machine in self.fleet.of_role("data-plane")], clock, Random(SEED)
        )
        self._began_at = 0.0

    async def run(self) -> None:
        """The whole course.  Raises FleetError when the fleet does not come up."""
        self.fleet.start_all()
        running = [asyncio.create_task(w.run(self.fleet.seeds)) for w in self.workers.values()]
        try:
            await self._come_up()
            _say(f"the fleet is up; {self.per_second:g} requests a second for {self.length_s:g} s")
            self._began_at = clock()
            trouble = asyncio.create_task(self._trouble())
            await self.traffic.run(self.per_second, self.length_s)
            await trouble
        finally:
            for worker in self.workers.values():
                worker.down.set()
            await asyncio.gather(*running, return_exceptions=True)
            await asyncio.to_thread(self.fleet.stop)

    async def _come_up(self) -> None:
        """Wait for leaders and workers, put the configuration in force, wait for it to be told."""
        until = clock() + READY_S * 1000.0
        put = False
        while clock() < until:
            state = await self._state()
            if state is not None and not put and len(state.workers) == WORKERS:
                body = json.dumps(configuration(SERVICE, EngineProfile().slots)).encode()
                await asyncio.to_thread(ConfigurationClient(self.fleet.seeds).put, body, 0)
                put = True
            if put and state is not None and state.heartbeat.schedulers == len(self.traffic.schedulers):
                return
            await asyncio.sleep(LOOK_S)
        raise FleetError(ErrorKind.NO_LEADER, f"the fleet did not come up in {READY_S:g} s")

    async def _state(self) -> FleetState | None:
        names = [machine.name for machine in self.fleet.of_role("control-plane")]
        settings = process.parse(self.fleet.settings_path(names[0]).read_text())
        try:
            state = await read_state(settings.seed_rpc_addresses(), collect_s=1.0)
        except FleetError:
            return None
        return state if state.heartbeat is not None else None

    async def _trouble(self) -> None:
        """A control-plane process dies and comes back; then a worker falls silent."""
        victim = self.fleet.of_role("control-plane")[0].name
        await asyncio.sleep(self.length_s / 4)
        self.fleet.kill(victim)
        self._note(f"{victim} killed")
        await asyncio.sleep(self.length_s / 4)
        self.fleet.start(victim)
        self._note(f"{victim} started again")
        await asyncio.sleep(self.length_s / 8)
        lost = next(iter(self.workers.values()))
        lost.down.set()
        self._note(f"{lost.name} ({lost.engine.phase}) lost")

    def _note(self, what: str) -> None:
        self.incidents.append(Incident((clock() - self._began_at) / 1000.0, what))
        _say(what)


def _say(line: str) -> None:
    """Progress goes to standard error, so that the result can be piped."""
    print(f"demo: {line}", file=sys.stderr)


def run_demo(per_second: float, length_s: float, as_json: bool) -> str:
    """Run the demo; return what it shows.  Raises FleetError or OSError."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # connections of a lost worker end in mid-call
    with tempfile.TemporaryDirectory(prefix="molespur-demo-") as folder:
        _say(f"starting 3 control-plane and 2 data-plane processes, {WORKERS} stand-in workers")
        demo = Demo(Path(folder), per_second, length_s)
        asyncio.run(demo.run())
    samples = sorted(demo.traffic.samples, key=lambda sample: sample.at)
    if as_json:
        told = {"seconds": seconds(samples, demo.incidents), "summary": summary(samples)}
        return json.dumps(told, indent=1)
    return as_text(samples, demo.incidents)
