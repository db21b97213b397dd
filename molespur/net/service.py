"""Carries out the stance that the process's state machine gives; holds no rule of its own."""

import trio

from .. import logs
from ..lifecycle import ProcessEvent, ProcessLifecycle, ServingState

log = logs.get(__name__)


class Service:
    """The process as a service: what it is told, and what follows for clients' connections and streams."""

    def __init__(self, downstream, host, clock, wheel):
        self.process = ProcessLifecycle()
        self.downstream, self.host, self.clock, self.wheel = downstream, host, clock, wheel
        self.left = trio.Event()  # the listener is to be closed
        self._timer = None
        self._taken = self.stance()
        self.retune(host.settings)

    def stance(self) -> ServingState:
        return self.process.serving_state(self.clock.now())

    def retune(self, settings) -> None:
        """Other settings hold: a stop takes as long as the longest deadline asks."""
        self.process.max_deadline_ms = max(c.deadline_ms for c in settings.classes)
        self._take_stance()

    def tell(self, told: ProcessEvent) -> str | None:
        """Something has happened; the answer says why it can't be done, if so."""
        why = self.process.handle(self.clock.now(), told)
        self._take_stance()
        return why

    def _take_stance(self) -> None:
        now, before = self.clock.now(), self._taken
        stance = self._taken = self.process.serving_state(now)
        if stance.phase is not before.phase:
            log.info("service.phase", now=stance.phase.value, before=before.phase.value)
        self.downstream.up = stance.up
        self.downstream.closing, self.downstream.ended = stance.closing, stance.ended
        if stance.closing and not before.closing:
            self.downstream.close_idle()
        if stance.keeps_upstream is not before.keeps_upstream:
            self.host.upstream.keep(stance.keeps_upstream)
        if before.accepting and not stance.accepting:
            self.downstream.stop_accepting()
            self.left.set()
        if stance.ended and not before.ended:
            self.host.end_all()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if stance.changes_at != float("inf"):
            self._timer = self.wheel.after(stance.changes_at - now, self._take_stance)

    async def gone(self, listener) -> None:
        """Come back once the listener is left and all that was taken is answered."""
        await self.left.wait()
        await self.downstream.take_rest(listener)
        # guards against connections that nobody will ever take: from now on they are refused
        await listener.aclose()
        await self.downstream.empty()
