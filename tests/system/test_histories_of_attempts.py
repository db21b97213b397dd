"""Random histories of a request to workers that stall, break off, reject and fail.

Each history is one request through one scheduler on loopback, in virtual time.  All random draws follow from
the history's seed.  A response has to be complete unless a worker broke it off or its deadline has passed.
"""

import asyncio
import json
import os
from collections import Counter
from random import Random

import pytest
from virtual_time import clock, run_virtual
from wire import (
    LAST_CHUNK,
    Client,
    ScriptedWorker,
    answer,
    chunk,
    data_plane,
    event,
    header,
    not_executed,
    request,
    stream_head,
)

HISTORIES = int(os.environ.get("ATTEMPT_HISTORIES", "240"))  # 10,000 in manual runs
PARTS = 4
EVENTS = 6
DEADLINE_MS = 6000
ROUTES = (
    {"Resumable": True, "MaxAttempts": 2},
    {"Resumable": True, "MaxAttempts": 3},
    {"Resumable": False, "MaxAttempts": 1},
)
BEHAVIORS = (
    "healthy",
    "healthy",
    "stalls",
    "stalls",
    "breaks off",
    "rejects",
    "fails",
    "silent",
    "half an event",
)
COMPLETE_BODY = b"".join(event(number) for number in range(1, EVENTS + 1))


class DrawnWorker(ScriptedWorker):
    """Behaves as drawn for each request, and counts the requests that it ran and that it broke off."""

    def __init__(self, name, random, met):
        super().__init__(name, self._answer)
        self.random, self.met = random, met
        self.ran = self.broken_off = 0

    def _answer(self, received):
        kind = self.random.choice(BEHAVIORS)
        self.met[kind] += 1
        if kind == "rejects":
            return [self.random.choice((0.0, 0.4)), not_executed(received)]
        self.ran += 1
        if kind == "fails":
            self.broken_off += 1
            return [answer(received, b"sorry", b"500 Internal Server Error")]
        if kind == "silent":
            return [60.0]
        return self._stream(received, kind)

    def _stream(self, received, kind):
        first = int(header(received, b"Last-Event-Id") or 0) + 1
        break_at = self.random.randint(first, EVENTS) if kind in ("breaks off", "half an event") else 0
        stall_at = self.random.randint(first, EVENTS) if kind == "stalls" else 0
        parts = [stream_head(received)]
        for number in range(first, EVENTS + 1):
            if number == break_at:
                self.broken_off += 1
                rest = [chunk(event(number)[:-4])] if kind == "half an event" else []
                return [*parts, *rest, None]
            parts.append(self.random.uniform(0.5, 3.0) if number == stall_at else 0.02)
            parts.append(chunk(event(number)))
        return [*parts, LAST_CHUNK]


async def play(seed, met):
    """Run one history; raises AssertionError if a rule is broken."""
    random = Random(seed)
    route = random.choice(ROUTES)
    workers = [DrawnWorker(f"w{n}", Random(f"{seed} {n}"), met) for n in range(random.randint(1, 4))]
    route_body = {
        "Name": "r",
        "Host": "shop.example",
        "PathPrefix": "/p/",
        "Type": "streaming",
        "Service": "s",
    }
    route_body.update({"TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 300, "gap_aim_ms": 200, **route})
    services = [{"Name": "s", "MaxConnections": 50}]
    body = json.dumps({"Version": 1, "Routes": [route_body], "Services": services}).encode()
    budget = random.choice((0.0, 4.0, 1000.0))
    async with data_plane(body, *workers, clock=clock, retry_budget_min=budget) as (port, ingress):
        started_at = clock()
        client = await Client.connect(port)
        await client.send(request(deadline=DEADLINE_MS))
        try:
            status, _head, got, complete = await asyncio.wait_for(client.response(), DEADLINE_MS / 1000 + 1)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise AssertionError("neither a response nor an error") from error
        took_ms = clock() - started_at
        tracks = ingress.state.listed_workers("s")
        while ingress.open_requests:
            await asyncio.sleep(0)
        assert not any(worker.unfinished for worker in tracks), "work is left behind"
    check(workers, route, budget, status, got, complete, took_ms)
    met["hedges"] += ingress.state.hedge_gate("s").outcomes["begun"]
    met["won"] += ingress.state.hedge_gate("s").outcomes["won"]
    met[f"{status}, {'complete' if complete else 'cut'}"] += 1


def check(workers, route, budget, status, got, complete, took_ms):
    """Check the rules for one request and its response."""
    ran = sum(worker.ran for worker in workers)
    arrived = sum(len(worker.requests) for worker in workers)
    assert ran <= route["MaxAttempts"], f"ran {ran} times"
    assert arrived <= 1 or budget, f"{arrived} arrivals without retry budget"
    if status in (429, 503):
        assert not ran, "not-run was promised for a request that may have run"
        return
    deadline_passed = took_ms >= DEADLINE_MS - 50
    broken_off = any(worker.broken_off for worker in workers)
    if status == 200:
        assert got == COMPLETE_BODY if complete else COMPLETE_BODY.startswith(got), got
        assert complete or deadline_passed or broken_off, f"cut after {took_ms:.0f} ms without a reason"
        return
    assert status in (500, 502, 504) and (deadline_passed or broken_off), (
        f"{status} after {took_ms:.0f} ms without a reason"
    )


@pytest.mark.parametrize("part", range(PARTS))
def test_a_response_is_complete_unless_broken_off_or_past_its_deadline(part):
    met = Counter()
    for seed in range(part, HISTORIES, PARTS):
        try:
            run_virtual(play(seed, met))
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
    assert not [kind for kind in BEHAVIORS if not met[kind]], met
    assert met["hedges"] and met["won"] and met["200, complete"] and met["200, cut"], met
