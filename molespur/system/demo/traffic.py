"""Clients of the demo: open-loop arrivals, and what became of each request."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

import httpx

HOST, PATH = "demo.example", "/chat/"
DEADLINE_MS = 3000
PREFIXES, PREFIX_TOKENS = 12, 3000
PROMPT_TOKENS = (200, 1500)
ANSWER_TOKENS = (3, 20)
REFUSALS = (408, 421, 429, 503)


class Outcome(Enum):
    """What became of a request."""

    SERVED = "served"
    REFUSED = "refused"  # it has not run
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Sample:
    """One request: seconds since the start when it was sent, and ms until its first token."""

    at: float
    outcome: Outcome
    first_ms: float = 0.0


def request_headers(random: Random, number: int) -> dict[str, str]:
    """Headers of one request: a shared prefix, and a part of its own."""
    prefix = random.randrange(PREFIXES)
    own = random.randint(*PROMPT_TOKENS)
    return {
        "Host": HOST,
        "Molespur-Attempt-Id": f"{number:016x}",
        "Molespur-Deadline-Ms": str(DEADLINE_MS),
        "Molespur-Model": "m",
        "Molespur-Token-Usage": f"{PREFIX_TOKENS + own},{random.randint(*ANSWER_TOKENS)}",
        "Molespur-Prompt-Prefix": f"{prefix + 1:08x}:{PREFIX_TOKENS},{number + 256:08x}:{own}",
    }


def configuration(service: str, slots: int) -> dict:
    """The configuration that the demo puts in force."""
    route = {
        "Name": "chat",
        "Host": HOST,
        "PathPrefix": PATH,
        "Type": "streaming",
        "TimeoutMs": DEADLINE_MS,
        "TargetLatencyMs": 400,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2,
        "SessionAffinity": True,
        "Resumable": True,
        "gap_aim_ms": 250,
    }
    engine = {
        "Capacity": slots,
        "KvCapacityTokens": 200_000,
        "KvTokenBytes": 18_432,
        "BandwidthMbps": 100_000,
    }
    return {
        "Version": 1,
        "Routes": [route],
        "Services": [{"Name": service, "MaxConnections": 200, "Engine": engine}],
    }


class Traffic:
    """Sends requests at a rate, whatever becomes of those before; `clock` gives ms."""

    def __init__(self, schedulers: Sequence[str], clock: Callable[[], float], random: Random):
        self.schedulers, self.clock, self.random = schedulers, clock, random
        self.samples: list[Sample] = []
        self._started_at = 0.0

    async def run(self, per_second: float, seconds: float) -> None:
        """Send for some seconds, then wait for the last answers."""
        self._started_at = self.clock()
        limits = httpx.Limits(max_connections=500)
        async with (
            httpx.AsyncClient(timeout=DEADLINE_MS / 1000.0, limits=limits) as client,
            asyncio.TaskGroup() as group,
        ):
            for number in range(int(per_second * seconds)):
                due = self._started_at + number / per_second * 1000.0
                await asyncio.sleep(max(due - self.clock(), 0.0) / 1000.0)
                group.create_task(self._request(client, number))

    async def _request(self, client: httpx.AsyncClient, number: int) -> None:
        sent_at = self.clock()
        at = (sent_at - self._started_at) / 1000.0
        headers = request_headers(self.random, number)
        url = f"http://{self.random.choice(self.schedulers)}{PATH}x"
        try:
            outcome, first_at = await self._answer(client, url, headers)
        except httpx.HTTPError:
            outcome, first_at = Outcome.FAILED, sent_at
        self.samples.append(Sample(at, outcome, first_at - sent_at))

    async def _answer(self, client: httpx.AsyncClient, url: str, headers: dict) -> tuple[Outcome, float]:
        async with client.stream("POST", url, headers=headers) as response:
            if response.status_code in REFUSALS:
                return Outcome.REFUSED, 0.0
            if not response.is_success:
                return Outcome.FAILED, 0.0
            first_at = None
            async for _chunk in response.aiter_raw():
                first_at = first_at or self.clock()
            return (Outcome.SERVED, first_at) if first_at is not None else (Outcome.FAILED, 0.0)
