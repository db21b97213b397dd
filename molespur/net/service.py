"""Applies the serving state that the process's state machine computes.  Has no rules of its own."""

import trio

from .. import logs
from ..lifecycle import Process, Stance, Told

log = logs.get(__name__)


class Service:
    """Passes events to the process's state machine and applies its state to connections and streams."""

    def __init__(self, downstream, host, clock, wheel):
        self.process = Process()
        self.downstream, self.host, self.clock, self.wheel = downstream, host, clock, wheel
        self.stopped_accepting = trio.Event()  # the listener is to be closed
        self._timer = None
        self._applied = self.stance()
        self.apply_settings(host.settings)

    def stance(self) -> Stance:
        return self.process.stance(self.clock.now())

    def apply_settings(self, settings) -> None:
        """Apply new settings.  A stop takes as long as the longest deadline of a job class."""
        self.process.longest_ms = max(c.deadline_ms for c in settings.classes)
        self._apply_stance()

    def tell(self, told: Told) -> str | None:
        """Handle an event; return the reason if it is refused, else None."""
        refusal = self.process.tell(self.clock.now(), told)
        self._apply_stance()
        return refusal

    def _apply_stance(self) -> None:
        now, before = self.clock.now(), self._applied
        stance = self._applied = self.process.stance(now)
        if stance.phase is not before.phase:
            log.info("service.phase", now=stance.phase.value, before=before.phase.value)
        self.downstream.up = stance.up
        self.downstream.closing, self.downstream.ended = stance.closing, stance.ended
        if stance.closing and not before.closing:
            self.downstream.close_idle()
        if stance.keeping is not before.keeping:
            self.host.upstream.keep(stance.keeping)
        if before.accepting and not stance.accepting:
            self.downstream.stop_accepting()
            self.stopped_accepting.set()
        if stance.ended and not before.ended:
            self.host.close_all_streams()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if stance.until != float("inf"):
            self._timer = self.wheel.after(stance.until - now, self._apply_stance)

    async def wait_closed(self, listener) -> None:
        """Return once the listener is closed and all accepted requests have a response."""
        await self.stopped_accepting.wait()
        await self.downstream.accept_queued(listener)
        # From now on connections are refused; otherwise they would stay in the queue and never be accepted.
        await listener.aclose()
        await self.downstream.wait_until_closed()
