"""Plain data of the fleet view: members, what is said of them, the messages between schedulers, the tuning.

A member is a scheduler of the fleet, named by a stable id and reached at an address (host, port).  Its
*incarnation* is a number that only its owner raises: to refute a suspicion, or at a restart, which starts
from the Unix time in milliseconds so that a new life is above its ghost.  Times are milliseconds on the
clock that the seam passes in.
"""

import enum
import math
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

VERSION = 1  # of the messages; a packet of another version is counted and dropped

Address = tuple[str, int]
Id = Annotated[str, Meta(min_length=1, max_length=64)]
Host = Annotated[str, Meta(max_length=64)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
MAX_UPDATES = 64  # pieces of news in one datagram; more than fit anyway


class State(enum.IntEnum):
    """Where a member stands in one member's view."""

    ALIVE = 0
    SUSPECT = 1  # a probe failed; dead unless it refutes within the suspicion timeout
    DEAD = 2  # failed: kept as a tombstone for a while
    LEFT = 3  # said that it leaves: kept as a tombstone, never taken for a failure


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What one member says of another (or of itself): its state at an incarnation.

    `by` is who says so first: for a suspicion, each other one is an independent confirmation.
    """

    member: Id
    host: Host
    port: Port
    incarnation: Count
    state: State
    by: Annotated[str, Meta(max_length=64)] = ""

    @property
    def address(self) -> Address:
        return (self.host, self.port)


class Ping(msgspec.Struct, array_like=True, tag=1):
    """Are you there?  `target` is the id that the sender means; another at that address drops it."""

    seq: Count
    src: Id
    host: Host
    port: Port
    target: Id
    updates: Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)] = []


class Ack(msgspec.Struct, array_like=True, tag=2):
    """Yes, to the ping `seq` of the receiver (also when relayed by a helper)."""

    seq: Count
    src: Id
    updates: Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)] = []


class PingReq(msgspec.Struct, array_like=True, tag=3):
    """Ping `target` for me and relay its ack; with `nack`, say so when none comes."""

    seq: Count
    src: Id
    host: Host
    port: Port
    target: Id
    target_host: Host
    target_port: Port
    nack: bool = True
    updates: Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)] = []


class Nack(msgspec.Struct, array_like=True, tag=4):
    """The target of your indirect probe `seq` did not answer me: I at least am there."""

    seq: Count
    src: Id
    updates: Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)] = []


class Gossip(msgspec.Struct, array_like=True, tag=5):
    """News alone, sent to a few members each gossip period."""

    src: Id
    updates: Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)] = []


Message = Ping | Ack | PingReq | Nack | Gossip


class Packet(msgspec.Struct, array_like=True):
    """A datagram: the version first, so that any later version still reads as far as that."""

    version: int
    cluster: Annotated[str, Meta(max_length=64)]
    body: msgspec.Raw


class Exchange(msgspec.Struct, array_like=True):
    """Push-pull over TCP: the sender's whole view; the receiver merges it and answers with its own."""

    version: int
    cluster: Annotated[str, Meta(max_length=64)]
    src: Id
    join: bool
    members: Annotated[list[MemberUpdate], Meta(max_length=65_536)]
    shared_state: msgspec.Raw = msgspec.Raw(
        b"\xc0"
    )  # the shared state (`sharing.StateSnapshot`), nil where there is none


@dataclass(frozen=True, slots=True)
class Tuning:
    """How the membership behaves; milliseconds unless named otherwise.

    Defaults follow SWIM and Lifeguard as memberlist's LAN profile has them, with a shorter push-pull.
    """

    period_ms: float = 1000.0  # one probe a period
    probe_timeout_ms: float = 500.0  # for the direct ack, then indirect probes for the rest of the period
    indirect: int = 3  # helpers of an indirect probe
    suspicion_mult: float = 4.0  # the least suspicion timeout is this x log10(n) x period
    suspicion_max_mult: float = 6.0  # the longest is this x the least
    retransmit_mult: int = 4  # news goes out this x log10(n + 1) times
    gossip_ms: float = 200.0
    gossip_nodes: int = 3
    push_pull_ms: float = 15_000.0
    max_health: int = 8  # Lifeguard's local health: timeouts stretch up to (max_health + 1) times
    stall_threshold_ms: float = 250.0  # a gap this long between two calls means that we ourselves were held
    tombstone_ms: float = 60_000.0
    most_members: int = 1024
    datagram_most: int = 1400  # bytes of a datagram, sent or taken
    max_exchange_bytes: int = 1 << 20  # bytes of a push-pull state
    join_retry_ms: float = 2_000.0
    leave_ms: float = 1_000.0

    def scaled(self, value_ms: float, health: int) -> float:
        """A timeout stretched by local health."""
        return value_ms * (health + 1)

    def retransmits(self, n: int) -> int:
        """How often one piece of news is sent, for n members."""
        return max(1, int(self.retransmit_mult * math.ceil(math.log10(n + 1))))

    def suspicion_bounds(self, n: int) -> tuple[float, float]:
        """The shortest and longest suspicion timeout for n members."""
        least = self.suspicion_mult * max(1.0, math.log10(max(n, 1))) * self.period_ms
        return least, least * self.suspicion_max_mult

    def push_pull_every(self, n: int) -> float:
        """Beyond 8 members the period grows with n: a view's bytes grow with n, and so the bytes that a
        member sends a second stay flat, while the fleet as a whole still swaps 8 views each `push_pull_ms`.

        memberlist grows it with log2(n) only; measured, that tripled a member's push-pull bytes from 10 to
        100 members.  Healed halves find each other by pings to the failed (`swim.RECONNECT_PERIODS`).
        """
        return self.push_pull_ms * max(1.0, n / 8)


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """One member as a view holds it, for readers outside the machine."""

    member: str
    address: Address
    incarnation: int
    state: State
    since_ms: float
