"""The memory of one buffered response of a worker."""

from ..inbound.memory import SMALL_BODY_BYTES, MemoryBudget


class ResponseMemory:
    """Charges a response as it is read.  A large one waits for room before more of it is read.

    `expected`: the length (bytes) that it may reach.  The worker is held back by TCP meanwhile.
    """

    def __init__(self, memory: MemoryBudget, expected: int):
        self._memory, self._expected = memory, expected
        self._reservation = memory.charge(0)
        self._is_large = False

    async def hold(self, size: int) -> None:
        """Charge the bytes that have been read, with those that are about to be buffered."""
        if self._is_large:
            return
        if size <= SMALL_BODY_BYTES:
            self._reservation.resize(size)
            return
        self._reservation.release()  # one that needs the whole budget must not wait for itself
        self._reservation = await self._memory.reserve(max(self._expected, size))
        self._is_large = True

    def complete(self, size: int) -> None:
        """All of it has been read, and has this size."""
        self._reservation.resize(size)

    def release(self) -> None:
        """Return the memory: the client has the response."""
        self._reservation.release()
