"""Plain data of the registry: items, faults, and what goes in and out of the session."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec


class Item(msgspec.Struct, frozen=True, gc=False):
    """A key as stored: its value, and the revisions at which it was created and last changed.

    Never part of a cycle, so the collector need not look at the tens of thousands that a view holds.
    """

    key: str
    value: bytes
    created: int
    changed: int


@dataclass(frozen=True, slots=True)
class Change:
    """One change of a key; without an item it was deleted at that revision."""

    key: str
    revision: int
    item: Item | None = None


class Why(Enum):
    """What a member's failure means for what comes next."""

    BROKEN = "broken"  # refused, silent, reset, malformed: try another member
    COMPACTED = "compacted"  # the revision asked for is no more
    BEHIND = "behind"  # the member has not come to the revision asked for
    MALFORMED = "malformed"  # an answer that made no sense: what it told is unknown
    SILENT = "silent"  # an open watch has said nothing for too long
    NO_LEADER = "no_leader"
    TOKEN = "token"  # the token is not (or no longer) good
    DENIED = "denied"  # the credentials themselves are refused


@dataclass(frozen=True, slots=True)
class Fault:
    """Why an exchange with a member failed."""

    why: Why
    detail: str = ""


# -- Events into the session; each answers the action that carried its `turn` --------------------


@dataclass(frozen=True, slots=True)
class Begin:
    """Start; `cluster` and `revision` are those of a snapshot, if one stands."""

    cluster: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class PageRead:
    """A page of a full read; `next_key` is where the next begins, None at the end."""

    turn: int
    cluster: str
    revision: int
    items: tuple[Item, ...] = ()
    next_key: str | None = None
    proven: bool = True  # answered by, or in agreement with, the leader


@dataclass(frozen=True, slots=True)
class WatchOpened:
    """The member has taken the watch."""

    turn: int
    cluster: str


@dataclass(frozen=True, slots=True)
class Changed:
    """Changes up to and with a revision; none: progress told."""

    turn: int
    cluster: str
    revision: int
    changes: tuple[Change, ...] = ()


@dataclass(frozen=True, slots=True)
class Listed:
    """A blocking query came back: the whole list at this index."""

    turn: int
    revision: int
    items: tuple[Item, ...] = ()
    proven: bool = True


@dataclass(frozen=True, slots=True)
class Granted:
    """Authentication gave a token."""

    turn: int


@dataclass(frozen=True, slots=True)
class Failed:
    """What was asked for under this turn has failed or ended."""

    turn: int
    fault: Fault


@dataclass(frozen=True, slots=True)
class Due:
    """The wait asked for is over."""

    turn: int


Event = Begin | PageRead | WatchOpened | Changed | Listed | Granted | Failed | Due


# -- Actions out of it; a new turn ends whatever an older one had under way ----------------------


@dataclass(frozen=True, slots=True)
class Authenticate:
    turn: int
    member: int


@dataclass(frozen=True, slots=True)
class ReadPage:
    """Read a page from `key` on, at `revision` (0: the newest).  `proof`: as the leader knows it."""

    turn: int
    member: int
    revision: int = 0
    key: str | None = None
    proof: bool = False


@dataclass(frozen=True, slots=True)
class OpenWatch:
    """Watch for all that is later than `revision`."""

    turn: int
    member: int
    revision: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Come back with Due after delay_ms."""

    turn: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class BeginRebuild:
    """A full read starts: gather its pages."""


@dataclass(frozen=True, slots=True)
class AddPage:
    """Add the page's items, and those that came beside its event."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class FinishRebuild:
    """The gathered pages are the whole list at this revision; keys not in them are gone."""

    cluster: str
    revision: int


@dataclass(frozen=True, slots=True)
class Apply:
    """Changes on top of the view, which then stands at this revision."""

    revision: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Standing:
    """Whether the list is kept up to date from now on (a watch is open) or not."""

    fresh: bool


@dataclass(frozen=True, slots=True)
class Note:
    """Count and log an event."""

    event: str
    fields: dict = field(default_factory=dict)


Exchange = Authenticate | ReadPage | OpenWatch | Wait
"""What takes time.  The answer to an event holds at most one, as its last."""
Action = Exchange | BeginRebuild | AddPage | FinishRebuild | Apply | Standing | Note
