"""State machine of a worker shard: the registered workers and their states.

Heartbeats that change nothing are not replicated.
"""

from zope.interface import implementer

from ..rpc import molespur_pb2 as pb
from ..shards.interfaces import IStateMachine

MAX_WORKERS = 2048  # of one shard
MAX_RECORD_BYTES = 16 << 10  # of one worker
MAX_RECORDS_BYTES = 4 << 20  # of all workers of one shard
MAX_REMOVED_IDS = 4096  # ids of deregistered workers, kept so that late heartbeats are recognized


@implementer(IStateMachine)
class WorkerDirectory:
    """The workers of the services of one shard, by id."""

    def __init__(self):
        self.workers: dict[str, pb.Worker] = {}
        self.removed: dict[str, None] = {}
        self.records_bytes = 0  # of all workers
        self._at_address: dict[str, str] = {}  # address -> worker id
        self._feed_snapshot: bytes | None = None  # cached until the next change

    @property
    def size(self) -> int:
        """Approximate size of a snapshot (bytes)."""
        return 300 * len(self.workers) + 24 * len(self.removed)

    def has_room_for(self, worker: pb.Worker) -> bool:
        """Whether the record of a worker may be added, or take the place of an older one."""
        known = self.workers.get(worker.id)
        others_bytes = self.records_bytes - (known.ByteSize() if known is not None else 0)
        if others_bytes + worker.ByteSize() > MAX_RECORDS_BYTES:
            return False
        return known is not None or len(self.workers) < MAX_WORKERS

    def apply(self, data: bytes) -> tuple[None, bytes | None]:
        """Put or remove workers; return the resulting update for the feed, if any."""
        changed = []
        for worker in pb.WorkerCommand.FromString(data).workers:
            changed.extend(self._put(worker))
        if not changed:
            return None, None
        self._feed_snapshot = None
        return None, pb.WorkerSet(workers=changed).SerializeToString()

    def _put(self, worker: pb.Worker) -> list[pb.Worker]:
        if worker.state == pb.GONE:
            was_known = self._remove(worker.id)
            if worker.deregistered:  # heartbeats that arrive after this are late ones
                self.removed[worker.id] = None
                for removed_id in list(self.removed)[: len(self.removed) - MAX_REMOVED_IDS]:
                    del self.removed[removed_id]
            return [_gone_record(worker.id)] if was_known else []
        if worker.id in self.removed or self._is_stale(worker):
            return []
        changed = [_feed_record(worker)]
        previous = self._at_address.get(worker.address)
        if previous is not None and previous != worker.id:
            self._remove(previous)  # the address now belongs to another worker instance
            changed.insert(0, _gone_record(previous))
        self._remove(worker.id)
        self.workers[worker.id] = worker
        self.records_bytes += worker.ByteSize()
        self._at_address[worker.address] = worker.id
        return changed

    def _is_stale(self, worker: pb.Worker) -> bool:
        """Whether a record was derived from an older state than the stored one.

        Two owners, or two concurrent calls at one owner, may propose from different states.  The highest
        sequence number wins, and a draining worker stays draining.
        """
        known = self.workers.get(worker.id)
        if known is None or worker.state == pb.DRAINING:
            return False
        return known.state == pb.DRAINING or known.sequence > worker.sequence > 0

    def _remove(self, worker_id: str) -> bool:
        """Remove a worker; return whether it was registered."""
        worker = self.workers.pop(worker_id, None)
        if worker is not None:
            self.records_bytes -= worker.ByteSize()
        if worker is not None and self._at_address.get(worker.address) == worker_id:
            del self._at_address[worker.address]
        return worker is not None

    def snapshot(self) -> bytes:
        """The full state, for another replica."""
        return pb.WorkerSet(workers=self.workers.values(), removed=list(self.removed)).SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        state = pb.WorkerSet.FromString(data)
        self.workers = {worker.id: worker for worker in state.workers}
        self.removed = dict.fromkeys(state.removed)
        self.records_bytes = sum(worker.ByteSize() for worker in state.workers)
        self._at_address = {worker.address: worker.id for worker in state.workers}
        self._feed_snapshot = None

    def feed_snapshot(self) -> bytes:
        """All workers, as the data plane sees them."""
        if self._feed_snapshot is None:
            records = map(_feed_record, self.workers.values())
            self._feed_snapshot = pb.WorkerSet(workers=records).SerializeToString()
        return self._feed_snapshot


def _feed_record(worker: pb.Worker) -> pb.Worker:
    """The record of a worker for the data plane, without the fields that only the control plane uses."""
    copy = pb.Worker()
    copy.CopyFrom(worker)
    copy.ClearField("models")
    copy.ClearField("sequence")
    return copy


def _gone_record(worker_id: str) -> pb.Worker:
    """The record of a removed worker for the data plane."""
    return pb.Worker(id=worker_id, state=pb.GONE)
