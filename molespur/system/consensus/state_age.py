"""Tracks how old the state of a replica is.  No I/O.

The age of a state is the time since which a write may have been acknowledged that the state lacks.

A leader that has committed an entry of its own term holds every write that was acknowledged before it sent
the newest append that a majority has answered.  It sends this to each follower as a claim: "every write that
was acknowledged before this time is committed up to this index".  A claim takes effect when the follower has
applied that index.

The time in a claim is on the follower's own clock, derived from the follower's last reply.  No clocks of two
processes are compared, and the state of a follower whose replies are lost grows old even though it receives
appends.

Times are in milliseconds on a steady clock.
"""

from collections import deque
from dataclasses import dataclass

# Claims that wait until their index is applied.  A replica this far behind drops further claims.
MAX_PENDING_CLAIMS = 32


@dataclass(frozen=True, slots=True)
class _Claim:
    """Every write that was acknowledged before `at_ms` is committed up to `commit_index`."""

    commit_index: int
    at_ms: float


class StateAgeTracker:
    """The newest time before which a replica is known to hold every acknowledged write."""

    def __init__(self):
        self.confirmed_at_ms = float("-inf")
        self._claims: deque[_Claim] = deque()

    def add_claim(self, commit_index: int, at_ms: float) -> None:
        """Add a claim that the leader has sent to this replica."""
        if len(self._claims) < MAX_PENDING_CLAIMS:
            self._claims.append(_Claim(commit_index, at_ms))

    def advance_applied(self, index: int) -> None:
        """Let the claims up to an applied index take effect."""
        while self._claims and self._claims[0].commit_index <= index:
            self.confirm(self._claims.popleft().at_ms)

    def confirm(self, at_ms: float) -> None:
        """Record that the state holds every write that was acknowledged before this time."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, at_ms)
