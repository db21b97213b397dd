"""Reloads the configuration, completely or not at all."""

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
    """Holds the running configuration and replaces it on request.

    `swap` applies a checked configuration, and the settings in force for now, to all parts in one step.
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
        self.in_force = running.settings  # during a change: a combination of the old and the new settings
        self._pending = None  # the timer that ends a change

    def __call__(self) -> None:
        """Read the configuration again.  A source other than discovery also reads its own input again."""
        self.counters["reload.asked"] += 1
        uses_discovery = isinstance(self.source, Discovery)
        try:
            loaded = configuration.load(self.environ, self.running, uses_discovery)
            check_whole(self.running.raw, loaded.raw)
        except Exception as problem:
            # An unusable file must not end a process that is serving.
            self.counters[LOAD_ERRORS] += 1
            log.error("reload.failed", why=str(problem), then="keeping the running configuration")
            return
        self.counters[LOADS] += 1
        if keys := configuration.needs_restart(self.running, loaded):
            log.warning("reload.needs_restart", keys=", ".join(keys))
        moved = loaded.discovery != self.running.discovery
        self.running = configuration.after_reload(self.running, loaded)
        log.info(
            "reload.done",
            discovery="{}:{}".format(*loaded.discovery) if loaded.discovery[1] else None,
            classes=", ".join(c.name for c in loaded.settings.classes),
        )
        self._put_in_force(between(self.in_force, loaded.settings))
        if self._pending is not None:
            self._pending.cancel()
        self._pending = self.wheel.after(FOLLOW_MS, self._put_in_force, loaded.settings)
        if moved or not uses_discovery:
            self.source.move(loaded.discovery)

    def _put_in_force(self, settings: Settings) -> None:
        """Apply these settings from now on."""
        self.in_force = settings
        self.swap(self.running, settings)
