"""Plans how the leader of a replica group changes its members: one voter at a time, learners first.  No I/O.

A replica that starts with an empty disk is a learner until it has the whole log.  It then takes the vote of

- the previous replica at its address, whose disk is lost;
- a voter that is leaving, or that has not replied for too long.  The learner becomes a voter first, and the
  next change makes the other voter a learner, so that the group tolerates as many lost disks as before at
  every moment.  The disk of a silent voter may be whole, and its vote is needed if another disk is lost.

Times are in milliseconds on the leader's steady clock.
"""

from ..consensus.replica import Replica
from ..rpc import molespur_pb2 as pb

VOTER_LOST_AFTER_MS = 1200.0  # a voter without replies for this long is replaced by a caught-up learner
LEARNER_LOST_AFTER_MS = 10_000.0  # a learner without replies for this long is removed
MAX_CONTACT_AGE_MS = 1000.0  # a learner that replied within this time is considered reachable
# the same where a voter is lost: in a small group the change can't be committed without the learner
MAX_REPLACEMENT_CONTACT_AGE_MS = 400.0
LEAVE_NOTICE_TTL_MS = 1000.0  # a leaving replica repeats its notice; without it the replica counts as staying
SURPLUS_VOTER_TIMEOUT_MS = 1500.0  # a surplus voter is demoted after this time even if none is leaving
MAX_LEARNER_LAG_ENTRIES = 4  # a learner at most this far behind the end of the log has caught up


class MembershipPlanner:
    """Plans the next membership change of one group."""

    def __init__(self, target_voters: int):
        self.target_voters = target_voters
        self._leaving: dict[str, float] = {}  # replica -> time of its last leave notice
        self._surplus_since: float | None = None

    def admit(self, replica: Replica, joining: pb.Member) -> pb.Membership | None:
        """Return the membership with this replica as a learner and without any previous one at its address.

        Returns None if the replica is a member already.
        """
        if replica.member(joining.replica_id) is not None:
            return None
        kept = [m for m in replica.log.membership.members if m.rpc_address != joining.rpc_address]
        learner = pb.Member()
        learner.CopyFrom(joining)
        learner.voter = False
        return pb.Membership(members=[*kept, learner])

    def record_leaving(self, replica_id: str, now: float) -> None:
        """Record the notice of a replica that its process is stopping."""
        self._leaving[replica_id] = now

    def may_leave(self, replica: Replica, replica_id: str, now: float) -> bool:
        """Return whether a leaving replica may stop, as far as this leader knows.

        It may stop once it has no vote in a committed membership.  If no learner is available to take its
        vote, it may stop once enough other voters hold all committed entries, so that it does not have the
        only copy.
        """
        if not replica.log.membership_committed:
            return False
        member = replica.member(replica_id)
        if member is None or not member.voter:
            return True
        if self.has_standby_learner(replica, now):
            return False
        if len(replica.voters()) > self.target_voters:
            return False  # a learner already votes in its place, so this voter must be demoted first
        voters = [name for name in replica.voters() if name != replica_id]
        holding = sum(self._holds_committed(replica, name) for name in voters)
        return 2 * holding > len(voters) + 1

    def has_standby_learner(self, replica: Replica, now: float) -> bool:
        """Return whether a reachable learner can take a vote, now or once it has caught up."""
        return any(
            not member.voter
            and member.replica_id not in self._leaving
            and self._contact_age_ms(replica, member, now) < MAX_CONTACT_AGE_MS
            for member in replica.log.membership.members
        )

    def plan(self, replica: Replica, now: float) -> pb.Membership | None:
        """Return the next membership that the group needs, at most one voter different; None if none."""
        self._leaving = {name: at for name, at in self._leaving.items() if now - at < LEAVE_NOTICE_TTL_MS}
        if not replica.log.membership_committed:
            return None
        members = list(replica.log.membership.members)
        voters = [m for m in members if m.voter]
        return (
            self._promotion(replica, members, voters, now)
            or self._demotion(replica, members, voters, now)
            or self._removal(replica, members, now)
        )

    def _promotion(self, replica: Replica, members, voters, now: float) -> pb.Membership | None:
        """Promote a caught-up learner to a voter if a voter is missing, leaving or lost."""
        leaving = any(voter.replica_id in self._leaving for voter in voters)
        replaceable = leaving or bool(self._lost_voters(replica, voters, now))
        missing = len(voters) < self.target_voters
        if not missing and not (replaceable and len(voters) == self.target_voters):
            return None
        max_age_ms = MAX_CONTACT_AGE_MS if missing or leaving else MAX_REPLACEMENT_CONTACT_AGE_MS
        ready = [m for m in members if not m.voter and self._caught_up(replica, m, now, max_age_ms)]
        if not ready and missing and len(voters) % 2 == 0:
            ready = self._most_advanced_learner(replica, members)
        if not ready:
            return None
        chosen = min(ready, key=lambda m: (sum(v.zone == m.zone for v in voters), m.replica_id))
        return _with_voter(members, chosen, voter=True)

    def _most_advanced_learner(self, replica: Replica, members) -> list[pb.Member]:
        """Return the learner that holds most of the log, whether it can be reached or not; none if none does.

        It can join an even number of voters: a majority needs as many votes as before, and the group
        tolerates one more lost disk.
        """
        learners = [
            m
            for m in members
            if not m.voter and m.replica_id not in self._leaving and _match_index(replica, m) > 0
        ]
        return sorted(learners, key=lambda m: (-_match_index(replica, m), m.replica_id))[:1]

    def _demotion(self, replica: Replica, members, voters, now: float) -> pb.Membership | None:
        """Demote a leaving or lost voter to a learner if there is a surplus voter; never this leader."""
        if len(voters) <= self.target_voters:
            self._surplus_since = None
            return None
        if self._surplus_since is None:
            self._surplus_since = now
        others = [voter for voter in voters if voter.replica_id != replica.id]
        chosen = [voter for voter in others if voter.replica_id in self._leaving]
        chosen = chosen or self._lost_voters(replica, voters, now)
        if not chosen and now - self._surplus_since > SURPLUS_VOTER_TIMEOUT_MS:
            # the voter that was leaving has stopped, or has lost leadership and keeps running
            chosen = sorted(others, key=lambda m: (-self._contact_age_ms(replica, m, now), m.replica_id))
        return _with_voter(members, chosen[0], voter=False) if chosen else None

    def _lost_voters(self, replica: Replica, voters, now: float) -> list[pb.Member]:
        """Return the voters that have not replied for too long; none if the fault may be on this side."""
        lost = [m for m in voters if self._contact_age_ms(replica, m, now) > VOTER_LOST_AFTER_MS]
        max_lost = (len(voters) - 1) // 2
        if len(lost) > max_lost or not replica.has_quorum_contact(now):
            return []
        return lost

    def _removal(self, replica: Replica, members, now: float) -> pb.Membership | None:
        """Remove a lost learner."""
        lost = [
            m
            for m in members
            if not m.voter and self._contact_age_ms(replica, m, now) > LEARNER_LOST_AFTER_MS
        ]
        return pb.Membership(members=[m for m in members if m is not lost[0]]) if lost else None

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

    def _caught_up(self, replica: Replica, member: pb.Member, now: float, max_age_ms: float) -> bool:
        """Return whether a learner has the log, but for a few entries, and has replied within this time."""
        if member.replica_id in self._leaving:
            return False
        match_index = _match_index(replica, member)
        if match_index == 0:
            return False
        has_caught_up = match_index + MAX_LEARNER_LAG_ENTRIES >= replica.log.last_index
        return has_caught_up and self._contact_age_ms(replica, member, now) < max_age_ms


def _match_index(replica: Replica, member: pb.Member) -> int:
    """Return the last entry that a member is known to hold; 0 if none is known."""
    progress = replica.progress.get(member.replica_id)
    return progress.match_index if progress is not None else 0


def _with_voter(members: list[pb.Member], chosen: pb.Member, voter: bool) -> pb.Membership:
    """Return the members, with one of them changed to a voter or a learner."""
    changed = pb.Membership()
    for member in members:
        copy = changed.members.add()
        copy.CopyFrom(member)
        if member.replica_id == chosen.replica_id:
            copy.voter = voter
    return changed
