"""The exchange between schedulers of their unfinished work and recently sent prompts.  Pure; times are ms.

Each scheduler sees only its share of the traffic.  From its peers' messages it knows the length of a
worker's queue long before the worker's own load report would show it.  Datagrams may be lost.  So each one
has absolute values, not changes, for the workers that it names, and periodically a full one names them all.
"""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

from ...policy.tracking import RANKS, WorkerTrack
from ..rpc import molespur_pb2 as pb

FULL_INTERVAL_MS = 400.0  # between datagrams that name all workers
PEER_EXPIRY_MS = 1300.0  # the work of a peer that was silent for this long no longer counts
MAX_WORKERS = 40  # in a datagram
MAX_PLACED = 30  # prefix segments in a datagram
MAX_SEGMENT_ID_LENGTH = 64
MAX_TOKENS = 10_000_000


def worker_hash(worker_id: str) -> int:
    """The key of a worker in datagrams."""
    return crc32(worker_id.encode())


@dataclass(slots=True)
class Work:
    """The unfinished work of one scheduler at one worker."""

    running: int = 0
    prefill_tokens: tuple[int, ...] = (0,) * RANKS  # by rank


@dataclass
class Peer:
    """One other scheduler."""

    sequence: int = 0
    last_received_at: float = float("-inf")
    work: dict[int, Work] = field(default_factory=dict)


class PeerWorkTable:
    """Announces own work to the peers, and adds the peers' work to the workers' tracks."""

    def __init__(self, node: str, workers: dict[int, WorkerTrack]):
        """`workers`: all known workers by their `worker_hash`; maintained by the caller."""
        self.node, self.workers = node, workers
        self.peers: dict[str, Peer] = {}
        self.dropped: Counter = Counter()  # reason -> number of ignored datagrams
        self._sequence = 0
        self._full_sent_at = float("-inf")
        self._announced: dict[int, Work] = {}  # own work that the peers know of
        self._changed: set[int] = set()
        self._placed: deque[pb.PlacedPart] = deque(maxlen=4 * MAX_PLACED)

    # -- Own work ------------------------------------------------------------------------------

    def mark_changed(self, track: WorkerTrack) -> None:
        """Note that own work at a worker has changed."""
        self._changed.add(worker_hash(track.id))

    def record_placed(self, track: WorkerTrack, segments: Iterable[tuple[str, float]]) -> None:
        """Note that shared prefix segments of a prompt have been sent to a worker."""
        worker = worker_hash(track.id)
        self._placed.extend(pb.PlacedPart(worker=worker, part=s, tokens=int(t)) for s, t in segments)

    def datagrams(self, now: float) -> list[bytes]:
        """The datagrams to send to every peer now: what has changed, and periodically everything."""
        full = now - self._full_sent_at >= FULL_INTERVAL_MS
        checked = self._changed | set(self._announced) if full else self._changed
        self._changed = set()
        changed = []
        for worker in checked:
            work, before = self._own_work(worker), self._announced.pop(worker, Work())
            if work != before or (full and work != Work()):
                changed.append(pb.WorkerWork(worker=worker, running=work.running, reads=work.prefill_tokens))
            if work != Work():
                self._announced[worker] = work
        if not changed and not self._placed and not full:
            return []
        if full:
            self._full_sent_at = now
        return self._split(changed, full)

    def _own_work(self, worker: int) -> Work:
        track = self.workers.get(worker)
        if track is None:
            return Work()
        return Work(track.unfinished, tuple(int(tokens) for tokens in track.prefill_tokens))

    def _split(self, changed: list[pb.WorkerWork], full: bool) -> list[bytes]:
        """Split into messages that fit a datagram each; a full one has to have all workers in its own."""
        datagrams = []
        full = full and len(changed) <= MAX_WORKERS
        while changed or self._placed or not datagrams:
            self._sequence += 1
            message = pb.PeerWork(node=self.node, sequence=self._sequence, whole=full and not datagrams)
            message.workers.extend(changed[:MAX_WORKERS])
            del changed[:MAX_WORKERS]
            while self._placed and len(message.placed) < MAX_PLACED:
                message.placed.append(self._placed.popleft())
            datagrams.append(message.SerializeToString())
        return datagrams

    # -- Peers' work ---------------------------------------------------------------------------

    def receive(self, now: float, data: bytes) -> None:
        """Process a datagram of another scheduler."""
        try:
            message = pb.PeerWork.FromString(data)
        except Exception:  # protobuf's implementations raise DecodeError from different modules
            self.dropped["unreadable"] += 1
            return
        if not self._is_valid(message):
            self.dropped["nonsense"] += 1
            return
        peer = self.peers.setdefault(message.node, Peer())
        if message.sequence <= peer.sequence and now - peer.last_received_at < PEER_EXPIRY_MS:
            self.dropped["late"] += 1
            return
        peer.sequence, peer.last_received_at = message.sequence, now
        announced = {work.worker: Work(work.running, tuple(work.reads)) for work in message.workers}
        if message.whole:
            for worker in [w for w in peer.work if w not in announced]:
                self._set_work(peer, worker, Work())
        for worker, work in announced.items():
            self._set_work(peer, worker, work)
        for placed in message.placed:
            track = self.workers.get(placed.worker)
            if track is not None:
                track.add_prefix(((placed.part, float(placed.tokens)),))

    def _is_valid(self, message: pb.PeerWork) -> bool:
        return (
            bool(message.node)
            and message.node != self.node
            and len(message.workers) <= MAX_WORKERS
            and len(message.placed) <= MAX_PLACED
            and all(len(w.reads) == RANKS and max(w.reads) <= MAX_TOKENS for w in message.workers)
            and all(
                0 < len(p.part) <= MAX_SEGMENT_ID_LENGTH and p.tokens <= MAX_TOKENS for p in message.placed
            )
        )

    def _set_work(self, peer: Peer, worker: int, work: Work) -> None:
        """Set a peer's work at a worker; nothing else changes it."""
        track, before = self.workers.get(worker), peer.work.pop(worker, Work())
        if track is not None:
            track.peer_running = max(track.peer_running + work.running - before.running, 0.0)
            for rank in range(RANKS):
                changed = (
                    track.peer_prefill_tokens[rank] + work.prefill_tokens[rank] - before.prefill_tokens[rank]
                )
                track.peer_prefill_tokens[rank] = max(changed, 0.0)
        if work != Work():
            peer.work[worker] = work

    def expire(self, now: float, schedulers: int) -> None:
        """Drop the work of peers that have fallen silent, and update the workers' `peer_scale`.

        `schedulers`: the number of all schedulers, including this one.
        """
        for node in [n for n, peer in self.peers.items() if now - peer.last_received_at > PEER_EXPIRY_MS]:
            peer = self.peers.pop(node)
            for worker in list(peer.work):
                self._set_work(peer, worker, Work())
        scale = max(schedulers - 1, len(self.peers)) / len(self.peers) if self.peers else 0.0
        for track in self.workers.values():
            track.peer_scale = scale
