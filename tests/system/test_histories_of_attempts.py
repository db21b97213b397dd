"""Random histories of a request before workers that rest, break off, refuse and err: whole, or a fact.

Each history is one request through one scheduler on loopback, on the loop's own time; all that is drawn
follows from the history's seed.  What may end an answer early is that a worker broke it off, or its deadline.
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

HISTORIES = int(os.environ.get("ATTEMPT_HISTORIES", "240"))  # 10,000 by hand
PARTS = 4
EVENTS = 6
DEADLINE_MS = 6000
ROUTES = (
    {"Resumable": True, "MaxAttempts": 2},
    {"Resumable": True, "MaxAttempts": 3},
    {"Resumable": False, "MaxAttempts": 1},
)
BEHAVIOURS = ("sound", "sound", "rests", "rests", "breaks off", "refuses", "fails", "silent", "half an event")
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


class DrawnWorker(ScriptedWorker):
    """Behaves as is drawn for each request, and notes which it ran and which it broke off."""

    def __init__(self, name, random, met):
        super().__init__(name, self._answer)
        self.random, self.met = random, met
        self.ran = self.broke = 0

    def _answer(self, received):
        kind = self.random.choice(BEHAVIOURS)
        self.met[kind] += 1
        if kind == "refuses":
            return [self.random.choice((0.0, 0.4)), not_executed(received)]
        self.ran += 1
        if kind == "fails":
            self.broke += 1
            return [answer(received, b"sorry", b"500 Internal Server Error")]
        if kind == "silent":
            return [60.0]
        return self._stream(received, kind)

    def _stream(self, received, kind):
        first = int(header(received, b"Last-Event-Id") or 0) + 1
        stops = self.random.randint(first, EVENTS) if kind in ("breaks off", "half an event") else 0
        rests = self.random.randint(first, EVENTS) if kind == "rests" else 0
        parts = [stream_head(received)]
        for number in range(first, EVENTS + 1):
            if number == stops:
                self.broke += 1
                rest = [chunk(event(number)[:-4])] if kind == "half an event" else []
                return [*parts, *rest, None]
            parts.append(self.random.uniform(0.5, 3.0) if number == rests else 0.02)
            parts.append(chunk(event(number)))
        return [*parts, LAST_CHUNK]


async def play(seed, met):
    """One history; raises AssertionError where a rule is broken."""
    random = Random(seed)
    route = random.choice(ROUTES)
    workers = [DrawnWorker(f"w{n}", Random(f"{seed} {n}"), met) for n in range(random.randint(1, 4))]
    made = {"Name": "r", "Host": "shop.example", "PathPrefix": "/p/", "Type": "streaming", "Service": "s"}
    made.update({"TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 300, "gap_aim_ms": 200, **route})
    services = [{"Name": "s", "MaxConnections": 50}]
    body = json.dumps({"Version": 1, "Routes": [made], "Services": services}).encode()
    budget = random.choice((0.0, 4.0, 1000.0))
    async with data_plane(body, *workers, clock=clock, retry_budget_min=budget) as (port, ingress):
        began = clock()
        client = await Client.connect(port)
        await client.send(request(deadline=DEADLINE_MS))
        try:
            status, _head, got, whole = await asyncio.wait_for(client.response(), DEADLINE_MS / 1000 + 1)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise AssertionError("neither an answer nor a refusal") from error
        took = clock() - began
        track = ingress.state.listed_workers("s")
        while ingress.open_requests:
            await asyncio.sleep(0)
        assert not any(worker.unfinished for worker in track), "work is left behind"
    check(workers, route, budget, status, got, whole, took)
    met["hedges"] += ingress.state.hedge_gate("s").outcomes["begun"]
    met["won"] += ingress.state.hedge_gate("s").outcomes["won"]
    met[f"{status}, {'whole' if whole else 'cut'}"] += 1


def check(workers, route, budget, status, got, whole, took):
    """What must hold of one request and its answer."""
    ran = sum(worker.ran for worker in workers)
    arrived = sum(len(worker.requests) for worker in workers)
    assert ran <= route["MaxAttempts"], f"ran {ran} times"
    assert arrived <= 1 or budget, f"{arrived} arrivals without a right to a repeat"
    if status in (429, 503):
        assert not ran, "a promise was made of what may have run"
        return
    over = took >= DEADLINE_MS - 50
    broke = any(worker.broke for worker in workers)
    if status == 200:
        assert got == WHOLE if whole else WHOLE.startswith(got), got
        assert whole or over or broke, f"cut after {took:.0f} ms for no fact"
        return
    assert status in (500, 502, 504) and (over or broke), f"{status} after {took:.0f} ms for no fact"


@pytest.mark.parametrize("part", range(PARTS))
def test_an_answer_is_whole_or_a_fact_has_ended_it(part):
    met = Counter()
    for seed in range(part, HISTORIES, PARTS):
        try:
            run_virtual(play(seed, met))
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
    assert not [kind for kind in BEHAVIOURS if not met[kind]], met
    assert met["hedges"] and met["won"] and met["200, whole"] and met["200, cut"], met
