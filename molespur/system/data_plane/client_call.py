"""Carries one client request out: the calls that its exchange starts, until the response has ended."""

import asyncio
from collections.abc import Callable
from typing import NoReturn

from absl import logging

from ...policy.pair import Demand
from ..errors import ErrorKind
from ..settings.configuration import Route, Service
from . import exchange_messages as messages
from .client_answer import ClientResponse
from .client_request import ClientRequest
from .endings import EndReason, ResponseAborted
from .exchange import Exchange
from .serving_context import ServingContext
from .worker_call import WorkerCall

END_REASONS = {
    messages.RespondWithError: EndReason.ERROR_RESPONSE,
    messages.AbortResponse: EndReason.WORKER_BROKE_OFF,
    messages.Finish: EndReason.COMPLETE,
}


class ClientCall:
    """Takes the actions of one request's exchange."""

    def __init__(
        self,
        context: ServingContext,
        request: ClientRequest,
        route: Route,
        service: Service,
        demand: Demand,
        send: Callable,
    ):
        self.context, self.request, self.route, self.service = context, request, route, service
        self.demand, self._send = demand, send
        self.client_response = ClientResponse(context, send, request.last_event_id)
        self.end_reason: EndReason | None = None  # None until the response ends
        state = context.state
        self.exchange = Exchange(
            route,
            demand,
            state.policy,
            lambda: state.listed_workers(service.name),
            lambda now: state.budget(service.name).spend(now),
            state.hedge_gate(service.name),
            state.forecast_probe(service.name),
        )
        self._started_at = context.clock()
        self._tasks: dict[int, asyncio.Task] = {}  # attempt -> its call's task
        self._worker_calls: dict[int, WorkerCall] = {}
        self._held_handles: dict[int, tuple[str, str]] = {}  # attempt -> address and handle not taken yet
        self._last_action = asyncio.get_running_loop().create_future()

    async def run(self) -> EndReason:
        """Serve the request to its end.  Raises ResponseAborted."""
        try:
            self.report(messages.RequestReceived())
            action = await self._last_action
        finally:
            await self._end_calls()
        match action:
            case messages.RespondWithError(kind):
                await self.context.respond_with_error(self._send, kind)
            case messages.AbortResponse():
                self._abort(self.end_reason)
        return self.end_reason

    @property
    def is_racing(self) -> bool:
        """Whether more than one attempt is open."""
        return self.exchange.is_racing

    def report(self, event: messages.Event) -> None:
        """Pass an event to the exchange and take the actions that follow, without waiting for anything."""
        for action in self.exchange.handle(self.context.clock(), event):
            self._carry_out(action)

    def _carry_out(self, action: messages.Action) -> None:
        match action:
            case messages.StartPrefill() | messages.StartRun():
                self._start(action)
            case messages.CancelAttempt(attempt):
                self._cancel_attempt(attempt)
            case _ if not self._last_action.done():
                self.end_reason = END_REASONS[type(action)]
                self._last_action.set_result(action)

    # -- Calls -------------------------------------------------------------------------------------

    def _start(self, action: messages.StartPrefill | messages.StartRun) -> None:
        call = WorkerCall(self, action)
        self._worker_calls[action.attempt] = call
        self._tasks[action.attempt] = asyncio.get_running_loop().create_task(self._run_call(call))

    async def _run_call(self, call: WorkerCall) -> None:
        """Run one call to its end and report the event that ends it."""
        try:
            event = await call.run()
        except Exception as error:
            if not self._last_action.done():
                self._last_action.set_exception(error)
            return
        finally:
            self._update_held_handles(call)
        if isinstance(event, messages.AttemptFailed):
            self._free_held_handle(event.attempt)
        self.report(event)

    def _cancel_attempt(self, attempt: int) -> None:
        call, task = self._worker_calls.pop(attempt), self._tasks.pop(attempt)
        if not call.ended:
            call.record_overtaken()
            _cancel(call, task)
        self._update_held_handles(call)
        self._free_held_handle(attempt)

    def _update_held_handles(self, call: WorkerCall) -> None:
        """Hold the handle of a prefill until a run has taken the KV cache."""
        if call.handle:
            self._held_handles[call.attempt] = (call.step.worker.address, call.handle)
        elif call.handle_taken:
            self._held_handles.pop(call.attempt, None)

    async def _end_calls(self) -> None:
        """Cancel the open calls, and free the KV caches that no worker will take."""
        self.report(messages.RequestAbandoned())  # a call may report an event before it is cancelled
        open_tasks = [task for task in self._tasks.values() if not task.done()]
        for attempt, task in self._tasks.items():
            if not task.done():
                _cancel(self._worker_calls[attempt], task)
        if open_tasks:
            await asyncio.wait(open_tasks)
        for attempt in list(self._held_handles):
            self._free_held_handle(attempt)

    def _free_held_handle(self, attempt: int) -> None:
        held = self._held_handles.pop(attempt, None)
        if held is not None:
            self.context.free_handle(*held, self.service)

    # -- Ends --------------------------------------------------------------------------------------

    async def end_at_deadline(self) -> EndReason:
        """End the request after the time that the client or the route allows.  Raises ResponseAborted."""
        client_first = self.request.deadline_ms <= self.route.timeout_ms
        reason = EndReason.CLIENT_DEADLINE if client_first else EndReason.ROUTE_TIMEOUT
        if self.client_response.head_sent:
            self._abort(reason)
        may_have_run = self.exchange.may_have_run
        kind = ErrorKind.OUT_OF_TIME if may_have_run else ErrorKind.OUT_OF_TIME_UNSENT
        await self.context.respond_with_error(self._send, kind)
        return reason

    def _abort(self, reason: EndReason) -> NoReturn:
        now, refusal = self.context.clock(), self.exchange.hedge_refusal
        last_received_at = max(
            (call.last_received_at for call in self._worker_calls.values()), default=self._started_at
        )
        logging.info(
            "response aborted after %.0f ms on route %s: %s; attempts %d, silent %.0f ms, hedge refusal: %s",
            now - self._started_at,
            self.route.name,
            reason.value,
            self.exchange.attempts_started,
            now - last_received_at,
            refusal.value if refusal else "none",
        )
        raise ResponseAborted(reason)


def _cancel(call: WorkerCall, task: asyncio.Task) -> None:
    """Cancel a call.  A task that has not started yet never runs a line of it, so the call is ended here."""
    task.cancel()
    if not call.started:
        call.end("cancelled")
