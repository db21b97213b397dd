"""How the leader of a replica group changes its members: one voter at a time, learners first.  Pure.

A replica that comes with an empty disk is a learner until it has the whole log.  It then takes the place of
the earlier replica at its address, or of a voter that has been silent too long.
"""

from ..consensus.replica import Replica
from ..rpc import molespur_pb2 as pb

LOST_AFTER_MS = 2500.0  # a voter silent this long gives way to a learner that has caught up
LEARNER_LOST_AFTER_MS = 10_000.0
RECENT_MS = 1000.0
LAG_ENTRIES = 4  # a learner this close to the end of the log has caught up


class MembershipPlanner:
    """Proposes the next membership of one group, if it should change."""

    def __init__(self, voters: int):
        self.voters_wanted = voters

    def admit(self, replica: Replica, joining: pb.Member) -> pb.Membership | None:
        """The membership with this replica as a learner, without an earlier one at its address."""
        if replica.member(joining.replica_id) is not None:
            return None
        kept = [m for m in replica.log.membership.members if m.rpc_address != joining.rpc_address]
        learner = pb.Member()
        learner.CopyFrom(joining)
        learner.voter = False
        return pb.Membership(members=[*kept, learner])

    def plan(self, replica: Replica, now: float) -> pb.Membership | None:
        """The next change that the group needs, one voter at a time; None when there is none."""
        if not replica.log.membership_committed:
            return None
        members = list(replica.log.membership.members)
        voters = [m for m in members if m.voter]
        ready = [m for m in members if not m.voter and self._caught_up(replica, m, now)]
        if ready and len(voters) < self.voters_wanted:
            chosen = min(ready, key=lambda m: (sum(v.zone == m.zone for v in voters), m.replica_id))
            return _with(members, chosen, voter=True)
        lost = [m for m in voters if self._silence(replica, m, now) > LOST_AFTER_MS]
        if ready and len(voters) >= self.voters_wanted and len(lost) == 1:
            return pb.Membership(members=[m for m in members if m is not lost[0]])
        gone = [m for m in members if not m.voter and self._silence(replica, m, now) > LEARNER_LOST_AFTER_MS]
        if gone:
            return pb.Membership(members=[m for m in members if m is not gone[0]])
        return None

    @staticmethod
    def _silence(replica: Replica, member: pb.Member, now: float) -> float:
        if member.replica_id == replica.id:
            return 0.0
        progress = replica.progress.get(member.replica_id)
        return now - progress.heard_at if progress else 0.0

    def _caught_up(self, replica: Replica, member: pb.Member, now: float) -> bool:
        progress = replica.progress.get(member.replica_id)
        if progress is None or progress.match == 0:
            return False
        near = progress.match + LAG_ENTRIES >= replica.log.last_index
        return near and self._silence(replica, member, now) < RECENT_MS


def _with(members: list[pb.Member], chosen: pb.Member, voter: bool) -> pb.Membership:
    changed = pb.Membership()
    for member in members:
        copy = changed.members.add()
        copy.CopyFrom(member)
        if member.replica_id == chosen.replica_id:
            copy.voter = voter
    return changed
