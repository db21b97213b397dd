"""The state of a replica and the operations that all roles share: role, term, log and messages.

Times are in milliseconds on a steady clock.
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
    HardState,
    Persist,
    ReadRefused,
    Role,
    RoleChanged,
    Send,
    Snapshot,
    UnsyncedRecord,
)
from .snapshot_transfer import SnapshotReceiver
from .state_age import StateAgeTracker
from .timing import (
    ELECTION_TIMEOUT_RANGE_MS,
    FIRST_ELECTION_TIMEOUT_RANGE_MS,
    LEADER_LEASE_MS,
    MIN_ELECTION_TIMEOUT_MS,
)


class ReplicaState:
    """The state of one replica of one group."""

    def __init__(
        self,
        group: str,
        replica_id: str,
        random: Random,
        hard_state: HardState | None = None,
        snapshot: Snapshot | None = None,
        entries: Sequence[pb.LogEntry] = (),
        now: float = 0.0,
        instance_id: int = 1,
    ):
        """`instance_id` must be nonzero and unique among all processes that have this replica's identity."""
        self.group, self.id, self.random = group, replica_id, random
        self.hard_state = hard_state or HardState()
        self.log = ReplicatedLog(snapshot or Snapshot(), entries)
        self.role, self.leader_id = Role.NON_MEMBER, ""
        self.progress: dict[str, Progress] = {}
        self.votes: set[str] = set()
        self.reads = ReadIndex()
        self.snapshot_receiver = SnapshotReceiver()
        self.state_age_tracker = StateAgeTracker()
        self.instance_id = instance_id
        self.leader_contact_at_ms = float("-inf")
        self.last_leader_id = ""  # the leader of that contact
        self.leader_commit_index = 0  # the highest one received from a leader; may be beyond the own log
        self.transfer_target_id = ""
        self.now = now
        self.next_heartbeat_at_ms = now
        self._actions: list[Action] = []
        self._record: Persist | None = None
        self._unsynced_records: list[UnsyncedRecord] = []
        self._sequence = 0
        self.durable_term = self.hard_state.term
        self.leader_since_ms = self.transfer_deadline_ms = now
        self._set_role(Role.FOLLOWER if self.log.membership.members else Role.NON_MEMBER)
        self._reset_election_timer(FIRST_ELECTION_TIMEOUT_RANGE_MS)
        self._actions.clear()

    def member(self, replica_id: str) -> pb.Member | None:
        """Return the member with this identity; None if there is none."""
        return next((m for m in self.log.membership.members if m.replica_id == replica_id), None)

    def voters(self) -> list[str]:
        """Return the identities of the voting members."""
        return [m.replica_id for m in self.log.membership.members if m.voter]

    def is_voter(self) -> bool:
        """Return whether this replica is a voting member."""
        return self.id in self.voters()

    def ms_since_leader_contact(self, now: float) -> float:
        """Return the time since the last message from a leader.

        At the leader itself: the time since the send time of the newest append that a majority has answered.
        """
        if self.role is Role.LEADER:
            return max(now - self._quorum_contact_at(now), 0.0)
        return now - self.leader_contact_at_ms

    def state_age_ms(self, now: float) -> float:
        """Return the age of the state: how long ago a write may have been acknowledged that it lacks.

        The age is infinite if nothing is known.
        """
        return now - max(self.state_age_tracker.confirmed_at_ms, self._confirmed_as_leader_at(now))

    def _confirmed_as_leader_at(self, now: float) -> float:
        """Return the time before which every acknowledged write is in this replica's log, known from leading.

        It is -inf if this replica is not the leader or has not committed an entry of its own term.
        """
        if self.role is not Role.LEADER or not self._own_term_committed():
            return float("-inf")
        return self._quorum_contact_at(now)

    def has_lease(self, now: float) -> bool:
        """Return whether a majority followed this leader so recently that no other replica can lead.

        This does not hold if voters have restarted since.  The lease is therefore sufficient only for
        operations that are also protected by a fencing token; reads are confirmed by a majority instead
        (`Read`).
        """
        if self.role is not Role.LEADER or self.transfer_target_id:
            return False
        return self._own_term_committed() and now - self._quorum_contact_at(now) < LEADER_LEASE_MS

    def has_quorum_contact(self, now: float) -> bool:
        """Return whether this replica leads and a majority has replied within the minimum election timeout.

        A leader that was elected within that time counts as well.  Proposals are accepted only while this is
        true: no other leader can have been elected since.  A leader that is cut off from the majority detects
        this way that it can commit nothing, before it steps down.
        """
        if self.role is not Role.LEADER:
            return False
        return min(now - self._quorum_contact_at(now), now - self.leader_since_ms) < MIN_ELECTION_TIMEOUT_MS

    def _own_term_committed(self) -> bool:
        """Return whether an entry of the current term is committed.

        If so, everything that earlier terms have committed is known to be committed too.
        """
        return self.log.term_at(self.log.commit_index) == self.hard_state.term

    # -- Log -----------------------------------------------------------------------------------

    def _append(self, entries: Sequence[pb.LogEntry]) -> None:
        """Append entries to the log, replacing all entries from the index of the first one on."""
        first = entries[0].index
        self.log.append(entries)
        self._limit_unsynced_records(first - 1)
        record = self._ensure_record()
        record.truncate_from = first
        record.entries = list(entries)

    def _limit_unsynced_records(self, index: int) -> None:
        """Let the records that are being written make durable no more than the entries up to an index.

        The entries after it have been replaced since.
        """
        for unsynced in self._unsynced_records:
            unsynced.index = min(unsynced.index, index)

    def _ensure_record(self) -> Persist:
        """Return the record of the current event, created if needed, with the current hard state."""
        if self._record is None:
            self._record = Persist(self.hard_state)
        self._record.hard_state = HardState(self.hard_state.term, self.hard_state.vote)
        return self._record

    # -- Roles ---------------------------------------------------------------------------------

    def _set_role(self, role: Role, leader: str = "") -> None:
        """Change the role; no other code does."""
        changed = (role, leader) != (self.role, self.leader_id)
        self.state_age_tracker.confirm(self._confirmed_as_leader_at(self.now))
        self.role, self.leader_id = role, leader
        if role is not Role.LEADER:
            self.transfer_target_id = ""
            self.progress = {}
            self._actions.extend(ReadRefused(number) for number in self.reads.cancel_all())
        if role is not Role.CANDIDATE and role is not Role.PRE_CANDIDATE:
            self.votes = set()
        if changed:
            self._actions.append(RoleChanged(role, self.member(leader)))

    def _reset_election_timer(self, range_ms: tuple[float, float] = ELECTION_TIMEOUT_RANGE_MS) -> None:
        low, high = range_ms
        self.election_deadline_ms = self.now + low + (high - low) * self.random.random()

    def _adopt_term(self, term: int) -> None:
        self.hard_state.term, self.hard_state.vote = term, ""
        self._ensure_record()
        self._become_follower("")

    def _become_follower(self, leader: str) -> None:
        has_membership = bool(self.log.membership.members)
        self._set_role(Role.FOLLOWER if has_membership else Role.NON_MEMBER, leader)

    def _is_majority(self, identities) -> bool:
        voters = self.voters()
        return sum(v in identities for v in voters) * 2 > len(voters)

    def _quorum_value(self, own: float, value_of: Callable[[Progress], float]) -> float | None:
        """Return the highest value that a majority of the voters has reached; `own` is this replica's."""
        reached = {name: value_of(progress) for name, progress in self.progress.items()}
        reached[self.id] = own
        return majority_value(reached.get(voter, float("-inf")) for voter in self.voters())

    def _quorum_contact_at(self, now: float) -> float:
        """Return the send time of the newest append that a majority, including this replica, has answered."""
        contact_at = self._quorum_value(now, lambda progress: progress.acked_sent_at_ms)
        return float("-inf") if contact_at is None else contact_at

    def _commit_to(self, index: int) -> None:
        self._actions.extend(Apply(entry) for entry in self.log.commit_up_to(index))

    # -- Messages ------------------------------------------------------------------------------

    def _new_message(self, receiver: str, term: int | None = None) -> pb.ConsensusMessage:
        term = self.hard_state.term if term is None else term
        return pb.ConsensusMessage(group=self.group, sender=self.id, receiver=receiver, term=term)

    def _send(self, member: pb.Member | None, message: pb.ConsensusMessage, after_sync: bool = False) -> None:
        if member is None:
            return
        if after_sync:
            self._ensure_record().send_after_sync.append(Send(member, message))
        else:
            self._actions.append(Send(member, message))

    def _sender_member(self, message: pb.ConsensusMessage) -> pb.Member | None:
        """Return the member to reply to; the address of an unknown sender is taken from its identity."""
        known = self.member(message.sender)
        return known or pb.Member(replica_id=message.sender, rpc_address=message.sender.partition("#")[0])
