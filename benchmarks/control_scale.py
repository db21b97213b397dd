"""Scale run of the control plane: real control-plane processes before hollow schedulers and workers.

    python -m benchmarks.control_scale [--sizes 50,100,200] [--seconds 10]

Three real processes at loopback addresses of their own; all hollow schedulers (feed followers without
clients) and hollow workers (heartbeats without requests) share this process.  For each size, a number of
schedulers with twice as many workers, it prints a line for each control process: processor time as a share
of one core, resident memory, bytes a second to and from the hollow processes; then how long a change of
configuration took to reach every scheduler.  Bounded: each size ends after its seconds.
"""

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

import httpx
import yaml

from molespur.system.feed.follower import FeedFollower
from molespur.system.rpc import channel as channels
from molespur.system.rpc.channel import Channel
from molespur.system.settings.process import ProcessSettings, parse
from molespur.system.shards.placement import CONFIGURATION

CONTROL = ("127.0.11.1", "127.0.11.2", "127.0.11.3")
HTTP_PORT, RPC_PORT = 18046, 18060
HEARTBEAT_S = 1.2
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
ROUTES = 24
SETTLE_S = 4.0

received: Counter = Counter()  # control process -> bytes that hollow schedulers got


def clock() -> float:
    """Milliseconds on the steady clock."""
    return time.monotonic() * 1000.0


class CountedChannel(Channel):
    """A channel that counts what arrives."""

    def data_received(self, data: bytes) -> None:
        received[self.label.partition(":")[0]] += len(data)
        super().data_received(data)


def settings_file(folder: Path, number: int, address: str) -> Path:
    """Settings of one control process."""
    settings = {
        "NodeName": f"core-{number}",
        "Ip": address,
        "Zone": f"zone-{number}",
        "PortRange": [RPC_PORT, RPC_PORT + 15],
        "SeedNodes": [f"{a}:{HTTP_PORT}" for a in CONTROL],
        "Listen": {"ControlPlane": f"{address}:{HTTP_PORT}"},
        "Bootstrap": True,
        "DataDirectory": str(folder / f"disk-{number}"),
        "HeartbeatIntervalMs": HEARTBEAT_S * 1000,
    }
    path = folder / f"core-{number}.yaml"
    path.write_text(yaml.safe_dump(settings))
    return path


def scheduler_settings(number: int) -> ProcessSettings:
    """Settings of one hollow scheduler."""
    return parse(
        yaml.safe_dump(
            {
                "NodeName": f"edge-{number}",
                "Ip": "127.0.11.9",
                "Zone": f"zone-{number % 3}",
                "PortRange": [RPC_PORT, RPC_PORT + 15],
                "SeedNodes": [f"{a}:{HTTP_PORT}" for a in CONTROL],
            }
        )
    )


class HollowScheduler:
    """Follows the feed and sends heartbeats; serves nobody."""

    def __init__(self, number: int, random: Random):
        self.version = b""
        self.seen_at = 0.0
        self.follower = FeedFollower(scheduler_settings(number), clock, random, self._update, lambda _now: [])

    def _update(self, group: str, _snapshot: bool, payload: bytes) -> None:
        if group == CONFIGURATION:
            self.version, self.seen_at = payload, clock()


async def hollow_worker(number: int) -> None:
    """Sends heartbeats on a kept connection until cancelled."""
    body = json.dumps(
        {
            "Service": f"service-{number % 8}",
            "Address": f"127.1.{number // 250}.{number % 250 + 1}:8080",
            "Zone": f"zone-{number % 3}",
            "Version": "v1",
            "Capacity": 64,
            "State": "ready",
            "Phase": "decode",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
        }
    )
    await asyncio.sleep(HEARTBEAT_S * (number % 97) / 97)
    address = CONTROL[number % 3]
    sequence = 0
    while True:
        try:
            reader, writer = await asyncio.open_connection(address, HTTP_PORT)
            while True:
                sequence += 1
                with_sequence = body[:-1] + f', "Sequence": {sequence}}}'
                head = f"PUT /api/instances/i-{number} HTTP/1.1\r\nHost: c\r\n"
                head += f"Content-Type: application/json\r\nContent-Length: {len(with_sequence)}\r\n\r\n"
                writer.write((head + with_sequence).encode())
                answer = await reader.readuntil(b"\r\n\r\n")
                length = int(answer.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
                await reader.readexactly(length)
                await asyncio.sleep(HEARTBEAT_S)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            await asyncio.sleep(0.5)


def configuration(version: int) -> bytes:
    """A configuration of the size that the operators' deployments have."""
    routes = [
        {
            "Name": f"r{n}",
            "Host": "shop.example",
            "PathPrefix": f"/p{n}/",
            "TimeoutMs": 3000 + version,
            "Service": "s",
        }
        for n in range(ROUTES)
    ]
    return json.dumps({"Version": version, "Routes": routes, "Services": [{"Name": "s"}]}).encode()


async def put_configuration(version: int) -> None:
    """Put a configuration in force, following redirects and trying again until it is taken."""
    async with httpx.AsyncClient(follow_redirects=True, trust_env=False) as client:
        for attempt in range(40):
            with_base = {"If-Match": str(version - 1)}
            try:
                response = await client.put(
                    f"http://{CONTROL[attempt % 3]}:{HTTP_PORT}/api/config",
                    content=configuration(version),
                    headers=with_base,
                )
                if response.status_code == 200:
                    return
            except httpx.HTTPError:
                pass
            await asyncio.sleep(0.2)
    raise RuntimeError("the configuration was not taken")


def processor_seconds(pid: int) -> float:
    """Processor time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / 1e6


async def measure(schedulers: int, seconds: float) -> None:
    """One size, with fresh control processes."""
    workers = 2 * schedulers
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        processes = []
        for number, address in enumerate(CONTROL):
            environment = {**os.environ, "MOLESPUR_SETTINGS": str(settings_file(folder, number, address))}
            processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "molespur", "control-plane", "--verbosity=-1", env=environment
                )
            )
        try:
            await asyncio.sleep(2.0)
            await put_configuration(1)
            hollow = [HollowScheduler(n, Random(n)) for n in range(schedulers)]
            tasks = [asyncio.create_task(h.follower.run()) for h in hollow]
            tasks += [asyncio.create_task(hollow_worker(n)) for n in range(workers)]
            await asyncio.sleep(SETTLE_S)
            await report(processes, hollow, workers, seconds)
            for task in tasks:
                task.cancel()
            for h in hollow:
                for dialer in [h.follower.source, *h.follower.monitors.values()]:
                    if dialer is not None:
                        dialer.stop()
        finally:
            for process in processes:
                process.send_signal(signal.SIGTERM)
            for process in processes:
                await process.wait()


async def report(processes, hollow: list[HollowScheduler], workers: int, seconds: float) -> None:
    """Measure for some seconds and print."""
    received.clear()
    before = [processor_seconds(p.pid) for p in processes]
    began = clock()
    await asyncio.sleep(seconds)
    took = (clock() - began) / 1000.0
    for address, process, earlier in zip(CONTROL, processes, before, strict=True):
        used = (processor_seconds(process.pid) - earlier) / took
        print(
            f"schedulers {len(hollow):4d} workers {workers:4d} {address}: {100 * used:5.1f}% of a core, "
            f"{resident_mb(process.pid):5.1f} MB, {received[address] / took / 1000:6.1f} KB/s to schedulers"
        )
    put_at = clock()
    await put_configuration(2)
    taken_at = clock()
    while not all(h.seen_at > put_at for h in hollow) and clock() - put_at < 10_000:
        await asyncio.sleep(0.005)
    reached = sum(h.seen_at > put_at for h in hollow)
    last = max((h.seen_at for h in hollow), default=taken_at)
    print(f"  a change: taken after {taken_at - put_at:.0f} ms, at {reached} of {len(hollow)}", end=" ")
    print(f"after {last - put_at:.0f} ms")


def main() -> None:
    """Measure each size."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", default="25,50,100,200")
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    channels.Channel = CountedChannel
    for size in options.sizes.split(","):
        asyncio.run(measure(int(size), options.seconds))


if __name__ == "__main__":
    main()
