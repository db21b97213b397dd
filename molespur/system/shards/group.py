"""One replica group as a process hosts it: the replica, its state machine, recent changes, and who waits."""

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
class Waiter:
    """A proposal whose outcome somebody waits for."""

    term: int
    outcome: asyncio.Future


@dataclass
class HostedGroup:
    """A replica with its state machine and the recent changes of it."""

    name: str
    replica: raft.Replica
    state_machine: object  # provides IStateMachine
    planner: MembershipPlanner
    history: ChangeHistory
    waiters: dict[int, Waiter] = field(default_factory=dict)
    reads: dict[int, asyncio.Future] = field(default_factory=dict)
    compaction_schedule: CompactionSchedule = field(default_factory=CompactionSchedule)
    lag_log_limiter: LagLogLimiter = field(default_factory=LagLogLimiter)
    _compaction: raft.Compact | None = None

    def proposed(self, action: raft.Proposed, outcome: asyncio.Future) -> None:
        """A proposal is in the log; somebody waits for its outcome."""
        self.waiters[action.index] = Waiter(action.term, outcome)

    def apply(self, entry: pb.LogEntry, on_change: Callable[[str, int, bytes], None]) -> None:
        """Take a committed entry into the state; tell who waits for it, and who follows."""
        waiter = self.waiters.pop(entry.index, None)
        result = None
        if entry.kind == pb.COMMAND:
            result, payload = self.state_machine.apply(entry.data)
            if payload is not None:
                self.history.append(entry.index, payload)
                on_change(self.name, entry.index, payload)
        if self.compaction_schedule.record_applied(entry.index, len(entry.data), self.state_machine.size):
            self._compaction = raft.Compact(entry.index, self.state_machine.snapshot())
        if waiter is None or waiter.outcome.done():
            return
        if waiter.term == entry.term:
            waiter.outcome.set_result(result)
        else:
            waiter.outcome.set_exception(FleetError(ErrorKind.NO_LEADER, self.name))

    def restore(self, snapshot: raft.Snapshot) -> None:
        """Go by a snapshot in place of the state."""
        self.state_machine.restore(snapshot.state)
        self.history.reset(snapshot.index)
        self.compaction_schedule.reset()
        self._compaction = None

    def fail_waiters(self) -> None:
        """The lead is lost: who waits is told at once that the outcome is unknown."""
        waiters, self.waiters = self.waiters, {}
        for waiter in waiters.values():
            if not waiter.outcome.done():
                waiter.outcome.set_exception(FleetError(ErrorKind.OUTCOME_UNKNOWN, self.name))

    def read_ended(self, number: int, confirmed: bool) -> None:
        """A read has been confirmed, or can't be."""
        outcome = self.reads.get(number)
        if outcome is not None and not outcome.done():
            outcome.set_result(confirmed)

    def take_compaction(self) -> raft.Compact | None:
        """The compaction that the entries applied since the last call have led to."""
        due, self._compaction = self._compaction, None
        return due

    def log_lag(self, now: float) -> None:
        """Log that the replica lacks what its leader names as committed, where that lasts."""
        applied, named = self.replica.log.applied_index, self.replica.leader_commit_index
        if self.lag_log_limiter.should_log(now, applied, named):
            logging.warning(
                "%s: lags: applied %d, log ends at %d, its leader names %d, heard %d ms ago",
                self.name, applied, self.replica.log.last_index, named,
                self.replica.ms_since_leader_contact(now),
            )  # fmt: skip
