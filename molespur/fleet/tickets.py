"""Ownership of the fleet's budgets by tickets that a majority of named witnesses lends.  Pure.

The divisible part of each budget is cut into `count` equal tickets, the same for all budgets.  A member owns
a ticket while more than half of the witnesses have lent it to the current instance of this member.  A witness
lends a ticket to one instance at a time.  After Trencseni et al., "PaxosLease: Diskless Paxos for leases"
(2012), without its ballots: hashing assigns each ticket to a member, so contests are rare and end with the
lease.

No clock is compared with another.  The owner counts a lease from its request.  The witness counts it from the
(later) moment of its grant and for `hold_ms`: the lease, a margin for clocks that run at different rates, and
the grace period in which spending on the lease may still count.  A witness that has just started grants
nothing for `hold_ms`, because its earlier instance may have granted the tickets.
"""

import math
from collections.abc import Iterable

from .sharing import SharingConfig, TicketReply, TicketRequest

MAX_MOVE_SHARE = 0.1  # share of the tickets held that is released at once, so that the others stay in use
MAX_PENDING = 8  # own requests whose replies are still accepted


def to_bitmap(numbers: Iterable[int]) -> bytes:
    """Numbers as a bitmap, the lowest bit first."""
    bits = 0
    for number in numbers:
        bits |= 1 << number
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


def from_bitmap(data: bytes) -> set[int]:
    bits, found = int.from_bytes(data, "little"), set()
    while bits:
        low = bits & -bits
        found.add(low.bit_length() - 1)
        bits ^= low
    return found


class Witness:
    """One witness's ledger: which instance of which member holds which ticket, until when by our clock."""

    def __init__(self, own_id: str, count: int, hold_ms: float, started_ms: float):
        self.own_id, self.count, self.hold_ms = own_id, count, hold_ms
        self.quiet_until = started_ms + hold_ms
        self.lent: dict[int, tuple[tuple[str, int], float]] = {}  # ticket -> ((member, instance), until)
        # (member, instance) -> (seq of its last request, when)
        self._last_requests: dict[tuple[str, int], tuple[int, float]] = {}

    def handle_request(self, request: TicketRequest, now: float) -> TicketReply | None:
        """The reply to a request; None where it is not newer than the last one of that instance."""
        holder = (request.src, request.instance)
        if request.seq <= self._last_requests.get(holder, (-1, 0.0))[0]:
            return None
        self._last_requests[holder] = (request.seq, now)
        self._forget(now)
        granted = set()
        if now >= self.quiet_until:
            for ticket in from_bitmap(request.tickets):
                other, until = self.lent.get(ticket, (holder, 0.0))
                if ticket < self.count and (other == holder or until <= now):
                    self.lent[ticket] = (holder, now + self.hold_ms)
                    granted.add(ticket)
        return TicketReply(request.seq, self.own_id, request.instance, to_bitmap(granted))

    def _forget(self, now: float) -> None:
        """Forget instances that no longer send requests, so that ever new ones do not use up memory."""
        if len(self._last_requests) > 2 * self.count:
            self._last_requests = {h: v for h, v in self._last_requests.items() if now - v[1] < self.hold_ms}


class Holder:
    """One member's side: the tickets that it requests from the witnesses, and those that it owns."""

    def __init__(self, own_id: str, instance: int, config: SharingConfig):
        self.own_id, self.instance, self.config = own_id, instance, config
        self.last_released_at = -math.inf
        self.wanted: set[int] = set()  # tickets of the last request
        self._seq = 0
        self._since: dict[int, int] = {}  # ticket -> first of the consecutive requests that named it
        self._sent_at: dict[int, float] = {}  # request -> when it was sent
        self._grants: dict[int, dict[str, float]] = {}  # ticket -> witness -> until, by our clock

    def next_request(self, assigned: set[int], now: float) -> TicketRequest:
        """The next request, for the tickets that are assigned to us and those that we still own.

        Tickets that are now assigned to others are released in batches: while a ticket changes hands nobody
        has it.
        """
        held = {ticket for ticket in self._grants if self.owned_until(ticket) > now}
        lost = sorted(held & self.wanted - assigned)
        if lost and now - self.last_released_at >= self.config.lease_ms:
            self.last_released_at = now
            lost = lost[math.ceil(MAX_MOVE_SHARE * len(held)) :]
        self.wanted = assigned | set(lost)
        self._seq += 1
        self._sent_at[self._seq] = now
        self._sent_at.pop(self._seq - MAX_PENDING, None)
        self._since = {ticket: self._since.get(ticket, self._seq) for ticket in self.wanted}
        self._grants = {
            t: grants for t, grants in self._grants.items() if t in self.wanted or self.owned_until(t) > now
        }
        return TicketRequest(
            self._seq, self.own_id, self.instance, self.config.fingerprint, to_bitmap(self.wanted)
        )

    def handle_reply(self, reply: TicketReply) -> bool:
        """Take a witness's reply; False where it replies to none of our last requests."""
        sent_at = self._sent_at.get(reply.seq)
        if sent_at is None or reply.instance != self.instance or reply.src not in self.config.witnesses:
            return False
        for ticket in from_bitmap(reply.tickets):
            # guards against a late grant for a request from before we released the ticket
            if reply.seq >= self._since.get(ticket, self._seq + 1):
                grants = self._grants.setdefault(ticket, {})
                grants[reply.src] = max(grants.get(reply.src, -math.inf), sent_at + self.config.lease_ms)
        return True

    def owned_until(self, ticket: int) -> float:
        """Until when a majority has lent us a ticket, by our clock; minus infinity where it has not."""
        ends = sorted(self._grants.get(ticket, {}).values(), reverse=True)
        return ends[self.config.majority - 1] if len(ends) >= self.config.majority else -math.inf

    def owned(self, now: float) -> list[float]:
        """Until when we own each ticket that we own now, the latest first."""
        ends = [self.owned_until(ticket) for ticket in self._grants if ticket in self.wanted]
        return sorted((end for end in ends if end > now), reverse=True)
