"""A whole site on one machine: a stand-in registry, registered workers, one real scheduler's process."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import trio

from ..net.wheel import Wheel
from ..registry.consul import Consul
from ..registry.etcd import Etcd
from .jobs import SETTINGS
from .registry import Registry
from .workers import Worker

PREFIX = "molespur/workers/"


def free_port() -> int:
    """A port that was free just now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Site:
    """Built up step by step inside a nursery."""

    def __init__(self, nursery, kind: str = "etcd", members: int = 3, ttl_s: int = 5):
        self.nursery, self.kind, self.ttl_s = nursery, kind, ttl_s
        self.registry, self.wheel = Registry(members), Wheel(4.0)
        self.places: list[tuple[str, int]] = []
        self.workers: list[Worker] = []

    async def start_registry(self) -> None:
        self.nursery.start_soon(self.wheel.run)
        self.places = await self.nursery.start(self.registry.listen)

    async def start_worker(self, **more) -> Worker:
        """A worker that registers itself."""
        worker = Worker(**more)
        self.workers.append(worker)
        await self.nursery.start(worker.run)
        protocol = Etcd(PREFIX) if self.kind == "etcd" else Consul(PREFIX)
        worker.register(protocol, self.places, PREFIX, self.wheel, self.ttl_s)
        return worker

    async def start_scheduler(self, folder: str, *flags: str) -> "Scheduler":
        """A real scheduler, up."""
        endpoints = ",".join("{}:{}".format(*place) for place in self.places)
        flags = ("--cluster-source", self.kind, "--registry-endpoints", endpoints, *flags)
        scheduler = Scheduler(folder, flags)
        await scheduler.up()
        return scheduler


class Scheduler:
    """One scheduler's process."""

    def __init__(self, folder: str, flags: tuple[str, ...]):
        self.address = ("127.0.0.1", free_port())
        given = {"name": "n1", "listen": "{}:{}".format(*self.address), "settings": SETTINGS}
        path = Path(tempfile.mkdtemp(dir=folder)) / "config.json"
        path.write_text(json.dumps(given))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "MOLESPUR_"))}
        self.log = open(path.with_name("log"), "w+")  # noqa: SIM115 (closed when it ends)
        command = [sys.executable, "-m", "molespur", "serve", "--log-format", "json", *flags]
        root = Path(__file__).parents[2]
        env |= {"LB_CONFIG": str(path), "PYTHONPATH": str(root)}
        self.process = subprocess.Popen(command, cwd=folder, env=env, stderr=self.log)

    async def up(self) -> None:
        """Until it answers; raises RuntimeError with its log if it ends instead."""
        with trio.fail_after(30):
            while True:
                if self.process.poll() is not None:
                    raise RuntimeError(f"the scheduler ended: {self.text()[-2000:]}")
                try:
                    stream = await trio.open_tcp_stream(*self.address)
                    await stream.aclose()
                    return
                except OSError:
                    await trio.sleep(0.05)

    def text(self) -> str:
        """Its log so far."""
        self.log.flush()
        return Path(self.log.name).read_text()

    def cpu_s(self) -> float:
        """CPU that it has used, seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def stop(self) -> dict:
        """End it in order; give its counters."""
        self.process.send_signal(signal.SIGTERM)
        with trio.move_on_after(20) as late:
            while self.process.poll() is None:
                await trio.sleep(0.05)
        if late.cancelled_caught:
            self.process.kill()
        self.process.wait()
        lines = [line for line in self.text().splitlines() if line.startswith("counters n1 ")]
        self.log.close()
        return json.loads(lines[-1].removeprefix("counters n1 ")) if lines else {}
