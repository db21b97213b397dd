"""The events that go into an exchange and the actions that come out of it.  Plain data.

Attempts are numbered.  Events name the attempt that they concern; so do actions that start or end one.
"""

from dataclasses import dataclass
from enum import Enum

from ...policy.pair import Step
from ...policy.tracking import WorkerTrack
from ..errors import ErrorKind


class State(Enum):
    """The state of a request."""

    NEW = "new"
    OPEN = "open"  # attempts are open; nothing has been sent to the client
    RESPONDING = "answering"  # a part of the response has been sent to the client
    DONE = "done"


class Failure(Enum):
    """How far an attempt came before it failed."""

    NOT_SENT = "not-sent"  # no connection could be opened
    REJECTED = "rejected"  # the worker replied that it did not run the request
    MAY_HAVE_RUN = "may-have-run"  # bytes were sent, and no usable response came


class HedgeRefusal(Enum):
    """Why no hedge is started beside a silent attempt.  The values are labels of the metric `hedges`."""

    NOT_REPEATABLE = "not-repeatable"
    NO_ATTEMPT = "no-attempt"  # the route's attempts are used up
    NO_TIME = "no-time"
    NO_WORKER = "no-worker"
    NO_BUDGET = "no-budget"  # the retry budget is used up
    SHARE_USED = "share-used"  # hedges have used their share of the traffic
    MOST_WORKERS_SILENT = "most-workers-rest"


# -- Events ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class RequestReceived:
    """The complete request has been received."""


@dataclass(slots=True)
class RequestAbandoned:
    """The client has left, or the request's time is over: nothing more may be started for it."""


@dataclass(slots=True)
class PrefillCompleted:
    """The prefill call of an attempt has returned a handle of the KV cache."""

    attempt: int
    handle: str


@dataclass(slots=True)
class AttemptSilent:
    """Nothing has been received of an attempt for a while.  This proves nothing: the attempt stays open."""

    attempt: int


@dataclass(slots=True)
class AttemptProgressed:
    """An attempt has the next bytes for the client: a complete event, or a complete response."""

    attempt: int


@dataclass(slots=True)
class AttemptFailed:
    """The call of an attempt has ended without a complete response."""

    attempt: int
    failure: Failure


@dataclass(slots=True)
class ResponseCompleted:
    """The complete response has been sent to the client."""

    attempt: int


Event = (
    RequestReceived
    | RequestAbandoned
    | PrefillCompleted
    | AttemptSilent
    | AttemptProgressed
    | AttemptFailed
    | ResponseCompleted
)

# -- Actions ---------------------------------------------------------------------------------------


@dataclass(slots=True)
class StartPrefill:
    """Call a prefill worker."""

    attempt: int
    step: Step
    hedge: bool = False


@dataclass(slots=True)
class StartRun:
    """Call a worker for the response; `source` and `handle` locate the KV cache of a separate prefill.

    `resume`: the client has received a part of the response; continue after it.
    """

    attempt: int
    step: Step
    source: WorkerTrack | None = None
    handle: str = ""
    resume: bool = False
    hedge: bool = False


@dataclass(slots=True)
class CancelAttempt:
    """Cancel the call of an attempt: another one was faster."""

    attempt: int


@dataclass(slots=True)
class RespondWithError:
    """End the request with an error response of the scheduler."""

    kind: ErrorKind


@dataclass(slots=True)
class AbortResponse:
    """Close the client's connection: its response can't be completed."""


@dataclass(slots=True)
class Finish:
    """End the request; the client has the complete response."""


Action = StartPrefill | StartRun | CancelAttempt | RespondWithError | AbortResponse | Finish
