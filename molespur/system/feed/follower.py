"""The data plane's side of the feed: follows one control-plane process, or another if the state gets old.

The offset of a group never decreases.
"""

import asyncio
from collections.abc import Callable
from math import ceil
from random import Random

from absl import logging

from ..membership.ring import monitors
from ..rpc import molespur_pb2 as pb
from ..rpc.channel import Channel, Dialer
from ..settings.process import ProcessSettings
from .budget import CHECK_INTERVAL_MS, FreshnessBudget
from .sources import SourceChange, SourceSelector

CHECK_INTERVAL_S = CHECK_INTERVAL_MS / 1000.0
HEARTBEAT_MS = 600.0
MAX_AGE_MS = 1e6  # reported for any greater age, and for an unknown one
MONITOR_PING_STEPS = 2  # the source is pinged at each step, the monitors at every second one


class FeedFollower:
    """Follows the feed; `on_update(group, snapshot, payload)` is called for each new offset."""

    def __init__(
        self,
        settings: ProcessSettings,
        clock: Callable[[], float],
        random: Random,
        on_update: Callable[[str, bool, bytes], None],
        loads: Callable[[float], list[pb.ServiceLoad]],
    ):
        self.settings, self.clock = settings, clock
        self.on_update, self.loads = on_update, loads
        self.offsets: dict[str, int] = {}
        self.on_peers: Callable[[list[str]], None] = lambda _addresses: None
        self.configuration_version: Callable[[], int] = lambda: 0  # in force at this scheduler
        self.schedulers = 0  # number of schedulers known to the control plane; 0: unknown
        self.selector = SourceSelector(
            settings.zone, FreshnessBudget(settings.bounds.config_propagation_ms), random
        )
        self.selector.zones = {address: "" for address in settings.seed_rpc_addresses()}
        self.source: Dialer | None = None
        self.monitors: dict[str, Dialer] = {}  # channels to monitors and to a process of the own zone
        self.next_heartbeat_at = float("-inf")
        self.leaving = False
        self._steps = 0
        self._confirmed = asyncio.Event()  # set and replaced each time the age of the state is confirmed

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        while True:
            self.step(self.clock())
            await asyncio.sleep(CHECK_INTERVAL_S)

    def step(self, now: float) -> None:
        """Check the source, send a heartbeat if due, and ping."""
        self._check_source(now)
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + HEARTBEAT_MS
            self.send_heartbeat()
        self._send_pings(now)

    def reseed(self, settings: ProcessSettings) -> None:
        """Use the seed nodes of new settings."""
        self.settings = settings
        for address in settings.seed_rpc_addresses():
            self.selector.zones.setdefault(address, "")

    # -- Age of the state ----------------------------------------------------------------------

    def age_ms(self) -> float:
        """The time since which this scheduler may lack acknowledged changes."""
        return self.selector.age(self.clock())

    def configuration_age_ms(self) -> float:
        """Like `age_ms`, for the configuration alone."""
        return self.selector.configuration_age(self.clock())

    def may_refuse(self) -> bool:
        """Whether the configuration is fresh enough to refuse permanently what it does not allow."""
        return self.configuration_age_ms() <= self.selector.budget.max_refusal_age_ms

    async def wait_until_fresh(self, max_wait_s: float) -> None:
        """Wait until the configuration is fresh enough for a refusal, or until the time is over."""
        loop = asyncio.get_running_loop()
        until = loop.time() + max_wait_s
        while not self.may_refuse() and loop.time() < until:
            try:
                async with asyncio.timeout_at(until):
                    await self._confirmed.wait()
            except TimeoutError:
                return

    # -- Monitors ------------------------------------------------------------------------------

    def leave(self) -> None:
        """Notify the monitors that this scheduler is leaving."""
        self.leaving = True
        self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Send a heartbeat to the monitors, and update the channels to them."""
        monitor_addresses = monitors(self.settings.node_name, self.selector.zones)
        candidate = self.selector.own_zone_candidate()
        wanted = {*monitor_addresses, candidate} if candidate is not None else set(monitor_addresses)
        for address in sorted(wanted):
            if address not in self.monitors and address != self.selector.address:
                self.monitors[address] = self._dialer(address)
        for address in [a for a in self.monitors if a not in wanted]:
            self.monitors.pop(address).stop()
        frame = pb.Frame(scheduler_heartbeat=self._heartbeat_message())
        for address in monitor_addresses:
            if self.source is not None and self.selector.address == address:
                self.source.send(frame)
            elif address in self.monitors:
                self.monitors[address].send(frame)

    def _heartbeat_message(self) -> pb.SchedulerHeartbeat:
        message = pb.SchedulerHeartbeat(
            node=self.settings.node_name, zone=self.settings.zone, leaving=self.leaving
        )
        message.peer_address = self.settings.peer_address
        message.loads.extend(self.loads(self.clock()))
        message.configuration_version = self.configuration_version()
        message.configuration_age_ms = ceil(min(self.configuration_age_ms(), MAX_AGE_MS))
        return message

    def _send_pings(self, now: float) -> None:
        """Ping the source, and the other channels at some steps or if the own state is old."""
        self._steps += 1
        frame = pb.Frame(ping=pb.Ping(sent_at_ms=int(now)))
        if self.source is not None:
            self.source.send(frame)
        if self._steps % MONITOR_PING_STEPS == 0 or self.selector.is_stale(now):
            for dialer in self.monitors.values():
                dialer.send(frame)

    # -- Source --------------------------------------------------------------------------------

    def _check_source(self, now: float) -> None:
        reachable = self.source is not None and self.source.channel is not None
        previous, age = self.selector.address, self.selector.age(now)
        change = self.selector.select(now, reachable)
        if change is None:
            return
        if change.reason is not None:
            offsets = ", ".join(f"{group} {index}" for group, index in sorted(self.offsets.items()))
            logging.info(
                "feed: leaving source %s: %s; state %d ms old; offsets %s; next source %s",
                previous,
                change.reason.value,
                min(age, 1e9),
                offsets or "none",
                change.address,
            )
        self._follow(change)

    def _follow(self, change: SourceChange) -> None:
        """Follow another source, over a channel that is already open if there is one."""
        if self.source is not None:
            self.source.stop()
        self.source = self.monitors.pop(change.address, None)
        if self.source is None:
            self.source = self._dialer(change.address)
        elif self.source.channel is not None:
            self._subscribe(self.source.channel)

    def _dialer(self, address: str) -> Dialer:
        return Dialer(address, self._handle_frame, self._channel_opened, bind_ip=self.settings.bind_ip)

    def _channel_opened(self, channel: Channel) -> None:
        """Subscribe if this is the source; send a heartbeat at once if it is a monitor."""
        if channel.label == self.selector.address:
            self._subscribe(channel)
        if channel.label in monitors(self.settings.node_name, self.selector.zones) and not self.leaving:
            channel.send(pb.Frame(scheduler_heartbeat=self._heartbeat_message()))

    def _subscribe(self, channel: Channel) -> None:
        request = pb.Subscribe(node=self.settings.node_name, zone=self.settings.zone)
        for group, index in self.offsets.items():
            request.offsets.add(group=group, index=index)
        channel.send(pb.Frame(subscribe=request))
        channel.send(pb.Frame(ping=pb.Ping(sent_at_ms=int(self.clock()))))

    # -- Received frames -----------------------------------------------------------------------

    def _handle_frame(self, channel: Channel, frame: pb.Frame) -> None:
        from_source = self.source is not None and channel is self.source.channel
        match frame.WhichOneof("body"):
            case "pong" if frame.pong.sent_at_ms:  # without it, a reply to a keep-alive ping of the channel
                self._handle_pong(channel, frame.pong, from_source)
            case "update" if from_source:
                self._handle_update(frame.update)
            case "feed_heartbeat" if from_source:
                self._handle_source_heartbeat(frame.feed_heartbeat)

    def _handle_pong(self, channel: Channel, pong: pb.Pong, from_source: bool) -> None:
        sent_at = float(pong.sent_at_ms)
        ages = pong.state_age_ms, pong.configuration_age_ms
        self.selector.reported(self.clock(), channel.label, sent_at, *ages)
        if from_source and pong.follows:
            self.selector.caught_up(sent_at, *ages)
            self._confirmed.set()
            self._confirmed = asyncio.Event()
        if self.selector.is_stale(self.clock()):
            # the new report may show a better source: do not wait for the next step
            self._check_source(self.clock())

    def _handle_update(self, update: pb.FeedUpdate) -> None:
        if update.index < self.offsets.get(update.group, 0) or (
            update.index == self.offsets.get(update.group) and not update.snapshot
        ):
            return
        self.offsets[update.group] = update.index
        self.on_update(update.group, update.snapshot, update.payload)

    def _handle_source_heartbeat(self, heartbeat: pb.FeedHeartbeat) -> None:
        self.schedulers = heartbeat.schedulers
        if heartbeat.peers_told:
            self.on_peers(list(heartbeat.peers))
        if heartbeat.core:
            zones = {core.rpc_address: core.zone for core in heartbeat.core}
            for address in self.settings.seed_rpc_addresses():
                zones.setdefault(address, "")
            self.selector.zones = zones
