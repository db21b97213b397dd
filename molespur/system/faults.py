"""Numbered fault points: places in the code where a test can inject a failure.  No effect unless armed.

An armed point calls the function that the test supplied, which raises an error that can occur at that point.
"""

from collections.abc import Callable
from enum import IntEnum


class FaultPoint(IntEnum):
    """The fault points, in the order in which a request or a configuration change reaches them."""

    BEFORE_CONNECT = 1  # a call to a worker has not been sent
    AFTER_SEND = 2  # its last byte has been sent, no response has arrived
    AFTER_PREFILL = 3  # the prompt has been processed; no attempt uses its KV memory yet
    AFTER_HEAD = 4  # the response head has arrived, nothing has been sent to the client
    BETWEEN_EVENTS = 5  # some events have been sent to the client
    AFTER_LAST_EVENT = 6  # all events have been sent to the client, the response's end has not
    BEFORE_COMMIT = 11  # a record is in the database transaction, not yet on disk
    AFTER_COMMIT = 12  # it is on disk; its completion has not been reported
    BEFORE_PROPOSAL = 13  # a configuration change has been validated, not proposed
    BEFORE_ACKNOWLEDGEMENT = 14  # it is committed; the operator has not received the acknowledgement


_armed: dict[FaultPoint, Callable[[], None]] = {}


def trigger(point: FaultPoint) -> None:
    """Run the fault that a test has armed at this point, if any."""
    if _armed and point in _armed:
        _armed[point]()


def arm(point: FaultPoint, fault: Callable[[], None]) -> None:
    """Make a point call `fault` each time it is reached."""
    _armed[point] = fault


def disarm() -> None:
    """Remove the faults from all points."""
    _armed.clear()
