"""ReadIndex: reads at a leader that wait until a majority has confirmed its leadership.  No I/O.

Source: Ongaro, 2014, section 6.4.
"""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _PendingRead:
    """A waiting read and the first round whose replies confirm it."""

    number: int
    round: int


class ReadIndex:
    """The pending reads of one leader.

    Each read starts a new round.  Appends carry the newest round and their replies echo it, so a reply proves
    that its sender followed this leader after the read had started.
    """

    def __init__(self):
        self.round = 0
        self._pending: deque[_PendingRead] = deque()

    def begin(self, number: int) -> None:
        """Add a read; appends that are sent from now on carry its round."""
        self.round += 1
        self._pending.append(_PendingRead(number, self.round))

    def confirm_up_to(self, majority_round: int) -> list[int]:
        """Remove the reads that are confirmed once a majority has echoed this round; return their numbers."""
        numbers = []
        while self._pending and self._pending[0].round <= majority_round:
            numbers.append(self._pending.popleft().number)
        return numbers

    def cancel_all(self) -> list[int]:
        """Remove all pending reads because leadership was lost; return their numbers."""
        numbers = [pending.number for pending in self._pending]
        self._pending.clear()
        return numbers
