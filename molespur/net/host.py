"""Runs the decision module: feeds it events and executes the actions it returns.

Nothing here depends on HTTP.  The downstream protocol submits an Arrival with a callback for its response,
and the upstream protocol sends the payload to upstream hosts.  Another protocol would use the same decisions
and checks.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .. import interface as io
from .. import logs
from ..interface import Lifecycle, Outcome
from .failure import Cause, Failure, Served, Stage

log = logs.get(__name__)
OVERDUE_MARGIN_MS = 20.0  # past the deadline: later than the module's own response, within the allowed slack


@dataclass(frozen=True, slots=True)
class Refused:
    """Final response: the job was rejected without an effect; the client may retry after the pause."""

    pause_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Failed:
    """Final response: the job failed and may have had an effect."""


FinalResponse = Served | Refused | Failed


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request as the downstream submits it.  Only the upstream side reads the payload."""

    job_class: str
    time_left_ms: float
    payload: Any
    slots: float = 1.0
    memory: float = 0.0
    key: int | None = None
    work_hint_ms: float | None = None
    tenant: str | None = None
    job: str = ""  # the client's idempotency key, the same for each of its retries; empty if it sent none


class Stream:
    """One client request.  It gets exactly one final response and is attempted by upstream requests."""

    __slots__ = (
        "arrival",
        "arrived_at",
        "attempts",
        "closed",
        "deadline",
        "draw",
        "in_flight",
        "last_outcome",
        "max_attempts",
        "number",
        "overdue_timer",
        "respond",
    )  # fmt: skip

    def __init__(
        self,
        number: int,
        deadline: float,
        max_attempts: int,
        arrival: Arrival,
        respond: Callable[[FinalResponse], None],
    ):
        self.max_attempts = max_attempts  # from the settings in force when the stream was accepted
        self.arrival, self.arrived_at, self.draw = arrival, deadline - arrival.time_left_ms, 1.0
        self.last_outcome: Outcome | None = None  # of the sent upstream request that ended last
        self.number, self.deadline, self.respond = number, deadline, respond
        self.attempts = []  # upstream requests in the order of their Send; None for one that was not started
        self.in_flight, self.closed, self.overdue_timer = 0, False, None


class Host:
    """Delivers events to the decision module and executes its actions."""

    def __init__(self, dispatcher, clock, wheel, counters, settings, max_streams):
        self.dispatcher, self.clock, self.wheel, self.counters = dispatcher, clock, wheel, counters
        self.max_streams = max_streams
        self._use_settings(settings)
        self.upstream = self.cluster = None  # set by connect
        self.streams: dict[int, Stream] = {}
        self.open_streams = 0  # streams that have no final response yet
        self.is_closed = False  # no new stream is accepted: the process is about to exit
        self._next_number = 1
        self._queue, self._handling = deque(), False
        # Hooks for the state that schedulers share (fleet/uses.py); None without shared state.
        self.on_attempt_ended: Callable[[str, str, Outcome, float], None] | None = None
        self.on_send: Callable[[str, bool], None] | None = None  # worker, whether it is a retry
        self.on_final_response: Callable[[Stream, FinalResponse], None] | None = None
        self.on_probe_report: Callable[[str, dict[str, float]], None] | None = None
        self.draw_for_job: Callable[[str], float] | None = None  # a number from 0 to 1 for an idempotency key
        self.adjust_pause: Callable[[float], float] | None = None  # for the pause sent to a refused client
        self.on_cold_use: Callable[[io.ColdUsage], None] | None = None
        self.refresh_shared_state: Callable[[], None] | None = None
        # From this time on the shared state must be read again before use.
        self.shared_state_valid_until = float("inf")
        self._handlers = {
            io.Send: self._send, io.Cancel: self._cancel, io.Refuse: self._refuse, io.Fail: self._fail,
            io.SetTimer: self._set_timer, io.Watch: self._watch, io.Probe: self._probe,
            io.ColdUsage: lambda action: self.on_cold_use(action),
        }  # fmt: skip

    def connect(self, upstream, cluster) -> None:
        """Set the upstream side and the cluster, which execute the actions."""
        self.upstream, self.cluster = upstream, cluster

    def _use_settings(self, settings: io.Settings) -> None:
        self.settings, self.classes = settings, {c.name: c for c in settings.classes}

    def apply_settings(self, settings: io.Settings) -> None:
        """Apply new settings here, in the decision module and in the request checks, which read them here.

        Open streams keep the class and the maximum of upstream requests with which they were accepted.
        """
        if settings != self.settings:
            self._use_settings(settings)
            self.deliver(io.SettingsChanged(settings))

    # -- Incoming events ---------------------------------------------------------------------------

    def deliver(self, event: io.Event) -> None:
        """Deliver an event to the decision module and execute its actions.

        Events that arise while an action is executed are queued.  The module is never called while it or its
        actions are running, and it receives events in the order in which they happened.
        """
        if (
            self.refresh_shared_state is not None
            and not self._handling
            and self.clock.now() >= self.shared_state_valid_until
        ):
            # A process that was suspended or got no CPU must not use shares and budgets that have expired.
            self.shared_state_valid_until = float("inf")
            self.refresh_shared_state()
        self._queue.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._queue:
                self._handle(self._queue.popleft())
        finally:
            self._handling = False

    def _handle(self, event) -> None:
        failed = False
        try:
            actions = self.dispatcher.handle(self.clock.now(), event)
        except Exception:
            # An event that the module cannot handle must not end the scheduler and with it all other streams.
            log.exception("module.failed", on=repr(event))
            self.counters["module.exceptions"] += 1
            actions, failed = list(self.dispatcher.actions), True  # the module has recorded these as executed
        for action in actions:
            self._handlers[type(action)](action)
        stream = self.streams.get(getattr(event, "request", None))
        if failed and stream is not None and not stream.closed and not stream.in_flight:
            self._finish(stream, Failed())

    def accept(self, arrival: Arrival, respond: Callable[[FinalResponse], None]) -> Stream | None:
        """Accept a stream; its final response may come before this returns.  None if too many are open."""
        self.counters["in.streams"] += 1
        if self.open_streams >= self.max_streams or self.is_closed:
            # Once `is_closed` is set, a new stream would be cut off by the exit of the process.
            self.counters["in.turned_away"] += 1
            respond(Refused(self.settings.pause_ms))
            return None
        deadline = self.clock.now() + arrival.time_left_ms
        stream = Stream(self._next_number, deadline, self.settings.max_attempts, arrival, respond)
        self._next_number += 1
        self.open_streams += 1
        self.streams[stream.number] = stream
        overdue_in_ms = arrival.time_left_ms + OVERDUE_MARGIN_MS
        stream.overdue_timer = self.wheel.after(overdue_in_ms, self._fail_overdue, stream)
        if self.draw_for_job is not None:
            stream.draw = self.draw_for_job(arrival.job)
        event = io.Submitted(
            stream.number, arrival.job_class, arrival.time_left_ms, arrival.slots, arrival.memory,
            arrival.key, arrival.work_hint_ms, arrival.tenant, stream.draw,
        )  # fmt: skip
        self.deliver(event)
        return stream

    def client_disconnected(self, stream: Stream) -> None:
        """Close a stream whose client disconnected before its response."""
        if stream.closed:
            return
        self.counters["answered.client_gone"] += 1
        self._close(stream)
        self.deliver(io.ClientGone(stream.number))
        self._remove_if_done(stream)

    def _fail_overdue(self, stream: Stream) -> None:
        """Fail a stream that the module left without a response, so that each stream gets one."""
        if stream.closed:
            return
        log.error("answered.overdue", stream=stream.number)
        self.counters["answered.overdue"] += 1
        self._finish(stream, Failed())
        self.deliver(io.ClientGone(stream.number))
        self._remove_if_done(stream)

    def progressed(self, stream: Stream, number: int, share: float | None) -> None:
        """An upstream host reports that a job has started, or which share of it is done."""
        if not stream.closed:
            self.deliver(io.Progressed(stream.number, number, share))

    def ended(self, stream: Stream, number: int, elapsed_ms: float, result: Served | Failure) -> None:
        """Record the outcome of an upstream request, which it reports once."""
        self.counters[f"sent.{result.outcome.name.lower()}"] += 1
        if result.outcome is not Outcome.MOOT:
            stream.last_outcome = result.outcome
        stream.in_flight -= 1
        if isinstance(result, Served) and not stream.closed:
            self._finish(stream, result)
        self.deliver(
            io.AttemptEnded(stream.number, number, result.outcome, elapsed_ms, stream.closed, result.report)
        )
        self._remove_if_done(stream)

    # -- Actions -----------------------------------------------------------------------------------

    def _send(self, action: io.Send) -> None:
        stream = self.streams.get(action.request)
        if stream is None or stream.closed:
            # Nothing is sent for a stream that has its final response.
            self.counters["module.sends_after_end"] += 1
            return
        number, now = len(stream.attempts), self.clock.now()
        left_ms = stream.deadline - now
        stream.in_flight += 1
        self.counters["sent.requests"] += 1
        lifecycle = self.cluster.lifecycle(action.worker)
        reason = None
        if number >= stream.max_attempts:
            reason = "too many upstream requests for one stream"
        elif left_ms <= 0:
            reason = "client deadline has passed"
        elif lifecycle is not Lifecycle.IN_SERVICE:
            reason = "upstream host is not in service"
        if reason is not None:
            stream.attempts.append(None)
            self.ended(stream, number, 0.0, Failure(Stage.CONNECTING, Cause.NOT_SENT, reason))
            return
        timeout_ms = min(action.timeout_ms, left_ms) if action.timeout_ms else left_ms

        def ended(result):
            timer.cancel()
            if self.on_attempt_ended is not None:
                self.on_attempt_ended(
                    action.worker, stream.arrival.job_class, result.outcome, self.clock.now() - now
                )
            self.ended(stream, number, self.clock.now() - now, result)

        def progressed(share):
            self.progressed(stream, number, share)

        if self.on_send is not None:
            self.on_send(action.worker, stream.last_outcome is not None)
        if stream.last_outcome is not None:
            self.counters[f"retries.after_{stream.last_outcome.name.lower()}"] += 1
        until = now + timeout_ms
        begin_by = min(until, action.begin_by_ms)
        payload = stream.arrival.payload
        request = self.upstream.send(action.worker, payload, until, begin_by, ended, progressed)
        stream.attempts.append(request)
        timer = self.wheel.after(timeout_ms, request.abandon, Cause.TIMED_OUT)

    def _cancel(self, action: io.Cancel) -> None:
        stream = self.streams.get(action.request)
        attempts = stream.attempts[action.attempt : action.attempt + 1] if stream else ()
        if attempts and attempts[0] is not None:
            attempts[0].abandon(Cause.CANCELLED)

    def _refuse(self, action: io.Refuse) -> None:
        pause_ms = action.pause_ms if self.adjust_pause is None else self.adjust_pause(action.pause_ms)
        self._respond(action.request, Refused(pause_ms))

    def _fail(self, action: io.Fail) -> None:
        self._respond(action.request, Failed())

    def _set_timer(self, action: io.SetTimer) -> None:
        self.wheel.after(action.delay_ms, self.deliver, io.TimerFired(action.tag))

    def _watch(self, _action: io.Watch) -> None:
        self.counters["sent.watches"] += 1
        self.cluster.watch()

    def _probe(self, action: io.Probe) -> None:
        if not self.upstream.keeping:
            # During a handover no connections are kept, so each probe would open a connection of its own.
            self.counters["probes.spared"] += 1
            return
        self.counters["sent.probes"] += 1
        started = self.clock.now()

        def ended(outcome: Outcome, report):
            self.counters[f"probes.{outcome.name.lower()}"] += 1
            if self.on_probe_report is not None and outcome is Outcome.OK:
                self.on_probe_report(action.worker, report or {})
            self.deliver(io.ProbeEnded(action.worker, outcome, self.clock.now() - started, report))

        self.upstream.probe(action.worker, ended)

    def close_all_streams(self) -> None:
        """Send a final response for each open stream, before the process exits.

        Otherwise these streams would be cut off without a response when the process is killed.
        """
        self.is_closed = True
        for stream in [s for s in self.streams.values() if not s.closed]:
            self.counters["answered.at_the_end"] += 1
            self._finish(stream, Failed() if stream.attempts else Refused())
            self.deliver(io.ClientGone(stream.number))
            self._remove_if_done(stream)

    # -- Completion --------------------------------------------------------------------------------

    def _respond(self, number: int, response: FinalResponse) -> None:
        stream = self.streams.get(number)
        if stream is not None and not stream.closed:
            self._finish(stream, response)
            self._remove_if_done(stream)

    def _finish(self, stream: Stream, response: FinalResponse) -> None:
        """Send the stream's only final response."""
        self.counters[f"answered.{type(response).__name__.lower()}"] += 1
        self._close(stream)
        if self.on_final_response is not None:
            self.on_final_response(stream, response)
        stream.respond(response)

    def _close(self, stream: Stream) -> None:
        stream.closed = True
        self.open_streams -= 1
        stream.overdue_timer.cancel()
        for request in stream.attempts:
            if request is not None:
                # A request that still waits for its connection must not be sent for a closed stream.  This is
                # not a cancellation, so it does not depend on the settings' permission to cancel.
                request.withdraw()

    def _remove_if_done(self, stream: Stream) -> None:
        """Remove a stream that has its final response and no upstream request in flight."""
        if stream.closed and not stream.in_flight:
            self.streams.pop(stream.number, None)
