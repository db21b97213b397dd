"""The configuration read again: taken whole, or not at all."""

import os
from collections.abc import Callable

from .. import config as configuration
from .. import logs
from ..config.change import FOLLOW_MS, between, check_whole
from ..interface import Settings
from .counters import LOAD_ERRORS, LOADS
from .discovery import Discovery

log = logs.get("molespur")


class Reload:
    """Keeps the configuration in force, and changes it when told to.

    `swap` takes a checked configuration, and the settings that hold for now, over into all parts at once.
    """

    def __init__(
        self,
        running: configuration.Config,
        swap: Callable[[configuration.Config, Settings], None],
        source,
        wheel,
        counters,
        environ=os.environ,
    ):
        self.running, self.swap, self.source = running, swap, source
        self.wheel, self.counters, self.environ = wheel, counters, environ
        self.in_force = running.settings  # between two configurations it is neither's
        self._following = None

    def __call__(self) -> None:
        """Read the configuration again.  Another source than discovery reads again what it stands on."""
        self.counters["reload.asked"] += 1
        discovers = isinstance(self.source, Discovery)
        try:
            given = configuration.load(self.environ, self.running, discovers)
            check_whole(self.running.raw, given.raw)
        except Exception as problem:
            # guards against a file that can't be used ending a program that serves
            self.counters[LOAD_ERRORS] += 1
            log.error("reload.failed", why=str(problem), then="the running configuration stays")
            return
        self.counters[LOADS] += 1
        if keys := configuration.needs_restart(self.running, given):
            log.warning("reload.needs_restart", keys=", ".join(keys))
        moved = given.discovery != self.running.discovery
        self.running = configuration.after_reload(self.running, given)
        log.info(
            "reload.done",
            discovery="{}:{}".format(*given.discovery) if given.discovery[1] else None,
            classes=", ".join(c.name for c in given.settings.classes),
        )
        self._hold(between(self.in_force, given.settings))
        if self._following is not None:
            self._following.cancel()
        self._following = self.wheel.after(FOLLOW_MS, self._hold, given.settings)
        if moved or not discovers:
            self.source.move(given.discovery)

    def _hold(self, settings: Settings) -> None:
        """From now on these settings hold."""
        self.in_force = settings
        self.swap(self.running, settings)
