"""Serving an ASGI application with hypercorn, and the signals that a process of the fleet heeds."""

import asyncio
import logging as standard_logging
import os
import signal
from collections.abc import Callable, Coroutine
from contextlib import suppress

from absl import logging
from hypercorn.asyncio import serve as hypercorn_serve
from hypercorn.config import Config

from . import early_listener
from .errors import FleetError
from .settings.process import VARIABLE, ProcessSettings, load

KEEP_ALIVE_S = 30.0
GRACEFUL_S = 1.0
HEADER_BYTES = 64 << 10
SETTINGS_LOOK_S = 2.0


def wait_for_stop() -> asyncio.Event:
    """An event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def until_stop(stop: asyncio.Event, *endless: Coroutine) -> None:
    """Run coroutines that never end until the event is set.

    One that fails ends them all and is raised, in an exception group: a process that has lost a part of
    itself must not look alive.
    """

    async def end_group() -> None:
        await stop.wait()
        raise _Stopped

    try:
        async with asyncio.TaskGroup() as group:
            for coroutine in endless:
                group.create_task(coroutine)
            group.create_task(end_group())
    except* _Stopped:
        pass


async def unexpected_end(server: asyncio.Task, told: asyncio.Event) -> None:
    """Wait for a server for ever; raise what ended it if it was not told to end."""
    await asyncio.wait([server])
    if not told.is_set():
        raise RuntimeError("a server has ended by itself") from server.exception()
    await asyncio.Event().wait()


class _Stopped(Exception):
    """The process was told to stop."""


class SettingsWatch:
    """Reads the settings file again on SIGHUP and when it has changed; a faulty one is passed over."""

    def __init__(self, on_settings: Callable[[ProcessSettings], None]):
        self._on_settings = on_settings
        self._hup = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._hup.set)

    async def run(self) -> None:
        """Watch until cancelled."""
        known = self._stamp()
        while True:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._hup.wait(), SETTINGS_LOOK_S)
            stamp = self._stamp()
            if not self._hup.is_set() and stamp == known:
                continue
            self._hup.clear()
            known = stamp
            try:
                self._on_settings(load(os.environ))
            except FleetError as error:
                logging.error("settings not read again: %s", error)

    @staticmethod
    def _stamp() -> tuple[int, int] | None:
        try:
            status = os.stat(os.environ.get(VARIABLE, ""))
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size


async def serve(
    app,
    address: str,
    stop: asyncio.Event,
    keep_alive_s: float = KEEP_ALIVE_S,
    graceful_s: float = GRACEFUL_S,
    header_bytes: int = HEADER_BYTES,
) -> None:
    """Serve until the event is set, then let open requests end within `graceful_s` seconds."""
    config = Config()
    opened = early_listener.take(address)
    config.bind = [address] if opened is None else [f"fd://{opened.detach()}"]
    config.keep_alive_timeout = keep_alive_s
    config.graceful_timeout = graceful_s
    config.h11_max_incomplete_size = header_bytes
    config.include_server_header = False
    config.include_date_header = False
    config.accesslog = None
    config.errorlog = standard_logging.getLogger("hypercorn")
    config.backlog = early_listener.BACKLOG
    config.keep_alive_max_requests = 1_000_000_000
    config.h11_pass_raw_headers = True
    await hypercorn_serve(app, config, shutdown_trigger=stop.wait)
