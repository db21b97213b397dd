"""How old the state of a replica is: when it last certainly held all that had been acknowledged.  Pure.

A leader whose own term is committed holds all that was acknowledged before a majority answered it last.
It tells its followers so, as a claim: "all that was acknowledged before this time is committed up to
this index".  The time is on the follower's own clock, worked out from the follower's last reply, so that
no two clocks are compared and a follower whose replies are lost grows old, however much it hears.  A
claim holds once its index is applied.

Times are milliseconds on a steady clock.
"""

from collections import deque
from dataclasses import dataclass

MAX_CLAIMS = 32  # that wait for their index; a replica this far behind takes no further ones


@dataclass(frozen=True, slots=True)
class _Claim:
    """All that was acknowledged before a time is committed up to an index."""

    commit_index: int
    at: float


class StateAge:
    """The newest time of which a replica holds everything."""

    def __init__(self):
        self.confirmed_at = float("-inf")
        self._claims: deque[_Claim] = deque()

    def claimed(self, commit_index: int, at: float) -> None:
        """A leader has claimed something for this replica."""
        if len(self._claims) < MAX_CLAIMS:
            self._claims.append(_Claim(commit_index, at))

    def applied(self, index: int) -> None:
        """The state holds everything up to an index."""
        while self._claims and self._claims[0].commit_index <= index:
            self.confirm(self._claims.popleft().at)

    def confirm(self, at: float) -> None:
        """The state holds all that was acknowledged before a time."""
        self.confirmed_at = max(self.confirmed_at, at)
