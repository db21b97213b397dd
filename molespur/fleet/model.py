"""Plain data of the fleet view: members and their states, the messages between schedulers, the tuning.

A member is a scheduler of the fleet, named by a stable id and reached at an address (host, port).  Its
*incarnation* is a number that only the member itself raises: to refute a suspicion, or at a restart.  It
starts from the Unix time in milliseconds, so that a restarted member is above what others still hold of its
past instance.  Times are milliseconds on the clock of the transport.
"""

import enum
import math
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

VERSION = 1  # of the messages; packets of another version are dropped and counted

Address = tuple[str, int]
Id = Annotated[str, Meta(min_length=1, max_length=64)]
Host = Annotated[str, Meta(max_length=64)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
MAX_UPDATES = 64  # in one datagram; more than fit into its bytes


class State(enum.IntEnum):
    """A member's state in another member's view."""

    ALIVE = 0
    SUSPECT = 1  # a probe failed; declared dead unless it refutes within the suspicion timeout
    DEAD = 2  # failed; kept as a tombstone for a while
    LEFT = 3  # announced that it leaves; kept as a tombstone, never counted as a failure


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A claim about a member (possibly by the member itself): its state at an incarnation.

    `by` is the member that first claimed it.  A suspicion by another member is an independent confirmation.
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
    """A probe.  `target` is the id that the sender expects; any other member at that address drops it."""

    seq: Count
    src: Id
    host: Host
    port: Port
    target: Id
    updates: Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)] = []


class Ack(msgspec.Struct, array_like=True, tag=2):
    """The reply to the receiver's ping `seq`, also when relayed by a helper."""

    seq: Count
    src: Id
    updates: Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)] = []


class PingReq(msgspec.Struct, array_like=True, tag=3):
    """Asks a helper to ping `target` and relay its ack; with `nack`, to send a nack where none arrives."""

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
    """From a helper: the target of indirect probe `seq` did not answer; the helper itself is reachable."""

    seq: Count
    src: Id
    updates: Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)] = []


class Gossip(msgspec.Struct, array_like=True, tag=5):
    """Updates alone, sent to a few members each gossip interval."""

    src: Id
    updates: Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)] = []


Message = Ping | Ack | PingReq | Nack | Gossip


class Packet(msgspec.Struct, array_like=True):
    """A datagram.  The version comes first, so that it can be read from packets of any later version."""

    version: int
    cluster: Annotated[str, Meta(max_length=64)]
    body: msgspec.Raw


class Exchange(msgspec.Struct, array_like=True):
    """Push-pull over TCP: the sender's complete view; the receiver merges it and replies with its own."""

    version: int
    cluster: Annotated[str, Meta(max_length=64)]
    src: Id
    join: bool
    members: Annotated[list[MemberUpdate], Meta(max_length=65_536)]
    shared_state: msgspec.Raw = msgspec.Raw(b"\xc0")  # a `sharing.StateSnapshot`, nil where there is none


@dataclass(frozen=True, slots=True)
class Tuning:
    """Parameters of the membership; milliseconds unless named otherwise.

    Defaults follow SWIM and Lifeguard as in memberlist's LAN profile, with a shorter push-pull interval.
    """

    period_ms: float = 1000.0  # one probe a period
    probe_timeout_ms: float = 500.0  # for the direct ack; indirect probes have the rest of the period
    indirect: int = 3  # helpers of an indirect probe
    suspicion_mult: float = 4.0  # the shortest suspicion timeout is this x log10(n) x period
    suspicion_max_mult: float = 6.0  # the longest is this x the shortest
    retransmit_mult: int = 4  # an update is sent this x log10(n + 1) times
    gossip_ms: float = 200.0
    gossip_nodes: int = 3
    push_pull_ms: float = 15_000.0
    max_health: int = 8  # of Lifeguard's local health score: timeouts stretch up to (max_health + 1) times
    stall_threshold_ms: float = 250.0  # a longer gap between two calls means that we ourselves were stalled
    tombstone_ms: float = 60_000.0
    most_members: int = 1024
    datagram_most: int = 1400  # max bytes of a datagram, sent or received
    max_exchange_bytes: int = 1 << 20  # of a push-pull state
    join_retry_ms: float = 2_000.0
    leave_ms: float = 1_000.0

    def scaled(self, value_ms: float, health: int) -> float:
        """A timeout stretched by local health."""
        return value_ms * (health + 1)

    def retransmits(self, n: int) -> int:
        """How many times one update is sent, for n members."""
        return max(1, int(self.retransmit_mult * math.ceil(math.log10(n + 1))))

    def suspicion_bounds(self, n: int) -> tuple[float, float]:
        """The shortest and longest suspicion timeout for n members."""
        min_ms = self.suspicion_mult * max(1.0, math.log10(max(n, 1))) * self.period_ms
        return min_ms, min_ms * self.suspicion_max_mult

    def push_pull_interval_ms(self, n: int) -> float:
        """The interval of push-pulls, which grows with n beyond 8 members.

        A view's bytes grow with n, so the bytes that a member sends a second stay constant, while the fleet
        still exchanges 8 views each `push_pull_ms`.  memberlist's growth with log2(n) tripled a member's
        push-pull bytes from 10 to 100 members.  After a healed partition members find each other by pings to
        dead members (`swim.membership.RECONNECT_PERIODS`).
        """
        return self.push_pull_ms * max(1.0, n / 8)


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """One member in a view, for readers outside the membership."""

    member: str
    address: Address
    incarnation: int
    state: State
    since_ms: float
