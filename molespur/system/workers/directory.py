"""A shard of the workers: who is registered, in which state.  Heartbeats that change nothing stay outside."""

from zope.interface import implementer

from ..rpc import molespur_pb2 as pb
from ..shards.interfaces import IStateMachine

REMOVED_KEPT = 4096  # identities of workers that said goodbye, kept so that a late heartbeat is known


@implementer(IStateMachine)
class WorkerDirectory:
    """The workers of the services of one shard, by identity."""

    def __init__(self):
        self.workers: dict[str, pb.Worker] = {}
        self.removed: dict[str, None] = {}
        self._at_address: dict[str, str] = {}  # address -> identity
        self._feed_snapshot: bytes | None = None  # made with the first question after a change

    @property
    def size(self) -> int:
        """Bytes that a snapshot takes, roughly."""
        return 300 * len(self.workers) + 24 * len(self.removed)

    def apply(self, data: bytes) -> tuple[None, bytes | None]:
        """Put or remove workers."""
        changed = []
        for worker in pb.WorkerCommand.FromString(data).workers:
            changed.extend(self._put(worker))
        if not changed:
            return None, None
        self._feed_snapshot = None
        return None, pb.WorkerSet(workers=changed).SerializeToString()

    def _put(self, worker: pb.Worker) -> list[pb.Worker]:
        if worker.state == pb.GONE:
            gone = self._remove(worker.id)
            if worker.deregistered:  # heartbeats that arrive later are late ones
                self.removed[worker.id] = None
                for identity in list(self.removed)[: len(self.removed) - REMOVED_KEPT]:
                    del self.removed[identity]
            return [_gone(worker.id)] if gone else []
        if worker.id in self.removed or self._overtaken(worker):
            return []
        changed = [_told(worker)]
        earlier = self._at_address.get(worker.address)
        if earlier is not None and earlier != worker.id:
            self._remove(earlier)  # the address has passed to another incarnation
            changed.insert(0, _gone(earlier))
        self._remove(worker.id)
        self.workers[worker.id] = worker
        self._at_address[worker.address] = worker.id
        return changed

    def _overtaken(self, worker: pb.Worker) -> bool:
        """Whether a record was made from an older state than the one that is kept.

        Two owners, or two calls at one, may each propose from what they knew; what a worker said last holds,
        and a worker that leaves stays leaving.
        """
        known = self.workers.get(worker.id)
        if known is None or worker.state == pb.DRAINING:
            return False
        return known.state == pb.DRAINING or known.sequence > worker.sequence > 0

    def _remove(self, worker_id: str) -> bool:
        """Drop a worker; whether it was there."""
        worker = self.workers.pop(worker_id, None)
        if worker is not None and self._at_address.get(worker.address) == worker_id:
            del self._at_address[worker.address]
        return worker is not None

    def snapshot(self) -> bytes:
        """All state, for another replica."""
        return pb.WorkerSet(workers=self.workers.values(), removed=list(self.removed)).SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        state = pb.WorkerSet.FromString(data)
        self.workers = {worker.id: worker for worker in state.workers}
        self.removed = dict.fromkeys(state.removed)
        self._at_address = {worker.address: worker.id for worker in state.workers}
        self._feed_snapshot = None

    def feed_snapshot(self) -> bytes:
        """All workers, for the data plane."""
        if self._feed_snapshot is None:
            told = map(_told, self.workers.values())
            self._feed_snapshot = pb.WorkerSet(workers=told).SerializeToString()
        return self._feed_snapshot


def _told(worker: pb.Worker) -> pb.Worker:
    """What the data plane is told of a worker: all but what only the control plane goes by."""
    copy = pb.Worker()
    copy.CopyFrom(worker)
    copy.ClearField("models")
    copy.ClearField("sequence")
    return copy


def _gone(worker_id: str) -> pb.Worker:
    """What the data plane is told of a worker that is no more."""
    return pb.Worker(id=worker_id, state=pb.GONE)
