"""What is measured of a fleet at one size: load at rest, then changes and losses."""

import asyncio
import json
import signal
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from statistics import quantiles

import httpx

from molespur.system.rpc import molespur_pb2 as pb

from .hollow import HollowScheduler, HollowWorker, clock, in_zone
from .layout import zone
from .processes import Fleet, Reading, RealProcess, read

ROUTES = 24
CHANGES = 5
DEATHS = 5
LONGEST_S = 30.0  # that is waited for anything
LOOK_S = 0.01


@dataclass
class Times:
    """Milliseconds, over schedulers."""

    count: int  # that were reached
    of: int
    p50: float
    p99: float
    most: float


@dataclass
class Load:
    """What a process uses at rest."""

    process: str
    core_percent: float
    memory_mb: float
    descriptors: int
    frames_a_second: dict[str, float]
    bytes_a_second: dict[str, float]


def times(values: Iterable[float], of: int) -> Times:
    """Times of all that were reached."""
    known = sorted(value for value in values if value != float("inf"))
    if len(known) < 2:
        return Times(len(known), of, *(known[:1] * 3 or [float("nan")] * 3))
    cut = quantiles(known, n=100, method="inclusive")
    return Times(len(known), of, cut[49], cut[98], known[-1])


async def until(reached: Callable[[], bool]) -> bool:
    """Wait until something holds, for LONGEST_S at most."""
    end = clock() + LONGEST_S * 1000.0
    while not reached():
        if clock() > end:
            return False
        await asyncio.sleep(LOOK_S)
    return True


@dataclass
class Run:
    """A fleet before its hollow parts."""

    fleet: Fleet
    schedulers: list[HollowScheduler]
    workers: list[HollowWorker]
    version: int = 0

    async def begin(self) -> None:
        """Put the first configuration in force and start all hollow parts."""
        await self.change()
        for part in [*self.schedulers, *self.workers]:
            part.start()
        await until(lambda: all(len(s.states) == len(self.workers) for s in self.schedulers))

    def end(self) -> None:
        """Stop all hollow parts."""
        for part in [*self.schedulers, *self.workers]:
            part.stop()

    # -- At rest -----------------------------------------------------------------------------------

    async def at_rest(self, seconds: float) -> list[Load]:
        """Load of each real process over some seconds."""
        processes = [*self.fleet.control, *self.fleet.schedulers]
        before, began = await read(processes), clock()
        await asyncio.sleep(seconds)
        after, took = await read(processes), (clock() - began) / 1000.0
        return [_load(p, old, new, took) for p, old, new in zip(processes, before, after, strict=True)]

    # -- Changes -----------------------------------------------------------------------------------

    async def change(self) -> float:
        """Put the next configuration in force; when it was acknowledged."""
        self.version += 1
        addresses = self.fleet.layout.control_addresses()
        async with httpx.AsyncClient(follow_redirects=True, trust_env=False, timeout=1.0) as client:
            for attempt in range(int(LONGEST_S / 0.2)):
                url = f"http://{addresses[attempt % len(addresses)]}/api/config"
                given = {"If-Match": str(self.version - 1)}
                try:
                    response = await client.put(url, content=configuration(self.version), headers=given)
                except httpx.HTTPError:
                    response = None
                if response is not None and response.status_code == 200:
                    return clock()
                await asyncio.sleep(0.2)
        raise RuntimeError("a configuration was not taken")

    async def changes(self) -> Times:
        """From acknowledgements to being in force at each scheduler; 0 where it was in force before."""
        waits = []
        for _ in range(CHANGES):
            taken_at = await self.change()
            await until(lambda: all(s.version == self.version for s in self.schedulers))
            waits += [self._wait(s, taken_at) for s in self.schedulers]
        return times(waits, CHANGES * len(self.schedulers))

    def _wait(self, scheduler: HollowScheduler, since: float) -> float:
        return max(scheduler.version_at - since, 0.0) if scheduler.version == self.version else float("inf")

    # -- Losses ------------------------------------------------------------------------------------

    async def deaths(self) -> Times:
        """From a worker's last heartbeat to each scheduler's knowing that it is silent."""
        dead = self.workers[:DEATHS]
        for worker in dead:
            worker.stop()
        await until(lambda: self._all_told(dead))
        waits = [self._told_silent(s, w) - w.last_beat for w in dead for s in self.schedulers]
        for worker in dead:
            worker.start()
        return times(waits, len(waits))

    def _told_silent(self, scheduler: HollowScheduler, worker: HollowWorker) -> float:
        state, at = scheduler.states.get(worker.id, (pb.READY, float("inf")))
        return at if state in (pb.SILENT, pb.GONE) else float("inf")

    def _all_told(self, dead: list[HollowWorker], by: list[HollowScheduler] | None = None) -> bool:
        told = self.schedulers if by is None else by
        return all(self._told_silent(s, w) != float("inf") for s in told for w in dead)

    async def owner_killed(self) -> dict:
        """The owner of the configuration is killed: until the next change is taken, and in force."""
        owner = await self._owner("configuration")
        await owner.end(signal.SIGKILL)
        began = clock()
        taken_at = await self.change()
        await until(lambda: all(s.version == self.version for s in self.schedulers))
        waits = times([self._wait(s, began) for s in self.schedulers], len(self.schedulers))
        await self.fleet.restart_control(owner)
        return {"taken_ms": taken_at - began, "in_force_ms": asdict(waits)}

    async def all_schedulers_restarted(self) -> dict:
        """All schedulers lose what they know and follow anew at once."""
        await self._settled()
        before = await read(self.fleet.control)
        for scheduler in self.schedulers:
            scheduler.stop()
            scheduler.received_bytes = 0
        began = clock()
        for scheduler in self.schedulers:
            scheduler.start()
        await until(lambda: all(s.whole_at() != float("inf") for s in self.schedulers))
        after = await read(self.fleet.control)
        used = [new.processor_s - old.processor_s for old, new in zip(before, after, strict=True)]
        received = sum(s.received_bytes for s in self.schedulers) / len(self.schedulers)
        waits = times([s.whole_at() - began for s in self.schedulers], len(self.schedulers))
        return {"whole_ms": asdict(waits), "bytes_a_scheduler": received, "control_processor_s": used}

    async def zone_lost(self) -> dict:
        """A zone's processes, schedulers and workers end at once; later they come back."""
        await self._settled()
        name = zone(0)
        lost = [p for number, p in enumerate(self.fleet.control) if zone(number) == name]
        gone = [*in_zone(self.schedulers, name), *in_zone(self.workers, name)]
        left = [s for s in self.schedulers if s.zone != name]
        dead = in_zone(self.workers, name)
        await asyncio.gather(*(p.end(signal.SIGKILL) for p in lost))
        for part in gone:
            part.stop()
        began = clock()
        taken_at = await self.change()
        in_force = await until(lambda: all(s.version == self.version for s in left))
        changed = times([self._wait(s, began) for s in left], len(left))
        told = await until(lambda: self._all_told(dead, left))
        silent = times([self._told_silent(s, w) - began for s in left for w in dead], len(left) * len(dead))
        for process in lost:
            await self.fleet.restart_control(process)
        back_at = clock()
        for part in gone:
            part.start()
        returned = in_zone(self.schedulers, name)
        await until(lambda: all(self._knows_all_ready(s) for s in self.schedulers))
        whole = times([s.whole_at() - back_at for s in returned], len(returned))
        return {
            "taken_ms": taken_at - began,
            "in_force_ms": asdict(changed),
            "silence_told_ms": asdict(silent),
            "whole_again_ms": asdict(whole),
            "all_ready_again_ms": clock() - back_at,
            "all_reached": in_force and told,
        }

    def _knows_all_ready(self, scheduler: HollowScheduler) -> bool:
        return all(scheduler.states.get(w.id, (pb.GONE, 0))[0] == pb.READY for w in self.workers)

    async def _settled(self) -> None:
        await until(lambda: all(self._knows_all_ready(s) for s in self.schedulers))
        await asyncio.sleep(3.0)

    async def _owner(self, shard: str) -> RealProcess:
        readings = await read(self.fleet.control)
        key = ("molespur_shard_leader", ("shard", shard))
        return next(
            process
            for process, reading in zip(self.fleet.control, readings, strict=True)
            if reading.samples.get(key) == 1
        )


def _load(process: RealProcess, old: Reading, new: Reading, took: float) -> Load:
    frames = {kind: count / took for kind, count in new.sent_since(old, "frames").items()}
    sent = {kind: size / took for kind, size in new.sent_since(old, "bytes").items()}
    used = 100 * (new.processor_s - old.processor_s) / took
    return Load(f"{process.role} {process.ip}", used, new.memory_mb, new.descriptors, frames, sent)


def configuration(version: int) -> bytes:
    """A configuration of the size that the operators' deployments have."""
    routes = [
        {
            "Name": f"r{number}",
            "Host": "shop.example",
            "PathPrefix": f"/p{number}/",
            "TimeoutMs": 3000 + version,
            "Service": "service-0",
        }
        for number in range(ROUTES)
    ]
    return json.dumps({"Version": version, "Routes": routes, "Services": [{"Name": "service-0"}]}).encode()
