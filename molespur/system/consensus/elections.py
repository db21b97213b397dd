"""Elections: pre-vote, votes, and what a new leader begins with."""

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
    """A replica as a candidate and as a voter."""

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
        never_led = self.leader_contact_at_ms == float("-inf")
        self._reset_election_timer(
            FIRST_ELECTION_TIMEOUT_RANGE_MS if pre_vote and never_led else ELECTION_TIMEOUT_RANGE_MS
        )
        for member in self.log.membership.members:
            if member.voter and member.replica_id != self.id:
                message = self._new_message(member.replica_id, term)
                message.vote_request.pre_vote = pre_vote
                message.vote_request.last_index = self.log.last_index
                message.vote_request.last_term = self.log.last_term
                message.vote_request.leadership_transfer = transfer
                # a candidate's own vote is on its disk before it asks for others'
                self._send(member, message, after_write=not pre_vote)
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
        voted = self.votes
        self._set_role(Role.LEADER, self.id)
        self.leader_since_ms = self.now
        self.progress = {
            m.replica_id: Progress(next_index=self.log.last_index + 1, last_reply_at_ms=self.now)
            for m in self.log.membership.members
            if m.replica_id != self.id
        }
        if self.last_leader_id in self.progress and self.last_leader_id not in voted:
            # the leader before may be lost: its silence has lasted since it was heard of last
            self.progress[self.last_leader_id].last_reply_at_ms = self.leader_contact_at_ms
        self._propose(pb.NOOP, b"")

    def _handle_vote_request(self, message: pb.ConsensusMessage) -> None:
        if self.role is Role.NON_MEMBER or not self.is_voter():
            return  # a replica that has forgotten its votes, or has none, takes part in no vote
        request = message.vote_request
        heard = self.ms_since_leader_contact(self.now) < MIN_ELECTION_TIMEOUT_MS
        if heard and not request.leadership_transfer and message.sender != self.leader_id:
            return  # guards against a member that was cut off disturbing a group that has a leader
        if message.term < self.hard_state.term:
            self._send_vote_reply(message, granted=False, after_write=False)
            return
        mine = (self.log.last_term, self.log.last_index)
        up_to_date = (request.last_term, request.last_index) >= mine
        if request.pre_vote:
            granted = up_to_date and message.term > self.hard_state.term
            if granted and self.role is Role.PRE_CANDIDATE and message.sender > self.id:
                # both would get every pre-vote and split the votes: the one with the lower identity gives way
                self._become_follower("")
                self._reset_election_timer(YIELD_TIMEOUT_RANGE_MS)
            self._send_vote_reply(message, granted, after_write=False)
            return
        if message.term > self.hard_state.term:
            self._adopt_term(message.term)
        granted = up_to_date and self.hard_state.vote in ("", message.sender)
        if granted:
            self.hard_state.vote = message.sender
            self._ensure_record()
            self._reset_election_timer()
        self._send_vote_reply(message, granted, after_write=True)

    def _send_vote_reply(self, message: pb.ConsensusMessage, granted: bool, after_write: bool) -> None:
        pre_vote = message.vote_request.pre_vote
        term = message.term if pre_vote and granted else self.hard_state.term
        reply = self._new_message(message.sender, term)
        reply.vote_reply.pre_vote = pre_vote
        reply.vote_reply.granted = granted
        self._send(self._sender_member(message), reply, after_write)

    def _handle_vote_reply(self, message: pb.ConsensusMessage) -> None:
        reply = message.vote_reply
        asked = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        expected = self.hard_state.term + (1 if reply.pre_vote else 0)
        if self.role is asked and reply.granted and message.term == expected:
            self.votes.add(message.sender)
            self._count_votes()
