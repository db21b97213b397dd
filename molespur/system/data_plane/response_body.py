"""The body of one buffered response of a worker, and the memory that it is charged."""

from collections.abc import Iterator

from ..inbound.memory import SMALL_BODY_BYTES, MemoryBudget

PIECE_BYTES = 64 << 10  # of a complete response on its way to the client


class ResponseBody:
    """Charges a response as it is read.  A large one waits for room before more of it is read.

    The worker is held back by TCP meanwhile.  `max_length`: the length (bytes) that the response may reach;
    `is_declared`: whether the worker has stated it.

    The bytes belong to this object alone: calls that have ended may still refer to it for a while, and
    `release` drops the bytes all the same.
    """

    def __init__(self, memory: MemoryBudget, max_length: int, is_declared: bool):
        self._memory, self._max_length, self._is_declared = memory, max_length, is_declared
        self._reservation = memory.charge(0)
        self._is_large = False
        self._content = bytearray()
        self.size = 0

    async def append(self, chunk: bytes) -> None:
        """Add bytes that have been read, once there is room for them."""
        end = self.size + len(chunk)
        if not self._is_large:
            await self._charge(end)
        self._content[self.size : end] = chunk
        self.size = end

    async def _charge(self, size: int) -> None:
        if size <= SMALL_BODY_BYTES:
            self._reservation.resize(size)
            return
        self._reservation.release()  # one that needs the whole budget must not wait for itself
        self._reservation = await self._memory.reserve(max(self._max_length, size))
        self._is_large = True
        if self._is_declared:
            self._allocate(self._max_length)

    def _allocate(self, size: int) -> None:
        """Make room for the whole body at once, so that it is not moved again."""
        content = bytearray(size)
        content[: self.size] = self._content
        self._content = content

    def complete(self) -> None:
        """All of it has been read."""
        del self._content[self.size :]
        self._reservation.resize(self.size)

    def pieces(self) -> Iterator[bytes]:
        """The body in pieces; at least one, which may be empty."""
        for start in range(0, max(self.size, 1), PIECE_BYTES):
            yield bytes(memoryview(self._content)[start : start + PIECE_BYTES])

    def release(self) -> None:
        """Drop the bytes and return their memory: the client has the response, or gets none."""
        self._content = bytearray()
        self._reservation.release()
