"""The recent changes of a group, for followers of the feed that lack some of them.  Pure.

A follower that lacks more than is kept is sent the whole state in their place.  A change of the configuration
is the whole configuration, so their number alone bounds nothing: their bytes are bounded as well.
"""

from collections import deque
from collections.abc import Iterator

MAX_CHANGES = 256
MAX_BYTES = 2 << 20


class ChangeHistory:
    """Every change after the index `since`, in order."""

    def __init__(self, since: int = 0):
        self.since = since
        self._changes: deque[tuple[int, bytes]] = deque()
        self._bytes = 0

    def append(self, index: int, payload: bytes) -> None:
        """Keep one more change; the oldest give way, but for this one."""
        self._changes.append((index, payload))
        self._bytes += len(payload)
        while len(self._changes) > 1 and (len(self._changes) > MAX_CHANGES or self._bytes > MAX_BYTES):
            self.since, dropped = self._changes.popleft()
            self._bytes -= len(dropped)

    def reset(self, index: int) -> None:
        """The state was replaced by that of a snapshot: no change up to this index is known."""
        self._changes.clear()
        self._bytes, self.since = 0, index

    def after(self, index: int) -> Iterator[tuple[int, bytes]] | None:
        """The changes after an index; None where some of them are not kept any more."""
        if index < self.since:
            return None
        return (change for change in self._changes if change[0] > index)
