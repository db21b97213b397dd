"""The stand-in workers of a soak: starts them, and applies faults to them."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from random import Random

from ..demo.fleet import WORKER_PORT, ZONES
from . import plan
from .fleet import WORKER_BACK_PART, WORKER_PART, SoakFleet, control_addresses
from .model_worker import DECODE, PREFILL, ModelWorker
from .operators import MODEL_SERVICE, SERVICE
from .plain_worker import Behavior, PlainWorker
from .plan import Event, Fault
from .records import Arrival, BrokenOff, Deed, Goodbye, Log, WorkerEnded

PLAIN_WORKERS, MODEL_WORKERS = 4, 5
IN_ORDER_SHARE = 0.5  # of the services that are thinned out: their workers leave, the others' are lost
MIN_REMAINING = 3  # workers of a service below which none gets a fault
HOSTS_A_PART = 250
MAX_BEHAVIOR_S = 3.0  # a request has 4 s
BEHAVIORS = {
    Fault.WORKER_REST: Behavior.REST,
    Fault.WORKER_SLOW: Behavior.SLOW,
    Fault.WORKER_REFUSE: Behavior.REFUSE,
    Fault.WORKER_BREAK: Behavior.BREAK,
}


class ServiceWorkers:
    """All workers of one run; a worker that ends is replaced by another one of its service."""

    def __init__(
        self,
        fleet: SoakFleet,
        log: Log,
        clock: Callable[[], float],
        met: Counter,
        spawn: Callable[[Coroutine], asyncio.Task],
    ):
        self.fleet, self.log, self.clock, self.met, self.spawn = fleet, log, clock, met, spawn
        self.workers: dict[str, PlainWorker] = {}
        self._number = 0

    def start_all(self) -> None:
        """Start the initial workers."""
        for _ in range(PLAIN_WORKERS):
            self._start(SERVICE)
        for _ in range(MODEL_WORKERS):
            self._start(MODEL_SERVICE)

    def _start(self, service: str) -> None:
        self._number += 1
        number = self._number
        part, last = divmod(number, HOSTS_A_PART)
        host = f"{self.fleet.network}.{WORKER_PART + part}.{last + 1}"
        back = f"{self.fleet.network}.{WORKER_BACK_PART + part}.{last + 1}"
        place = f"{service}-{number}", service, f"{host}:{WORKER_PORT}", ZONES[number % len(ZONES)]
        heard = self._arrived, self._said_goodbye, self._broke_off
        if service == SERVICE:
            worker = PlainWorker(*place, *heard, bind_host=back)
        else:
            worker = ModelWorker(
                *place, *heard, bind_host=back, phase=(DECODE, PREFILL)[number % 2], log=self.log,
                clock=self.clock, others=self._model_worker_at,
            )  # fmt: skip
        self.workers[worker.name] = worker
        self.spawn(self._live(worker))

    async def _live(self, worker: PlainWorker) -> None:
        host, _, port = worker.address.rpartition(":")
        await self.fleet.line.serve(worker.name, host, worker.bind_host, int(port))
        try:
            await worker.run(lambda: control_addresses(self.fleet))
        finally:
            self.fleet.line.close(worker.name)
            self.workers.pop(worker.name, None)
            self.log.ends.append(WorkerEnded(self.clock(), worker.name))

    def _model_worker_at(self, address: str) -> ModelWorker | None:
        found = (worker for worker in self.workers.values() if worker.address == address)
        return next((worker for worker in found if isinstance(worker, ModelWorker)), None)

    # -- What workers report --------------------------------------------------------------------

    def _arrived(self, worker: str, attempt: str, runs: bool) -> None:
        self.log.arrivals.append(Arrival(self.clock(), worker, attempt, runs))

    def _said_goodbye(self, worker: str) -> None:
        self.log.goodbyes.append(Goodbye(self.clock(), worker))

    def _broke_off(self, worker: str, attempt: str) -> None:
        self.log.broken_off.append(BrokenOff(self.clock(), worker, attempt))

    # -- Faults ------------------------------------------------------------------------------

    def apply_fault(self, event: Event) -> None:
        """Apply the fault of an event to one worker."""
        staying = [worker for worker in self.workers.values() if not worker.leaving.is_set()]
        if not staying:
            return
        worker = staying[int(event.choice * len(staying))]
        if sum(other.service == worker.service for other in staying) < MIN_REMAINING:
            return
        self.met[event.fault.value] += 1
        if event.fault in BEHAVIORS:
            worker.set_behavior(BEHAVIORS[event.fault], min(event.for_s, MAX_BEHAVIOR_S))
        elif event.fault in plan.WORKER_LINK_FAULTS:
            self.spawn(self._disturb_links(worker, event))
        else:
            self._start(worker.service)
            (worker.leaving if event.fault is Fault.WORKER_DRAIN else worker.down).set()

    def thin_out(self, random: Random) -> None:
        """Take away all workers of each service but one: all at once, or each in order.

        The last model worker is one that reads prompts, where there is one: it has to be told to answer.
        """
        for service in (SERVICE, MODEL_SERVICE):
            staying = [
                worker
                for worker in self.workers.values()
                if worker.service == service and not worker.leaving.is_set()
            ]
            prefill = [w for w in staying if isinstance(w, ModelWorker) and w.phase == PREFILL]
            last = random.choice(prefill or staying)
            in_order = random.random() < IN_ORDER_SHARE
            self.met["services thinned out"] += 1
            for worker in staying:
                if worker is not last:
                    (worker.leaving if in_order else worker.down).set()

    async def _disturb_links(self, worker: PlainWorker, event: Event) -> None:
        """Reset the connections of a worker, or cut it off from schedulers for a while."""
        if event.fault is Fault.WORKER_RESET:
            self.fleet.note(worker.name, Deed.RESET)
            self.fleet.line.reset(worker.name)
            return
        self.fleet.note(worker.name, Deed.CUT)
        self.fleet.line.cut_from_strangers(worker.name)
        await asyncio.sleep(min(event.for_s, MAX_BEHAVIOR_S))
        self.fleet.line.heal(worker.name)
        self.fleet.note(worker.name, Deed.HEAL)
