"""The sum of what came within a window that slides with time.  Pure; times are milliseconds."""

from collections import deque


class SlidingSum:
    """Amounts by the time at which they came."""

    def __init__(self):
        self._amounts: deque[tuple[float, float]] = deque()

    def add(self, now: float, amount: float) -> None:
        """Count an amount that comes now."""
        self._amounts.append((now, amount))

    def since(self, start: float) -> float:
        """The sum of what came from a time on; what came before it is forgotten."""
        while self._amounts and self._amounts[0][0] < start:
            self._amounts.popleft()
        return sum(amount for _, amount in self._amounts)
