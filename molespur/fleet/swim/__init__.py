"""Membership of the fleet by SWIM with the Lifeguard refinements.  Pure: events in, actions out.

Sources: Das, Gupta and Motivala, "SWIM" (2002); Dadgar, Phillips and Currey, "Lifeguard" (2018); and the
behaviour that HashiCorp's memberlist documents.  Each period this member pings one other, in a shuffled
round-robin order; without an ack within the probe timeout it asks `indirect` others to ping for it; without
any ack by the end of the period the target is *suspect*.  A suspect that does not refute within the
suspicion timeout is dead.  News rides on pings and acks, and on a few gossip datagrams a gossip period,
each piece a bounded number of times; a push-pull of whole views over TCP at a slower period (also with
failed members, so that two halves that healed find each other) repairs what gossip missed.

Lifeguard: a member that misses nacks, or is suspected itself, or finds that it was held (a gap between two
calls, such as a starved or stopped process) raises its local health score, which stretches its own probe
period and timeouts; suspicion timeouts shrink from their longest to their shortest as independent members
confirm; a ping to a suspect carries the suspicion, so that it can refute at once (buddy system).

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
