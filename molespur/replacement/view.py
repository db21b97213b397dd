"""What follows from the processes that are there.  Pure."""

from collections.abc import Iterable

import msgspec

TEXT_MOST = 1 << 20  # bytes of a record: a list of thousands of workers takes some hundred kilobytes
USED_STEP = 16  # descriptors beyond a part are told in steps, rounded up
LEAST_SOCKETS = 64  # what a process gets however much the other one holds


class Record(msgspec.Struct, omit_defaults=True):
    """How far a process has come, as the others read it."""

    started: int  # of the machine's monotonic clock: the later one is to replace the earlier
    serving: bool = False
    room: bool = False  # it has made room for a younger one
    used: int = 0  # descriptors that it holds, where that is more than its part
    # once it has made room: the list that it holds, its version, and where it comes from
    targets: list[dict] | None = None
    rev: int = 0
    discovery: str = ""


class View(msgspec.Struct, frozen=True):
    """What a process makes of the others."""

    elder: Record | None  # the latest before it
    younger: Record | None  # the latest after it
    others: int  # that serve beside it

    @property
    def succeeded(self) -> bool:
        """Another serves that is to replace this one."""
        return self.younger is not None and self.younger.serving

    @property
    def may_serve(self) -> bool:
        """Nobody is there who has yet to make room."""
        return self.elder is None or self.elder.room


def view(own: Record, others: Iterable[Record]) -> View:
    """The others as this process sees them."""
    others = sorted(others, key=lambda record: record.started)
    elders = [record for record in others if record.started < own.started]
    youngers = [record for record in others if record.started > own.started]
    return View(
        elders[-1] if elders else None,
        youngers[-1] if youngers else None,
        sum(record.serving for record in others),
    )


def sockets_for(granted: int, others: Iterable[Record]) -> int:
    """Descriptors for this process, so that all together stay within what is granted.

    Each has its equal part, and nobody more than what the others have left: one that holds more than its part
    is on its way down.
    """
    others = list(others)
    part = granted // (len(others) + 1)
    left = granted - sum(max(record.used, part) for record in others)
    return max(min(part, left), LEAST_SOCKETS) if others else granted


def used_to_tell(granted: int, held: int, others: int) -> int:
    """What a process tells of the descriptors it holds: only what goes beyond its part, in steps, is news."""
    part = granted // (others + 1)
    return 0 if held <= part else min(-(-held // USED_STEP) * USED_STEP, granted)


def parse(text: bytes) -> Record | None:
    """A record as read, or None where it is none."""
    try:
        return msgspec.json.decode(text, type=Record)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError):
        return None
