"""A control plane of a single process for tests, with a manual clock and synchronous disk writes."""

import asyncio
from collections import Counter
from random import Random

from molespur.system.control_plane.calls import ControlCalls
from molespur.system.control_plane.figures import metrics
from molespur.system.control_plane.http import create_app
from molespur.system.feed.source import FeedSource
from molespur.system.membership.schedulers import SchedulerMonitor
from molespur.system.rpc.peer_calls import PeerCalls
from molespur.system.settings.process import ProcessSettings
from molespur.system.shards.configuration import ConfigurationStateMachine
from molespur.system.shards.host import ReplicaHost
from molespur.system.shards.placement import CONFIGURATION, WORKER_GROUPS
from molespur.system.storage.store import Store
from molespur.system.workers.directory import WorkerDirectory


async def end_tasks(tasks):
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class PowerLoss(Exception):
    """Simulates a loss of power at the place where it is raised."""


class InlineWriter:
    """Writes to the disk synchronously."""

    def __init__(self, host):
        self.host = host

    def write(self, group, record):
        self.host.store.write([(group, record)])
        self.host.handle_written(group, record)

    def stop(self):
        pass


class OneControlPlane:
    """The only process of a control plane; its folder survives restarts."""

    def __init__(self, folder):
        self.folder, self.now, self.bootstrap = folder, 0.0, True
        self.loop = asyncio.new_event_loop()
        self.start()

    def start(self):
        settings = ProcessSettings(
            "core-1",
            "10.0.0.1",
            "a",
            (7000, 7010),
            ("10.0.0.1:80",),
            listen={"ControlPlane": "10.0.0.1:80"},
            bootstrap=self.bootstrap,
        )
        machines = {CONFIGURATION: ConfigurationStateMachine()}
        machines.update({name: WorkerDirectory() for name in WORKER_GROUPS})
        self.host = ReplicaHost(settings, Store(self.folder), machines, lambda: self.now, Random(1))
        self.host.set_writer(InlineWriter(self.host))
        self.calls = ControlCalls(
            self.host, PeerCalls(self.host.dialers.get), lambda: self.now, 1000.0, SchedulerMonitor()
        )
        self.host.on_role_change = lambda group: self.host.is_leader(group) and self.calls.became_owner(group)
        self.client = create_app(self.calls, self.metrics).test_client()
        self.changes = []  # (group, index, payload) of all changes since the start
        self.host.on_change = lambda group, index, payload: self.changes.append((group, index, payload))
        self.pass_time(3000.0)

    def metrics(self):
        orders = Counter({("prefill", "202"): 2})
        holds = Counter({("s", "on-target"): 5})
        return metrics(self.host, self.feed_source(), SchedulerMonitor(), orders, holds, 3, self.now)

    def feed_source(self):
        """A feed source on this process."""
        return FeedSource(self.host, lambda: self.now, self.calls.read_barrier)

    def subscribe(self, source, channel, request):
        """Add a follower, and let its pending groups be confirmed."""
        self._in_loop(lambda: source.subscribe(channel, request))

    def start_pending_groups(self, source):
        """Start the groups that could not be started for followers before."""
        self._in_loop(source.start_pending_groups)

    def _in_loop(self, function):
        async def call_and_yield():
            function()
            for _ in range(5):
                await asyncio.sleep(0)

        self.loop.run_until_complete(call_and_yield())

    def pass_time(self, ms):
        """Advance the clock in steps of 50 ms."""
        until = self.now + ms
        while self.now < until:
            self.now += 50.0
            self.host.tick()

    def lose_power(self):
        """End the process abruptly and restart it on its disk."""
        self.host.store.close()
        self.bootstrap = False
        self.start()

    def call(self, method, path, body=b"", **headers):
        """Make one HTTP call; return (status, body)."""

        async def send_request():
            fields = {key.replace("_", "-"): value for key, value in headers.items()}
            response = await self.client.open(path, method=method, data=body, headers=fields)
            return response.status_code, await response.get_data()

        return self.loop.run_until_complete(send_request())

    def put(self, body, base):
        return self.call("PUT", "/api/config", body, If_Match=str(base))

    def check_heartbeats(self):
        """Check for workers with missing heartbeats."""
        self.loop.run_until_complete(self.calls.check_heartbeats())

    def close(self):
        for dialer in self.host.dialers.values():
            dialer.stop()
        self.loop.run_until_complete(end_tasks(asyncio.all_tasks(self.loop)))
        self.host.store.close()
        self.loop.close()
