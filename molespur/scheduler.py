"""Builds one scheduler from its parts, and runs it."""

import gc
import os

import msgspec

from . import config as configuration
from . import logs
from .config import ClusterList
from .interface import Started
from .lifecycle import ProcessEvent
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
RESERVED_SOCKETS = 48  # descriptors for standard streams, poller, watch, listeners, and a margin
BODY_MEMORY_SHARE = 0.1  # of the memory granted; the program takes 20 to 26 MB without bodies


class Scheduler:
    """All parts of one scheduler; nothing runs before `run`.

    A deployment may name another source of the worker list than the platform's discovery.  The modules of
    that source are imported only then.
    """

    def __init__(self, config, counters: Counters, nursery, registry=None, fleet=None):
        self.config, self.counters, self.nursery = config, counters, nursery
        self.fleet_deployment, self.fleet = fleet, None  # a deployment with [fleet] on; the link once open
        self.fleet_settings = fleet.fleet if fleet is not None else None
        self.fleet_record = None  # this member's record in the registry, if the seeds come from there
        self.clock, self.wheel = Clock(), Wheel(config.tick_ms)
        self.sockets = config.sockets  # max descriptors; fewer while another process serves this address
        max_clients, max_upstream, max_job_clients, body_bytes = self._limits()
        dispatcher, settings = Dispatcher(config.settings, config.seed), config.settings
        max_streams = min(config.max_open, max_clients)
        self.host = Host(dispatcher, self.clock, self.wheel, counters, settings, max_streams)
        self.upstream = Upstream(config, self.wheel, self.clock, counters, nursery, max_upstream)
        self.cluster = Cluster(config.known, self.clock, self.host, self.upstream)
        shared = (self.wheel, self.clock, counters, nursery)
        if registry is not None:
            from .registry.source import open_source

            self.source = open_source(registry, config, self.cluster, *shared)
        else:
            self.source = Discovery(self.cluster, config, *shared)
        self.cluster.source = self.source
        self.host.connect(self.upstream, self.cluster)
        self.downstream = Downstream(
            self.host, self.wheel, counters, max_clients, max_job_clients, body_bytes
        )
        self.service = Service(self.downstream, self.host, self.clock, self.wheel)
        self.reload = Reload(config, self.apply_configuration, self.source, self.wheel, counters)
        self.succession = None

    # -- Limits ----------------------------------------------------------------------------------

    def _limits(self) -> tuple[int, int, int, float]:
        """Max connections of clients, of workers, of clients with jobs, and max bytes of request bodies."""
        free = self.sockets - RESERVED_SOCKETS
        share = self.sockets / self.config.sockets
        body_bytes = BODY_MEMORY_SHARE * self.config.memory_mb * 2**20 * share
        return free // 2, free - free // 2, self.sockets // 3, body_bytes  # a third for clients with jobs

    def resize(self, sockets: int) -> None:
        """Limit the descriptors to this number, and the memory for bodies to the same share."""
        if sockets == self.sockets:
            return
        self.sockets = sockets
        max_clients, max_upstream, max_job_clients, body_bytes = self._limits()
        self.host.max_streams = min(self.config.max_open, max_clients)
        self.upstream.resize(max_upstream)
        self.downstream.resize(max_clients, max_job_clients, body_bytes)

    def apply_configuration(self, config, settings) -> None:
        """Switch all parts to another configuration in one step, so that none sees a mix of both."""
        self.config = config
        self.host.apply_settings(settings)
        self.host.max_streams = min(config.max_open, self._limits()[0])
        self.upstream.apply_config(config)
        self.service.apply_settings(settings)

    # -- Start and stop --------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until `stop`, and then until all accepted requests are answered.  Raises ConfigError."""
        # guards against full garbage collections that scan all imported modules, 10 ms and more each
        gc.freeze()
        self.nursery.start_soon(self.wheel.run)
        if self.config.ops:
            await self._open_operations()
            await self._wait_for_predecessor()
        listener = await open_listener(self.config.listen, "LB_LISTEN", shared=self.config.ops is not None)
        if self.fleet_settings is not None:
            await self._open_fleet()
        self.host.deliver(Started())
        self.cluster.start()
        self.nursery.start_soon(self.downstream.listen, listener, self.nursery)
        if self.succession is not None:
            self.succession.serving(self.service, listener.socket, self.worker_list)
        self.service.handle(ProcessEvent.READY)
        try:
            await self.service.wait_closed(listener)
        finally:
            if self.succession is not None:
                self.succession.close()

    def stop(self) -> None:
        """Begin to stop: SIGTERM has come."""
        try:
            if self.succession is not None:
                self.succession.look()  # the other processes decide how this one stops
        except Exception:
            # guards against a stop that fails because of the contents of a directory
            log.exception("replacement.failed")
        if self.fleet is not None:
            self.fleet.leave()
        if self.fleet_record is not None:
            self.fleet_record.leave()
        self.service.handle(ProcessEvent.STOP)

    def counters_line(self) -> str:
        """All counters as one line for the log."""
        self.counters["loop.late_ms"] = round(self.wheel.late_ms)
        if self.fleet is not None:
            self.fleet.publish()
        return self.counters.line(self.config.name)

    # -- Operators -------------------------------------------------------------------------------

    async def _open_operations(self) -> None:
        """Listen on the operators' address; its modules are imported only where it is set."""
        from .operations.calls import Calls
        from .operations.listener import Operations

        calls = Calls(self.service.handle, self.service.serving_state, self.metrics, self.fleet_lines)
        operations = Operations(calls, self.wheel, self.counters)
        listener = await open_listener(self.config.ops, "LB_OPS")
        self.nursery.start_soon(operations.listen, listener, self.nursery)

    def metrics(self) -> list[str]:
        """The current metrics, one on each line."""
        from .operations.figures import Gauges, figures

        if self.fleet is not None:
            self.fleet.publish()
        gauges = Gauges(self.host.open_streams, *self.cluster.count_listed_and_skipped())
        return figures(self.counters, (c.name for c in self.host.settings.classes), gauges)

    # -- The fleet of schedulers -----------------------------------------------------------------

    async def _open_fleet(self) -> None:
        """Join the other schedulers; imported only with `[fleet]`.  Raises ConfigError."""
        settings = self.fleet_settings
        if not self.config.peers_allowed:
            log.warning("fleet.off", why="settings.limits.peerMessages is false")
            return
        import random

        from .fleet.gossip import Transport
        from .fleet.seeds import read_seeds
        from .fleet.swim import Membership

        bind = configuration.parse_address(settings.bind, "fleet.bind")
        advertise = configuration.parse_address(settings.advertise or settings.bind, "fleet.advertise")
        rng = random.Random(self.config.seed ^ 0x5F1EE7)
        membership = Membership(
            settings.id or self.config.name, advertise, settings.tuning(), rng, settings.cluster
        )
        parts = (membership, bind, settings.tick_ms, self.wheel, self.clock, self.counters)
        link = (
            self._open_shared_state(parts, rng) if self.fleet_deployment.shared.enabled else Transport(*parts)
        )
        try:
            await link.open()
        except OSError as error:
            raise configuration.ConfigError(f"fleet.bind: {settings.bind}: {error}") from None
        seeds = read_seeds(settings.seeds, settings.seeds_file)
        if settings.seeds_from_registry:
            seeds = await self._seeds_from_registry(membership.own_id, advertise, seeds)
        self.fleet = link
        await self.nursery.start(link.run, seeds)

    def _open_shared_state(self, parts: tuple, rng):
        """A link that shares state, too; imported only with `[shared]`."""
        import time

        from .fleet.shared import SharedState
        from .fleet.state import StateTransport
        from .fleet.uses import FleetAdapter, budget_kinds

        shared, settings, link = self.fleet_deployment.shared, self.config.settings, StateTransport(*parts)
        context = (self.clock, self.counters, shared.slow_multiple, rng)
        uses = FleetAdapter(self.host, self.upstream, self.cluster, *context)
        share = shared.share(budget_kinds(settings, shared.connections, shared.cold), settings)
        me, instance_id, max_bytes = (
            link.membership.own_id,
            int(time.time() * 1000),
            link.tuning.datagram_most,
        )
        now, name = self.clock.now(), self.fleet_settings.cluster
        machine = SharedState(me, instance_id, share, name, rng, uses.used, now, max_bytes, uses.loads)
        link.attach_state(machine, uses, shared.adapts)
        return link

    async def _seeds_from_registry(self, member: str, advertise, seeds: tuple) -> tuple:
        """Add the seeds that the registry lists, and keep this member's own record there."""
        from .registry.peers import keep_own, read_peers

        deployment, prefix = self.fleet_deployment, self.fleet_settings.registry_prefix
        found, why = await read_peers(deployment, prefix, self.wheel)
        if why:
            log.warning("fleet.registry_unread", why=why, then="the other seeds stay in use")
        self.fleet_record = keep_own(
            deployment, prefix, member, advertise, self.wheel, self.clock, self.counters
        )
        self.nursery.start_soon(self.fleet_record.run)
        return tuple(dict.fromkeys((*seeds, *(address for address in found if address != advertise))))

    def reload_seeds(self) -> None:
        """Read the seeds file again; if it can't be read, the seeds stay as they are."""
        if self.fleet is None or not self.fleet_settings.seeds_file:
            return
        from .fleet.seeds import read_seeds

        try:
            self.fleet.reseed(read_seeds(self.fleet_settings.seeds, self.fleet_settings.seeds_file))
        except configuration.ConfigError as error:
            log.error("fleet.seeds_refused", why=str(error), then="the seeds stay as they were")

    def fleet_lines(self, what: str) -> list[str] | None:
        """The fleet's `members`, `budgets`, `load` or `counters`, one on a line; None where that is off."""
        if self.fleet is None or (what in ("budgets", "load") and self.fleet.machine is None):
            return None
        if what != "counters":
            return getattr(self.fleet, what)()  # members, budgets, load
        self.fleet.publish()
        return [f"{k}={v}" for k, v in sorted(self.counters.items()) if k.startswith("fleet.")]

    async def _wait_for_predecessor(self) -> None:
        """If another process serves this address, wait until it has made room, and adopt its worker list."""
        if not (directory := os.environ.get("TMPDIR")):
            return
        from .replacement.succession import Succession

        self.succession = Succession(directory, self.config, self.wheel, self.resize)
        predecessor = await self.succession.wait_for_room()
        if predecessor is not None and isinstance(self.source, Discovery):
            self._adopt_list(predecessor)

    def _adopt_list(self, predecessor) -> None:
        """Take over the predecessor's worker list and discovery address, unless they are invalid."""
        address = self.config.raw.get("discovery")
        if address and address == predecessor.discovery:
            # guards against LB_DISCOVERY, as old as the predecessor, hiding what that has read since
            self.source.address = configuration.parse_address(address, "LB_CONFIG: discovery")
        if predecessor.targets is None or predecessor.rev < self.config.known.rev:
            return
        fields = {"rev": predecessor.rev, "all": True, "targets": predecessor.targets}
        try:
            known = msgspec.convert(fields, ClusterList)
            for target in known.targets:
                ListedWorker.from_target(target, self.clock.from_unix)
        except (msgspec.ValidationError, configuration.ConfigError) as error:
            log.warning("replacement.list_refused", why=str(error))
            return
        self.cluster.known, self.source.rev = known, known.rev

    def worker_list(self) -> dict:
        """The current worker list with its version and source, for a successor."""
        targets = [configuration.target_of(w.entry, w.address) for w in self.cluster.listed.values()]
        address = getattr(self.source, "address", None)
        return {
            "rev": getattr(self.source, "rev", 0),
            "targets": targets,
            "discovery": "{}:{}".format(*address) if address else "",
        }
