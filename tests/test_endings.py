"""Every way in which something ends, forced over loopback sockets at the instant in which something is owed.

`docs/design/endings.md` has the table that these tests belong to.
"""

import socket

import pytest
import trio
from sockets import done, on_loopback, request, settings_with, settle

from molespur.net import downstream

SLOW_DIAL = settings_with(limits={"dialTimeout": 5000.0})
NO_CANCEL = settings_with(limits={"dialTimeout": 5000.0, "cancelling": False})


# -- Clients that leave ---------------------------------------------------------------------------


@on_loopback
async def test_a_client_that_left_before_it_was_read_is_not_sent_on(site):
    """Its request and its close stand in the listener's queue together, and a kept connection is free."""
    a = await site.client()
    await a.send(request("r0"))
    worker = await site.workers[0].accept()
    await worker.read(b"hi")
    await worker.send(done("r0"))
    await a.read(b"made of r0")
    for i in range(12):
        with socket.create_connection(site.address) as gone:
            gone.sendall(request(f"r{i + 1}"))
        await settle()
    assert site.counters["in.streams"] == 1
    assert site.counters["in.client_gone"] == 12
    assert await worker.quiet()


@pytest.mark.parametrize("leave", ["close", "reset", "half_close"])
@pytest.mark.parametrize("ahead", [0, 10_000, 200_000, 600_000])
def test_a_client_is_seen_to_leave_behind_all_that_it_sent(leave, ahead):
    @on_loopback(workers=2)
    async def play(site):
        a = await site.client()
        await a.send(request("r1"))
        one = await site.workers[0].accept() if await_first(site) == 0 else await site.workers[1].accept()
        await one.read(b"hi")
        # whole requests, so that nothing of it is wrong by itself
        more = b"".join(request(f"r{i + 2}") for i in range(ahead // len(request("r2"))))
        await a.send(more)
        getattr(a, leave)()
        await settle()
        assert site.counters["answered.client_gone"] == 1
        assert site.scheduler.host.open == 0
        assert site.counters["sent.requests"] == 1
        assert site.scheduler.downstream.memory == site.scheduler.downstream.granted

    play()


def await_first(site):
    """Which worker the first attempt goes to: seed and settings are fixed, so it is always the same."""
    (host,) = [h for h in site.scheduler.upstream.hosts.values() if h.open]
    return int(host.uid[1:]) - 1


@pytest.mark.parametrize("wire", [SLOW_DIAL, NO_CANCEL], ids=["cancelling", "no cancelling"])
def test_nothing_is_sent_once_the_client_left_while_its_attempt_waited_for_a_connection(wire):
    @on_loopback(wire=wire)
    async def play(site):
        gate, dial = trio.Event(), site.scheduler.upstream.dial

        async def held(address):
            await gate.wait()
            return await dial(address)

        site.scheduler.upstream.dial = held
        a = await site.client()
        await a.send(request("r1"))
        a.close()
        await settle()
        gate.set()
        await settle()
        assert site.counters["sent.requests"] == 1
        assert site.counters["upstream_tries"] == 0
        if await site.workers[0].called():
            pytest.fail("a connection was made for nobody")

    play()


@on_loopback
async def test_a_client_that_floods_is_told_so_and_its_memory_is_bounded(site):
    a = await site.client()
    await a.send(request("r1"))
    worker = await site.workers[0].accept()
    await worker.read(b"hi")
    held = []
    for _ in range(40):
        await a.send(b"x" * 65536)
        held.append(site.scheduler.downstream.granted - site.scheduler.downstream.memory)
        if site.counters["in.rejected"]:
            break
    assert max(held) <= downstream.AHEAD_MOST + 65536
    assert b" 413 " in await a.read(b"\r\n")
    assert site.scheduler.host.open == 0
