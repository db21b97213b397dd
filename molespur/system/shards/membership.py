"""Who comes into the groups of a process and who leaves them: what others ask, and what the leader plans."""

from collections.abc import Callable

from ..consensus import replica as raft
from ..rpc import molespur_pb2 as pb
from .group import HostedGroup

JOIN_MS = 500.0


class Membership:
    """The changes of members, for all groups of one process."""

    def __init__(self, host, clock: Callable[[], float]):
        self.host, self.clock = host, clock
        self._joined_at = float("-inf")

    def join_soon(self) -> None:
        """Ask to be taken in at the next look, where that is needed."""
        self._joined_at = float("-inf")

    def plan(self, group: HostedGroup, now: float) -> None:
        """Propose the next change that a group needs, where this process leads it."""
        if group.replica.role is raft.Role.LEADER:
            membership = group.planner.plan(group.replica, now)
            if membership is not None:
                self.host.handle(group, raft.ChangeMembership(membership))

    def maybe_join(self, now: float) -> None:
        """Ask all others to take in what is outside, or has not heard of a leader for long."""
        if now - self._joined_at < JOIN_MS:
            return
        self._joined_at = now
        groups = self.host.groups.values()
        outside = [g.name for g in groups if g.replica.member(self.host.replica_id) is None]
        lost = [
            g.name
            for g in groups
            if g.replica.ms_since_leader_contact(now) > 2 * raft.MAX_ELECTION_TIMEOUT_MS
            and g.name not in outside
        ]
        if outside or lost:
            request = pb.JoinRequest(member=self.host.local_member, groups=outside + lost)
            self.host.broadcast(pb.Frame(join=request))

    def handle_join_request(self, request: pb.JoinRequest) -> None:
        """A replica that is in no membership asks to be taken in; it may not know who leads."""
        self.host.dial(request.member.rpc_address)
        for name in request.groups:
            group = self.host.groups.get(name)
            if group is None:
                continue
            if not self.host.is_leader(name):
                self._forward_join(name, request)
                continue
            membership = group.planner.admit(group.replica, request.member)
            if membership is not None:
                self.host.handle(group, raft.ChangeMembership(membership))

    def _forward_join(self, name: str, request: pb.JoinRequest) -> None:
        leader = self.host.leader(name)
        dialer = self.host.dialers.get(leader.rpc_address) if leader is not None else None
        if dialer is not None and not request.forwarded:
            forwarded = pb.JoinRequest(member=request.member, groups=[name], forwarded=True)
            dialer.send(pb.Frame(join=forwarded))

    def handle_leave_request(self, request: pb.LeaveRequest) -> pb.LeaveReply:
        """A replica's process was told to stop: the groups led here that need it no longer."""
        released = []
        for name in request.groups:
            group = self.host.groups.get(name)
            if group is None or not self.host.has_quorum_contact(name):
                continue
            group.planner.record_leaving(request.replica_id, self.clock())
            if group.planner.may_leave(group.replica, request.replica_id, self.clock()):
                released.append(name)
        return pb.LeaveReply(groups=released)
