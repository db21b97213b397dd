"""How many of a service's model workers read prompts, and which one changes its part next.  Pure.

The split follows the demand that the schedulers report.  It does not swing: a change must be called for over
some time, and one direction is kept for a while.  A shortage of workers that decode is no swing: workers have
left, or all answers are late, so it is made up for at once, whatever direction the last change had.
"""

from collections import Counter
from dataclasses import dataclass
from math import ceil

from ..rpc import molespur_pb2 as pb

PREFILL, DECODE = "prefill", "decode"
READ_TOKENS_PER_S = 28_000.0  # what one prefill worker is given at most: half of what it can read
RUNNING_SHARE = 0.5  # part of a decode worker's slots that are given out
LEAST_TOKENS_PER_S = 2_000.0  # with less to read nothing is changed
LEAST_RUNNERS = 1 / 6  # part of the workers that decodes at least: a few of them may leave at once
SHORT_SHARE = 0.8  # part of the decode workers' slots that, once taken, calls for more of them at once
COLD_READERS = 0.6  # part that should read prompts when traffic begins: no prefix is cached anywhere yet
HYSTERESIS = 0.6  # workers by which the split must be off
SETTLE_MS = 600.0  # a change must be called for this long
FIRST_SETTLE_MS = 250.0  # the same for the first one, when traffic has just begun
REVERSE_MS = 8_000.0  # least time between changes in opposite directions
REST_MS = 6_000.0  # least time between two orders to one worker


@dataclass(frozen=True, slots=True)
class PhaseOrder:
    """A worker that should change its part."""

    worker: pb.Worker
    phase: str


class PhasePlanner:
    """Decides for one service, at the owner of its shard."""

    def __init__(self):
        self.wanted_since: float | None = None
        self.direction = 0
        self.last_order_at = float("-inf")
        self.ordered_at: dict[str, float] = {}
        self.loaded = False  # some traffic has been seen
        self.lacking = 0.0  # readers that are wanted beyond those there are, when last looked at

    def target(self, workers: list[pb.Worker], load: pb.ServiceLoad) -> float:
        """How many workers should read prompts, before rounding."""
        if self.loaded:
            readers = load.read_tokens_per_s / READ_TOKENS_PER_S
            runners = max(load.running / (RUNNING_SHARE * _slots(workers)), 0.1)
            share = readers / (readers + runners)
        else:
            share = COLD_READERS
        return max(min(share * len(workers), len(workers) - least_runners(workers)), 1.0)

    def plan(self, now: float, workers: list[pb.Worker], load: pb.ServiceLoad) -> PhaseOrder | None:
        """The next order, if one is called for."""
        alive = [worker for worker in workers if worker.state in (pb.READY, pb.SWITCHING) and worker.phase]
        busy = load.read_tokens_per_s >= LEAST_TOKENS_PER_S
        if busy and not self.loaded:
            self.loaded, self.direction = True, 0
        if len(alive) < 2 or not (busy or not self.loaded):
            self.wanted_since = None
            return None
        readers = sum(worker.phase == PREFILL for worker in alive)
        self.lacking = self.target(alive, load) - readers
        direction = (self.lacking > HYSTERESIS) - (self.lacking < -HYSTERESIS)
        if direction == 0:
            self.wanted_since = None
            return None
        short = direction < 0 and self._short(alive, load)
        if self.wanted_since is None or direction != self.direction:
            turns = self.direction and direction != self.direction
            if turns and not short and now - self.last_order_at < REVERSE_MS:
                return None
            self.wanted_since, self.direction = now, direction
        settle = SETTLE_MS if self.ordered_at and not short else FIRST_SETTLE_MS
        if now - self.wanted_since < settle:
            return None
        return self._order(now, alive, PREFILL if direction > 0 else DECODE)

    @staticmethod
    def _short(workers: list[pb.Worker], load: pb.ServiceLoad) -> bool:
        """Whether too few workers decode: fewer than the least, or nearly all their places are taken."""
        runners = sum(worker.phase == DECODE for worker in workers)
        return runners < least_runners(workers) or load.running > SHORT_SHARE * runners * _slots(workers)

    def _order(self, now: float, alive: list[pb.Worker], phase: str) -> PhaseOrder | None:
        free = [
            worker
            for worker in alive
            if worker.phase != phase
            and worker.state == pb.READY
            and now - self.ordered_at.get(worker.id, float("-inf")) > REST_MS
        ]
        if not free:
            return None
        same = Counter(worker.zone for worker in alive if worker.phase != phase)
        worker = max(free, key=lambda w: (same[w.zone], w.id))
        self.ordered_at[worker.id] = self.last_order_at = now
        return PhaseOrder(worker, phase)


def least_runners(workers: list[pb.Worker]) -> int:
    """How many of these workers decode at least: one a zone, and enough to bear the loss of a few."""
    zones = len({worker.zone for worker in workers})
    return min(max(zones, 2, ceil(LEAST_RUNNERS * len(workers))), len(workers) // 2)


def _slots(workers: list[pb.Worker]) -> float:
    """Requests that one of these workers runs at once, on the mean."""
    return max(sum(worker.capacity for worker in workers) / len(workers), 1.0)
