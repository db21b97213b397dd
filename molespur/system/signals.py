"""Process lifecycle of the fleet: background tasks, signals, and imports after the start."""

import asyncio
import gc
import os
import signal
from collections.abc import Callable, Coroutine
from contextlib import suppress
from importlib import import_module
from types import ModuleType

from absl import logging

from .errors import FleetError
from .settings.process import SETTINGS_VARIABLE, ProcessSettings, load

SETTINGS_POLL_INTERVAL_S = 2.0
NATIVE_MODULES = ("_decimal", "_multiprocessing", "_queue", "_uuid", "markupsafe._speedups")


IMPORT_STEPS = (
    "http.client", "http.cookiejar", "werkzeug", "werkzeug.routing", "jinja2", "click", "itsdangerous",
    "blinker", "importlib.metadata", "flask", "logging.config", "multiprocessing.synchronize", "h11", "hpack",
    "h2.events", "h2.connection", "wsproto", "priority", "hypercorn.protocol.events", "hypercorn.asyncio",
    "aiofiles", "quart",
)  # fmt: skip
"""The HTTP libraries, dependencies first.  Importing one takes at most about 40 ms of processor time."""


def load_native_modules() -> None:
    """Load the shared objects that `import_in_steps` needs while the process still has a single thread.

    Mapping a shared object changes the code of a running process, and the disk writer later adds a thread.
    """
    for name in NATIVE_MODULES:
        with suppress(ImportError):
            import_module(name)


async def import_in_steps(name: str) -> ModuleType:
    """Import a role's module and the HTTP libraries, one library for each iteration of the event loop.

    The HTTP libraries take half of the start time; elections and the feed proceed meanwhile.  Imports stay in
    the main thread: benchmark processes that imported in a second thread occasionally died of an illegal
    instruction.
    """
    for library in IMPORT_STEPS:
        import_module(library)
        await asyncio.sleep(0)
    module = import_module(name)
    gc.freeze()  # imported objects live as long as the process
    gc.enable()
    return module


def create_stop_event() -> asyncio.Event:
    """Return an event that is set on SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def run_until_stopped(stop: asyncio.Event, *coroutines: Coroutine) -> None:
    """Run coroutines that never return until the event is set.

    If one of them fails, all are cancelled and its error is raised in an exception group.  The process must
    not appear healthy after one of its tasks has failed.
    """

    async def raise_on_stop() -> None:
        await stop.wait()
        raise _Stopped

    try:
        async with asyncio.TaskGroup() as group:
            for coroutine in coroutines:
                group.create_task(coroutine)
            group.create_task(raise_on_stop())
    except* _Stopped:
        pass


async def raise_on_unexpected_end(server: asyncio.Task, stop: asyncio.Event) -> None:
    """Raise RuntimeError if a server ends before its stop event is set; otherwise never return."""
    await asyncio.wait([server])
    if not stop.is_set():
        raise RuntimeError("server ended without a stop request") from server.exception()
    await asyncio.Event().wait()


class _Stopped(Exception):
    """Ends the task group after a stop request."""


class SettingsWatch:
    """Reloads the settings file on SIGHUP and when it has changed; an invalid file is logged and ignored."""

    def __init__(self, on_settings: Callable[[ProcessSettings], None]):
        self._on_settings = on_settings
        self._reload_requested = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._reload_requested.set)

    async def run(self) -> None:
        """Watch until cancelled."""
        last_stamp = self._file_stamp()
        while True:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._reload_requested.wait(), SETTINGS_POLL_INTERVAL_S)
            stamp = self._file_stamp()
            if not self._reload_requested.is_set() and stamp == last_stamp:
                continue
            self._reload_requested.clear()
            last_stamp = stamp
            try:
                self._on_settings(load(os.environ))
            except FleetError as error:
                logging.error("settings not read again: %s", error)

    @staticmethod
    def _file_stamp() -> tuple[int, int] | None:
        """Return the modification time (ns) and size of the settings file; None if it cannot be read."""
        try:
            status = os.stat(os.environ.get(SETTINGS_VARIABLE, ""))
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
