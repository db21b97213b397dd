"""The recent changes of a group, for feed followers that lack some of them.  No I/O.

A follower that lacks more changes than are kept is sent the full state instead.  Each configuration change
contains the full configuration, so a limit on the number of changes would not bound the memory; their total
size is limited as well.
"""

from collections import deque
from collections.abc import Iterator

MAX_CHANGES = 256
MAX_BYTES = 2 << 20


class ChangeHistory:
    """All changes after the index `since`, in order."""

    def __init__(self, since: int = 0):
        self.since = since
        self._changes: deque[tuple[int, bytes]] = deque()
        self._bytes = 0

    def append(self, index: int, payload: bytes) -> None:
        """Add a change and drop the oldest ones beyond the limits; the newest one is always kept."""
        self._changes.append((index, payload))
        self._bytes += len(payload)
        while len(self._changes) > 1 and (len(self._changes) > MAX_CHANGES or self._bytes > MAX_BYTES):
            self.since, dropped = self._changes.popleft()
            self._bytes -= len(dropped)

    def reset(self, index: int) -> None:
        """Drop all changes after the state was replaced by a snapshot of this index."""
        self._changes.clear()
        self._bytes, self.since = 0, index

    def after(self, index: int) -> Iterator[tuple[int, bytes]] | None:
        """Return the changes after an index; None if some of them are no longer kept."""
        if index < self.since:
            return None
        return (change for change in self._changes if change[0] > index)
