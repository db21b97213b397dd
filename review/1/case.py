"""RECOVER: the last model worker that is left reads prompts for others, and nobody orders it to answer."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common import http, operator
from common.case import run
from common.fleet import FRONTEND, ZONES, Fleet
from common.model_worker import DECODE, PREFILL, ModelWorker

SERVICE, HOST, PREFIX = "dele69a", "ficu95.example", "/lohu930/"
PER_S, DEADLINE_MS, EVENTS = 10.0, 3000, 5
BEFORE_S, LOST_S, DOWN_S, JUDGED_S = 8.0, 10.0, 1.0, 10.0
LEAST_SHARE = 0.25  # of the rule
FIRST_WORKER_HOST = 100


def start(record) -> Fleet:
    """Three machines of the core and two schedulers."""
    fleet = Fleet(record, control=3, schedulers=2)
    fleet.start_all()
    return fleet


class Traffic:
    """Requests at an even rate, each on a connection of its own, and what became of them."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.sent_at: dict[str, float] = {}
        self.served: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    async def run(self, until: float) -> None:
        """Send until this time, then wait for the last answers."""
        number = 0
        while time.monotonic() < until:
            task = asyncio.create_task(self._request(f"{number:016x}", number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            number += 1
            await asyncio.sleep(1.0 / PER_S)
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _request(self, attempt: str, number: int) -> None:
        schedulers = self.fleet.of_role("data-plane")
        scheduler = schedulers[number % len(schedulers)]
        self.sent_at[attempt] = time.monotonic()
        head = [
            f"POST {PREFIX}2f HTTP/1.1", f"Host: {HOST}", f"Molespur-Attempt-Id: {attempt}",
            f"Molespur-Deadline-Ms: {DEADLINE_MS}", "Molespur-Model: m",
            f"Molespur-Token-Usage: 1460,{EVENTS}",
            f"Molespur-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{number:08x}:250",
            "Content-Length: 4", "", "body",
        ]  # fmt: skip
        outcome = "no answer"
        self.fleet.record.write(f"{attempt} is sent to {scheduler.name}")
        try:
            reader, writer = await http.connect(scheduler.address(FRONTEND))
            try:
                writer.write("\r\n".join(head).encode())
                async with asyncio.timeout(DEADLINE_MS / 1000.0):
                    answer = await http.read_message(reader)
                if answer.whole and 200 <= answer.status < 300:
                    self.served.add(attempt)
                outcome = f"{answer.status}{'' if answer.whole else ', cut short'}"
            finally:
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            outcome = f"no answer: {type(error).__name__}"
        self.fleet.record.write(f"{attempt} at {scheduler.name}: {outcome}")

    def share(self, first: float, last: float) -> tuple[int, int]:
        """How many of the requests that were sent between two times were served, and how many there were."""
        sent = [attempt for attempt, at in self.sent_at.items() if first <= at < last]
        return sum(attempt in self.served for attempt in sent), len(sent)


async def play(fleet: Fleet, with_trouble: bool) -> list[str]:
    """Play the case; return what was broken."""
    record, others = fleet.record, {}
    workers = [
        ModelWorker(
            f"i-model-{n}", SERVICE, f"{fleet.network}.{FIRST_WORKER_HOST + n}:{fleet.first_port}", ZONES[n],
            fleet.control_addresses, record, phase=(PREFILL, DECODE)[n], others=others,
        )
        for n in range(2)
    ]  # fmt: skip
    for worker in workers:
        await worker.start()
    route = {
        "Name": "r-x73d3zj", "Host": HOST, "PathPrefix": PREFIX, "Type": "streaming",
        "TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 400, "Priority": 1, "Service": SERVICE, "MaxAttempts": 2,
        "SessionAffinity": True, "Resumable": True, "gap_aim_ms": 250,
    }  # fmt: skip
    services = [operator.service(SERVICE, 360, engine=True)]
    await operator.put_first(fleet, operator.configuration(1, [route], services))
    await operator.wait_until_ready(fleet)
    async with asyncio.timeout(20):
        for worker in workers:
            await worker.acknowledged.wait()

    traffic = Traffic(fleet)
    started = time.monotonic()
    recovery_s = fleet.bounds["RecoveryS"]
    end = started + BEFORE_S + LOST_S + DOWN_S + recovery_s + JUDGED_S + 3.0
    sending = asyncio.create_task(traffic.run(end))
    await asyncio.sleep(BEFORE_S)
    if with_trouble:
        lost = next(worker for worker in workers if worker.phase == DECODE)
        await lost.crash()
    await asyncio.sleep(LOST_S)
    record.write("final fault: all processes are killed")
    faulted = time.monotonic()
    for machine in fleet.machines.values():
        fleet.signal(machine, signal.SIGKILL)
        machine.process.wait()
    await asyncio.sleep(DOWN_S)
    for machine in fleet.machines.values():
        fleet.start(machine)
    back = time.monotonic()
    await sending

    before = traffic.share(started, faulted)
    after = traffic.share(back + recovery_s, end)
    record.write(f"before the final fault {before[0]} of {before[1]} served")
    record.write(f"later than {recovery_s} s after the machines were back {after[0]} of {after[1]} served")
    record.write(f"parts at the end: {[(w.name, w.phase) for w in workers]}")
    if before[0] >= LEAST_SHARE * before[1] and after[0] < LEAST_SHARE * after[1]:
        return [f"RECOVER: {after[0]} of {after[1]} served, before the fault {before[0]} of {before[1]}"]
    return []


if __name__ == "__main__":
    sys.exit(run(Path(__file__).resolve().parent, start, play))
