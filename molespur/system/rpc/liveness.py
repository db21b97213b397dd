"""Whether a channel still works both ways: only a round trip tells.  Pure; times are seconds.

A peer whose answers are lost goes on hearing, and a connection whose window is full neither breaks nor moves.
Neither the kernel's time-out for unacknowledged bytes nor frames that come some other way notice it.
"""

from enum import Enum

QUIET_S = 0.3  # nothing has come for this long: ask
ANSWER_S = 1.0  # and no answer for this long: the channel is given up


class Step(Enum):
    """What is to be done about a channel now."""

    NOTHING = "nothing"
    ASK = "ask"
    GIVE_UP = "give up"


class ChannelLiveness:
    """One channel's signs of life."""

    def __init__(self, now: float):
        self._heard_at = now
        self._asked_at: float | None = None

    def heard(self, now: float) -> None:
        """Bytes have come."""
        self._heard_at, self._asked_at = now, None

    def look(self, now: float) -> Step:
        """The step that is due.  A process that stood still reads first what had come, and then looks."""
        if self._asked_at is not None:
            return Step.GIVE_UP if now - self._asked_at > ANSWER_S else Step.NOTHING
        if now - self._heard_at < QUIET_S:
            return Step.NOTHING
        self._asked_at = now
        return Step.ASK
