"""The operator's time limits for clients: for heads, bodies and idle connections."""

import asyncio
import json

import pytest
from wire import Client, ScriptedWorker, answer, data_plane, header, request, run

from molespur.system import early_listener
from molespur.system.inbound.request_timer import RequestTimer, WaitState
from molespur.system.inbound.server import HttpServer
from molespur.system.settings.configuration import Limits

SHORT_MS, LONG_MS = 40, 60_000


def limited(header_ms=LONG_MS, idle_ms=LONG_MS):
    route = {"Name": "r", "Host": "shop.example", "PathPrefix": "/p/", "Type": "idempotent", "Service": "s"}
    route.update({"TimeoutMs": 5000, "TargetLatencyMs": 300, "MaxAttempts": 1})
    limits = {"HeaderTimeoutMs": header_ms, "IdleTimeoutMs": idle_ms}
    services = [{"Name": "s", "MaxConnections": 50}]
    return json.dumps({"Version": 1, "Routes": [route], "Services": services, "Limits": limits}).encode()


def limits_test(scenario, script=answer, **limits):
    async def prepared():
        worker = ScriptedWorker("w", script)
        async with data_plane(limited(**limits), worker) as (port, _ingress):
            await scenario(await Client.connect(port), worker)

    run(prepared())


async def drip(client, piece):
    """Send a piece over and over until the server answers or closes."""
    answered = asyncio.create_task(client.head())
    while not answered.done():
        client.writer.write(piece)
        await asyncio.sleep(0)
    return await answered


def test_a_head_that_arrives_too_slowly_gets_a_408_and_a_close():
    async def scenario(client, worker):
        await client.send(b"POST /p/x HTTP/1.1\r\n")
        head = await drip(client, b"X-A: b\r\n")
        assert head.startswith(b"HTTP/1.1 408 ") and header(head, b"Connection") == b"close"
        assert await client.closed()
        assert worker.requests == []

    limits_test(scenario, header_ms=SHORT_MS)


def test_a_head_that_stops_midway_gets_a_408():
    async def scenario(client, worker):
        await client.send(request())
        assert (await client.response())[0] == 200
        await client.send(b"POST /p/x HT")
        status, head, body, _complete = await client.response()
        assert (status, header(head, b"Connection"), body) == (408, b"close", b"")
        assert await client.closed()
        assert len(worker.requests) == 1

    limits_test(scenario, header_ms=SHORT_MS)


def test_a_body_that_arrives_too_slowly_gets_a_408_and_is_not_forwarded():
    async def scenario(client, worker):
        await client.send(request(body=b"z" * 100_000)[:-99_000])
        status, head, _body, _complete = await client.response()
        assert (status, header(head, b"Connection")) == (408, b"close")
        assert worker.requests == []

    limits_test(scenario, idle_ms=SHORT_MS)


def test_a_body_may_not_take_longer_than_the_deadline_of_its_request():
    async def scenario(client, worker):
        await client.send(request(body=b"zz", deadline=SHORT_MS)[:-1])
        assert (await client.response())[0] == 408
        assert worker.requests == []

    limits_test(scenario)


@pytest.mark.parametrize("used", [False, True], ids=["never used", "after a response"])
def test_an_idle_connection_is_closed_without_a_response(used):
    async def scenario(client, _worker):
        if used:
            await client.send(request())
            assert (await client.response())[0] == 200
        assert await client.closed()

    limits_test(scenario, idle_ms=SHORT_MS)


def test_a_connection_with_an_open_request_is_not_idle():
    async def scenario(client, worker):
        await client.send(request())
        assert (await client.response())[0] == 200
        assert len(worker.requests) == 1

    def after_the_limits(request):
        passed = asyncio.Event()
        asyncio.get_running_loop().call_later(4 * SHORT_MS / 1000.0, passed.set)
        return [passed, answer(request)]

    limits_test(scenario, after_the_limits, header_ms=SHORT_MS, idle_ms=SHORT_MS)


def test_limits_of_0_mean_no_limit():
    async def scenario(client, _worker):
        await client.send(request(body=b"12")[:20])
        await client.send(request(body=b"12")[20:-1])
        await client.send(request(body=b"12")[-1:])
        assert (await client.response())[0] == 200
        await client.send(request())
        assert (await client.response())[0] == 200

    limits_test(scenario, header_ms=0, idle_ms=0)


def test_idle_connections_do_not_delay_the_end_of_the_server():
    """The server's grace period is far longer than the test may take."""

    async def scenario():
        listener = early_listener.open_listener("127.0.0.1:0")
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        stop = asyncio.Event()
        server = HttpServer(refuse, Limits)
        serving = asyncio.create_task(server.serve(address, stop, graceful_s=LONG_MS))
        await asyncio.sleep(0)
        client = await Client.connect(int(address.rpartition(":")[2]))
        await client.send(request())
        assert (await client.response())[0] == 404
        stop.set()
        assert await client.closed()
        async with asyncio.timeout(5.0):
            await serving

    run(scenario())


async def refuse(_scope, _receive, send):
    """An application without any path."""
    head = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 404, "headers": head})
    await send({"type": "http.response.body", "body": b"", "more_body": False})


class VirtualLoop:
    """What a timer needs of the loop, on a clock that the test advances."""

    def __init__(self):
        self.now, self.calls = 0.0, []

    def time(self):
        return self.now

    def call_later(self, delay, call):
        handle = VirtualHandle(self.now + delay, call)
        self.calls.append(handle)
        return handle

    def advance_to(self, now):
        self.now = now
        for handle in self.calls:
            if handle.due <= now and not handle.cancelled:
                handle.cancelled = True
                handle.call()


class VirtualHandle:
    def __init__(self, due, call):
        self.due, self.call, self.cancelled = due, call, False

    def cancel(self):
        self.cancelled = True


def idle_timer():
    """The timer of a connection that is idle from time 0, its loop, and the times of its closes."""
    loop, closed = VirtualLoop(), []
    limits = Limits(header_timeout_ms=3000.0, idle_timeout_ms=15_000.0)
    timer = RequestTimer(lambda: limits, lambda: closed.append(loop.now), loop)
    call(timer.restart(None, None))
    return timer, loop, closed


def call(coroutine):
    """Run a coroutine that waits for nothing."""
    with pytest.raises(StopIteration):
        coroutine.send(None)


def test_a_head_counts_from_its_first_byte():
    timer, loop, closed = idle_timer()
    loop.advance_to(14.9)
    timer.record_received()
    assert timer.head_due == pytest.approx(17.9)
    loop.advance_to(16.0)
    timer.record_received()
    assert timer.head_due == pytest.approx(17.9)
    assert closed == []


def test_the_idle_time_starts_again_after_each_response():
    timer, loop, closed = idle_timer()
    timer.record_received()
    call(timer.stop())
    assert (timer.state, timer.head_due) == (WaitState.RESPONSE, None)
    timer.record_received()  # a body
    assert timer.head_due is None
    loop.advance_to(100.0)
    assert closed == []
    call(timer.restart(None, None))
    loop.advance_to(114.9)
    assert closed == []
    loop.advance_to(115.0)
    assert closed == [115.0]
