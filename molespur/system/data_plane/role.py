"""The data-plane role: one scheduler, which follows the feed of the control plane and serves clients."""

import asyncio
import time
from dataclasses import dataclass
from random import Random

from absl import logging

from ..feed.follower import FeedFollower
from ..inbound.connections import client_connections, max_worker_connections, probe_connections
from ..inbound.figures import connection_metrics
from ..metrics import Metric
from ..settings.process import ProcessSettings
from ..signals import (
    SettingsWatch,
    create_stop_event,
    import_in_steps,
    raise_on_unexpected_end,
    run_until_stopped,
)
from .figures import metrics
from .ingress import Ingress
from .peers import PeerSocket
from .reports import ReportPoller
from .state import DataPlaneState
from .upstream import Upstreams

MAX_LEAVE_DELAY_S = 2.4  # the platform removes a scheduler after two failed readiness checks, a second apart
MAX_LEAVE_DELAY_SHARE = 1 / 3  # of the grace period
GRACE_MARGIN_S = 0.8  # left of the grace period when open requests are aborted
MIN_OPEN_REQUESTS_S = 1.0  # time for open requests, however short the grace period is
HOUSEKEEPING_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class StopTimes:
    """How a scheduler spends its grace period (s): it serves on, then open requests may end."""

    leave_delay_s: float
    open_requests_s: float


def plan_stop(grace_period_s: float) -> StopTimes:
    """Divide the grace period between the time in which clients still come and that for open requests."""
    leave_delay_s = min(MAX_LEAVE_DELAY_S, MAX_LEAVE_DELAY_SHARE * grace_period_s)
    left_s = grace_period_s - leave_delay_s - GRACE_MARGIN_S
    return StopTimes(leave_delay_s, max(left_s, MIN_OPEN_REQUESTS_S))


def clock() -> float:
    """Milliseconds on the monotonic clock."""
    return time.monotonic() * 1000.0


class DataPlane:
    """The components of one data-plane process."""

    def __init__(self, settings: ProcessSettings):
        self.settings = settings
        random = Random()
        self.state = DataPlaneState(settings, random)
        self.upstreams = Upstreams(max_worker_connections(settings.limits.max_open_files))
        self.follower = FeedFollower(settings, clock, random, self.state.update, self.state.loads)
        self.ingress = Ingress(self.state, self.upstreams, clock, self.follower)
        memory = self.ingress.memory
        self.probes = probe_connections(memory)
        self.connections = client_connections(memory, settings.limits.max_open_files)
        self.reports = ReportPoller(self.state, self.upstreams, clock, random)
        self.peers = PeerSocket(settings.peer_address, self.state.peer_work, clock)
        self.peers.count_schedulers = lambda: self.follower.schedulers
        self.follower.on_peers = self.peers.set_peers
        self.follower.configuration_version = self.state.configuration_version
        self.stopping = False

    def is_ready(self) -> bool:
        """Whether clients should send requests here."""
        return not self.stopping and self.state.configuration is not None

    def metrics(self) -> list[Metric]:
        """All metrics with their current values."""
        ingress = self.ingress
        own = metrics(
            self.state,
            ingress.counts,
            self.upstreams,
            self.follower,
            ingress.memory,
            lambda: ingress.open_requests,
        )
        return own + connection_metrics(self.connections)

    async def run(self) -> None:
        """Serve until a signal to stop, and then until all open requests have ended."""
        stop = create_stop_event()
        closing, ended = asyncio.Event(), asyncio.Event()
        loop = asyncio.get_running_loop()
        settings_watch = SettingsWatch(self.follower.reseed)
        background = (
            self.follower.run(),
            self.reports.run(),
            self.peers.run(),
            self._housekeeping(),
            settings_watch.run(),
        )
        self._http = loop.create_task(import_in_steps("molespur.system.data_plane.http"))
        stop_times = plan_stop(self.settings.bounds.grace_period_s)
        ingress = loop.create_task(self._serve_clients(closing, stop_times.open_requests_s))
        readiness = loop.create_task(self._serve_readiness(ended))
        leaving = loop.create_task(
            self._leave(stop, stop_times.leave_delay_s, closing, ended, ingress, readiness)
        )
        await run_until_stopped(
            ended,
            *background,
            raise_on_unexpected_end(ingress, closing),
            raise_on_unexpected_end(readiness, ended),
        )
        await leaving

    async def _serve_clients(self, closing: asyncio.Event, grace_s: float) -> None:
        http = await self._http
        logging.info("data plane %s is starting", self.settings.node_name)
        app = http.IngressApp(self.ingress)
        server = http.HttpServer(app, lambda: self.state.limits, self.connections)
        await server.serve(self.settings.listen["Frontend"], closing, grace_s)

    async def _serve_readiness(self, ended: asyncio.Event) -> None:
        http = await self._http
        app = http.bounded_readiness_app(self.is_ready, self.metrics, self.ingress.memory)
        await http.serve(app, self.settings.listen["Readiness"], ended, self.probes)

    async def _leave(self, stop, delay_s: float, closing, ended, ingress, readiness) -> None:
        """Wait for a signal to stop, then serve on until the platform sends no more clients here."""
        await stop.wait()
        logging.info("stopping with %d open requests", self.ingress.open_requests)
        self.stopping = self.ingress.stopping = True
        await asyncio.sleep(delay_s)
        self.follower.leave()
        self.ingress.closing = True
        closing.set()
        await ingress
        await self.ingress.free_remaining_handles()
        ended.set()
        await readiness

    async def _housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.state.set_scheduler_count(clock(), self.follower.schedulers)
            self.upstreams.close_expired()
            removed, self.state.removed_addresses = self.state.removed_addresses, []
            for address in removed:
                await self.upstreams.remove(address)
