"""An attempt that another one has overtaken leaves no own work and no held KV cache behind.

A KV cache that waits to be taken occupies blocks that other requests need.  At a worker with nine tenths of
its blocks in use it has to be freed when its attempt is overtaken, not seconds later when the response ends.
"""

import asyncio
import json
from random import Random

import pytest
from virtual_time import clock, run_virtual
from wire import (
    LAST_CHUNK,
    Client,
    Freshness,
    ScriptedWorker,
    answer,
    apply_first_state,
    chunk,
    data_plane,
    event,
    header,
    request,
    settings,
    stream_head,
)

from molespur.system.data_plane import client_call
from molespur.system.data_plane.client_call import ClientCall
from molespur.system.data_plane.client_request import ClientRequest, demand_of
from molespur.system.data_plane.exchange_messages import (
    AttemptFailed,
    AttemptProgressed,
    AttemptSilent,
    Failure,
    RequestReceived,
)
from molespur.system.data_plane.ingress import Ingress
from molespur.system.data_plane.state import DataPlaneState
from molespur.system.data_plane.upstream import Upstreams

PROMPT = b"Molespur-Model: m\r\nMolespur-Token-Usage: 9000,9\r\nMolespur-Prompt-Prefix: aa:6000,bb:3000\r\n"
TIMEOUT_S = 20.0


def configuration(engine, **route):
    route_body = {"Name": "r", "Host": "shop.example", "PathPrefix": "/p/", "Service": "s", "MaxAttempts": 2}
    route_body.update({"TimeoutMs": 8000, "TargetLatencyMs": 3000, "gap_aim_ms": 300, **route})
    service = {"Name": "s", "MaxConnections": 50}
    if engine:
        service["Engine"] = {"Capacity": 8, "KvCapacityTokens": 100_000, "KvTokenBytes": 18_432}
    return json.dumps({"Version": 1, "Routes": [route_body], "Services": [service]}).encode()


class PrefillWorkers:
    """Prefill workers; each handle contains the number of its worker, and freed handles are recorded."""

    def __init__(self, count):
        self.handles, self.freed = [], {}
        self.workers = [ScriptedWorker(f"p{n}", self._script(n), phase="prefill") for n in range(count)]

    def _script(self, number):
        def script(received):
            if received.startswith(b"DELETE "):
                handle = received.split(b" ")[1].rpartition(b"/")[2].decode()
                self.freed.setdefault(handle, asyncio.Event()).set()
                return answer(received, stamp=False)
            handle = f"{number:02x}{len(self.handles):04x}"
            self.handles.append(handle)
            body = json.dumps({"PrefillHandle": handle, "Tokens": 9000, "Version": 1}).encode()
            return answer(received, body, stamp=False)

        return script

    async def wait_until_freed(self, handle):
        async with asyncio.timeout(TIMEOUT_S):
            await self.freed.setdefault(handle, asyncio.Event()).wait()


def test_the_kv_cache_of_an_overtaken_attempt_is_freed_before_the_response_ends():
    """The first decode worker stalls; the second one has started its response and not completed it."""

    async def scenario():
        prefill_workers, may_continue, runs = PrefillWorkers(1), asyncio.Event(), []

        def run(received):
            runs.append((header(received, b"Kv-From") or b"").rpartition(b"/")[2].decode())
            if len(runs) == 1:
                return [asyncio.Event()]
            return [stream_head(received), chunk(event(1)), may_continue, chunk(event(2)), LAST_CHUNK]

        decode_workers = [ScriptedWorker(f"d{n}", run, phase="decode") for n in range(2)]
        body = configuration(True, Type="streaming", Resumable=True)
        async with data_plane(
            body, *prefill_workers.workers, *decode_workers, clock=clock, retry_budget_min=100.0
        ) as (
            port,
            _,
        ):
            client = await Client.connect(port)
            await client.send(request(extra=PROMPT, deadline=8000))
            head = await client.head()
            assert head.startswith(b"HTTP/1.1 200") and len(runs) == 2 and runs[0]
            await prefill_workers.wait_until_freed(runs[0])
            assert not may_continue.is_set(), "it was freed before the response ended"
            may_continue.set()
            async with asyncio.timeout(TIMEOUT_S):
                rest = await client.reader.readuntil(b"0\r\n\r\n")
            assert event(2) in rest and runs[1] not in prefill_workers.freed

    run_virtual(scenario())


async def _client_call(*workers):
    """The client call of one repeatable request, and its data plane's state."""
    for worker in workers:
        await worker.start()
    state = DataPlaneState(settings(retry_budget_min=100.0), Random(1))
    apply_first_state(state, configuration(False, Type="idempotent"), *workers)
    ingress = Ingress(state, Upstreams(), clock, Freshness())
    route, service = state.routes.find("shop.example", "/p/x"), state.services["s"]
    headers = [(b"Host", b"shop.example"), (b"Molespur-Attempt-Id", b"a"), (b"Content-Length", b"0")]
    client_request = ClientRequest("POST", b"/p/x", "/p/x", "shop.example", headers, b"a", 5000.0)
    demand = demand_of(client_request, route, service, clock(), False)

    async def sent(_message):
        """Discards the response."""

    return ClientCall(ingress, client_request, route, service, demand, sent), state


@pytest.mark.parametrize("iterations", (0, 1, 2, 5))
def test_a_second_attempt_that_is_overtaken_at_once_leaves_no_work_behind(iterations):
    """Without a loop iteration in between, its task is cancelled before its first line has run."""

    async def scenario():
        workers = [ScriptedWorker(f"w{n}", lambda _: [asyncio.Event()]) for n in range(2)]
        call, state = await _client_call(*workers)
        call.report(RequestReceived())
        call.report(AttemptSilent(1))
        tracks = state.listed_workers("s")
        assert [track.unfinished for track in tracks] == [1, 1]
        for _ in range(iterations):
            await asyncio.sleep(0)
        call.report(AttemptProgressed(1))
        for _ in range(2 * iterations):  # a started call handles its cancellation in another iteration
            await asyncio.sleep(0)
        assert sum(track.unfinished for track in tracks) == 1
        await call._end_calls()
        assert not any(track.unfinished or track.response_due_at for track in tracks)
        assert state.meter("s").running == 0

    run_virtual(scenario())


@pytest.mark.parametrize("event", [AttemptSilent(1), AttemptFailed(1, Failure.REJECTED)], ids=str)
def test_no_attempt_is_started_for_a_client_that_has_left(event, monkeypatch):
    """Guards against requests that reach a worker after their client has gone.

    A timer or a worker's response may be handled between the client's departure and the end of its calls.
    """

    async def scenario():
        workers = [ScriptedWorker(f"w{n}", lambda _: [asyncio.Event()]) for n in range(2)]
        call, state = await _client_call(*workers)
        running = asyncio.ensure_future(call.run())
        while not any(worker.requests for worker in workers):
            await asyncio.sleep(0.01)
        cancel = client_call._cancel

        def report_before_cancelling(worker_call, task):
            call.report(event)
            cancel(worker_call, task)

        monkeypatch.setattr(client_call, "_cancel", report_before_cancelling)
        running.cancel()
        with pytest.raises(asyncio.CancelledError):
            await running
        await asyncio.sleep(1.0)
        assert sum(len(worker.requests) for worker in workers) == 1
        assert not any(track.unfinished for track in state.listed_workers("s"))

    run_virtual(scenario())
