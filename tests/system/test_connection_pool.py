"""The connection pool of one worker, on loopback sockets, with a clock that the test advances."""

import asyncio

import httpcore
import pytest
from wire import ScriptedWorker, answer, run

from molespur.system.data_plane import pool as pooling
from molespur.system.data_plane.pool import ConnectionPool, max_idle_after


class Rig:
    """A connection pool to one scripted worker."""

    def __init__(self, worker, limit=8):
        self.worker, self.now = worker, 0.0
        host, _, port = worker.address.partition(":")
        self.pool = ConnectionPool(host.encode(), int(port), limit)
        self.pool._now = lambda: self.now

    async def begin(self, repeatable=True):
        headers = [(b"Host", b"w"), (b"Molespur-Attempt-Id", b"a"), (b"Content-Length", b"0")]
        url = httpcore.URL(f"http://{self.worker.address}/")
        return await self.pool.call(httpcore.Request("POST", url, headers=headers), repeatable)

    async def call(self, repeatable=True):
        response = await self.begin(repeatable)
        await response.aread()
        await response.aclose()
        return response.status


def rig_test(scenario, *scripts, limit=8):
    async def prepared():
        worker = ScriptedWorker("w", *scripts)
        await worker.start()
        rig = Rig(worker, limit)
        await scenario(rig)
        await rig.pool.aclose()

    run(prepared())


def keeping(seconds):
    return lambda request: answer(request, extra=b"Keep-Alive: timeout=%d\r\n" % seconds)


def test_the_connection_that_was_idle_for_the_shortest_time_is_used_first():
    async def scenario(rig):
        first, second = await rig.begin(), await rig.begin()
        for response in (first, second):
            await response.aread()
            await response.aclose()
        assert rig.worker.connections == 2
        newest = rig.pool._idle[-1]
        for _ in range(3):
            await rig.call()
            assert rig.pool._idle[-1] is newest
        assert rig.worker.connections == 2

    rig_test(scenario, answer)


@pytest.mark.parametrize(
    ("seconds", "idle_s", "repeatable", "reused"),
    [
        (15, 14.0, True, True),
        (15, 14.6, True, False),
        (15, 3.9, False, True),
        (15, 4.1, False, False),
        (2, 1.4, False, True),
        (2, 1.6, True, False),
        (600, 19.0, True, True),
        (600, 21.0, True, False),
    ],
)
def test_a_connection_is_idle_as_long_as_its_worker_and_the_call_allow(seconds, idle_s, repeatable, reused):
    async def scenario(rig):
        await rig.call()
        rig.now += idle_s
        assert await rig.call(repeatable) == 200
        assert rig.worker.connections == (1 if reused else 2)

    rig_test(scenario, keeping(seconds))


def test_a_call_that_must_not_be_repeated_leaves_long_idle_connections_to_others():
    async def scenario(rig):
        await rig.call()
        rig.now += 10.0
        await rig.call(repeatable=False)
        assert (rig.worker.connections, rig.pool.open) == (2, 2)
        await rig.call()
        await rig.call(repeatable=False)
        assert rig.worker.connections == 2

    rig_test(scenario, keeping(15))


def test_at_the_limit_a_long_idle_connection_is_replaced():
    async def scenario(rig):
        await rig.call()
        rig.now += 10.0
        await rig.call(repeatable=False)
        assert (rig.worker.connections, rig.pool.open) == (2, 1)

    rig_test(scenario, keeping(15), limit=1)


def test_the_limit_holds_and_a_waiting_call_gets_the_released_connection():
    async def scenario(rig):
        response = await rig.begin()
        waiting = asyncio.create_task(rig.call())
        for _ in range(5):
            await asyncio.sleep(0)
        assert not waiting.done()
        await response.aread()
        await response.aclose()
        assert await waiting == 200
        assert (rig.worker.connections, rig.pool.open) == (1, 1)

    rig_test(scenario, answer, limit=1)


def test_a_call_that_waits_too_long_sends_nothing(monkeypatch):
    monkeypatch.setattr(pooling, "CONNECT_TIMEOUT_S", 0.0)

    async def scenario(rig):
        rig.pool.open = 1
        with pytest.raises(httpcore.PoolTimeout):
            await rig.begin()
        rig.pool.open = 0
        assert not rig.worker.requests and not rig.pool._waiting

    rig_test(scenario, answer, limit=1)


def test_a_connection_that_its_worker_closed_while_idle_is_not_used():
    async def scenario(rig):
        await rig.call()
        await rig.worker.closed.wait()
        stream = rig.pool._idle[-1].connection._network_stream
        while not stream.get_extra_info("is_readable"):
            await asyncio.sleep(0)
        assert await rig.call() == 200
        assert rig.worker.connections == 2

    rig_test(scenario, lambda request: [answer(request), None], answer)


def test_a_cancelled_call_frees_its_connection():
    async def scenario(rig):
        cancelled = asyncio.create_task(rig.begin())
        while not rig.worker.requests:
            await asyncio.sleep(0)
        cancelled.cancel()
        with pytest.raises(asyncio.CancelledError):
            await cancelled
        assert rig.pool.open == 0
        assert await rig.call() == 200

    held = asyncio.Event()
    rig_test(scenario, lambda request: [held], answer, limit=1)


def test_failed_connections_do_not_count_for_the_limit():
    async def scenario(rig):
        rig.worker.server.close()
        await rig.worker.server.wait_closed()
        for _ in range(3):
            with pytest.raises(httpcore.ConnectError):
                await rig.begin()
        assert rig.pool.open == 0

    rig_test(scenario, answer, limit=1)


def test_expired_connections_are_closed():
    async def scenario(rig):
        await rig.call()
        rig.now += 14.0
        rig.pool.close_expired()
        assert rig.pool.open == 1
        rig.now += 1.0
        rig.pool.close_expired()
        await rig.worker.closed.wait()
        assert rig.pool.open == 0

    rig_test(scenario, keeping(15))


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (b"timeout=5", 4.5),
        (b"max=3, Timeout=7", 6.5),
        (b"timeout=0", 0.2),
        (b"timeout=99", 20.0),
        (b"timeout=x", 4.0),
        (b"max=3", 4.0),
        (b"", 4.0),
    ],
)
def test_the_idle_time_follows_from_the_keep_alive_header(value, seconds):
    assert max_idle_after([(b"X", b"timeout=1"), (b"Keep-Alive", value)]) == seconds


def test_a_connection_whose_call_was_broken_off_is_closed_and_not_kept():
    may_end = asyncio.Event()

    async def scenario(rig):
        response = await rig.begin()
        pooled = response.stream._pooled
        assert not pooled.connection.is_idle() and not pooled.connection.is_closed()
        rig.pool.release(pooled)  # as after a second cancellation, which httpcore does not see
        await rig.pool.aclose()
        assert rig.pool.open == 0 and pooled.connection.is_closed()
        may_end.set()
        await rig.worker.closed.wait()

    rig_test(scenario, lambda request: [answer(request)[:-1], may_end])
