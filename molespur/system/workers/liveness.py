"""Heartbeats of workers at the owner of their shard: which are new, late, or missing.

Pure: times are milliseconds on a steady clock.  The owner proposes what `heartbeat` and `overdue` return.
"""

from dataclasses import dataclass

from ..errors import ErrorKind, FleetError
from ..rpc import molespur_pb2 as pb
from .directory import WorkerDirectory

MISSED_HEARTBEATS = 3.2  # intervals of silence after which a worker counts as silent
GONE_AFTER_MS = 30_000.0  # a silent worker is dropped after this time
SWITCH_MOST_MS = 8000.0  # after an order to change its part, a worker's old part is believed again
PAUSE_MS = 1000.0  # a gap between two looks by which this process itself stood still


@dataclass(frozen=True, slots=True)
class Order:
    """A change of part that a worker has taken, and until when it may still show the old one."""

    phase: str
    until: float


class WorkerLiveness:
    """What the owner of a shard remembers of the heartbeats of its workers."""

    def __init__(self, directory: WorkerDirectory, interval_ms: float):
        self.directory = directory
        self.silent_after_ms = MISSED_HEARTBEATS * interval_ms
        self.heard: dict[str, float] = {}
        self.committed_sequences: dict[str, int] = {}  # the newest call whose effect is committed
        self.proposed_sequences: dict[str, int] = {}  # the newest call that was proposed, committed or not
        self.looked_at = 0.0
        self.ordered: dict[str, Order] = {}

    def begin(self, now: float) -> None:
        """Start as owner: every worker gets a whole interval to be heard here."""
        self.heard = dict.fromkeys(self.directory.workers, now)
        self.committed_sequences, self.proposed_sequences = {}, {}
        self.ordered = {}
        self.looked_at = now

    def order_given(self, now: float, worker: pb.Worker, phase: str) -> pb.Worker:
        """A worker has taken the order to change its part; return its record meanwhile."""
        self.ordered[worker.id] = Order(phase, now + SWITCH_MOST_MS)
        changed = pb.Worker()
        changed.CopyFrom(worker)
        changed.state, changed.phase = pb.SWITCHING, phase
        return changed

    def order_done(self, worker_id: str) -> pb.Worker | None:
        """A worker says that it has changed its part; return its record if one waits for that."""
        known = self.directory.workers.get(worker_id)
        if self.ordered.pop(worker_id, None) is None or known is None or known.state != pb.SWITCHING:
            return None
        changed = pb.Worker()
        changed.CopyFrom(known)
        changed.state = pb.READY
        return changed

    def heartbeat(self, now: float, worker: pb.Worker) -> pb.Worker | None:
        """Take a heartbeat; return the worker if its record has to change.

        None means that all it says is committed already, or was overtaken by a later call that is; so it may
        be acknowledged.  Raises FleetError(OUTCOME_UNKNOWN) where a later call is not known to be committed.
        """
        if worker.id in self.directory.removed:
            return None
        known = self.directory.workers.get(worker.id)
        if worker.state != pb.DRAINING and self._is_late(worker, known):
            return None
        self.heard[worker.id] = now
        order = self.ordered.get(worker.id)
        if order is not None and worker.state == pb.READY:
            if worker.phase != order.phase and now < order.until:
                return None  # it is still changing its part
            del self.ordered[worker.id]
        if known is not None and _same(known, worker):
            self.committed(worker)
            return None
        if known is not None and known.state == pb.DRAINING:
            return None  # a worker that leaves does not come back under the same identity
        newest = max(worker.sequence, self.proposed_sequences.get(worker.id, 0))
        self.proposed_sequences[worker.id] = newest
        return worker

    def committed(self, worker: pb.Worker) -> None:
        """What a heartbeat says is committed."""
        newest = max(worker.sequence, self.committed_sequences.get(worker.id, 0))
        self.committed_sequences[worker.id] = newest

    def _is_late(self, worker: pb.Worker, known: pb.Worker | None) -> bool:
        """Whether a later call of the same worker has been taken.  Raises FleetError(OUTCOME_UNKNOWN)."""
        if not worker.sequence:
            return False
        if worker.sequence <= self.committed_sequences.get(worker.id, 0):
            return True
        if known is not None and known.sequence > worker.sequence:
            return True  # from before this owner's time
        if worker.sequence < self.proposed_sequences.get(worker.id, 0):
            raise FleetError(ErrorKind.OUTCOME_UNKNOWN, f"{worker.id}: a later call is under way")
        return False

    def rest(self) -> None:
        """No majority answers this owner: nobody is judged until every worker had time to be heard again."""
        self.looked_at = float("-inf")

    def overdue(self, now: float) -> list[pb.Worker]:
        """Workers whose record has to change because they were not heard of."""
        paused = now - self.looked_at > PAUSE_MS
        self.looked_at = now
        if paused:
            self.begin(now)
            return []
        silent, live = [], 0
        for worker in self.directory.workers.values():
            quiet = now - self.heard.setdefault(worker.id, now)
            if quiet <= self.silent_after_ms:
                live += 1
                continue
            changed = pb.Worker()
            changed.CopyFrom(worker)
            if worker.state == pb.DRAINING or quiet > GONE_AFTER_MS:
                changed.state = pb.GONE
            elif worker.state == pb.READY:
                changed.state = pb.SILENT
            else:
                continue
            silent.append(changed)
        for identity in [i for i in self.heard if i not in self.directory.workers]:
            if now - self.heard[identity] > GONE_AFTER_MS:
                del self.heard[identity]
                self.committed_sequences.pop(identity, None)
                self.proposed_sequences.pop(identity, None)
        # guards against taking a cut of this process's own links for the death of everyone
        return silent if live >= len(silent) else []


def _same(known: pb.Worker, worker: pb.Worker) -> bool:
    """Whether a heartbeat tells nothing new but its sequence."""
    copy = pb.Worker()
    copy.CopyFrom(worker)
    copy.sequence = known.sequence
    return copy == known
