"""Serves clients' requests: reads and routes them, and has them carried out by a client call."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from ..errors import REFUSED_BY_CONFIGURATION, ErrorKind, FleetError
from ..inbound.request_body import ClientDisconnected, RequestBody, declared_length, respond_while_discarding
from ..settings.configuration import Route, Service
from .client_call import ClientCall
from .client_request import ClientRequest, demand_of, read_head
from .endings import EndReason, ResponseAborted
from .serving_context import ServingContext
from .state import DataPlaneState
from .upstream import Upstreams

MAX_STATE_WAIT_MS = 800.0  # of a request, for the feed's first state or a fresh configuration
MAX_STATE_WAIT_SHARE = 0.25  # of the time until the request's deadline


class ConfigurationFreshness(Protocol):
    """Whether the configuration in force is known to be recent (`FeedFollower`)."""

    def may_refuse(self) -> bool:
        """Whether a request that the configuration does not allow may be refused permanently."""

    async def wait_until_fresh(self, max_wait_s: float) -> None:
        """Wait until `may_refuse`, at most `max_wait_s` seconds."""


class Ingress(ServingContext):
    """Serves clients' requests with the state and the connections to workers."""

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
        """Serve one request (ASGI)."""
        self.open_requests += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.open_requests -= 1

    async def _serve(self, scope, receive, send) -> None:
        """Serve one request and count the reason of its end."""
        reason = EndReason.INTERNAL_ERROR
        received_at = self.clock()
        limits = self.state.limits
        body = RequestBody(receive, declared_length(scope["headers"]), limits, self.memory)
        request = None
        try:
            request = read_head(scope, limits)
            request.body = await body.read(request.deadline_ms)
            if self.closing:  # too little may be left of the grace period to serve it
                raise FleetError(ErrorKind.STOPPING)
            await self._wait_for_state(request)
            route, service = await self._route(request)
            demand = demand_of(
                request, route, service, received_at, route.priority == self.state.lowest_priority
            )
            call = ClientCall(self, request, route, service, demand, send)
            reason = await self._run_until_ended(call, receive)
        except FleetError as error:
            reason = EndReason.ERROR_RESPONSE
            refusal = self.respond_with_error(send, self._refusal(error.kind))
            await respond_while_discarding(body, refusal)
        except ClientDisconnected:
            reason = EndReason.CLIENT_DISCONNECTED
        except ResponseAborted as aborted:
            reason = aborted.reason
            raise
        except asyncio.CancelledError:
            reason = EndReason.GRACE_PERIOD_OVER
            raise
        finally:
            self.counts.ended[reason] += 1
            if request is not None:
                request.body = b""  # tasks that end later may still refer to the request
            body.release()

    async def _run_until_ended(self, call: ClientCall, receive) -> EndReason:
        """Carry a request out until its response ends, its deadline has passed or its client disconnects."""
        serving = asyncio.current_task()
        disconnect = asyncio.get_running_loop().create_task(receive())
        disconnect.add_done_callback(lambda task: None if task.cancelled() else serving.cancel())
        try:
            async with asyncio.timeout(max(call.demand.deadline_at - self.clock(), 0.0) / 1000.0):
                return await call.run()
        except TimeoutError:
            return await call.end_at_deadline()
        except asyncio.CancelledError:
            if not disconnect.done():
                raise
            return call.end_reason or EndReason.CLIENT_DISCONNECTED
        finally:
            disconnect.cancel()

    async def _wait_for_state(self, request: ClientRequest) -> None:
        """Wait a moment for the first state from the feed, just after the start of the process."""
        if self.state.first_state_received.is_set():
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(_max_wait_s(request)):
                await self.state.first_state_received.wait()

    async def _route(self, request: ClientRequest) -> tuple[Route, Service]:
        route = self._find_route(request)
        if route is None:
            await self.freshness.wait_until_fresh(_max_wait_s(request))
            route = self._find_route(request)
        if route is None:
            raise FleetError(ErrorKind.NO_ROUTE)
        service = self.state.services[self.state.pick_service(route)]
        self.state.budget(service.name).count_request(self.clock())
        self.state.hedge_gate(service.name).count_request()
        return route, service

    def _find_route(self, request: ClientRequest) -> Route | None:
        if self.state.routes is None:
            raise FleetError(ErrorKind.NO_CONFIGURATION)
        return self.state.routes.find(request.host, request.path)

    def _refusal(self, kind: ErrorKind) -> ErrorKind:
        """The error kind to respond with: no permanent refusal because of an old configuration.

        A newer configuration that has not arrived here, although it was acknowledged longer ago than the
        guaranteed propagation time, may have added the route or raised the limit.
        """
        if kind in REFUSED_BY_CONFIGURATION and not self.freshness.may_refuse():
            return ErrorKind.OLD_CONFIGURATION
        return kind


def _max_wait_s(request: ClientRequest) -> float:
    """How long a request may wait for state that it needs."""
    return min(MAX_STATE_WAIT_MS, MAX_STATE_WAIT_SHARE * request.deadline_ms) / 1000.0
