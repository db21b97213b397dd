"""Worker heartbeats at the owner of a shard: which change a record, and which workers have missed theirs.

No I/O; times are milliseconds on a monotonic clock.  The owner proposes the records that `heartbeat` and
`find_overdue` return.
"""

from dataclasses import dataclass
from math import inf

from ..errors import ErrorKind, FleetError
from ..rpc import molespur_pb2 as pb
from .directory import WorkerDirectory

MAX_MISSED_HEARTBEATS = 3.2  # heartbeat intervals without a heartbeat after which a worker is silent
# heartbeat intervals for which no worker is marked silent after most were overdue at once, from the time on
# at which this process hears any of them
MASS_SILENCE_HEARTBEATS = 2.5
REMOVE_AFTER_MS = 30_000.0  # a silent worker is removed after this time without a heartbeat
MAX_SWITCH_MS = 8000.0  # for this long after an order a heartbeat with the old phase is ignored
MAX_CHECK_GAP_MS = 1000.0  # a longer gap between two checks means that this process itself was stalled


@dataclass(frozen=True, slots=True)
class PendingOrder:
    """A phase change that a worker has accepted, and until when its heartbeats may report the old phase."""

    phase: str
    until: float


class WorkerLiveness:
    """The heartbeats that the owner of a shard has received from its workers."""

    def __init__(self, directory: WorkerDirectory, interval_ms: float):
        self.directory = directory
        self.silent_after_ms = MAX_MISSED_HEARTBEATS * interval_ms
        self.mass_silence_ms = MASS_SILENCE_HEARTBEATS * interval_ms
        self.held_until: float | None = None  # no worker is marked before this time, after a mass silence
        self.last_heartbeat_at: dict[str, float] = {}
        self.committed_sequences: dict[str, int] = {}  # the newest call whose effect is committed
        self.proposed_sequences: dict[str, int] = {}  # the newest call that was proposed, committed or not
        self.last_check_at = 0.0
        self.pending_orders: dict[str, PendingOrder] = {}

    def reset(self, now: float) -> None:
        """Start as owner, or after a stall: each worker gets the full timeout to send a heartbeat."""
        self.last_heartbeat_at = dict.fromkeys(self.directory.workers, now)
        self.committed_sequences, self.proposed_sequences = {}, {}
        self.pending_orders = {}
        self.held_until = None
        self.last_check_at = now

    def order_accepted(self, now: float, worker: pb.Worker, phase: str) -> pb.Worker:
        """A worker has accepted an order to change its phase; return its record for the transition."""
        self.pending_orders[worker.id] = PendingOrder(phase, now + MAX_SWITCH_MS)
        changed = pb.Worker()
        changed.CopyFrom(worker)
        changed.state, changed.phase = pb.SWITCHING, phase
        return changed

    def order_completed(self, worker_id: str) -> pb.Worker | None:
        """A worker reports its new phase; return its record if it is still marked as switching."""
        known = self.directory.workers.get(worker_id)
        if self.pending_orders.pop(worker_id, None) is None or known is None or known.state != pb.SWITCHING:
            return None
        changed = pb.Worker()
        changed.CopyFrom(known)
        changed.state = pb.READY
        return changed

    def heartbeat(self, now: float, worker: pb.Worker) -> pb.Worker | None:
        """Process a heartbeat; return the record to propose if it changes.

        None: the heartbeat may be acknowledged, because its content, or a later call, is committed.
        Raises FleetError(OUTCOME_UNKNOWN) if a later call is proposed but not known to be committed.
        """
        if worker.id in self.directory.removed:
            return None
        known = self.directory.workers.get(worker.id)
        if worker.state != pb.DRAINING and self._is_late(worker, known):
            return None
        self.last_heartbeat_at[worker.id] = now
        order = self.pending_orders.get(worker.id)
        if order is not None and worker.state == pb.READY:
            if worker.phase != order.phase and now < order.until:
                return None  # the phase change is still in progress
            del self.pending_orders[worker.id]
        if known is not None and _is_same_state(known, worker):
            self.committed(worker)
            return None
        if known is not None and known.state == pb.DRAINING:
            return None  # a draining worker does not return under the same id
        newest = max(worker.sequence, self.proposed_sequences.get(worker.id, 0))
        self.proposed_sequences[worker.id] = newest
        return worker

    def committed(self, worker: pb.Worker) -> None:
        """The content of a heartbeat is committed."""
        newest = max(worker.sequence, self.committed_sequences.get(worker.id, 0))
        self.committed_sequences[worker.id] = newest

    def _is_late(self, worker: pb.Worker, known: pb.Worker | None) -> bool:
        """Whether a later call of the worker is committed.  Raises FleetError(OUTCOME_UNKNOWN)."""
        if not worker.sequence:
            return False
        if worker.sequence <= self.committed_sequences.get(worker.id, 0):
            return True
        if known is not None and known.sequence > worker.sequence:
            return True  # committed by a previous owner
        if worker.sequence < self.proposed_sequences.get(worker.id, 0):
            raise FleetError(ErrorKind.OUTCOME_UNKNOWN, f"{worker.id}: a later call is under way")
        return False

    def suspend(self) -> None:
        """This owner has lost its lease: the next check gives each worker the full timeout again."""
        self.last_check_at = float("-inf")

    def find_overdue(self, now: float) -> list[pb.Worker]:
        """The changed records of workers whose heartbeats are missing."""
        was_interrupted = now - self.last_check_at > MAX_CHECK_GAP_MS
        self.last_check_at = now
        if was_interrupted:
            self.reset(now)
            return []
        overdue, live_count = [], 0
        for worker in self.directory.workers.values():
            silence = now - self.last_heartbeat_at.setdefault(worker.id, now)
            if silence <= self.silent_after_ms:
                live_count += 1
                continue
            changed = pb.Worker()
            changed.CopyFrom(worker)
            if worker.state == pb.DRAINING or silence > REMOVE_AFTER_MS:
                changed.state = pb.GONE
            elif worker.state in (pb.READY, pb.SWITCHING):
                changed.state = pb.SILENT
            else:
                continue
            overdue.append(changed)
        for worker_id in [i for i in self.last_heartbeat_at if i not in self.directory.workers]:
            if now - self.last_heartbeat_at[worker_id] > REMOVE_AFTER_MS:
                del self.last_heartbeat_at[worker_id]
                self.committed_sequences.pop(worker_id, None)
                self.proposed_sequences.pop(worker_id, None)
        return [] if self._is_mass_silence(now, live_count, len(overdue)) else overdue

    def _is_mass_silence(self, now: float, live_count: int, overdue_count: int) -> bool:
        """Whether overdue workers are put down to a network failure of this process, and not marked.

        When most workers are overdue at once, that is the likely cause.  If the others remain silent while
        some are heard, they are lost after all.  While none is heard, nothing is known of any.
        """
        if not overdue_count:
            self.held_until = None
        elif not live_count:
            self.held_until = inf
        elif self.held_until == inf or (self.held_until is None and overdue_count > live_count):
            self.held_until = now + self.mass_silence_ms
        return self.held_until is not None and now < self.held_until


def _is_same_state(known: pb.Worker, worker: pb.Worker) -> bool:
    """Whether a heartbeat differs from the stored record in its sequence number only."""
    copy = pb.Worker()
    copy.CopyFrom(worker)
    copy.sequence = known.sequence
    return copy == known
