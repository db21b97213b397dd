"""The state machine of one client request, from its arrival to the end of its response.  Pure.

Only this module decides whether something may be sent again and how the client is answered, from how far
each attempt came.  `handle(now, event)` takes an event and returns the actions to take.  Times are ms.

A run is a call to a worker for the response.  A prefill at a separate worker is no run: it may be repeated.

An attempt ends only because its worker has completed, rejected or broken off the call, or because another
attempt was faster.  Silence proves nothing and ends no attempt.  It may start a second attempt, a hedge,
beside the silent one, if a worker, time, attempts and budget are left.  The first of the two that has the
next bytes for the client continues, and the other one is cancelled only then.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ...policy.pair import Demand, PairPolicy, Selection, Step
from ...policy.tracking import WorkerTrack
from ..errors import ErrorKind
from ..settings.configuration import Route
from .exchange_messages import (
    AbortResponse,
    Action,
    AttemptFailed,
    AttemptProgressed,
    AttemptSilent,
    CancelAttempt,
    Event,
    Failure,
    Finish,
    HedgeRefusal,
    PrefillCompleted,
    RequestAbandoned,
    RequestReceived,
    RespondWithError,
    ResponseCompleted,
    StartPrefill,
    StartRun,
    State,
)
from .forecast_probe import ForecastProbe
from .hedging import HedgeGate

MIN_TIME_LEFT_MS = 30.0  # with less time left no call is started
# requests of the lowest priority are refused when their forecast exceeds this many times the target latency
MAX_LOWEST_PRIORITY_TARGETS = 4.0
MAX_OPEN_ATTEMPTS = 2


@dataclass(slots=True)
class Attempt:
    """One open attempt."""

    number: int
    step: Step
    in_prefill: bool  # its open call is a separate prefill, not a run
    hedge: bool


class Exchange:
    """One request.

    `workers` lists the service's workers as they are now; `spend_budget` takes a repeat of the retry budget.
    """

    def __init__(
        self,
        route: Route,
        demand: Demand,
        policy: PairPolicy,
        workers: Callable[[], Iterable[WorkerTrack]],
        spend_budget: Callable[[float], bool],
        hedge_gate: HedgeGate,
        forecast_probe: ForecastProbe,
    ):
        self.route, self.demand, self.policy = route, demand, policy
        self.workers, self.spend_budget, self.hedge_gate = workers, spend_budget, hedge_gate
        self.forecast_probe = forecast_probe
        self.state = State.NEW
        self.open_attempts: dict[int, Attempt] = {}
        self.avoid: list[str] = []
        self.attempts_started = 0
        self.counted_arrivals = 0  # arrivals at workers that count for the retry budget
        self.budget_spent = 0  # repeats that the budget has granted
        self.ended_runs = 0  # runs that have ended and may have been executed
        self.prefill_is_free = True  # the first separate prefill does not count as an arrival
        self.hedge_refusal: HedgeRefusal | None = None  # the last one

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event at time `now` (ms) and return the actions to take, in order."""
        if self.state is State.DONE and not isinstance(event, ResponseCompleted):
            return []  # nothing is started any more
        match event:
            case RequestReceived():
                return self._on_request(now)
            case RequestAbandoned():
                self._set_state(State.DONE)
            case PrefillCompleted(number, handle) if number in self.open_attempts:
                return self._on_prefill_completed(now, self.open_attempts[number], handle)
            case AttemptSilent(number) if number in self.open_attempts:
                return self._on_silence(now, self.open_attempts[number])
            case AttemptProgressed(number) if number in self.open_attempts:
                return self._on_progress(self.open_attempts[number])
            case AttemptFailed(number, failure) if number in self.open_attempts:
                return self._on_failure(now, self.open_attempts[number], failure)
            case ResponseCompleted(number) if number in self.open_attempts:
                self.open_attempts.pop(number)
                return self._end(Finish())
        return []  # the event of an attempt that was cancelled meanwhile

    @property
    def may_have_run(self) -> bool:
        """Whether a worker may have run the request, or may be running it."""
        return self.ended_runs > 0 or any(not attempt.in_prefill for attempt in self.open_attempts.values())

    @property
    def is_racing(self) -> bool:
        """Whether more than one attempt is open."""
        return len(self.open_attempts) > 1

    def _set_state(self, state: State) -> None:
        """Change the state; nothing else does."""
        self.state = state

    def _end(self, action: Action) -> list[Action]:
        """End the request and all its attempts."""
        self._set_state(State.DONE)
        return [*map(self._cancel, list(self.open_attempts.values())), action]

    # -- Attempts that start ---------------------------------------------------------------------

    def _on_request(self, now: float) -> list[Action]:
        self._set_state(State.OPEN)
        return self._start_next(now)

    def _start_next(self, now: float) -> list[Action]:
        """Start an attempt while none is open; end the request if none can start."""
        resume = self.state is State.RESPONDING
        started = self._try_start(now, resume)
        if not isinstance(started, ErrorKind):
            return [started]
        return self._end(AbortResponse() if resume else RespondWithError(self._final_error(started)))

    def _final_error(self, unsent: ErrorKind) -> ErrorKind:
        """The error of the final response: it promises that nothing has run only if nothing can have."""
        if self.ended_runs:
            return ErrorKind.MAY_HAVE_RUN
        return ErrorKind.REJECTED if self.counted_arrivals else unsent

    def _try_start(self, now: float, resume: bool) -> Action | ErrorKind:
        if self.demand.deadline_at - now < MIN_TIME_LEFT_MS:
            return ErrorKind.OUT_OF_TIME_UNSENT
        selection = self.policy.choose(now, self.workers(), self.demand, self.avoid)
        if selection is None:
            return ErrorKind.NO_WORKER
        if self._is_hopeless(now, selection) and not self.forecast_probe.may_start(now):
            return ErrorKind.OVERLOADED
        if not self._take_budget(now):
            return ErrorKind.OVERLOADED
        return self._start_attempt(selection, resume)

    def _take_budget(self, now: float, prefill: bool = False) -> bool:
        """Take from the retry budget what one more arrival at a worker needs; False if too little is left.

        `prefill`: a repeated prefill, which counts, precedes the arrival.
        """
        while self.budget_spent < self.counted_arrivals + prefill:
            if not self.spend_budget(now):
                return False
            self.budget_spent += 1
        return True

    def _is_hopeless(self, now: float, selection: Selection) -> bool:
        """Whether a new request would miss its deadline, or at the lowest priority its target by far."""
        if self.counted_arrivals or self.ended_runs:
            return False
        demand, forecast_ms = self.demand, selection.plan.forecast_ms
        if now + forecast_ms > demand.deadline_at:
            return True
        late = forecast_ms > MAX_LOWEST_PRIORITY_TARGETS * (demand.target_at - now)
        return demand.lowest_priority and not selection.meets_target and late

    def _start_attempt(self, selection: Selection, resume: bool, hedge: bool = False) -> Action:
        self.attempts_started += 1
        prefill_step = None if resume else selection.plan.prefill_step
        attempt = Attempt(
            self.attempts_started,
            prefill_step or selection.plan.response_step,
            prefill_step is not None,
            hedge,
        )
        self.open_attempts[attempt.number] = attempt
        if attempt.in_prefill:
            return StartPrefill(attempt.number, attempt.step, hedge)
        self.counted_arrivals += 1
        return StartRun(attempt.number, attempt.step, resume=resume, hedge=hedge)

    # -- A second attempt beside a silent one ----------------------------------------------------

    def _on_silence(self, now: float, silent: Attempt) -> list[Action]:
        if len(self.open_attempts) >= MAX_OPEN_ATTEMPTS:
            return []
        started = self._try_start_hedge(now, silent)
        if isinstance(started, HedgeRefusal):
            self.hedge_refusal = started
            self.hedge_gate.count_refused(started)
            return []
        return [started]

    def _try_start_hedge(self, now: float, silent: Attempt) -> Action | HedgeRefusal:
        resume = self.state is State.RESPONDING
        runs_left = self._runs_left()
        if not silent.in_prefill and runs_left < 1:
            return HedgeRefusal.NO_ATTEMPT if self._is_repeatable() else HedgeRefusal.NOT_REPEATABLE
        avoid = [*self.avoid, silent.step.worker.id]
        selection = self.policy.choose(now, self.workers(), self.demand, avoid)
        if selection is None:
            return HedgeRefusal.NO_WORKER
        if silent.in_prefill and selection.plan.prefill_step is None and runs_left < 2:
            return HedgeRefusal.NO_ATTEMPT  # the silent attempt needs the last run itself
        if now + max(selection.plan.forecast_ms, MIN_TIME_LEFT_MS) > self.demand.deadline_at:
            return HedgeRefusal.NO_TIME
        refusal = self.hedge_gate.refusal(now, silent.step.worker)
        if refusal is not None:
            return refusal
        if not self._take_budget(now, prefill=selection.plan.prefill_step is not None and not resume):
            return HedgeRefusal.NO_BUDGET
        self.hedge_gate.count_started(now, silent.step.worker)
        return self._start_attempt(selection, resume, hedge=True)

    def _is_repeatable(self) -> bool:
        """Whether the request may run again, given what the client has received of the response."""
        return self.route.resumable if self.state is State.RESPONDING else self.route.repeatable

    def _runs_left(self) -> int:
        """How many more runs may start; separate prefills may be repeated more often."""
        running = sum(not attempt.in_prefill for attempt in self.open_attempts.values())
        max_runs = self.route.max_attempts if self._is_repeatable() else 1
        return max_runs - self.ended_runs - running

    # -- Attempts that continue or end -----------------------------------------------------------

    def _on_prefill_completed(self, now: float, attempt: Attempt, handle: str) -> list[Action]:
        """Start the run that takes the KV cache over."""
        cancelled = [self._cancel(other) for other in self._other_attempts(attempt) if other.in_prefill]
        if not self.prefill_is_free:
            self.counted_arrivals += 1
        self.prefill_is_free = False
        source, step = attempt.step.worker, None
        refusal = ErrorKind.OUT_OF_TIME_UNSENT
        if self.demand.deadline_at - now >= MIN_TIME_LEFT_MS and self._take_budget(now):
            avoid = [*self.avoid, *(other.step.worker.id for other in self._other_attempts(attempt))]
            step = self.policy.choose_decode(now, self.workers(), self.demand, source, avoid)
            refusal = ErrorKind.NO_WORKER
        if step is None:
            self.open_attempts.pop(attempt.number)
            cancelled.append(CancelAttempt(attempt.number))
            return (
                cancelled
                if self.open_attempts
                else [*cancelled, *self._end(RespondWithError(self._final_error(refusal)))]
            )
        attempt.step, attempt.in_prefill = step, False
        self.counted_arrivals += 1
        return [*cancelled, StartRun(attempt.number, step, source, handle, hedge=attempt.hedge)]

    def _on_progress(self, attempt: Attempt) -> list[Action]:
        """Continue with this attempt; cancel the other one before the next bytes go to the client."""
        self._set_state(State.RESPONDING)
        if attempt.hedge:
            attempt.hedge = False
            self.hedge_gate.count_won()
        return [self._cancel(other) for other in self._other_attempts(attempt)]

    def _other_attempts(self, attempt: Attempt) -> list[Attempt]:
        return [other for other in self.open_attempts.values() if other is not attempt]

    def _cancel(self, attempt: Attempt) -> CancelAttempt:
        """Cancel an attempt because another one was faster; it may have run all the same."""
        self.open_attempts.pop(attempt.number)
        self._count_ended(attempt)
        return CancelAttempt(attempt.number)

    def _count_ended(self, attempt: Attempt) -> None:
        """Count an attempt that has ended after bytes of it were sent."""
        if attempt.in_prefill:
            self.counted_arrivals += not self.prefill_is_free
            self.prefill_is_free = False
        else:
            self.ended_runs += 1

    def _on_failure(self, now: float, attempt: Attempt, failure: Failure) -> list[Action]:
        self.open_attempts.pop(attempt.number)
        if attempt.step.worker.id not in self.avoid:
            self.avoid.append(attempt.step.worker.id)
        match failure:
            case Failure.MAY_HAVE_RUN:
                self._count_ended(attempt)
            case Failure.REJECTED:
                self.counted_arrivals += attempt.in_prefill  # a run was counted when it started
            case Failure.NOT_SENT:
                self.counted_arrivals -= not attempt.in_prefill
        if self.open_attempts:
            return []  # the other attempt continues
        if attempt.in_prefill or failure is not Failure.MAY_HAVE_RUN:
            return self._start_next(now)
        return self._after_last_run(now)

    def _after_last_run(self, now: float) -> list[Action]:
        """Start another attempt after the only open run has broken off, or end the request."""
        if self._runs_left() > 0:
            return self._start_next(now)
        return self._end(
            AbortResponse() if self.state is State.RESPONDING else RespondWithError(ErrorKind.MAY_HAVE_RUN)
        )
