"""Limits the log lines about a replica that lags behind its leader.  Times are in milliseconds."""

MIN_LAG_MS = 300.0  # a shorter lag is ordinary replication delay
LOG_INTERVAL_MS = 1000.0


class LagLogLimiter:
    """Decides when to log the lag of one replica."""

    def __init__(self):
        self._since: float | None = None  # start of the current lag
        self._logged_at = float("-inf")

    def should_log(self, now: float, applied_index: int, leader_commit_index: int) -> bool:
        """Return whether the replica has lagged for long enough and its lag was not logged recently."""
        if applied_index >= leader_commit_index:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        if now - self._since < MIN_LAG_MS or now - self._logged_at < LOG_INTERVAL_MS:
            return False
        self._logged_at = now
        return True
