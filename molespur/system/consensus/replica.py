"""A replica of one group: the Raft consensus algorithm as a pure state machine.

Events go in through `Replica.handle(now, event)`, actions come out in order.  Times are milliseconds
on a steady clock.  The caller carries actions out: it writes `Persist` records in order and answers
each with `Persisted`; the messages that a record carries may leave only after it is on the disk.

The algorithm is Raft (Ongaro, 2014) with pre-vote, check-quorum, leader leases, ReadIndex reads, learners,
single-step membership change and leadership transfer.
"""

from ..rpc import molespur_pb2 as pb
from .elections import Elections
from .following import Following
from .leading import Leading
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


class Replica(Elections, Leading, Following):
    """One replica of one group: the one entrance for events."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event at time now (ms) and return the actions it calls for, in order."""
        self.now, self._actions, self._persist = now, [], None
        match event:
            case Tick():
                self._tick()
            case Received(message):
                self._received(message)
            case Propose(data):
                self._propose(pb.COMMAND, data)
            case Persisted(sequence):
                self._persisted(sequence)
            case TransferLeadership():
                self._transfer()
            case ChangeMembership(membership):
                self._change_membership(membership)
            case Compact(index, state):
                self._compact(index, state)
            case Read(number):
                self._read(number)
        if self._persist is not None:
            self._sequence += 1
            self._persist.sequence = self._sequence
            self._unsynced.append(UnsyncedRecord(self._sequence, self.log.last_index, self.hard_state.term))
            self._actions.append(self._persist)
        return self._actions

    def _tick(self) -> None:
        if self.role is Role.LEADER:
            if not self.has_quorum_contact(self.now):
                self._step_down()
            elif self.now >= self.heartbeat_at:
                self._broadcast()
            if self.transfer_to and self.now >= self.transfer_until:
                self._become_follower("")  # its successor may lead without this replica knowing
        elif self.role is not Role.NON_MEMBER and self.now >= self.election_at:
            if self.is_voter():
                self._campaign(pre_vote=True)
            else:
                self._reset_election()

    def _received(self, message: pb.ConsensusMessage) -> None:
        kind = message.WhichOneof("body")
        if kind == "vote_request":
            self._vote_requested(message)
            return
        if message.term > self.hard_state.term:
            if kind == "vote_reply" and message.vote_reply.pre_vote and message.vote_reply.granted:
                pass  # a granted pre-vote names the term that would be campaigned for
            else:
                self._adopt_term(message.term)
        elif message.term < self.hard_state.term:
            if kind in ("append_request", "install_snapshot"):
                reply = self._message(message.sender)
                reply.append_reply.success = False
                reply.append_reply.match_index = self.log.last_index
                self._send(self._sender(message), reply)
            return
        match kind:
            case "vote_reply":
                self._vote_replied(message)
            case "append_request":
                self._append_requested(message)
            case "append_reply":
                self._append_replied(message)
            case "install_snapshot":
                self._snapshot_sent(message)
            case "timeout_now":
                if self.is_voter() and self.role is not Role.LEADER:
                    self._campaign(pre_vote=False, transfer=True)

    def _persisted(self, sequence: int) -> None:
        for record in self._unsynced:
            if record.sequence <= sequence:
                self.durable_term = max(self.durable_term, record.term)
                self.log.mark_synced(record.index)
        self._unsynced = [record for record in self._unsynced if record.sequence > sequence]
        if self.role is Role.CANDIDATE:
            self._count_votes()
        elif self.role is Role.LEADER:
            self._advance_commit()

    def _compact(self, index: int, state: bytes) -> None:
        if not self.log.snapshot.index < index <= self.log.applied_index:
            return
        self.log.compact(index, state)
        self._write().snapshot = self.log.snapshot
