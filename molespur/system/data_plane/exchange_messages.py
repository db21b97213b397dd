"""What goes into and comes out of an exchange: events of its attempts, and actions to take.  Plain data.

An attempt has a number; its events name it, and so do the actions that begin or end it.
"""

from dataclasses import dataclass
from enum import Enum

from ...policy.pair import Step
from ...policy.tracking import WorkerTrack
from ..errors import ErrorKind


class State(Enum):
    """Where a request is."""

    NEW = "new"
    OPEN = "open"  # attempts are out; nothing has gone to the client
    ANSWERING = "answering"  # a part of the answer has gone to the client
    DONE = "done"


class Failure(Enum):
    """How far an attempt came before it failed."""

    NOT_SENT = "not-sent"  # no connection came up
    REJECTED = "rejected"  # the worker says that it did not run it
    MAY_HAVE_RUN = "may-have-run"  # bytes went out, and no answer that can be used came


class HedgeRefusal(Enum):
    """Why no second attempt is begun beside one that is silent."""

    NOT_REPEATABLE = "not-repeatable"
    NO_ATTEMPT = "no-attempt"  # the route's attempts are used up
    NO_TIME = "no-time"
    NO_WORKER = "no-worker"
    NO_BUDGET = "no-budget"  # no right to a repeat
    SHARE_USED = "share-used"  # hedges have had their share of the traffic
    MOST_WORKERS_REST = "most-workers-rest"


# -- Events ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Begin:
    """The request has come in whole."""


@dataclass(slots=True)
class PromptRead:
    """The prefill call of an attempt has given a handle."""

    attempt: int
    handle: str


@dataclass(slots=True)
class AttemptSilent:
    """Nothing has come of an attempt for a while.  This proves nothing: the attempt stays open."""

    attempt: int


@dataclass(slots=True)
class AttemptProgress:
    """An attempt has brought what can go to the client next: a whole event, or a whole answer."""

    attempt: int


@dataclass(slots=True)
class AttemptFailed:
    """The call of an attempt has ended, and not with the end of an answer."""

    attempt: int
    failure: Failure


@dataclass(slots=True)
class AnswerEnded:
    """The whole answer has gone to the client."""

    attempt: int


Event = Begin | PromptRead | AttemptSilent | AttemptProgress | AttemptFailed | AnswerEnded

# -- Actions ---------------------------------------------------------------------------------------


@dataclass(slots=True)
class Read:
    """Call a worker to read the prompt apart."""

    attempt: int
    step: Step
    hedge: bool = False


@dataclass(slots=True)
class Run:
    """Call a worker for the answer; with the address and handle of the memory that was read apart.

    `resume`: the client has got a part of the answer; go on after it.
    """

    attempt: int
    step: Step
    source: WorkerTrack | None = None
    handle: str = ""
    resume: bool = False
    hedge: bool = False


@dataclass(slots=True)
class CancelAttempt:
    """End the call of an attempt: another one was faster."""

    attempt: int


@dataclass(slots=True)
class Answer:
    """End the request with an answer of our own."""

    kind: ErrorKind


@dataclass(slots=True)
class AbortResponse:
    """Close the client's connection: its answer can't be ended."""


@dataclass(slots=True)
class Finish:
    """Nothing is left to do."""


Action = Read | Run | CancelAttempt | Answer | AbortResponse | Finish
