"""Numbered fault points: places where a test makes the program fail, each in turn.  Nothing when off.

A point that is armed calls what the test gave, which raises the error of the kind that this place can meet.
"""

from collections.abc import Callable
from enum import IntEnum


class FaultPoint(IntEnum):
    """The places, in the order in which a request or a change meets them."""

    BEFORE_CONNECT = 1  # a call to a worker has not left
    AFTER_SEND = 2  # its last byte has left, no answer has come
    AFTER_PREFILL = 3  # the prompt has been read; its memory has no taker yet
    AFTER_HEAD = 4  # the head of the answer has come, nothing of it has gone to the client
    BETWEEN_EVENTS = 5  # some events have gone to the client
    AFTER_LAST_EVENT = 6  # all events have gone to the client, not the end of the answer
    BEFORE_COMMIT = 11  # a record is in the database's transaction, not on the disk
    AFTER_COMMIT = 12  # it is on the disk; nobody has been told
    BEFORE_PROPOSAL = 13  # a change of the operator was checked, not proposed
    BEFORE_ACKNOWLEDGEMENT = 14  # it is committed; the operator has not been told


_armed: dict[FaultPoint, Callable[[], None]] = {}


def trigger(point: FaultPoint) -> None:
    """Fail here if a test says so."""
    if _armed and point in _armed:
        _armed[point]()


def arm(point: FaultPoint, fault: Callable[[], None]) -> None:
    """Make a point fail."""
    _armed[point] = fault


def disarm() -> None:
    """Make all points work again."""
    _armed.clear()
