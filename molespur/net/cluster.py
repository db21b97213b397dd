"""The cluster: the listed upstream hosts, independent of the source that lists them.

A *source* (the platform's discovery, a registry, a file) finds upstream hosts and updates the cluster.  It
has `start()`, `watch()` (the decision module asks for changes) and `move(address)` (on a reload).  The rules
on drains and listing are enforced here and in the host, so they apply to every source.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ..config import ConfigError, parse_address, worker_entry
from ..interface import FleetUpdate, Lifecycle, UpdateMode, WorkerEntry


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """A worker as listed, and its address."""

    entry: WorkerEntry
    address: tuple[str, int]

    @classmethod
    def from_target(cls, target, from_unix) -> "ListedWorker":
        """Convert an entry of the platform's list.  Raises ConfigError for an invalid endpoint."""
        return cls(worker_entry(target, from_unix), parse_address(target.endpoint, "endpoint"))


class Source(Protocol):
    """Lists upstream hosts for the cluster."""

    def start(self) -> None: ...

    def watch(self) -> None: ...

    def move(self, address: tuple[str, int]) -> None: ...


class Cluster:
    """The current list of upstream hosts.  Changes apply here at once, then go to the decision module."""

    def __init__(self, known, clock, host, upstream):
        self.known, self.clock, self.host, self.upstream = known, clock, host, upstream
        self.lifecycles: dict[str, Lifecycle] = {}
        self.listed: dict[str, ListedWorker] = {}  # the listed workers, as last received
        self.source: Source | None = None  # set before start

    def lifecycle(self, uid: str) -> Lifecycle | None:
        """The lifecycle state of an upstream host; None if it is not listed."""
        return self.lifecycles.get(uid)

    def count_listed_and_skipped(self) -> tuple[int, int]:
        """How many upstream hosts are listed, and how many of these get no work now."""
        ejected = self.host.dispatcher.ejected_workers(self.clock.now())
        skipped = [
            u
            for u, lifecycle in self.lifecycles.items()
            if u in ejected or lifecycle is not Lifecycle.IN_SERVICE
        ]
        return len(self.lifecycles), len(skipped)

    def start(self) -> None:
        """Apply the list from the configuration, then start the source."""
        try:
            placed = [ListedWorker.from_target(target, self.clock.from_unix) for target in self.known.targets]
        except ConfigError as problem:
            raise ConfigError(f"LB_CONFIG: known: {problem}") from None
        self.update(placed, UpdateMode.PERSISTED)
        self.source.start()

    def watch(self) -> None:
        """Handle the decision module's request for changes."""
        self.source.watch()

    def update(self, placed: Sequence[ListedWorker], mode: UpdateMode) -> None:
        """Apply a list or changes to it, and notify the decision module."""
        if mode is not UpdateMode.PARTIAL:
            for uid in self.lifecycles.keys() - {p.entry.worker for p in placed}:
                del self.lifecycles[uid], self.listed[uid]
                self.upstream.drop(uid)
        self.apply(placed)
        self.notify(tuple(p.entry for p in placed), mode)

    def apply(self, placed: Sequence[ListedWorker]) -> None:
        """Apply changes here before the module is notified: a worker not in service gets no new requests."""
        for one in placed:
            entry = one.entry
            if entry.lifecycle is Lifecycle.GONE:
                # Nothing is kept of removed workers, so that new names do not take ever more memory.
                self.lifecycles.pop(entry.worker, None)
                self.listed.pop(entry.worker, None)
                self.upstream.drop(entry.worker)
            else:
                self.lifecycles[entry.worker], self.listed[entry.worker] = entry.lifecycle, one
                accepts_work = entry.lifecycle is Lifecycle.IN_SERVICE
                self.upstream.place(entry.worker, one.address, entry.born_ms, accepts_work)

    def notify(self, entries: tuple[WorkerEntry, ...], mode: UpdateMode = UpdateMode.PARTIAL) -> None:
        """Notify the decision module of entries that are already applied here."""
        self.host.deliver(FleetUpdate(mode, entries))

    def notify_unchanged(self) -> None:
        """Report that nothing has changed, which also fulfills the decision module's Watch."""
        self.notify(())

    def notify_watch_lost(self) -> None:
        """Report that the source lost its watch.  The decision module then asks again by itself."""
        self.host.deliver(FleetUpdate(UpdateMode.ERROR))
