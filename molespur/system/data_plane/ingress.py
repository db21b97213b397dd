"""Clients' requests: read, routed, sent to workers as the exchange says, and answered."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from ..errors import REFUSED_BY_CONFIGURATION, ErrorKind, FleetError
from ..settings.configuration import Route, Service
from .client_call import ClientCall
from .client_request import ClientRequest, demand_of, read_head
from .endings import AnswerCut, EndReason
from .serving_context import ServingContext
from .state import DataPlaneState
from .upstream import Upstreams

STATE_WAIT_MS = 800.0  # longest wait of a request for the first state from the feed, or for a fresh one
STATE_WAIT_SHARE = 0.25  # and the part of its time that it may take


class ConfigurationFreshness(Protocol):
    """Tells how far the configuration in force can be relied on (`FeedFollower`)."""

    def may_refuse(self) -> bool:
        """Whether what it does not allow may be refused for good."""

    async def wait_until_fresh(self, max_wait_s: float) -> None:
        """Wait until that is so, or this long (s)."""


class Ingress(ServingContext):
    """Serves clients' requests on top of the state and the connections to workers."""

    def __init__(
        self,
        state: DataPlaneState,
        upstreams: Upstreams,
        clock: Callable[[], float],
        freshness: ConfigurationFreshness,
    ):
        super().__init__(state, upstreams, clock)
        self.freshness = freshness
        self.open_requests = 0

    async def serve(self, scope, receive, send) -> None:
        """One request (ASGI)."""
        self.open_requests += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.open_requests -= 1

    async def _serve(self, scope, receive, send) -> None:
        """One request to its end, whose reason is counted."""
        reason = EndReason.INTERNAL_ERROR
        came_at = self.clock()
        try:
            request = read_head(scope, self.state.limits)
            request.body = await self._read_body(receive, request.deadline_ms)
            await self._wait_for_state(request)
            route, service = await self._route(request)
            demand = demand_of(request, route, service, came_at, route.priority == self.state.lowest_priority)
            call = ClientCall(self, request, route, service, demand, send)
            reason = await self._until_ended(call, receive)
        except FleetError as error:
            reason = EndReason.OWN_ANSWER
            await self.answer(send, self._refusal(error.kind))
        except ClientGone:
            reason = EndReason.CLIENT_GONE
        except AnswerCut as cut:
            reason = cut.reason
            raise
        except asyncio.CancelledError:
            reason = EndReason.GRACE_OVER
            raise
        finally:
            self.counts.ended[reason] += 1

    async def _until_ended(self, call: ClientCall, receive) -> EndReason:
        """Carry a request out until it is answered, its time is over or its client has gone."""
        work = asyncio.current_task()
        watch = asyncio.get_running_loop().create_task(receive())
        watch.add_done_callback(lambda task: None if task.cancelled() else work.cancel())
        try:
            async with asyncio.timeout(max(call.demand.deadline_at - self.clock(), 0.0) / 1000.0):
                return await call.run()
        except TimeoutError:
            return await call.out_of_time()
        except asyncio.CancelledError:
            if not watch.done():
                raise
            return call.reason or EndReason.CLIENT_GONE
        finally:
            watch.cancel()

    async def _read_body(self, receive, deadline_ms: float) -> bytes:
        """The whole body.  It may take as long as a client may be silent, and no longer than its deadline."""
        limits = self.state.limits
        limit = limits.max_body_bytes
        chunks, size = [], 0
        try:
            async with asyncio.timeout(min(limits.idle_timeout_s, deadline_ms / 1000.0)):
                while True:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        raise ClientGone
                    chunk = message.get("body", b"")
                    size += len(chunk)
                    if size > limit:
                        raise FleetError(ErrorKind.BODY_TOO_LARGE)
                    chunks.append(chunk)
                    if not message.get("more_body", False):
                        return b"".join(chunks)
        except TimeoutError as error:
            raise FleetError(ErrorKind.BODY_TOO_SLOW) from error

    async def _wait_for_state(self, request: ClientRequest) -> None:
        """Just after a start: wait a moment for what the feed has to tell first."""
        if self.state.complete.is_set():
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(_longest_wait_s(request)):
                await self.state.complete.wait()

    async def _route(self, request: ClientRequest) -> tuple[Route, Service]:
        route = self._find(request)
        if route is None:
            await self.freshness.wait_until_fresh(_longest_wait_s(request))
            route = self._find(request)
        if route is None:
            raise FleetError(ErrorKind.NO_ROUTE)
        service = self.state.services[self.state.pick_service(route)]
        self.state.budget(service.name).request(self.clock())
        self.state.hedges(service.name).request()
        return route, service

    def _find(self, request: ClientRequest) -> Route | None:
        if self.state.routes is None:
            raise FleetError(ErrorKind.NO_CONFIGURATION)
        return self.state.routes.find(request.host, request.path)

    def _refusal(self, kind: ErrorKind) -> ErrorKind:
        """What to say in place of a refusal for good that an old configuration calls for.

        A route that is not known here may have been added, and a limit raised, by a change that was
        acknowledged longer ago than the promise of propagation.
        """
        if kind in REFUSED_BY_CONFIGURATION and not self.freshness.may_refuse():
            return ErrorKind.OLD_CONFIGURATION
        return kind


def _longest_wait_s(request: ClientRequest) -> float:
    """How long a request may wait for state that it needs, s."""
    return min(STATE_WAIT_MS, STATE_WAIT_SHARE * request.deadline_ms) / 1000.0


class ClientGone(Exception):
    """The client has left."""
