"""Hollow schedulers and workers: they speak with the control plane as real ones do, and serve nobody."""

import asyncio
import json
import time
from collections.abc import Iterable
from random import Random

from molespur.system.feed.follower import FeedFollower
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION, GROUPS

from .layout import HEARTBEAT_S, HTTP_PORT, ZONES, Layout, control_ip, zone

SERVICES = 8
REDIAL_S = 0.5
SPREAD = 97  # parts of a heartbeat's interval at which workers begin


def clock() -> float:
    """Milliseconds on the steady clock."""
    return time.monotonic() * 1000.0


class HollowScheduler:
    """Follows the feed and sends heartbeats; notes when it learnt what."""

    def __init__(self, layout: Layout, number: int):
        self.number, self.random = number, Random(number)
        self.layout = layout
        self.zone = zone(number)
        self.version, self.version_at = 0, 0.0
        self.states: dict[str, tuple[int, float]] = {}  # worker -> (state, when it was told)
        self.groups: dict[str, float] = {}  # shard -> when its first state came
        self.received_bytes = 0
        self.follower: FeedFollower | None = None
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to follow, knowing nothing."""
        self.groups, self.states = {}, {}
        settings = self.layout.hollow_settings(self.number)
        self.follower = FeedFollower(settings, clock, self.random, self._update, self._loads)
        self._task = asyncio.get_running_loop().create_task(self.follower.run())

    def stop(self) -> None:
        """End without a word."""
        if self._task is None:
            return
        self._task.cancel()
        self._task = None
        for dialer in [self.follower.source, *self.follower.monitors.values()]:
            if dialer is not None:
                dialer.stop()

    def whole_at(self) -> float:
        """When the last shard's first state came; infinity before."""
        return max(self.groups.values()) if len(self.groups) == len(GROUPS) else float("inf")

    def _loads(self, _now: float) -> list[pb.ServiceLoad]:
        return [pb.ServiceLoad(service=f"service-{n}", read_tokens_per_s=2.0, running=1) for n in range(2)]

    def _update(self, group: str, _snapshot: bool, payload: bytes) -> None:
        now = clock()
        self.received_bytes += len(payload)
        self.groups.setdefault(group, now)
        if group == CONFIGURATION:
            self.version, self.version_at = pb.ConfigurationState.FromString(payload).version, now
            return
        for worker in pb.WorkerSet.FromString(payload).workers:
            known = self.states.get(worker.id)
            if known is None or known[0] != worker.state:
                self.states[worker.id] = (worker.state, now)


class HollowWorker:
    """Sends heartbeats on a kept connection."""

    def __init__(self, layout: Layout, number: int):
        self.id, self.zone = f"i-{number}", zone(number)
        self.last_beat = 0.0
        self._layout, self._number, self._sequence = layout, number, 0
        self._task: asyncio.Task | None = None
        self._body = {
            "Service": f"service-{number % SERVICES}",
            "Address": f"127.1.{number // 250}.{number % 250 + 1}:8080",
            "Zone": self.zone,
            "Version": "v1",
            "Capacity": 64,
            "State": "ready",
            "Phase": "prefill" if number // SERVICES % 5 < 3 else "decode",  # as planned before traffic
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
        }

    def start(self) -> None:
        """Begin to send."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Fall silent."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        await asyncio.sleep(HEARTBEAT_S * (self._number % SPREAD) / SPREAD)
        tries = self._number // ZONES
        while True:
            try:
                await self._send_to(control_ip(tries % self._layout.control))
            except (OSError, asyncio.IncompleteReadError, ValueError):
                tries += 1
                await asyncio.sleep(REDIAL_S)

    async def _send_to(self, ip: str) -> None:
        """Heartbeats to one process, until it answers none."""
        reader, writer = await asyncio.open_connection(ip, HTTP_PORT)
        try:
            while True:
                await asyncio.wait_for(self._beat(reader, writer), 1.0)
                await asyncio.sleep(HEARTBEAT_S)
        finally:
            writer.close()

    async def _beat(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._sequence += 1
        body = json.dumps({**self._body, "Sequence": self._sequence})
        head = (
            f"PUT /api/instances/{self.id} HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write((head + body).encode())
        answer = await reader.readuntil(b"\r\n\r\n")
        length = int(answer.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        await reader.readexactly(length)
        if answer.startswith(b"HTTP/1.1 2"):
            self.last_beat = clock()


def in_zone(parts: Iterable, name: str) -> list:
    """The hollow ones of a zone."""
    return [part for part in parts if part.zone == name]
