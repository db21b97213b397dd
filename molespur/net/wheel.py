"""The clock and the timer wheel of a scheduler."""

import time
from collections.abc import Callable
from contextlib import contextmanager

import trio

from .. import logs

log = logs.get(__name__)
SLOTS = 1024  # with ticks of 4 ms one revolution takes 4 s, so most timers are visited once or twice


class Clock:
    """Monotonic milliseconds, aligned with Unix time once at start.

    Workers report their start as Unix time.  The decision module compares these times with each other and
    with 0, which means long ago.  Because of the alignment, a start before the scheduler's own is still later
    than 0, and the same start always converts to the same time, even if the system clock is stepped.
    """

    def __init__(self):
        self._offset = time.time() * 1000 - trio.current_time() * 1000

    def now(self) -> float:
        return trio.current_time() * 1000 + self._offset

    def from_unix(self, unix_ms: float) -> float:
        """Convert a Unix time to this clock's time.  0, which means long ago, stays 0."""
        return float(unix_ms)


class Timer:
    """One pending call, which can be cancelled."""

    __slots__ = ("args", "call", "tick")

    def __init__(self, tick: int, call: Callable, args: tuple):
        self.tick, self.call, self.args = tick, call, args

    def cancel(self) -> None:
        self.call, self.args = None, ()  # releases the references at once, not at the timer's tick


class Wheel:
    """A hashed timing wheel.  A timer fires at the first tick at or after its time, in order of creation."""

    def __init__(self, tick_ms: float):
        self.tick_ms = tick_ms
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._done = self._tick_now()
        self._sleeping = None
        self.late_ms = 0.0  # the longest delay with which the loop has handled a tick

    def _tick_now(self) -> int:
        # Rounding may put a wake-up just before its tick, and the wheel would then spin until the tick.
        return int(trio.current_time() * 1000 / self.tick_ms + 1e-6)

    def after(self, delay_ms: float, call: Callable, *args) -> Timer:
        """Schedule a call at the first tick after delay_ms."""
        due = trio.current_time() * 1000 + max(delay_ms, 0.0)
        tick = max(int(-(-due // self.tick_ms)), self._done + 1)
        timer = Timer(tick, call, args)
        self._slots[tick % SLOTS].append(timer)
        if self._sleeping is not None:
            self._sleeping.deadline = min(self._sleeping.deadline, tick * self.tick_ms / 1000)
        return timer

    @contextmanager
    def limit(self, delay_ms: float):
        """Cancel the block after delay_ms.  The scope's `cancelled_caught` shows whether that happened."""
        with trio.CancelScope() as scope:
            timer = self.after(delay_ms, scope.cancel)
            try:
                yield scope
            finally:
                timer.cancel()

    def _next_tick(self) -> int | None:
        """The tick of the first slot in use within one revolution, or None."""
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
            # An error in one timer's call must not stop the other timers.
            log.exception("wheel.failed")

    async def run(self) -> None:
        """Fire timers until cancelled."""
        while True:
            tick = self._next_tick()
            with trio.CancelScope() as self._sleeping:
                if tick is not None:
                    self._sleeping.deadline = tick * self.tick_ms / 1000
                await trio.sleep_forever()
            if tick is not None:
                self.late_ms = max(self.late_ms, trio.current_time() * 1000 - tick * self.tick_ms)
            self._advance(self._tick_now())
