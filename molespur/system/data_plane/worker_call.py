"""One call to a worker on behalf of a request: it reads the prompt apart, or gives the answer.

A call reports how it ended as an event of its attempt; nothing here decides what follows.  What a worker has
answered in part goes to the client only while the exchange lets the attempt go on.
"""

from collections.abc import Callable
from typing import Protocol

from absl import logging

from ...policy.pair import Demand, Step
from ...policy.tracking import Part
from ..faults import FaultPoint, trigger
from ..settings.configuration import STREAMING, Route, Service
from .answer_checks import check_head, is_framed, read_handle
from .client_answer import ClientAnswer
from .client_request import ClientRequest
from .events import EventFilter, follows
from .exchange_messages import (
    AnswerEnded,
    AttemptFailed,
    AttemptProgress,
    AttemptSilent,
    Event,
    Failure,
    PromptRead,
    Read,
    Run,
)
from .serving_context import ServingContext
from .silence import SilenceTimer
from .upstream import EXPECTED_INSTANCE, Head, UpstreamError, UpstreamResponse

PREFILL_SILENCE = 4.0, 400.0  # forecasts, and least ms, after which a prefill call counts as silent
RUN_SILENCE = 4.0, 700.0  # the same for a call for the answer, until its first event
MOST_DOUBT = 3.0  # with few schedulers heard, forecasts are poor: so many times longer at most
PAUSES = 4.0  # allowed pauses after which a stream counts as silent,
LEAST_PAUSE_MS = 800.0  # and this long at least
HEDGE_PRIORITY = 6  # after all requests that are no second attempt: their ranks are 0 to 5


class RequestContext(Protocol):
    """What the calls of one request share (`ClientCall`)."""

    context: ServingContext
    request: ClientRequest
    route: Route
    service: Service
    demand: Demand
    answer: ClientAnswer

    def report(self, event: Event) -> None:
        """Take an event at once, and do what follows from it."""

    @property
    def contested(self) -> bool:
        """Whether another attempt is open beside this one."""


class WorkerCall:
    """One call; `run` carries it out and returns the event that ends it.

    It counts as own work at its worker from here on, until `end`: the next decision, which may come before
    `run` has begun, has to know of it.
    """

    def __init__(self, shared: RequestContext, action: Read | Run):
        self.shared, self.action = shared, action
        self.attempt, self.step = action.attempt, action.step
        self.clock: Callable[[], float] = shared.context.clock
        self.policy = shared.context.state.policy
        self.begun = self.clock()
        self.last_heard = self.begun  # when something of it came last, ms
        self.first_at: float | None = None  # when its first answer came, ms
        self.silence: SilenceTimer | None = None
        self.goes_on = False  # what it brings is the client's answer
        self.started = self.ended = False
        self.handle = ""  # of the memory that it has read apart
        self.taken_up = False  # the memory that was read apart has been taken by this call's worker
        self.key = next(shared.context.keys)
        self.expected = (self.step.run, self.step.wait, self.step.forecast)
        self._begin()

    def _begin(self) -> None:
        state, step = self.shared.context.state, self.step
        self.policy.begin(self.begun, step, self.shared.demand, self.key)
        meter = state.meter(self.shared.service.name)
        meter.read(self.begun, step.read)
        meter.running += step.part is not Part.PREFILL
        state.peer_work.placed(step.worker, self.shared.demand.shared)
        state.peer_work.touch(step.worker)

    async def run(self) -> Event:
        """Carry the call out to its end."""
        self.started = True
        outcome, failed = "cancelled", False
        try:
            event = await self._carry_out()
            outcome = "answered"
            return event
        except UpstreamError as error:
            outcome, failed = error.failure.value, error.failure is not Failure.REJECTED
            logging.vlog(1, "%s at %s: %s", self._name(), self.step.worker.id, error)
            return AttemptFailed(self.attempt, error.failure)
        finally:
            self.end(outcome, failed)

    def end(self, outcome: str, failed: bool = False) -> None:
        """The call is over, or is never begun: it counts as own work no more."""
        self.ended = True
        if self.silence is not None:
            self.silence.stop()
        now, step = self.clock(), self.step
        self.shared.context.state.meter(self.shared.service.name).running -= step.part is not Part.PREFILL
        self.shared.context.counts.calls[step.part.value, outcome] += 1
        self.policy.ended(now, step, self.key, failed, now - self.begun)
        self.shared.context.state.peer_work.touch(step.worker)
        first = self.first_at - self.begun if self.first_at is not None else float("nan")
        logging.vlog(1, "%s: %s at %s: run %.0f wait %.0f forecast %.0f, first answer %.0f, all %.0f ms",
                     self.shared.route.name, step.part.value, step.worker.id, *self.expected,
                     first, now - self.begun)  # fmt: skip

    def overtaken(self) -> None:
        """Another attempt was faster: note what this tells of the worker, before the call is cancelled."""
        self.policy.overtaken(
            self.clock(), self.step, self.begun, self.last_heard, answered=self.first_at is not None
        )

    def _name(self) -> str:
        return self.shared.request.attempt_id.decode("latin1")

    async def _carry_out(self) -> Event:
        if isinstance(self.action, Read):
            return await self._read_prompt()
        return await self._run()

    # -- Silence -----------------------------------------------------------------------------------

    def _watch_silence(self, forecasts: float, least_ms: float) -> None:
        age_s = silence_age_s(self.step, forecasts, least_ms)
        self.silence = SilenceTimer(age_s, self._silent)

    def _silent(self) -> None:
        self.shared.report(AttemptSilent(self.attempt))

    def _heard(self) -> None:
        """Bytes of the answer have come."""
        self.last_heard = self.clock()
        self.step.worker.heard(self.last_heard)

    def _first_answer(self) -> None:
        self.first_at = now = self.clock()
        self.policy.first_answer(now, self.step, self.shared.demand, self.key, now - self.begun)
        self.shared.context.state.peer_work.touch(self.step.worker)

    # -- The call ----------------------------------------------------------------------------------

    def _headers(self, extra: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        left = self.shared.demand.deadline_at - self.clock()
        headers = self.shared.request.headers
        if any(name == b"Last-Event-Id" for name, _ in extra):
            headers = [(k, v) for k, v in headers if k.lower() != b"last-event-id"]
        headers = [
            *headers,
            (b"Molespur-Deadline-Ms", str(max(int(left), 1)).encode()),
            (EXPECTED_INSTANCE, self.step.worker.id.encode()),
            *extra,
        ]
        if self.step.part is not Part.PLAIN:
            priority = HEDGE_PRIORITY if self.action.hedge else self.step.rank
            headers.append((b"Priority", b"%d" % priority))
        return headers

    async def _call(self, extra: list[tuple[bytes, bytes]], stamped: bool = True) -> UpstreamResponse:
        shared, step = self.shared, self.step
        response = await shared.context.upstreams.call(
            step.worker.address,
            shared.request.method,
            shared.request.target,
            self._headers(extra),
            shared.request.body,
            shared.context.state.connections(shared.service),
            repeatable=step.part is Part.PREFILL or shared.route.repeatable,
        )
        try:
            check_head(response.head, shared.request.attempt_id, stamped)
        except UpstreamError:
            await response.close()
            raise
        return response

    async def _read_prompt(self) -> Event:
        self._watch_silence(*PREFILL_SILENCE)
        response = await self._call([(b"Molespur-Serving-Phase", b"prefill")], stamped=False)
        try:
            body = await response.read()
        finally:
            await response.close()
        if response.head.status != 200:
            raise UpstreamError(Failure.MAY_HAVE_RUN, f"status {response.head.status}")
        self.handle = read_handle(body)
        self._heard()
        self._first_answer()
        trigger(FaultPoint.AFTER_PREFILL)
        return PromptRead(self.attempt, self.handle)

    async def _run(self) -> Event:
        route, action = self.shared.route, self.action
        extra = []
        if action.source is not None:
            extra.append((b"Kv-From", f"{action.source.address}/{action.handle}".encode()))
        last_id = self.shared.answer.last_event_id
        if action.resume:
            if not last_id:
                raise UpstreamError(Failure.NOT_SENT, "a stream whose events have no ids can't be taken up")
            extra.append((b"Last-Event-Id", last_id))
        if route.repeatable and route.max_attempts > 1:
            self._watch_silence(*RUN_SILENCE)
        response = await self._call(extra)
        self.taken_up = True
        try:
            trigger(FaultPoint.AFTER_HEAD)
            self.shared.answer.check_continues(response.head)
            if route.type == STREAMING and 200 <= response.head.status < 300:
                return await self._relay_events(response, last_id)
            return await self._relay_whole(response)
        finally:
            await response.close()

    # -- The answer --------------------------------------------------------------------------------

    async def _relay_whole(self, response: UpstreamResponse) -> Event:
        """An answer that is read whole before it goes on."""
        head = response.head
        body = await response.read()
        if not is_framed(head):
            raise UpstreamError(Failure.MAY_HAVE_RUN, "an answer without framing may be cut short")
        self._heard()
        self._first_answer()
        if head.status >= 400 and self.shared.contested:  # the other attempt may do better
            raise UpstreamError(Failure.MAY_HAVE_RUN, f"status {head.status} beside another attempt")
        self._goes_on()
        await self.shared.answer.send_whole(head, body)
        return AnswerEnded(self.attempt)

    async def _relay_events(self, response: UpstreamResponse, last_id: bytes) -> Event:
        """A stream: each whole event goes on as it comes."""
        pause_s = max(PAUSES * self.shared.route.gap_aim_ms, LEAST_PAUSE_MS) / 1000.0
        head, answer = response.head, self.shared.answer
        events = EventFilter(last_id, head.get(b"versions"))
        fresh = not self.action.resume
        async for chunk in response.chunks():
            self._heard()
            if self.first_at is None:
                self._first_answer()
            if self.silence is not None:
                self.silence.heard(pause_s)
            whole = events.feed(chunk)
            if not whole:
                continue
            if not fresh:
                fresh = True
                if not follows(whole, last_id):
                    raise UpstreamError(Failure.MAY_HAVE_RUN, "events that the client has already")
            await self._forward(head, whole, events)
            trigger(FaultPoint.BETWEEN_EVENTS)
        if not is_framed(head):
            raise UpstreamError(Failure.MAY_HAVE_RUN, "a stream without framing may be cut short")
        trigger(FaultPoint.AFTER_LAST_EVENT)
        self._goes_on()
        await answer.end_stream(head, events.rest())
        return AnswerEnded(self.attempt)

    def _goes_on(self) -> None:
        """Tell it before the next bytes go to the client: an attempt that is overtaken ends first."""
        if not self.goes_on or self.shared.contested:
            self.goes_on = True
            self.shared.report(AttemptProgress(self.attempt))

    async def _forward(self, head: Head, whole: bytes, events: EventFilter) -> None:
        self._goes_on()
        if self.silence is not None:
            self.silence.hold()
        await self.shared.answer.send_events(head, whole, events)
        if self.silence is not None:
            self.silence.release()


def silence_age_s(step: Step, forecasts: float, least_ms: float) -> float:
    """When (s) a call counts as silent: the fewer schedulers are heard, the less a forecast is worth."""
    doubt = min(max(step.worker.peer_scale, 1.0) ** 0.5, MOST_DOUBT)
    return doubt * max(forecasts * step.forecast, least_ms) / 1000.0
