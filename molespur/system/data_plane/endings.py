"""Why responses to clients end; `docs/design/endings.md` has the table."""

from enum import Enum


class EndReason(Enum):
    """What has ended the response to one request.  The values are labels of the metric `answers_ended`."""

    COMPLETE = "whole"  # a worker's complete response was sent
    ERROR_RESPONSE = "own-answer"  # the scheduler sent an error; the metric `answers` has its kind
    WORKER_BROKE_OFF = "worker-broke-off"  # in the middle of a stream that can't be resumed
    CLIENT_DEADLINE = "client-deadline"
    ROUTE_TIMEOUT = "route-timeout"
    CLIENT_DISCONNECTED = "client-gone"
    GRACE_PERIOD_OVER = "grace-over"  # the process is stopping and its grace period is over
    INTERNAL_ERROR = "internal-error"  # a bug in this program


class ResponseAborted(Exception):
    """The client's response can't be completed: its connection is closed before the end of the response."""

    def __init__(self, reason: EndReason):
        super().__init__(reason.value)
        self.reason = reason
