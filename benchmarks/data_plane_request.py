"""Processor time of the data plane for a request.

    python -m benchmarks.data_plane_request [--requests 600] [--profile FILE]

One real control-plane and one real data-plane process on loopback; this process plays a prefill, a decode and
a plain worker, and the clients.  Prints ms of the data plane's processor time for a plain request and
for a pair (a prefill call, then a stream of 25 events), less what it spends while idle.
"""

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

import httpx
import yaml

from .process_figures import processor_seconds

CONTROL, EDGE, WORKERS = "127.0.13.1", "127.0.13.2", "127.0.13.3"
HTTP_PORT, RPC_PORT, FRONTEND, READINESS = 17046, 17060, 17044, 17040
EVENTS = 25
CLIENTS = 6
IDLE_S = 3.0
PROMPT = b"Molespur-Model: m\r\nMolespur-Token-Usage: 9000,80\r\nMolespur-Prompt-Prefix: aa:6000,bb:3000\r\n"


def settings(name: str, address: str, folder: Path) -> dict:
    """Settings of one process."""
    return {
        "NodeName": name,
        "Ip": address,
        "Zone": "a",
        "PortRange": [RPC_PORT, RPC_PORT + 15],
        "SeedNodes": [f"{CONTROL}:{HTTP_PORT}"],
        "Listen": {
            "ControlPlane": f"{address}:{HTTP_PORT}",
            "Frontend": f"{address}:{FRONTEND}",
            "Readiness": f"{address}:{READINESS}",
        },
        "Bootstrap": True,
        "DataDirectory": str(folder / "disk"),
        "HeartbeatIntervalMs": 1000,
    }


def configuration() -> bytes:
    """One route for streams of model workers, one for plain requests."""
    engine = {"Capacity": 64, "KvCapacityTokens": 400_000, "KvTokenBytes": 18_432, "BandwidthMbps": 550_000}
    stream = {"Name": "stream", "Host": "h", "PathPrefix": "/s/", "Type": "streaming", "Service": "model"}
    plain = {
        "Name": "plain",
        "Host": "h",
        "PathPrefix": "/p/",
        "Type": "non_idempotent",
        "Service": "records",
    }
    services = [
        {"Name": "model", "MaxConnections": 400, "Engine": engine},
        {"Name": "records", "MaxConnections": 400},
    ]
    return json.dumps({"Version": 1, "Routes": [stream, plain], "Services": services}).encode()


async def worker(reader, writer) -> None:
    """Any worker: answers by what the request asks for."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            named = {}
            for line in head.split(b"\r\n")[1:]:
                key, _, value = line.partition(b":")
                named[key.lower()] = value.strip()
            await reader.readexactly(int(named.get(b"content-length", b"0")))
            stamp = b"Molespur-Attempt-Id: %s\r\nMolespur-Server-Stamp: s\r\n" % named.get(
                b"molespur-attempt-id", b""
            )
            if head.startswith(b"GET"):
                write_whole(writer, b'{"Phase":"decode","Active":0,"Queued":0,"KvUsed":0,"KvTotal":1}', b"")
            elif b"molespur-serving-phase" in named:
                write_whole(writer, b'{"PrefillHandle":"abc","Tokens":1,"Version":1}', stamp)
            elif head.startswith(b"POST /s/"):
                await write_events(writer, stamp)
            else:
                write_whole(writer, b"x" * 800, stamp)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def write_whole(writer, body: bytes, stamp: bytes) -> None:
    """An answer with a length."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s\r\n"
    writer.write(head % (len(body), stamp) + body)


async def write_events(writer, stamp: bytes) -> None:
    """A stream, each event in a write of its own."""
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s\r\n" % stamp
    )
    for number in range(EVENTS):
        event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 60)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.002)
    writer.write(b"0\r\n\r\n")


async def register(stop: asyncio.Event) -> None:
    """Heartbeats of all three workers."""
    known = [("p", "model", "prefill", 1), ("d", "model", "decode", 2), ("r", "records", "", 3)]
    sequence = 0
    async with httpx.AsyncClient(trust_env=False) as client:
        while not stop.is_set():
            sequence += 1
            for name, service, phase, port in known:
                body = {
                    "Service": service,
                    "Address": f"{WORKERS}:{17100 + port}",
                    "Zone": "a",
                    "Capacity": 64,
                }
                body.update({"State": "ready", "Sequence": sequence, "Phase": phase})
                try:
                    await client.put(f"http://{CONTROL}:{HTTP_PORT}/api/instances/{name}", json=body)
                except httpx.HTTPError:
                    continue
            await asyncio.sleep(1.0)


async def client(path: bytes, extra: bytes, number: int, count: int) -> int:
    """One client's requests on a kept connection; how many were answered with 200."""
    reader, writer = await asyncio.open_connection(EDGE, FRONTEND)
    body, good = b"b" * 4000, 0
    for turn in range(count):
        head = b"POST %s HTTP/1.1\r\nHost: h\r\nMolespur-Attempt-Id: %d-%d\r\nMolespur-Deadline-Ms: 5000\r\n"
        head = head % (path, number, turn) + extra + b"Content-Length: %d\r\n\r\n" % len(body)
        writer.write(head + body)
        answer = await reader.readuntil(b"\r\n\r\n")
        good += answer.startswith(b"HTTP/1.1 200")
        length = answer.lower().partition(b"content-length:")[2].partition(b"\r\n")[0].strip()
        if length:
            await reader.readexactly(int(length))
        else:
            await reader.readuntil(b"\r\n0\r\n\r\n")
    writer.close()
    return good


async def play(pid: int, label: str, path: bytes, extra: bytes, requests: int) -> None:
    """Send requests and print what each took of the data plane's processor."""
    before, began = processor_seconds(pid), time.monotonic()
    await asyncio.sleep(IDLE_S)
    idle = (processor_seconds(pid) - before) / (time.monotonic() - began)
    each = requests // CLIENTS
    before, began = processor_seconds(pid), time.monotonic()
    good = sum(await asyncio.gather(*(client(path, extra, n, each) for n in range(CLIENTS))))
    took = time.monotonic() - began
    used = processor_seconds(pid) - before - idle * took
    total = each * CLIENTS
    print(f"{label}: {1000 * used / total:.2f} ms a request", end=" ")
    print(f"({good} of {total} answered 200, idle {100 * idle:.1f}%)")


async def measure(requests: int, profile: str | None) -> None:
    """Start everything, play both kinds, stop everything."""
    servers = [await asyncio.start_server(worker, WORKERS, 17100 + port) for port in (1, 2, 3)]
    with tempfile.TemporaryDirectory() as name:
        folder, processes = Path(name), []
        for role, address in (("control-plane", CONTROL), ("data-plane", EDGE)):
            path = folder / f"{role}.yaml"
            path.write_text(yaml.safe_dump(settings(role, address, folder)))
            environment = {**os.environ, "MOLESPUR_SETTINGS": str(path)}
            tool = ["-m", "cProfile", "-o", profile] if profile and role == "data-plane" else []
            command = [sys.executable, *tool, "-m", "molespur", role, "--verbosity=-1"]
            processes.append(await asyncio.create_subprocess_exec(*command, env=environment))
        stop = asyncio.Event()
        heartbeats = asyncio.create_task(register(stop))
        try:
            await until_ready()
            await play(processes[1].pid, "plain", b"/p/x", b"", requests)
            await play(processes[1].pid, f"pair and {EVENTS} events", b"/s/x", PROMPT, requests)
        finally:
            stop.set()
            for process in processes:
                process.send_signal(signal.SIGTERM)
            for process in processes:
                await process.wait()
            await heartbeats
            for server in servers:
                server.close()


async def until_ready() -> None:
    """Put the configuration in force and wait until the data plane has it."""
    async with httpx.AsyncClient(trust_env=False) as client:
        for _ in range(100):
            await asyncio.sleep(0.1)
            try:
                taken = await client.put(
                    f"http://{CONTROL}:{HTTP_PORT}/api/config",
                    content=configuration(),
                    headers={"If-Match": "0"},
                )
                ready = await client.get(f"http://{EDGE}:{READINESS}/api/readyz")
            except httpx.HTTPError:
                continue
            if taken.status_code == ready.status_code == 200:
                await asyncio.sleep(1.5)
                return
    raise RuntimeError("the data plane was not ready in 10 s")


def main() -> None:
    """Measure."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--requests", type=int, default=600)
    parser.add_argument("--profile")
    options = parser.parse_args()
    asyncio.run(measure(options.requests, options.profile))


if __name__ == "__main__":
    main()
