"""Asks model workers for their load, each in turn."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random

from .state import DataPlaneState
from .upstream import UpstreamError, Upstreams

INTERVAL_S = 4.0  # between two reports of one worker
PEERS_INTERVAL_S = 60.0  # the same where other schedulers tell their work, which is newer; reports are priced
TIMEOUT_S = 0.6


class ReportPoller:
    """Keeps the reports of all model workers up to date."""

    def __init__(
        self, state: DataPlaneState, upstreams: Upstreams, clock: Callable[[], float], random: Random
    ):
        self.state, self.upstreams, self.clock, self.random = state, upstreams, clock, random

    async def run(self) -> None:
        """Poll until cancelled: one worker at a time, all of them within the interval."""
        while True:
            targets = [
                (service, track)
                for service in self.state.services.values()
                if service.engine is not None
                for track in self.state.usable_workers(service.name)
                if track.usable
            ]
            if targets:
                service, track = min(targets, key=lambda target: target[1].report.at)
                await self._ask(service, track)
            told = targets and targets[0][1].peer_scale > 0
            interval = PEERS_INTERVAL_S if told else INTERVAL_S
            await asyncio.sleep(interval / max(len(targets), 1) * (0.8 + 0.4 * self.random.random()))

    async def _ask(self, service, track) -> None:
        track.report.at = self.clock()  # one that does not answer waits for its next turn like the others
        with suppress(UpstreamError, TimeoutError, ValueError):
            async with asyncio.timeout(TIMEOUT_S):
                headers = [(b"Host", track.address.encode())]
                connections = self.state.connections(service)
                response = await self.upstreams.call(
                    track.address, "GET", b"/api/report", headers, b"", connections
                )
                try:
                    body = await response.read()
                finally:
                    await response.close()
                if response.head.status == 200:
                    self.state.take_report(track, self.clock(), body)
