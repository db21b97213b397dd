"""What both registry protocols share: requests, answers, and the seam that the client speaks through."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from . import model as m


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request to a member."""

    method: str
    target: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Answer:
    """One whole HTTP answer; header names are lower case."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class WatchReader(Protocol):
    """Reads one watch's stream of lines."""

    def line(self, text: bytes) -> Iterable[m.Event]:
        """The events in a line.  Raises ValueError for one that makes no sense."""


class RegistryProtocol(Protocol):
    """A registry's protocol, without I/O.

    Requests are made from the session's actions, and its events from answers.  `items_of` yields a list's
    items in slices, so that a long one need not be read in one go.
    """

    long_poll: bool

    def authenticate(self) -> Request: ...

    def authenticated(self, turn: int, answer: Answer) -> m.Event: ...

    def read(self, action: m.ReadPage) -> Request: ...

    def page(self, turn: int, answer: Answer) -> tuple[m.Event, Iterable[tuple[m.Item, ...]]]: ...

    def watch(self, action: m.OpenWatch) -> Request: ...

    def listed(self, turn: int, answer: Answer) -> tuple[m.Event, Iterable[tuple[m.Item, ...]]]: ...

    def reader(self, turn: int) -> WatchReader: ...

    def refused(self, answer: Answer) -> m.Fault: ...


def slices(items: list, convert, size: int = 256) -> Iterable[tuple[m.Item, ...]]:
    """Convert a list slice by slice."""
    for start in range(0, len(items), size):
        yield tuple(convert(one) for one in items[start : start + size])
