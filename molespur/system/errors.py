"""The closed set of error kinds of the router fleet, and the HTTP response for each."""

from dataclasses import dataclass
from enum import Enum


class ErrorKind(Enum):
    """All errors of a client request, of a call to the control plane, or at the start of a process."""

    # client request
    MALFORMED = "malformed"
    HEADERS_TOO_LARGE = "headers-too-large"
    HEADERS_TOO_SLOW = "headers-too-slow"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TOO_SLOW = "body-too-slow"
    NO_MEMORY = "no-memory"  # the scheduler's memory for bodies is in use
    NO_ROUTE = "no-route"
    NO_CONFIGURATION = "no-configuration"
    OLD_CONFIGURATION = "old-configuration"  # a newer one, possibly in force elsewhere, might allow it
    STOPPING = "stopping"
    NO_WORKER = "no-worker"
    OVERLOADED = "overloaded"
    OUT_OF_TIME_UNSENT = "out-of-time-unsent"
    REJECTED = "rejected"  # every worker that was tried reported that it did not run the request
    MAY_HAVE_RUN = "may-have-run"
    OUT_OF_TIME = "out-of-time"
    # call from the operator or a worker
    UNREADABLE = "unreadable"
    INVALID_CONFIGURATION = "invalid-configuration"
    VERSION_MISMATCH = "version-mismatch"
    NO_LEADER = "no-leader"
    OUTCOME_UNKNOWN = "outcome-unknown"
    # process start
    BAD_SETTINGS = "bad-settings"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """An HTTP status, and whether it guarantees that the request was not and will not be run.

    `closes_connection`: what the client still sends of its request is not read.
    """

    status: int
    guarantees_not_run: bool = False
    retry_after_s: float | None = None
    closes_connection: bool = False


ERROR_RESPONSES = {
    ErrorKind.MALFORMED: ErrorResponse(400, closes_connection=True),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(431, closes_connection=True),
    ErrorKind.HEADERS_TOO_SLOW: ErrorResponse(408, guarantees_not_run=True, closes_connection=True),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, closes_connection=True),
    ErrorKind.BODY_TOO_SLOW: ErrorResponse(408, guarantees_not_run=True, closes_connection=True),
    ErrorKind.NO_MEMORY: ErrorResponse(
        503, guarantees_not_run=True, retry_after_s=0.3, closes_connection=True
    ),
    ErrorKind.NO_ROUTE: ErrorResponse(404),
    ErrorKind.NO_CONFIGURATION: ErrorResponse(503, guarantees_not_run=True, retry_after_s=0.7),
    ErrorKind.OLD_CONFIGURATION: ErrorResponse(503, guarantees_not_run=True, retry_after_s=0.3),
    ErrorKind.STOPPING: ErrorResponse(503, guarantees_not_run=True, retry_after_s=0.05),
    ErrorKind.NO_WORKER: ErrorResponse(503, guarantees_not_run=True, retry_after_s=0.2),
    ErrorKind.OVERLOADED: ErrorResponse(503, guarantees_not_run=True, retry_after_s=0.25),
    ErrorKind.OUT_OF_TIME_UNSENT: ErrorResponse(503, guarantees_not_run=True, retry_after_s=0.2),
    ErrorKind.REJECTED: ErrorResponse(503, guarantees_not_run=True, retry_after_s=0.1),
    ErrorKind.MAY_HAVE_RUN: ErrorResponse(502),
    ErrorKind.OUT_OF_TIME: ErrorResponse(504),
    ErrorKind.UNREADABLE: ErrorResponse(400),
    ErrorKind.INVALID_CONFIGURATION: ErrorResponse(400),
    ErrorKind.VERSION_MISMATCH: ErrorResponse(412),
    ErrorKind.NO_LEADER: ErrorResponse(503),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(503),
}
"""The response for each kind.  `BAD_SETTINGS` ends the process, so it has none."""

REFUSED_BY_CONFIGURATION = frozenset(
    {ErrorKind.NO_ROUTE, ErrorKind.BODY_TOO_LARGE, ErrorKind.HEADERS_TOO_LARGE}
)
"""Permanent refusals that depend on the configuration: only a fresh configuration may justify them."""


class FleetError(Exception):
    """An error of a known kind.  `detail` is a single line for the caller or the log."""

    def __init__(self, kind: ErrorKind, detail: str = ""):
        super().__init__(f"{kind.value}: {detail}" if detail else kind.value)
        self.kind, self.detail = kind, detail

    @property
    def response(self) -> ErrorResponse:
        """The HTTP response for this error."""
        return ERROR_RESPONSES[self.kind]
