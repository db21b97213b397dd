"""Tells when a call to a worker has been silent for a while.  What that means is decided elsewhere.

Silence ends nothing: the timer fires again and again for as long as the call is open, so that a second
attempt that was refused once may be allowed later.
"""

import asyncio
from collections.abc import Callable


class SilenceTimer:
    """Calls `on_silent` each time that a call was silent for its age (s) once more."""

    def __init__(self, age_s: float, on_silent: Callable[[], None]):
        self._loop = asyncio.get_running_loop()
        self._age_s, self._on_silent = age_s, on_silent
        self._quiet_since = self._loop.time()
        self._held = False
        self._timer = self._loop.call_later(age_s, self._look)

    def heard(self, age_s: float) -> None:
        """The worker has answered, or goes on to: from now on a pause this long (s) is silence."""
        self._quiet_since = self._loop.time()
        if age_s != self._age_s:
            self._age_s = age_s
            self._timer.cancel()
            self._timer = self._loop.call_later(age_s, self._look)

    def hold(self) -> None:
        """The client is written to: that the worker is not read from meanwhile is not its silence."""
        self._held = True

    def release(self) -> None:
        """The worker is read from again."""
        self._held = False
        self._quiet_since = self._loop.time()

    def stop(self) -> None:
        """The call is over."""
        self._timer.cancel()

    def _look(self) -> None:
        left = self._quiet_since + self._age_s - self._loop.time()
        if self._held:
            left = self._age_s
        elif left <= 0:
            self._quiet_since = self._loop.time()
            self._on_silent()
            left = self._age_s
        self._timer = self._loop.call_later(left, self._look)
