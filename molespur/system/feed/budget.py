"""The propagation bound, split over the steps from an acknowledgement to a scheduler.  Times are in ms.

`ConfigPropagationMs` is the bound: within this time an acknowledged change is in force at every scheduler.
A scheduler knows the age of its state: it has all that was acknowledged longer ago.  The steps are:

- leaving a source once the state is `leave_age_ms` old, noticed at most `CHECK_INTERVAL_MS` later;
- reaching another source: in the worst case one candidate fails first, after `UNREACHABLE_TIMEOUT_MS`;
- receiving the missing updates: `CATCH_UP_MS`, a round trip and the source's check for pending followers.

The remainder of the bound is a margin for slow processors and links.  In a fleet without faults the age does
not exceed `NORMAL_AGE_MS`: two heartbeats of the consensus, each up to a tick late, a check, and two round
trips.  `leave_age_ms` is above that.
"""

from dataclasses import dataclass

from ..consensus.timing import HEARTBEAT_INTERVAL_MS

CHECK_INTERVAL_MS = 200.0  # interval at which a scheduler pings its source and checks the age of its state
UNREACHABLE_TIMEOUT_MS = 300.0  # a source without an open channel is left after this time
CATCH_UP_MS = 150.0
TICK_MS = 50.0  # interval of the consensus timers of a control-plane process
ROUND_TRIP_MS = 10.0
NORMAL_AGE_MS = 2 * (HEARTBEAT_INTERVAL_MS + TICK_MS) + CHECK_INTERVAL_MS + 2 * ROUND_TRIP_MS
LEAVE_AGE_SHARE = 0.4  # share of the bound: the age at which a source is left
MAX_REFUSAL_AGE_SHARE = 0.9  # share of the bound: up to this age a request may be refused permanently
MIN_LEAVE_AGE_MS = 1.2 * NORMAL_AGE_MS  # a healthy source is not left, however short the bound


@dataclass(frozen=True, slots=True)
class FreshnessBudget:
    """The age limits that follow from a deployment's propagation bound."""

    bound_ms: float

    @property
    def leave_age_ms(self) -> float:
        """The age at which a scheduler looks for another source."""
        return max(LEAVE_AGE_SHARE * self.bound_ms, MIN_LEAVE_AGE_MS)

    @property
    def max_refusal_age_ms(self) -> float:
        """The max. age at which a request may be refused permanently: a newer state might allow it."""
        return MAX_REFUSAL_AGE_SHARE * self.bound_ms

    @property
    def worst_case_ms(self) -> float:
        """The time from an acknowledgement until it is in force, if one source and one candidate fail."""
        return self.leave_age_ms + CHECK_INTERVAL_MS + UNREACHABLE_TIMEOUT_MS + CATCH_UP_MS
