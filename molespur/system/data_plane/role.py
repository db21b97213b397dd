"""The data-plane role: one scheduler, which follows the feed and serves clients."""

import asyncio
import time
from contextlib import suppress
from random import Random

from absl import logging
from quart import Quart, Response

from ..feed.follower import FeedFollower
from ..serving import SettingsWatch, serve, unexpected_end, until_stop, wait_for_stop
from ..settings.process import ProcessSettings
from .client_call import AnswerCut
from .ingress import Ingress
from .peers import PeerSocket
from .reports import ReportPoller
from .state import DataPlaneState
from .upstream import Upstreams

LEAVE_S = 2.4  # the platform takes a scheduler out after two missed looks, a second apart
MARGIN_S = 0.8  # of the grace period
HOUSEKEEPING_S = 0.5
CLIENT_IDLE_S = 60.0


def clock() -> float:
    """Milliseconds on the steady clock."""
    return time.monotonic() * 1000.0


class _ClientConnection:
    """Hands a request to the ingress as it came, around quart's own parsing, which would change it."""

    def __init__(self, app: "IngressApp", scope):
        self.app, self.scope = app, scope

    async def __call__(self, receive, send) -> None:
        with suppress(AnswerCut):  # hypercorn closes a connection whose answer has not ended
            await self.app.ingress.serve(self.scope, receive, send)


class IngressApp(Quart):
    """The application that clients reach."""

    asgi_http_class = _ClientConnection

    def __init__(self, ingress: Ingress):
        super().__init__("molespur")
        self.ingress = ingress


class DataPlane:
    """One data-plane process put together from its parts."""

    def __init__(self, settings: ProcessSettings):
        self.settings = settings
        random = Random()
        self.state = DataPlaneState(settings, random)
        self.upstreams = Upstreams()
        self.ingress = Ingress(self.state, self.upstreams, clock)
        self.follower = FeedFollower(settings, clock, random, self.state.update, self.state.loads)
        self.reports = ReportPoller(self.state, self.upstreams, clock, random)
        self.peers = PeerSocket(settings.peer_address, self.state.peer_work, clock)
        self.peers.schedulers = lambda: self.follower.schedulers
        self.follower.on_peers = self.peers.name_peers
        self.stopping = False

    def ready(self) -> bool:
        """Whether clients should come here."""
        return not self.stopping and self.state.configuration is not None

    def _readiness_app(self) -> Quart:
        app = Quart("molespur")

        @app.get("/api/readyz")
        async def readiness() -> Response:
            return Response("ready\n") if self.ready() else Response("not ready\n", 503)

        return app

    async def run(self) -> None:
        """Serve until told to stop, and then until what was taken is answered."""
        stop = wait_for_stop()
        closing, ended = asyncio.Event(), asyncio.Event()
        loop = asyncio.get_running_loop()
        watch = SettingsWatch(self.follower.reseed)
        repeated = (
            self.follower.run(),
            self.reports.run(),
            self.peers.run(),
            self._housekeeping(),
            watch.run(),
        )
        grace = max(self.settings.bounds.grace_period_s - LEAVE_S - MARGIN_S, 1.0)
        ingress = loop.create_task(
            serve(IngressApp(self.ingress), self.settings.listen["Frontend"], closing, CLIENT_IDLE_S, grace)
        )
        readiness = loop.create_task(serve(self._readiness_app(), self.settings.listen["Readiness"], ended))
        logging.info("data plane %s", self.settings.node_name)
        leaving = loop.create_task(self._leave(stop, closing, ended, ingress, readiness))
        await until_stop(ended, *repeated, unexpected_end(ingress, closing), unexpected_end(readiness, ended))
        await leaving

    async def _leave(self, stop, closing, ended, ingress, readiness) -> None:
        """Wait to be told to stop, then serve on until the platform sends nobody any more."""
        await stop.wait()
        logging.info("stopping with %d open requests", self.ingress.open_requests)
        self.stopping = self.ingress.stopping = True
        await asyncio.sleep(min(LEAVE_S, self.settings.bounds.grace_period_s / 3))
        self.follower.leave()
        closing.set()
        await ingress
        ended.set()
        await readiness

    async def _housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self.state.count_schedulers(clock(), self.follower.schedulers)
            gone, self.state.gone = self.state.gone, []
            for address in gone:
                await self.upstreams.forget(address)
