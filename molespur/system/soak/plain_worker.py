"""A stand-in worker of a service without a model: small, quick, and exact about what it ran.

It answers with the attempt's id and the length of the body, or with a stream of numbered events, which
it takes up after `Last-Event-Id`.  It registers, and leaves in order or without a word.
"""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

import httpx

HEARTBEAT_S = 0.8
CALL_S = 1.0
DRAIN_S = 2.0  # DrainTimeoutMs: it serves on this long after the acknowledgement
LONGER_S = 0.3
RETRY_S = 0.2
GOODBYE_TRIES = 15
WORK_S = 0.01
EVENT_S = 0.01
LONG_EVENT_S = 0.2
EVENTS = 12
SLOW_TIMES = 8.0
SLOTS = 64
STREAMS = ("/stream/", "/resumable/", "/model/")
NOT_EXECUTED = "Molespur-Not-Executed: 1\r\n"


class Behavior(Enum):
    """How a worker may misbehave for a while."""

    REST = "rest"  # no byte of any answer goes out
    SLOW = "slow"
    REFUSE = "refuse"  # requests are not run
    BREAK = "break"  # answers are broken off in the middle


class BrokeOff(OSError):
    """This worker has broken its answer off."""


@dataclass(frozen=True, slots=True)
class Request:
    """A request as it has come to a worker; names of headers are in lower case."""

    method: str
    path: str
    fields: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """The attempt's id; empty where it has none."""
        return self.field("molespur-attempt-id")

    def field(self, name: str, default: str = "") -> str:
        """The value of a header."""
        return self.fields.get(name, default)


class PlainWorker:
    """One worker, for one life."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        zone: str,
        on_arrival: Callable[[str, str, bool], None],
        on_goodbye: Callable[[str], None],
        on_break: Callable[[str, str], None] = lambda _worker, _attempt: None,
        bind_host: str = "",
    ):
        """`bind_host`: where it listens, if it is reached at its address over a fault line."""
        self.name, self.service, self.address, self.zone = name, service, address, zone
        self.on_arrival, self.on_goodbye, self.on_break = on_arrival, on_goodbye, on_break
        self._behavior_until: dict[Behavior, float] = {}  # on the loop's clock
        self.bind_host = bind_host
        self.leaving = asyncio.Event()
        self.down = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._sequence = 0
        self._running = 0

    async def run(self, control: Callable[[], Sequence[str]]) -> None:
        """Serve and register until lost, or until it has left.  `control`: addresses to register at."""
        host, _, port = self.address.rpartition(":")
        server = await asyncio.start_server(self._serve, self.bind_host or host, int(port))
        registering = asyncio.get_running_loop().create_task(self._register(control))
        try:
            await self.down.wait()
        finally:
            registering.cancel()
            server.close()
            for writer in self._writers:
                writer.transport.abort()

    def set_behavior(self, behavior: Behavior, for_s: float) -> None:
        """Behave like this for `for_s` seconds."""
        self._behavior_until[behavior] = asyncio.get_running_loop().time() + for_s

    def _left_of(self, behavior: Behavior) -> float:
        return self._behavior_until.get(behavior, 0.0) - asyncio.get_running_loop().time()

    async def _work(self, seconds: float) -> None:
        """Take this long for the next step of an answer, longer when slow; rest first if told to."""
        while (left := self._left_of(Behavior.REST)) > 0:
            await asyncio.sleep(left)
        await asyncio.sleep(seconds * (SLOW_TIMES if self._left_of(Behavior.SLOW) > 0 else 1.0))

    def _perhaps_break(self, writer, attempt: str) -> None:
        if self._left_of(Behavior.BREAK) > 0:
            self.on_break(self.name, attempt)
            writer.transport.abort()
            raise BrokeOff

    # -- Registration --------------------------------------------------------------------------

    async def _register(self, control: Callable[[], Sequence[str]]) -> None:
        async with httpx.AsyncClient(timeout=CALL_S) as client:
            while not self.leaving.is_set():
                await self._tell(client, control(), "ready")
                with suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_S):
                        await self.leaving.wait()
            if await self._tell(client, control(), "draining", tries=GOODBYE_TRIES):
                self.on_goodbye(self.name)
            await asyncio.sleep(DRAIN_S + LONGER_S)
            for address in control():
                with suppress(httpx.HTTPError):
                    if (await client.delete(f"http://{address}/api/instances/{self.name}")).is_success:
                        break
            self.down.set()

    async def _tell(
        self, client: httpx.AsyncClient, control: Sequence[str], state: str, tries: int = 1
    ) -> bool:
        self._sequence += 1
        body = self._registration(state)
        for _ in range(tries):
            for address in control:
                with suppress(httpx.HTTPError):
                    answer = await client.put(f"http://{address}/api/instances/{self.name}", json=body)
                    if answer.is_success:
                        return True
            await asyncio.sleep(RETRY_S)
        return False

    def _registration(self, state: str) -> dict:
        """What it tells of itself."""
        return {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "stand-in",
            "Capacity": SLOTS, "State": state, "Sequence": self._sequence,
        }  # fmt: skip

    # -- Requests ------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = _fields(head)
                method, path, _ = head.split(" ", 2)
                await self._answer(writer, Request(method, path, fields, await _body(reader, fields)))
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, writer, request: Request) -> None:
        attempt = request.attempt
        if request.field("molespur-expected-instance", self.name) != self.name:
            self._write_refusal(writer, request, "421 Misdirected")
            return
        runs = self._running < SLOTS and self._left_of(Behavior.REFUSE) <= 0
        self.on_arrival(self.name, attempt, runs)
        if not runs:
            self._write_refusal(writer, request, "503 Full", executed=False)
            return
        head = f"Molespur-Attempt-Id: {attempt}\r\nMolespur-Server-Stamp: {self.name}.{attempt}\r\n"
        self._running += 1
        try:
            await self._work(WORK_S)
            await self._run(writer, request, head)
            await writer.drain()
        finally:
            self._running -= 1

    @staticmethod
    def _write_refusal(writer, request: Request, status: str, executed: bool = True) -> None:
        """Put a request back; `executed` False: with the word that it did not run."""
        head = f"HTTP/1.1 {status}\r\nMolespur-Attempt-Id: {request.attempt}\r\nContent-Length: 0\r\n"
        writer.write(f"{head}{'' if executed else NOT_EXECUTED}\r\n".encode())

    async def _run(self, writer, request: Request, head: str) -> None:
        """Give the answer that the request's path asks for."""
        after = int(request.field("last-event-id", "0") or 0)
        if "/long/" in request.path:
            await self._stream(writer, head, request.attempt, after, LONG_EVENT_S)
        elif any(kind in request.path for kind in STREAMS):
            await self._stream(writer, head, request.attempt, after, EVENT_S)
        else:
            self._perhaps_break(writer, request.attempt)
            answer = f"{request.attempt}:{len(request.body)}".encode()
            writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: {len(answer)}\r\n\r\n".encode() + answer)

    async def _stream(self, writer, head: str, attempt: str, after: int, pause_s: float) -> None:
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await self._work(pause_s)
            self._perhaps_break(writer, attempt)
        writer.write(b"0\r\n\r\n")


def _fields(head: str) -> dict[str, str]:
    lines = (line.partition(":") for line in head.split("\r\n")[1:] if line)
    return {name.strip().lower(): value.strip() for name, _, value in lines}


async def _body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int(await reader.readuntil(b"\r\n"), 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", "0") or 0))
