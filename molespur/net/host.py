"""Owns the decision module, the streams and the clock: events in, actions carried out.

Nothing here knows of HTTP.  A protocol hands in an Arrival with a way to answer it, and another carries
its payload to upstream hosts, so a second protocol would go through the same decisions and checks.
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
BACKSTOP_MS = 20.0  # past the deadline; within the rule's slack, after the module's own last word


@dataclass(frozen=True, slots=True)
class Refused:
    """Final answer: turned away, trying again after the pause is harmless."""

    pause_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Failed:
    """Final answer: failed, with no promise about its effect."""


Answer = Served | Refused | Failed


@dataclass(frozen=True, slots=True)
class Arrival:
    """What a downstream hands in for one stream; the payload is for the upstream side alone."""

    job_class: str
    time_left_ms: float
    payload: Any
    slots: float = 1.0
    memory: float = 0.0
    key: int | None = None
    work_hint_ms: float | None = None
    tenant: str | None = None
    job: str = ""  # names the client's job, the same at each of its tries, where the client says so


class Stream:
    """One request of a client: owed exactly one final answer, tried by upstream requests."""

    __slots__ = (
        "answer", "arrival", "attempts", "backstop", "deadline", "draw", "last", "most", "number", "out",
        "over", "since",
    )  # fmt: skip

    def __init__(
        self, number: int, deadline: float, most: int, arrival: Arrival, answer: Callable[[Answer], None]
    ):
        self.most = most  # upstream requests, by the settings under which it was taken
        self.arrival, self.since, self.draw = arrival, deadline - arrival.time_left_ms, 1.0
        self.last: Outcome | None = None  # of its upstream requests that were sent, that which ended last
        self.number, self.deadline, self.answer = number, deadline, answer
        self.attempts = []  # upstream requests in the order of their Send; None where none was made
        self.out, self.over, self.backstop = 0, False, None


class Host:
    """Feeds the decision module and does what it says."""

    def __init__(self, dispatcher, clock, wheel, counters, settings, max_streams):
        self.dispatcher, self.clock, self.wheel, self.counters = dispatcher, clock, wheel, counters
        self.max_streams = max_streams
        self._owns(settings)
        self.upstream = self.cluster = None  # set by connect
        self.streams: dict[int, Stream] = {}
        self.open = 0  # streams still owed an answer
        self.finished = False  # no stream is begun any more: the program is about to end
        self._next = 1
        self._events, self._busy = deque(), False
        # for state that schedulers share (fleet/uses.py); None where they share none
        self.observe: Callable[[str, str, Outcome, float], None] | None = None
        self.sending: Callable[[str, bool], None] | None = None  # worker, whether it is a retry
        self.answered: Callable[[Stream, Answer], None] | None = None
        self.probed: Callable[[str, dict[str, float]], None] | None = None
        self.draw: Callable[[str], float] | None = None  # of a job's name, from 0 to 1
        self.pause: Callable[[float], float] | None = None  # what a refused client is told
        self.cold_use: Callable[[io.ColdUsage], None] | None = None
        self.freshen: Callable[[], None] | None = None
        self.fresh_until = float("inf")  # what the schedulers share is to be looked at anew from then on
        self._carry = {
            io.Send: self._send, io.Cancel: self._cancel, io.Refuse: self._refuse, io.Fail: self._fail,
            io.SetTimer: self._set_timer, io.Watch: self._watch, io.Probe: self._probe,
            io.ColdUsage: lambda action: self.cold_use(action),
        }  # fmt: skip

    def connect(self, upstream, cluster) -> None:
        """Join the two sides that actions go out to."""
        self.upstream, self.cluster = upstream, cluster

    def _owns(self, settings: io.Settings) -> None:
        self.settings, self.classes = settings, {c.name: c for c in settings.classes}

    def retune(self, settings: io.Settings) -> None:
        """Other settings hold from now on, here, in the module and at the intake, which reads them here.

        Streams that are open keep the class and the number of upstream requests they were taken under.
        """
        if settings != self.settings:
            self._owns(settings)
            self.deliver(io.SettingsChanged(settings))

    # -- Events in -------------------------------------------------------------------------------

    def deliver(self, event: io.Event) -> None:
        """Give the module an event and carry out its actions.

        What an action sets off at once waits its turn: the module is never entered while it or its
        actions are under way, and events reach it in the order in which they happened.
        """
        if self.freshen is not None and not self._busy and self.clock.now() >= self.fresh_until:
            # guards against a process that was held (stopped, starved) going on with rights that are over
            self.fresh_until = float("inf")
            self.freshen()
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._busy = False

    def _handle(self, event) -> None:
        failed = False
        try:
            actions = self.dispatcher.handle(self.clock.now(), event)
        except Exception:
            # guards against one bad event taking the scheduler, and so all other streams, down
            log.exception("module.failed", on=repr(event))
            self.counters["module.exceptions"] += 1
            actions, failed = list(self.dispatcher.actions), True  # it has booked these as done
        for action in actions:
            self._carry[type(action)](action)
        stream = self.streams.get(getattr(event, "request", None))
        if failed and stream is not None and not stream.over and not stream.out:
            self._finish(stream, Failed())

    def take(self, arrival: Arrival, answer: Callable[[Answer], None]) -> Stream | None:
        """Take a stream in; its answer may come before this returns.  None if too many are open."""
        self.counters["in.streams"] += 1
        if self.open >= self.max_streams or self.finished:
            # at the end guards against a stream that begins after all others were answered, to be cut off
            self.counters["in.turned_away"] += 1
            answer(Refused(self.settings.pause_ms))
            return None
        deadline = self.clock.now() + arrival.time_left_ms
        stream = Stream(self._next, deadline, self.settings.max_attempts, arrival, answer)
        self._next += 1
        self.open += 1
        self.streams[stream.number] = stream
        late = arrival.time_left_ms + BACKSTOP_MS
        stream.backstop = self.wheel.after(late, self._overdue, stream)
        if self.draw is not None:
            stream.draw = self.draw(arrival.job)
        event = io.Submitted(
            stream.number, arrival.job_class, arrival.time_left_ms, arrival.slots, arrival.memory,
            arrival.key, arrival.work_hint_ms, arrival.tenant, stream.draw,
        )  # fmt: skip
        self.deliver(event)
        return stream

    def client_gone(self, stream: Stream) -> None:
        """The client has left before its answer; nothing more is owed."""
        if stream.over:
            return
        self.counters["answered.client_gone"] += 1
        self._close(stream)
        self.deliver(io.ClientGone(stream.number))
        self._forget(stream)

    def _overdue(self, stream: Stream) -> None:
        """Guards rule 1 where the module, for whatever reason, has left a stream without an answer."""
        if stream.over:
            return
        log.error("answered.overdue", stream=stream.number)
        self.counters["answered.overdue"] += 1
        self._finish(stream, Failed())
        self.deliver(io.ClientGone(stream.number))
        self._forget(stream)

    def progressed(self, stream: Stream, number: int, share: float | None) -> None:
        """An upstream host tells that an upstream request has started, or how much of it is done."""
        if not stream.over:
            self.deliver(io.Progressed(stream.number, number, share))

    def ended(self, stream: Stream, number: int, elapsed_ms: float, result: Served | Failure) -> None:
        """The one outcome of an upstream request."""
        self.counters[f"sent.{result.outcome.name.lower()}"] += 1
        if result.outcome is not Outcome.MOOT:
            stream.last = result.outcome
        stream.out -= 1
        if isinstance(result, Served) and not stream.over:
            self._finish(stream, result)
        self.deliver(
            io.AttemptEnded(stream.number, number, result.outcome, elapsed_ms, stream.over, result.report)
        )
        self._forget(stream)

    # -- Actions out -----------------------------------------------------------------------------

    def _send(self, action: io.Send) -> None:
        stream = self.streams.get(action.request)
        if stream is None or stream.over:
            # guards rule 1: nothing is sent for a stream that has its answer
            self.counters["module.sends_after_end"] += 1
            return
        number, now = len(stream.attempts), self.clock.now()
        left = stream.deadline - now
        stream.out += 1
        self.counters["sent.requests"] += 1
        life = self.cluster.lifecycle(action.worker)
        why = None
        if number >= stream.most:
            why = "too many upstream requests for one stream"
        elif left <= 0:
            why = "the client's time is up"
        elif life is not Lifecycle.IN_SERVICE:
            why = "the upstream host is not in service"  # guards rule 3
        if why is not None:
            stream.attempts.append(None)
            self.ended(stream, number, 0.0, Failure(Stage.CONNECTING, Cause.NOT_SENT, why))
            return
        limit = min(action.timeout_ms, left) if action.timeout_ms else left

        def ended(result):
            timer.cancel()
            if self.observe is not None:
                self.observe(action.worker, stream.arrival.job_class, result.outcome, self.clock.now() - now)
            self.ended(stream, number, self.clock.now() - now, result)

        def progressed(share):
            self.progressed(stream, number, share)

        if self.sending is not None:
            self.sending(action.worker, stream.last is not None)
        if stream.last is not None:
            self.counters[f"retries.after_{stream.last.name.lower()}"] += 1
        until = now + limit
        begin_by = min(until, action.begin_by_ms)
        payload = stream.arrival.payload
        request = self.upstream.send(action.worker, payload, until, begin_by, ended, progressed)
        stream.attempts.append(request)
        timer = self.wheel.after(limit, request.abandon, Cause.TIMED_OUT)

    def _cancel(self, action: io.Cancel) -> None:
        stream = self.streams.get(action.request)
        known = stream.attempts[action.attempt : action.attempt + 1] if stream else ()
        if known and known[0] is not None:
            known[0].abandon(Cause.CANCELLED)

    def _refuse(self, action: io.Refuse) -> None:
        pause_ms = action.pause_ms if self.pause is None else self.pause(action.pause_ms)
        self._answer(action.request, Refused(pause_ms))

    def _fail(self, action: io.Fail) -> None:
        self._answer(action.request, Failed())

    def _set_timer(self, action: io.SetTimer) -> None:
        self.wheel.after(action.delay_ms, self.deliver, io.TimerFired(action.tag))

    def _watch(self, _action: io.Watch) -> None:
        self.counters["sent.watches"] += 1
        self.cluster.watch()

    def _probe(self, action: io.Probe) -> None:
        if not self.upstream.keeping:
            # a process that hands over sends nothing new: each probe would cost a connection of its own
            self.counters["probes.spared"] += 1
            return
        self.counters["sent.probes"] += 1
        started = self.clock.now()

        def ended(outcome: Outcome, report):
            self.counters[f"probes.{outcome.name.lower()}"] += 1
            if self.probed is not None and outcome is Outcome.OK:
                self.probed(action.worker, report or {})
            self.deliver(io.ProbeEnded(action.worker, outcome, self.clock.now() - started, report))

        self.upstream.probe(action.worker, ended)

    def end_all(self) -> None:
        """Answer all that is still open: the program is about to end.

        Guards against streams that are cut off unanswered when we are killed.
        """
        self.finished = True
        for stream in [s for s in self.streams.values() if not s.over]:
            self.counters["answered.at_the_end"] += 1
            self._finish(stream, Failed() if stream.attempts else Refused())
            self.deliver(io.ClientGone(stream.number))
            self._forget(stream)

    # -- Ends ------------------------------------------------------------------------------------

    def _answer(self, number: int, answer: Answer) -> None:
        stream = self.streams.get(number)
        if stream is not None and not stream.over:
            self._finish(stream, answer)
            self._forget(stream)

    def _finish(self, stream: Stream, answer: Answer) -> None:
        """Give the one final answer."""
        self.counters[f"answered.{type(answer).__name__.lower()}"] += 1
        self._close(stream)
        if self.answered is not None:
            self.answered(stream, answer)
        stream.answer(answer)

    def _close(self, stream: Stream) -> None:
        stream.over = True
        self.open -= 1
        stream.backstop.cancel()
        for request in stream.attempts:
            if request is not None:
                # guards against one that waits for its connection being sent once it comes up, for nobody;
                # this is no calling off, so it does not ask whether the settings allow that
                request.withdraw()

    def _forget(self, stream: Stream) -> None:
        """Drop a stream once it is answered and all its upstream requests are in."""
        if stream.over and not stream.out:
            self.streams.pop(stream.number, None)
