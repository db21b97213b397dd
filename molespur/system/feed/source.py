"""The control plane's side of the feed: a snapshot, then changes, to every scheduler that subscribes.

A subscription carries the scheduler's offset (log index) of each group.  The scheduler receives the changes
since that offset if they are still kept, otherwise a snapshot.  It is never sent a lower offset than it has.

A scheduler without an offset is sent a snapshot only once the state here is certain to hold all that was
acknowledged before it subscribed: the group's leader has confirmed an index with a majority, and this process
has applied it.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from math import ceil

from absl import logging

from ..errors import FleetError
from ..membership.ring import ring_position
from ..rpc import molespur_pb2 as pb
from ..rpc.channel import Channel
from ..rpc.frames import OutgoingFrame, SharedFrame
from ..shards.group import HostedGroup
from ..shards.host import ReplicaHost
from ..shards.placement import CONFIGURATION

MAX_PEERS = 16  # schedulers with which a scheduler exchanges its load
COPIES = 3  # of what a follower lacks when it is started: as a message, as a frame, in the send buffer
MAX_AGE_MS = 1_000_000  # reported for any greater age, and for an unknown one


@dataclass
class Follower:
    """A subscribed scheduler and the offsets up to which it has been sent each group."""

    channel: Channel
    node: str
    subscribed_at: float  # ms on the monotonic clock
    offsets: dict[str, int] = field(default_factory=dict)
    started: set[str] = field(default_factory=set)  # groups whose changes it is being sent
    peers: list[str] | None = None  # the peers that it was last sent

    def send(self, index: int, group: str, update: OutgoingFrame) -> None:
        """Send an update of a group, after which it has been sent the group up to this index."""
        self.offsets[group] = index
        self.channel.send(update)


def peers_of(node: str, addresses: dict[str, str]) -> list[str]:
    """The schedulers with which a node exchanges its load: all others or, if there are many, its neighbours.

    Neighbours are the nearest ones on a ring, half of them on each side, so the relation is symmetric.
    """
    ring = sorted((ring_position(other), other) for other in {*addresses, node})
    if len(ring) <= MAX_PEERS + 1:
        chosen = [other for _, other in ring if other != node]
    else:
        position = next(number for number, (_, other) in enumerate(ring) if other == node)
        offsets = [*range(-MAX_PEERS // 2, 0), *range(1, MAX_PEERS // 2 + 1)]
        chosen = [ring[(position + offset) % len(ring)][1] for offset in offsets]
    return sorted(addresses[other] for other in chosen if other in addresses)


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A log index that covers all that was acknowledged before `requested_at`."""

    requested_at: float
    index: int


class FeedSource:
    """Serves the feed from the groups that a process hosts.

    `read_barrier(group)` returns an index that the leader has confirmed, or raises FleetError.
    """

    def __init__(
        self,
        host: ReplicaHost,
        clock: Callable[[], float],
        read_barrier: Callable[[str], Awaitable[int]],
    ):
        self.host, self.clock, self.read_barrier = host, clock, read_barrier
        self.followers: dict[Channel, Follower] = {}
        self._confirmations: dict[str, Confirmation] = {}
        self._pending_confirmations: dict[str, asyncio.Task] = {}

    def subscribe(self, channel: Channel, request: pb.Subscribe) -> None:
        """Add a follower; groups whose state here may be too old for it are started later."""
        offsets = {offset.group: offset.index for offset in request.offsets}
        follower = Follower(channel, request.node, self.clock(), offsets)
        self.followers[channel] = follower
        self.start(follower)

    def channel_closed(self, channel: Channel) -> None:
        """Remove the follower of a closed channel."""
        self.followers.pop(channel, None)

    def start_pending_groups(self) -> None:
        """Start the groups that could not be started for a follower before."""
        for follower in list(self.followers.values()):
            if len(follower.started) < len(self.host.groups):
                self.start(follower)

    def start(self, follower: Follower) -> None:
        """Send a follower the missing updates of each group whose state here is new enough for it."""
        for name, group in self.host.groups.items():
            if name in follower.started or not self._is_new_enough(follower, name):
                continue
            updates = self._missing_updates(follower, group)
            size = sum(len(update.payload) for update in updates)
            if not follower.channel.try_hold_unsent(COPIES * size):
                continue  # started again soon
            follower.started.add(name)
            for update in updates:
                follower.send(update.index, name, pb.Frame(update=update))

    @staticmethod
    def _missing_updates(follower: Follower, group: HostedGroup) -> list[pb.FeedUpdate]:
        """The changes since the follower's offset if they are still kept, otherwise a snapshot."""
        offset = follower.offsets.get(group.name)
        changes = None if offset is None else group.history.after(offset)
        if changes is not None:
            return [pb.FeedUpdate(group=group.name, index=i, payload=payload) for i, payload in changes]
        snapshot, index = group.state_machine.feed_snapshot(), group.replica.log.applied_index
        return [pb.FeedUpdate(group=group.name, index=index, payload=snapshot, snapshot=True)]

    def _is_new_enough(self, follower: Follower, name: str) -> bool:
        replica = self.host.groups[name].replica
        if replica.log.commit_index <= 1:
            return False
        offset = follower.offsets.get(name)
        if offset is not None:
            return replica.log.applied_index >= offset  # however old, not older than the follower's state
        confirmed = self._confirmations.get(name)
        if confirmed is None or confirmed.requested_at < follower.subscribed_at:
            self._request_confirmation(name)
            return False
        return replica.log.applied_index >= confirmed.index

    def _request_confirmation(self, name: str) -> None:
        """Have an index confirmed; one request at a time serves all pending followers."""
        if name not in self._pending_confirmations:
            self._pending_confirmations[name] = asyncio.get_running_loop().create_task(
                self._confirm(name, self.clock())
            )

    async def _confirm(self, name: str, requested_at: float) -> None:
        try:
            index = await self.read_barrier(name)
        except FleetError as error:
            logging.info("feed: state of %s not confirmed: %s", name, error)
            return
        finally:
            del self._pending_confirmations[name]
        self._confirmations[name] = Confirmation(requested_at, index)
        self.start_pending_groups()

    def changed(self, name: str, index: int, payload: bytes) -> None:
        """Send a committed change to the followers of the group; those without room get it later."""
        frame = SharedFrame(pb.Frame(update=pb.FeedUpdate(group=name, index=index, payload=payload)))
        for follower in list(self.followers.values()):
            if name not in follower.started:
                continue
            if follower.channel.try_hold_unsent(frame.size):
                follower.send(index, name, frame)
            else:
                follower.started.discard(name)  # started again soon, from its offset

    def restored(self, name: str) -> None:
        """The group's state here was replaced by a snapshot: start it again for all followers."""
        for follower in self.followers.values():
            follower.started.discard(name)

    def pong(self, channel: Channel, ping: pb.Ping) -> pb.Pong:
        """The reply to a ping: the age of the state here, and whether the sender has been sent all of it.

        Updates precede it on the same channel, so its content holds for the sender once it arrives.
        """
        follower = self.followers.get(channel)
        return pb.Pong(
            sent_at_ms=ping.sent_at_ms,
            state_age_ms=_rounded_age(self.host.state_age_ms()),
            configuration_age_ms=_rounded_age(self.host.state_age_ms(CONFIGURATION)),
            follows=follower is not None and len(follower.started) == len(self.host.groups),
        )

    def send_heartbeat(self, schedulers: dict[str, pb.SchedulerHeartbeat], count: int) -> None:
        """Send every follower the age of the state here, the control-plane processes and its peers.

        `count`: the number of schedulers; 0: not known yet.
        """
        frame = pb.Frame()
        heartbeat = frame.feed_heartbeat
        heartbeat.state_age_ms = _rounded_age(self.host.state_age_ms())
        heartbeat.schedulers = count
        for member in self.host.members():
            heartbeat.core.add(
                rpc_address=member.rpc_address, control_address=member.control_address, zone=member.zone
            )
        addresses = {
            node: message.peer_address for node, message in schedulers.items() if message.peer_address
        }
        for follower in list(self.followers.values()):
            peers = peers_of(follower.node, addresses)
            heartbeat.peers_told = peers != follower.peers
            del heartbeat.peers[:]
            if heartbeat.peers_told:
                heartbeat.peers.extend(peers)
                follower.peers = peers
            follower.channel.send(frame)


def _rounded_age(age_ms: float) -> int:
    """An age for a message, rounded up and bounded."""
    return max(ceil(min(age_ms, MAX_AGE_MS)), 0)
