"""Results of upstream requests.  A failure records how far the request had come."""

from dataclasses import dataclass
from enum import Enum, IntEnum

from ..interface import Outcome


class Stage(IntEnum):
    """How far an upstream request has come.  From SENT on its last byte is written, so it may have run."""

    CONNECTING = 0
    WRITING = 1
    SENT = 2
    RESPONDING = 3


class Cause(Enum):
    """Why an upstream request failed."""

    BROKEN = "connection was refused, broke or ended early"
    TIMED_OUT = "no response in time"
    MALFORMED = "malformed response"
    REJECTED = "rejected or handed back before the job started"
    ERROR = "error response"
    LOST = "job was killed"
    CANCELLED = "cancelled"
    NOT_SENT = "never sent"


@dataclass(frozen=True, slots=True)
class Failure:
    """An upstream request that ended without a result."""

    stage: Stage
    cause: Cause
    detail: str = ""
    report: dict[str, float] | None = None

    @property
    def outcome(self) -> Outcome:
        """The outcome for the decision module.

        A request has provably never run only if it was not written completely, or if the upstream host states
        that it was not processed.
        """
        if self.cause is Cause.CANCELLED:
            return Outcome.CANCELLED
        if self.cause is Cause.NOT_SENT:
            return Outcome.MOOT
        if self.cause is Cause.REJECTED:
            return Outcome.FULL
        if self.stage < Stage.SENT:
            return Outcome.CONNECT_FAILED
        if self.cause is Cause.TIMED_OUT:
            return Outcome.TIMEOUT
        return Outcome.ERROR if self.cause is Cause.ERROR else Outcome.RESET


@dataclass(frozen=True, slots=True)
class Served:
    """An upstream request that returned a result."""

    result: bytes
    report: dict[str, float] | None = None

    @property
    def outcome(self) -> Outcome:
        return Outcome.OK
