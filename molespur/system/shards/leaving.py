"""The end of a control-plane process that was told to stop: leads and votes are passed on first.

A lead goes to another voter.  A vote goes to a learner that stands by, in changes that a majority commits; a
process whose machine is to be replaced so leaves its group as large as it was.  With no learner there the
process only waits until enough others hold all that is committed, and keeps its vote for its return.
"""

import asyncio
from collections.abc import Callable

from absl import logging

from ..consensus import replica as raft
from ..rpc import molespur_pb2 as pb

STEP_S = 0.05
MARGIN_S = 3.0  # of the grace period, kept for answering what is under way
LEAST_S = 0.6  # waited for in any case


class Leaving:
    """One process's way out of its groups."""

    def __init__(self, host, clock: Callable[[], float], grace_s: float):
        self.host, self.clock = host, clock
        self.limit_ms = max(grace_s - MARGIN_S, LEAST_S) * 1000.0
        self.released: set[str] = set()

    async def run(self) -> None:
        """Return once this process is needed no longer, or its time is nearly over."""
        until = self.clock() + self.limit_ms
        while self.clock() < until:
            held = self.step()
            if not held:
                return
            await asyncio.sleep(STEP_S)
        logging.warning("stopping although a vote or a lead could not be passed on")

    def step(self) -> list[str]:
        """Ask for what is left to be done; return the groups that still hold this process."""
        held = [name for name, group in self.host.groups.items() if self._held(name, group)]
        if held:
            request = pb.LeaveRequest(replica_id=self.host.replica_id, groups=held)
            self.host.broadcast(pb.Frame(leave_request=request))
        return held

    def handle_leave_reply(self, reply: pb.LeaveReply) -> None:
        """A leader has let this process go, in these groups."""
        self.released.update(reply.groups)

    def _held(self, name: str, group) -> bool:
        replica = group.replica
        if replica.role is raft.Role.LEADER:
            self.released.discard(name)
            return self._pass_lead_on(group)
        return name not in self.released and replica.role is not raft.Role.NON_MEMBER

    def _pass_lead_on(self, group) -> bool:
        """Move on with a lead; whether there is anybody to take it."""
        replica, planner = group.replica, group.planner
        if len(replica.voters()) == 1:
            return planner.has_standby_learner(replica, self.clock())
        planner.record_leaving(self.host.replica_id, self.clock())
        vote_is_next = (
            planner.has_standby_learner(replica, self.clock())
            and len(replica.voters()) <= planner.target_voters
        )
        if not vote_is_next and not replica.transfer_target_id and replica.log.membership_committed:
            self.host.transfer_lead(group)
        return True
