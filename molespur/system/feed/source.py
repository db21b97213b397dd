"""The control plane's end of the feed: a snapshot, then changes, to every scheduler that follows.

A scheduler names the offset (log index) that it has of each group.  If the changes since then are still
kept it gets these, else the whole state.  What it is sent never has a lower offset than what it has.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..membership.ring import ring_position
from ..rpc import molespur_pb2 as pb
from ..rpc.channel import Channel
from ..shards.host import ReplicaHost

MAX_PEERS = 16  # schedulers that one exchanges its load with
FRESH_MS = 2000.0  # a replica whose leader was silent longer starts no new follower


@dataclass
class Follower:
    """One scheduler on one channel, and the offset up to which it was sent each group."""

    channel: Channel
    node: str
    offsets: dict[str, int] = field(default_factory=dict)
    started: set[str] = field(default_factory=set)  # groups that it is sent changes of
    peers: list[str] | None = None  # the schedulers that it was told to exchange its load with


def peers_of(node: str, addresses: dict[str, str]) -> list[str]:
    """The schedulers that one exchanges its load with: all others, or its neighbours where there are many.

    Who is whose neighbour is the same seen from both: positions on a ring, half of them on each side.
    """
    ring = sorted((ring_position(other), other) for other in {*addresses, node})
    if len(ring) <= MAX_PEERS + 1:
        chosen = [other for _, other in ring if other != node]
    else:
        at = next(number for number, (_, other) in enumerate(ring) if other == node)
        steps = [*range(-MAX_PEERS // 2, 0), *range(1, MAX_PEERS // 2 + 1)]
        chosen = [ring[(at + step) % len(ring)][1] for step in steps]
    return sorted(addresses[other] for other in chosen if other in addresses)


class FeedSource:
    """Serves the feed from the groups that a process hosts."""

    def __init__(self, host: ReplicaHost, clock: Callable[[], float]):
        self.host, self.clock = host, clock
        self.followers: dict[Channel, Follower] = {}

    def subscribe(self, channel: Channel, request: pb.Subscribe) -> None:
        """Take in a follower; groups whose state may be old here follow once it is not."""
        follower = Follower(channel, request.node, {o.group: o.index for o in request.offsets})
        self.followers[channel] = follower
        self.start(follower)

    def lost(self, channel: Channel) -> None:
        """The follower's channel has closed."""
        self.followers.pop(channel, None)

    def start_waiting(self) -> None:
        """Begin with groups that could not be begun with earlier."""
        for follower in self.followers.values():
            if len(follower.started) < len(self.host.groups):
                self.start(follower)

    def start(self, follower: Follower) -> None:
        """Send a follower what it lacks of each group that is fresh here."""
        now = self.clock()
        for name, group in self.host.groups.items():
            replica = group.replica
            behind = replica.log.applied_index < follower.offsets.get(name, 0)
            fresh = replica.leader_silence(now) < FRESH_MS and replica.log.commit_index > 1
            if name in follower.started or behind or not fresh:
                continue
            follower.started.add(name)
            since = follower.offsets.get(name)
            if since is None or since < group.history_from:
                self._send(
                    follower, name, replica.log.applied_index, group.machine.feed_snapshot(), snapshot=True
                )
                continue
            for index, payload in group.history:
                if index > since:
                    self._send(follower, name, index, payload)

    def changed(self, name: str, index: int, payload: bytes) -> None:
        """A change was committed: tell all that follow."""
        for follower in list(self.followers.values()):
            if name in follower.started:
                self._send(follower, name, index, payload)

    def restored(self, name: str) -> None:
        """The group's state here was replaced as a whole."""
        for follower in self.followers.values():
            follower.started.discard(name)

    def heartbeat(self, schedulers: dict[str, pb.SchedulerHeartbeat], count: int) -> None:
        """Tell every follower that this process lives, how fresh it is, and which schedulers there are.

        `count`: how many these are for certain; 0: not known yet.
        """
        frame = pb.Frame()
        beat = frame.feed_heartbeat
        beat.leader_silence_ms = int(min(max(self.host.leader_silence_ms(), 0), 1_000_000))
        beat.schedulers = count
        for member in self.host.members():
            beat.core.add(
                rpc_address=member.rpc_address, control_address=member.control_address, zone=member.zone
            )
        addresses = {node: told.peer_address for node, told in schedulers.items() if told.peer_address}
        for follower in list(self.followers.values()):
            peers = peers_of(follower.node, addresses)
            beat.peers_told = peers != follower.peers
            del beat.peers[:]
            if beat.peers_told:
                beat.peers.extend(peers)
                follower.peers = peers
            follower.channel.send(frame)

    @staticmethod
    def _send(follower: Follower, group: str, index: int, payload: bytes, snapshot: bool = False) -> None:
        update = pb.FeedUpdate(group=group, index=index, payload=payload, snapshot=snapshot)
        follower.offsets[group] = index
        follower.channel.send(pb.Frame(update=update))
