"""How the leader of a replica group changes its members: one voter at a time, learners first.  Pure.

A replica that comes with an empty disk is a learner until it has the whole log.  It then takes the vote of

- the earlier replica at its address, which is gone with its disk;
- a voter that says that it leaves: the learner is made a voter first, so that at every moment the group bears
  as many losses as before, and the leaving voter becomes a learner in the next change;
- a voter that has been silent too long: it is removed first, since a group with a dead voter and one voter
  more would need all the others for a majority.

Times are milliseconds on the leader's steady clock.
"""

from ..consensus.replica import Replica
from ..rpc import molespur_pb2 as pb

VOTER_LOST_AFTER_MS = 1200.0  # a voter silent this long gives way to a learner that has caught up
LEARNER_LOST_AFTER_MS = 10_000.0
MAX_CONTACT_AGE_MS = 1000.0
LEAVE_NOTICE_TTL_MS = 1000.0  # a voter that leaves says so again and again; one that stops saying so stays
SURPLUS_VOTER_TIMEOUT_MS = (
    1500.0  # a voter too many that nobody accounts for is made a learner after this time
)
MAX_LEARNER_LAG_ENTRIES = 4  # a learner this close to the end of the log has caught up


class MembershipPlanner:
    """Proposes the next membership of one group, if it should change."""

    def __init__(self, voters: int):
        self.target_voters = voters
        self._leaving: dict[str, float] = {}  # replica -> when it said so last
        self._surplus_since: float | None = None

    def admit(self, replica: Replica, joining: pb.Member) -> pb.Membership | None:
        """The membership with this replica as a learner, without an earlier one at its address."""
        if replica.member(joining.replica_id) is not None:
            return None
        kept = [m for m in replica.log.membership.members if m.rpc_address != joining.rpc_address]
        learner = pb.Member()
        learner.CopyFrom(joining)
        learner.voter = False
        return pb.Membership(members=[*kept, learner])

    def record_leaving(self, replica_id: str, now: float) -> None:
        """A replica says that its process was told to stop."""
        self._leaving[replica_id] = now

    def may_leave(self, replica: Replica, replica_id: str, now: float) -> bool:
        """Whether a leaving replica may end, as this leader sees it.

        It may once a committed membership has no vote of it.  Where no learner stands by to take the vote, it
        may once enough other voters hold all that is committed: what it has is then not the only copy.
        """
        if not replica.log.membership_committed:
            return False
        member = replica.member(replica_id)
        if member is None or not member.voter:
            return True
        if self.has_standby_learner(replica, now):
            return False
        if len(replica.voters()) > self.target_voters:
            return False  # its vote is the one too many: the learner that stood by has got one already
        voters = [name for name in replica.voters() if name != replica_id]
        holding = sum(self._holds_committed(replica, name) for name in voters)
        return 2 * holding > len(voters) + 1

    def has_standby_learner(self, replica: Replica, now: float) -> bool:
        """Whether a learner is there that can take a vote, now or once it has caught up."""
        return any(
            not member.voter
            and member.replica_id not in self._leaving
            and self._contact_age_ms(replica, member, now) < MAX_CONTACT_AGE_MS
            for member in replica.log.membership.members
        )

    def plan(self, replica: Replica, now: float) -> pb.Membership | None:
        """The next change that the group needs, one voter at a time; None when there is none."""
        self._leaving = {name: at for name, at in self._leaving.items() if now - at < LEAVE_NOTICE_TTL_MS}
        if not replica.log.membership_committed:
            return None
        members = list(replica.log.membership.members)
        voters = [m for m in members if m.voter]
        return (
            self._promotion(replica, members, voters, now)
            or self._demotion(replica, members, voters, now)
            or self._removal(replica, members, voters, now)
        )

    def _promotion(self, replica: Replica, members, voters, now: float) -> pb.Membership | None:
        """A learner that has caught up becomes a voter, where one is missing or is about to leave."""
        leaving = any(voter.replica_id in self._leaving for voter in voters)
        missing = len(voters) < self.target_voters
        if not missing and not (leaving and len(voters) == self.target_voters):
            return None
        ready = [m for m in members if not m.voter and self._caught_up(replica, m, now)]
        if not ready:
            return None
        chosen = min(ready, key=lambda m: (sum(v.zone == m.zone for v in voters), m.replica_id))
        return _with_voter(members, chosen, voter=True)

    def _demotion(self, replica: Replica, members, voters, now: float) -> pb.Membership | None:
        """With one voter too many, one that leaves becomes a learner; this leader never does."""
        if len(voters) <= self.target_voters:
            self._surplus_since = None
            return None
        if self._surplus_since is None:
            self._surplus_since = now
        others = [voter for voter in voters if voter.replica_id != replica.id]
        chosen = [voter for voter in others if voter.replica_id in self._leaving]
        if not chosen and now - self._surplus_since > SURPLUS_VOTER_TIMEOUT_MS:
            # the one that was to leave has ended, or leads no more and runs on
            chosen = sorted(others, key=lambda m: (-self._contact_age_ms(replica, m, now), m.replica_id))
        return _with_voter(members, chosen[0], voter=False) if chosen else None

    def _removal(self, replica: Replica, members, voters, now: float) -> pb.Membership | None:
        """A voter that is lost makes room for a learner that has caught up; a lost learner goes."""
        ready = [m for m in members if not m.voter and self._caught_up(replica, m, now)]
        lost = [m for m in voters if self._contact_age_ms(replica, m, now) > VOTER_LOST_AFTER_MS]
        most = (len(voters) - 1) // 2  # with more silent ones the fault may be on this side
        if (
            ready
            and len(voters) >= self.target_voters
            and 0 < len(lost) <= most
            and replica.has_quorum_contact(now)
        ):
            return pb.Membership(members=[m for m in members if m is not lost[0]])
        gone = [
            m
            for m in members
            if not m.voter and self._contact_age_ms(replica, m, now) > LEARNER_LOST_AFTER_MS
        ]
        if gone:
            return pb.Membership(members=[m for m in members if m is not gone[0]])
        return None

    @staticmethod
    def _holds_committed(replica: Replica, name: str) -> bool:
        if name == replica.id:
            return replica.log.durable_index >= replica.log.commit_index
        progress = replica.progress.get(name)
        return progress is not None and progress.match_index >= replica.log.commit_index

    @staticmethod
    def _contact_age_ms(replica: Replica, member: pb.Member, now: float) -> float:
        if member.replica_id == replica.id:
            return 0.0
        progress = replica.progress.get(member.replica_id)
        return now - progress.last_reply_at_ms if progress else 0.0

    def _caught_up(self, replica: Replica, member: pb.Member, now: float) -> bool:
        if member.replica_id in self._leaving:
            return False
        progress = replica.progress.get(member.replica_id)
        if progress is None or progress.match_index == 0:
            return False
        near = progress.match_index + MAX_LEARNER_LAG_ENTRIES >= replica.log.last_index
        return near and self._contact_age_ms(replica, member, now) < MAX_CONTACT_AGE_MS


def _with_voter(members: list[pb.Member], chosen: pb.Member, voter: bool) -> pb.Membership:
    """The members with one of them made a voter or a learner."""
    changed = pb.Membership()
    for member in members:
        copy = changed.members.add()
        copy.CopyFrom(member)
        if member.replica_id == chosen.replica_id:
            copy.voter = voter
    return changed
