"""The sum of amounts within a sliding time window.  Does no I/O; times are milliseconds."""

from collections import deque


class SlidingSum:
    """Amounts with the times at which they were added."""

    def __init__(self):
        self._amounts: deque[tuple[float, float]] = deque()

    def add(self, now: float, amount: float) -> None:
        self._amounts.append((now, amount))

    def sum_since(self, start: float) -> float:
        """Sum of the amounts added since a time; older ones are dropped."""
        while self._amounts and self._amounts[0][0] < start:
            self._amounts.popleft()
        return sum(amount for _, amount in self._amounts)
