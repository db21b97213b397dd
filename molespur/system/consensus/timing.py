"""Timeouts and intervals of the consensus algorithm, in milliseconds on a steady clock."""

HEARTBEAT_INTERVAL_MS = 150.0

# A follower starts a campaign when it has had no message from a leader for a time drawn from this range.
MIN_ELECTION_TIMEOUT_MS = 700.0
MAX_ELECTION_TIMEOUT_MS = 1300.0
ELECTION_TIMEOUT_RANGE_MS = (MIN_ELECTION_TIMEOUT_MS, MAX_ELECTION_TIMEOUT_MS)

# The election timeout of a replica that has had no message from any leader since it started.  It can be short
# because a campaign begins with a pre-vote, which does not disturb a live leader.
FIRST_ELECTION_TIMEOUT_RANGE_MS = (60.0, 250.0)

# A pre-candidate that has yielded to another one starts its next campaign after a time drawn from this range.
YIELD_TIMEOUT_RANGE_MS = (200.0, 400.0)

# A leader that had contact with a majority within this time is the only leader, unless voters have restarted.
LEADER_LEASE_MS = 0.8 * MIN_ELECTION_TIMEOUT_MS

# An append that has not been acknowledged is sent again after this time.
APPEND_RETRY_TIMEOUT_MS = 600.0
