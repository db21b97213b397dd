"""One real scheduler: start, signals, exit."""

import errno
import os
import signal
import sys
from dataclasses import replace

import trio

from . import config as configuration
from . import logs
from .interface import Started
from .logic import Dispatcher
from .net.cluster import Cluster
from .net.counters import Counters
from .net.discovery import Discovery
from .net.downstream import Downstream
from .net.host import Host
from .net.upstream import Upstream
from .net.wheel import Clock, Wheel

log = logs.get("molespur")
# After SIGTERM new clients arrive for 0.4 s, but those that have a connection go on using it, and we may be
# all that is there for them until another scheduler is back from its own restart.
GRACE_S = 2.5
STOP_S = 3.4  # after SIGTERM all is answered: SIGKILL may come 3.7 s after it
OWN_SOCKETS = 48  # descriptors for standard streams, the poller, the watch, the listener, and some to spare
BODIES_SHARE = 0.1  # of the memory granted; the program takes 20 to 26 MB without them
BIND_S = 5.0  # the address may still be held by the process before us


async def open_listener(address: tuple[str, int]) -> trio.SocketListener:
    """Listen on this address only, waiting a little for it to come free."""
    until = trio.current_time() + BIND_S
    while True:
        try:
            return (await trio.open_tcp_listeners(address[1], host=address[0], backlog=1024))[0]
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE or trio.current_time() > until:
                raise configuration.ConfigError(f"LB_LISTEN: {address}: {problem}") from None
        await trio.sleep(0.05)


async def wait_for_stop(signals, counters: Counters, config: configuration.Config, source) -> None:
    """Print the counters on SIGUSR1, read the configuration again on SIGHUP; return on SIGTERM or SIGINT."""
    async for number in signals:
        if number == signal.SIGUSR1:
            print(counters.line(config.name), file=sys.stderr, flush=True)
        elif number == signal.SIGHUP:
            config = reload(config, counters, source)
        else:
            return


def reload(
    running: configuration.Config, counters: Counters, source, environ=os.environ
) -> configuration.Config:
    """Read the configuration again and go to the discovery that it names; give what is in force then.

    Another source than discovery reads again what it stands on.
    """
    counters["reload.asked"] += 1
    try:
        given = configuration.load(environ, running, isinstance(source, Discovery))
    except Exception as problem:
        # guards against a file that can't be used, whatever is wrong with it, ending a program that serves
        counters["reload.failed"] += 1
        log.error("reload.failed", why=str(problem), then="the running configuration stays")
        return running
    if keys := configuration.needs_restart(running, given):
        log.warning("reload.needs_restart", keys=", ".join(keys))
    log.info("reload.done", discovery="{}:{}".format(*given.discovery) if given.discovery[1] else None)
    source.move(given.discovery)
    return replace(running, discovery=given.discovery)


async def pass_over(signals) -> None:
    """Guards the orderly end: a signal that nobody takes is delivered again at the end, and kills."""
    async for number in signals:
        log.info("signal.passed_over", number=number)


async def stop(downstream: Downstream, host: Host, listener) -> None:
    """Serve clients for the grace time, take no more, and come back once all that was taken is answered."""
    until = trio.current_time() + STOP_S
    downstream.ready = False
    await trio.sleep(GRACE_S)
    downstream.stop_accepting()
    # guards against connections that nobody will ever take: from now on they are refused
    await listener.aclose()
    with trio.move_on_at(until):
        await downstream.leave()
    host.end_all()
    await downstream.leave()


async def serve(environ, counters: Counters, deployment=None) -> None:
    """Serve until told to stop, and then until all that was taken is answered.

    A deployment may name another source of the cluster than the platform's discovery; without one nothing
    of that is imported.
    """
    registered = deployment is not None and deployment.cluster.source != "discovery"
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
    with trio.open_signal_receiver(*wanted) as signals:
        config = configuration.load(environ, needs_discovery=not registered)
        listener = await open_listener(config.listen)
        async with trio.open_nursery() as nursery:
            clock, wheel = Clock(), Wheel(config.tick_ms)
            free = config.sockets - OWN_SOCKETS
            clients = free // 2
            dispatcher, settings = Dispatcher(config.settings, config.seed), config.settings
            host = Host(dispatcher, clock, wheel, counters, settings, min(config.max_open, clients))
            upstream = Upstream(config, wheel, clock, counters, nursery, free - clients)
            cluster = Cluster(config.known, clock, host, upstream)
            if registered:
                from .registry.source import open_source

                source = open_source(deployment, config, cluster, wheel, clock, counters, nursery)
            else:
                source = Discovery(cluster, config, wheel, clock, counters, nursery)
            cluster.source = source
            host.connect(upstream, cluster)
            usual = config.sockets // 3  # clients hold at most a third for jobs
            bodies = BODIES_SHARE * config.memory_mb * 2**20
            downstream = Downstream(host, wheel, counters, settings.classes, clients, usual, bodies)
            nursery.start_soon(wheel.run)
            host.deliver(Started())
            cluster.start()
            nursery.start_soon(downstream.listen, listener, nursery)
            downstream.ready = True
            await wait_for_stop(signals, counters, config, source)
            log.info("stop.told")
            nursery.start_soon(pass_over, signals)
            await stop(downstream, host, listener)
            nursery.cancel_scope.cancel()
    print(counters.line(config.name), file=sys.stderr, flush=True)


def main(deployment=None) -> int:
    """Run one scheduler; the exit code says whether it stopped as told."""
    # guards against a SIGHUP before we listen for it, or after, which would end the program
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if deployment is None:
        logs.plain()
    else:
        logs.structured(deployment.log.format, deployment.log.level)
    code = 0
    try:
        trio.run(serve, os.environ, Counters(), deployment)
    except* configuration.ConfigError as problems:
        # a nursery that was open already has put it into a group
        problem = problems
        while isinstance(problem, BaseExceptionGroup):
            problem = problem.exceptions[0]
        print(f"molespur: {problem}", file=sys.stderr)
        code = 2
    return code


if __name__ == "__main__":
    if len(sys.argv) > 1:
        from .cli import main as command_line

        command_line()
    sys.exit(main())
