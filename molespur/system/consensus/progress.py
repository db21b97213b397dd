"""What a leader knows about each of the other replicas, and which values a majority has reached.

No I/O.  Times are in milliseconds on the leader's steady clock unless noted otherwise.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..rpc import molespur_pb2 as pb
from .snapshot_transfer import PartialSnapshot, SnapshotSender


@dataclass(slots=True)
class Progress:
    """What a leader knows about one other replica."""

    match_index: int = 0
    next_index: int = 1
    last_reply_at_ms: float = 0.0  # arrival of the newest reply; before the first, a time set by the leader
    acked_sent_at_ms: float = 0.0  # send time of the newest append that the replica has acknowledged
    acked_read_round: int = 0  # the newest read round that the replica has acknowledged
    peer_replied_at_ms: float = 0.0  # when the replica sent its newest reply, on the replica's clock
    peer_instance_id: int = 0  # process instance that sent the newest reply; 0 before the first reply
    inflight_since_ms: float | None = None  # send time of the unacknowledged entries or snapshot chunk
    inflight_last_index: int = 0  # index of the last entry in that message
    sent_commit_index: int = 0  # the highest commit index that the messages sent so far let the replica know
    snapshot_sender: SnapshotSender | None = None  # the snapshot transfer in progress
    partial_snapshot: PartialSnapshot | None = None  # received by the replica from an earlier leader

    def start_inflight(self, now: float, last_index: int) -> None:
        """Record that an append with entries or a snapshot chunk was sent.

        No other one is sent until this one is acknowledged.
        """
        self.inflight_since_ms, self.inflight_last_index = now, last_index

    def reset_stale_inflight(self, now: float, timeout_ms: float) -> None:
        """Start again after the last matching entry if no acknowledgement arrived within the timeout."""
        if self.inflight_since_ms is not None and now - self.inflight_since_ms > timeout_ms:
            self.inflight_since_ms, self.next_index = None, self.match_index + 1

    def handle_reply(self, now: float, reply: pb.AppendReply) -> None:
        """Update the progress from a reply of the replica."""
        self.last_reply_at_ms = now
        self.peer_replied_at_ms, self.peer_instance_id = float(reply.replied_at_ms), reply.life
        self.acked_sent_at_ms = max(self.acked_sent_at_ms, float(reply.sent_at_ms))
        self.acked_read_round = max(self.acked_read_round, reply.read_round)
        if reply.success:
            self.match_index = max(self.match_index, reply.match_index)
            self.next_index = max(self.next_index, self.match_index + 1)
            if self.match_index >= self.inflight_last_index:
                self.inflight_since_ms = None
            self._handle_snapshot_reply(reply)
        else:
            self.next_index = max(min(self.next_index - 1, reply.match_index + 1), self.match_index + 1, 1)
            self.inflight_since_ms = None
            self.partial_snapshot = PartialSnapshot(reply.snapshot_index, reply.snapshot_received)

    def _handle_snapshot_reply(self, reply: pb.AppendReply) -> None:
        if self.snapshot_sender is None:
            return
        if self.match_index >= self.snapshot_sender.snapshot.index:
            self.snapshot_sender = None
        elif self.snapshot_sender.handle_reply(reply):
            self.inflight_since_ms = None  # allows the next chunk to be sent


def majority_value(values: Iterable[float]) -> float | None:
    """Return the highest value that more than half of the voters have reached; None without voters.

    `values` holds one value for each voter.
    """
    ranked = sorted(values, reverse=True)
    return ranked[len(ranked) // 2] if ranked else None
