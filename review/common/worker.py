"""Sound stand-in workers, as PROTOCOL.md describes them: a plain one, and a model worker that only idles.

A worker registers about every HeartbeatIntervalMs, answers each request once with the attempt's id and its
stamp, rejects what is meant for another worker or has no id, and drops a request whose connection closes.
"""

import asyncio
import json
from contextlib import suppress

from . import http

HEARTBEAT_S = 1.2
CAPACITY = 6
WORK_S = 0.03
STAMP = "Molespur-Server-Stamp"
NOT_EXECUTED = "Molespur-Not-Executed: 1"


class Worker:
    """One life of one worker of a plain service."""

    phase = ""

    def __init__(self, name: str, service: str, address: str, zone: str, control: list[str], record):
        self.name, self.service, self.address, self.zone = name, service, address, zone
        self.control, self.record = control, record
        self.acknowledged = asyncio.Event()
        self.runs: list[str] = []  # attempt ids, in the order in which it has begun to work on them
        self._sequence = 0
        self._connections: dict[asyncio.Task, asyncio.StreamWriter] = {}

    async def start(self) -> None:
        """Listen, and register until the end."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), reuse_address=True)
        self._registering = asyncio.create_task(self._register())
        self.record.write(f"worker {self.name} of {self.service} starts at {self.address}")

    async def crash(self) -> None:
        """End without a word: nobody listens at its address from now on."""
        self._registering.cancel()
        self._server.close()
        for task, writer in list(self._connections.items()):
            writer.transport.abort()
            task.cancel()
        self.record.write(f"worker {self.name} of {self.service} has ended without a word")

    # -- Registration ----------------------------------------------------------------------------

    def _registration(self) -> dict:
        self._sequence += 1
        return {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
            "Capacity": CAPACITY, "State": "ready", "ColdRemainingMs": 0, "Sequence": self._sequence,
        }  # fmt: skip

    async def _register(self) -> None:
        while True:
            body = self._registration()
            for address in self.control:
                with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                    answer = await http.call(address, "PUT", f"/api/instances/{self.name}", body)
                    if 200 <= answer.status < 300:
                        self.acknowledged.set()
                        break
            await asyncio.sleep(HEARTBEAT_S)

    # -- Requests --------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._connections[task] = writer
        try:
            while True:
                request = await http.read_message(reader)
                if not request.whole:
                    return
                await self.answer(request, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            del self._connections[task]
            writer.close()

    async def answer(self, request: http.Message, reader: asyncio.StreamReader, writer) -> None:
        """Answer one request."""
        attempt = request.headers.get("molespur-attempt-id")
        if attempt is None:
            await self.send(writer, 400, None, [NOT_EXECUTED])
        elif request.headers.get("molespur-expected-instance", self.name) != self.name:
            await self.send(writer, 421, attempt, [])
        else:
            await self._run(attempt, reader, writer)

    async def _run(self, attempt: str, reader: asyncio.StreamReader, writer) -> None:
        self.runs.append(attempt)
        self.record.write(f"worker {self.name} runs {attempt}")
        closed = asyncio.create_task(reader.read(1))  # the scheduler sends nothing until it has the answer
        work = asyncio.create_task(asyncio.sleep(WORK_S))
        await asyncio.wait((closed, work), return_when=asyncio.FIRST_COMPLETED)
        if closed.done():
            work.cancel()
            self.record.write(f"worker {self.name} drops {attempt}: its connection was closed")
            raise ConnectionResetError
        closed.cancel()
        await asyncio.wait((closed,))
        await self.send(writer, 200, attempt, [f"{STAMP}: {self.name}.{attempt}"], attempt.encode())
        self.record.write(f"worker {self.name} has answered {attempt}")

    @staticmethod
    def answer_bytes(status: int, attempt: str | None, headers: list[str], body: bytes = b"") -> bytes:
        """One whole answer."""
        lines = [f"HTTP/1.1 {status} -", *headers, f"Content-Length: {len(body)}"]
        lines += [f"Molespur-Attempt-Id: {attempt}"] if attempt is not None else []
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

    async def send(
        self, writer, status: int, attempt: str | None, headers: list[str], body: bytes = b""
    ) -> None:
        """Send one whole answer."""
        writer.write(self.answer_bytes(status, attempt, headers, body))
        await writer.drain()


class IdleModelWorker(Worker):
    """A model worker without requests: it registers, reports, and holds the part that it has."""

    def __init__(self, *arguments, phase: str, **named):
        super().__init__(*arguments, **named)
        self.phase = phase

    def _registration(self) -> dict:
        models = [{"Name": "m", "Version": 1, "Adapters": []}]
        return {**super()._registration(), "Capacity": 64, "Phase": self.phase, "Models": models}

    async def answer(self, request: http.Message, reader: asyncio.StreamReader, writer) -> None:
        """Answer one request."""
        path = request.first_line.split(" ")[1]
        if path == "/api/report":
            report = {
                "Phase": self.phase, "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Utilization": False, "Sequence": 0, "Queued": 0, "Active": 0, "KvUsed": 0,
                "KvTotal": 399486, "Handles": 0,
            }  # fmt: skip
            body = json.dumps(report).encode()
            await self.send(writer, 200, None, ["Content-Type: application/json"], body)
        elif path == "/api/order":
            same = json.loads(request.body).get("Phase") == self.phase
            await self.send(writer, 200 if same else 409, None, [])
        else:
            await super().answer(request, reader, writer)
