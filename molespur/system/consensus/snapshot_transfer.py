"""Snapshots that go from a leader to a follower in pieces.  Pure.

A piece is sent once the piece before it has been answered.  The answer tells how many bytes the follower
holds, so a transfer goes on where it stopped: after a lost piece, and also under another leader, whose
snapshot of the same index has the same bytes (`compaction.py`).  A follower names what it holds when it
refuses the new leader's first append, so that not even one piece is sent twice.
"""

from dataclasses import dataclass
from zlib import crc32

from ..rpc import molespur_pb2 as pb
from .records import Snapshot

CHUNK_BYTES = 256 << 10


@dataclass(frozen=True, slots=True)
class PartialSnapshot:
    """What a follower says that it holds of a snapshot: its index, and bytes from its start."""

    index: int
    received_bytes: int


@dataclass(slots=True)
class SnapshotSender:
    """The leader's side of one transfer; the snapshot stays the same until the transfer has ended."""

    snapshot: Snapshot
    checksum: int
    offset: int = 0

    @classmethod
    def create(cls, snapshot: Snapshot, held: "PartialSnapshot | None" = None) -> "SnapshotSender":
        """A transfer that is to begin, or to go on after what the follower holds of the same index.

        Where these are bytes of another snapshot the follower drops them, and its answer says so.
        """
        begun = (
            held is not None and held.index == snapshot.index and held.received_bytes < len(snapshot.state)
        )
        return cls(snapshot, crc32(snapshot.state), held.received_bytes if begun else 0)

    def fill_chunk(self, message: pb.InstallSnapshot) -> None:
        """Put the next piece into a message."""
        message.index, message.term = self.snapshot.index, self.snapshot.term
        message.membership.CopyFrom(self.snapshot.membership)
        message.offset, message.size = self.offset, len(self.snapshot.state)
        message.checksum = self.checksum
        message.state = self.snapshot.state[self.offset : self.offset + CHUNK_BYTES]

    def handle_reply(self, reply: pb.AppendReply) -> bool:
        """Take the follower's answer; whether it was one to this transfer."""
        if reply.snapshot_index != self.snapshot.index:
            return False
        self.offset = min(reply.snapshot_received, len(self.snapshot.state))
        return True


class SnapshotReceiver:
    """The follower's side: the pieces of at most one snapshot."""

    def __init__(self):
        self._key: tuple[int, int, int, int] | None = None
        self._state = bytearray()

    def receive_chunk(self, message: pb.InstallSnapshot) -> Snapshot | None:
        """Take a piece; return the snapshot once it is whole and its checksum is right."""
        key = (message.index, message.term, message.size, message.checksum)
        if key != self._key:
            self._key, self._state = key, bytearray()
        if message.offset != len(self._state):
            return None  # sent twice, or after a loss: the answer tells where to go on
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
        """Drop all pieces."""
        self._key, self._state = None, bytearray()

    def report_partial(self, reply: pb.AppendReply) -> None:
        """Say in an answer what is here, if anything is."""
        if self._key is not None and self._state:
            reply.snapshot_index, reply.snapshot_received = self._key[0], len(self._state)

    @property
    def received_bytes(self) -> int:
        """Bytes of the present transfer that are here."""
        return len(self._state)
