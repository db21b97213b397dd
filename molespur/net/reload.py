"""The configuration read again: taken whole, or not at all."""

import os
from dataclasses import replace

from .. import config as configuration
from .. import logs
from .counters import LOAD_ERRORS, LOADS
from .discovery import Discovery

log = logs.get("molespur")


class Reload:
    """Keeps the configuration in force, and changes it when told to."""

    def __init__(self, running: configuration.Config, counters, source, environ=os.environ):
        self.running, self.counters, self.source, self.environ = running, counters, source, environ

    def __call__(self) -> None:
        """Read the configuration again and go to the discovery that it names.

        Another source than discovery reads again what it stands on.
        """
        self.counters["reload.asked"] += 1
        try:
            given = configuration.load(self.environ, self.running, isinstance(self.source, Discovery))
        except Exception as problem:
            # guards against a file that can't be used ending a program that serves
            self.counters[LOAD_ERRORS] += 1
            log.error("reload.failed", why=str(problem), then="the running configuration stays")
            return
        self.counters[LOADS] += 1
        if keys := configuration.needs_restart(self.running, given):
            log.warning("reload.needs_restart", keys=", ".join(keys))
        log.info("reload.done", discovery="{}:{}".format(*given.discovery) if given.discovery[1] else None)
        self.source.move(given.discovery)
        self.running = replace(self.running, discovery=given.discovery)
