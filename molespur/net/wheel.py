"""The one clock and the one timer wheel of a scheduler."""

import time
from collections.abc import Callable
from contextlib import contextmanager

import trio

from .. import logs

log = logs.get(__name__)
SLOTS = 1024  # with ticks of 4 ms one turn takes 4 s, so that most timers are looked at once or twice


class Clock:
    """Monotonic milliseconds, set to Unix time once at start.

    Workers' starts come as Unix time and the decision module compares them with each other and with
    0 for long ago.  Anchored this way, a start before our own still compares as later than 0, and the
    same start converts to the same figure each time however the system's clock is stepped.
    """

    def __init__(self):
        self._offset = time.time() * 1000 - trio.current_time() * 1000

    def now(self) -> float:
        return trio.current_time() * 1000 + self._offset

    def from_unix(self, unix_ms: float) -> float:
        """The clock's reading at a Unix time; 0 stays 0, which means long ago."""
        return float(unix_ms)


class Timer:
    """One pending call, which can be called off."""

    __slots__ = ("args", "call", "tick")

    def __init__(self, tick: int, call: Callable, args: tuple):
        self.tick, self.call, self.args = tick, call, args

    def cancel(self) -> None:
        self.call, self.args = None, ()  # what it held is free at once, not at its tick


class Wheel:
    """A hashed timing wheel: calls come at the first tick at or after their time, in order of request."""

    def __init__(self, tick_ms: float):
        self.tick_ms = tick_ms
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._done = self._tick_now()
        self._sleeping = None
        self.late_ms = 0.0  # by how much the loop came to a tick too late at most

    def _tick_now(self) -> int:
        # guards against a wake-up at a tick that rounding puts just before it: the wheel would spin on it
        return int(trio.current_time() * 1000 / self.tick_ms + 1e-6)

    def after(self, delay_ms: float, call: Callable, *args) -> Timer:
        """Call once delay_ms have passed, at the next tick."""
        due = trio.current_time() * 1000 + max(delay_ms, 0.0)
        tick = max(int(-(-due // self.tick_ms)), self._done + 1)
        timer = Timer(tick, call, args)
        self._slots[tick % SLOTS].append(timer)
        if self._sleeping is not None:
            self._sleeping.deadline = min(self._sleeping.deadline, tick * self.tick_ms / 1000)
        return timer

    @contextmanager
    def limit(self, delay_ms: float):
        """Cancel what runs inside after delay_ms; the scope tells whether that was so."""
        with trio.CancelScope() as scope:
            timer = self.after(delay_ms, scope.cancel)
            try:
                yield scope
            finally:
                timer.cancel()

    def _next_tick(self) -> int | None:
        """The next tick worth waking for: the first slot in use within a turn."""
        for tick in range(self._done + 1, self._done + 1 + SLOTS):
            if self._slots[tick % SLOTS]:
                return tick
        return None

    def _advance(self, to: int) -> None:
        for tick in range(max(self._done + 1, to - SLOTS + 1), to + 1):
            self._done = tick
            slot = self._slots[tick % SLOTS]
            if slot:
                self._slots[tick % SLOTS] = [t for t in slot if t.tick > tick and t.call]
                for timer in slot:
                    if timer.tick <= tick and timer.call:
                        self._call(timer)
        self._done = max(self._done, to)

    @staticmethod
    def _call(timer: Timer) -> None:
        try:
            timer.call(*timer.args)
        except Exception:
            # guards against one timer's surprise stopping all the others
            log.exception("wheel.failed")

    async def run(self) -> None:
        """Turn the wheel for good."""
        while True:
            tick = self._next_tick()
            with trio.CancelScope() as self._sleeping:
                if tick is not None:
                    self._sleeping.deadline = tick * self.tick_ms / 1000
                await trio.sleep_forever()
            if tick is not None:
                self.late_ms = max(self.late_ms, trio.current_time() * 1000 - tick * self.tick_ms)
            self._advance(self._tick_now())
