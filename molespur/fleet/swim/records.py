"""Events and actions of the membership.  Plain data."""

from dataclasses import dataclass

from ..model import Address, Exchange, Message, State

# -- Events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Start:
    """Start: our incarnation starts at `unix_ms`; join by pushing to some of the seeds."""

    unix_ms: int
    seeds: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: run the timers.

    Other events never do.  So a transport that reads all pending datagrams before it ticks never times out an
    ack that had already arrived.
    """


@dataclass(frozen=True, slots=True)
class Received:
    """A datagram's message, decoded and checked."""

    message: Message


@dataclass(frozen=True, slots=True)
class PushSucceeded:
    """The reply to our `Push`: the other member's view."""

    exchange: Exchange


@dataclass(frozen=True, slots=True)
class PushFailed:
    """Our `Push` to this address failed."""

    address: Address
    join: bool


@dataclass(frozen=True, slots=True)
class Seeds:
    """Use these seeds from now on, for example after SIGHUP."""

    seeds: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """Announce that this member leaves; it stops probing, and replies until the process ends."""


# -- Actions ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Send this datagram."""

    address: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class Push:
    """Open TCP, send this state, read the reply, and pass it back as `PushSucceeded` (or `PushFailed`)."""

    address: Address
    data: bytes
    join: bool


@dataclass(frozen=True, slots=True)
class Changed:
    """A member's state changed in this view; `before` is None for a member that is new."""

    member: str
    address: Address
    state: State
    incarnation: int
    before: State | None
    by: str


@dataclass(frozen=True, slots=True)
class Refuted:
    """This member raised its own incarnation, and why."""

    incarnation: int
    why: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another process claims an id at another address."""

    member: str
    held: Address
    claimed: Address
