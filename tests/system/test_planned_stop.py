"""What a scheduler that stops in order still owes: to clients, and to workers that hold a KV cache for it.

These tests guard against a request that becomes complete too late to be served, is passed on to a worker all
the same, and is cut when the grace period is over (review/5).
"""

import asyncio
from contextlib import asynccontextmanager

from test_data_plane_wire import PROMPT, configuration, prefill
from wire import (
    LAST_CHUNK,
    Client,
    ScriptedWorker,
    answer,
    chunk,
    event,
    header,
    request,
    run,
    settings,
    stoppable_scheduler,
    stream_head,
)

from molespur.system.data_plane.role import DataPlane
from molespur.system.inbound.connections import ConnectionState

BODY = b"x" * 1000
LONG_S = 5.0  # for requests that end by themselves
SHORT_S = 0.05


@asynccontextmanager
async def serving(text, *workers, graceful_s=LONG_S):
    """A scheduler in front of these workers."""
    for worker in workers:
        await worker.start()
    try:
        async with stoppable_scheduler(text, *workers, graceful_s=graceful_s) as served:
            yield served
    finally:
        for worker in workers:
            worker.server.close()


def is_refused(status, head):
    """Whether a response promises that the request has not run, and says when to come back."""
    return status == 503 and header(head, b"Retry-After") is not None and b"close" in head.lower()


def test_a_request_that_becomes_complete_after_the_listener_has_closed_is_refused():
    async def scenario():
        worker = ScriptedWorker("w", answer)
        async with serving(configuration(), worker) as served:
            client = await Client.connect(served.port)
            whole = request(body=BODY)
            await client.send(whole[:-1])
            await until_open(served, 1)
            await served.begin_close()
            await client.send(whole[-1:])
            status, head, _body, _complete = await client.response()
            assert is_refused(status, head)
            assert await client.closed() and not worker.requests

    run(scenario())


def test_a_request_that_is_complete_while_the_scheduler_serves_on_is_served():
    async def scenario():
        async with serving(configuration(), ScriptedWorker("w", answer)) as served:
            client = await Client.connect(served.port)
            served.ingress.stopping = True
            await client.send(request(body=BODY))
            assert (await client.response())[0] == 200

    run(scenario())


def test_a_request_that_was_passed_on_before_the_listener_closed_is_served_to_its_end():
    async def scenario():
        requested, released = asyncio.Event(), asyncio.Event()

        def hold(received):
            requested.set()
            return [released, answer(received)]

        async with serving(configuration(), ScriptedWorker("w", hold)) as served:
            client = await Client.connect(served.port)
            await client.send(request(body=BODY))
            await requested.wait()
            await served.begin_close()
            released.set()
            assert (await client.response())[0] == 200

    run(scenario())


def test_a_request_sent_ahead_is_refused_when_the_one_before_it_ends_during_the_stop():
    """Its connection closed without an answer, although the process had read it."""

    async def scenario():
        released = asyncio.Event()

        def stream(received):
            return [stream_head(received) + chunk(event(1)), released, chunk(event(2)) + LAST_CHUNK]

        worker = ScriptedWorker("w", stream)
        async with serving(configuration("streaming"), worker) as served:
            client = await Client.connect(served.port)
            await client.send(request(attempt=b"a1") + request(attempt=b"a2", body=BODY))
            await client.head()
            await served.begin_close()
            released.set()
            assert await client.reader.readuntil(LAST_CHUNK)
            status, head, _body, _complete = await client.response()
            assert is_refused(status, head) and await client.closed()
            assert len(worker.requests) == 1

    run(scenario())


def test_a_request_whose_head_has_begun_when_the_listener_closes_is_refused():
    async def scenario():
        worker = ScriptedWorker("w", answer)
        async with serving(configuration(), worker) as served:
            client = await Client.connect(served.port)
            await client.send(request()[:20])
            await until_state(served, ConnectionState.HEAD)
            await served.begin_close()
            await client.send(request()[20:])
            status, head, _body, _complete = await client.response()
            assert is_refused(status, head) and await client.closed() and not worker.requests

    run(scenario())


def test_an_idle_connection_is_closed_when_the_listener_closes():
    async def scenario():
        async with serving(configuration(), ScriptedWorker("w", answer)) as served:
            client = await Client.connect(served.port)
            await until_state(served, ConnectionState.IDLE)
            await served.begin_close()
            assert await client.closed()
            await served.serving

    run(scenario())


def test_a_connection_with_no_request_ahead_is_closed_after_its_last_response_during_the_stop():
    async def scenario():
        released = asyncio.Event()

        def stream(received):
            return [stream_head(received) + chunk(event(1)), released, chunk(event(2)) + LAST_CHUNK]

        async with serving(configuration("streaming"), ScriptedWorker("w", stream)) as served:
            client = await Client.connect(served.port)
            await client.send(request())
            await client.head()
            await served.begin_close()
            released.set()
            assert await client.reader.readuntil(LAST_CHUNK)
            assert await client.closed()
            await served.serving

    run(scenario())


def test_a_kv_cache_of_a_request_that_is_cut_at_the_end_of_the_grace_period_is_freed():
    """The call that frees it began as the process ended, and was never sent."""

    async def scenario():
        freed, requested = [], asyncio.Event()

        def prefill_or_free(received):
            if received.startswith(b"DELETE /api/kv-handle/3fa09c "):
                freed.append(received)
                return b"HTTP/1.1 204 No Content\r\n\r\n"
            return prefill(received)

        def hang(_received):
            requested.set()
            return [asyncio.Event()]

        prefill_worker = ScriptedWorker("p", prefill_or_free, phase="prefill")
        decode_worker = ScriptedWorker("d", hang, phase="decode")
        text = configuration("streaming", engine=True)
        async with serving(text, prefill_worker, decode_worker, graceful_s=SHORT_S) as served:
            client = await Client.connect(served.port)
            await client.send(request(extra=PROMPT))
            await requested.wait()
            await served.begin_close()
            await served.serving
            await served.ingress.free_remaining_handles()
            assert len(freed) == 1

    run(scenario())


async def until_open(served, count):
    """Wait until so many requests are open."""
    async with asyncio.timeout(LONG_S):
        while served.ingress.open_requests < count:
            await asyncio.sleep(0.001)


async def until_state(served, state):
    """Wait until the only connection is in a state."""
    async with asyncio.timeout(LONG_S):
        while not served.server.connections.in_state(state):
            await asyncio.sleep(0.001)


def test_the_role_refuses_late_requests_from_the_close_of_its_listener_on_and_frees_handles_last():
    async def scenario():
        plane = DataPlane(settings())
        stop, closing, ended = asyncio.Event(), asyncio.Event(), asyncio.Event()
        order = []

        async def serve_clients():
            await closing.wait()
            order.append(("closed", plane.ingress.stopping, plane.ingress.closing))

        async def free():
            order.append(("freed", ended.is_set()))

        plane.ingress.free_remaining_handles = free
        clients = asyncio.create_task(serve_clients())
        readiness = asyncio.create_task(ended.wait())
        leaving = asyncio.create_task(plane._leave(stop, SHORT_S, closing, ended, clients, readiness))
        stop.set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert plane.ingress.stopping and not plane.ingress.closing, "it serves on for a while"
        await leaving
        assert order == [("closed", True, True), ("freed", False)]

    run(scenario())
