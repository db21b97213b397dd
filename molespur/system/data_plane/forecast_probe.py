"""Lets single requests through although their forecast is hopeless, so that forecasts can be corrected.

Forecasts are learned from requests that were served.  While all requests of a service are refused, nothing
corrects a forecast that has become too long.  Pure; times are ms.
"""

from collections.abc import Callable, Iterable

from ...policy.tracking import WorkerTrack

PROBE_INTERVAL_MS = 100.0


class ForecastProbe:
    """Selects the probes of one scheduler for one service.  `workers` lists its workers as they are now."""

    def __init__(self, workers: Callable[[], Iterable[WorkerTrack]]):
        self._workers = workers
        self._last_at = float("-inf")
        self.started = 0

    def may_start(self, now: float) -> bool:
        """Whether a request may be sent in spite of its forecast; if so, it counts as the probe.

        One is enough at a time: while any call of this scheduler to the service is open, its result is
        awaited.
        """
        if now - self._last_at < PROBE_INTERVAL_MS:
            return False
        if any(worker.unfinished for worker in self._workers()):
            return False
        self._last_at = now
        self.started += 1
        return True
