"""A sound stand-in model worker: it reads prompts for others, or gives answers, as its part is.

A prefill worker keeps what it has read under a handle for HandleTtlS.  A decode worker fetches that, or reads
the prompt itself.  Both change their part when they are ordered to.
"""

import asyncio
import json
import secrets
import time

from . import http
from .worker import NOT_EXECUTED, STAMP, Worker

PREFILL, DECODE = "prefill", "decode"
READ_S, EVENT_S, SWITCH_S, HANDLE_S = 0.03, 0.02, 1.5, 4.4
CAPACITY, TOKENS = 64, 399486


class ModelWorker(Worker):
    """One life of one model worker; `others` are all model workers, by address."""

    def __init__(self, *arguments, phase: str, others: dict[str, "ModelWorker"]):
        super().__init__(*arguments)
        self.phase, self.others = phase, others
        others[self.address] = self
        self.held: dict[str, float] = {}  # handle -> until when
        self._orders, self._newest_token, self._switching_until = 0, -1, 0.0
        self._active = 0

    def _registration(self) -> dict:
        models = [{"Name": "m", "Version": 1, "Adapters": []}]
        return {**super()._registration(), "Capacity": CAPACITY, "Phase": self.phase, "Models": models}

    def _switching(self) -> bool:
        return time.monotonic() < self._switching_until

    async def answer(self, request: http.Message, reader: asyncio.StreamReader, writer) -> None:
        """Answer one request."""
        method, path, _ = request.first_line.split(" ")
        attempt = request.headers.get("molespur-attempt-id")
        expected = request.headers.get("molespur-expected-instance", self.name)
        reads = request.headers.get("molespur-serving-phase") == PREFILL
        if path == "/api/report":
            await self.send(writer, 200, None, ["Content-Type: application/json"], self._report())
        elif expected != self.name:
            await self.send(writer, 421, attempt, [])
        elif path == "/api/order":
            await self.send(writer, self._take_order(json.loads(request.body)), None, [])
        elif method == "DELETE":
            self.held.pop(path.rpartition("/")[2], None)
            await self.send(writer, 200, None, [])
        elif attempt is None:
            await self.send(writer, 400, None, [NOT_EXECUTED])
        elif self._switching():
            await self.send(writer, 503, attempt, [NOT_EXECUTED])
        elif reads != (self.phase == PREFILL):
            await self.send(writer, 421, attempt, [])
        elif reads:
            await asyncio.sleep(READ_S)
            handle = secrets.token_hex(6)
            self.held[handle] = time.monotonic() + HANDLE_S
            body = json.dumps({"PrefillHandle": handle, "Tokens": 1460, "Version": 1}).encode()
            await self.send(writer, 200, attempt, ["Content-Type: application/json"], body)
        elif not self._fetch(request.headers.get("kv-from")):
            await self.send(writer, 503, attempt, [NOT_EXECUTED])
        else:
            await self._stream(attempt, request, writer)

    def _report(self) -> bytes:
        return json.dumps({
            "Phase": self.phase, "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Utilization": self._switching(), "Sequence": self._orders, "Queued": 0, "Active": self._active,
            "KvUsed": 0, "KvTotal": TOKENS, "Handles": len(self.held),
        }).encode()  # fmt: skip

    def _take_order(self, order: dict) -> int:
        if order.get("Operation") != "Phase" or order.get("Phase") not in (PREFILL, DECODE):
            return 400
        if "Holder" not in order or "FencingToken" not in order:
            return 400
        if order["FencingToken"] < self._newest_token:
            return 412
        self._newest_token = order["FencingToken"]
        if order["Phase"] == self.phase:
            return 200
        if self._switching() or order.get("IfRevision", self._orders) != self._orders:
            return 409
        self._orders += 1
        self.phase, self._switching_until = order["Phase"], time.monotonic() + SWITCH_S
        self.record.write(f"worker {self.name} is ordered to {self.phase}")
        return 202

    def _fetch(self, source: str | None) -> bool:
        """Take over what another worker has read, if the request names it; False when it is gone."""
        if source is None:
            return True
        address, _, handle = source.partition("/")
        other = self.others.get(address)
        return other is not None and other.held.pop(handle, 0.0) > time.monotonic()

    async def _stream(self, attempt: str, request: http.Message, writer) -> None:
        self.runs.append(attempt)
        self.record.write(f"worker {self.name} runs {attempt}")
        events = int(request.headers["molespur-token-usage"].split(",")[1])
        after = int(request.headers.get("last-event-id", "0"))
        head = [
            "HTTP/1.1 200 -", f"Molespur-Attempt-Id: {attempt}", f"{STAMP}: {self.name}.{attempt}",
            "Versions: 1", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", "",
        ]  # fmt: skip
        self._active += 1
        try:
            await asyncio.sleep(READ_S if "kv-from" not in request.headers else 0.0)
            writer.write("\r\n".join(head).encode())
            for number in range(after + 1, events + 1):
                event = f"id: {number}\ndata: {attempt}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self._active -= 1
