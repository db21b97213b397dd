"""What this member keeps about the others: states, suspicions, pending probes and queued updates."""

import math

from .. import wire
from ..model import Address, MemberUpdate, State


class Suspicion:
    """A suspicion's timeout, shorter with each independent confirmation (Lifeguard)."""

    __slots__ = ("accusers", "confirmed", "k", "max_ms", "min_ms", "start")

    def __init__(self, start: float, min_ms: float, max_ms: float, k: int, accuser: str):
        self.start, self.min_ms, self.max_ms, self.k = start, min_ms, max_ms, k
        self.accusers, self.confirmed = {accuser}, 0

    def confirm(self, by: str) -> bool:
        """Count each accuser once; True if it is new."""
        if not by or by in self.accusers:
            return False
        self.accusers.add(by)
        self.confirmed += 1
        return True

    def deadline(self) -> float:
        """When the suspect is declared dead, ms."""
        if self.k < 1:
            return self.start + self.min_ms
        share = math.log(self.confirmed + 1) / math.log(self.k + 1)
        return self.start + max(self.min_ms, self.max_ms - (self.max_ms - self.min_ms) * share)


class Member:
    """Another member in this view."""

    __slots__ = ("address", "id", "incarnation", "since", "state", "suspicion")

    def __init__(self, id: str, address: Address, incarnation: int, state: State, since: float):
        self.id, self.address, self.incarnation = id, address, incarnation
        self.state, self.since = state, since
        self.suspicion: Suspicion | None = None

    def as_update(self, by: str = "") -> MemberUpdate:
        """The update that describes this member, as claimed by `by`."""
        return MemberUpdate(self.id, self.address[0], self.address[1], self.incarnation, self.state, by)


class Probe:
    """The pending probe."""

    __slots__ = ("ends_at", "expected_nacks", "indirect_sent", "nacks", "seq", "target", "timeout_at")

    def __init__(self, target: str, seq: int, timeout_at: float, ends_at: float):
        self.target, self.seq, self.timeout_at, self.ends_at = target, seq, timeout_at, ends_at
        self.indirect_sent, self.expected_nacks, self.nacks = False, 0, 0


class Relay:
    """A ping on behalf of another member."""

    __slots__ = ("nack", "requester", "requester_seq", "until")

    def __init__(self, requester: Address, requester_seq: int, nack: bool, until: float):
        self.requester, self.requester_seq, self.nack, self.until = requester, requester_seq, nack, until


class QueuedUpdate:
    """An update that is still to be sent, and how often it was sent."""

    __slots__ = ("sent", "size", "update")

    def __init__(self, update: MemberUpdate):
        self.update, self.sent, self.size = update, 0, wire.update_size(update)
