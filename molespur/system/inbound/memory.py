"""The memory budget of a process for all that its callers make it hold.  No I/O.

Connections, requests, bodies and buffered responses are charged to one budget.  A body is charged before it
is read.  While there is no room for it, nothing of it is read, and its client is held back by TCP.  Small
bodies have a reserve of their own, so they pass by large ones that wait.

When a charge does not fit, connections that serve no request are closed first (`room_makers`).  While memory
is contended, clients that make no progress lose what they hold.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
PROCESS_BYTES = 64 * BYTES_PER_MB  # of the process without callers: code and state
# share of the rest; the other half is for copies on their way and for fragmentation
BUDGET_SHARE = 0.5
MIN_BUDGET_BYTES = 8 * BYTES_PER_MB
SMALL_BODY_BYTES = 64 << 10
SMALL_RESERVE_SHARE = 1 / 8  # of the budget, for small bodies only
CONTENTION_S = 2.0  # memory counts as contended for this long after a charge did not fit
STALL_S = 1.0  # a client without progress for this long gives way while memory is contended


def budget_bytes(memory_mb: float) -> int:
    """The budget (bytes) of a process that may use this much memory (MB)."""
    available = memory_mb * BYTES_PER_MB - PROCESS_BYTES
    return max(int(BUDGET_SHARE * available), MIN_BUDGET_BYTES)


class Reservation:
    """A part of the budget that is in use."""

    def __init__(self, budget: "MemoryBudget", size: int, counts_as_large: bool = False):
        self._budget, self.size, self._counts_as_large = budget, size, counts_as_large
        self._is_released = False

    def resize(self, size: int) -> None:
        """Use more or less.  What is more does not wait: it has been received already."""
        if self._is_released:
            return
        change, self.size = size - self.size, size
        if not size and self._counts_as_large:
            self._counts_as_large = False
            self._budget._large_held -= 1
        self._budget._use(change)

    def try_resize(self, size: int, large: bool = False) -> bool:
        """Use more if there is room for it; `large`: without the reserve for small bodies.

        The room may be made by closing the connection that this belongs to, which releases it.
        """
        growth = size - self.size
        has_room = growth <= 0 or self._budget._has_room(growth, large)
        if not has_room or self._is_released:
            return False
        self.resize(size)
        return True

    def release(self) -> None:
        """Return all of it; again has no effect."""
        self.resize(0)
        self._is_released = True


@dataclass(eq=False, slots=True)
class _Waiter:
    """A reservation that waits for room."""

    size: int
    granted: asyncio.Future


class MemoryBudget:
    """Bytes that all callers together may hold.  Large bodies are admitted in the order of their arrival.

    `room_makers` are called with the bytes that are missing; they may close connections to return memory.
    `clock`: seconds on a monotonic clock.
    """

    def __init__(self, total: int, clock: Callable[[], float] = time.monotonic):
        self.total = total
        self.used = 0
        self.max_large = total - int(SMALL_RESERVE_SHARE * total)
        self.room_makers: list[Callable[[int], None]] = []
        self._large_held = 0  # reservations of large bodies
        self._clock = clock
        self._denied_at = float("-inf")
        self._waiting: deque[_Waiter] = deque()

    @property
    def waiting(self) -> int:
        """The number of reservations that wait for room."""
        return len(self._waiting)

    @property
    def is_contended(self) -> bool:
        """Whether callers wait for memory, or were denied some a moment ago."""
        return bool(self._waiting) or self._clock() - self._denied_at < CONTENTION_S

    def record_denied(self) -> None:
        """A caller was refused for want of memory or descriptors."""
        self._denied_at = self._clock()

    async def reserve(self, size: float) -> Reservation:
        """Reserve room for a body, waiting until there is some.

        A body that is larger than the budget takes all that large ones may have, and so is held alone.
        """
        size = int(min(size, self.max_large))
        small = _is_small(size)
        if (small or not self._large_waits()) and self._has_room(size, not small):
            return self._grant(size)
        waiter = _Waiter(size, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        try:
            await waiter.granted
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        return waiter.granted.result()

    def charge(self, size: int) -> Reservation:
        """Count bytes that are received in any case; the budget may be exceeded, and new bodies wait."""
        self._use(size)
        return Reservation(self, size)

    def try_charge(self, size: int) -> Reservation | None:
        """Count bytes if there is room for them."""
        if not self._has_room(size, large=False):
            return None
        self.used += size
        return Reservation(self, size)

    def _has_room(self, size: int, large: bool) -> bool:
        """Whether so many bytes more fit, after room has been made if they did not."""
        limit = self._limit(large)
        for make_room in self.room_makers:
            missing = self.used + size - limit
            if missing > 0:
                make_room(missing)
        if self.used + size <= limit:
            return True
        self.record_denied()
        return False

    def _limit(self, large: bool) -> int:
        """What may be in use; a single large body may also take the place of small ones."""
        return self.max_large if large and self._large_held else self.total

    def _grant(self, size: int) -> Reservation:
        large = not _is_small(size)
        self._large_held += large
        self.used += size
        return Reservation(self, size, large)

    def _fits(self, size: int) -> bool:
        return self.used + size <= self._limit(not _is_small(size))

    def _large_waits(self) -> bool:
        return any(not _is_small(waiter.size) for waiter in self._waiting)

    def _use(self, size: int) -> None:
        """Change what is in use; nothing else does once a reservation exists."""
        self.used += size
        if size < 0:
            self._grant_waiting()
        elif size > 0 and self.used > self.total:
            self._has_room(0, large=False)

    def _withdraw(self, waiter: _Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            self._grant_waiting()  # others may have waited behind it
        elif waiter.granted.done() and not waiter.granted.cancelled():
            waiter.granted.result().release()  # it was granted, and its caller can't use it any more

    def _grant_waiting(self) -> None:
        still_waiting: deque[_Waiter] = deque()
        large_waits = False
        for waiter in self._waiting:
            is_small = _is_small(waiter.size)
            if waiter.granted.done():
                continue
            if self._fits(waiter.size) and (is_small or not large_waits):
                waiter.granted.set_result(self._grant(waiter.size))
            else:
                still_waiting.append(waiter)
                large_waits = large_waits or not is_small
        self._waiting = still_waiting


def _is_small(size: int) -> bool:
    return size <= SMALL_BODY_BYTES
