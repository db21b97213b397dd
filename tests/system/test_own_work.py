"""Own work at a worker counts from the decision until the call has ended, whatever ends it.

Requests that arrive in one iteration of the event loop are decided on before any of their calls starts to
run.  A decision that did not count at once would send all of them to the worker that looked idle.
"""

import asyncio
from random import Random

import pytest
from test_data_plane_wire import configuration
from virtual_time import clock, run_virtual
from wire import Freshness, ScriptedWorker, answer, apply_first_state, settings

from molespur.system.data_plane.client_call import ClientCall
from molespur.system.data_plane.client_request import ClientRequest, demand_of
from molespur.system.data_plane.exchange_messages import RequestReceived
from molespur.system.data_plane.ingress import Ingress
from molespur.system.data_plane.state import DataPlaneState
from molespur.system.data_plane.upstream import Upstreams

REQUESTS = 6


async def _sent(_message):
    """Discards the response."""


async def _client_calls(count):
    """The track of the only worker of a data plane, and client calls that have not started."""
    worker = ScriptedWorker("w", answer)
    await worker.start()
    state = DataPlaneState(settings(), Random(1))
    apply_first_state(state, configuration(), worker)
    ingress = Ingress(state, Upstreams(), clock, Freshness())
    route = state.routes.find("shop.example", "/p/x")
    service = state.services["s"]
    calls = []
    for number in range(count):
        attempt = b"a%d" % number
        headers = [(b"Host", b"shop.example"), (b"Molespur-Attempt-Id", attempt), (b"Content-Length", b"0")]
        request = ClientRequest("POST", b"/p/x", "/p/x", "shop.example", headers, attempt, 5000.0)
        demand = demand_of(request, route, service, clock(), False)
        calls.append(ClientCall(ingress, request, route, service, demand, _sent))
    return state.listed_workers("s")[0], calls


def test_a_decision_counts_at_once():
    async def scenario():
        track, calls = await _client_calls(REQUESTS)
        for call in calls:
            call.report(RequestReceived())
        assert track.unfinished == REQUESTS and len(track.response_due_at) == REQUESTS
        for call in calls:
            await call._end_calls()
        assert track.unfinished == 0 and not track.response_due_at

    run_virtual(scenario())


@pytest.mark.parametrize("iterations", range(5))
def test_a_cancelled_request_leaves_no_work_behind(iterations):
    async def scenario():
        track, calls = await _client_calls(1)
        running = asyncio.create_task(calls[0].run())
        for _ in range(iterations):
            await asyncio.sleep(0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert track.unfinished == 0 and not track.response_due_at

    run_virtual(scenario())
