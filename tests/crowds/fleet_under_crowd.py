"""One control-plane and one data-plane process on loopback, and a worker that the test plays.

The settings grant each process the memory of the smallest machine of the grown deployments and few
descriptors, so that a small crowd of clients is enough to go over a limit that is not kept.
"""

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import yaml

from molespur.standins.loopback import can_listen, reserved_net

MEMORY_MB = 118  # of an edge machine of the grown omaruru-nav deployment
MAX_OPEN_FILES = 700
RESERVED_FILES = 200  # of MaxOpenFiles, for files outside the disk folder (DEPLOY.md)
MAX_BODY_BYTES = 4 << 20
MAX_HEADER_BYTES = 16_384
TIMEOUT_MS = 20_000
LARGE_RESPONSE_BYTES = 2 << 20
FRONTEND_PORT, READINESS_PORT, HTTP_PORT, RPC_PORT, LAST_PORT, WORKER_PORT = (
    18144, 18140, 18146, 18160, 18175, 18180
)  # fmt: skip
START_S, CALL_S, END_S = 20.0, 5.0, 12.0
HEARTBEAT_S = 0.8
ROUTE_PREFIX = "/p/"
HOST = "shop.example"


def configuration(version=1, routes=()):
    """An operator's configuration with the limits that the pages give as an example."""
    route = {
        "Name": "r", "Host": HOST, "PathPrefix": ROUTE_PREFIX, "Type": "non_idempotent", "Service": "s",
        "TimeoutMs": TIMEOUT_MS, "TargetLatencyMs": 300, "MaxAttempts": 1,
    }  # fmt: skip
    stream = {**route, "Name": "stream", "PathPrefix": "/stream/", "Type": "streaming"}
    limits = {
        "MaxHeaderBytes": MAX_HEADER_BYTES, "MaxBodyBytes": MAX_BODY_BYTES, "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15_000,
    }  # fmt: skip
    services = [{"Name": "s", "MaxConnections": 300}]
    document = {
        "Version": version, "Routes": [route, stream, *routes], "Services": services, "Limits": limits
    }  # fmt: skip
    return json.dumps(document).encode()


async def http_call(host, port, method, path, body=b"", headers=()):
    """One HTTP request on its own connection: (status, body).  Raises OSError or TimeoutError."""
    async with asyncio.timeout(CALL_S):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Connection: close", *headers]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join((*lines, "", "")).encode() + body)
            response = await reader.read()
        finally:
            writer.close()
    head, _, content = response.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 "):
        raise ConnectionResetError("no response")
    return int(head.split()[1]), content


class Worker:
    """Answers with a few bytes, with a large body (`/large` in the path), or with an endless stream."""

    def __init__(self, host, control_host):
        self.host, self.control_host = host, control_host
        self._tasks = set()

    async def run(self):
        """Serve and register until cancelled."""
        server = await asyncio.start_server(self._serve, self.host, WORKER_PORT)
        sequence = 0
        async with server:
            while True:
                sequence += 1
                with suppress(OSError, TimeoutError):
                    await self.register(sequence)
                await asyncio.sleep(HEARTBEAT_S)

    async def register(self, sequence):
        """One heartbeat."""
        registration = {
            "Service": "s", "Address": f"{self.host}:{WORKER_PORT}", "Zone": "north", "Version": "v1",
            "Capacity": 512, "State": "ready", "Sequence": sequence,
        }  # fmt: skip
        body = json.dumps(registration).encode()
        await http_call(self.control_host, HTTP_PORT, "PUT", "/api/instances/i-1", body)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._discard_body(reader, head)
                await self._respond(writer, head)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.transport.abort()

    @staticmethod
    async def _discard_body(reader, head):
        left = int(_field(head, b"content-length") or 0)
        while left:
            piece = await reader.read(min(left, 1 << 16))
            if not piece:
                raise ConnectionResetError
            left -= len(piece)

    async def _respond(self, writer, head):
        common = b"Molespur-Attempt-Id: %s\r\nMolespur-Server-Stamp: s.1\r\n" % _field(
            head, b"molespur-attempt-id"
        )
        target = head.split(b" ", 2)[1]
        if target.startswith(b"/stream/"):
            await self._stream(writer, common)
            return
        body = bytes(LARGE_RESPONSE_BYTES) if b"large" in target else b"fine"
        writer.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (common, len(body)))
        for start in range(0, len(body), 1 << 16):
            writer.write(body[start : start + (1 << 16)])
            await writer.drain()

    @staticmethod
    async def _stream(writer, common):
        writer.write(b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n" % common)
        number = 0
        while True:
            number += 1
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 8000)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0)


def _field(head, name):
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


class Fleet:
    """The two processes and where they listen."""

    def __init__(self, folder: Path):
        self.folder = folder
        self._net_lock, net = reserved_net(usable=_is_free)
        self.control_host, self.data_host, self.worker_host = (f"127.{net}.1.{n}" for n in (1, 2, 3))
        self.processes: dict[str, subprocess.Popen] = {}

    def settings(self, name, host):
        """The settings of a process."""
        return {
            "NodeName": name, "Ip": host, "Zone": "north", "PortRange": [RPC_PORT, LAST_PORT],
            "SeedNodes": [f"{self.control_host}:{HTTP_PORT}"],
            "Listen": {
                "ControlPlane": f"{host}:{HTTP_PORT}", "Frontend": f"{host}:{FRONTEND_PORT}",
                "Readiness": f"{host}:{READINESS_PORT}",
            },
            "Bootstrap": True, "DataDirectory": str(self.folder / name), "HeartbeatIntervalMs": 800,
            "FaultTolerance": {"Nodes": 0},
            "Limits": {"MemoryMb": MEMORY_MB, "MaxOpenFiles": MAX_OPEN_FILES},
        }  # fmt: skip

    def start(self, role, host):
        """Start a process with the descriptors that its settings grant."""
        path = self.folder / f"{role}.yaml"
        path.write_text(yaml.safe_dump(self.settings(role, host)))
        with (self.folder / f"{role}.log").open("ab") as log:
            self.processes[role] = subprocess.Popen(
                [sys.executable, "-m", "molespur", role],
                env={**os.environ, "MOLESPUR_SETTINGS": str(path)}, stdout=log, stderr=log,
            )  # fmt: skip
        resource.prlimit(self.processes[role].pid, resource.RLIMIT_NOFILE, (MAX_OPEN_FILES, MAX_OPEN_FILES))

    async def wait_until_serving(self):
        """Put the first configuration in force, and wait until an ordinary request is served."""
        async with asyncio.timeout(START_S):
            while await self._status(self.put_configuration(configuration())) != 200:
                await asyncio.sleep(0.1)
            while await self._status(self.ordinary_request()) != 200:
                await asyncio.sleep(0.1)

    @staticmethod
    async def _status(call):
        try:
            return (await call)[0]
        except (OSError, TimeoutError):
            return None

    async def put_configuration(self, body):
        """The operator's first change."""
        return await http_call(self.control_host, HTTP_PORT, "PUT", "/api/config", body, ["If-Match: 0"])

    async def read_configuration(self):
        """The operator's read."""
        return await http_call(self.control_host, HTTP_PORT, "GET", "/api/config")

    async def ordinary_request(self, body=b"x" * 200):
        """A request of a client that behaves."""
        headers = ["Molespur-Attempt-Id: ordinary", "Molespur-Deadline-Ms: 4000"]
        return await http_call(self.data_host, FRONTEND_PORT, "POST", ROUTE_PREFIX, body, headers)

    def stop(self):
        """End both processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(END_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._net_lock.close()


def _is_free(net):
    """Whether no process is left over on these hosts, of a run that was ended."""
    addresses = ((1, HTTP_PORT), (2, FRONTEND_PORT), (3, WORKER_PORT))
    return all(can_listen(f"127.{net}.1.{host}", port) for host, port in addresses)


@asynccontextmanager
async def running_fleet(folder):
    """A fleet that serves; ended at the end."""
    fleet = Fleet(folder)
    worker = None
    try:
        fleet.start("control-plane", fleet.control_host)
        fleet.start("data-plane", fleet.data_host)
        worker = asyncio.create_task(Worker(fleet.worker_host, fleet.control_host).run())
        await fleet.wait_until_serving()
        yield fleet
    finally:
        if worker is not None:
            worker.cancel()
        await asyncio.to_thread(fleet.stop)
