"""Transfers snapshots from a leader to a follower in chunks.  No I/O.

A chunk is sent once the chunk before it has been acknowledged.  The reply states how many bytes the follower
holds, so a transfer resumes where it stopped: after a lost chunk, and also under another leader, whose
snapshot of the same index has the same bytes (`compaction.py`).  A follower reports what it holds when it
rejects the new leader's first append, so that no chunk is sent twice.
"""

from dataclasses import dataclass
from zlib import crc32

from ..rpc import molespur_pb2 as pb
from .records import Snapshot

CHUNK_BYTES = 256 << 10


@dataclass(frozen=True, slots=True)
class PartialSnapshot:
    """The part of a snapshot that a follower reports to hold: the first `received_bytes` bytes."""

    index: int
    received_bytes: int


@dataclass(slots=True)
class SnapshotSender:
    """The leader's side of one transfer; it sends the same snapshot until the transfer has ended."""

    snapshot: Snapshot
    checksum: int
    offset: int = 0

    @classmethod
    def create(cls, snapshot: Snapshot, held: "PartialSnapshot | None" = None) -> "SnapshotSender":
        """Start a transfer, or resume it after the bytes that the follower holds of the same index.

        If these bytes belong to another snapshot, the follower drops them and reports this in its reply.
        """
        can_resume = (
            held is not None and held.index == snapshot.index and held.received_bytes < len(snapshot.state)
        )
        return cls(snapshot, crc32(snapshot.state), held.received_bytes if can_resume else 0)

    def fill_chunk(self, message: pb.InstallSnapshot) -> None:
        """Write the next chunk into a message."""
        message.index, message.term = self.snapshot.index, self.snapshot.term
        message.membership.CopyFrom(self.snapshot.membership)
        message.offset, message.size = self.offset, len(self.snapshot.state)
        message.checksum = self.checksum
        message.state = self.snapshot.state[self.offset : self.offset + CHUNK_BYTES]

    def handle_reply(self, reply: pb.AppendReply) -> bool:
        """Continue after the bytes that the follower holds; return whether the reply is to this transfer."""
        if reply.snapshot_index != self.snapshot.index:
            return False
        self.offset = min(reply.snapshot_received, len(self.snapshot.state))
        return True


class SnapshotReceiver:
    """The follower's side: the chunks received of at most one snapshot."""

    def __init__(self):
        self._key: tuple[int, int, int, int] | None = None
        self._state = bytearray()

    def receive_chunk(self, message: pb.InstallSnapshot) -> Snapshot | None:
        """Add a chunk; return the snapshot once it is complete and its checksum is correct."""
        key = (message.index, message.term, message.size, message.checksum)
        if key != self._key:
            self._key, self._state = key, bytearray()
        if message.offset != len(self._state):
            return None  # a duplicate, or a chunk was lost before it; the reply states where to resume
        self._state += message.state
        if len(self._state) < message.size:
            return None
        state = bytes(self._state)
        self.reset()
        if crc32(state) != message.checksum or len(state) != message.size:
            return None
        membership = pb.Membership()
        membership.CopyFrom(message.membership)
        return Snapshot(message.index, message.term, membership, state)

    def reset(self) -> None:
        """Drop all chunks."""
        self._key, self._state = None, bytearray()

    def report_partial(self, reply: pb.AppendReply) -> None:
        """Add to a reply what has been received of a snapshot, if anything."""
        if self._key is not None and self._state:
            reply.snapshot_index, reply.snapshot_received = self._key[0], len(self._state)

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes received in the current transfer."""
        return len(self._state)
