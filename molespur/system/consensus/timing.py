"""Time-outs of the consensus, ms on a steady clock."""

HEARTBEAT_INTERVAL_MS = 150.0
ELECTION_MS = (700.0, 1300.0)  # a follower campaigns after a silence drawn from this range
FIRST_ELECTION_MS = (60.0, 250.0)  # the same until a leader was heard: a pre-vote disturbs none that lives
YIELD_MS = (200.0, 400.0)  # a candidate that has given way to another one tries again after this time
LEASE_MS = 0.8 * ELECTION_MS[0]  # a leader heard by a majority this lately is the only one
RETRY_APPEND_MS = 600.0  # an append without an answer is sent again after this time
