"""Membership of the fleet by SWIM with the Lifeguard refinements.  Pure: events in, actions out.

Sources: Das, Gupta and Motivala, "SWIM" (2002); Dadgar, Phillips and Currey, "Lifeguard" (2018); and the
documented behavior of HashiCorp's memberlist.  Each period this member pings one other, in a shuffled
round-robin order.  Without an ack within the probe timeout it asks `indirect` others to ping the target for
it.  Without any ack by the end of the period the target is *suspect*.  A suspect that does not refute within
the suspicion timeout is dead.

Updates are piggybacked on pings and acks and sent in a few gossip datagrams each gossip interval, each update
a bounded number of times.  A push-pull of complete views over TCP at a longer interval repairs what gossip
missed.  It also goes to dead members, so that two halves find each other after a partition.

Lifeguard: a member raises its local health score when it misses nacks, is suspected itself, or was stalled (a
gap between two calls, as of a starved or stopped process).  The score stretches its own probe period and
timeouts.  Suspicion timeouts shrink from their longest to their shortest as independent members confirm.  A
ping to a suspect carries the suspicion, so that it can refute at once (buddy system).

Time is the `now` of each call, in milliseconds; randomness comes from the generator passed in; nothing here
reads a clock or opens a socket.  Outputs are actions: `Send` a datagram, `Push` a state by TCP, and
`Changed`, `Refuted`, `Conflict` for the log.
"""

from .members import Member, Suspicion
from .membership import Membership
from .records import (
    Changed,
    Conflict,
    Leave,
    Push,
    PushFailed,
    PushSucceeded,
    Received,
    Refuted,
    Seeds,
    Send,
    Start,
    Tick,
)

__all__ = [
    "Changed", "Conflict", "Leave", "Member", "Membership", "Push", "PushFailed", "PushSucceeded", "Received",
    "Refuted", "Seeds", "Send", "Start", "Suspicion", "Tick",
]  # fmt: skip
