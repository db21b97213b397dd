"""Polls the model workers for their load reports, one worker after the other."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random

from ...policy.tracking import WorkerTrack
from ..settings.configuration import Service
from .answer_checks import answers_call_without_id
from .state import DataPlaneState
from .upstream import CLOSE_CONNECTION, EXPECTED_INSTANCE, UpstreamError, Upstreams

INTERVAL_S = 4.0  # between two reports of one worker
# the same while other schedulers announce their work, which is newer than reports; each report is charged for
PEERS_INTERVAL_S = 60.0
TIMEOUT_S = 0.6


class ReportPoller:
    """Keeps the load reports of all model workers up to date."""

    def __init__(
        self, state: DataPlaneState, upstreams: Upstreams, clock: Callable[[], float], random: Random
    ):
        self.state, self.upstreams, self.clock, self.random = state, upstreams, clock, random
        self._polled_at: dict[str, float] = {}  # by worker id, ms

    async def run(self) -> None:
        """Poll until cancelled: one worker at a time, all of them within the interval."""
        while True:
            targets = [
                (service, track)
                for service in self.state.services.values()
                if service.engine is not None
                for track in self.state.listed_workers(service.name)
                if track.usable
            ]
            if targets:
                service, track = self._next_target(targets)
                await self._poll(service, track)
            peers_announce = targets and targets[0][1].peer_scale > 0
            interval_s = PEERS_INTERVAL_S if peers_announce else INTERVAL_S
            await asyncio.sleep(interval_s / max(len(targets), 1) * (0.8 + 0.4 * self.random.random()))

    def _next_target(self, targets: list[tuple[Service, WorkerTrack]]) -> tuple[Service, WorkerTrack]:
        """The target that was polled least recently, whether it replied or not."""
        listed = {track.id for _, track in targets}
        self._polled_at = {worker_id: at for worker_id, at in self._polled_at.items() if worker_id in listed}
        return min(targets, key=lambda target: self._polled_at.get(target[1].id, float("-inf")))

    async def _poll(self, service: Service, track: WorkerTrack) -> None:
        self._polled_at[track.id] = self.clock()
        with suppress(UpstreamError, TimeoutError, ValueError):
            async with asyncio.timeout(TIMEOUT_S):
                headers = [
                    (b"Host", track.address.encode()),
                    (EXPECTED_INSTANCE, track.id.encode()),
                    CLOSE_CONNECTION,
                ]
                max_connections = self.state.max_connections(service)
                response = await self.upstreams.call(
                    track.address, "GET", b"/api/report", headers, b"", max_connections
                )
                try:
                    body = await response.read()
                finally:
                    await response.close()
                if response.head.status == 200 and answers_call_without_id(response.head):
                    self.state.update_report(track, self.clock(), body)
