"""Applies the serving state that the process's state machine computes.  Has no rules of its own."""

import trio

from .. import logs
from ..lifecycle import ProcessEvent, ProcessLifecycle, ServingState

log = logs.get(__name__)


class Service:
    """Passes events to the process's state machine and applies its state to connections and streams."""

    def __init__(self, downstream, host, clock, wheel):
        self.process = ProcessLifecycle()
        self.downstream, self.host, self.clock, self.wheel = downstream, host, clock, wheel
        self.stopped_accepting = trio.Event()  # the listener is to be closed
        self._timer = None
        self._applied = self.serving_state()
        self.apply_settings(host.settings)

    def serving_state(self) -> ServingState:
        return self.process.serving_state(self.clock.now())

    def apply_settings(self, settings) -> None:
        """Apply new settings.  A stop takes as long as the longest deadline of a job class."""
        self.process.max_deadline_ms = max(c.deadline_ms for c in settings.classes)
        self._apply_state()

    def handle(self, event: ProcessEvent) -> str | None:
        """Handle an event; return the reason if it is refused, else None."""
        refusal = self.process.handle(self.clock.now(), event)
        self._apply_state()
        return refusal

    def _apply_state(self) -> None:
        now, before = self.clock.now(), self._applied
        state = self._applied = self.process.serving_state(now)
        if state.phase is not before.phase:
            log.info("service.phase", now=state.phase.value, before=before.phase.value)
        self.downstream.up = state.up
        self.downstream.closing, self.downstream.ended = state.closing, state.ended
        if state.closing and not before.closing:
            self.downstream.close_idle()
        if state.keeps_upstream is not before.keeps_upstream:
            self.host.upstream.keep(state.keeps_upstream)
        if before.accepting and not state.accepting:
            self.downstream.stop_accepting()
            self.stopped_accepting.set()
        if state.ended and not before.ended:
            self.host.close_all_streams()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if state.changes_at != float("inf"):
            self._timer = self.wheel.after(state.changes_at - now, self._apply_state)

    async def wait_closed(self, listener) -> None:
        """Return once the listener is closed and all accepted requests have a response."""
        await self.stopped_accepting.wait()
        await self.downstream.accept_queued(listener)
        # From now on connections are refused; otherwise they would stay in the queue and never be accepted.
        await listener.aclose()
        await self.downstream.wait_until_closed()
