"""How a process of the fleet runs and ends: its endless parts, the signals that it heeds, late imports."""

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
from .settings.process import VARIABLE, ProcessSettings, load

SETTINGS_LOOK_S = 2.0
NATIVE_MODULES = ("_decimal", "_multiprocessing", "_queue", "_uuid", "markupsafe._speedups")


IMPORT_STEPS = (
    "http.client", "http.cookiejar", "werkzeug", "werkzeug.routing", "jinja2", "click", "itsdangerous",
    "blinker", "importlib.metadata", "flask", "logging.config", "multiprocessing.synchronize", "h11", "hpack",
    "h2.events", "h2.connection", "wsproto", "priority", "hypercorn.protocol.events", "hypercorn.asyncio",
    "aiofiles", "quart",
)  # fmt: skip
"""The libraries of HTTP, dependencies first: each takes some 40 ms of processor time at most."""


def load_native_modules() -> None:
    """Load the shared objects of what `imported` will import, while the process has one thread.

    A shared object that is mapped changes the code of a process that runs, and its disk has a thread.
    """
    for name in NATIVE_MODULES:
        with suppress(ImportError):
            import_module(name)


async def imported(name: str) -> ModuleType:
    """Import a module of a role and what it needs, a library at a time, so that the loop goes on meanwhile.

    The libraries of HTTP take half of the time of a start; elections and the feed need not wait for them.  No
    second thread imports: processes of the bench that did so ended now and then with an illegal instruction.
    """
    for library in IMPORT_STEPS:
        import_module(library)
        await asyncio.sleep(0)
    module = import_module(name)
    gc.freeze()  # what the imports made is never garbage
    gc.enable()
    return module


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
