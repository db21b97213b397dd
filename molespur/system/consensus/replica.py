"""A replica of one group: the Raft consensus algorithm as a state machine without I/O.

`Replica.handle(now, event)` takes an event and returns the resulting actions in order.  Times are in
milliseconds on a steady clock.  The caller executes the actions.  It writes `Persist` records in order and
reports each one with `Persisted`.  The messages that a record contains may be sent only after the record is
on disk.

The algorithm is Raft (Ongaro, 2014) with pre-vote, check-quorum, leader leases, ReadIndex reads, learners,
single-step membership change and leadership transfer.
"""

from ..rpc import molespur_pb2 as pb
from .elections import ElectionMixin
from .following import FollowerMixin
from .leading import LeaderMixin
from .records import (
    Action,
    Apply,
    ChangeMembership,
    Compact,
    Event,
    HardState,
    NotLeader,
    Persist,
    Persisted,
    Propose,
    Proposed,
    Read,
    ReadConfirmed,
    ReadRefused,
    Received,
    Restore,
    Role,
    RoleChanged,
    Send,
    Snapshot,
    Tick,
    TransferLeadership,
    UnsyncedRecord,
)
from .timing import MAX_ELECTION_TIMEOUT_MS, MIN_ELECTION_TIMEOUT_MS

__all__ = [
    "MAX_ELECTION_TIMEOUT_MS", "MIN_ELECTION_TIMEOUT_MS", "Action", "Apply", "ChangeMembership", "Compact",
    "Event", "HardState", "NotLeader", "Persist", "Persisted", "Propose", "Proposed", "Read", "ReadConfirmed",
    "ReadRefused", "Received", "Replica", "Restore", "Role", "RoleChanged", "Send", "Snapshot", "Tick",
    "TransferLeadership",
]  # fmt: skip


class Replica(ElectionMixin, LeaderMixin, FollowerMixin):
    """One replica of one group; `handle` is the only way to pass events to it."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event at time `now` (ms) and return the resulting actions in order."""
        self.now, self._actions, self._record = now, [], None
        match event:
            case Tick():
                self._handle_tick()
            case Received(message):
                self._handle_message(message)
            case Propose(data):
                self._propose(pb.COMMAND, data)
            case Persisted(sequence):
                self._handle_persisted(sequence)
            case TransferLeadership():
                self._transfer_leadership()
            case ChangeMembership(membership):
                self._change_membership(membership)
            case Compact(index, state):
                self._compact(index, state)
            case Read(number):
                self._begin_read(number)
        if self._record is not None:
            self._sequence += 1
            self._record.sequence = self._sequence
            self._unsynced_records.append(
                UnsyncedRecord(self._sequence, self.log.last_index, self.hard_state.term)
            )
            self._actions.append(self._record)
        return self._actions

    def _handle_tick(self) -> None:
        if self.role is Role.LEADER:
            if not self.has_quorum_contact(self.now):
                self._step_down()
            elif self.now >= self.next_heartbeat_at_ms:
                self._broadcast()
            if self.transfer_target_id and self.now >= self.transfer_deadline_ms:
                self._become_follower("")  # another leader may be elected without this replica knowing
        elif self.role is not Role.NON_MEMBER and self.now >= self.election_deadline_ms:
            if self.is_voter():
                self._campaign(pre_vote=True)
            else:
                self._reset_election_timer()

    def _handle_message(self, message: pb.ConsensusMessage) -> None:
        kind = message.WhichOneof("body")
        if kind == "vote_request":
            self._handle_vote_request(message)
            return
        if message.term > self.hard_state.term:
            if kind == "vote_reply" and message.vote_reply.pre_vote and message.vote_reply.granted:
                pass  # a granted pre-vote carries the term of the campaign that would follow
            else:
                self._adopt_term(message.term)
        elif message.term < self.hard_state.term:
            if kind in ("append_request", "install_snapshot"):
                reply = self._new_message(message.sender)
                reply.append_reply.success = False
                reply.append_reply.match_index = self.log.last_index
                self._send(self._sender_member(message), reply)
            return
        match kind:
            case "vote_reply":
                self._handle_vote_reply(message)
            case "append_request":
                self._handle_append_request(message)
            case "append_reply":
                self._handle_append_reply(message)
            case "install_snapshot":
                self._handle_install_snapshot(message)
            case "timeout_now":
                if self.is_voter() and self.role is not Role.LEADER:
                    self._campaign(pre_vote=False, transfer=True)

    def _handle_persisted(self, sequence: int) -> None:
        for record in self._unsynced_records:
            if record.sequence <= sequence:
                self.durable_term = max(self.durable_term, record.term)
                self.log.mark_synced(record.index)
        self._unsynced_records = [record for record in self._unsynced_records if record.sequence > sequence]
        if self.role is Role.CANDIDATE:
            self._count_votes()
        elif self.role is Role.LEADER:
            self._advance_commit()

    def _compact(self, index: int, state: bytes) -> None:
        if not self.log.snapshot.index < index <= self.log.applied_index:
            return
        self.log.compact(index, state)
        self._ensure_record().snapshot = self.log.snapshot
