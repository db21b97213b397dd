"""When a replica lets a snapshot stand for its log.  Pure.

The points of compaction follow from the log alone, so all replicas have snapshots of the same indexes with
the same bytes, and a transfer that one leader has begun is finished by another one.
"""

LEAST_ENTRIES = 64
LEAST_BYTES = 1 << 20
STATE_BYTES_PER_ENTRY = 1 << 10  # a large state is written again only after as many more entries


class CompactionSchedule:
    """Looks at each applied entry of one log; the replica's state machine is deterministic.

    Indexes that are a multiple of the stride are points of compaction whatever came before, so replicas that
    have counted bytes from different snapshots agree from the next one of these on.
    """

    def __init__(self, least_entries: int = LEAST_ENTRIES):
        """`least_entries`: a power of two."""
        self._least_entries = least_entries
        self._log_bytes = 0  # of commands since the last point of compaction

    def applied(self, index: int, entry_bytes: int, state_bytes: int) -> bool:
        """An entry has been applied, after which the state has this size; whether to compact up to it."""
        self._log_bytes += entry_bytes
        heavy = self._log_bytes > max(LEAST_BYTES, 2 * state_bytes)
        if not heavy and index % self._stride(state_bytes):
            return False
        self._log_bytes = 0
        return True

    def restored(self) -> None:
        """The state is that of a snapshot now, whose index was a point of compaction."""
        self._log_bytes = 0

    def _stride(self, state_bytes: int) -> int:
        """Entries between two points: a power of two, so that strides of all sizes share points."""
        entries = max(self._least_entries, state_bytes // STATE_BYTES_PER_ENTRY)
        return 1 << (entries - 1).bit_length()
