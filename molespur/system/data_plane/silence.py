"""Detects that a call to a worker has been silent for a while; what follows is decided by the exchange.

Silence ends nothing.  The timer fires repeatedly while the call is open, so that a hedge that was refused
once may be allowed later.
"""

import asyncio
from collections.abc import Callable


class SilenceTimer:
    """Calls `on_silent` each time that the call has been silent for another `age_s` seconds."""

    def __init__(self, age_s: float, on_silent: Callable[[], None]):
        self._loop = asyncio.get_running_loop()
        self._age_s, self._on_silent = age_s, on_silent
        self._silent_since = self._loop.time()
        self._paused = False
        self._timer = self._loop.call_later(age_s, self._check)

    def restart(self, age_s: float) -> None:
        """Bytes have come from the worker: from now on it counts as silent after `age_s`."""
        self._silent_since = self._loop.time()
        if age_s != self._age_s:
            self._age_s = age_s
            self._timer.cancel()
            self._timer = self._loop.call_later(age_s, self._check)

    def pause(self) -> None:
        """Count no silence while the client is being written to and the worker is not read from."""
        self._paused = True

    def resume(self) -> None:
        """The worker is read from again."""
        self._paused = False
        self._silent_since = self._loop.time()

    def stop(self) -> None:
        """The call has ended."""
        self._timer.cancel()

    def _check(self) -> None:
        left = self._silent_since + self._age_s - self._loop.time()
        if self._paused:
            left = self._age_s
        elif left <= 0:
            self._silent_since = self._loop.time()
            self._on_silent()
            left = self._age_s
        self._timer = self._loop.call_later(left, self._check)
