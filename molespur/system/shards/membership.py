"""Joining and leaving replica groups: requests of other processes and changes planned by the leader."""

from collections.abc import Callable

from ..consensus import replica as raft
from ..rpc import molespur_pb2 as pb
from .group import HostedGroup

JOIN_INTERVAL_MS = 500.0


class MembershipCoordinator:
    """Coordinates the membership changes of all groups of one process."""

    def __init__(self, host, clock: Callable[[], float]):
        self.host, self.clock = host, clock
        self._last_join_request_at_ms = float("-inf")

    def reset_join_interval(self) -> None:
        """Send the next join request, where one is needed, without waiting for the interval."""
        self._last_join_request_at_ms = float("-inf")

    def plan(self, group: HostedGroup, now: float) -> None:
        """Propose the next membership change that a group needs, if this process leads it."""
        if group.replica.role is raft.Role.LEADER:
            membership = group.planner.plan(group.replica, now)
            if membership is not None:
                self.host.handle(group, raft.ChangeMembership(membership))

    def request_join(self, now: float) -> None:
        """Request to join the groups where the replica is not a member or has long had no leader contact."""
        if now - self._last_join_request_at_ms < JOIN_INTERVAL_MS:
            return
        self._last_join_request_at_ms = now
        groups = self.host.groups.values()
        not_member = [g.name for g in groups if g.replica.member(self.host.replica_id) is None]
        without_leader = [
            g.name
            for g in groups
            if g.replica.ms_since_leader_contact(now) > 2 * raft.MAX_ELECTION_TIMEOUT_MS
            and g.name not in not_member
        ]
        if not_member or without_leader:
            request = pb.JoinRequest(member=self.host.local_member, groups=not_member + without_leader)
            self.host.broadcast(pb.Frame(join=request))

    def handle_join_request(self, request: pb.JoinRequest) -> None:
        """Admit a replica to the groups led here; forward its request for other groups to their leaders."""
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
        """Return the groups led here that no longer need the replica of a stopping process."""
        released = []
        for name in request.groups:
            group = self.host.groups.get(name)
            if group is None or not self.host.has_quorum_contact(name):
                continue
            group.planner.record_leaving(request.replica_id, self.clock())
            if group.planner.may_leave(group.replica, request.replica_id, self.clock()):
                released.append(name)
        return pb.LeaveReply(groups=released)
