"""Splits the model workers of a service between prefill and decode, and plans phase changes.  No I/O.

The split follows the load that the schedulers report.  Against oscillation, a change must be needed for some
time, and changes in opposite directions are spaced out.  A shortage of decode workers is exempt, because it
means that workers have left or that responses are late: it is corrected at once, whatever the direction of
the last change and however low the load.  Only decode workers respond to clients, so a service without one
refuses every request, which in turn keeps its load at zero: the load is no reason to leave it like that.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from math import ceil

from ..rpc import molespur_pb2 as pb

PREFILL, DECODE = "prefill", "decode"
PREFILL_TOKENS_PER_S = 28_000.0  # max. planned load of a prefill worker: half of what it can process
DECODE_SLOT_UTILIZATION = 0.5  # planned share of a decode worker's slots in use
MIN_TOKENS_PER_S = 2_000.0  # below this prefill load the split is left as it is
MIN_PREFILL_WORKERS = 1.0  # min. target, as far as the min. number of decode workers leaves any
MIN_DECODE_SHARE = 1 / 6  # min. share of the workers that decode, so that the loss of a few is tolerated
SHORTAGE_UTILIZATION = 0.8  # share of the decode slots in use above which decode workers are added at once
COLD_PREFILL_SHARE = (
    0.6  # share of prefill workers before the first traffic: no prefix is cached anywhere yet
)
HYSTERESIS = 0.6  # min. deviation from the target split (workers) before a change
SETTLE_MS = 600.0  # a change must be needed for this long
FIRST_SETTLE_MS = 250.0  # the same in a shortage, and for the first change: traffic has just begun
REVERSE_MS = 8_000.0  # min. time from the last order to a change in the opposite direction
MIN_ORDER_INTERVAL_MS = 6_000.0  # min. time between two orders to one worker


@dataclass(frozen=True, slots=True)
class PhaseOrder:
    """An order to a worker to change its phase."""

    worker: pb.Worker
    phase: str


class OrderHold(Enum):
    """Why a check of the split has planned no order."""

    ON_TARGET = "on-target"
    NO_WORKER = "no-worker"
    NO_TRAFFIC = "no-traffic"
    REVERSAL = "reversal"  # the last change in the opposite direction was too recent
    SETTLING = "settling"  # the change has not been needed for long enough
    NO_CANDIDATE = "no-candidate"  # every worker that could switch is switching or was ordered recently


class PhasePlanner:
    """Plans the orders for one service, at the owner of its shard."""

    def __init__(self):
        self.hold: OrderHold | None = None  # of the last check; None: it planned an order
        self.holds: Counter[OrderHold] = Counter()  # checks without an order
        self.wanted_since: float | None = None
        self.direction = 0
        self.last_order_at = float("-inf")
        self.ordered_at: dict[str, float] = {}
        self.had_traffic = False
        self.prefill_deficit = 0.0  # prefill workers missing from the target at the last check

    def target(self, workers: list[pb.Worker], load: pb.ServiceLoad) -> float:
        """The number of prefill workers wanted, before rounding."""
        if self.had_traffic:
            prefill_need = load.read_tokens_per_s / PREFILL_TOKENS_PER_S
            decode_need = max(load.running / (DECODE_SLOT_UTILIZATION * _mean_slots(workers)), 0.1)
            share = prefill_need / (prefill_need + decode_need)
        else:
            share = COLD_PREFILL_SHARE
        max_prefill = len(workers) - min_decode_workers(workers)
        return max(min(share * len(workers), max_prefill), min(MIN_PREFILL_WORKERS, max_prefill))

    def plan(self, now: float, workers: list[pb.Worker], load: pb.ServiceLoad) -> PhaseOrder | None:
        """The next order, if one is needed."""
        outcome = self._check(now, live_workers(workers), load)
        if isinstance(outcome, PhaseOrder):
            self.hold = None
            return outcome
        self.hold = outcome
        self.holds[outcome] += 1
        return None

    def _check(self, now: float, alive: list[pb.Worker], load: pb.ServiceLoad) -> PhaseOrder | OrderHold:
        has_traffic = load.read_tokens_per_s >= MIN_TOKENS_PER_S
        if has_traffic and not self.had_traffic:
            self.had_traffic, self.direction = True, 0
        if not alive:
            self.wanted_since, self.prefill_deficit = None, 0.0
            return OrderHold.NO_WORKER
        prefill_count = sum(worker.phase == PREFILL for worker in alive)
        self.prefill_deficit = self.target(alive, load) - prefill_count
        direction = (self.prefill_deficit > HYSTERESIS) - (self.prefill_deficit < -HYSTERESIS)
        is_short = direction < 0 and self._is_short_of_decode(alive, load)
        if self.had_traffic and not has_traffic and not is_short:
            self.wanted_since = None
            return OrderHold.NO_TRAFFIC
        if direction == 0:
            self.wanted_since = None
            return OrderHold.ON_TARGET
        if self.wanted_since is None or direction != self.direction:
            is_reversal = self.direction and direction != self.direction
            if is_reversal and not is_short and now - self.last_order_at < REVERSE_MS:
                return OrderHold.REVERSAL
            self.wanted_since, self.direction = now, direction
        has_ordered = self.last_order_at > float("-inf")
        settle = SETTLE_MS if has_ordered and not is_short else FIRST_SETTLE_MS
        if now - self.wanted_since < settle:
            return OrderHold.SETTLING
        return self._order(now, alive, PREFILL if direction > 0 else DECODE) or OrderHold.NO_CANDIDATE

    @staticmethod
    def _is_short_of_decode(workers: list[pb.Worker], load: pb.ServiceLoad) -> bool:
        """Whether fewer workers decode than the minimum, or nearly all their slots are in use."""
        decode_count = sum(worker.phase == DECODE for worker in workers)
        return decode_count < min_decode_workers(
            workers
        ) or load.running > SHORTAGE_UTILIZATION * decode_count * _mean_slots(workers)

    def _order(self, now: float, alive: list[pb.Worker], phase: str) -> PhaseOrder | None:
        candidates = [
            worker
            for worker in alive
            if worker.phase != phase
            and worker.state == pb.READY
            and now - self.ordered_at.get(worker.id, float("-inf")) > MIN_ORDER_INTERVAL_MS
        ]
        if not candidates:
            return None
        zone_counts = Counter(worker.zone for worker in alive if worker.phase != phase)
        worker = max(candidates, key=lambda w: (zone_counts[w.zone], w.id))
        listed = {each.id for each in alive}
        self.ordered_at = {worker_id: at for worker_id, at in self.ordered_at.items() if worker_id in listed}
        self.ordered_at[worker.id] = self.last_order_at = now
        return PhaseOrder(worker, phase)


def live_workers(workers: Iterable[pb.Worker]) -> list[pb.Worker]:
    """The workers that count for the split: they serve a phase or are switching to it."""
    return [worker for worker in workers if worker.state in (pb.READY, pb.SWITCHING) and worker.phase]


def min_decode_workers(workers: list[pb.Worker]) -> int:
    """How many of these workers must decode: one per zone, and enough to tolerate a few losses.

    At most half of them, but always one.
    """
    zones = len({worker.zone for worker in workers})
    wanted = max(zones, 2, ceil(MIN_DECODE_SHARE * len(workers)))
    return max(min(wanted, len(workers) // 2), 1)


def _mean_slots(workers: list[pb.Worker]) -> float:
    """The mean number of requests that one of these workers runs concurrently."""
    return max(sum(worker.capacity for worker in workers) / len(workers), 1.0)
