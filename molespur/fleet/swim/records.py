"""What goes into and comes out of the membership: events and actions.  Plain data."""

from dataclasses import dataclass

from ..model import Address, Exchange, Message, State

# -- Events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Start:
    """Begin: the own incarnation starts at `unix_ms`; join by pushing to some of the seeds."""

    unix_ms: int
    seeds: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: look at the timers.  Other events never judge by time, so that a seam that reads
    all that has come before it ticks never times out what was already there."""


@dataclass(frozen=True, slots=True)
class Received:
    """A datagram's message, decoded and checked."""

    message: Message


@dataclass(frozen=True, slots=True)
class PushSucceeded:
    """The answer to our `Push`: the other member's view."""

    exchange: Exchange


@dataclass(frozen=True, slots=True)
class PushFailed:
    """Our `Push` to this address came to nothing."""

    address: Address
    join: bool


@dataclass(frozen=True, slots=True)
class Seeds:
    """Other seeds from now on, such as after SIGHUP."""

    seeds: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """Say that this member leaves; it stops probing, and answers until it is gone."""


# -- Actions ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Send this datagram."""

    address: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class Push:
    """Open TCP, send this state, read the answer, and hand it in as `PushSucceeded` (or `PushFailed`)."""

    address: Address
    data: bytes
    join: bool


@dataclass(frozen=True, slots=True)
class Changed:
    """A member's state changed in this view; `before` is None for one that is new to it."""

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
