"""Elections: pre-votes, votes, and the initial state of a new leader."""

from ..rpc import molespur_pb2 as pb
from .progress import Progress
from .records import Role
from .replica_state import ReplicaState
from .timing import (
    ELECTION_TIMEOUT_RANGE_MS,
    FIRST_ELECTION_TIMEOUT_RANGE_MS,
    MIN_ELECTION_TIMEOUT_MS,
    YIELD_TIMEOUT_RANGE_MS,
)


class ElectionMixin(ReplicaState):
    """The candidate and voter parts of a replica."""

    def _campaign(self, pre_vote: bool, transfer: bool = False) -> None:
        if pre_vote:
            self._set_role(Role.PRE_CANDIDATE)
            term = self.hard_state.term + 1
        else:
            self.hard_state.term += 1
            self.hard_state.vote = self.id
            term = self.hard_state.term
            self._ensure_record()
            self._set_role(Role.CANDIDATE)
        self.votes = {self.id}
        no_leader_seen = self.leader_contact_at_ms == float("-inf")
        self._reset_election_timer(
            FIRST_ELECTION_TIMEOUT_RANGE_MS if pre_vote and no_leader_seen else ELECTION_TIMEOUT_RANGE_MS
        )
        for member in self.log.membership.members:
            if member.voter and member.replica_id != self.id:
                message = self._new_message(member.replica_id, term)
                message.vote_request.pre_vote = pre_vote
                message.vote_request.last_index = self.log.last_index
                message.vote_request.last_term = self.log.last_term
                message.vote_request.leadership_transfer = transfer
                # a candidate's own vote must be on disk before it requests other votes
                self._send(member, message, after_sync=not pre_vote)
        if pre_vote:
            self._count_votes()

    def _count_votes(self) -> None:
        if not self._is_majority(self.votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(pre_vote=False)
        elif self.role is Role.CANDIDATE and self.durable_term >= self.hard_state.term:
            self._become_leader()

    def _become_leader(self) -> None:
        granted_by = self.votes
        self._set_role(Role.LEADER, self.id)
        self.leader_since_ms = self.now
        self.progress = {
            m.replica_id: Progress(next_index=self.log.last_index + 1, last_reply_at_ms=self.now)
            for m in self.log.membership.members
            if m.replica_id != self.id
        }
        if self.last_leader_id in self.progress and self.last_leader_id not in granted_by:
            # the previous leader may have failed: count from its last message, not from the election
            self.progress[self.last_leader_id].last_reply_at_ms = self.leader_contact_at_ms
        self._propose(pb.NOOP, b"")

    def _handle_vote_request(self, message: pb.ConsensusMessage) -> None:
        if self.role is Role.NON_MEMBER:
            return  # it has no entry yet, so it can't be a voter
        # A learner votes too: it may lack the entry that made it a voter, and whose votes count is up to the
        # candidate (Ongaro, section 4.1).  A replica that has lost its disk has another identity, so no vote
        # is forgotten.
        request = message.vote_request
        has_leader = self.ms_since_leader_contact(self.now) < MIN_ELECTION_TIMEOUT_MS
        if has_leader and not request.leadership_transfer and message.sender != self.leader_id:
            return  # keeps a member that was cut off from disturbing a group that has a leader
        if message.term < self.hard_state.term:
            self._send_vote_reply(message, granted=False, after_sync=False)
            return
        own_log_end = (self.log.last_term, self.log.last_index)
        up_to_date = (request.last_term, request.last_index) >= own_log_end
        if request.pre_vote:
            granted = up_to_date and message.term > self.hard_state.term
            if granted and self.role is Role.PRE_CANDIDATE and message.sender > self.id:
                # both could win their pre-votes and then split the votes: the lower identity yields
                self._become_follower("")
                self._reset_election_timer(YIELD_TIMEOUT_RANGE_MS)
            self._send_vote_reply(message, granted, after_sync=False)
            return
        if message.term > self.hard_state.term:
            self._adopt_term(message.term)
        granted = up_to_date and self.hard_state.vote in ("", message.sender)
        if granted:
            self.hard_state.vote = message.sender
            self._ensure_record()
            self._reset_election_timer()
        self._send_vote_reply(message, granted, after_sync=True)

    def _send_vote_reply(self, message: pb.ConsensusMessage, granted: bool, after_sync: bool) -> None:
        pre_vote = message.vote_request.pre_vote
        term = message.term if pre_vote and granted else self.hard_state.term
        reply = self._new_message(message.sender, term)
        reply.vote_reply.pre_vote = pre_vote
        reply.vote_reply.granted = granted
        self._send(self._sender_member(message), reply, after_sync)

    def _handle_vote_reply(self, message: pb.ConsensusMessage) -> None:
        reply = message.vote_reply
        expected_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        expected_term = self.hard_state.term + (1 if reply.pre_vote else 0)
        if self.role is expected_role and reply.granted and message.term == expected_term:
            self.votes.add(message.sender)
            self._count_votes()
