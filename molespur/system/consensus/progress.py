"""What a leader knows of the other replicas, and what a majority of them has reached.  Pure.

Times are milliseconds on the leader's steady clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..rpc import molespur_pb2 as pb
from .snapshot_transfer import PartialSnapshot, SnapshotSender


@dataclass(slots=True)
class Progress:
    """What a leader knows of another replica."""

    match: int = 0
    next: int = 1
    heard_at: float = 0.0
    acknowledged_send: float = 0.0  # send time of the newest append that it has answered
    acknowledged_round: int = 0  # newest round of reads that it has answered
    replied_at: float = 0.0  # when it sent its newest reply, by its own clock; that came at `heard_at`
    life: int = 0  # of the process that sent it; 0: none has come
    waiting_since: float | None = None  # an append with entries, or a snapshot, is out since then
    waiting_for: int = 0  # the last index that it holds
    commit_told: int = 0  # the commit index that it can have learned from what was sent
    snapshot: SnapshotSender | None = None  # a snapshot is on its way, in pieces
    held: PartialSnapshot | None = None  # of a transfer that another leader has begun

    def sent(self, now: float, last_index: int) -> None:
        """An append with entries, or a snapshot, has gone out; no further one does until it is answered."""
        self.waiting_since, self.waiting_for = now, last_index

    def give_up(self, now: float, after: float) -> None:
        """Begin again from what is known to match where no answer has come for a while."""
        if self.waiting_since is not None and now - self.waiting_since > after:
            self.waiting_since, self.next = None, self.match + 1

    def answered(self, now: float, reply: pb.AppendReply) -> None:
        """An answer has arrived."""
        self.heard_at = now
        self.replied_at, self.life = float(reply.replied_at_ms), reply.life
        self.acknowledged_send = max(self.acknowledged_send, float(reply.sent_at_ms))
        self.acknowledged_round = max(self.acknowledged_round, reply.read_round)
        if reply.success:
            self.match = max(self.match, reply.match_index)
            self.next = max(self.next, self.match + 1)
            if self.match >= self.waiting_for:
                self.waiting_since = None
            self._snapshot_answered(reply)
        else:
            self.next = max(min(self.next - 1, reply.match_index + 1), self.match + 1, 1)
            self.waiting_since = None
            self.held = PartialSnapshot(reply.snapshot_index, reply.snapshot_received)

    def _snapshot_answered(self, reply: pb.AppendReply) -> None:
        if self.snapshot is None:
            return
        if self.match >= self.snapshot.snapshot.index:
            self.snapshot = None
        elif self.snapshot.handle_reply(reply):
            self.waiting_since = None  # the next piece may go


def majority_value(values: Iterable[float]) -> float | None:
    """The most that more than half of the voters have reached, given each one's value; None without any."""
    ranked = sorted(values, reverse=True)
    return ranked[len(ranked) // 2] if ranked else None
