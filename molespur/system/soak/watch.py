"""Observes the fleet during a soak: probes of changed routes, versions and resource use of processes."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import replace

import httpx

from ..demo.fleet import READINESS_PORT
from .clients import HOST, Target
from .fleet import CONTROL, SoakFleet
from .records import Change, Log, Probe

LOOK_S = 0.1
SAMPLE_S = 1.0
PROBE_AFTER_S = 2.05  # the propagation bound, with a margin
PROBE_S = 3.0


class RouteProbes:
    """Requests added and removed routes at every scheduler once the change has to be in force."""

    def __init__(
        self,
        log: Log,
        clock: Callable[[], float],
        targets: Callable[[], list[Target]],
        spawn: Callable[[Coroutine], asyncio.Task],
    ):
        self.log, self.clock, self.targets, self.spawn = log, clock, targets, spawn
        self._number = 0

    def later(self, change: Change) -> None:
        """Schedule the probes of an accepted change."""
        for route in (*change.added, *change.removed):
            self.spawn(self._probe(route))

    async def _probe(self, route: str) -> None:
        await asyncio.sleep(PROBE_AFTER_S)
        await asyncio.gather(*(self._probe_one(target, route) for target in self.targets()))

    async def _probe_one(self, target: Target, route: str) -> None:
        self._number += 1
        head = (
            f"POST {route}x HTTP/1.1\r\nHost: {HOST}\r\nMolespur-Attempt-Id: probe{self._number:x}\r\n"
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


class ProcessWatch:
    """Records unexpected exits, and resource use and configuration version of each process."""

    def __init__(self, fleet: SoakFleet, log: Log, clock: Callable[[], float]):
        self.fleet, self.log, self.clock = fleet, log, clock

    async def run(self) -> None:
        """Watch until cancelled."""
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

    async def versions(self) -> dict[str, int | None]:
        """The version that each process has in force now, by its name."""
        async with httpx.AsyncClient(timeout=SAMPLE_S) as client:
            return {name: await self._version(client, name) for name in list(self.fleet.machines)}

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
