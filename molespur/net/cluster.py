"""The cluster: the upstream hosts that are listed, whatever source lists them.

A *source* finds out about upstream hosts (the platform's discovery, a registry, a file) and tells the
cluster.  It has `start()`, `watch()` (the module asks for changes) and `move(address)` (on a reload).  The
rules on drains and listing are kept here and in the host, and so hold for each source.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ..config import ConfigError, parse_address, worker_entry
from ..interface import FleetUpdate, Lifecycle, UpdateMode, WorkerEntry


@dataclass(frozen=True, slots=True)
class Placed:
    """A worker as listed, and where it is reached."""

    entry: WorkerEntry
    address: tuple[str, int]

    @classmethod
    def from_target(cls, target, from_unix) -> "Placed":
        """One of the platform's entries.  Raises ConfigError for an endpoint that is none."""
        return cls(worker_entry(target, from_unix), parse_address(target.endpoint, "endpoint"))


class Source(Protocol):
    """Where the cluster's list comes from."""

    def start(self) -> None: ...

    def watch(self) -> None: ...

    def move(self, address: tuple[str, int]) -> None: ...


class Cluster:
    """The list as last told: who is in service is known here at once, and told to the decision module."""

    def __init__(self, known, clock, host, upstream):
        self.known, self.clock, self.host, self.upstream = known, clock, host, upstream
        self.lives: dict[str, Lifecycle] = {}
        self.placed: dict[str, Placed] = {}  # those that are listed, as they were told
        self.source: Source | None = None  # set before start

    def lifecycle(self, uid: str) -> Lifecycle | None:
        """Where an upstream host is in its life; None if the list does not name it (any more)."""
        return self.lives.get(uid)

    def known_and_skipped(self) -> tuple[int, int]:
        """How many upstream hosts are listed, and how many of these get nothing now."""
        avoided = self.host.dispatcher.ejected_workers(self.clock.now())
        skipped = [u for u, life in self.lives.items() if u in avoided or life is not Lifecycle.IN_SERVICE]
        return len(self.lives), len(skipped)

    def start(self) -> None:
        """Begin with the list that this scheduler last held."""
        try:
            placed = [Placed.from_target(target, self.clock.from_unix) for target in self.known.targets]
        except ConfigError as problem:
            raise ConfigError(f"LB_CONFIG: known: {problem}") from None
        self.take(placed, UpdateMode.PERSISTED)
        self.source.start()

    def watch(self) -> None:
        """The decision module asks for changes from now on."""
        self.source.watch()

    def take(self, placed: Sequence[Placed], mode: UpdateMode) -> None:
        """Take a list or changes in, and tell the module."""
        if mode is not UpdateMode.PARTIAL:
            for uid in self.lives.keys() - {p.entry.worker for p in placed}:
                del self.lives[uid], self.placed[uid]
                self.upstream.drop(uid)
        self.note(placed)
        self.tell(tuple(p.entry for p in placed), mode)

    def note(self, placed: Sequence[Placed]) -> None:
        """Hold to changes at once, before the module is told: nothing new goes to a worker not in service."""
        for one in placed:
            entry = one.entry
            if entry.lifecycle is Lifecycle.GONE:
                # nothing is kept of it: ever new names must not take ever more memory
                self.lives.pop(entry.worker, None)
                self.placed.pop(entry.worker, None)
                self.upstream.drop(entry.worker)
            else:
                self.lives[entry.worker], self.placed[entry.worker] = entry.lifecycle, one
                wanted = entry.lifecycle is Lifecycle.IN_SERVICE
                self.upstream.place(entry.worker, one.address, entry.born_ms, wanted)

    def tell(self, entries: tuple[WorkerEntry, ...], mode: UpdateMode = UpdateMode.PARTIAL) -> None:
        """Tell the module of entries that are already noted."""
        self.host.deliver(FleetUpdate(mode, entries))

    def unchanged(self) -> None:
        """Nothing has changed since the list we hold: that, too, answers the module's Watch."""
        self.tell(())

    def lost(self) -> None:
        """The source has lost its watch; the module asks again by itself."""
        self.host.deliver(FleetUpdate(UpdateMode.ERROR))
