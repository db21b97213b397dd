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

    @property
    def size(self) -> int:
        """Bytes that a snapshot takes, roughly."""
        return 300 * len(self.workers) + 24 * len(self.removed)

    def apply(self, data: bytes) -> tuple[None, bytes | None]:
        """Put or remove workers."""
        changed = []
        for worker in pb.WorkerCommand.FromString(data).workers:
            changed.extend(self._put(worker))
        return None, pb.WorkerSet(workers=changed).SerializeToString() if changed else None

    def _put(self, worker: pb.Worker) -> list[pb.Worker]:
        if worker.state == pb.GONE:
            gone = self.workers.pop(worker.id, None)
            if worker.deregistered:  # heartbeats that arrive later are late ones
                self.removed[worker.id] = None
                for identity in list(self.removed)[: len(self.removed) - REMOVED_KEPT]:
                    del self.removed[identity]
            return [_gone(gone)] if gone is not None else []
        if worker.id in self.removed:
            return []
        changed = []
        for other in list(self.workers.values()):
            if other.address == worker.address and other.id != worker.id:
                del self.workers[other.id]  # the address has passed to another incarnation
                changed.append(_gone(other))
        self.workers[worker.id] = worker
        return [*changed, worker]

    def snapshot(self) -> bytes:
        """All state, for another replica."""
        return pb.WorkerSet(workers=self.workers.values(), removed=list(self.removed)).SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        state = pb.WorkerSet.FromString(data)
        self.workers = {worker.id: worker for worker in state.workers}
        self.removed = dict.fromkeys(state.removed)

    def feed_snapshot(self) -> bytes:
        """All workers, for the data plane."""
        return pb.WorkerSet(workers=self.workers.values()).SerializeToString()


def _gone(worker: pb.Worker) -> pb.Worker:
    copy = pb.Worker()
    copy.CopyFrom(worker)
    copy.state = pb.GONE
    return copy
