"""One client request carried out: the calls that its exchange asks for, until the answer has ended."""

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
from .endings import AnswerCut, EndReason
from .exchange import Exchange
from .serving_context import ServingContext
from .worker_call import WorkerCall

END_REASONS = {
    messages.Answer: EndReason.OWN_ANSWER,
    messages.AbortResponse: EndReason.WORKER_BROKE_OFF,
    messages.Finish: EndReason.WHOLE,
}


class ClientCall:
    """Carries out what the exchange of one request says."""

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
        self.reason: EndReason | None = None  # none while the answer goes on
        state = context.state
        self.exchange = Exchange(
            route,
            demand,
            state.policy,
            lambda: state.usable_workers(service.name),
            lambda now: state.budget(service.name).spend(now),
            state.hedges(service.name),
        )
        self._begun = context.clock()
        self._calls: dict[int, asyncio.Task] = {}  # attempt -> its call
        self._worker_calls: dict[int, WorkerCall] = {}
        self._held: dict[int, tuple[str, str]] = {}  # attempt -> address and handle that waits to be taken
        self._ended = asyncio.get_running_loop().create_future()

    async def run(self) -> EndReason:
        """Go on until the request is answered.  Raises AnswerCut."""
        try:
            self.report(messages.Begin())
            action = await self._ended
        finally:
            await self._end_calls()
        match action:
            case messages.Answer(kind):
                await self.context.respond_with_error(self._send, kind)
            case messages.AbortResponse():
                self._cut(self.reason)
        return self.reason

    @property
    def is_racing(self) -> bool:
        """Whether more than one attempt is open."""
        return self.exchange.is_racing

    def report(self, event: messages.Event) -> None:
        """Take an event and do what follows from it; nothing here waits."""
        for action in self.exchange.handle(self.context.clock(), event):
            self._carry_out(action)

    def _carry_out(self, action: messages.Action) -> None:
        match action:
            case messages.Read() | messages.Run():
                self._start(action)
            case messages.CancelAttempt(attempt):
                self._abandon(attempt)
            case _ if not self._ended.done():
                self.reason = END_REASONS[type(action)]
                self._ended.set_result(action)

    # -- Calls -------------------------------------------------------------------------------------

    def _start(self, action: messages.Read | messages.Run) -> None:
        call = WorkerCall(self, action)
        self._worker_calls[action.attempt] = call
        self._calls[action.attempt] = asyncio.get_running_loop().create_task(self._carry(call))

    async def _carry(self, call: WorkerCall) -> None:
        """One call to its end; what it has met goes to the exchange."""
        try:
            event = await call.run()
        except Exception as error:
            if not self._ended.done():
                self._ended.set_exception(error)
            return
        finally:
            self._update_held_handles(call)
        if isinstance(event, messages.AttemptFailed):
            self._free_held_handle(event.attempt)
        self.report(event)

    def _abandon(self, attempt: int) -> None:
        call, task = self._worker_calls.pop(attempt), self._calls.pop(attempt)
        if not call.ended:
            call.overtaken()
            _cancel(call, task)
        self._update_held_handles(call)
        self._free_held_handle(attempt)

    def _update_held_handles(self, call: WorkerCall) -> None:
        """What a call has read waits to be taken, or was taken by it."""
        if call.handle:
            self._held[call.attempt] = (call.step.worker.address, call.handle)
        elif call.taken_up:
            self._held.pop(call.attempt, None)

    async def _end_calls(self) -> None:
        """End what is still out, and give back the memory that nobody will take."""
        out = [task for task in self._calls.values() if not task.done()]
        for attempt, task in self._calls.items():
            if not task.done():
                _cancel(self._worker_calls[attempt], task)
        if out:
            await asyncio.wait(out)
        for attempt in list(self._held):
            self._free_held_handle(attempt)

    def _free_held_handle(self, attempt: int) -> None:
        held = self._held.pop(attempt, None)
        if held is not None:
            self.context.free_handle(*held, self.service)

    # -- Ends --------------------------------------------------------------------------------------

    async def out_of_time(self) -> EndReason:
        """The time that the client or the route allows is over.  Raises AnswerCut."""
        client_first = self.request.deadline_ms <= self.route.timeout_ms
        reason = EndReason.CLIENT_DEADLINE if client_first else EndReason.ROUTE_TIMEOUT
        if self.client_response.head_sent:
            self._cut(reason)
        ran = self.exchange.may_have_run
        kind = ErrorKind.OUT_OF_TIME if ran else ErrorKind.OUT_OF_TIME_UNSENT
        await self.context.respond_with_error(self._send, kind)
        return reason

    def _cut(self, reason: EndReason) -> NoReturn:
        now, refusal = self.context.clock(), self.exchange.hedge_refusal
        heard = max((call.last_received_at for call in self._worker_calls.values()), default=self._begun)
        logging.info(
            "answer cut after %.0f ms on route %s: %s; %d attempts, silent for %.0f ms, no second one: %s",
            now - self._begun,
            self.route.name,
            reason.value,
            self.exchange.begun,
            now - heard,
            refusal.value if refusal else "not called for",
        )
        raise AnswerCut(reason)


def _cancel(call: WorkerCall, task: asyncio.Task) -> None:
    """End a call.  A task that has not had its first turn runs no line of it, so it is ended here."""
    task.cancel()
    if not call.started:
        call.end("cancelled")
