"""One client request from its arrival to its answer, as a pure state machine.

The one place that decides whether something may be sent again, and what a client may be told: from how far
each attempt came.  Events go in through `handle(now, event)`, the actions to take come out.  Times are ms.

Only facts end an attempt: its worker has answered, rejected or broken off, or another attempt was faster.
Silence is no fact.  It may begin a second attempt, a hedge, beside the silent one, if worker, time, attempts
and budget allow one; the first of the two that brings what can go to the client next goes on, and the other
is ended then.  The silent one is never given up for the mere hope of a better one.
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
    Answer,
    AnswerEnded,
    AttemptFailed,
    AttemptProgress,
    AttemptSilent,
    Begin,
    CancelAttempt,
    Event,
    Failure,
    Finish,
    HedgeRefusal,
    PromptRead,
    Read,
    Run,
    State,
)
from .hedging import HedgeGate

LEAST_TIME_MS = 30.0  # with less time left nothing is begun
LOWEST_PRIORITY_AIMS = (
    4.0  # requests of the lowest priority are refused when forecast later than so many aims
)
MOST_OPEN_ATTEMPTS = 2


@dataclass(slots=True)
class Attempt:
    """One attempt that is open."""

    number: int
    step: Step
    in_prefill: bool  # its prompt is read apart; else a call whose answer is the client's is out
    hedge: bool


class Exchange:
    """One request; `workers` gives the service's workers as they are now, `spend` the right to a repeat."""

    def __init__(
        self,
        route: Route,
        demand: Demand,
        policy: PairPolicy,
        workers: Callable[[], Iterable[WorkerTrack]],
        spend: Callable[[float], bool],
        hedges: HedgeGate,
    ):
        self.route, self.demand, self.policy = route, demand, policy
        self.workers, self.spend, self.hedges = workers, spend, hedges
        self.state = State.NEW
        self.open_attempts: dict[int, Attempt] = {}
        self.avoid: list[str] = []
        self.begun = 0  # attempts so far
        self.counted = 0  # arrivals at workers that count
        self.spent = 0  # repeats that the budget has granted
        self.runs = 0  # calls for the answer that have ended and may have run
        self.read_free = True  # the first prompt that a worker reads apart does not count
        self.hedge_refusal: HedgeRefusal | None = None  # the last one

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event at time now (ms) and return what to do next, in order."""
        match event:
            case Begin():
                return self._begin(now)
            case PromptRead(number, handle) if number in self.open_attempts:
                return self._hand_over(now, self.open_attempts[number], handle)
            case AttemptSilent(number) if number in self.open_attempts:
                return self._hedge(now, self.open_attempts[number])
            case AttemptProgress(number) if number in self.open_attempts:
                return self._progress(self.open_attempts[number])
            case AttemptFailed(number, failure) if number in self.open_attempts:
                return self._failed(now, self.open_attempts[number], failure)
            case AnswerEnded(number) if number in self.open_attempts:
                self.open_attempts.pop(number)
                return self._done(Finish())
        return []  # of an attempt that was ended meanwhile

    @property
    def may_have_run(self) -> bool:
        """Whether a worker may have run the request, or may be running it."""
        return self.runs > 0 or any(not attempt.in_prefill for attempt in self.open_attempts.values())

    @property
    def is_racing(self) -> bool:
        """Whether more than one attempt is open."""
        return len(self.open_attempts) > 1

    def _enter(self, state: State) -> None:
        """The one place where the state changes."""
        self.state = state

    def _done(self, action: Action) -> list[Action]:
        """End the request, and all its attempts with it."""
        self._enter(State.DONE)
        return [*map(self._cancel, list(self.open_attempts.values())), action]

    # -- Attempts that begin ---------------------------------------------------------------------

    def _begin(self, now: float) -> list[Action]:
        self._enter(State.OPEN)
        return self._try_again(now)

    def _try_again(self, now: float) -> list[Action]:
        """Begin an attempt where none is open; without one the request ends."""
        resume = self.state is State.ANSWERING
        started = self._next(now, resume)
        if not isinstance(started, ErrorKind):
            return [started]
        return self._done(AbortResponse() if resume else Answer(self._refusal(started)))

    def _refusal(self, unsent: ErrorKind) -> ErrorKind:
        """A final answer: it promises that nothing has run only if nothing can have."""
        if self.runs:
            return ErrorKind.MAY_HAVE_RUN
        return ErrorKind.REJECTED if self.counted else unsent

    def _next(self, now: float, resume: bool) -> Action | ErrorKind:
        if self.demand.deadline_at - now < LEAST_TIME_MS:
            return ErrorKind.OUT_OF_TIME_UNSENT
        selection = self.policy.choose(now, self.workers(), self.demand, self.avoid)
        if selection is None:
            return ErrorKind.NO_WORKER
        if self._hopeless(now, selection) or not self._take_budget(now):
            return ErrorKind.OVERLOADED
        return self._start_attempt(selection, resume)

    def _take_budget(self, now: float, prefill: bool = False) -> bool:
        """Whether one more arrival is within the shared budget; the right is taken.

        `read`: one for a prompt that is read a second time, which counts, goes before it.
        """
        while self.spent < self.counted + prefill:
            if not self.spend(now):
                return False
            self.spent += 1
        return True

    def _hopeless(self, now: float, selection: Selection) -> bool:
        """Whether the best forecast leaves a new request no chance, or the lowest priority no good one."""
        if self.counted or self.runs:
            return False
        demand, forecast = self.demand, selection.plan.forecast_ms
        if now + forecast > demand.deadline_at:
            return True
        late = forecast > LOWEST_PRIORITY_AIMS * (demand.aim_at - now)
        return demand.lowest_priority and not selection.meets and late

    def _start_attempt(self, selection: Selection, resume: bool, hedge: bool = False) -> Action:
        self.begun += 1
        prefill_step = None if resume else selection.plan.prefill_step
        attempt = Attempt(self.begun, prefill_step or selection.plan.run, prefill_step is not None, hedge)
        self.open_attempts[attempt.number] = attempt
        if attempt.in_prefill:
            return Read(attempt.number, attempt.step, hedge)
        self.counted += 1
        return Run(attempt.number, attempt.step, resume=resume, hedge=hedge)

    # -- A second attempt beside a silent one ----------------------------------------------------

    def _hedge(self, now: float, silent: Attempt) -> list[Action]:
        if len(self.open_attempts) >= MOST_OPEN_ATTEMPTS:
            return []
        started = self._begin_hedge(now, silent)
        if isinstance(started, HedgeRefusal):
            self.hedge_refusal = started
            self.hedges.refused(started)
            return []
        return [started]

    def _begin_hedge(self, now: float, silent: Attempt) -> Action | HedgeRefusal:
        resume = self.state is State.ANSWERING
        runs_left = self._runs_left()
        if not silent.in_prefill and runs_left < 1:
            return HedgeRefusal.NO_ATTEMPT if self._is_repeatable() else HedgeRefusal.NOT_REPEATABLE
        avoid = [*self.avoid, silent.step.worker.id]
        selection = self.policy.choose(now, self.workers(), self.demand, avoid)
        if selection is None:
            return HedgeRefusal.NO_WORKER
        if silent.in_prefill and selection.plan.prefill_step is None and runs_left < 2:
            return HedgeRefusal.NO_ATTEMPT  # the silent one needs the last run for itself
        if now + max(selection.plan.forecast_ms, LEAST_TIME_MS) > self.demand.deadline_at:
            return HedgeRefusal.NO_TIME
        refusal = self.hedges.refusal(now, silent.step.worker)
        if refusal is not None:
            return refusal
        if not self._take_budget(now, prefill=selection.plan.prefill_step is not None and not resume):
            return HedgeRefusal.NO_BUDGET
        self.hedges.began(now, silent.step.worker)
        return self._start_attempt(selection, resume, hedge=True)

    def _is_repeatable(self) -> bool:
        """Whether it may run again as far as its answer has come."""
        return self.route.resumable if self.state is State.ANSWERING else self.route.repeatable

    def _runs_left(self) -> int:
        """How many more calls for the answer may begin; prompts may be read more often."""
        running = sum(not attempt.in_prefill for attempt in self.open_attempts.values())
        max_runs = self.route.max_attempts if self._is_repeatable() else 1
        return max_runs - self.runs - running

    # -- Attempts that go on or end --------------------------------------------------------------

    def _hand_over(self, now: float, attempt: Attempt, handle: str) -> list[Action]:
        """The prompt has been read: call a worker for the answer."""
        abandoned = [self._cancel(other) for other in self._other_attempts(attempt) if other.in_prefill]
        if not self.read_free:
            self.counted += 1
        self.read_free = False
        source, step = attempt.step.worker, None
        refusal = ErrorKind.OUT_OF_TIME_UNSENT
        if self.demand.deadline_at - now >= LEAST_TIME_MS and self._take_budget(now):
            avoid = [*self.avoid, *(other.step.worker.id for other in self._other_attempts(attempt))]
            step = self.policy.choose_decode(now, self.workers(), self.demand, source, avoid)
            refusal = ErrorKind.NO_WORKER
        if step is None:
            self.open_attempts.pop(attempt.number)
            abandoned.append(CancelAttempt(attempt.number))
            return (
                abandoned if self.open_attempts else [*abandoned, *self._done(Answer(self._refusal(refusal)))]
            )
        attempt.step, attempt.in_prefill = step, False
        self.counted += 1
        return [*abandoned, Run(attempt.number, step, source, handle, hedge=attempt.hedge)]

    def _progress(self, attempt: Attempt) -> list[Action]:
        """This one goes on; what it was raced by is ended before its next byte goes out."""
        self._enter(State.ANSWERING)
        if attempt.hedge:
            attempt.hedge = False
            self.hedges.won()
        return [self._cancel(other) for other in self._other_attempts(attempt)]

    def _other_attempts(self, attempt: Attempt) -> list[Attempt]:
        return [other for other in self.open_attempts.values() if other is not attempt]

    def _cancel(self, attempt: Attempt) -> CancelAttempt:
        """End an attempt that another one has overtaken; it may have run all the same."""
        self.open_attempts.pop(attempt.number)
        self._count_ended(attempt)
        return CancelAttempt(attempt.number)

    def _count_ended(self, attempt: Attempt) -> None:
        """An attempt has ended after bytes of it went out."""
        if attempt.in_prefill:
            self.counted += not self.read_free
            self.read_free = False
        else:
            self.runs += 1

    def _failed(self, now: float, attempt: Attempt, failure: Failure) -> list[Action]:
        self.open_attempts.pop(attempt.number)
        if attempt.step.worker.id not in self.avoid:
            self.avoid.append(attempt.step.worker.id)
        match failure:
            case Failure.MAY_HAVE_RUN:
                self._count_ended(attempt)
            case Failure.REJECTED:
                self.counted += attempt.in_prefill  # a run was counted as it began
            case Failure.NOT_SENT:
                self.counted -= not attempt.in_prefill
        if self.open_attempts:
            return []  # the other one goes on
        if attempt.in_prefill or failure is not Failure.MAY_HAVE_RUN:
            return self._try_again(now)
        return self._after_run(now)

    def _after_run(self, now: float) -> list[Action]:
        """The last call for the answer has broken off."""
        if self._runs_left() > 0:
            return self._try_again(now)
        return self._done(
            AbortResponse() if self.state is State.ANSWERING else Answer(ErrorKind.MAY_HAVE_RUN)
        )
