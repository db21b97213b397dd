"""The control plane's end of the feed: a snapshot, then changes, to every scheduler that follows.

A scheduler names the offset (log index) that it has of each group.  If the changes since then are still
kept it gets these, else the whole state.  What it is sent never has a lower offset than what it has.

A scheduler that has nothing yet is started only on a state that certainly holds all that was acknowledged
before it asked: the group's leader confirms an index with a majority, and this process has applied it.
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
from ..shards.host import ReplicaHost
from ..shards.placement import CONFIGURATION

MAX_PEERS = 16  # schedulers that one exchanges its load with
MAX_AGE_MS = 1_000_000  # told for any greater age, and where none is known


@dataclass
class Follower:
    """One scheduler on one channel, and the offset up to which it was sent each group."""

    channel: Channel
    node: str
    since: float  # when it came, ms on the steady clock
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


@dataclass(frozen=True, slots=True)
class Confirmation:
    """An index that holds all that was acknowledged before the time at which it was asked for."""

    asked_at: float
    index: int


class FeedSource:
    """Serves the feed from the groups that a process hosts.

    `read_barrier(group)` gives an index that a leader has confirmed, or raises FleetError.
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
        self._asking: dict[str, asyncio.Task] = {}

    def subscribe(self, channel: Channel, request: pb.Subscribe) -> None:
        """Take in a follower; groups whose state may be old here follow once it is not."""
        offsets = {offset.group: offset.index for offset in request.offsets}
        follower = Follower(channel, request.node, self.clock(), offsets)
        self.followers[channel] = follower
        self.start(follower)

    def lost(self, channel: Channel) -> None:
        """The follower's channel has closed."""
        self.followers.pop(channel, None)

    def start_waiting(self) -> None:
        """Begin with groups that could not be begun with earlier."""
        for follower in list(self.followers.values()):
            if len(follower.started) < len(self.host.groups):
                self.start(follower)

    def start(self, follower: Follower) -> None:
        """Send a follower what it lacks of each group whose state here is new enough for it."""
        for name, group in self.host.groups.items():
            if name in follower.started or not self._new_enough(follower, name):
                continue
            follower.started.add(name)
            since = follower.offsets.get(name)
            changes = None if since is None else group.history.after(since)
            if changes is None:
                index = group.replica.log.applied_index
                self._send(follower, name, index, group.state_machine.feed_snapshot(), snapshot=True)
                continue
            for index, payload in changes:
                self._send(follower, name, index, payload)

    def _new_enough(self, follower: Follower, name: str) -> bool:
        replica = self.host.groups[name].replica
        if replica.log.commit_index <= 1:
            return False
        since = follower.offsets.get(name)
        if since is not None:
            return replica.log.applied_index >= since  # however old this is, it is no older than theirs
        confirmed = self._confirmations.get(name)
        if confirmed is None or confirmed.asked_at < follower.since:
            self._ask(name)
            return False
        return replica.log.applied_index >= confirmed.index

    def _ask(self, name: str) -> None:
        """Have the state confirmed; one question at a time serves all followers that wait."""
        if name not in self._asking:
            self._asking[name] = asyncio.get_running_loop().create_task(self._confirm(name, self.clock()))

    async def _confirm(self, name: str, asked_at: float) -> None:
        try:
            index = await self.read_barrier(name)
        except FleetError as error:
            logging.info("feed: %s is not confirmed: %s", name, error)
            return
        finally:
            del self._asking[name]
        self._confirmations[name] = Confirmation(asked_at, index)
        self.start_waiting()

    def changed(self, name: str, index: int, payload: bytes) -> None:
        """A change was committed: tell all that follow."""
        for follower in list(self.followers.values()):
            if name in follower.started:
                self._send(follower, name, index, payload)

    def restored(self, name: str) -> None:
        """The group's state here was replaced as a whole."""
        for follower in self.followers.values():
            follower.started.discard(name)

    def pong(self, channel: Channel, ping: pb.Ping) -> pb.Pong:
        """The answer to a ping: how old the state here is, and whether the asker was sent all of it.

        Updates go before it on the same channel, so it holds for the asker as well once it arrives.
        """
        follower = self.followers.get(channel)
        return pb.Pong(
            sent_at_ms=ping.sent_at_ms,
            state_age_ms=_told(self.host.state_age_ms()),
            configuration_age_ms=_told(self.host.state_age_ms(CONFIGURATION)),
            follows=follower is not None and len(follower.started) == len(self.host.groups),
        )

    def heartbeat(self, schedulers: dict[str, pb.SchedulerHeartbeat], count: int) -> None:
        """Tell every follower that this process lives, how fresh it is, and which schedulers there are.

        `count`: how many these are for certain; 0: not known yet.
        """
        frame = pb.Frame()
        beat = frame.feed_heartbeat
        beat.state_age_ms = _told(self.host.state_age_ms())
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


def _told(age_ms: float) -> int:
    """An age as it goes into a message, rounded up."""
    return max(ceil(min(age_ms, MAX_AGE_MS)), 0)
