"""Writes to the disk in a separate thread, so that a slow or hanging disk does not block the event loop.

Records are written in order.  All records that are queued when the disk becomes free share one transaction
and thus one sync.  A failed write, for instance on a full disk, is repeated until it succeeds.  Until then no
message that depends on it is sent, so this replica does not count towards a majority.
"""

import asyncio
import sqlite3
import threading
from collections import deque
from collections.abc import Callable

from absl import logging

from ..consensus.replica import Persist
from .store import Store

RETRY_INTERVAL_S = 0.2


class DiskWriter:
    """Writes the records of all groups; `on_written(group, record)` is called in the event loop."""

    def __init__(self, store: Store, on_written: Callable[[str, Persist], None]):
        self._store, self._on_written = store, on_written
        self._loop = asyncio.get_running_loop()
        self._queue: deque[tuple[str, Persist]] = deque()
        self._wake = threading.Condition()
        self._stopped = False
        self.failures = 0  # failed write attempts, each retry counted
        self._thread = threading.Thread(target=self._run, name="disk-writer", daemon=True)
        self._thread.start()

    def write(self, group: str, record: Persist) -> None:
        """Queue a record."""
        with self._wake:
            self._queue.append((group, record))
            self._wake.notify()

    def stop(self) -> None:
        """End the thread once all queued records are written, or at the next failed write."""
        with self._wake:
            self._stopped = True
            self._wake.notify()

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._queue and not self._stopped:
                    self._wake.wait()
                if self._stopped and not self._queue:
                    return
                batch = list(self._queue)
                self._queue.clear()
            if not self._write_with_retries(batch):
                return
            try:
                self._loop.call_soon_threadsafe(self._report_written, batch)
            except RuntimeError:
                return  # the event loop is closed

    def _write_with_retries(self, batch: list[tuple[str, Persist]]) -> bool:
        failed = False
        while True:
            try:
                self._store.write(batch)
            except sqlite3.Error as error:
                if not failed:
                    logging.error("disk: write of %d records failed, retrying: %s", len(batch), error)
                failed = True
                self.failures += 1
                with self._wake:
                    if self._stopped:
                        return False
                    self._wake.wait(RETRY_INTERVAL_S)
                    if self._stopped:
                        return False
            else:
                if failed:
                    logging.info("disk: write succeeded after retries")
                return True

    def _report_written(self, batch: list[tuple[str, Persist]]) -> None:
        for group, record in batch:
            self._on_written(group, record)
