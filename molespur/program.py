"""Start and signals of the scheduler process."""

import os
import signal
import sys

import trio

from . import config as configuration
from . import logs
from .net.counters import Counters
from .scheduler import Scheduler

log = logs.get("molespur")


async def handle_signals(signals, scheduler: Scheduler) -> None:
    """Print the counters on SIGUSR1, reload the configuration on SIGHUP, stop on SIGTERM or SIGINT.

    Runs until the process ends: a signal that is not taken from the receiver is delivered again when the
    receiver closes, and kills the process.
    """
    async for number in signals:
        if number == signal.SIGUSR1:
            print(scheduler.counters_line(), file=sys.stderr, flush=True)
        elif number == signal.SIGHUP:
            scheduler.reload()
            scheduler.reload_seeds()
        else:
            log.info("stop.told", signal=number)
            scheduler.stop()


async def serve(environ, counters: Counters, deployment=None) -> None:
    """Serve until a signal to stop, and then until all accepted requests are answered."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            uses_registry = deployment is not None and deployment.cluster.source != "discovery"
            config = configuration.load(environ, needs_discovery=not uses_registry)
            fleet = deployment if deployment is not None and deployment.fleet.enabled else None
            scheduler = Scheduler(config, counters, nursery, deployment if uses_registry else None, fleet)
            nursery.start_soon(handle_signals, signals, scheduler)
            await scheduler.run()
            nursery.cancel_scope.cancel()
    print(scheduler.counters_line(), file=sys.stderr, flush=True)


def main(deployment=None) -> int:
    """Run one scheduler, and return the exit code: 2 for a configuration that can't be used."""
    # guards against a SIGHUP before or after its receiver is open, which would end the program
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if deployment is None:
        logs.configure_plain()
    else:
        logs.configure_structured(deployment.log.format, deployment.log.level)
    code = 0
    try:
        trio.run(serve, os.environ, Counters(), deployment)
    except* configuration.ConfigError as errors:
        # an open nursery wraps the error in an exception group
        error = errors
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        print(f"molespur: {error}", file=sys.stderr)
        code = 2
    return code
