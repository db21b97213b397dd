"""Why answers to clients end: a closed list of facts; `docs/design/endings.md` has the table."""

from enum import Enum


class EndReason(Enum):
    """What has ended the answer to one request."""

    WHOLE = "whole"  # a worker's answer has gone back to its end
    OWN_ANSWER = "own-answer"  # answered by an error kind; `answers` tells which
    WORKER_BROKE_OFF = "worker-broke-off"  # in the middle of a stream that can't be resumed
    CLIENT_DEADLINE = "client-deadline"
    ROUTE_TIMEOUT = "route-timeout"
    CLIENT_GONE = "client-gone"
    GRACE_OVER = "grace-over"  # the process was told to stop, and its grace period is over
    INTERNAL_ERROR = "internal-error"  # a fault of this program


class AnswerCut(Exception):
    """The client's answer can't be ended: its connection is closed without an end."""

    def __init__(self, reason: EndReason):
        super().__init__(reason.value)
        self.reason = reason
