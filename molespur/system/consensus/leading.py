"""Replication on the leader: proposals, appends, commits, reads and leadership transfer."""

from math import floor

from ..rpc import molespur_pb2 as pb
from .progress import Progress
from .records import NotLeader, Proposed, ReadConfirmed, ReadRefused, Role
from .replica_state import ReplicaState
from .snapshot_transfer import SnapshotSender
from .timing import APPEND_RETRY_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS, MAX_ELECTION_TIMEOUT_MS


class LeaderMixin(ReplicaState):
    """The leader part of a replica."""

    def _propose(self, kind: int, data: bytes) -> None:
        if self.role is not Role.LEADER or (self.transfer_target_id and kind == pb.COMMAND):
            self._actions.append(NotLeader())
            return
        entry = pb.LogEntry(index=self.log.last_index + 1, term=self.hard_state.term, kind=kind, data=data)
        self._append([entry])
        if kind == pb.COMMAND:
            self._actions.append(Proposed(entry.index, entry.term))
        self._broadcast()

    def _change_membership(self, membership: pb.Membership) -> None:
        if self.role is not Role.LEADER or not self.log.membership_committed or self.transfer_target_id:
            return
        if not self._own_term_committed():
            return
        new_voters = {m.replica_id for m in membership.members if m.voter}
        if len(new_voters ^ set(self.voters())) > 1 or self.id not in new_voters:
            return
        self._propose(pb.MEMBERSHIP, membership.SerializeToString())
        for member in membership.members:
            if member.replica_id != self.id:
                self._progress_of(member)
        self.progress = {k: p for k, p in self.progress.items() if self.member(k)}

    def _progress_of(self, member: pb.Member) -> Progress:
        initial = Progress(next_index=self.log.last_index + 1, last_reply_at_ms=self.now)
        return self.progress.setdefault(member.replica_id, initial)

    def _broadcast(self) -> None:
        self.next_heartbeat_at_ms = self.now + HEARTBEAT_INTERVAL_MS
        for member in self.log.membership.members:
            if member.replica_id != self.id:
                self._replicate(member)

    def _replicate(self, member: pb.Member) -> None:
        """Send the entries or snapshot that the member lacks, or a heartbeat while others are in flight."""
        progress = self._progress_of(member)
        progress.reset_stale_inflight(self.now, APPEND_RETRY_TIMEOUT_MS)
        message = self._new_message(member.replica_id)
        previous_term = self.log.term_at(progress.next_index - 1)
        if previous_term is None:
            if progress.inflight_since_ms is None:
                self._send_snapshot(member, progress)
            else:
                self._send_heartbeat(member)
            return
        request = message.append_request
        request.previous_index, request.previous_term = progress.next_index - 1, previous_term
        request.commit_index = self.log.commit_index
        request.sent_at_ms = int(self.now)
        request.read_round = self.reads.round
        self._add_claim(request, progress)
        if progress.inflight_since_ms is None:
            entries = self.log.entries_from(progress.next_index)
            if entries:
                request.entries.extend(entries)
                progress.start_inflight(self.now, entries[-1].index)
        last = request.entries[-1].index if request.entries else request.previous_index
        progress.sent_commit_index = min(request.commit_index, last)
        self._send(member, message)

    def _add_claim(self, request: pb.AppendRequest, progress: Progress) -> None:
        """Add a state age claim: the time before which every acknowledged write is within the commit index.

        The time is on the member's own clock and never later than its last reply.  The clocks of both
        processes are thus assumed to run at the same rate for no longer than a round trip.
        """
        confirmed_at = self._confirmed_as_leader_at(self.now)
        if progress.peer_instance_id and confirmed_at > float("-inf"):
            before_reply = max(progress.last_reply_at_ms - confirmed_at, 0.0)
            request.life = progress.peer_instance_id
            request.confirmed_at_ms = floor(progress.peer_replied_at_ms - before_reply)

    def _send_heartbeat(self, member: pb.Member) -> None:
        """Send an empty append: keeps contact with the member while a snapshot chunk is in flight."""
        message = self._new_message(member.replica_id)
        message.append_request.sent_at_ms = int(self.now)
        message.append_request.read_round = self.reads.round
        self._send(member, message)

    def _send_snapshot(self, member: pb.Member, progress: Progress) -> None:
        """Send the next chunk of the snapshot transfer; starts one with the newest snapshot if needed."""
        if progress.snapshot_sender is None:
            progress.snapshot_sender = SnapshotSender.create(self.log.snapshot, progress.partial_snapshot)
        message = self._new_message(member.replica_id)
        progress.snapshot_sender.fill_chunk(message.install_snapshot)
        message.install_snapshot.sent_at_ms = int(self.now)
        message.install_snapshot.read_round = self.reads.round
        progress.start_inflight(self.now, progress.snapshot_sender.snapshot.index)
        self._send(member, message)

    def _handle_append_reply(self, message: pb.ConsensusMessage) -> None:
        progress = self.progress.get(message.sender)
        if self.role is not Role.LEADER or progress is None:
            return
        progress.handle_reply(self.now, message.append_reply)
        self._confirm_reads()
        if message.append_reply.success:
            self._advance_commit()
        member = self.member(message.sender)
        if member and progress.inflight_since_ms is None and self._needs_append(progress):
            self._replicate(member)
        if self.transfer_target_id == message.sender and progress.match_index == self.log.last_index:
            self._send(member, self._timeout_now_message(message.sender))

    def _needs_append(self, progress: Progress) -> bool:
        """Return whether a member lacks entries or does not know that some of its entries are committed."""
        return (
            progress.match_index < self.log.last_index or progress.sent_commit_index < self.log.commit_index
        )

    def _advance_commit(self) -> None:
        majority = self._quorum_value(self.log.durable_index, lambda progress: progress.match_index)
        if majority is None or majority <= self.log.commit_index:
            return
        if self.log.has_entry(majority, self.hard_state.term):
            self._commit_to(majority)
            self._broadcast()  # followers and their feeds apply it now, not at the next heartbeat

    # -- Reads -------------------------------------------------------------------------------------

    def _begin_read(self, number: int) -> None:
        if self.role is not Role.LEADER or not self._own_term_committed():
            self._actions.append(ReadRefused(number))
            return
        self.reads.begin(number)
        self._broadcast()
        self._confirm_reads()

    def _confirm_reads(self) -> None:
        majority_round = self._quorum_value(self.reads.round, lambda progress: progress.acked_read_round)
        if majority_round is not None:
            self._actions.extend(ReadConfirmed(number) for number in self.reads.confirm_up_to(majority_round))

    # -- Leadership transfer -----------------------------------------------------------------------

    def _transfer_leadership(self) -> None:
        if self.role is not Role.LEADER:
            return
        recent = [
            (p.match_index, k)
            for k, p in self.progress.items()
            if k in self.voters()
            and self.now - p.last_reply_at_ms < 2 * HEARTBEAT_INTERVAL_MS + APPEND_RETRY_TIMEOUT_MS
        ]
        if not recent:
            return
        match, self.transfer_target_id = max(recent)
        self.transfer_deadline_ms = self.now + MAX_ELECTION_TIMEOUT_MS
        member = self.member(self.transfer_target_id)
        if match == self.log.last_index:
            self._send(member, self._timeout_now_message(self.transfer_target_id))
        else:
            self._replicate(member)

    def _step_down(self) -> None:
        """Give up leadership because no majority replies (check-quorum); ask another voter to campaign.

        The other voters may still receive this leader's messages although their replies are lost.  They would
        otherwise wait for a full election timeout after the last message.
        """
        others = [
            (progress.match_index, name) for name, progress in self.progress.items() if name in self.voters()
        ]
        if others:
            _match, successor = max(others)
            self._send(self.member(successor), self._timeout_now_message(successor))
        self._become_follower("")
        self._reset_election_timer()

    def _timeout_now_message(self, receiver: str) -> pb.ConsensusMessage:
        message = self._new_message(receiver)
        message.timeout_now.SetInParent()
        return message
