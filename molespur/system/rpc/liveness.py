"""Decides whether a channel still carries frames in both directions.  No I/O; times are in seconds.

Only a round trip proves it.  A peer whose replies are lost still receives everything sent to it, and
a connection whose send window is full neither breaks nor makes progress.  The kernel's timeout for
unacknowledged bytes does not detect either case, nor do frames that arrive over another channel.
"""

from enum import Enum

PING_AFTER_IDLE_S = 0.3  # ping a peer from which nothing has been received for this long
REPLY_TIMEOUT_S = 1.0  # close the channel when nothing is received for this long after the ping


class LivenessAction(Enum):
    """What the owner of a channel has to do now."""

    NONE = "none"
    PING = "ping"
    CLOSE = "close"


class ChannelLiveness:
    """Tracks when one channel last received bytes, and the ping that is still unanswered."""

    def __init__(self, now: float):
        self._last_received_at = now
        self._pinged_at: float | None = None

    def record_received(self, now: float) -> None:
        """Record that bytes have arrived; any bytes answer a ping."""
        self._last_received_at, self._pinged_at = now, None

    def next_action(self, now: float) -> LivenessAction:
        """Return the action that is due.

        After a stall of this process, bytes that arrived meanwhile must be recorded before this is called.
        """
        if self._pinged_at is not None:
            return LivenessAction.CLOSE if now - self._pinged_at > REPLY_TIMEOUT_S else LivenessAction.NONE
        if now - self._last_received_at < PING_AFTER_IDLE_S:
            return LivenessAction.NONE
        self._pinged_at = now
        return LivenessAction.PING
