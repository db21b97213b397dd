"""One call to a worker on behalf of a request: a separate prefill, or a run that makes the response.

A call returns how it ended as an event of its attempt and decides nothing itself.  A part of a worker's
response goes to the client only while the exchange lets the attempt continue.
"""

from collections.abc import Callable
from typing import Protocol

from absl import logging

from ...policy.pair import Demand, Step
from ...policy.tracking import ServingPhase
from ..faults import FaultPoint, trigger
from ..inbound.memory import SMALL_BODY_BYTES
from ..settings.configuration import STREAMING, Route, Service
from .answer_checks import check_head, is_framed, read_handle
from .client_answer import ClientResponse
from .client_request import ClientRequest
from .events import EventFilter, follows
from .exchange_messages import (
    AttemptFailed,
    AttemptProgressed,
    AttemptSilent,
    Event,
    Failure,
    PrefillCompleted,
    ResponseCompleted,
    StartPrefill,
    StartRun,
)
from .response_body import ResponseBody
from .serving_context import ServingContext
from .silence import SilenceTimer
from .upstream import EXPECTED_INSTANCE, Head, UpstreamError, UpstreamResponse

PREFILL_SILENCE = 4.0, 400.0  # forecasts, and minimum ms, after which a prefill call counts as silent
RUN_SILENCE = 4.0, 700.0  # the same for a run, until its first event
# forecasts are poor if few schedulers announce their work; then silence may be longer, up to this factor
MAX_SILENCE_FACTOR = 3.0
SILENT_AFTER_GAPS = 4.0  # a stream counts as silent after this many target gaps between events,
MIN_STREAM_SILENCE_MS = 800.0  # but not before this
ANSWERED = "answered"  # an outcome in the metric `worker_calls`
HEDGE_PRIORITY = 6  # after all calls that are no hedges, whose priorities are the ranks 0 to 5


class RequestContext(Protocol):
    """What the calls of one request share (`ClientCall`)."""

    context: ServingContext
    request: ClientRequest
    route: Route
    service: Service
    demand: Demand
    client_response: ClientResponse

    def report(self, event: Event) -> None:
        """Process an event at once and take the actions that follow."""

    @property
    def is_racing(self) -> bool:
        """Whether another attempt is open beside this one."""


class WorkerCall:
    """One call; `run` carries it out and returns the event that ends it.

    It counts as own work at its worker from its creation until `end`: the next decision, which may be made
    before `run` has started, has to take it into account.
    """

    def __init__(self, shared: RequestContext, action: StartPrefill | StartRun):
        self.shared, self.action = shared, action
        self.attempt, self.step = action.attempt, action.step
        self.clock: Callable[[], float] = shared.context.clock
        self.policy = shared.context.state.policy
        self.started_at = self.clock()
        self.last_received_at = self.started_at  # when bytes of it last came, ms
        self.first_response_at: float | None = None  # when its first response came, ms
        self.silence_timer: SilenceTimer | None = None
        self.has_progressed = False  # its response is the one that goes to the client
        self.started = self.ended = False
        self.handle = ""  # of the KV cache that its prefill has made
        self.handle_taken = False  # the worker of this run has taken the KV cache of the prefill
        self.key = next(shared.context.call_keys)
        self.expected_ms = (self.step.run_ms, self.step.wait_ms, self.step.forecast_ms)
        self._record_start()

    def _record_start(self) -> None:
        state, step = self.shared.context.state, self.step
        self.policy.record_sent(self.started_at, step, self.shared.demand, self.key)
        meter = state.meter(self.shared.service.name)
        meter.record_prefill(self.started_at, step.prefill_tokens)
        meter.running += step.phase is not ServingPhase.PREFILL
        state.peer_work.record_placed(step.worker, self.shared.demand.shared_segments)
        state.peer_work.mark_changed(step.worker)

    async def run(self) -> Event:
        """Carry the call out to its end."""
        self.started = True
        outcome, failed = "cancelled", False
        try:
            event = await self._carry_out()
            outcome = ANSWERED
            return event
        except UpstreamError as error:
            outcome, failed = error.failure.value, error.failure is not Failure.REJECTED
            logging.vlog(1, "call %s at worker %s: %s", self._attempt_id(), self.step.worker.id, error)
            return AttemptFailed(self.attempt, error.failure)
        finally:
            self.end(outcome, failed)

    def end(self, outcome: str, failed: bool = False) -> None:
        """The call has ended, or will never start: it no longer counts as own work.  Again has no effect."""
        if self.ended:
            return
        self.ended = True
        if self.silence_timer is not None:
            self.silence_timer.stop()
        now, step = self.clock(), self.step
        self.shared.context.state.meter(self.shared.service.name).running -= (
            step.phase is not ServingPhase.PREFILL
        )
        self.shared.context.counts.calls[step.phase.value, outcome] += 1
        self.policy.record_ended(now, step, self.key, failed, now - self.started_at)
        self.shared.context.state.peer_work.mark_changed(step.worker)
        first_ms = (
            self.first_response_at - self.started_at if self.first_response_at is not None else float("nan")
        )
        logging.vlog(1, "%s: %s at %s: run %.0f, wait %.0f, forecast %.0f, first response %.0f, all %.0f ms",
                     self.shared.route.name, step.phase.value, step.worker.id, *self.expected_ms,
                     first_ms, now - self.started_at)  # fmt: skip

    def record_overtaken(self) -> None:
        """Record what a faster attempt shows of this call's worker, before the call is cancelled."""
        self.policy.record_overtaken(
            self.clock(),
            self.step,
            self.started_at,
            self.last_received_at,
            responded=self.first_response_at is not None,
        )

    def _attempt_id(self) -> str:
        return self.shared.request.attempt_id.decode("latin1")

    async def _carry_out(self) -> Event:
        if isinstance(self.action, StartPrefill):
            return await self._prefill()
        return await self._run()

    # -- Silence -----------------------------------------------------------------------------------

    def _start_silence_timer(self, forecasts: float, min_ms: float) -> None:
        age_s = silence_age_s(self.step, forecasts, min_ms)
        self.silence_timer = SilenceTimer(age_s, self._on_silence)

    def _on_silence(self) -> None:
        self.shared.report(AttemptSilent(self.attempt))

    def _on_bytes_received(self) -> None:
        self.last_received_at = self.clock()
        self.step.worker.record_received(self.last_received_at)

    def _record_response(self) -> None:
        """A buffered response has come, or as much of it as is buffered without waiting for memory."""
        self._on_bytes_received()
        if self.first_response_at is None:
            self._on_first_response()

    def _on_first_response(self) -> None:
        self.first_response_at = now = self.clock()
        self.policy.record_first_response(now, self.step, self.shared.demand, self.key, now - self.started_at)
        self.shared.context.state.peer_work.mark_changed(self.step.worker)

    # -- The call ----------------------------------------------------------------------------------

    def _headers(self, extra: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        left_ms = self.shared.demand.deadline_at - self.clock()
        headers = self.shared.request.headers
        if any(name == b"Last-Event-Id" for name, _ in extra):
            headers = [(k, v) for k, v in headers if k.lower() != b"last-event-id"]
        headers = [
            *headers,
            (b"Molespur-Deadline-Ms", str(max(int(left_ms), 1)).encode()),
            (EXPECTED_INSTANCE, self.step.worker.id.encode()),
            *extra,
        ]
        if self.step.phase is not ServingPhase.PLAIN:
            priority = HEDGE_PRIORITY if self.action.hedge else self.step.rank
            headers.append((b"Priority", b"%d" % priority))
        return headers

    async def _call(self, extra: list[tuple[bytes, bytes]], needs_stamp: bool = True) -> UpstreamResponse:
        shared, step = self.shared, self.step
        response = await shared.context.upstreams.call(
            step.worker.address,
            shared.request.method,
            shared.request.target,
            self._headers(extra),
            shared.request.body,
            shared.context.state.max_connections(shared.service),
            repeatable=step.phase is ServingPhase.PREFILL or shared.route.repeatable,
        )
        try:
            check_head(response.head, shared.request.attempt_id, needs_stamp)
        except UpstreamError:
            await response.close()
            raise
        return response

    async def _prefill(self) -> Event:
        self._start_silence_timer(*PREFILL_SILENCE)
        response = await self._call([(b"Molespur-Serving-Phase", b"prefill")], needs_stamp=False)
        try:
            body = await response.read()
        finally:
            await response.close()
        if response.head.status != 200:
            raise UpstreamError(Failure.MAY_HAVE_RUN, f"prefill returned status {response.head.status}")
        self.handle = read_handle(body)
        self._on_bytes_received()
        self._on_first_response()
        trigger(FaultPoint.AFTER_PREFILL)
        return PrefillCompleted(self.attempt, self.handle)

    async def _run(self) -> Event:
        route, action = self.shared.route, self.action
        extra = []
        if action.source is not None:
            extra.append((b"Kv-From", f"{action.source.address}/{action.handle}".encode()))
        last_id = self.shared.client_response.last_event_id
        if action.resume:
            if not last_id:
                raise UpstreamError(Failure.NOT_SENT, "stream can't be resumed: its events have no ids")
            extra.append((b"Last-Event-Id", last_id))
        if route.repeatable and route.max_attempts > 1:
            self._start_silence_timer(*RUN_SILENCE)
        response = await self._call(extra)
        self.handle_taken = True
        try:
            trigger(FaultPoint.AFTER_HEAD)
            self.shared.client_response.check_continues(response.head)
            if route.type == STREAMING and 200 <= response.head.status < 300:
                return await self._relay_events(response, last_id)
            return await self._relay_complete(response)
        finally:
            await response.close()

    # -- The response ------------------------------------------------------------------------------

    async def _relay_complete(self, response: UpstreamResponse) -> Event:
        """Read the response to its end before any of it goes to the client."""
        body = ResponseBody(self.shared.context.memory, response.max_length, response.declares_length)
        try:
            async for chunk in response.bounded_chunks():
                if body.size + len(chunk) > SMALL_BODY_BYTES:
                    self._record_response()  # a wait for memory is not the worker's
                await body.append(chunk)
            body.complete()
            self._check_complete(response.head)
            await response.close()
            self.end(ANSWERED)  # the rest is up to the client, and no work of the worker
            return await self._send_complete(response.head, body)
        finally:
            body.release()

    def _check_complete(self, head: Head) -> None:
        """Raise UpstreamError if a response that has been read does not count."""
        if not is_framed(head):
            raise UpstreamError(Failure.MAY_HAVE_RUN, "response without framing headers may be truncated")
        self._record_response()
        if head.status >= 400 and self.shared.is_racing:  # the other attempt may succeed
            raise UpstreamError(Failure.MAY_HAVE_RUN, f"status {head.status} while another attempt is open")

    async def _send_complete(self, head: Head, body: ResponseBody) -> Event:
        self._report_progress()
        await self.shared.client_response.send_complete(head, body)
        return ResponseCompleted(self.attempt)

    async def _relay_events(self, response: UpstreamResponse, last_id: bytes) -> Event:
        """Forward each complete event of a stream as it arrives."""
        silence_s = max(SILENT_AFTER_GAPS * self.shared.route.gap_aim_ms, MIN_STREAM_SILENCE_MS) / 1000.0
        head, client_response = response.head, self.shared.client_response
        events = EventFilter(last_id, head.get(b"versions"))
        first_id_checked = not self.action.resume
        async for chunk in response.chunks():
            self._on_bytes_received()
            if self.first_response_at is None:
                self._on_first_response()
            if self.silence_timer is not None:
                self.silence_timer.restart(silence_s)
            complete_events = events.feed(chunk)
            if not complete_events:
                continue
            if not first_id_checked:
                first_id_checked = True
                if not follows(complete_events, last_id):
                    raise UpstreamError(
                        Failure.MAY_HAVE_RUN, "resumed stream repeats events that the client has received"
                    )
            await self._forward(head, complete_events, events)
            trigger(FaultPoint.BETWEEN_EVENTS)
        if not is_framed(head):
            raise UpstreamError(Failure.MAY_HAVE_RUN, "stream without framing headers may be truncated")
        trigger(FaultPoint.AFTER_LAST_EVENT)
        self._report_progress()
        await client_response.end_stream(head, events.take_rest())
        return ResponseCompleted(self.attempt)

    def _report_progress(self) -> None:
        """Report progress before the next bytes go to the client: another attempt is cancelled first."""
        if not self.has_progressed or self.shared.is_racing:
            self.has_progressed = True
            self.shared.report(AttemptProgressed(self.attempt))

    async def _forward(self, head: Head, complete_events: bytes, events: EventFilter) -> None:
        self._report_progress()
        if self.silence_timer is not None:
            self.silence_timer.pause()
        await self.shared.client_response.send_events(head, complete_events, events)
        if self.silence_timer is not None:
            self.silence_timer.resume()


def silence_age_s(step: Step, forecasts: float, min_ms: float) -> float:
    """When (s) a call counts as silent: the fewer schedulers announce their work, the later."""
    factor = min(max(step.worker.peer_scale, 1.0) ** 0.5, MAX_SILENCE_FACTOR)
    return factor * max(forecasts * step.forecast_ms, min_ms) / 1000.0
