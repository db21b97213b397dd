"""The promise of propagation, split over the hops from an acknowledgement to a scheduler.  Times are
milliseconds.

`ConfigPropagationMs` promises that an acknowledged change is in force everywhere after that time.  A
scheduler knows the age of its state: all that was acknowledged longer ago, it has.  So the promise is
kept by

- leaving a source once the state is `leave` old: seen at the next look, `LOOK_MS` later;
- reaching another one: at worst one candidate is tried in vain first, for `UNREACHABLE_MS`;
- being sent what is missing: `CATCH_UP_MS`, a round trip and a look of the source for waiting followers.

What is left of the promise is margin for slow processors and links.  The age that an undisturbed fleet
reaches is two heartbeats of the consensus, each up to a tick late, a look, and two round trips:
`CALM_MS`; `leave` lies above it.
"""

from dataclasses import dataclass

from ..consensus.timing import HEARTBEAT_INTERVAL_MS

LOOK_MS = 200.0  # a scheduler asks its source for the age of its state, and looks what follows from it
UNREACHABLE_MS = 300.0  # a source that no channel is open to is left after this time
CATCH_UP_MS = 150.0
TICK_MS = 50.0  # a control-plane process looks this often what is due
ROUND_TRIP_MS = 10.0
CALM_MS = 2 * (HEARTBEAT_INTERVAL_MS + TICK_MS) + LOOK_MS + 2 * ROUND_TRIP_MS
LEAVE_SHARE = 0.4  # of the promise: the age at which a source is left
REFUSE_SHARE = 0.9  # of the promise: the age beyond which nothing is refused for good
LEAST_LEAVE_MS = 1.2 * CALM_MS  # a source in order is not left, however short the promise


@dataclass(frozen=True, slots=True)
class FreshnessBudget:
    """The ages that one deployment's promise allows."""

    promise_ms: float

    @property
    def leave_ms(self) -> float:
        """The age at which a scheduler looks for another source."""
        return max(LEAVE_SHARE * self.promise_ms, LEAST_LEAVE_MS)

    @property
    def refuse_ms(self) -> float:
        """The age beyond which a scheduler refuses nothing for good: a newer state might allow it."""
        return REFUSE_SHARE * self.promise_ms

    @property
    def worst_ms(self) -> float:
        """From an acknowledgement until it is in force, where one source fails and one candidate too."""
        return self.leave_ms + LOOK_MS + UNREACHABLE_MS + CATCH_UP_MS
