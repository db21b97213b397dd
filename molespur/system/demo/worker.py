"""A stand-in model worker on HTTP, and its registration with the control plane."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Sequence

import httpx
from quart import Quart, Response, request

from ..inbound.server import serve
from .engine import PREFILL, Engine

HEARTBEAT_S = 0.8
CALL_S = 1.0
TOKEN_BYTES, BANDWIDTH_MBPS = 18_432, 100_000
JSON = "application/json"
NOT_EXECUTED = {"Molespur-Not-Executed": "1"}

__all__ = ["StandInWorker", "parse_parts"]


def parse_parts(header: str) -> list[tuple[str, int]]:
    """The parts of `Molespur-Prompt-Prefix`; what can't be read counts as none."""
    try:
        return [
            (part, int(tokens)) for part, _, tokens in (item.partition(":") for item in header.split(","))
        ]
    except ValueError:
        return []


class StandInWorker:
    """One worker.  `others` finds a worker by its address, to fetch memory from it."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        zone: str,
        engine: Engine,
        clock: Callable[[], float],
        others: Callable[[str], "StandInWorker | None"],
        on_arrival: Callable[[str, str, bool], None] = lambda _worker, _attempt, _runs: None,
    ):
        """`on_arrival(worker, attempt, runs)` is called for each request that comes, but for reads."""
        self.name, self.service, self.address, self.zone = name, service, address, zone
        self.engine, self.clock, self.others, self.on_arrival = engine, clock, others, on_arrival
        self.down = asyncio.Event()  # set when it is lost
        self.served = 0
        self.app = self._create_app()

    # -- HTTP ----------------------------------------------------------------------------------

    def _create_app(self) -> Quart:
        app = Quart("stand-in")

        @app.get("/api/report")
        async def report() -> Response:
            return Response(json.dumps(self.report()), content_type=JSON)

        @app.post("/api/order")
        async def order() -> Response:
            body = await request.get_json()
            other_under_way = self.engine.switching(self.clock()) and body["Phase"] != self.engine.phase
            if other_under_way or body.get("IfRevision", self.engine.orders) != self.engine.orders:
                return Response("", 409)
            taken = self.engine.order(self.clock(), body["Phase"])
            return Response("", 202 if taken else 200)

        @app.delete("/api/kv-handle/<handle>")
        async def free(handle: str) -> Response:
            self.engine.take(self.clock(), handle)
            return Response("")

        @app.post("/<path:_path>")
        async def run(_path: str) -> Response:
            return await self._run()

        return app

    def report(self) -> dict:
        """What `GET /api/report` tells."""
        now = self.clock()
        return {
            "Phase": self.engine.phase,
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Utilization": self.engine.switching(now),
            "Sequence": self.engine.orders,
            "Queued": 0,
            "Active": self.engine.running,
            "KvUsed": 0,
            "KvTotal": self.engine.profile.cache_tokens,
            "Handles": self.engine.held(now),
        }

    async def _run(self) -> Response:
        headers = request.headers
        stamp = {"Molespur-Attempt-Id": headers.get("Molespur-Attempt-Id", "")}
        if headers.get("Molespur-Expected-Instance", self.name) != self.name:
            return Response("", 421, stamp)
        if self.engine.switching(self.clock()):
            return Response("", 503, {**stamp, **NOT_EXECUTED})
        reading = headers.get("Molespur-Serving-Phase") == PREFILL
        if reading != (self.engine.phase == PREFILL):
            return Response("", 421, stamp)
        tokens, _, most = headers.get("Molespur-Token-Usage", "0,1").partition(",")
        parts = parse_parts(headers.get("Molespur-Prompt-Prefix", ""))
        if reading:
            return await self._read(int(tokens), parts, stamp)
        return await self._generate(int(tokens), int(most or 1), parts, stamp)

    async def _read(self, tokens: int, parts: Sequence[tuple[str, int]], stamp: dict) -> Response:
        await self._until(self.engine.read(self.clock(), tokens, parts))
        handle = self.engine.hold(self.clock(), tokens)
        body = {"PrefillHandle": handle, "Tokens": tokens, "Version": 1}
        return Response(json.dumps(body), 200, stamp, content_type=JSON)

    async def _generate(
        self, tokens: int, most: int, parts: Sequence[tuple[str, int]], stamp: dict
    ) -> Response:
        source = request.headers.get("Kv-From")
        if source is not None and not await self._fetch(source):
            return Response("", 503, {**stamp, **NOT_EXECUTED})
        begins = self.engine.begin()
        self.on_arrival(self.name, stamp["Molespur-Attempt-Id"], begins)
        if not begins:
            return Response("", 503, {**stamp, **NOT_EXECUTED})
        ready_at = self.clock() if source is not None else self.engine.read(self.clock(), tokens, parts)
        head = {**stamp, "Molespur-Server-Stamp": f"{self.name}.{self.served}", "Versions": "1"}
        events = self._events(ready_at, most, stamp["Molespur-Attempt-Id"].encode())
        return Response(events, 200, head, content_type="text/event-stream")

    async def _events(self, ready_at: float, most: int, attempt: bytes) -> AsyncIterator[bytes]:
        try:
            await self._until(ready_at)
            for number in range(1, most + 1):
                yield b"id: %d\ndata: %s\n\n" % (number, attempt)
                await asyncio.sleep(self.engine.pause_ms() / 1000.0)
            self.served += 1
        finally:
            self.engine.end()

    async def _fetch(self, source: str) -> bool:
        """Take memory over from another worker; False when it is gone."""
        address, _, handle = source.partition("/")
        other = self.others(address)
        tokens = other.engine.take(self.clock(), handle) if other is not None else None
        if tokens is None:
            return False
        await asyncio.sleep(tokens * TOKEN_BYTES * 8 / (BANDWIDTH_MBPS * 1e6))
        return True

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(at - self.clock(), 0.0) / 1000.0)

    # -- Life ----------------------------------------------------------------------------------

    async def run(self, control: Sequence[str]) -> None:
        """Serve and register until lost."""
        beating = asyncio.get_running_loop().create_task(self._register(control))
        try:
            await serve(self.app, self.address, self.down, graceful_s=0.0)
        finally:
            beating.cancel()

    async def _register(self, control: Sequence[str]) -> None:
        sequence = 0
        async with httpx.AsyncClient(timeout=CALL_S) as client:
            while True:
                sequence += 1
                for address in control:
                    if await self._beat(client, address, sequence):
                        break
                await asyncio.sleep(HEARTBEAT_S)

    async def _beat(self, client: httpx.AsyncClient, address: str, sequence: int) -> bool:
        body = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "stand-in",
            "Capacity": self.engine.profile.slots,
            "State": "ready",
            "Phase": self.engine.phase,
            "Models": [],
            "Sequence": sequence,
        }
        try:
            response = await client.put(f"http://{address}/api/instances/{self.name}", json=body)
        except httpx.HTTPError:
            return False
        return response.is_success
