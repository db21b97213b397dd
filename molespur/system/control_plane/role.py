"""The control-plane role: one process that hosts replicas, serves the feed and the HTTP interface."""

import asyncio
import time
from random import Random

from absl import logging

from ..early_listener import RPC_BUFFERS, open_listener
from ..feed.source import FeedSource
from ..inbound.connections import client_connections, peer_connections
from ..inbound.figures import connection_metrics, memory_metrics
from ..inbound.memory import MemoryBudget, budget_bytes
from ..membership.announcements import Announcement, AnnouncementSchedule
from ..membership.schedulers import SchedulerMonitor
from ..metrics import Metric
from ..rpc import molespur_pb2 as pb
from ..rpc.channel import Channel
from ..rpc.peer_calls import PeerCalls
from ..settings.process import ProcessSettings
from ..shards.configuration import ConfigurationStateMachine
from ..shards.host import ReplicaHost
from ..shards.placement import CONFIGURATION, WORKER_GROUPS
from ..signals import (
    SettingsWatch,
    create_stop_event,
    import_in_steps,
    raise_on_unexpected_end,
    run_until_stopped,
)
from ..storage.store import Store
from ..storage.writer import DiskWriter
from ..workers.directory import WorkerDirectory
from .calls import ControlCalls
from .figures import metrics
from .orders import PhaseOrders

RPC_BACKLOG = 100  # connections that wait to be accepted, and that are accepted at once
PERIODIC_WORK_S = 0.1
HEARTBEAT_CHECK_S = 0.3


def clock() -> float:
    """Milliseconds on the monotonic clock."""
    return time.monotonic() * 1000.0


class ControlPlane:
    """A control-plane process, assembled from its components."""

    def __init__(self, settings: ProcessSettings):
        self.settings = settings
        store = Store(settings.data_directory or "/tmp/molespur-control")
        machines = {CONFIGURATION: ConfigurationStateMachine()}
        machines.update({name: WorkerDirectory() for name in WORKER_GROUPS})
        self.host = ReplicaHost(settings, store, machines, clock, Random())
        self.peer_calls = PeerCalls(self.host.dialers.get)
        self.schedulers = SchedulerMonitor(clock())
        self.calls = ControlCalls(
            self.host, self.peer_calls, clock, settings.heartbeat_interval_ms, self.schedulers
        )
        self.feed = FeedSource(self.host, clock, self.calls.read_barrier)
        self.orders = PhaseOrders(settings, self.host, self.calls, self.schedulers, clock)
        self.memory = MemoryBudget(budget_bytes(settings.limits.memory_mb))
        self.connections = client_connections(self.memory, settings.limits.max_open_files)
        self.peer_connections = peer_connections(self.memory, settings.limits.max_open_files)
        self.channels: set[Channel] = set()
        self.announcements = AnnouncementSchedule()
        self.host.on_change = self.feed.changed
        self.host.on_restore = self.feed.restored
        self.host.on_role_change = self._role_changed
        self.host.on_frame = self._handle_frame
        self._tasks: set[asyncio.Task] = set()

    def metrics(self) -> list[Metric]:
        """The current metrics."""
        failed_writes = self.host.writer.failures if self.host.writer is not None else 0
        own = metrics(
            self.host,
            self.feed,
            self.schedulers,
            self.orders.outcomes,
            self.orders.hold_counts(),
            failed_writes,
            clock(),
        )
        return own + memory_metrics(self.memory) + connection_metrics(self.connections)

    async def run(self) -> None:
        """Serve until a stop is requested."""
        stop = create_stop_event()
        loop = asyncio.get_running_loop()
        watch = SettingsWatch(self.host.reseed)
        ended = asyncio.Event()
        background = (self.host.run(), self._run_periodic_work(), watch.run())
        self.host.set_writer(DiskWriter(self.host.store, self.host.handle_written))
        listener = await loop.create_server(
            self._accept,
            sock=open_listener(f"{self.settings.local_ip}:{self.settings.rpc_port}", RPC_BUFFERS),
            backlog=RPC_BACKLOG,
        )
        http_stop = asyncio.Event()
        http = loop.create_task(self._serve(http_stop))
        logging.info("control plane %s: replica %s", self.settings.node_name, self.host.replica_id)
        leaving = loop.create_task(self._leave(stop, http_stop, ended, http))
        await run_until_stopped(ended, *background, raise_on_unexpected_end(http, http_stop))
        await leaving
        listener.close()

    async def _serve(self, http_stop: asyncio.Event) -> None:
        http = await import_in_steps("molespur.system.control_plane.http")
        app = http.bounded_app(self.calls, self.metrics, self.memory)
        await http.serve(app, self.settings.listen["ControlPlane"], http_stop, self.connections)

    async def _leave(self, stop, http_stop, ended, http) -> None:
        """Wait for a stop request, then hand over leadership and end."""
        await stop.wait()
        logging.info("stopping")
        await self.host.stop()
        http_stop.set()
        await http
        ended.set()

    def _accept(self) -> Channel:
        channel = Channel(self._handle_frame, self._channel_closed, self.peer_connections.admit)
        self.channels.add(channel)
        return channel

    def _channel_closed(self, channel: Channel) -> None:
        self.channels.discard(channel)
        self.feed.channel_closed(channel)

    def _role_changed(self, group: str) -> None:
        if self.host.is_leader(group):
            self.calls.became_owner(group)
            self.orders.became_owner(group)

    def _handle_frame(self, channel: Channel, frame: pb.Frame) -> None:
        match frame.WhichOneof("body"):
            case "consensus":
                self.host.receive(frame.consensus)
            case "join":
                self.host.membership.handle_join_request(frame.join)
            case "subscribe":
                channel.label = frame.subscribe.node
                self.feed.subscribe(channel, frame.subscribe)
                self._send_feed_heartbeat()
            case "scheduler_heartbeat":
                if self.schedulers.heartbeat(clock(), frame.scheduler_heartbeat):
                    self.announcements.scheduler_joined()
            case "monitor_report":
                if self.schedulers.report(clock(), frame.monitor_report):
                    self.announcements.scheduler_reported()
            case "call":
                task = asyncio.get_running_loop().create_task(self.calls.reply_to(channel, frame.call))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            case "reply":
                self.peer_calls.handle_reply(channel.label, frame.reply)
            case "ping":
                channel.send(pb.Frame(pong=self.feed.pong(channel, frame.ping)))
            case "leave_request":
                reply = self.host.membership.handle_leave_request(frame.leave_request)
                if reply.groups:
                    channel.send(pb.Frame(leave_reply=reply))
            case "leave_reply":
                self.host.leaving.handle_leave_reply(frame.leave_reply)

    def _send_feed_heartbeat(self) -> None:
        now = clock()
        self.feed.send_heartbeat(self.schedulers.alive(now), self.schedulers.count(now))

    def _announce(self, announcement: Announcement, now: float) -> None:
        if announcement is Announcement.FEED_HEARTBEAT:
            self._send_feed_heartbeat()
            return
        report = pb.MonitorReport(alive=self.schedulers.next_report(now))
        self.host.broadcast(pb.Frame(monitor_report=report))

    async def _run_periodic_work(self) -> None:
        """Announcements, pending followers of the feed, checks of worker heartbeats, orders to workers."""
        last_check_at = 0.0
        while True:
            await asyncio.sleep(PERIODIC_WORK_S)
            now = clock()
            self.feed.start_pending_groups()
            for announcement in self.announcements.take_due(now):
                self._announce(announcement, now)
            if now - last_check_at >= HEARTBEAT_CHECK_S * 1000:
                last_check_at = now
                await self.calls.check_heartbeats()
                self.orders.send_due_orders(now)
