"""Idle clients take many descriptors while discovery is down: watch, workers and responses keep theirs."""

import contextlib
import errno
import os
import resource
import socket
import subprocess
import sys
import types

import pytest
import trio
from processes import ROOT, Site, split_address, wait_until
from sockets import done, on_loopback, request, settle
from trio.testing import MockClock

from molespur.net.listening import next_connection

LIMIT = 128


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path)
    yield site
    site.end()


def descriptors(program):
    return len(os.listdir(f"/proc/{program.pid}/fd"))


def test_the_watch_workers_and_responses_keep_their_descriptors(site, tmp_path):
    file = tmp_path / "config.json"
    file.write_text(file.read_text().replace('"sockets": 384', f'"sockets": {LIMIT}'))
    discovery = file.read_text().partition('"discovery": "')[2].partition('"')[0]

    def limit():
        resource.setrlimit(resource.RLIMIT_NOFILE, (LIMIT, LIMIT))

    program = subprocess.Popen(
        [sys.executable, "-m", "molespur"], cwd=ROOT, env=site.env, stderr=site.log, preexec_fn=limit
    )
    site.programs.append(program)
    wait_until(site.up)
    with contextlib.ExitStack() as idle:
        for _ in range(3 * LIMIT):
            idle.enter_context(socket.create_connection(split_address(site.listen), 5))
        wait_until(lambda: descriptors(program) >= LIMIT // 3)
        with socket.create_server(split_address(discovery)) as listener:
            listener.settimeout(5)
            call, _ = listener.accept()
            with call:
                assert b"watch=1" in call.recv(65536)
                # after the response ends, the next call is made while more idle clients connect
                for _ in range(LIMIT):
                    idle.enter_context(socket.create_connection(split_address(site.listen), 5))
            call, _ = listener.accept()
            with call, socket.create_connection(split_address(site.listen), 5) as client:
                assert b"watch=1" in call.recv(65536)
                client.sendall(request("r1"))
                assert client.recv(65536).startswith(b"HTTP/1.1 200 ")
        assert descriptors(program) < LIMIT
    assert program.poll() is None
    site.log.flush()
    assert "accept_failed" not in (tmp_path / "log").read_text()


def test_a_process_without_descriptors_neither_spins_nor_floods_its_log(caplog):
    calls = []

    class Full:
        async def accept(self):
            calls.append(trio.current_time())
            if trio.current_time() < 2:
                raise OSError(errno.EMFILE, "too many")
            return "one"

    clock = MockClock(autojump_threshold=0)
    assert trio.run(next_connection, Full(), "in.accept_failed", clock=clock) == "one"
    assert len(calls) < 30
    assert len(caplog.records) == 1


def test_a_connection_that_was_reset_before_it_was_accepted_costs_no_wait():
    errors = [OSError(errno.ECONNABORTED, "reset")] * 5

    async def accept():
        if errors:
            raise errors.pop()
        return "one"

    listener, clock = types.SimpleNamespace(accept=accept), MockClock(autojump_threshold=0)

    async def main():
        return await next_connection(listener, "in.accept_failed"), trio.current_time()

    one, at = trio.run(main, clock=clock)
    assert (one, at) == ("one", 0)


async def serve(site, client, name, workers):
    await client.send(request(name))
    if await site.workers[0].called(keep=workers):
        await settle()
    while True:
        for worker in workers:
            if not await worker.quiet():
                await worker.read(b"\r\n\r\nhi")
                await worker.send(done(name))
                return await client.read(f"made of {name}".encode())


@pytest.mark.parametrize("used", [False, True], ids=["never used", "used once"])
def test_many_idle_clients_do_not_keep_a_request_waiting(used):
    """Not even for a millisecond: the test's clock stands still."""

    @on_loopback(sockets=80)
    async def play(site):
        idle, workers = [], []
        for i in range(60):
            idle.append(await site.client())
            if used:
                await serve(site, idle[-1], f"i{i}", workers)
        a = await site.client()
        await serve(site, a, "r1", workers)
        assert len(site.scheduler.downstream.connections) <= site.scheduler.downstream.max_connections

    play()


@on_loopback
async def test_time_in_the_listeners_queue_reduces_the_timeout_sent_to_a_worker(site):
    """While a limit keeps the listener from accepting, the time left to a waiting request decreases."""

    def timeout_ms(head):
        return int(head.lower().partition(b"x-timeout-ms:")[2].split()[0])

    downstream = site.scheduler.downstream
    limit, downstream.max_connections = downstream.max_connections, -100
    await site.client()
    a = await site.client()
    await a.send(request("r1"))
    await site.pass_ms(800)
    downstream.max_connections = limit
    downstream._connection_closed.set()
    worker = await site.workers[0].accept()
    assert 4150 <= timeout_ms(await worker.read(b"\r\n\r\n")) <= 4200
    await worker.send(done("r1"))
    await a.read(b"made of r1")
    # on the same connection, and on one that is accepted at once, all the time is left
    await a.send(request("r2"))
    assert timeout_ms(await worker.read(b"\r\n\r\n")) > 4990
    await worker.send(done("r2"))
    await a.read(b"made of r2")
    b = await site.client()
    await b.send(request("r3"))
    assert timeout_ms(await worker.read(b"\r\n\r\n")) > 4990
