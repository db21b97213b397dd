"""Replication on the follower: entries and snapshots from the leader."""

from ..rpc import molespur_pb2 as pb
from .records import Restore, Role, Snapshot
from .replica_state import ReplicaState


class FollowerMixin(ReplicaState):
    """The follower part of a replica."""

    def _record_leader_contact(self, message: pb.ConsensusMessage) -> None:
        self.leader_contact_at_ms, self.last_leader_id = self.now, message.sender
        self._reset_election_timer()
        if self.role is not Role.FOLLOWER or self.leader_id != message.sender:
            self._become_follower(message.sender)

    def _handle_append_request(self, message: pb.ConsensusMessage) -> None:
        self._record_leader_contact(message)
        request = message.append_request
        self.leader_commit_index = max(self.leader_commit_index, request.commit_index)
        previous = request.previous_index
        if previous < self.log.snapshot.index:
            # entries up to the snapshot index are committed, so they match
            entries = [e for e in request.entries if e.index > self.log.snapshot.index]
            previous_term = self.log.snapshot.term
            previous = self.log.snapshot.index
        else:
            entries, previous_term = list(request.entries), request.previous_term
        reply = self._new_message(message.sender)
        reply.append_reply.sent_at_ms = request.sent_at_ms
        reply.append_reply.read_round = request.read_round
        self._stamp_reply(reply.append_reply)
        if self.log.term_at(previous) != previous_term:
            reply.append_reply.success = False
            reply.append_reply.match_index = self.log.last_index_before_conflict(previous)
            self.snapshot_receiver.report_partial(reply.append_reply)
            self._send(self._sender_member(message), reply)
            return
        last = request.entries[-1].index if request.entries else request.previous_index
        new = [e for e in entries if self.log.term_at(e.index) != e.term]
        if new:
            self._append(entries[entries.index(new[0]) :])
            self._become_follower(message.sender)
        reply.append_reply.success = True
        reply.append_reply.match_index = max(last, self.log.snapshot.index)
        self._send(self._sender_member(message), reply, after_sync=bool(new) or self.log.durable_index < last)
        self._commit_to(min(request.commit_index, last))
        if request.life == self.instance_id:
            self.state_age_tracker.add_claim(
                request.commit_index, min(float(request.confirmed_at_ms), self.now)
            )
        self.state_age_tracker.advance_applied(self.log.applied_index)

    def _stamp_reply(self, reply: pb.AppendReply) -> None:
        """Add the reply time on this replica's clock; the leader's state age claims are in this time."""
        reply.replied_at_ms, reply.life = int(self.now), self.instance_id

    def _handle_install_snapshot(self, message: pb.ConsensusMessage) -> None:
        self._record_leader_contact(message)
        request = message.install_snapshot
        reply = self._new_message(message.sender)
        reply.append_reply.success = True
        reply.append_reply.sent_at_ms = request.sent_at_ms
        reply.append_reply.read_round = request.read_round
        self._stamp_reply(reply.append_reply)
        if self.log.has_entry(request.index, request.term):
            # the log already has these entries; later entries may already be acknowledged and must be kept
            self._commit_to(request.index)
        elif request.index > self.log.commit_index:
            snapshot = self.snapshot_receiver.receive_chunk(request)
            if snapshot is None:
                reply.append_reply.match_index = self.log.snapshot.index
                reply.append_reply.snapshot_index = request.index
                reply.append_reply.snapshot_received = self.snapshot_receiver.received_bytes
                self._send(self._sender_member(message), reply)
                return
            self._install_snapshot(snapshot)
            self._become_follower(message.sender)
        reply.append_reply.match_index = self.log.commit_index
        self._send(self._sender_member(message), reply, after_sync=True)

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log and the state by a snapshot."""
        self.log.install_snapshot(snapshot)
        self._limit_unsynced_records(0)
        record = self._ensure_record()
        record.snapshot, record.truncate_from = self.log.snapshot, 0
        self._actions.append(Restore(self.log.snapshot))
