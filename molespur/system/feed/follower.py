"""The data plane's end of the feed: follows one control-plane process, and another when that falls silent.

What it has of a group never goes back to a lower offset.
"""

import asyncio
from collections.abc import Callable
from random import Random

from absl import logging

from ..membership.ring import monitors
from ..rpc import molespur_pb2 as pb
from ..rpc.channel import Channel, Dialer
from ..settings.process import ProcessSettings

SILENCE_MS = 1000.0  # a source without a word for this long is left
STALE_MS = 1500.0  # a source whose leaders were silent this long is left for a fresher one
UNREACHABLE_MS = 400.0  # the same before a channel to it is open
PATIENCE_MS = 1200.0  # least time on one source before another is tried
HOMEWARD_MS = 3000.0  # least time on a source of another zone before one of the own zone is tried
WATCH_S = 0.2
HEARTBEAT_MS = 600.0


class FeedFollower:
    """Follows the feed; `on_update(group, snapshot, payload)` is called for each step forward."""

    def __init__(
        self,
        settings: ProcessSettings,
        clock: Callable[[], float],
        random: Random,
        on_update: Callable[[str, bool, bytes], None],
        loads: Callable[[float], list[pb.ServiceLoad]],
    ):
        self.settings, self.clock, self.random = settings, clock, random
        self.on_update, self.loads = on_update, loads
        self.offsets: dict[str, int] = {}
        self.on_peers: Callable[[list[str]], None] = lambda _addresses: None
        self.schedulers = 0  # how many the control plane knows of; 0: unknown
        self.zones = {address: "" for address in settings.seed_rpc_addresses()}
        self.source: Dialer | None = None
        self.monitors: dict[str, Dialer] = {}
        self.since = self.heard_at = float("-inf")
        self.leader_silence_ms = 0.0
        self.beat_at = float("-inf")
        self.leaving = False
        self.homeward_at = float("-inf")  # when it last left a source for one of its own zone
        self._order: list[str] = []

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            now = self.clock()
            self._watch(now)
            if now >= self.beat_at:
                self.beat_at = now + HEARTBEAT_MS
                self.heartbeat()
            await asyncio.sleep(WATCH_S)

    def reseed(self, settings: ProcessSettings) -> None:
        """Other seeds are known from now on."""
        self.settings = settings
        for address in settings.seed_rpc_addresses():
            self.zones.setdefault(address, "")

    def fresh(self, now: float) -> bool:
        """Whether the source speaks and has heard its leaders lately."""
        return now - self.heard_at < SILENCE_MS and self.leader_silence_ms < STALE_MS

    def leave(self) -> None:
        """Tell the monitors that this scheduler is about to end."""
        self.leaving = True
        self.heartbeat()

    def heartbeat(self) -> None:
        """Tell the monitors that this scheduler lives."""
        wanted = monitors(self.settings.node_name, self.zones)
        for address in wanted:
            if address not in self.monitors and not (self.source and self.source.address == address):
                self.monitors[address] = Dialer(address, self._monitor_frame, self._announce)
        for address in [a for a in self.monitors if a not in wanted]:
            self.monitors.pop(address).stop()
        frame = pb.Frame(scheduler_heartbeat=self._beat())
        for address in wanted:
            if self.source is not None and self.source.address == address:
                self.source.send(frame)
            elif address in self.monitors:
                self.monitors[address].send(frame)

    def _beat(self) -> pb.SchedulerHeartbeat:
        beat = pb.SchedulerHeartbeat(
            node=self.settings.node_name, zone=self.settings.zone, leaving=self.leaving
        )
        beat.peer_address = self.settings.peer_address
        beat.loads.extend(self.loads(self.clock()))
        return beat

    def _announce(self, channel: Channel) -> None:
        """Tell a monitor of this scheduler as soon as it can be reached."""
        if not self.leaving:
            channel.send(pb.Frame(scheduler_heartbeat=self._beat()))

    def _monitor_frame(self, _channel: Channel, _frame: pb.Frame) -> None:
        """A monitor says nothing that matters here."""

    def _watch(self, now: float) -> None:
        if self.source is not None:
            patience = SILENCE_MS if self.source.channel is not None else UNREACHABLE_MS
            silent = now - max(self.heard_at, self.since) > patience
            stale = self.leader_silence_ms > STALE_MS and now - self.since > PATIENCE_MS
            far = self._far(now)
            if not silent and not stale and not far:
                return
            why = "silent" if silent else "stale" if stale else "another is nearer"
            logging.info(
                "feed: leaving %s: %s; heard %d ms ago, its leaders silent for %d ms; offsets %s",
                self.source.address, why, now - max(self.heard_at, self.since), self.leader_silence_ms,
                ", ".join(f"{group} {index}" for group, index in sorted(self.offsets.items())),
            )  # fmt: skip
            if far:
                self.homeward_at, self._order = now, []
            self.source.stop()
            self.source = None
        self._next_source(now)

    def _far(self, now: float) -> bool:
        """Whether to try a process of the own zone: bytes between zones are paid for."""
        own = self.settings.zone
        zone = self.zones.get(self.source.address, "")
        near = any(other == own for other in self.zones.values())
        settled = min(now - self.since, now - self.homeward_at) > HOMEWARD_MS
        return bool(zone) and zone != own and near and settled and self.fresh(now)

    def _next_source(self, now: float) -> None:
        if not self._order:
            addresses = list(self.zones)
            self.random.shuffle(addresses)
            own = self.settings.zone
            self._order = sorted(addresses, key=lambda a: self.zones[a] == own)  # taken from the end
        address = self._order.pop()
        self.since, self.leader_silence_ms = now, 0.0
        if address in self.monitors:
            self.monitors.pop(address).stop()
        self.source = Dialer(address, self._frame, self._subscribe)

    def _subscribe(self, channel: Channel) -> None:
        request = pb.Subscribe(node=self.settings.node_name, zone=self.settings.zone)
        for group, index in self.offsets.items():
            request.offsets.add(group=group, index=index)
        channel.send(pb.Frame(subscribe=request))
        if channel.label in monitors(self.settings.node_name, self.zones):
            self._announce(channel)

    def _frame(self, channel: Channel, frame: pb.Frame) -> None:
        if self.source is None or channel is not self.source.channel:
            return
        self.heard_at = self.clock()
        match frame.WhichOneof("body"):
            case "update":
                self._update(frame.update)
            case "feed_heartbeat":
                self._source_heartbeat(frame.feed_heartbeat)

    def _update(self, update: pb.FeedUpdate) -> None:
        if update.index < self.offsets.get(update.group, 0) or (
            update.index == self.offsets.get(update.group) and not update.snapshot
        ):
            return
        self.offsets[update.group] = update.index
        self.on_update(update.group, update.snapshot, update.payload)

    def _source_heartbeat(self, beat: pb.FeedHeartbeat) -> None:
        self.leader_silence_ms = float(beat.leader_silence_ms)
        self.schedulers = beat.schedulers
        if beat.peers_told:
            self.on_peers(list(beat.peers))
        if beat.core:
            zones = {core.rpc_address: core.zone for core in beat.core}
            for address in self.settings.seed_rpc_addresses():
                zones.setdefault(address, "")
            self.zones = zones
