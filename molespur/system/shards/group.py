"""One replica group as a process hosts it: the replica, its state machine, recent changes, and who waits."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from absl import logging

from ..consensus import replica as raft
from ..errors import ErrorKind, FleetError
from ..rpc import molespur_pb2 as pb
from .history import ChangeHistory
from .lag import LagLog
from .membership_changes import MembershipPlanner

COMPACT_ENTRIES = 64
COMPACT_BYTES = 1 << 20
STATE_BYTES_PER_ENTRY = 1 << 10  # a large state is written again only after as many more entries


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
    machine: object  # provides IStateMachine
    planner: MembershipPlanner
    history: ChangeHistory
    waiters: dict[int, Waiter] = field(default_factory=dict)
    reads: dict[int, asyncio.Future] = field(default_factory=dict)
    log_bytes: int = 0
    lag: LagLog = field(default_factory=LagLog)

    def proposed(self, action: raft.Proposed, size: int, outcome: asyncio.Future) -> None:
        """A proposal of so many bytes is in the log; somebody waits for its outcome."""
        self.waiters[action.index] = Waiter(action.term, outcome)
        self.log_bytes += size

    def apply(self, entry: pb.LogEntry, on_change: Callable[[str, int, bytes], None]) -> None:
        """Take a committed entry into the state; tell who waits for it, and who follows."""
        waiter = self.waiters.pop(entry.index, None)
        result = None
        if entry.kind == pb.COMMAND:
            result, payload = self.machine.apply(entry.data)
            if payload is not None:
                self.history.append(entry.index, payload)
                on_change(self.name, entry.index, payload)
        if waiter is None or waiter.outcome.done():
            return
        if waiter.term == entry.term:
            waiter.outcome.set_result(result)
        else:
            waiter.outcome.set_exception(FleetError(ErrorKind.NO_LEADER, self.name))

    def restore(self, snapshot: raft.Snapshot) -> None:
        """Go by a snapshot in place of the state."""
        self.machine.restore(snapshot.state)
        self.history.restart(snapshot.index)

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

    def compaction(self) -> raft.Compact | None:
        """The compaction that is due."""
        replica = self.replica
        behind = replica.log.applied_index - replica.log.snapshot.index
        heavy = self.log_bytes > max(COMPACT_BYTES, 2 * self.machine.size)
        many = max(COMPACT_ENTRIES, self.machine.size // STATE_BYTES_PER_ENTRY)
        if behind < many and not (heavy and behind > 1):
            return None
        self.log_bytes = 0
        return raft.Compact(replica.log.applied_index, self.machine.snapshot())

    def log_lag(self, now: float) -> None:
        """Log that the replica lacks what its leader names as committed, where that lasts."""
        applied, named = self.replica.log.applied_index, self.replica.named_commit_index
        if self.lag.due(now, applied, named):
            logging.warning(
                "%s: lags: applied %d, log ends at %d, its leader names %d, heard %d ms ago",
                self.name, applied, self.replica.log.last_index, named, self.replica.leader_silence(now),
            )  # fmt: skip
