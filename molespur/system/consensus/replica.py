"""A replica of one group: the Raft consensus algorithm as a pure state machine.

Events go in through `Replica.handle(now, event)`, actions come out in order.  Times are milliseconds
on a steady clock.  The caller carries actions out: it writes `Persist` records in order and answers
each with `Persisted`; the messages that a record carries may leave only after it is on the disk.

The algorithm is Raft (Ongaro, 2014) with pre-vote, check-quorum, leader leases, ReadIndex reads, learners,
single-step membership change and leadership transfer.
"""

from collections.abc import Callable, Sequence
from random import Random

from ..rpc import molespur_pb2 as pb
from .log import ReplicatedLog
from .progress import Progress, majority_value
from .read_index import ReadIndex
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
    Unsynced,
)
from .snapshot_transfer import SnapshotReceiving, SnapshotSending

HEARTBEAT_MS = 150.0
ELECTION_MS = (700.0, 1300.0)  # a follower campaigns after a silence drawn from this range
FIRST_ELECTION_MS = (60.0, 250.0)  # the same until a leader was heard: a pre-vote disturbs none that lives
LEASE_MS = 0.8 * ELECTION_MS[0]  # a leader heard by a majority this lately is the only one
RETRY_APPEND_MS = 600.0  # an append without an answer is sent again after this time


class Replica:
    """One replica of one group."""

    def __init__(
        self,
        group: str,
        replica_id: str,
        random: Random,
        hard_state: HardState | None = None,
        snapshot: Snapshot | None = None,
        entries: Sequence[pb.LogEntry] = (),
        now: float = 0.0,
    ):
        self.group, self.id, self.random = group, replica_id, random
        self.hard_state = hard_state or HardState()
        self.log = ReplicatedLog(snapshot or Snapshot(), entries)
        self.role, self.leader_id = Role.OUTSIDER, ""
        self.progress: dict[str, Progress] = {}
        self.votes: set[str] = set()
        self.reads = ReadIndex()
        self.receiving = SnapshotReceiving()
        self.leader_heard_at = float("-inf")
        self.leader_heard_last = ""  # who that was
        self.transfer_to = ""
        self.now = now
        self.heartbeat_at = now
        self._actions: list[Action] = []
        self._persist: Persist | None = None
        self._unsynced: list[Unsynced] = []
        self._sequence = 0
        self.durable_term = self.hard_state.term
        self.led_since = self.transfer_until = now
        self._set_role(Role.FOLLOWER if self.log.membership.members else Role.OUTSIDER)
        self._reset_election(FIRST_ELECTION_MS)
        self._actions.clear()

    # -- What can be read ----------------------------------------------------------------------

    def member(self, replica_id: str) -> pb.Member | None:
        """The member of this identity."""
        return next((m for m in self.log.membership.members if m.replica_id == replica_id), None)

    def voters(self) -> list[str]:
        """Identities of the members that vote."""
        return [m.replica_id for m in self.log.membership.members if m.voter]

    def is_voter(self) -> bool:
        """Whether this replica votes."""
        return self.id in self.voters()

    def leader_silence(self, now: float) -> float:
        """Time since the leader was heard of; 0 at a leader with a lease."""
        if self.role is Role.LEADER:
            return max(now - self._quorum_heard_at(now), 0.0)
        return now - self.leader_heard_at

    def has_lease(self, now: float) -> bool:
        """Whether a majority has followed this leader so lately that, unless voters restart, no other leads.

        Good for duties that a fence guards; reads ask a majority instead (`Read`).
        """
        if self.role is not Role.LEADER or self.transfer_to:
            return False
        return self._own_term_committed() and now - self._quorum_heard_at(now) < LEASE_MS

    def in_touch(self, now: float) -> bool:
        """Whether a proposal may be taken: this replica leads, and no other can have been elected since.

        A majority must have answered within the shortest election time-out; a leader that is cut off learns
        by this that it can commit nothing, before it steps down.
        """
        if self.role is not Role.LEADER:
            return False
        return min(now - self._quorum_heard_at(now), now - self.led_since) < ELECTION_MS[0]

    def _own_term_committed(self) -> bool:
        """Whether an entry of the own term is committed, and so all that earlier terms have committed."""
        return self.log.term_at(self.log.commit_index) == self.hard_state.term

    # -- The one entrance ----------------------------------------------------------------------

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
            self._unsynced.append(Unsynced(self._sequence, self.log.last_index, self.hard_state.term))
            self._actions.append(self._persist)
        return self._actions

    # -- Log -----------------------------------------------------------------------------------

    def _append(self, entries: Sequence[pb.LogEntry]) -> None:
        """Put entries at the end of the log, replacing all from the first one's index on."""
        first = entries[0].index
        self.log.append(entries)
        for unsynced in self._unsynced:
            unsynced.index = min(unsynced.index, first - 1)
        record = self._write()
        record.truncate_from = first
        record.entries = list(entries)

    def _write(self) -> Persist:
        """The record of this event's changes, which holds the hard state as it is now."""
        if self._persist is None:
            self._persist = Persist(self.hard_state)
        self._persist.hard_state = HardState(self.hard_state.term, self.hard_state.vote)
        return self._persist

    # -- Roles ---------------------------------------------------------------------------------

    def _set_role(self, role: Role, leader: str = "") -> None:
        """The one place where the role changes."""
        changed = (role, leader) != (self.role, self.leader_id)
        self.role, self.leader_id = role, leader
        if role is not Role.LEADER:
            self.transfer_to = ""
            self.progress = {}
            self._actions.extend(ReadRefused(number) for number in self.reads.drop())
        if role is not Role.CANDIDATE and role is not Role.PRE_CANDIDATE:
            self.votes = set()
        if changed:
            self._actions.append(RoleChanged(role, self.member(leader)))

    def _reset_election(self, between: tuple[float, float] = ELECTION_MS) -> None:
        low, high = between
        self.election_at = self.now + low + (high - low) * self.random.random()

    def _adopt_term(self, term: int) -> None:
        self.hard_state.term, self.hard_state.vote = term, ""
        self._write()
        self._follow("")

    def _follow(self, leader: str) -> None:
        known = bool(self.log.membership.members)
        self._set_role(Role.FOLLOWER if known else Role.OUTSIDER, leader)

    def _majority(self, identities) -> bool:
        voters = self.voters()
        return sum(v in identities for v in voters) * 2 > len(voters)

    def _reached(self, own: float, of: Callable[[Progress], float]) -> float | None:
        """The most that a majority of the voters has reached, this one's own value included."""
        reached = {name: of(progress) for name, progress in self.progress.items()}
        reached[self.id] = own
        return majority_value(reached.get(voter, float("-inf")) for voter in self.voters())

    def _quorum_heard_at(self, now: float) -> float:
        """Send time of the newest append that a majority of the voters, this one included, has answered."""
        heard_at = self._reached(now, lambda progress: progress.acknowledged_send)
        return float("-inf") if heard_at is None else heard_at

    # -- Time ----------------------------------------------------------------------------------

    def _tick(self) -> None:
        if self.role is Role.LEADER:
            if min(self.now - self._quorum_heard_at(self.now), self.now - self.led_since) > ELECTION_MS[1]:
                self._follow("")  # check-quorum: a leader that no majority answers steps down
                self._reset_election()
            elif self.now >= self.heartbeat_at:
                self._broadcast()
            if self.transfer_to and self.now >= self.transfer_until:
                self._follow("")  # its successor may lead without this replica knowing
        elif self.role is not Role.OUTSIDER and self.now >= self.election_at:
            if self.is_voter():
                self._campaign(pre_vote=True)
            else:
                self._reset_election()

    def _campaign(self, pre_vote: bool, transfer: bool = False) -> None:
        if pre_vote:
            self._set_role(Role.PRE_CANDIDATE)
            term = self.hard_state.term + 1
        else:
            self.hard_state.term += 1
            self.hard_state.vote = self.id
            term = self.hard_state.term
            self._write()
            self._set_role(Role.CANDIDATE)
        self.votes = {self.id}
        never_led = self.leader_heard_at == float("-inf")
        self._reset_election(FIRST_ELECTION_MS if pre_vote and never_led else ELECTION_MS)
        for member in self.log.membership.members:
            if member.voter and member.replica_id != self.id:
                message = self._message(member.replica_id, term)
                message.vote_request.pre_vote = pre_vote
                message.vote_request.last_index = self.log.last_index
                message.vote_request.last_term = self.log.last_term
                message.vote_request.leadership_transfer = transfer
                # a candidate's own vote is on its disk before it asks for others'
                self._send(member, message, after_write=not pre_vote)
        if pre_vote:
            self._count_votes()

    def _count_votes(self) -> None:
        if not self._majority(self.votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(pre_vote=False)
        elif self.role is Role.CANDIDATE and self.durable_term >= self.hard_state.term:
            self._lead()

    def _lead(self) -> None:
        voted = self.votes
        self._set_role(Role.LEADER, self.id)
        self.led_since = self.now
        self.progress = {
            m.replica_id: Progress(next=self.log.last_index + 1, heard_at=self.now)
            for m in self.log.membership.members
            if m.replica_id != self.id
        }
        if self.leader_heard_last in self.progress and self.leader_heard_last not in voted:
            # the leader before may be lost: its silence has lasted since it was heard of last
            self.progress[self.leader_heard_last].heard_at = self.leader_heard_at
        self._propose(pb.NOOP, b"")

    # -- Messages ------------------------------------------------------------------------------

    def _message(self, receiver: str, term: int | None = None) -> pb.ConsensusMessage:
        term = self.hard_state.term if term is None else term
        return pb.ConsensusMessage(group=self.group, sender=self.id, receiver=receiver, term=term)

    def _send(
        self, member: pb.Member | None, message: pb.ConsensusMessage, after_write: bool = False
    ) -> None:
        if member is None:
            return
        if after_write:
            self._write().release.append(Send(member, message))
        else:
            self._actions.append(Send(member, message))

    def _sender(self, message: pb.ConsensusMessage) -> pb.Member | None:
        """The member to answer; one that this replica does not know yet is answered by its identity."""
        known = self.member(message.sender)
        return known or pb.Member(replica_id=message.sender, rpc_address=message.sender.partition("#")[0])

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

    def _vote_requested(self, message: pb.ConsensusMessage) -> None:
        if self.role is Role.OUTSIDER or not self.is_voter():
            return  # a replica that has forgotten its votes, or has none, takes part in no vote
        request = message.vote_request
        heard = self.leader_silence(self.now) < ELECTION_MS[0]
        if heard and not request.leadership_transfer and message.sender != self.leader_id:
            return  # guards against a member that was cut off disturbing a group that has a leader
        if message.term < self.hard_state.term:
            self._answer_vote(message, granted=False, after_write=False)
            return
        mine = (self.log.last_term, self.log.last_index)
        up_to_date = (request.last_term, request.last_index) >= mine
        if request.pre_vote:
            granted = up_to_date and message.term > self.hard_state.term
            self._answer_vote(message, granted, after_write=False)
            return
        if message.term > self.hard_state.term:
            self._adopt_term(message.term)
        granted = up_to_date and self.hard_state.vote in ("", message.sender)
        if granted:
            self.hard_state.vote = message.sender
            self._write()
            self._reset_election()
        self._answer_vote(message, granted, after_write=True)

    def _answer_vote(self, message: pb.ConsensusMessage, granted: bool, after_write: bool) -> None:
        pre_vote = message.vote_request.pre_vote
        term = message.term if pre_vote and granted else self.hard_state.term
        reply = self._message(message.sender, term)
        reply.vote_reply.pre_vote = pre_vote
        reply.vote_reply.granted = granted
        self._send(self._sender(message), reply, after_write)

    def _vote_replied(self, message: pb.ConsensusMessage) -> None:
        reply = message.vote_reply
        asked = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        expected = self.hard_state.term + (1 if reply.pre_vote else 0)
        if self.role is asked and reply.granted and message.term == expected:
            self.votes.add(message.sender)
            self._count_votes()

    # -- Replication: the follower's side --------------------------------------------------------

    def _heard_leader(self, message: pb.ConsensusMessage) -> None:
        self.leader_heard_at, self.leader_heard_last = self.now, message.sender
        self._reset_election()
        if self.role is not Role.FOLLOWER or self.leader_id != message.sender:
            self._follow(message.sender)

    def _append_requested(self, message: pb.ConsensusMessage) -> None:
        self._heard_leader(message)
        request = message.append_request
        previous = request.previous_index
        if previous < self.log.snapshot.index:
            # entries that the snapshot stands for are committed, so they match
            entries = [e for e in request.entries if e.index > self.log.snapshot.index]
            previous_term = self.log.snapshot.term
            previous = self.log.snapshot.index
        else:
            entries, previous_term = list(request.entries), request.previous_term
        reply = self._message(message.sender)
        reply.append_reply.sent_at_ms = request.sent_at_ms
        reply.append_reply.read_round = request.read_round
        if self.log.term_at(previous) != previous_term:
            reply.append_reply.success = False
            reply.append_reply.match_index = self.log.last_before_conflict(previous)
            self._send(self._sender(message), reply)
            return
        last = request.entries[-1].index if request.entries else request.previous_index
        new = [e for e in entries if self.log.term_at(e.index) != e.term]
        if new:
            self._append(entries[entries.index(new[0]) :])
            self._follow(message.sender)
        reply.append_reply.success = True
        reply.append_reply.match_index = max(last, self.log.snapshot.index)
        self._send(self._sender(message), reply, after_write=bool(new) or self.log.durable_index < last)
        self._commit_to(min(request.commit_index, last))

    def _snapshot_sent(self, message: pb.ConsensusMessage) -> None:
        self._heard_leader(message)
        sent = message.install_snapshot
        reply = self._message(message.sender)
        reply.append_reply.success = True
        reply.append_reply.sent_at_ms = sent.sent_at_ms
        reply.append_reply.read_round = sent.read_round
        if self.log.holds(sent.index, sent.term):
            # all that the snapshot stands for is there; entries after it may be acknowledged already
            self._commit_to(sent.index)
        elif sent.index > self.log.commit_index:
            snapshot = self.receiving.take(sent)
            if snapshot is None:
                reply.append_reply.match_index = self.log.snapshot.index
                reply.append_reply.snapshot_index = sent.index
                reply.append_reply.snapshot_received = self.receiving.received
                self._send(self._sender(message), reply)
                return
            self._install(snapshot)
            self._follow(message.sender)
        reply.append_reply.match_index = self.log.commit_index
        self._send(self._sender(message), reply, after_write=True)

    def _install(self, snapshot: Snapshot) -> None:
        """Go by a snapshot in place of the log."""
        self.log.install(snapshot)
        record = self._write()
        record.snapshot, record.truncate_from = self.log.snapshot, 0
        self._actions.append(Restore(self.log.snapshot))

    # -- Replication: the leader's side ----------------------------------------------------------

    def _propose(self, kind: int, data: bytes) -> None:
        if self.role is not Role.LEADER or (self.transfer_to and kind == pb.COMMAND):
            self._actions.append(NotLeader())
            return
        entry = pb.LogEntry(index=self.log.last_index + 1, term=self.hard_state.term, kind=kind, data=data)
        self._append([entry])
        if kind == pb.COMMAND:
            self._actions.append(Proposed(entry.index, entry.term))
        self._broadcast()

    def _change_membership(self, membership: pb.Membership) -> None:
        if self.role is not Role.LEADER or not self.log.membership_committed or self.transfer_to:
            return
        if not self._own_term_committed():
            return
        new = {m.replica_id for m in membership.members if m.voter}
        if len(new ^ set(self.voters())) > 1 or self.id not in new:
            return
        self._propose(pb.MEMBERSHIP, membership.SerializeToString())
        for member in membership.members:
            if member.replica_id != self.id:
                self._progress_of(member)
        self.progress = {k: p for k, p in self.progress.items() if self.member(k)}

    def _progress_of(self, member: pb.Member) -> Progress:
        fresh = Progress(next=self.log.last_index + 1, heard_at=self.now)
        return self.progress.setdefault(member.replica_id, fresh)

    def _broadcast(self) -> None:
        self.heartbeat_at = self.now + HEARTBEAT_MS
        for member in self.log.membership.members:
            if member.replica_id != self.id:
                self._replicate(member)

    def _replicate(self, member: pb.Member) -> None:
        """Send what the member lacks, or an empty append while an earlier one is unanswered."""
        progress = self._progress_of(member)
        progress.give_up(self.now, RETRY_APPEND_MS)
        message = self._message(member.replica_id)
        previous_term = self.log.term_at(progress.next - 1)
        if previous_term is None:
            if progress.waiting_since is None:
                self._send_snapshot(member, progress)
            else:
                self._send_heartbeat(member)
            return
        request = message.append_request
        request.previous_index, request.previous_term = progress.next - 1, previous_term
        request.commit_index = self.log.commit_index
        request.sent_at_ms = int(self.now)
        request.read_round = self.reads.round
        if progress.waiting_since is None:
            entries = self.log.batch(progress.next)
            if entries:
                request.entries.extend(entries)
                progress.sent(self.now, entries[-1].index)
        self._send(member, message)

    def _send_heartbeat(self, member: pb.Member) -> None:
        """An append that asks for nothing: while a snapshot is on its way the leader must still be heard."""
        message = self._message(member.replica_id)
        message.append_request.sent_at_ms = int(self.now)
        message.append_request.read_round = self.reads.round
        self._send(member, message)

    def _send_snapshot(self, member: pb.Member, progress: Progress) -> None:
        """Send the next piece of the snapshot that is on its way, or begin with the newest one."""
        if progress.snapshot is None:
            progress.snapshot = SnapshotSending.of(self.log.snapshot)
        message = self._message(member.replica_id)
        progress.snapshot.fill(message.install_snapshot)
        message.install_snapshot.sent_at_ms = int(self.now)
        message.install_snapshot.read_round = self.reads.round
        progress.sent(self.now, progress.snapshot.snapshot.index)
        self._send(member, message)

    def _append_replied(self, message: pb.ConsensusMessage) -> None:
        progress = self.progress.get(message.sender)
        if self.role is not Role.LEADER or progress is None:
            return
        progress.answered(self.now, message.append_reply)
        self._confirm_reads()
        if message.append_reply.success:
            self._advance_commit()
        member = self.member(message.sender)
        if member and progress.match < self.log.last_index and progress.waiting_since is None:
            self._replicate(member)
        if self.transfer_to == message.sender and progress.match == self.log.last_index:
            self._send(member, self._timeout_now(message.sender))

    def _advance_commit(self) -> None:
        majority = self._reached(self.log.durable_index, lambda progress: progress.match)
        if majority is None or majority <= self.log.commit_index:
            return
        if self.log.holds(majority, self.hard_state.term):
            self._commit_to(majority)
            self._broadcast()  # followers apply it at once, and their feeds with them

    def _commit_to(self, index: int) -> None:
        self._actions.extend(Apply(entry) for entry in self.log.commit(index))

    def _persisted(self, sequence: int) -> None:
        for record in self._unsynced:
            if record.sequence <= sequence:
                self.durable_term = max(self.durable_term, record.term)
                self.log.synced(record.index)
        self._unsynced = [record for record in self._unsynced if record.sequence > sequence]
        if self.role is Role.CANDIDATE:
            self._count_votes()
        elif self.role is Role.LEADER:
            self._advance_commit()

    # -- Reads -------------------------------------------------------------------------------------

    def _read(self, number: int) -> None:
        if self.role is not Role.LEADER or not self._own_term_committed():
            self._actions.append(ReadRefused(number))
            return
        self.reads.begin(number)
        self._broadcast()
        self._confirm_reads()

    def _confirm_reads(self) -> None:
        answered = self._reached(self.reads.round, lambda progress: progress.acknowledged_round)
        if answered is not None:
            self._actions.extend(ReadConfirmed(number) for number in self.reads.confirmed(answered))

    # -- Planned work ----------------------------------------------------------------------------

    def _transfer(self) -> None:
        if self.role is not Role.LEADER:
            return
        recent = [
            (p.match, k)
            for k, p in self.progress.items()
            if k in self.voters() and self.now - p.heard_at < 2 * HEARTBEAT_MS + RETRY_APPEND_MS
        ]
        if not recent:
            return
        match, self.transfer_to = max(recent)
        self.transfer_until = self.now + ELECTION_MS[1]
        member = self.member(self.transfer_to)
        if match == self.log.last_index:
            self._send(member, self._timeout_now(self.transfer_to))
        else:
            self._replicate(member)

    def _timeout_now(self, receiver: str) -> pb.ConsensusMessage:
        message = self._message(receiver)
        message.timeout_now.SetInParent()
        return message

    def _compact(self, index: int, state: bytes) -> None:
        if not self.log.snapshot.index < index <= self.log.applied_index:
            return
        self.log.compact(index, state)
        self._write().snapshot = self.log.snapshot
