"""When to log that a replica lacks what its leader names as committed.  Pure; times are milliseconds."""

LASTING_MS = 300.0  # a lag that is over sooner is ordinary replication
REPEAT_MS = 1000.0


class LagLog:
    """Decides for one replica whether its lag is worth a line in the log now."""

    def __init__(self):
        self._since: float | None = None  # when it was last level
        self._logged_at = float("-inf")

    def due(self, now: float, applied_index: int, leader_commit_index: int) -> bool:
        """Whether the replica has lagged for a while, and nothing was logged of it lately."""
        if applied_index >= leader_commit_index:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        if now - self._since < LASTING_MS or now - self._logged_at < REPEAT_MS:
            return False
        self._logged_at = now
        return True
