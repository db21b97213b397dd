"""One scheduler, put together from its parts."""

import gc
import os

import msgspec

from . import config as configuration
from . import logs
from .config import ClusterList
from .interface import Started
from .lifecycle import Told
from .logic import Dispatcher
from .net.cluster import Cluster, ListedWorker
from .net.counters import Counters
from .net.discovery import Discovery
from .net.downstream import Downstream
from .net.host import Host
from .net.listening import open_listener
from .net.reload import Reload
from .net.service import Service
from .net.upstream import Upstream
from .net.wheel import Clock, Wheel

log = logs.get(__name__)
OWN_SOCKETS = 48  # descriptors for standard streams, the poller, the watch, the listeners, and some to spare
BODIES_SHARE = 0.1  # of the memory granted; the program takes 20 to 26 MB without them


class Scheduler:
    """All parts of one scheduler, joined; nothing runs before `run`.

    A deployment may name another source of the cluster than the platform's discovery; without one nothing
    of that is imported.
    """

    def __init__(self, config, counters: Counters, nursery, registered=None, fleet=None):
        self.config, self.counters, self.nursery = config, counters, nursery
        self.fleet_given, self.fleet = fleet, None  # a deployment with [fleet] on, and the link once open
        self.fleet_part = fleet.fleet if fleet is not None else None
        self.fleet_record = None  # this member's record in the registry, where the others are found there
        self.clock, self.wheel = Clock(), Wheel(config.tick_ms)
        self.sockets = config.sockets  # descriptors for this process; fewer while another lives beside it
        most_clients, most_upstream, usual, bodies = self._parts()
        dispatcher, settings = Dispatcher(config.settings, config.seed), config.settings
        most_streams = min(config.max_open, most_clients)
        self.host = Host(dispatcher, self.clock, self.wheel, counters, settings, most_streams)
        self.upstream = Upstream(config, self.wheel, self.clock, counters, nursery, most_upstream)
        self.cluster = Cluster(config.known, self.clock, self.host, self.upstream)
        beside = (self.wheel, self.clock, counters, nursery)
        if registered is not None:
            from .registry.source import open_source

            self.source = open_source(registered, config, self.cluster, *beside)
        else:
            self.source = Discovery(self.cluster, config, *beside)
        self.cluster.source = self.source
        self.host.connect(self.upstream, self.cluster)
        self.downstream = Downstream(self.host, self.wheel, counters, most_clients, usual, bodies)
        self.service = Service(self.downstream, self.host, self.clock, self.wheel)
        self.reload = Reload(config, self.swap, self.source, self.wheel, counters)
        self.succession = None

    # -- What it may hold ------------------------------------------------------------------------

    def _parts(self) -> tuple[int, int, int, float]:
        """Clients' connections, workers', those of clients with jobs, and bytes of bodies."""
        free = self.sockets - OWN_SOCKETS
        share = self.sockets / self.config.sockets
        bodies = BODIES_SHARE * self.config.memory_mb * 2**20 * share
        return free // 2, free - free // 2, self.sockets // 3, bodies  # clients hold a third for jobs at most

    def resize(self, sockets: int) -> None:
        """Hold no more descriptors than this, and of the memory for bodies the same share."""
        if sockets == self.sockets:
            return
        self.sockets = sockets
        most_clients, most_upstream, usual, bodies = self._parts()
        self.host.max_streams = min(self.config.max_open, most_clients)
        self.upstream.resize(most_upstream)
        self.downstream.resize(most_clients, usual, bodies)

    def swap(self, config, settings) -> None:
        """Take another configuration over, in one step: no part ever sees some of it."""
        self.config = config
        self.host.apply_settings(settings)
        self.host.max_streams = min(config.max_open, self._parts()[0])
        self.upstream.apply_config(config)
        self.service.apply_settings(settings)

    # -- Its life --------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until told to stop, and then until all that was taken is answered.  Raises ConfigError."""
        # guards against full collections that go through all that was imported, 10 ms and more each
        gc.freeze()
        self.nursery.start_soon(self.wheel.run)
        if self.config.ops:
            await self._open_operations()
            await self._find_elder()
        listener = await open_listener(self.config.listen, "LB_LISTEN", shared=self.config.ops is not None)
        if self.fleet_part is not None:
            await self._open_fleet()
        self.host.deliver(Started())
        self.cluster.start()
        self.nursery.start_soon(self.downstream.listen, listener, self.nursery)
        if self.succession is not None:
            self.succession.serving(self.service, listener.socket, self.listed)
        self.service.tell(Told.READY)
        try:
            await self.service.wait_closed(listener)
        finally:
            if self.succession is not None:
                self.succession.close()

    def stop(self) -> None:
        """SIGTERM has come."""
        try:
            if self.succession is not None:
                self.succession.look()  # who is there decides how to leave
        except Exception:
            # guards against a stop that is passed over for what stands in a directory
            log.exception("replacement.failed")
        if self.fleet is not None:
            self.fleet.leave()
        if self.fleet_record is not None:
            self.fleet_record.leave()
        self.service.tell(Told.STOP)

    def line(self) -> str:
        """All counts as one line for the log."""
        self.counters["loop.late_ms"] = round(self.wheel.late_ms)
        if self.fleet is not None:
            self.fleet.publish()
        return self.counters.line(self.config.name)

    # -- Operators, and other processes ----------------------------------------------------------

    async def _open_operations(self) -> None:
        """Listen for operators.  Without their address nothing of this is imported."""
        from .operations.calls import Calls
        from .operations.listener import Operations

        calls = Calls(self.service.tell, self.service.stance, self.figures, self.fleet_lines)
        operations = Operations(calls, self.wheel, self.counters)
        listener = await open_listener(self.config.ops, "LB_OPS")
        self.nursery.start_soon(operations.listen, listener, self.nursery)

    def figures(self) -> list[str]:
        """The figures as of now."""
        from .operations.figures import Gauges, figures

        if self.fleet is not None:
            self.fleet.publish()
        gauges = Gauges(self.host.open_streams, *self.cluster.count_listed_and_skipped())
        return figures(self.counters, (c.name for c in self.host.settings.classes), gauges)

    # -- The fleet of schedulers -----------------------------------------------------------------

    async def _open_fleet(self) -> None:
        """Join the other schedulers.  Without `[fleet]` nothing of this is imported.  Raises ConfigError."""
        part = self.fleet_part
        if not self.config.peers_allowed:
            log.warning("fleet.off", why="settings.limits.peerMessages is false")
            return
        import random

        from .fleet.gossip import Link
        from .fleet.seeds import read_seeds
        from .fleet.swim import Membership

        bind = configuration.parse_address(part.bind, "fleet.bind")
        advertise = configuration.parse_address(part.advertise or part.bind, "fleet.advertise")
        rng = random.Random(self.config.seed ^ 0x5F1EE7)
        membership = Membership(part.id or self.config.name, advertise, part.tuning(), rng, part.cluster)
        parts = (membership, bind, part.tick_ms, self.wheel, self.clock, self.counters)
        link = self._share(parts, rng) if self.fleet_given.shared.enabled else Link(*parts)
        try:
            await link.open()
        except OSError as problem:
            raise configuration.ConfigError(f"fleet.bind: {part.bind}: {problem}") from None
        seeds = read_seeds(part.seeds, part.seeds_file)
        if part.seeds_from_registry:
            seeds = await self._seeds_from_registry(membership.me, advertise, seeds)
        self.fleet = link
        await self.nursery.start(link.run, seeds)

    def _share(self, parts: tuple, rng):
        """A link that shares state too.  Without `[shared]` nothing of this is imported."""
        import time

        from .fleet.shared import Shared
        from .fleet.state import StateLink
        from .fleet.uses import Uses, kinds

        part, settings, link = self.fleet_given.shared, self.config.settings, StateLink(*parts)
        given = (self.clock, self.counters, part.slow_multiple, rng)
        uses = Uses(self.host, self.upstream, self.cluster, *given)
        share = part.share(kinds(settings, part.connections, part.cold), settings)
        me, life, most = link.membership.me, int(time.time() * 1000), link.tuning.datagram_most
        now, name = self.clock.now(), self.fleet_part.cluster
        machine = Shared(me, life, share, name, rng, uses.used, now, most, uses.loads)
        link.share(machine, uses, part.adapts)
        return link

    async def _seeds_from_registry(self, member: str, advertise, seeds: tuple) -> tuple:
        """Add the others' records to the seeds, and keep one's own there."""
        from .registry.peers import keep_own, read_peers

        given, prefix = self.fleet_given, self.fleet_part.registry_prefix
        found, why = await read_peers(given, prefix, self.wheel)
        if why:
            log.warning("fleet.registry_unread", why=why, then="the other seeds stand")
        self.fleet_record = keep_own(given, prefix, member, advertise, self.wheel, self.clock, self.counters)
        self.nursery.start_soon(self.fleet_record.run)
        return tuple(dict.fromkeys((*seeds, *(a for a in found if a != advertise))))

    def reseed(self) -> None:
        """SIGHUP: read the seeds' file again; one that can't be read leaves the seeds as they were."""
        if self.fleet is None or not self.fleet_part.seeds_file:
            return
        from .fleet.seeds import read_seeds

        try:
            self.fleet.reseed(read_seeds(self.fleet_part.seeds, self.fleet_part.seeds_file))
        except configuration.ConfigError as problem:
            log.error("fleet.seeds_refused", why=str(problem), then="the seeds stay as they were")

    def fleet_lines(self, what: str) -> list[str] | None:
        """The fleet's `members`, `budgets`, `load` or `counters` as lines; None where that is off."""
        if self.fleet is None or (what in ("budgets", "load") and self.fleet.machine is None):
            return None
        if what != "counters":
            return getattr(self.fleet, what)()  # members, budgets, load
        self.fleet.publish()
        return [f"{k}={v}" for k, v in sorted(self.counters.items()) if k.startswith("fleet.")]

    async def _find_elder(self) -> None:
        """Where another process serves this address, wait until it has made room, and go by its list."""
        if not (directory := os.environ.get("TMPDIR")):
            return
        from .replacement.succession import Succession

        self.succession = Succession(directory, self.config, self.wheel, self.resize)
        elder = await self.succession.wait_for_room()
        if elder is not None and isinstance(self.source, Discovery):
            self._go_by(elder)

    def _go_by(self, elder) -> None:
        """Take the elder's list and its discovery, unless they make no sense."""
        file = self.config.raw.get("discovery")
        if file and file == elder.discovery:
            # guards against LB_DISCOVERY, which is as old as the elder, masking what it has read since
            self.source.address = configuration.parse_address(file, "LB_CONFIG: discovery")
        if elder.targets is None or elder.rev < self.config.known.rev:
            return
        told = {"rev": elder.rev, "all": True, "targets": elder.targets}
        try:
            known = msgspec.convert(told, ClusterList)
            for target in known.targets:
                ListedWorker.from_target(target, self.clock.from_unix)
        except (msgspec.ValidationError, configuration.ConfigError) as problem:
            log.warning("replacement.list_refused", why=str(problem))
            return
        self.cluster.known, self.source.rev = known, known.rev

    def listed(self) -> dict:
        """The list that is held, with its version and where it comes from, for a successor."""
        targets = [configuration.target_of(one.entry, one.address) for one in self.cluster.listed.values()]
        address = getattr(self.source, "address", None)
        return {
            "rev": getattr(self.source, "rev", 0),
            "targets": targets,
            "discovery": "{}:{}".format(*address) if address else "",
        }
