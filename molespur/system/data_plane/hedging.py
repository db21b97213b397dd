"""Limits one scheduler's hedges for one service: second attempts beside silent ones.  Pure; times are ms.

- A hedge beside a call whose worker responds to other calls may only save time.  Such hedges get a small
  share of the traffic, so that they can't grow with the load that they cause (Dean and Barroso, "The Tail at
  Scale", 2013).
- A hedge beside a worker that is unresponsive replaces an attempt that is probably lost.  Only the retry
  budget limits these.
- While most busy workers are unresponsive, all of them are overloaded.  Second attempts would add to the
  load, and none is started.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from ...policy.tracking import WorkerTrack
from .exchange_messages import HedgeRefusal

HEDGES_PER_REQUEST = 0.02  # beside workers that respond to other calls
MAX_SAVED_HEDGES = 2.0  # that may start at once after a time without any
UNRESPONSIVE_MS = 500.0  # a worker with open calls that has sent nothing for this long is unresponsive
MIN_BUSY_WORKERS = 3  # with fewer busy workers, unresponsive ones indicate no overload
MAX_UNRESPONSIVE_SHARE = 0.5  # of the busy workers


class HedgeGate:
    """Allows or refuses hedges.  `workers` lists the service's workers as they are now."""

    def __init__(self, workers: Callable[[], Iterable[WorkerTrack]]):
        self._workers = workers
        self._saved_hedges = 1.0
        self.outcomes: Counter[str] = Counter()

    def count_request(self) -> None:
        """A client's request for the service has been received."""
        self._saved_hedges = min(self._saved_hedges + HEDGES_PER_REQUEST, MAX_SAVED_HEDGES)

    def refusal(self, now: float, silent: WorkerTrack) -> HedgeRefusal | None:
        """Why no hedge may start beside a call to this worker now; None if one may."""
        if self._most_workers_silent(now):
            return HedgeRefusal.MOST_WORKERS_SILENT
        if not silent.is_unresponsive(now, UNRESPONSIVE_MS) and self._saved_hedges < 1.0:
            return HedgeRefusal.SHARE_USED
        return None

    def count_started(self, now: float, silent: WorkerTrack) -> None:
        """A hedge has started beside a call to this worker."""
        self.outcomes["begun"] += 1
        if not silent.is_unresponsive(now, UNRESPONSIVE_MS):
            self._saved_hedges -= 1.0

    def count_won(self) -> None:
        """A hedge had the next event or the response before the silent attempt."""
        self.outcomes["won"] += 1

    def count_refused(self, reason: HedgeRefusal) -> None:
        """A hedge was refused."""
        self.outcomes[reason.value] += 1

    def _most_workers_silent(self, now: float) -> bool:
        busy = [worker for worker in self._workers() if worker.unfinished]
        unresponsive = sum(worker.is_unresponsive(now, UNRESPONSIVE_MS) for worker in busy)
        return len(busy) >= MIN_BUSY_WORKERS and unresponsive > MAX_UNRESPONSIVE_SHARE * len(busy)
