"""Two operators who change the configuration at once, and follow the rules of the control plane's interface.

A call that got no clear answer goes out again unchanged, to any process; 307 is followed; 400 and 412 end it.
"""

import asyncio
import json
from collections.abc import Callable, Sequence
from contextlib import suppress
from random import Random

import httpx

from .clients import HOST, PATHS
from .plan import SYNC_S
from .records import Change, ConfigurationRead, Log, RequestKind

CALL_S = 1.0
PAUSE_S = (0.1, 0.7)  # between two changes of one operator
RETRY_S = (0.02, 0.2)
REDIRECTS = 2
KEPT_ROUTES = 12  # routes that were added and not removed yet
CLEAR = (200, 400, 412)
SERVICE, MODEL_SERVICE = "plain", "model"
MODEL_ENGINE = {
    "Capacity": 64, "KvCapacityTokens": 100_000, "KvTokenBytes": 18_432, "BandwidthMbps": 100_000.0,
    "HandleTtlS": 5.0, "RoleSwitchS": 1.0, "Models": [{"Name": "m"}],
}  # fmt: skip


class Operators:
    """All that operators do in one run."""

    def __init__(
        self, log: Log, clock: Callable[[], float], random: Random, control: Callable[[], Sequence[str]]
    ):
        self.log, self.clock, self.random, self.control = log, clock, random, control
        self.on_accepted: Callable[[Change], None] = lambda _change: None
        self.pause_s = PAUSE_S
        self.newest = 0  # version that some operator knows to be taken
        self.routes: dict[int, tuple[str, ...]] = {0: ()}  # version -> added routes in it
        self._added = 0
        self._versions = 0

    async def run(self, name: str, stop: asyncio.Event) -> None:
        """One operator, until told to stop."""
        async with httpx.AsyncClient(timeout=CALL_S) as client:
            while not stop.is_set():
                await self._change(client, name, stop)
                await asyncio.sleep(self.random.uniform(*self.pause_s))

    async def first(self) -> None:
        """Put the first configuration in force."""
        async with httpx.AsyncClient(timeout=CALL_S) as client:
            await self._change(client, "first", asyncio.Event())

    async def read(self, client: httpx.AsyncClient) -> ConfigurationRead | None:
        """The newest configuration, as one process that the operator happens to call tells it."""
        address, sent_at = self.random.choice(self.control()), self.clock()
        with suppress(httpx.HTTPError, ValueError):
            for _ in range(1 + REDIRECTS):
                answer = await client.get(f"http://{address}/api/config")
                if answer.status_code == 200:
                    version = int(answer.json()["Version"])
                    told = ConfigurationRead(sent_at, self.clock(), address, version)
                    self.log.reads.append(told)
                    return told
                if answer.status_code != 307:
                    return None
                address = answer.headers["location"].removeprefix("http://").partition("/")[0]
        return None

    async def read_back(self) -> int | None:
        """The version that is read at the end; None where nobody tells it."""
        async with httpx.AsyncClient(timeout=CALL_S) as client:
            until = self.clock() + 4 * SYNC_S
            while self.clock() < until:
                told = await self.read(client)
                if told is not None:
                    return told.version
                await asyncio.sleep(RETRY_S[1])
        return None

    # -- Changes -------------------------------------------------------------------------------

    async def _change(self, client: httpx.AsyncClient, name: str, stop: asyncio.Event) -> None:
        base = self.newest
        kept = self.routes[base]
        removed = kept[:1] if len(kept) >= KEPT_ROUTES else ()
        self._added += 1
        added = f"/added-{self._added}/"
        routes = (*(route for route in kept if route not in removed), added)
        self._versions = max(self._versions, base) + self.random.randint(1, 3)
        change = Change(self._versions, base, name, self.clock(), added=(added,), removed=removed)
        self.log.changes.append(change)
        change.status = await self._until_clear(client, change, configuration(change.version, routes), stop)
        change.answered_at = self.clock()
        if change.status == 200:
            self.routes[change.version] = routes
            self.newest = max(self.newest, change.version)
            self.on_accepted(change)
        elif change.status == 412:
            await self._learn(client, stop)

    async def _learn(self, client: httpx.AsyncClient, stop: asyncio.Event) -> None:
        """Somebody else's change was taken: go on from it once it is known what it holds."""
        while not stop.is_set():
            told = await self.read(client)
            if told is not None and told.version in self.routes:
                self.newest = max(self.newest, told.version)
                return
            await asyncio.sleep(RETRY_S[1])

    async def _until_clear(
        self, client: httpx.AsyncClient, change: Change, body: bytes, stop: asyncio.Event
    ) -> int:
        """The clear answer to a change; 0 where the run has ended before one came."""
        headers = {"If-Match": str(change.base), "Content-Type": "application/json"}
        address, redirects = self.random.choice(self.control()), 0
        while not stop.is_set():
            status = 0
            with suppress(httpx.HTTPError):
                answer = await client.put(f"http://{address}/api/config", content=body, headers=headers)
                status = answer.status_code
            if status in CLEAR:
                return status
            if status == 307 and redirects < REDIRECTS:
                address = answer.headers["location"].removeprefix("http://").partition("/")[0]
                redirects += 1
                continue
            redirects = 0
            address = self.random.choice(self.control())
            await asyncio.sleep(self.random.uniform(*RETRY_S))
        return 0


def configuration(version: int, added: Sequence[str]) -> bytes:
    """A configuration with the routes of the clients, and these besides."""
    routes = [_route(kind.value, PATHS[kind], kind) for kind in RequestKind]
    routes += [_route(path.strip("/"), path, RequestKind.IDEMPOTENT) for path in added]
    limits = {
        "MaxHeaderBytes": 16_384,
        "MaxBodyBytes": 1 << 20,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15_000,
    }
    services = [
        {"Name": SERVICE, "MaxConnections": 200},
        {"Name": MODEL_SERVICE, "MaxConnections": 200, "Engine": MODEL_ENGINE},
    ]
    made = {"Version": version, "Routes": routes, "Services": services, "Limits": limits}
    return json.dumps(made).encode()


def _route(name: str, path: str, kind: RequestKind) -> dict:
    return {
        "Name": name, "Host": HOST, "PathPrefix": path, "MaxAttempts": 2,
        "Service": MODEL_SERVICE if kind is RequestKind.MODEL else SERVICE,
        "Type": "streaming" if kind.streams else kind.value, "Resumable": kind.resumable,
        "TimeoutMs": 4000, "TargetLatencyMs": 400, "Priority": 0, "gap_aim_ms": 250,
    }  # fmt: skip
