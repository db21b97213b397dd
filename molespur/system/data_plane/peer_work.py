"""What schedulers tell each other of their unfinished work and of prompts lately sent.  Pure.

Each scheduler sees only its share of the traffic; with the others' word it knows how long a worker's queue
is, long before the worker's own report would tell.  Datagrams may be lost: each holds the whole of what it
tells of a worker, and now and then one names all workers.
"""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

from ...policy.tracking import RANKS, WorkerTrack
from ..rpc import molespur_pb2 as pb

WHOLE_MS = 400.0  # between datagrams that name all workers
SILENT_MS = 1300.0  # a peer without a word for this long has no work that counts
MAX_WORKERS = 40  # in a datagram
MAX_PLACED = 30
MAX_PART_LENGTH = 64
MAX_TOKENS = 10_000_000


def worker_hash(worker_id: str) -> int:
    """A short name of a worker for datagrams."""
    return crc32(worker_id.encode())


@dataclass(slots=True)
class Work:
    """What one peer has unfinished at one worker."""

    running: int = 0
    reads: tuple[int, ...] = (0,) * RANKS


@dataclass
class Peer:
    """One other scheduler."""

    sequence: int = 0
    heard_at: float = float("-inf")
    work: dict[int, Work] = field(default_factory=dict)


class PeerWorkTable:
    """Own work to be told, and others' work as they have told it; kept in the workers' tracks."""

    def __init__(self, node: str, workers: dict[int, WorkerTrack]):
        """`workers`: all that are known, by `worker_hash`; kept by the caller."""
        self.node, self.workers = node, workers
        self.peers: dict[str, Peer] = {}
        self.dropped: Counter = Counter()  # reason -> datagrams that were not taken
        self._sequence = 0
        self._whole_at = float("-inf")
        self._told: dict[int, Work] = {}  # own work that the peers know of
        self._touched: set[int] = set()
        self._placed: deque[pb.PlacedPart] = deque(maxlen=4 * MAX_PLACED)

    # -- Own work ------------------------------------------------------------------------------

    def mark_changed(self, track: WorkerTrack) -> None:
        """Own work at a worker has changed."""
        self._touched.add(worker_hash(track.id))

    def record_placed(self, track: WorkerTrack, parts: Iterable[tuple[str, float]]) -> None:
        """Shared parts of a prompt have been sent to a worker."""
        worker = worker_hash(track.id)
        self._placed.extend(pb.PlacedPart(worker=worker, part=p, tokens=int(t)) for p, t in parts)

    def datagrams(self, now: float) -> list[bytes]:
        """What is to be sent to every peer now: what has changed, and now and then everything."""
        whole = now - self._whole_at >= WHOLE_MS
        looked_at = self._touched | set(self._told) if whole else self._touched
        self._touched = set()
        changed = []
        for worker in looked_at:
            work, before = self._own(worker), self._told.pop(worker, Work())
            if work != before or (whole and work != Work()):
                changed.append(pb.WorkerWork(worker=worker, running=work.running, reads=work.reads))
            if work != Work():
                self._told[worker] = work
        if not changed and not self._placed and not whole:
            return []
        if whole:
            self._whole_at = now
        return self._cut(changed, whole)

    def _own(self, worker: int) -> Work:
        track = self.workers.get(worker)
        if track is None:
            return Work()
        return Work(track.unfinished, tuple(int(tokens) for tokens in track.prefill_tokens))

    def _cut(self, changed: list[pb.WorkerWork], whole: bool) -> list[bytes]:
        """Messages small enough for a datagram each; one that is whole stands alone."""
        made = []
        whole = whole and len(changed) <= MAX_WORKERS
        while changed or self._placed or not made:
            self._sequence += 1
            message = pb.PeerWork(node=self.node, sequence=self._sequence, whole=whole and not made)
            message.workers.extend(changed[:MAX_WORKERS])
            del changed[:MAX_WORKERS]
            while self._placed and len(message.placed) < MAX_PLACED:
                message.placed.append(self._placed.popleft())
            made.append(message.SerializeToString())
        return made

    # -- Others' work --------------------------------------------------------------------------

    def receive(self, now: float, data: bytes) -> None:
        """A datagram of another scheduler has come."""
        try:
            message = pb.PeerWork.FromString(data)
        except Exception:  # protobuf's DecodeError has no stable home among its implementations
            self.dropped["unreadable"] += 1
            return
        if not self._good(message):
            self.dropped["nonsense"] += 1
            return
        peer = self.peers.setdefault(message.node, Peer())
        if message.sequence <= peer.sequence and now - peer.heard_at < SILENT_MS:
            self.dropped["late"] += 1
            return
        peer.sequence, peer.heard_at = message.sequence, now
        told = {work.worker: Work(work.running, tuple(work.reads)) for work in message.workers}
        if message.whole:
            for worker in [w for w in peer.work if w not in told]:
                self._put(peer, worker, Work())
        for worker, work in told.items():
            self._put(peer, worker, work)
        for placed in message.placed:
            track = self.workers.get(placed.worker)
            if track is not None:
                track.remember(((placed.part, float(placed.tokens)),))

    def _good(self, message: pb.PeerWork) -> bool:
        return (
            bool(message.node)
            and message.node != self.node
            and len(message.workers) <= MAX_WORKERS
            and len(message.placed) <= MAX_PLACED
            and all(len(w.reads) == RANKS and max(w.reads) <= MAX_TOKENS for w in message.workers)
            and all(0 < len(p.part) <= MAX_PART_LENGTH and p.tokens <= MAX_TOKENS for p in message.placed)
        )

    def _put(self, peer: Peer, worker: int, work: Work) -> None:
        """The one place where a peer's work at a worker changes."""
        track, before = self.workers.get(worker), peer.work.pop(worker, Work())
        if track is not None:
            track.peer_running = max(track.peer_running + work.running - before.running, 0.0)
            for rank in range(RANKS):
                changed = track.peer_prefill_tokens[rank] + work.reads[rank] - before.reads[rank]
                track.peer_prefill_tokens[rank] = max(changed, 0.0)
        if work != Work():
            peer.work[worker] = work

    def settle(self, now: float, schedulers: int) -> None:
        """Forget the work of peers that have fallen silent; `schedulers` counts this one too."""
        for node in [n for n, peer in self.peers.items() if now - peer.heard_at > SILENT_MS]:
            peer = self.peers.pop(node)
            for worker in list(peer.work):
                self._put(peer, worker, Work())
        scale = max(schedulers - 1, len(self.peers)) / len(self.peers) if self.peers else 0.0
        for track in self.workers.values():
            track.peer_scale = scale
