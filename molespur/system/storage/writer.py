"""Writes to the disk in a thread of their own, so that a slow or hanging disk holds up nothing else.

Records are written in order.  All that wait when the disk is free share one transaction, and so one sync.
A write that fails (a full disk) is tried again until it succeeds; until then nothing that depends on it is
sent, so this replica counts in no majority meanwhile.
"""

import asyncio
import sqlite3
import threading
from collections import deque
from collections.abc import Callable

from absl import logging

from ..consensus.replica import Persist
from .store import Store

RETRY_S = 0.2


class DiskWriter:
    """A thread that writes records of all groups; `on_written(group, record)` is called in the loop."""

    def __init__(self, store: Store, on_written: Callable[[str, Persist], None]):
        self._store, self._on_written = store, on_written
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[tuple[str, Persist]] = deque()
        self._wake = threading.Condition()
        self._stopped = False
        self.failures = 0  # writes that have failed so far, tries included
        self._thread = threading.Thread(target=self._run, name="disk-writer", daemon=True)
        self._thread.start()

    def write(self, group: str, record: Persist) -> None:
        """Queue a record."""
        with self._wake:
            self._waiting.append((group, record))
            self._wake.notify()

    def stop(self) -> None:
        """Let the thread end after the record that it is writing."""
        with self._wake:
            self._stopped = True
            self._wake.notify()

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._waiting and not self._stopped:
                    self._wake.wait()
                if self._stopped and not self._waiting:
                    return
                batch = list(self._waiting)
                self._waiting.clear()
            if not self._write_until_done(batch):
                return
            try:
                self._loop.call_soon_threadsafe(self._written, batch)
            except RuntimeError:
                return  # the loop has ended

    def _write_until_done(self, batch: list[tuple[str, Persist]]) -> bool:
        failed = False
        while True:
            try:
                self._store.write(batch)
            except sqlite3.Error as error:
                if not failed:
                    logging.error("disk: a write of %d records failed, trying again: %s", len(batch), error)
                failed = True
                self.failures += 1
                with self._wake:
                    if self._stopped:
                        return False
                    self._wake.wait(RETRY_S)
                    if self._stopped:
                        return False
            else:
                if failed:
                    logging.info("disk: writes succeed again")
                return True

    def _written(self, batch: list[tuple[str, Persist]]) -> None:
        for group, record in batch:
            self._on_written(group, record)
