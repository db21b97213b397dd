"""Reads of a leader that wait until a majority has confirmed its lead: ReadIndex.  Pure.

Source: Ongaro, 2014, section 6.4.
"""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _PendingRead:
    """A read that waits, and the first round whose answers confirm it."""

    number: int
    round: int


class ReadIndex:
    """The reads under way at one leader.

    Each read opens a round.  Appends carry the newest round and their answers echo it, so an answer proves
    that its sender followed this leader after the read had begun.
    """

    def __init__(self):
        self.round = 0
        self._pending: deque[_PendingRead] = deque()

    def begin(self, number: int) -> None:
        """A read has come; appends sent from now on carry its round."""
        self.round += 1
        self._pending.append(_PendingRead(number, self.round))

    def confirmed(self, majority_round: int) -> list[int]:
        """A majority has answered appends of this round: the numbers of the reads that may be answered."""
        numbers = []
        while self._pending and self._pending[0].round <= majority_round:
            numbers.append(self._pending.popleft().number)
        return numbers

    def drop(self) -> list[int]:
        """The lead is lost: the numbers of all reads that wait."""
        numbers = [pending.number for pending in self._pending]
        self._pending.clear()
        return numbers
