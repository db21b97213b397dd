"""One replica group in a process: the replica, its state machine, recent changes and waiting callers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from absl import logging

from ..consensus import replica as raft
from ..consensus.compaction import CompactionSchedule
from ..errors import ErrorKind, FleetError
from ..rpc import molespur_pb2 as pb
from .history import ChangeHistory
from .lag import LagLogLimiter
from .membership_changes import MembershipPlanner


@dataclass
class PendingProposal:
    """A proposal whose caller waits for the outcome."""

    term: int
    outcome: asyncio.Future


@dataclass
class HostedGroup:
    """A replica with its state machine and recent changes."""

    name: str
    replica: raft.Replica
    state_machine: object  # provides IStateMachine
    planner: MembershipPlanner
    history: ChangeHistory
    pending_proposals: dict[int, PendingProposal] = field(default_factory=dict)  # by log index
    pending_reads: dict[int, asyncio.Future] = field(default_factory=dict)
    compaction_schedule: CompactionSchedule = field(default_factory=CompactionSchedule)
    lag_log_limiter: LagLogLimiter = field(default_factory=LagLogLimiter)
    _compaction: raft.Compact | None = None

    def add_pending_proposal(self, action: raft.Proposed, outcome: asyncio.Future) -> None:
        """Register the future that receives the outcome of an appended proposal."""
        self.pending_proposals[action.index] = PendingProposal(action.term, outcome)

    def apply(self, entry: pb.LogEntry, on_change: Callable[[str, int, bytes], None]) -> None:
        """Apply a committed entry to the state; notify its proposer and the feed followers."""
        pending = self.pending_proposals.pop(entry.index, None)
        result = None
        if entry.kind == pb.COMMAND:
            result, payload = self.state_machine.apply(entry.data)
            if payload is not None:
                self.history.append(entry.index, payload)
                on_change(self.name, entry.index, payload)
        if self.compaction_schedule.record_applied(entry.index, len(entry.data), self.state_machine.size):
            self._compaction = raft.Compact(entry.index, self.state_machine.snapshot())
        if pending is None or pending.outcome.done():
            return
        if pending.term == entry.term:
            pending.outcome.set_result(result)
        else:
            pending.outcome.set_exception(FleetError(ErrorKind.NO_LEADER, self.name))

    def restore(self, snapshot: raft.Snapshot) -> None:
        """Replace the state by a snapshot."""
        self.state_machine.restore(snapshot.state)
        self.history.reset(snapshot.index)
        self.compaction_schedule.reset()
        self._compaction = None

    def fail_pending_proposals(self) -> None:
        """Fail all pending proposals with an unknown outcome, because leadership was lost."""
        proposals, self.pending_proposals = self.pending_proposals, {}
        for pending in proposals.values():
            if not pending.outcome.done():
                pending.outcome.set_exception(FleetError(ErrorKind.OUTCOME_UNKNOWN, self.name))

    def resolve_read(self, number: int, confirmed: bool) -> None:
        """Report to the caller of a read whether it was confirmed."""
        outcome = self.pending_reads.get(number)
        if outcome is not None and not outcome.done():
            outcome.set_result(confirmed)

    def take_compaction(self) -> raft.Compact | None:
        """Return the compaction that became due since the last call; None if there is none."""
        due, self._compaction = self._compaction, None
        return due

    def log_lag(self, now: float) -> None:
        """Log a warning if the replica has lagged behind its leader's commit index for long enough."""
        applied, leader_commit = self.replica.log.applied_index, self.replica.leader_commit_index
        if self.lag_log_limiter.should_log(now, applied, leader_commit):
            logging.warning(
                "%s: replica lags: applied %d, last entry %d, leader commit %d, leader contact %d ms ago",
                self.name, applied, self.replica.log.last_index, leader_commit,
                self.replica.ms_since_leader_contact(now),
            )  # fmt: skip
