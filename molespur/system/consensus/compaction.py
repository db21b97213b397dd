"""Decides when a replica replaces the start of its log by a snapshot.  No I/O.

The compaction points depend on the log alone.  All replicas therefore have snapshots of the same indexes with
the same bytes, and a snapshot transfer that one leader has started can be finished by another leader.
"""

MIN_ENTRIES = 64
MIN_LOG_BYTES = 1 << 20
STATE_BYTES_PER_ENTRY = 1 << 10  # a larger state is written less often: the stride grows with it


class CompactionSchedule:
    """Finds the compaction points of one log; requires a deterministic state machine.

    Every index that is a multiple of the stride is a compaction point, whatever came before it.  Replicas
    whose byte counts started at different snapshots therefore agree from the next such index on.
    """

    def __init__(self, min_entries: int = MIN_ENTRIES):
        """`min_entries` must be a power of two."""
        self._min_entries = min_entries
        self._log_bytes = 0  # bytes of the commands since the last compaction point

    def record_applied(self, index: int, entry_bytes: int, state_bytes: int) -> bool:
        """Record an applied entry and the state size after it; return whether to compact up to this entry."""
        self._log_bytes += entry_bytes
        large_log = self._log_bytes > max(MIN_LOG_BYTES, 2 * state_bytes)
        if not large_log and index % self._stride(state_bytes):
            return False
        self._log_bytes = 0
        return True

    def reset(self) -> None:
        """Restart after a snapshot was installed; the index of a snapshot is a compaction point."""
        self._log_bytes = 0

    def _stride(self, state_bytes: int) -> int:
        """Return the entries between two points: a power of two, so that different strides share points."""
        entries = max(self._min_entries, state_bytes // STATE_BYTES_PER_ENTRY)
        return 1 << (entries - 1).bit_length()
