"""Graceful stop of a control-plane process: it hands over leadership and votes first.

Leadership goes to another voter.  A vote goes to a standby learner through membership changes that a majority
commits, so that a group keeps its size when the host of one process is replaced.  Without a standby learner
the process only waits until enough other voters hold all committed entries, and keeps its vote until it
returns.
"""

import asyncio
from collections.abc import Callable

from absl import logging

from ..consensus import replica as raft
from ..rpc import molespur_pb2 as pb

POLL_INTERVAL_S = 0.05
GRACE_PERIOD_MARGIN_S = 3.0  # part of the grace period reserved for completing open requests
MIN_TIMEOUT_S = 0.6  # used if the grace period leaves less time


class GracefulLeave:
    """Hands over the leadership and votes of one process in all its groups."""

    def __init__(self, host, clock: Callable[[], float], grace_s: float):
        self.host, self.clock = host, clock
        self.timeout_ms = max(grace_s - GRACE_PERIOD_MARGIN_S, MIN_TIMEOUT_S) * 1000.0
        self.released: set[str] = set()  # groups that no longer need this process

    async def run(self) -> None:
        """Return once no group needs this process any longer, or after the timeout."""
        deadline = self.clock() + self.timeout_ms
        while self.clock() < deadline:
            needed_by = self.request_release()
            if not needed_by:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        logging.warning("stopping before all leadership and votes were handed over")

    def request_release(self) -> list[str]:
        """Request to leave the groups that still need this process; return their names."""
        needed_by = [name for name, group in self.host.groups.items() if self._is_needed(name, group)]
        if needed_by:
            request = pb.LeaveRequest(replica_id=self.host.replica_id, groups=needed_by)
            self.host.broadcast(pb.Frame(leave_request=request))
        return needed_by

    def handle_leave_reply(self, reply: pb.LeaveReply) -> None:
        """Record the groups whose leader has confirmed that this process may leave."""
        self.released.update(reply.groups)

    def _is_needed(self, name: str, group) -> bool:
        replica = group.replica
        if replica.role is raft.Role.LEADER:
            self.released.discard(name)
            return self._hand_over_leadership(group)
        return name not in self.released and replica.role is not raft.Role.NON_MEMBER

    def _hand_over_leadership(self, group) -> bool:
        """Take the next step of handing over leadership; return whether any replica can take it."""
        replica, planner = group.replica, group.planner
        if len(replica.voters()) == 1:
            return planner.has_standby_learner(replica, self.clock())
        planner.record_leaving(self.host.replica_id, self.clock())
        vote_moves_first = (
            planner.has_standby_learner(replica, self.clock())
            and len(replica.voters()) <= planner.target_voters
        )
        if not vote_moves_first and not replica.transfer_target_id and replica.log.membership_committed:
            self.host.transfer_leadership(group)
        return True
