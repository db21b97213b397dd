"""The stand-in registry's state: keys under revisions, compaction, leases, backups.  No I/O."""

import itertools
from dataclasses import dataclass, field, replace

import trio
from sortedcontainers import SortedDict


class Compacted(Exception):
    """The revision asked for is no more."""


class Future(Exception):
    """The revision asked for is not there yet."""


@dataclass(frozen=True, slots=True)
class Stored:
    """A key's state at a revision."""

    value: bytes
    create: int
    mod: int
    version: int
    lease: int = 0


@dataclass(slots=True)
class Lease:
    ttl: float
    until: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Committed:
    """One change as committed: for watches, and for the checker."""

    cluster: int
    revision: int
    key: str
    stored: Stored | None
    at: float  # trio's clock, seconds


class Store:
    """A revisioned map, as etcd and Consul both show it."""

    def __init__(self, cluster: int = 1001):
        self.cluster, self.revision, self.compacted = cluster, 1, 0
        self.keys: SortedDict[str, list[tuple[int, Stored | None]]] = SortedDict()
        self.events: list[Committed] = []  # since the compaction
        self.history: list[Committed] = []  # all, for the checker
        self.leases: dict[int, Lease] = {}
        self.leases_stopped = False
        self._ids = itertools.count(7587862094200001)
        self._changed = trio.Event()

    # -- Reading ---------------------------------------------------------------------------------

    def get(self, key: str, revision: int = 0) -> Stored | None:
        """A key's state at a revision (0: now)."""
        for at, stored in reversed(self.keys.get(key, ())):
            if not revision or at <= revision:
                return stored
        return None

    def range(self, start: str, end: str | None, revision: int = 0, limit: int = 0):
        """Keys from start up to (not with) end as of a revision, and whether there are more."""
        if revision and revision < self.compacted:
            raise Compacted
        if revision > self.revision:
            raise Future
        found = []
        for key in self.keys.irange(start, end, (True, False)):
            stored = self.get(key, revision)
            if stored is not None:
                if limit and len(found) == limit:
                    return found, True
                found.append((key, stored))
        return found, False

    def since(self, revision: int, upto: int) -> list[Committed]:
        """Changes after a revision."""
        if revision < self.compacted:
            raise Compacted
        first = len(self.events)
        while first and self.events[first - 1].revision > revision:
            first -= 1
        return [event for event in self.events[first:] if event.revision <= upto]

    async def wait(self) -> None:
        """Until something has changed."""
        await self._changed.wait()

    def stir(self) -> None:
        """Wake whoever waits."""
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    # -- Writing ---------------------------------------------------------------------------------

    def commit(self, changes: list[tuple[str, bytes | None, int]]) -> int:
        """Put (value) or delete (None) keys at one new revision; a delete of nothing is none."""
        real = [c for c in changes if c[1] is not None or self.get(c[0]) is not None]
        if not real:
            return self.revision
        self.revision += 1
        for key, value, lease in real:
            old, new = self.get(key), None
            if old is not None and old.lease in self.leases:
                self.leases[old.lease].keys.discard(key)
            if value is not None:
                first, version = (old.create, old.version + 1) if old else (self.revision, 1)
                new = Stored(value, first, self.revision, version, lease)
                if lease:
                    self.leases[lease].keys.add(key)
            self.keys.setdefault(key, []).append((self.revision, new))
            event = Committed(self.cluster, self.revision, key, new, trio.current_time())
            self.events.append(event)
            self.history.append(event)
        self.stir()
        return self.revision

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        return self.commit([(key, value, lease)])

    def delete(self, *keys: str) -> int:
        return self.commit([(key, None, 0) for key in keys])

    def compact(self, revision: int = 0) -> None:
        """Forget what was before a revision (0: now)."""
        self.compacted = revision or self.revision
        self.events = [event for event in self.events if event.revision > self.compacted]
        for key, versions in list(self.keys.items()):
            last = max((n for n, (at, _) in enumerate(versions) if at <= self.compacted), default=0)
            del versions[:last]
            if len(versions) == 1 and versions[0][1] is None:
                del self.keys[key]

    # -- Leases ----------------------------------------------------------------------------------

    def grant(self, ttl: float, ident: int = 0) -> int:
        """A new lease's id."""
        ident = ident or next(self._ids)
        self.leases[ident] = Lease(ttl, trio.current_time() + ttl)
        return ident

    def keep_alive(self, ident: int) -> float:
        """The lease's time to live, begun anew; 0 if there is no such lease."""
        lease = self.leases.get(ident)
        if lease is None:
            return 0
        lease.until = trio.current_time() + lease.ttl
        return lease.ttl

    def revoke(self, ident: int) -> bool:
        """End a lease and delete its keys."""
        lease = self.leases.get(ident)
        if lease is None:
            return False
        self.delete(*sorted(lease.keys))
        del self.leases[ident]
        return True

    def expire(self) -> None:
        """End the leases whose time is up."""
        if not self.leases_stopped:
            for ident, lease in list(self.leases.items()):
                if lease.until <= trio.current_time():
                    self.revoke(ident)

    # -- Backups ---------------------------------------------------------------------------------

    def backup(self) -> dict:
        """What a restore needs."""
        found, _ = self.range("", None)
        return {"revision": self.revision, "keys": found}

    def restore(self, backup: dict, cluster: int = 0) -> None:
        """Come back from a backup as a new cluster (or as the same, where `cluster` says so)."""
        self.cluster = cluster or self.cluster + 1
        self.revision, self.compacted, self.events = backup["revision"], backup["revision"], []
        self.leases.clear()
        self.keys.clear()
        for key, stored in backup["keys"]:
            self.keys[key] = [(stored.mod, replace(stored, lease=0))]
            event = Committed(self.cluster, stored.mod, key, replace(stored, lease=0), trio.current_time())
            self.history.append(event)
        self.history.append(Committed(self.cluster, self.revision, "", None, trio.current_time()))
        self.stir()
