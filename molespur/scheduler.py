"""One scheduler, put together from its parts."""

from . import config as configuration
from .interface import Started
from .lifecycle import Told
from .logic import Dispatcher
from .net.cluster import Cluster
from .net.counters import Counters
from .net.discovery import Discovery
from .net.downstream import Downstream
from .net.host import Host
from .net.listening import open_listener
from .net.reload import Reload
from .net.service import Service
from .net.upstream import Upstream
from .net.wheel import Clock, Wheel

OWN_SOCKETS = 48  # descriptors for standard streams, the poller, the watch, the listeners, and some to spare
BODIES_SHARE = 0.1  # of the memory granted; the program takes 20 to 26 MB without them


class Scheduler:
    """All parts of one scheduler, joined; nothing runs before `run`.

    A deployment may name another source of the cluster than the platform's discovery; without one nothing
    of that is imported.
    """

    def __init__(self, config, counters: Counters, nursery, registered=None):
        self.config, self.counters, self.nursery = config, counters, nursery
        self.clock, self.wheel = Clock(), Wheel(config.tick_ms)
        free = config.sockets - OWN_SOCKETS
        clients = self.clients = free // 2
        dispatcher, settings = Dispatcher(config.settings, config.seed), config.settings
        self.host = Host(
            dispatcher, self.clock, self.wheel, counters, settings, min(config.max_open, clients)
        )
        self.upstream = Upstream(config, self.wheel, self.clock, counters, nursery, free - clients)
        self.cluster = Cluster(config.known, self.clock, self.host, self.upstream)
        beside = (self.wheel, self.clock, counters, nursery)
        if registered is not None:
            from .registry.source import open_source

            source = open_source(registered, config, self.cluster, *beside)
        else:
            source = Discovery(self.cluster, config, *beside)
        self.cluster.source = source
        self.host.connect(self.upstream, self.cluster)
        usual = config.sockets // 3  # clients hold at most a third for jobs
        bodies = BODIES_SHARE * config.memory_mb * 2**20
        self.downstream = Downstream(self.host, self.wheel, counters, clients, usual, bodies)
        self.service = Service(self.downstream, self.host, self.clock, self.wheel)
        self.reload = Reload(config, self.swap, source, self.wheel, counters)

    def swap(self, config, settings) -> None:
        """Take another configuration over, in one step: no part ever sees some of it."""
        self.config = config
        self.host.retune(settings)
        self.host.max_streams = min(config.max_open, self.clients)
        self.upstream.retune(config)
        self.service.retune(settings)

    async def run(self, listener) -> None:
        """Serve until told to stop, and then until all that was taken is answered."""
        self.nursery.start_soon(self.wheel.run)
        if self.config.ops:
            await self._open_operations()
        self.host.deliver(Started())
        self.cluster.start()
        self.nursery.start_soon(self.downstream.listen, listener, self.nursery)
        self.service.tell(Told.READY)
        await self.service.gone(listener)

    def line(self) -> str:
        """All counts as one line for the log."""
        self.counters["loop.late_ms"] = round(self.wheel.late_ms)
        return self.counters.line(self.config.name)

    async def _open_operations(self) -> None:
        """Listen for operators.  Without their address nothing of this is imported."""
        from .operations.calls import Calls
        from .operations.listener import Operations

        operations = Operations(
            Calls(self.service.tell, self.service.stance, self.figures), self.wheel, self.counters
        )
        listener = await open_listener(self.config.ops, "LB_OPS")
        self.nursery.start_soon(operations.listen, listener, self.nursery)

    def figures(self) -> list[str]:
        """The figures as of now."""
        from .operations.figures import Gauges, figures

        gauges = Gauges(self.host.open, *self.cluster.known_and_skipped())
        return figures(self.counters, (c.name for c in self.host.settings.classes), gauges)


async def open_scheduler(environ, counters: Counters, nursery, deployment=None):
    """A scheduler as configured, and the listener that it will serve.  Raises ConfigError."""
    registered = deployment is not None and deployment.cluster.source != "discovery"
    config = configuration.load(environ, needs_discovery=not registered)
    listener = await open_listener(config.listen, "LB_LISTEN", shared=config.ops is not None)
    return Scheduler(config, counters, nursery, deployment if registered else None), listener
