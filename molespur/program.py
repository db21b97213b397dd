"""One real scheduler: start and signals."""

import os
import signal
import sys

import trio

from . import config as configuration
from . import logs
from .net.counters import Counters
from .scheduler import Scheduler

log = logs.get("molespur")


async def heed(signals, scheduler: Scheduler) -> None:
    """Print the counters on SIGUSR1, read the configuration again on SIGHUP, stop on SIGTERM or SIGINT.

    Goes on to the end: a signal that nobody takes is delivered again then, and kills.
    """
    async for number in signals:
        if number == signal.SIGUSR1:
            print(scheduler.line(), file=sys.stderr, flush=True)
        elif number == signal.SIGHUP:
            scheduler.reload()
            scheduler.reseed()
        else:
            log.info("stop.told", signal=number)
            scheduler.stop()


async def serve(environ, counters: Counters, deployment=None) -> None:
    """Serve until told to stop, and then until all that was taken is answered."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            registered = deployment is not None and deployment.cluster.source != "discovery"
            config = configuration.load(environ, needs_discovery=not registered)
            fleet = deployment if deployment is not None and deployment.fleet.enabled else None
            scheduler = Scheduler(config, counters, nursery, deployment if registered else None, fleet)
            nursery.start_soon(heed, signals, scheduler)
            await scheduler.run()
            nursery.cancel_scope.cancel()
    print(scheduler.line(), file=sys.stderr, flush=True)


def main(deployment=None) -> int:
    """Run one scheduler; the exit code says whether it stopped as told."""
    # guards against a SIGHUP before we listen for it, or after, which would end the program
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if deployment is None:
        logs.configure_plain()
    else:
        logs.configure_structured(deployment.log.format, deployment.log.level)
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
