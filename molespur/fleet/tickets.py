"""Who owns which part of the fleet's budgets: tickets, lent by a majority of named witnesses.  Pure.

The divisible part of each budget is cut into `count` equal tickets, the same for all budgets.  A member owns
a ticket while more than half of the witnesses have lent it to this life of this member.  A witness lends a
ticket to one life at a time.  After Trencseni et al., "PaxosLease: Diskless Paxos for leases" (2012), without
its ballots: whom a ticket falls to is agreed by hashing, so that contests are rare and end with the lease.

No clock is compared with another: the owner counts a lease from the moment it asked, the witness from the
(later) moment it said yes and for `hold_ms`, which is the lease, a margin for clocks that run at different
rates, and the grace in which what was spent on the lease may still weigh.  A witness that has just started
says yes to nobody for `hold_ms`: its earlier life may have.
"""

import math
from collections.abc import Iterable

from .sharing import SharingConfig, TicketReply, TicketRequest

MOVE_SHARE = 0.1  # of the tickets held that are let go at once for members that came: the rest works on
ASKS_KEPT = 8  # own asks whose answers may still come


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
    """One witness's ledger: which life of which member has which ticket, and until when by our clock."""

    def __init__(self, me: str, count: int, hold_ms: float, started_ms: float):
        self.me, self.count, self.hold_ms = me, count, hold_ms
        self.quiet_until = started_ms + hold_ms
        self.lent: dict[int, tuple[tuple[str, int], float]] = {}  # ticket -> ((member, life), until)
        self._seqs: dict[tuple[str, int], tuple[int, float]] = {}  # (member, life) -> its last ask, and when

    def handle_request(self, ask: TicketRequest, now: float) -> TicketReply | None:
        """The answer to an ask; None to one that is not newer than the last of that life."""
        holder = (ask.src, ask.life)
        if ask.seq <= self._seqs.get(holder, (-1, 0.0))[0]:
            return None
        self._seqs[holder] = (ask.seq, now)
        self._forget(now)
        granted = set()
        if now >= self.quiet_until:
            for ticket in from_bitmap(ask.tickets):
                other, until = self.lent.get(ticket, (holder, 0.0))
                if ticket < self.count and (other == holder or until <= now):
                    self.lent[ticket] = (holder, now + self.hold_ms)
                    granted.add(ticket)
        return TicketReply(ask.seq, self.me, ask.life, to_bitmap(granted))

    def _forget(self, now: float) -> None:
        """Forget lives that ask no more; guards memory against ever new ones."""
        if len(self._seqs) > 2 * self.count:
            self._seqs = {h: v for h, v in self._seqs.items() if now - v[1] < self.hold_ms}


class Holder:
    """One member's side: what it asks the witnesses for, and what it owns by their answers."""

    def __init__(self, me: str, life: int, share: SharingConfig):
        self.me, self.life, self.share = me, life, share
        self.moving_at = -math.inf
        self.wanted: set[int] = set()  # asked for in the last ask
        self._seq = 0
        self._since: dict[int, int] = {}  # ticket -> the first of the unbroken row of asks that named it
        self._asked: dict[int, float] = {}  # ask -> when
        self._yes: dict[int, dict[str, float]] = {}  # ticket -> witness -> until, by our clock

    def next_request(self, fallen: set[int], now: float) -> TicketRequest:
        """The next ask, for the tickets that fall to us and those that we own still.

        What has fallen to others is let go a part at a time: while a ticket changes hands nobody has it.
        """
        held = {ticket for ticket in self._yes if self.until(ticket) > now}
        lost = sorted(held & self.wanted - fallen)
        if lost and now - self.moving_at >= self.share.lease_ms:
            self.moving_at = now
            lost = lost[math.ceil(MOVE_SHARE * len(held)) :]
        self.wanted = fallen | set(lost)
        self._seq += 1
        self._asked[self._seq] = now
        self._asked.pop(self._seq - ASKS_KEPT, None)
        self._since = {ticket: self._since.get(ticket, self._seq) for ticket in self.wanted}
        self._yes = {t: yes for t, yes in self._yes.items() if t in self.wanted or self.until(t) > now}
        return TicketRequest(self._seq, self.me, self.life, self.share.fingerprint, to_bitmap(self.wanted))

    def handle_reply(self, say: TicketReply) -> bool:
        """A witness's answer; False where it answers none of our last asks."""
        asked = self._asked.get(say.seq)
        if asked is None or say.life != self.life or say.src not in self.share.witnesses:
            return False
        for ticket in from_bitmap(say.tickets):
            # guards against a late yes to an ask from before we let go of the ticket
            if say.seq >= self._since.get(ticket, self._seq + 1):
                yes = self._yes.setdefault(ticket, {})
                yes[say.src] = max(yes.get(say.src, -math.inf), asked + self.share.lease_ms)
        return True

    def until(self, ticket: int) -> float:
        """Until when a majority has lent us a ticket, by our clock; minus infinity: it has not."""
        ends = sorted(self._yes.get(ticket, {}).values(), reverse=True)
        return ends[self.share.majority - 1] if len(ends) >= self.share.majority else -math.inf

    def owned(self, now: float) -> list[float]:
        """Until when we own each ticket that we own now, the longest first."""
        ends = [self.until(ticket) for ticket in self._yes if ticket in self.wanted]
        return sorted((end for end in ends if end > now), reverse=True)
