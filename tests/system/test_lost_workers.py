"""Losses that leave few workers: the owner of a shard soon has one of them decode.  No I/O, a virtual clock.

The owner's heartbeats (`WorkerLiveness`), records (`WorkerDirectory`) and planner (`PhasePlanner`) run
together, as in `ControlCalls.check_heartbeats` and `PhaseOrders.send_due_orders`.
"""

from itertools import combinations, product

import pytest
from registrations import put, worker

from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.workers.directory import WorkerDirectory
from molespur.system.workers.liveness import (
    MASS_SILENCE_HEARTBEATS,
    MAX_CHECK_GAP_MS,
    MAX_MISSED_HEARTBEATS,
    WorkerLiveness,
)
from molespur.system.workers.phases import DECODE, MIN_ORDER_INTERVAL_MS, PREFILL, SETTLE_MS, PhasePlanner

INTERVAL_MS, CHECK_MS, SWITCH_MS = 1000.0, 250.0, 1750.0
NOTICED_MS = (MAX_MISSED_HEARTBEATS + MASS_SILENCE_HEARTBEATS) * INTERVAL_MS + MAX_CHECK_GAP_MS
REPAIRED_MS = NOTICED_MS + MIN_ORDER_INTERVAL_MS + SETTLE_MS + SWITCH_MS + 3 * CHECK_MS


class Owner:
    """The owner of a shard with the workers of one service, and the workers themselves."""

    def __init__(self, phases):
        self.now, self.sequence = 0.0, 1
        self.directory = WorkerDirectory()
        self.workers = {
            f"i-{n}": worker(f"i-{n}", f"10.9.0.{n}:80", phase=phase, zone="abc"[n % 3])
            for n, phase in enumerate(phases)
        }
        put(self.directory, *self.workers.values())
        self.switching: dict[str, tuple[str, float]] = {}  # id -> phase after the switch, and when it ends
        self.become_owner()

    def become_owner(self):
        """Another process becomes the owner: it has the records, and no memory of heartbeats or orders."""
        self.liveness = WorkerLiveness(self.directory, INTERVAL_MS)
        self.liveness.reset(self.now)
        self.planner = PhasePlanner()

    def lose(self, *ids):
        """Workers crash."""
        for worker_id in ids:
            del self.workers[worker_id]
            self.switching.pop(worker_id, None)

    def order(self, worker_id, phase):
        """A worker accepts an order."""
        record = self.liveness.order_accepted(self.now, self.directory.workers[worker_id], phase)
        put(self.directory, record)
        self.switching[worker_id] = (phase, self.now + SWITCH_MS)

    def decodes(self):
        """Whether a worker that runs may respond, and the records say so."""
        return any(
            each.phase == DECODE
            and worker_id not in self.switching
            and self.directory.workers[worker_id].state == pb.READY
            and self.directory.workers[worker_id].phase == DECODE
            for worker_id, each in self.workers.items()
        )

    def run(self, ms):
        """Let time pass; return for how long at most no worker could respond (ms)."""
        last_served_at, longest_ms, until = self.now, 0.0, self.now + ms
        while self.now < until:
            self.now += CHECK_MS
            self._complete_switches()
            if self.now % INTERVAL_MS == 0:
                self._send_heartbeats()
            put(self.directory, *self.liveness.find_overdue(self.now))
            records = list(self.directory.workers.values())
            order = self.planner.plan(self.now, records, pb.ServiceLoad(service="s"))
            if order is not None and order.worker.id in self.workers:
                self.order(order.worker.id, order.phase)
            if self.decodes():
                last_served_at = self.now
            longest_ms = max(longest_ms, self.now - last_served_at)
        return longest_ms

    def _complete_switches(self):
        for worker_id, (phase, ends_at) in list(self.switching.items()):
            if self.now >= ends_at:
                self.workers[worker_id].phase = phase
                del self.switching[worker_id]
                record = self.liveness.order_completed(worker_id)
                if record is not None:
                    put(self.directory, record)

    def _send_heartbeats(self):
        self.sequence += 1
        for each in self.workers.values():
            each.sequence = self.sequence
            changed = self.liveness.heartbeat(self.now, each)
            if changed is not None:
                put(self.directory, changed)


def losses(count):
    """Each way in which some of `count` workers, but not all, may be lost."""
    ids = [f"i-{n}" for n in range(count)]
    return [lost for size in range(1, count) for lost in combinations(ids, size)]


@pytest.mark.parametrize("owner_changes", [False, True], ids=["same-owner", "new-owner"])
@pytest.mark.parametrize("count", [2, 3, 4, 5])
def test_after_any_loss_at_once_a_worker_that_is_left_soon_decodes(count, owner_changes):
    """Guards against a service that is refused for good: the lost decode workers were never marked silent.

    Most of a shard's workers were lost at once, which the owner put down to its own network.
    """
    for phases, lost in product(product((PREFILL, DECODE), repeat=count), losses(count)):
        owner = Owner(phases)
        owner.run(8000.0)
        owner.lose(*lost)
        if owner_changes:
            owner.become_owner()
        assert owner.run(REPAIRED_MS + 10_000.0) <= REPAIRED_MS, (phases, lost)
        assert owner.decodes(), (phases, lost)


def test_a_worker_that_is_lost_during_its_switch_does_not_count_as_a_decode_worker():
    """Guards against 30 s without a decode worker: only ready workers were marked silent."""
    owner = Owner([PREFILL, PREFILL, PREFILL])
    while not owner.switching:
        owner.run(CHECK_MS)
    owner.lose(*owner.switching)
    assert owner.run(REPAIRED_MS + 10_000.0) <= REPAIRED_MS
    assert owner.decodes()
