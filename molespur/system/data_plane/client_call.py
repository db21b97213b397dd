"""One client request carried out: the calls that its exchange asks for, and the way back of the answer."""

import asyncio
import json
from collections.abc import Callable

from absl import logging

from ...policy.pair import Demand, Step
from ...policy.tracking import Part
from ..errors import ErrorKind
from ..faults import FaultPoint, strike
from ..settings.configuration import STREAMING, Route, Service
from . import exchange as machine
from .client_request import ClientRequest
from .events import EventFilter
from .exchange import Exchange, Failure
from .patience import Patience, patience
from .request_counts import WORKER
from .serving_context import ServingContext
from .upstream import (
    ATTEMPT_ID,
    EXPECTED_INSTANCE,
    NOT_EXECUTED,
    STAMP,
    Head,
    UpstreamError,
    UpstreamResponse,
)

PREFILL_PATIENCE = 4.0, 400.0  # forecasts, and ms, after which a prefill call is given up
RUN_PATIENCE = 4.0, 700.0  # the same for a run that may be tried elsewhere, until its first answer
MOST_DOUBT = 3.0  # with few schedulers heard, forecasts are poor: so many times longer at most
PAUSES = 4.0  # allowed pauses of silence after which such a stream has stalled,
LEAST_PAUSE_MS = 800.0  # and this long at least
NOT_FORWARDED = frozenset((b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade"))


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
        self.demand, self.send = demand, send
        self.clock = context.clock
        state = context.state
        self.policy = state.policy
        self.exchange = Exchange(
            route,
            demand,
            state.policy,
            lambda: state.usable_workers(service.name),
            lambda now: state.budget(service.name).spend(now),
        )
        self.head_sent = False
        self.first_at = float("nan")  # when the call that is out gave its first answer
        self.begun_at = self.heard_at = self.clock()  # ms: this call, and the last byte of an answer to it
        self.events = EventFilter(last_id=request.last_event_id)
        self.held: tuple[str, str] | None = None  # address and handle that were not taken up yet

    async def run(self) -> None:
        """Go on until the request is answered."""
        action = self.exchange.handle(self.clock(), machine.Begin())
        try:
            while not isinstance(action, machine.Finish):
                action = await self._carry_out(action)
        finally:
            self._free()

    async def _carry_out(self, action: machine.Action) -> machine.Action:
        match action:
            case machine.Read(step):
                self._free()
                event = await self._attempt(step, self._read_prompt)
            case machine.Run(step):
                if self.held is not None and self.held[1] != action.handle:
                    self._free()  # it goes another way: nobody will take that memory
                event = await self._attempt(step, self._run_call, action)
            case machine.Answer(kind):
                await self.context.answer(self.send, kind)
                return machine.Finish()
            case machine.Cut():
                self._log_cut("the worker's answer has ended, and no other goes on")
                raise AnswerCut
        return self.exchange.handle(self.clock(), event)

    async def _attempt(self, step: Step, call, *arguments) -> machine.Event:
        """One call to a worker, counted as own work there for as long as it takes."""
        key, begun = next(self.context.keys), self.clock()
        self.policy.begin(begun, step, self.demand, key)
        meter = self.context.state.meter(self.service.name)
        meter.read(begun, step.read)
        meter.running += step.part is not Part.PREFILL
        self.context.state.peer_work.placed(step.worker, self.demand.shared)
        self.context.state.peer_work.touch(step.worker)
        failed, outcome = True, "unknown"
        expected = (step.part.value, step.worker.id, step.run, step.wait, step.forecast)
        try:
            event = await call(step, key, begun, *arguments)
            failed = isinstance(event, machine.AnswerBroken)
            outcome = "broken" if failed else "answered"
            return event
        except UpstreamError as error:
            failed, outcome = error.failure is not Failure.REJECTED, error.failure.value
            logging.vlog(1, "%s at %s: %s", self.request.attempt_id.decode("latin1"), step.worker.id, error)
            return machine.AnswerBroken() if self.head_sent else machine.AttemptFailed(error.failure)
        except asyncio.CancelledError:
            failed, outcome = False, "cancelled"
            raise
        finally:
            now = self.clock()
            self.context.counts.calls[step.part.value, outcome] += 1
            self.policy.ended(now, step, key, failed, now - begun)
            meter.running -= step.part is not Part.PREFILL
            self.context.state.peer_work.touch(step.worker)
            logging.vlog(1, "%s: %s at %s: run %.0f wait %.0f forecast %.0f, first answer %.0f, all %.0f ms",
                         self.route.name, *expected, self.first_at - begun, now - begun)  # fmt: skip

    async def _call(
        self, step: Step, extra: list[tuple[bytes, bytes]], stamped: bool = True
    ) -> UpstreamResponse:
        left = self.demand.deadline_at - self.clock()
        headers = self.request.headers
        if any(name == b"Last-Event-Id" for name, _ in extra):
            headers = [(k, v) for k, v in headers if k.lower() != b"last-event-id"]
        headers = [
            *headers,
            (b"Molespur-Deadline-Ms", str(max(int(left), 1)).encode()),
            (EXPECTED_INSTANCE, step.worker.id.encode()),
            *extra,
        ]
        if step.part is not Part.PLAIN:
            headers.append((b"Priority", b"%d" % step.rank))
        response = await self.context.upstreams.call(
            step.worker.address,
            self.request.method,
            self.request.target,
            headers,
            self.request.body,
            self.context.state.connections(self.service),
            repeatable=step.part is Part.PREFILL or self.route.repeatable,
        )
        try:
            check_head(response.head, self.request.attempt_id, stamped)
        except UpstreamError:
            await response.close()
            raise
        return response

    def _first_answer(self, step: Step, key: int, begun: float) -> None:
        self.first_at = self.clock()
        self.policy.first_answer(self.first_at, step, self.demand, key, self.first_at - begun)
        self.context.state.peer_work.touch(step.worker)

    # -- The prompt read apart -------------------------------------------------------------------

    async def _read_prompt(self, step: Step, key: int, begun: float) -> machine.Event:
        seconds = seconds_of_patience(step, *PREFILL_PATIENCE)
        async with patience(seconds, step.worker, self.clock):
            response = await self._call(step, [(b"Molespur-Serving-Phase", b"prefill")], stamped=False)
            try:
                body = await response.read()
            finally:
                await response.close()
        if response.head.status != 200:
            raise UpstreamError(Failure.MAY_HAVE_RUN, f"status {response.head.status}")
        handle = read_handle(body)
        self._first_answer(step, key, begun)
        self.held = (step.worker.address, handle)
        strike(FaultPoint.AFTER_PREFILL)
        return machine.PromptRead(handle)

    def _free(self) -> None:
        if self.held is not None:
            self.context.free_handle(*self.held, self.service)
            self.held = None

    # -- The answer ------------------------------------------------------------------------------

    async def _run_call(self, step: Step, key: int, begun: float, action: machine.Run) -> machine.Event:
        extra = []
        if action.source is not None:
            extra.append((b"Kv-From", f"{action.source.address}/{action.handle}".encode()))
        if action.resume and self.events.last_id:
            extra.append((b"Last-Event-Id", self.events.last_id))
        try:
            async with patience(self._patience(step), step.worker, self.clock) as waiting:
                return await self._run_within(step, key, begun, extra, waiting)
        except UpstreamError:
            self.events.drop_rest()
            raise

    def _patience(self, step: Step) -> float | None:
        """Seconds of silence after which a run is given up; None where nothing else could be tried."""
        left = self.route.max_attempts - self.exchange.runs - 1
        if not self.route.repeatable or left <= 0:
            return None
        return seconds_of_patience(step, *RUN_PATIENCE)

    async def _run_within(
        self, step: Step, key: int, begun: float, extra, waiting: Patience | None
    ) -> machine.Event:
        response = await self._call(step, extra)
        self.held = None
        try:
            strike(FaultPoint.AFTER_HEAD)
            if self.route.type == STREAMING and 200 <= response.head.status < 300:
                return await self._relay_events(step, key, begun, response, waiting)
            return await self._relay_whole(step, key, begun, response)
        finally:
            await response.close()

    async def _relay_whole(
        self, step: Step, key: int, begun: float, response: UpstreamResponse
    ) -> machine.Event:
        """An answer that is read whole before it goes on."""
        body = await response.read()
        if response.head.get(b"content-length") is None and response.head.get(b"transfer-encoding") is None:
            raise UpstreamError(Failure.MAY_HAVE_RUN, "an answer without framing may be cut short")
        self._first_answer(step, key, begun)
        if self.head_sent:  # an error in place of the rest of a stream
            raise UpstreamError(Failure.MAY_HAVE_RUN, f"status {response.head.status}")
        await self._send_head(response.head, len(body))
        await self.send({"type": "http.response.body", "body": body, "more_body": False})
        return machine.AnswerEnded()

    async def _relay_events(
        self, step: Step, key: int, begun: float, response: UpstreamResponse, waiting: Patience | None
    ) -> machine.Event:
        """A stream: each whole event goes on as it comes."""
        pause = max(PAUSES * self.route.gap_aim_ms, LEAST_PAUSE_MS) / 1000.0
        framed = response.head.get(b"transfer-encoding") or response.head.get(b"content-length")
        first = True
        try:
            async for chunk in response.chunks():
                self.heard_at = self.clock()
                if first:
                    first = False
                    self._first_answer(step, key, begun)
                if waiting is not None:
                    waiting.answered(pause)
                whole = self.events.feed(chunk)
                if whole:
                    await self._send_events(response.head, whole)
                    strike(FaultPoint.BETWEEN_EVENTS)
            if not framed:
                raise UpstreamError(Failure.MAY_HAVE_RUN, "a stream without framing may be cut short")
        except UpstreamError:
            self.events.drop_rest()
            raise
        strike(FaultPoint.AFTER_LAST_EVENT)
        rest = self.events.rest()
        if not self.head_sent:
            await self._begin(response.head)
        await self.send({"type": "http.response.body", "body": rest, "more_body": False})
        return machine.AnswerEnded()

    async def _send_events(self, head: Head, events: bytes) -> None:
        if not self.head_sent:
            await self._begin(head)
        await self.send({"type": "http.response.body", "body": events, "more_body": True})

    async def _begin(self, head: Head) -> None:
        await self._send_head(head, None)
        self.exchange.handle(self.clock(), machine.AnswerBegun())

    async def _send_head(self, head: Head, length: int | None) -> None:
        self.head_sent = True
        self.context.counts.answers[str(head.status), WORKER] += 1
        headers = [(k, v) for k, v in head.headers if k not in NOT_FORWARDED and k != b"content-length"]
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        if self.context.stopping:
            headers.append((b"connection", b"close"))
        await self.send({"type": "http.response.start", "status": head.status, "headers": headers})

    def _log_cut(self, why: str) -> None:
        now = self.clock()
        logging.info(
            "answer cut after %.0f ms on route %s: %s; %d attempts, silent for %.0f ms",
            now - self.begun_at,
            self.route.name,
            why,
            self.exchange.runs,
            now - self.heard_at,
        )

    async def out_of_time(self) -> None:
        """The time that the client or the route allows is over."""
        if self.head_sent:
            self._log_cut("the time is over")
            raise AnswerCut
        ran = self.exchange.runs or self.exchange.state is machine.State.RUNNING
        kind = ErrorKind.OUT_OF_TIME if ran else ErrorKind.OUT_OF_TIME_UNSENT
        await self.context.answer(self.send, kind)


def seconds_of_patience(step: Step, forecasts: float, least_ms: float) -> float:
    """How long a call is waited for: the fewer of the schedulers are heard, the less a forecast is worth."""
    doubt = min(max(step.worker.peer_scale, 1.0) ** 0.5, MOST_DOUBT)
    return doubt * max(forecasts * step.forecast, least_ms) / 1000.0


class AnswerCut(Exception):
    """The client's answer can't be ended: its connection is closed without an end."""


def check_head(head: Head, attempt_id: bytes, stamped: bool = True) -> None:
    """Raise UpstreamError unless this is a worker's answer to this attempt.

    `stamped`: it is to go to the client, so a success has to carry the worker's stamp.
    """
    answered = head.get(ATTEMPT_ID)
    rejected = head.get(NOT_EXECUTED) is not None or head.status == 421
    if rejected and answered in (attempt_id, None):
        raise UpstreamError(Failure.REJECTED, f"status {head.status}")
    if answered != attempt_id:  # a rejection of another request says nothing of this one
        raise UpstreamError(Failure.MAY_HAVE_RUN, "an answer to another request")
    if head.get(b"content-encoding") is not None:
        raise UpstreamError(Failure.MAY_HAVE_RUN, "an encoded body")
    if head.status < 200 or (stamped and head.status < 300 and head.get(STAMP) is None):
        raise UpstreamError(Failure.MAY_HAVE_RUN, f"status {head.status} without a stamp")
    if head.status in (429, 503, 408) or 300 <= head.status < 400:
        raise UpstreamError(Failure.MAY_HAVE_RUN, f"status {head.status} without a promise")


def read_handle(body: bytes) -> str:
    """The handle that a prefill call has given.  Raises UpstreamError."""
    try:
        handle = json.loads(body)["PrefillHandle"]
    except (ValueError, KeyError, TypeError) as error:
        raise UpstreamError(Failure.MAY_HAVE_RUN, f"no handle: {error!r}") from error
    if not isinstance(handle, str) or not handle.isalnum():
        raise UpstreamError(Failure.MAY_HAVE_RUN, "a handle that makes no sense")
    return handle
