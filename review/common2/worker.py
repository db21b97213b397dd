"""A stand-in worker: registers like a worker of our pages, and answers as a case tells it to."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

from fleet import Fleet, http

HEARTBEAT_S = 1.2


@dataclass
class Request:
    """One request as it has come; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def attempt(self) -> str:
        """The attempt's id."""
        return self.headers.get("molespur-attempt-id", "")


Answer = Callable[["Worker", Request, asyncio.StreamWriter], Awaitable[None]]


@dataclass(eq=False)
class Worker:
    """One incarnation of a worker.  `answer` writes the answer to a request that expects this worker."""

    fleet: Fleet
    id: str
    service: str
    address: str
    answer: Answer
    zone: str = "north"
    capacity: int = 6
    extra: dict = field(default_factory=dict)  # more fields of its registration
    state: str = "ready"
    sequence: int = 0
    ran: list[str] = field(default_factory=list)  # attempts that it has run

    async def start(self, control: list[str]) -> None:
        """Listen, and send heartbeats from now on."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.beating = asyncio.get_running_loop().create_task(self._beat(control))

    def close(self) -> None:
        """End: nobody is served any more."""
        self.beating.cancel()
        self.server.close()

    async def register(self, control: list[str]) -> bool:
        """One heartbeat, at one scheduler after the other until one acknowledges it."""
        self.sequence += 1
        body = {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
            "Capacity": self.capacity, "State": self.state, "ColdRemainingMs": 0, "Sequence": self.sequence,
        } | self.extra  # fmt: skip
        headers = {"Content-Type": "application/json"}
        for address in control:
            path = f"/api/instances/{self.id}"
            answer = await http(address, "PUT", path, headers, json.dumps(body).encode())
            if answer is not None and 200 <= answer[0] < 300:
                return True
        return False

    async def _beat(self, control: list[str]) -> None:
        while True:
            acknowledged = await self.register(control)
            await asyncio.sleep(HEARTBEAT_S if acknowledged else 0.2)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                request = await read_request(reader)
                await self._respond(request, writer)
        writer.close()

    async def _respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.headers.get("molespur-expected-instance", self.id) != self.id:
            write_head(writer, request, 421, {"Molespur-Not-Executed": "1", "Content-Length": "0"})
            return
        self.fleet.record(f"worker {self.id}: {request.method} {request.target} {request.attempt}")
        await self.answer(self, request, writer)


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with a body of a given length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    return Request(method, target, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def write_head(writer: asyncio.StreamWriter, request: Request, status: int, headers: dict) -> None:
    """Write the head of an answer."""
    fields = {"Molespur-Attempt-Id": request.attempt, **headers}
    lines = [f"HTTP/1.1 {status} -", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
    writer.write("\r\n".join(lines).encode())
