"""The log of a replica: a snapshot, the entries after it, and the durable, committed and applied indexes."""

from collections.abc import Sequence

from ..rpc import molespur_pb2 as pb
from .records import Snapshot

MAX_ENTRIES_PER_APPEND = 64
MAX_BYTES_PER_APPEND = 1 << 20


class ReplicatedLog:
    """A log whose indexes start at 1; the snapshot replaces all entries up to its own index."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[pb.LogEntry]):
        self.snapshot = snapshot
        self.entries = list(entries)
        self.commit_index = self.applied_index = snapshot.index
        self.memberships: list[tuple[int, pb.Membership]] = [(snapshot.index, snapshot.membership)]
        self._record_memberships(self.entries)
        self.durable_index = self.last_index

    # -- Queries -------------------------------------------------------------------------------

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def membership(self) -> pb.Membership:
        """Return the newest membership, committed or not."""
        return self.memberships[-1][1]

    @property
    def membership_committed(self) -> bool:
        """Return whether the newest membership is committed."""
        return self.memberships[-1][0] <= self.commit_index

    def entry(self, index: int) -> pb.LogEntry | None:
        """Return the entry at an index; None if the log does not have it or has compacted it."""
        position = index - self.snapshot.index - 1
        return self.entries[position] if 0 <= position < len(self.entries) else None

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index; None if the log has neither it nor its snapshot."""
        if index == self.snapshot.index:
            return self.snapshot.term
        entry = self.entry(index)
        return entry.term if entry else None

    def has_entry(self, index: int, term: int) -> bool:
        """Return whether the entry at an index has this term.

        If so, all entries before it are the same as in the log of the leader of that term.
        """
        return self.term_at(index) == term

    def last_index_before_conflict(self, index: int) -> int:
        """Return the index after which a leader should continue if its entry at `index` does not match.

        Each call skips back over all entries of one term, so that the leader needs one round trip for each
        conflicting term instead of one for each entry.  The result is never below the commit index, because
        all logs have the same entries up to there.
        """
        if index > self.last_index:
            return self.last_index
        term = self.term_at(index)
        while index > self.commit_index and self.term_at(index) == term:
            index -= 1
        return index

    def entries_from(self, first: int) -> list[pb.LogEntry]:
        """Return entries from an index on, as many as fit into one append."""
        start = first - self.snapshot.index - 1
        batch, size = [], 0
        for entry in self.entries[start : start + MAX_ENTRIES_PER_APPEND]:
            size += len(entry.data)
            if batch and size > MAX_BYTES_PER_APPEND:
                break
            batch.append(entry)
        return batch

    # -- Updates -------------------------------------------------------------------------------

    def append(self, entries: Sequence[pb.LogEntry]) -> None:
        """Append entries, replacing all entries from the index of the first one on."""
        first = entries[0].index
        if first <= self.last_index:
            del self.entries[first - self.snapshot.index - 1 :]
            self.memberships = [m for m in self.memberships if m[0] < first]
            self.durable_index = min(self.durable_index, first - 1)
        self.entries.extend(entries)
        self._record_memberships(entries)

    def mark_synced(self, index: int) -> None:
        """Record that all entries up to an index are on disk."""
        self.durable_index = max(self.durable_index, index)

    def commit_up_to(self, index: int) -> list[pb.LogEntry]:
        """Commit the entries up to an index, as far as the log has them; return those to apply, in order."""
        self.commit_index = max(self.commit_index, min(index, self.last_index))
        first = self.applied_index + 1
        self.applied_index = self.commit_index
        return [self.entry(i) for i in range(first, self.commit_index + 1)]

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot that is not durable yet."""
        self.snapshot, self.entries = snapshot, []
        self.memberships = [(snapshot.index, snapshot.membership)]
        self.commit_index = self.applied_index = snapshot.index
        self.durable_index = 0

    def compact(self, index: int, state: bytes) -> None:
        """Replace all entries up to an applied index by a snapshot of this state."""
        membership = [m for i, m in self.memberships if i <= index][-1]
        later = [m for m in self.memberships if m[0] > index]
        snapshot = Snapshot(index, self.term_at(index) or 0, membership, state)
        self.entries = [entry for entry in self.entries if entry.index > index]
        self.snapshot, self.memberships = snapshot, [(index, membership), *later]

    def _record_memberships(self, entries: Sequence[pb.LogEntry]) -> None:
        for entry in entries:
            if entry.kind == pb.MEMBERSHIP:
                self.memberships.append((entry.index, pb.Membership.FromString(entry.data)))
