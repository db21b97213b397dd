"""The memory budget of a scheduler for request bodies and buffered responses.  No I/O.

A body is charged before it is read.  While there is no room for it, nothing of it is read, and its client is
held back by TCP.  Small bodies have a reserve of their own, so they pass by large ones that wait.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
PROCESS_BYTES = 64 * BYTES_PER_MB  # of the process without bodies: code, state, connections
# share of the rest; the other half is for socket buffers, for copies on their way, and for fragmentation
BUDGET_SHARE = 0.5
MIN_BUDGET_BYTES = 8 * BYTES_PER_MB
SMALL_BODY_BYTES = 64 << 10
SMALL_RESERVE_SHARE = 1 / 8  # of the budget, for small bodies only


def budget_bytes(memory_mb: float) -> int:
    """The budget (bytes) of a process that may use this much memory (MB)."""
    available = memory_mb * BYTES_PER_MB - PROCESS_BYTES
    return max(int(BUDGET_SHARE * available), MIN_BUDGET_BYTES)


class Reservation:
    """A part of the budget that is in use."""

    def __init__(self, budget: "MemoryBudget", size: int):
        self._budget, self.size = budget, size

    def resize(self, size: int) -> None:
        """Use more or less.  What is more does not wait: it has been received already."""
        self._budget._use(size - self.size)
        self.size = size

    def release(self) -> None:
        """Return all of it; again has no effect."""
        self.resize(0)


@dataclass(eq=False, slots=True)
class _Waiter:
    """A reservation that waits for room."""

    size: int
    granted: asyncio.Future


class MemoryBudget:
    """Bytes that all requests together may hold.  Large bodies are admitted in the order of their arrival."""

    def __init__(self, total: int):
        self.total = total
        self.used = 0
        self.max_large = total - int(SMALL_RESERVE_SHARE * total)
        self._waiting: deque[_Waiter] = deque()

    @property
    def waiting(self) -> int:
        """The number of reservations that wait for room."""
        return len(self._waiting)

    async def reserve(self, size: float) -> Reservation:
        """Reserve room for a body, waiting until there is some.

        A body that is larger than the budget takes all that large ones may have, and so is held alone.
        """
        size = int(min(size, self.max_large))
        if self._fits(size) and (_is_small(size) or not self._large_waits()):
            self.used += size
            return Reservation(self, size)
        waiter = _Waiter(size, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        try:
            await waiter.granted
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        return Reservation(self, size)

    def charge(self, size: int) -> Reservation:
        """Count bytes that are received in any case; the budget may be exceeded, and new bodies wait."""
        self.used += size
        return Reservation(self, size)

    def _fits(self, size: int) -> bool:
        return self.used + size <= (self.total if _is_small(size) else self.max_large)

    def _large_waits(self) -> bool:
        return any(not _is_small(waiter.size) for waiter in self._waiting)

    def _use(self, size: int) -> None:
        """Change what is in use; nothing else does once a reservation exists."""
        self.used += size
        if size < 0:
            self._grant_waiting()

    def _withdraw(self, waiter: _Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            self._grant_waiting()  # others may have waited behind it
        elif waiter.granted.done() and not waiter.granted.cancelled():
            self._use(-waiter.size)  # it was granted, and its caller can't use it any more

    def _grant_waiting(self) -> None:
        still_waiting: deque[_Waiter] = deque()
        large_waits = False
        for waiter in self._waiting:
            is_small = _is_small(waiter.size)
            if waiter.granted.done():
                continue
            if self._fits(waiter.size) and (is_small or not large_waits):
                self.used += waiter.size
                waiter.granted.set_result(None)
            else:
                still_waiting.append(waiter)
                large_waits = large_waits or not is_small
        self._waiting = still_waiting


def _is_small(size: int) -> bool:
    return size <= SMALL_BODY_BYTES
