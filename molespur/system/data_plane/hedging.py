"""How many second attempts a scheduler may begin beside silent ones, for one service.  Pure; times are ms.

A hedge beside a call whose worker answers others is a bet on a faster one: such bets have a small share of
the traffic, so that they can't grow with the load they make (Dean and Barroso, "The Tail at Scale", 2013).
Beside a worker that has said nothing at all since, it stands in for an attempt that is probably lost: only
the retry budget bounds it.  While most workers that are at work say nothing, all of them are overloaded: a
second attempt would make it worse, and none is begun.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from ...policy.tracking import WorkerTrack
from .exchange_messages import HedgeRefusal

SHARE = 0.02  # hedges to a request, beside workers that answer others
MOST_SAVED = 2.0  # hedges that may be begun at once after a quiet time
REST_MS = 500.0  # a worker with work that has said nothing for so long rests
LEAST_SAMPLE = 3  # workers at work from which on their rests tell of the load
MOST_RESTING = 0.5  # share of them


class HedgeGate:
    """What one scheduler may begin for one service.  `workers` gives its workers as they are now."""

    def __init__(self, workers: Callable[[], Iterable[WorkerTrack]]):
        self._workers = workers
        self._saved_hedges = 1.0
        self.outcomes: Counter[str] = Counter()

    def request(self) -> None:
        """A client's request for the service has come."""
        self._saved_hedges = min(self._saved_hedges + SHARE, MOST_SAVED)

    def refusal(self, now: float, silent: WorkerTrack) -> HedgeRefusal | None:
        """Why none may be begun beside a call to this worker now; None if one may."""
        if self._most_workers_silent(now):
            return HedgeRefusal.MOST_WORKERS_REST
        if not silent.rests(now, REST_MS) and self._saved_hedges < 1.0:
            return HedgeRefusal.SHARE_USED
        return None

    def began(self, now: float, silent: WorkerTrack) -> None:
        """One was begun beside a call to this worker."""
        self.outcomes["begun"] += 1
        if not silent.rests(now, REST_MS):
            self._saved_hedges -= 1.0

    def won(self) -> None:
        """One has brought the next event or the answer before the silent attempt did."""
        self.outcomes["won"] += 1

    def refused(self, reason: HedgeRefusal) -> None:
        """One was not begun."""
        self.outcomes[reason.value] += 1

    def _most_workers_silent(self, now: float) -> bool:
        at_work = [worker for worker in self._workers() if worker.unfinished]
        resting = sum(worker.rests(now, REST_MS) for worker in at_work)
        return len(at_work) >= LEAST_SAMPLE and resting > MOST_RESTING * len(at_work)
