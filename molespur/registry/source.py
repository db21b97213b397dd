"""The seam: a registry or a static file as a source of the cluster."""

import os
import time
from random import Random

import trio

from .. import logs
from ..config import ConfigError
from ..config.deployment import Deployment
from ..interface import Lifecycle, WorkerEntry
from ..net.cluster import ListedWorker
from ..net.upstream import dial_tcp
from . import snapshot, static
from .client import Client
from .consul import Consul
from .etcd import Etcd
from .pace import Pace
from .records import Record
from .session import Rules, Session
from .view import Delta, View, difference

log = logs.get(__name__)
AT_ONCE = 256  # entries noted before others go on
CONSUL_PAUSE_MS = 20.0  # between two blocking queries: bounds the whole lists read a second, and so their CPU


class Teller:
    """Holds the cluster to changes at once, and tells the decision module of them at a pace."""

    def __init__(self, cluster, wheel, clock, counters, pace: Pace | None = None):
        self.cluster, self.wheel, self.clock, self.counters = cluster, wheel, clock, counters
        self.pace = pace or Pace()
        self.pending: dict[str, WorkerEntry] = {}
        self._more = trio.Event()

    async def told(self, delta: Delta) -> None:
        """Note a difference.  Ends and drains come first; a long list is taken in with pauses."""
        if not delta:
            return
        gone = [uid for uid in delta.gone if uid in self.cluster.lifecycles]
        ordered = gone + sorted(delta.put, key=lambda record: record.state == "active")
        for start in range(0, len(ordered), AT_ONCE):
            part = [self._placed(one) for one in ordered[start : start + AT_ONCE]]
            self.cluster.apply(part)
            for placed in part:
                self.pending[placed.entry.worker] = placed.entry
            self._more.set()
            if len(ordered) > AT_ONCE:
                await trio.lowlevel.checkpoint()

    def _placed(self, one: Record | str) -> ListedWorker:
        """A record, or the uid of a worker that is gone."""
        if isinstance(one, str):
            return ListedWorker(WorkerEntry(one, lifecycle=Lifecycle.GONE), ("", 0))
        return ListedWorker(one.entry(self.clock.from_unix), _address(one.endpoint))

    async def run(self) -> None:
        """Tell the module, for good."""
        while True:
            await self._more.wait()
            wait = self.pace.wait_ms(self.clock.now())
            if wait > 0:
                with self.wheel.limit(wait):
                    await trio.sleep_forever()
            self._more = trio.Event()
            uids = list(self.pending)[: self.pace.at_once]
            entries = tuple(self.pending.pop(uid) for uid in uids)
            if self.pending:
                self._more.set()
            started = time.perf_counter()
            self.cluster.notify(entries)
            self.counters["registry.told"] += len(entries)
            self.pace.told(self.clock.now(), (time.perf_counter() - started) * 1000)


def _address(endpoint: str) -> tuple[str, int]:
    host, _, port = endpoint.rpartition(":")
    return host.strip("[]"), int(port)


class RegistrySource:
    """A registry as the cluster's source."""

    def __init__(self, given: Deployment, config, cluster, wheel, clock, counters, nursery, dial=dial_tcp):
        registry = given.registry
        self.cluster, self.wheel, self.clock, self.counters = cluster, wheel, clock, counters
        self.nursery, self.registry = nursery, registry
        self.fresh, self._asked = False, False
        most = registry.backoff_most_ms
        if config.settings.must_ask_in_ms:
            # the list's age counts from when we last asked: waits are kept well inside that
            most = min(most, max(config.settings.must_ask_in_ms / 4, registry.backoff_ms))
        members = [_address(endpoint) for endpoint in registry.endpoints]
        consul = given.cluster.source == "consul"
        rules = Rules(
            len(members), consul, not consul and bool(registry.user), registry.backoff_ms, most,
            CONSUL_PAUSE_MS if consul else 0.0,
        )  # fmt: skip
        self.teller = Teller(cluster, wheel, clock, counters)
        self.store = snapshot.Store(registry.snapshot, f"{given.cluster.source}:{registry.prefix}")
        self.client = Client(
            Session(rules, Random(config.seed)), protocol_of(given), members, wheel, clock, counters,
            self._told, self._standing, registry.dial_ms, registry.read_ms, registry.silence_ms,
            registry.most_workers, registry.record_most, dial=dial,
        )  # fmt: skip
        self._saving = self._whole = False

    def start(self) -> None:
        """Begin with the snapshot if it is newer than the list that the platform told."""
        found = self.store.load()
        if isinstance(found, snapshot.Refused):
            self.counters["registry.snapshot_refused"] += 1
            log.warning("registry.snapshot_refused", path=self.store.path, why=found.why)
        elif found is not None and found.revision > self.cluster.known.rev:
            self.client.view = found
            log.info("registry.snapshot_loaded", revision=found.revision, workers=len(found.workers))
        self.nursery.start_soon(self._run)

    async def _run(self) -> None:
        await self.teller.told(difference(View(), self.client.view))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.teller.run)
            await self.client.run()

    async def _told(self, view: View, delta: Delta) -> None:
        if not self._whole:
            # the first whole list: what the platform or a snapshot knew and the registry does not is gone
            self._whole = True
            known = self.cluster.lifecycles.keys() - view.workers.keys()
            delta = Delta(delta.put, tuple(dict.fromkeys((*delta.gone, *known))))
        await self.teller.told(delta)
        if self.store.path and not self._saving:
            self._saving = True
            self.wheel.after(self.registry.snapshot_every_ms, self.nursery.start_soon, self._save)

    async def _save(self) -> None:
        """Write the snapshot, away from the streams' thread."""
        self._saving = False
        try:
            await trio.to_thread.run_sync(self.store.save, self.client.view, time.time() * 1000)
        except OSError as problem:
            self.counters["registry.snapshot_failed"] += 1
            log.error("registry.snapshot_failed", path=self.store.path, why=str(problem))

    def _standing(self, fresh: bool) -> None:
        self.fresh = fresh
        if fresh and self._asked:
            self._asked = False
            self.cluster.notify_unchanged()
        elif not fresh:
            self.counters["cluster.errors"] += 1
            self.cluster.notify_watch_lost()

    def watch(self) -> None:
        """The module asks; we always do, and answer as soon as the list is up to date."""
        self._asked = not self.fresh
        if self.fresh:
            self.cluster.notify_unchanged()

    def move(self, _address: tuple[str, int]) -> None:
        """On a reload: the platform's discovery is not our source, so there is nothing to do."""


class FileSource:
    """A static file as the cluster's source, read again on SIGHUP."""

    def __init__(self, given: Deployment, config, cluster, wheel, clock, counters, nursery):
        self.path, self.bounds = given.cluster.file, given.registry
        self.cluster, self.counters, self.nursery = cluster, counters, nursery
        self.teller, self.view = Teller(cluster, wheel, clock, counters), View()

    def start(self) -> None:
        """Read the file; one that can't be used at start is bad configuration."""
        try:
            self._pending = self._read()
        except ValueError as problem:
            raise ConfigError(f"cluster.file: {self.path}: {problem}") from None
        self.nursery.start_soon(self._run)

    def _read(self) -> View:
        return static.load(self.path, self.view.revision + 1, self.bounds.most_workers)

    async def _run(self) -> None:
        known = tuple(uid for uid in self.cluster.lifecycles if uid not in self._pending.workers)
        delta = difference(View(), self._pending)
        self.view = self._pending
        await self.teller.told(Delta(delta.put, known))
        await self.teller.run()

    def watch(self) -> None:
        """A file is always up to date."""
        self.cluster.notify_unchanged()

    def move(self, _address: tuple[str, int]) -> None:
        """On a reload: read the file again; where it can't be used the old list stands."""
        try:
            view = self._read()
        except ValueError as problem:
            self.counters["cluster.errors"] += 1
            log.error("cluster.file_refused", path=self.path, why=str(problem))
            return
        old, self.view = self.view, view
        self.nursery.start_soon(self.teller.told, difference(old, view))


def protocol_of(given: Deployment):
    """The registry's protocol as the deployment names it."""
    registry = given.registry
    if given.cluster.source == "consul":
        return Consul(
            registry.prefix, registry.service, registry.token, registry.wait_ms, registry.stale_reads,
            registry.max_stale_ms,
        )  # fmt: skip
    return Etcd(registry.prefix, registry.page, registry.user, registry.password, registry.stale_reads)


def open_source(given: Deployment, config, cluster, wheel, clock, counters, nursery):
    """The source that the deployment names."""
    kind = FileSource if given.cluster.source == "file" else RegistrySource
    if given.registry.snapshot and not os.path.isdir(os.path.dirname(given.registry.snapshot) or "."):
        raise ConfigError(f"registry.snapshot: no such folder: {given.registry.snapshot}")
    return kind(given, config, cluster, wheel, clock, counters, nursery)
