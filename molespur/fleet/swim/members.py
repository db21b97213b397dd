"""What this member holds of the others: their states, suspicions, and what is under way about them."""

import math

from .. import wire
from ..model import Address, MemberUpdate, State


class Suspicion:
    """A suspicion's timeout, shorter with each independent confirmation (Lifeguard)."""

    __slots__ = ("accusers", "confirmed", "k", "least", "most", "start")

    def __init__(self, start: float, least: float, most: float, k: int, accuser: str):
        self.start, self.least, self.most, self.k = start, least, most, k
        self.accusers, self.confirmed = {accuser}, 0

    def confirm(self, by: str) -> bool:
        """Count another accuser once; True if it is new."""
        if not by or by in self.accusers:
            return False
        self.accusers.add(by)
        self.confirmed += 1
        return True

    def deadline(self) -> float:
        """When the suspicion becomes a verdict, ms."""
        if self.k < 1:
            return self.start + self.least
        share = math.log(self.confirmed + 1) / math.log(self.k + 1)
        return self.start + max(self.least, self.most - (self.most - self.least) * share)


class Member:
    """Another member as this view holds it."""

    __slots__ = ("address", "id", "incarnation", "since", "state", "suspicion")

    def __init__(self, id: str, address: Address, incarnation: int, state: State, since: float):
        self.id, self.address, self.incarnation = id, address, incarnation
        self.state, self.since = state, since
        self.suspicion: Suspicion | None = None

    def as_update(self, by: str = "") -> MemberUpdate:
        """What this view holds of it, as told by a member."""
        return MemberUpdate(self.id, self.address[0], self.address[1], self.incarnation, self.state, by)


class Probe:
    """The probe that is under way."""

    __slots__ = ("ends", "expected_nacks", "indirect_sent", "nacks", "seq", "target", "timeout")

    def __init__(self, target: str, seq: int, timeout: float, ends: float):
        self.target, self.seq, self.timeout, self.ends = target, seq, timeout, ends
        self.indirect_sent, self.expected_nacks, self.nacks = False, 0, 0


class Relay:
    """A ping that is made for another member."""

    __slots__ = ("nack", "requester", "their_seq", "until")

    def __init__(self, requester: Address, their_seq: int, nack: bool, until: float):
        self.requester, self.their_seq, self.nack, self.until = requester, their_seq, nack, until


class QueuedUpdate:
    """News that still has to be told, and how often it was."""

    __slots__ = ("sent", "size", "update")

    def __init__(self, update: MemberUpdate):
        self.update, self.sent, self.size = update, 0, wire.update_size(update)
