"""The data plane's end of the feed: follows one control-plane process, and another when its state grows old.

What it has of a group never goes back to a lower offset.
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
from .budget import LOOK_MS, FreshnessBudget
from .sources import SourceChoice, Turn

WATCH_S = LOOK_MS / 1000.0
HEARTBEAT_MS = 600.0
MOST_AGE_MS = 1e6  # told for any greater age, and where none is known
MONITOR_LOOKS = 2  # monitors are asked for their age at each so many looks, the source at each


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
        self.settings, self.clock = settings, clock
        self.on_update, self.loads = on_update, loads
        self.offsets: dict[str, int] = {}
        self.on_peers: Callable[[list[str]], None] = lambda _addresses: None
        self.configuration_version: Callable[[], int] = lambda: 0  # in force at this scheduler
        self.schedulers = 0  # how many the control plane knows of; 0: unknown
        self.choice = SourceChoice(
            settings.zone, FreshnessBudget(settings.bounds.config_propagation_ms), random
        )
        self.choice.zones = {address: "" for address in settings.seed_rpc_addresses()}
        self.source: Dialer | None = None
        self.monitors: dict[str, Dialer] = {}  # channels beside the source's: to those that are asked or told
        self.beat_at = float("-inf")
        self.leaving = False
        self._looks = 0
        self._confirmed = asyncio.Event()  # set and made anew with each word on the age of the own state

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            self.step(self.clock())
            await asyncio.sleep(WATCH_S)

    def step(self, now: float) -> None:
        """What is due now."""
        self._watch(now)
        if now >= self.beat_at:
            self.beat_at = now + HEARTBEAT_MS
            self.heartbeat()
        self._ask(now)

    def reseed(self, settings: ProcessSettings) -> None:
        """Other seeds are known from now on."""
        self.settings = settings
        for address in settings.seed_rpc_addresses():
            self.choice.zones.setdefault(address, "")

    # -- How old the state is ------------------------------------------------------------------

    def age_ms(self) -> float:
        """Time since which something may have been acknowledged that this scheduler lacks."""
        return self.choice.age(self.clock())

    def configuration_age_ms(self) -> float:
        """The same for the configuration alone."""
        return self.choice.configuration_age(self.clock())

    def may_refuse(self) -> bool:
        """Whether the configuration is so new that what it does not allow may be refused for good."""
        return self.configuration_age_ms() <= self.choice.budget.refuse_ms

    async def wait_until_fresh(self, max_wait_s: float) -> None:
        """Wait until the configuration is new enough for a refusal, or this long (s)."""
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
        """Tell the monitors that this scheduler is about to end."""
        self.leaving = True
        self.heartbeat()

    def heartbeat(self) -> None:
        """Tell the monitors that this scheduler lives."""
        wanted = monitors(self.settings.node_name, self.choice.zones)
        home = self.choice.home()
        watched = {*wanted, home} if home is not None else set(wanted)
        for address in sorted(watched):
            if address not in self.monitors and address != self.choice.address:
                self.monitors[address] = self._dialer(address)
        for address in [a for a in self.monitors if a not in watched]:
            self.monitors.pop(address).stop()
        frame = pb.Frame(scheduler_heartbeat=self._beat())
        for address in wanted:
            if self.source is not None and self.choice.address == address:
                self.source.send(frame)
            elif address in self.monitors:
                self.monitors[address].send(frame)

    def _beat(self) -> pb.SchedulerHeartbeat:
        beat = pb.SchedulerHeartbeat(
            node=self.settings.node_name, zone=self.settings.zone, leaving=self.leaving
        )
        beat.peer_address = self.settings.peer_address
        beat.loads.extend(self.loads(self.clock()))
        beat.configuration_version = self.configuration_version()
        beat.configuration_age_ms = ceil(min(self.configuration_age_ms(), MOST_AGE_MS))
        return beat

    def _ask(self, now: float) -> None:
        """Ask for the age of the state:

        the source each time, the others now and then, and when it matters.
        """
        self._looks += 1
        frame = pb.Frame(ping=pb.Ping(sent_at_ms=int(now)))
        if self.source is not None:
            self.source.send(frame)
        if self._looks % MONITOR_LOOKS == 0 or self.choice.is_old(now):
            for dialer in self.monitors.values():
                dialer.send(frame)

    # -- The source ----------------------------------------------------------------------------

    def _watch(self, now: float) -> None:
        reachable = self.source is not None and self.source.channel is not None
        left, age = self.choice.address, self.choice.age(now)
        turn = self.choice.look(now, reachable)
        if turn is None:
            return
        if turn.reason is not None:
            offsets = ", ".join(f"{group} {index}" for group, index in sorted(self.offsets.items()))
            logging.info("feed: leaving %s: %s; state %d ms old; offsets %s; next %s",
                         left, turn.reason.value, min(age, 1e9), offsets or "none", turn.address)  # fmt: skip
        self._follow(turn)

    def _follow(self, turn: Turn) -> None:
        """Follow another source, over a channel that is open where there is one."""
        if self.source is not None:
            self.source.stop()
        self.source = self.monitors.pop(turn.address, None)
        if self.source is None:
            self.source = self._dialer(turn.address)
        elif self.source.channel is not None:
            self._subscribe(self.source.channel)

    def _dialer(self, address: str) -> Dialer:
        return Dialer(address, self._frame, self._opened, bind_ip=self.settings.bind_ip)

    def _opened(self, channel: Channel) -> None:
        """A channel is open: follow the source, and let a monitor know at once of this scheduler."""
        if channel.label == self.choice.address:
            self._subscribe(channel)
        if channel.label in monitors(self.settings.node_name, self.choice.zones) and not self.leaving:
            channel.send(pb.Frame(scheduler_heartbeat=self._beat()))

    def _subscribe(self, channel: Channel) -> None:
        request = pb.Subscribe(node=self.settings.node_name, zone=self.settings.zone)
        for group, index in self.offsets.items():
            request.offsets.add(group=group, index=index)
        channel.send(pb.Frame(subscribe=request))
        channel.send(pb.Frame(ping=pb.Ping(sent_at_ms=int(self.clock()))))

    # -- What is heard -------------------------------------------------------------------------

    def _frame(self, channel: Channel, frame: pb.Frame) -> None:
        from_source = self.source is not None and channel is self.source.channel
        match frame.WhichOneof("body"):
            case "pong" if frame.pong.sent_at_ms:  # else an answer to the channel's own question
                self._pong(channel, frame.pong, from_source)
            case "update" if from_source:
                self._update(frame.update)
            case "feed_heartbeat" if from_source:
                self._source_heartbeat(frame.feed_heartbeat)

    def _pong(self, channel: Channel, pong: pb.Pong, from_source: bool) -> None:
        sent_at = float(pong.sent_at_ms)
        ages = pong.state_age_ms, pong.configuration_age_ms
        self.choice.reported(self.clock(), channel.label, sent_at, *ages)
        if from_source and pong.follows:
            self.choice.told_everything(sent_at, *ages)
            self._confirmed.set()
            self._confirmed = asyncio.Event()
        if self.choice.is_old(self.clock()):
            self._watch(
                self.clock()
            )  # what was just said may name a better source: no need to wait for a look

    def _update(self, update: pb.FeedUpdate) -> None:
        if update.index < self.offsets.get(update.group, 0) or (
            update.index == self.offsets.get(update.group) and not update.snapshot
        ):
            return
        self.offsets[update.group] = update.index
        self.on_update(update.group, update.snapshot, update.payload)

    def _source_heartbeat(self, beat: pb.FeedHeartbeat) -> None:
        self.schedulers = beat.schedulers
        if beat.peers_told:
            self.on_peers(list(beat.peers))
        if beat.core:
            zones = {core.rpc_address: core.zone for core in beat.core}
            for address in self.settings.seed_rpc_addresses():
                zones.setdefault(address, "")
            self.choice.zones = zones
