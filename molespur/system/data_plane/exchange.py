"""One client request from its arrival to its answer, as a pure state machine.

The one place that decides whether something may be sent again, and what a client may be told: from how far
each attempt came.  Events go in through `handle(now, event)`, the action to take comes out.  Times are ms.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from ...policy.pair import Choice, Demand, PairPolicy, Step
from ...policy.tracking import WorkerTrack
from ..errors import ErrorKind
from ..settings.configuration import Route

LEAST_TIME_MS = 30.0  # with less time left nothing is begun
LOWEST_PRIORITY_AIMS = (
    4.0  # requests of the lowest priority are refused when forecast later than so many aims
)


class State(Enum):
    """Where a request is."""

    NEW = "new"
    READING = "reading"  # the prompt is being read apart
    RUNNING = "running"  # a call whose answer is the client's is out
    ANSWERING = "answering"  # the client has got the head of its answer
    DONE = "done"


class Failure(Enum):
    """How far an attempt came before it failed."""

    NOT_SENT = "not-sent"  # no connection came up
    REJECTED = "rejected"  # the worker says that it did not run it
    MAY_HAVE_RUN = "may-have-run"  # bytes went out, and no answer that can be used came


# -- Events ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Begin:
    """The request has come in whole."""


@dataclass(slots=True)
class PromptRead:
    """The prefill call has given a handle."""

    handle: str


@dataclass(slots=True)
class AttemptFailed:
    """The call that is out has failed, without anything of it having gone to the client."""

    failure: Failure


@dataclass(slots=True)
class AnswerBegun:
    """The head of a worker's answer has gone to the client."""


@dataclass(slots=True)
class AnswerBroken:
    """The worker's answer has ended before its end."""


@dataclass(slots=True)
class AnswerEnded:
    """The whole answer has gone to the client."""


Event = Begin | PromptRead | AttemptFailed | AnswerBegun | AnswerBroken | AnswerEnded

# -- Actions ---------------------------------------------------------------------------------------


@dataclass(slots=True)
class Read:
    """Call a worker to read the prompt apart."""

    step: Step


@dataclass(slots=True)
class Run:
    """Call a worker for the answer; with the address and handle of the memory that was read apart.

    `resume`: the client has got a part of the answer; go on after it.
    """

    step: Step
    source: WorkerTrack | None = None
    handle: str = ""
    resume: bool = False


@dataclass(slots=True)
class Answer:
    """End the request with an answer of our own."""

    kind: ErrorKind


@dataclass(slots=True)
class Cut:
    """Close the client's connection: its answer can't be ended."""


@dataclass(slots=True)
class Finish:
    """Nothing is left to do."""


Action = Read | Run | Answer | Cut | Finish


class Exchange:
    """One request; `workers` gives the service's workers as they are now, `spend` the right to a repeat."""

    def __init__(
        self,
        route: Route,
        demand: Demand,
        policy: PairPolicy,
        workers: Callable[[], Iterable[WorkerTrack]],
        spend: Callable[[float], bool],
    ):
        self.route, self.demand, self.policy = route, demand, policy
        self.workers, self.spend = workers, spend
        self.state = State.NEW
        self.avoid: list[str] = []
        self.counted = 0  # arrivals at workers that count
        self.spent = 0  # repeats that the budget has granted
        self.runs = 0  # calls for the answer that may have run
        self.read_free = True  # the first prompt that a worker reads apart does not count
        self.way: Choice | None = None
        self.step: Step | None = None
        self.source: WorkerTrack | None = None

    def handle(self, now: float, event: Event) -> Action:
        """Take one event at time now (ms) and return what to do next."""
        match event:
            case Begin():
                return self._choose(now)
            case PromptRead(handle):
                return self._hand_over(now, handle)
            case AttemptFailed(failure):
                return self._failed(now, failure)
            case AnswerBegun():
                return self._to(State.ANSWERING, Finish())
            case AnswerBroken():
                return self._broken(now)
            case AnswerEnded():
                return self._to(State.DONE, Finish())

    def _to(self, state: State, action: Action) -> Action:
        """The one place where the state changes."""
        self.state = state
        return action

    def _end(self, kind: ErrorKind) -> Action:
        return self._to(State.DONE, Answer(kind))

    def _refuse(self, unsent: ErrorKind) -> Action:
        """A final answer: it promises that nothing has run only if nothing can have."""
        if self.runs:
            return self._end(ErrorKind.MAY_HAVE_RUN)
        return self._end(ErrorKind.REJECTED if self.counted else unsent)

    def _may_send(self, now: float) -> bool:
        """Whether one more arrival is within the shared budget; the right is taken."""
        while self.spent < self.counted:
            if not self.spend(now):
                return False
            self.spent += 1
        return True

    def _choose(self, now: float, resume: bool = False) -> Action:
        if self.demand.deadline_at - now < LEAST_TIME_MS:
            return self._refuse(ErrorKind.OUT_OF_TIME_UNSENT)
        choice = self.policy.choose(now, self.workers(), self.demand, self.avoid)
        if choice is None:
            return self._refuse(ErrorKind.NO_WORKER)
        if self._hopeless(now, choice) or not self._may_send(now):
            return self._refuse(ErrorKind.OVERLOADED)
        if choice.way.prefill is not None and not resume:
            self.step = choice.way.prefill
            return self._to(State.READING, Read(self.step))
        return self._run(choice.way.run, resume=resume)

    def _hopeless(self, now: float, choice: Choice) -> bool:
        """Whether the best forecast leaves a new request no chance, or the lowest priority no good one."""
        if self.counted or self.runs:
            return False
        demand, forecast = self.demand, choice.way.forecast
        if now + forecast > demand.deadline_at:
            return True
        late = forecast > LOWEST_PRIORITY_AIMS * (demand.aim_at - now)
        return demand.lowest_priority and not choice.meets and late

    def _run(
        self, step: Step, source: WorkerTrack | None = None, handle: str = "", resume: bool = False
    ) -> Action:
        self.step = step
        self.counted += 1
        return self._to(State.RUNNING, Run(step, source, handle, resume))

    def _hand_over(self, now: float, handle: str) -> Action:
        source = self.step.worker
        if not self.read_free:
            self.counted += 1
        self.read_free = False
        if self.demand.deadline_at - now < LEAST_TIME_MS or not self._may_send(now):
            return self._refuse(ErrorKind.OUT_OF_TIME_UNSENT)
        step = self.policy.choose_decode(now, self.workers(), self.demand, source, self.avoid)
        if step is None:
            return self._refuse(ErrorKind.NO_WORKER)
        return self._run(step, source, handle)

    def _failed(self, now: float, failure: Failure) -> Action:
        reading = self.state is State.READING
        if self.step.worker.id not in self.avoid:
            self.avoid.append(self.step.worker.id)
        if reading:
            if failure is Failure.REJECTED:
                self.counted += 1
            elif failure is Failure.MAY_HAVE_RUN:
                self.counted += not self.read_free
                self.read_free = False
            return self._choose(now)
        if failure is Failure.NOT_SENT:
            self.counted -= 1
            return self._choose(now)
        if failure is Failure.REJECTED:
            return self._choose(now)
        self.runs += 1
        if self.route.repeatable and self.runs < self.route.max_attempts:
            return self._choose(now)
        return self._end(ErrorKind.MAY_HAVE_RUN)

    def _broken(self, now: float) -> Action:
        """The client has a part of its answer."""
        self.runs += 1
        if self.step.worker.id not in self.avoid:
            self.avoid.append(self.step.worker.id)
        if self.route.resumable and self.runs < self.route.max_attempts:
            action = self._choose(now, resume=True)
            if isinstance(action, Run):
                return action
        return self._to(State.DONE, Cut())
