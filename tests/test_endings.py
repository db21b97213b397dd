"""The ways in which clients, attempts, connections and watches end, each forced at a critical moment.

The tests use loopback sockets.  They belong to the table in `docs/design/endings.md`.
"""

import contextlib
import json
import pathlib
import socket
import tempfile

import h11
import pytest
import trio
from sockets import chunk, done, listing, on_loopback, profiles_with, request, settings_with, settle

from molespur.interface import Lifecycle
from molespur.lifecycle import ProcessEvent
from molespur.net import downstream

SLOW_DIAL = settings_with(limits={"dialTimeout": 5000.0})
NO_CANCEL = settings_with(limits={"dialTimeout": 5000.0, "cancelling": False})


# -- Clients that disconnect ----------------------------------------------------------------------


@on_loopback
async def test_a_request_is_not_forwarded_if_its_client_disconnected_before_it_was_read(site):
    """Request and close are in the listener's queue together, and an idle connection to a worker is free."""
    a = await site.client()
    await a.send(request("r0"))
    worker = await site.workers[0].accept()
    await worker.read(b"hi")
    await worker.send(done("r0"))
    await a.read(b"made of r0")
    for i in range(12):
        with socket.create_connection(site.address) as client:
            client.sendall(request(f"r{i + 1}"))
        await settle()
    assert site.counters["in.streams"] == 1
    assert site.counters["in.client_gone"] == 12
    assert await worker.quiet()


@pytest.mark.parametrize("leave", ["close", "reset", "half_close"])
@pytest.mark.parametrize("ahead", [0, 10_000, 200_000, 600_000])
def test_a_disconnect_is_noticed_behind_pipelined_data(leave, ahead):
    @on_loopback(workers=2)
    async def play(site):
        a = await site.client()
        await a.send(request("r1"))
        one = await site.workers[0].accept() if await_first(site) == 0 else await site.workers[1].accept()
        await one.read(b"hi")
        # Complete requests, so that none of them is rejected for itself.
        more = b"".join(request(f"r{i + 2}") for i in range(ahead // len(request("r2"))))
        await a.send(more)
        getattr(a, leave)()
        await settle()
        assert site.counters["answered.client_gone"] == 1
        assert site.scheduler.host.open_streams == 0
        assert site.counters["sent.requests"] == 1
        assert site.scheduler.downstream.free_body_bytes == site.scheduler.downstream.max_body_bytes

    play()


def await_first(site):
    """The index of the worker of the first attempt, always the same since seed and settings are fixed."""
    (host,) = [h for h in site.scheduler.upstream.hosts.values() if h.open]
    return int(host.uid[1:]) - 1


def hold_dials(site):
    """Delay connections to workers until the returned event is set."""
    gate, dial = trio.Event(), site.scheduler.upstream.dial

    async def held(address):
        await gate.wait()
        return await dial(address)

    site.scheduler.upstream.dial = held
    return gate


@pytest.mark.parametrize("wire", [SLOW_DIAL, NO_CANCEL], ids=["cancelling", "no cancelling"])
def test_nothing_is_sent_if_the_client_disconnects_during_the_connect(wire):
    @on_loopback(wire=wire)
    async def play(site):
        gate = hold_dials(site)
        a = await site.client()
        await a.send(request("r1"))
        a.close()
        await settle()
        gate.set()
        await settle()
        assert site.counters["sent.requests"] == 1
        assert site.counters["upstream_tries"] == 0
        if await site.workers[0].called():
            pytest.fail("a connection was made for a client that had disconnected")

    play()


@on_loopback
async def test_a_client_that_sends_too_much_is_rejected_and_its_memory_is_bounded(site):
    a = await site.client()
    await a.send(request("r1"))
    worker = await site.workers[0].accept()
    await worker.read(b"hi")
    held = []
    for _ in range(40):
        await a.send(b"x" * 65536)
        held.append(site.scheduler.downstream.max_body_bytes - site.scheduler.downstream.free_body_bytes)
        if site.counters["in.rejected"]:
            break
    assert max(held) <= downstream.MAX_PIPELINED_BYTES + 65536
    assert b" 413 " in await a.read(b"\r\n")
    assert site.scheduler.host.open_streams == 0


# -- Attempts -------------------------------------------------------------------------------------


@on_loopback(workers=2, wire=SLOW_DIAL)
async def test_a_worker_gets_the_time_that_is_left_when_the_request_is_written(site):
    """The connect completes 1.2 s after the attempt was decided."""
    gate = hold_dials(site)
    a = await site.client()
    await a.send(request("r1", left=3000))
    await site.pass_ms(1200)
    gate.set()
    worker = await site.workers[await_first(site)].accept()
    head = await worker.read(b"\r\n\r\n")
    timeout_ms = int(head.lower().partition(b"x-timeout-ms:")[2].split()[0])
    assert 1750 <= timeout_ms <= 1800


@on_loopback
async def test_the_timeout_of_a_pipelined_request_runs_from_its_arrival(site):
    """It runs from the request's last byte, not from the response to the request before it."""
    a = await site.client()
    await a.send(request("r1") + request("r2")[:-1])
    worker = await site.workers[0].accept()
    await worker.read(b"hi")
    await site.pass_ms(400)
    await a.send(request("r2")[-1:] + request("r3", left=700))
    await site.pass_ms(800)
    await worker.send(done("r1"))
    await a.read(b"made of r1")
    head = await worker.read(b"\r\n\r\nhi")
    assert b"r2" in head and 4100 < int(head.lower().partition(b"x-timeout-ms:")[2].split()[0]) <= 4200
    await worker.send(done("r2"))
    await a.read(b"made of r2")
    assert b" 503 " in await a.read(b"\r\n\r\n")  # its timeout ended before it was read
    assert await worker.quiet()


def test_arrival_times_of_single_bytes_are_bounded_in_number_and_accurate_to_10_ms():
    client, whole = downstream.ClientConnection(None, 0.0), request("r1")
    client.receive(whole, 0.0)
    assert type(client.http.next_event()) is h11.Request
    for n in range(5000):  # pipelined, one byte every 0.2 ms
        client.receive(b"x", 50.0 + n / 5)
    assert len(client._arrivals) <= 102
    while type(client.http.next_event()) is not h11.EndOfMessage:
        pass
    assert client.request_arrived_at() == 0.0
    assert client._arrivals[-1][1] > 1030.0  # late bytes do not get the time of the first ones


@on_loopback(wire=SLOW_DIAL)
async def test_nothing_is_written_once_the_timeout_has_passed(site):
    """Less than 1 ms, the least that the header can express, is left, but the attempt's timer is not due."""
    gate = hold_dials(site)
    a = await site.client()
    await a.send(request("r1", left=500))
    await site.pass_ms(499.6)
    gate.set()
    worker = await site.workers[0].accept()
    assert await worker.read_to_end() == b""
    assert site.counters["upstream_tries"] == 0
    assert b" 503 " in await a.read(b"\r\n\r\n")


@on_loopback
async def test_an_attempt_is_closed_before_its_outcome_is_reported(site):
    """The module may start another attempt at once, and two must never be in flight."""
    a = await site.client()
    await a.send(request("r1", left=500))
    worker = await site.workers[0].accept()
    await worker.read(b"\r\n\r\nhi")
    host, seen = site.scheduler.host, []
    report = host.ended

    def ended(*given):
        with contextlib.suppress(BlockingIOError):
            seen.append(worker.sock._sock.recv(1, socket.MSG_PEEK))
        report(*given)

    host.ended = ended
    await site.pass_ms(600)
    assert seen == [b""]
    assert site.counters["sent.timeout"] == 1 and site.counters["upstream.exceptions"] == 0
    assert site.scheduler.upstream.connection_count == 0


@pytest.mark.parametrize("late", [False, True], ids=["in time", "late"])
@pytest.mark.parametrize("group", ["zone", "all"])
def test_a_keyed_job_is_not_written_again_after_its_key_has_expired_at_the_workers(group, late):
    """Its second attempt is decided in time, and its connect completes before or after the key expires."""
    keyed = {"effect": "dedup", "group": group, "keyTtl": 1500.0}
    wire = settings_with(profiles=profiles_with(assessment=keyed), limits={"dialTimeout": 1000.0})

    @on_loopback(workers=2, wire=wire)
    async def play(site):
        a = await site.client()
        await a.send(request("r1", "assessment"))
        first = await site.workers[at := await_first(site)].accept()
        await first.read(b"\r\n\r\nhi")
        gate = hold_dials(site)
        await site.pass_ms(1000)
        first.reset()
        await settle()
        assert site.counters["sent.requests"] == 2
        await site.pass_ms(700 if late else 300)
        gate.set()
        second = await site.workers[1 - at].accept()
        if late:
            # A retry by the client is harmless if all workers know the key.
            assert (b" 503 " if group == "all" else b" 502 ") in await a.read(b"\r\n\r\n")
            assert await second.read_to_end() == b""
            assert site.counters["sent.too_late"] == 1
        else:
            await second.read(b"\r\n\r\nhi")
            await second.send(done("r1"))
            await a.read(b"made of r1")

    play()


@pytest.mark.parametrize("status", [b"500 No", b"503 No\r\nX-Not-Processed: 1"], ids=["error", "refusal"])
def test_a_duplicate_response_that_names_no_request_is_not_read_as_the_next_response(status):
    """It arrives when the connection could have been reused: the next attempt must not use it."""
    response = b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n"
    short = {"aim": 100.0}  # so that a refused attempt is soon tried again
    quick = settings_with(profiles=profiles_with(lookup=short, assessment=short))

    @on_loopback(wire=quick)
    async def play(site):
        a = await site.client()
        await a.send(request("r1"))
        first = await site.workers[0].accept()
        await first.read(b"\r\n\r\nhi")
        await first.send(response)
        await site.pass_ms(40)
        second = await site.workers[0].accept()
        await second.read(b"\r\n\r\nhi")
        await first.send(response)
        await second.send(done("r1"))
        await a.read(b"made of r1")
        assert site.counters["sent.requests"] == 2
        # After the reuse delay its unexpected data is noticed, and it is closed.
        await site.pass_ms(100)
        await a.send(request("r2"))
        await second.read(b"\r\n\r\nhi")

    play()


@on_loopback(workers=1)
async def test_a_connection_that_carried_a_refusal_is_reused_after_the_reuse_delay(site):
    a = await site.client()
    await a.send(request("r1"))
    worker = await site.workers[0].accept()
    await worker.read(b"\r\n\r\nhi")
    await worker.send(b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
    await site.pass_ms(2000)
    await worker.read(b"\r\n\r\nhi")
    await worker.send(done("r1"))
    await a.read(b"made of r1")
    assert site.counters["upstream.dialled"] == 1


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "a line": (HEAD, chunk(b"x" * 60_000)),
    "a head": (b"HTTP/1.1 200 OK\r\nX-A: ", b"y" * 60_000),
    "informational responses": (b"", b"HTTP/1.1 102 Wait\r\n\r\n" * 2000),
    "data after the last line": (
        HEAD + chunk(b'{"id":"r1","state":"done","result":"it"}\n'),
        chunk(b"z" * 60_000),
    ),
}


@pytest.mark.parametrize("form", ENDLESS)
def test_an_endless_response_is_closed_with_bounded_memory_and_time(form):
    @on_loopback(wire=settings_with(limits={"tryLimit": 1}))
    async def play(site):
        a = await site.client()
        await a.send(request("r1", left=1000))
        worker = await site.workers[0].accept()
        await worker.read(b"\r\n\r\nhi")
        begin, more = ENDLESS[form]
        with contextlib.suppress(trio.BrokenResourceError):
            await worker.send(begin)
            for _ in range(4):
                await worker.send(more)
            await site.pass_ms(1050)
            for _ in range(4):
                await worker.send(more)
        with pytest.raises(trio.BrokenResourceError):
            for _ in range(8):
                await worker.send(more)
        status = b" 200 " if form == "data after the last line" else b" 503 "
        assert status in await a.read(b"\r\n")
        assert site.scheduler.upstream.connection_count == 0

    play()


@on_loopback(wire=settings_with(limits={"tryLimit": 1}))
async def test_a_job_that_is_done_without_a_result_is_not_served(site):
    """The client would get a result that no worker has produced.  The job may have run."""
    a = await site.client()
    await a.send(request("r1"))
    worker = await site.workers[0].accept()
    await worker.read(b"hi")
    await worker.send(HEAD + chunk(b'{"id":"r1","state":"done"}\n'))
    assert b" 503 " in await a.read(b"\r\n")
    assert site.counters["sent.reset"] == 1 and not await worker.quiet()


# -- Closing connections --------------------------------------------------------------------------


async def serve_one(site, client, name, worker=None):
    """Send a job and serve it; return the worker's connection."""
    await client.send(request(name))
    worker = worker or await site.workers[0].accept()
    await worker.read(b"\r\n\r\nhi")
    await worker.send(done(name))
    await client.read(f"made of {name}".encode())
    return worker


@on_loopback
async def test_bytes_that_arrive_during_the_last_response_do_not_reset_it(site):
    """They arrive after the last read and before the close; a plain close would then send a reset."""
    a = await site.client()
    respond = site.scheduler.downstream._respond

    async def crossed(*given, **more):
        await respond(*given, **more)
        await a.send(request("r2"))

    site.scheduler.downstream._respond = crossed
    await a.send(request("r1", Connection="close"))
    worker = await site.workers[0].accept()
    await worker.read(b"hi")
    await worker.send(done("r1"))
    assert (await a.read_to_end()).endswith(b"made of r1")
    assert await worker.quiet() and not await site.workers[0].called()
    assert site.counters["in.streams"] == 1


@on_loopback
async def test_an_idle_connection_is_shut_down_before_its_close_and_a_request_meanwhile_is_not_served(site):
    a = await site.client()
    worker = await serve_one(site, a, "r1")
    site.scheduler.service.handle(ProcessEvent.STOP)
    await site.pass_ms(2550)
    await a.send(request("r2"))
    assert await a.read_to_end() == b""
    assert site.counters["in.streams"] == 1
    a.close()
    await settle()
    assert not site.scheduler.downstream.connections
    assert await worker.quiet() and not await site.workers[0].called()


@on_loopback
async def test_requests_read_before_the_last_response_of_a_drain_are_served(site):
    site.scheduler.service.handle(ProcessEvent.STOP)
    await site.pass_ms(2400)
    a = await site.client()
    await a.send(request("r1") + request("r2") + request("r3")[:40])
    worker = await site.workers[0].accept()
    await worker.read(b"\r\n\r\nhi")
    await site.pass_ms(200)
    assert site.scheduler.downstream.closing
    await worker.send(done("r1"))
    await a.read(b"made of r1")
    await worker.read(b"\r\n\r\nhi")
    await worker.send(done("r2"))
    await a.read(b"made of r2")
    await site.pass_ms(850)  # the third request never completes
    assert b" 503 " in await a.read_to_end()
    a.close()
    await site.ended.wait()
    assert site.counters["answered.served"] == 2


@on_loopback
async def test_requests_after_the_end_of_a_stop_are_refused_at_once(site):
    a = await site.client()
    await a.send(request("r1") + request("r2"))
    worker = await site.workers[0].accept()
    await worker.read(b"\r\n\r\nhi")
    site.scheduler.service.handle(ProcessEvent.STOP)
    await site.pass_ms(3450)
    responses = await a.read_to_end()
    assert responses.count(b"HTTP/1.1 502 ") == 1 and responses.count(b"HTTP/1.1 503 ") == 1
    a.close()
    await site.ended.wait()
    assert site.counters["sent.requests"] == 1


@on_loopback
async def test_a_client_that_connects_just_before_the_listener_closes_is_served(site):
    site.scheduler.service.handle(ProcessEvent.STOP)
    await site.pass_ms(2450)
    with socket.create_connection(site.address) as late:
        await site.pass_ms(100)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(site.address)
        late.sendall(request("r1"))
        worker = await site.workers[0].accept()
        await worker.read(b"\r\n\r\nhi")
        await worker.send(done("r1"))
        late.settimeout(5)
        assert b"made of r1" in late.recv(65536)


@on_loopback
async def test_small_messages_are_sent_without_delay_on_both_sides(site):
    a = await site.client()
    await serve_one(site, a, "r1")
    (client,) = site.scheduler.downstream.connections
    (host,) = site.scheduler.upstream.hosts.values()
    for stream in (client.stream, host.idle[0].stream):
        assert stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


# -- The watch on discovery -----------------------------------------------------------------------

PUSHED = settings_with(discovery="automatic")
FLEET = settings_with(balancers=200)


def draining(site, index=0, rev=2, all=False):
    return listing(rev, site.entry(index, state="leaving"), all=all)


def lifecycle(site, uid="w1"):
    return site.scheduler.cluster.lifecycle(uid)


@pytest.mark.parametrize("wire", [PUSHED, settings_with()], ids=["pushed", "asked for"])
def test_the_watch_runs_from_the_start_for_pushed_and_requested_lists(wire):
    @on_loopback(wire=wire)
    async def play(site):
        await site.pass_ms(40)
        await site.watched(draining(site))
        assert lifecycle(site) is Lifecycle.DRAINING

    play()


@pytest.mark.parametrize("wire", [PUSHED, settings_with(), FLEET], ids=["pushed", "asked for", "200"])
@pytest.mark.parametrize("last", [b"\n", b'{"rev":2,"all":false,"targ', b""], ids=["line", "half", "none"])
def test_updates_missed_by_a_silent_watch_are_known_within_6_s(wire, last):
    """A line that never completes counts as silence too."""

    @on_loopback(wire=wire)
    async def play(site):
        await site.pass_ms(1000)
        watch = await site.watched(b"")
        if last:
            await watch.send(chunk(last))
        if last.startswith(b"{"):  # more data arrives, but the line never completes
            await site.pass_ms(1500)
            await watch.send(chunk(b'ets":['))
            await site.pass_ms(1500)
        else:
            await site.pass_ms(3000)
        await site.pass_ms(1100)  # the longest delay before the next call
        await site.watched(draining(site))
        assert lifecycle(site) is Lifecycle.DRAINING

    play()


@pytest.mark.parametrize("wire", [PUSHED, settings_with(), FLEET], ids=["pushed", "asked for", "200"])
def test_discovery_is_called_twice_within_6_s_after_it_recovers(wire):
    """The first call after the recovery may fail too."""

    @on_loopback(wire=wire)
    async def play(site):
        await site.pass_ms(1000)
        for _ in range(12):  # discovery refuses calls, so that the delays grow to their maximum
            call = await site.discovery.accept()
            await call.read(b"\r\n\r\n")
            await call.send(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
            call.close()
            await site.pass_ms(1500)
        since = site.clock.current_time()
        for _ in range(2):  # one call without a response, then one with a response
            call = await site.discovery.accept()
            await call.read(b"\r\n\r\n")
            if site.clock.current_time() > since:
                break
            await site.pass_ms(1500 + 1500)
        await call.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await call.send(chunk(draining(site) + b"\n"))
        assert lifecycle(site) is Lifecycle.DRAINING
        assert site.clock.current_time() - since < 6

    play()


@pytest.mark.parametrize("wire", [PUSHED, settings_with()], ids=["pushed", "asked for"])
def test_calls_are_delayed_if_discovery_responds_and_closes_at_once(wire):
    @on_loopback(wire=wire)
    async def play(site):
        for _ in range(40):
            await site.pass_ms(50)
            while await site.discovery.called(keep=(calls := [])):
                await calls[0].send(HEAD + chunk(listing(2, site.entry(0), all=True) + b"\n"))
                calls[0].close()
        assert 3 <= site.counters["cluster.calls"] <= 8

    play()


@pytest.mark.parametrize("pieces", ["whole", "bytes"])
@pytest.mark.parametrize("indent", [None, 2])
def test_lists_are_read_in_any_layout_and_chunking(indent, pieces):
    @on_loopback
    async def play(site):
        await site.pass_ms(20)
        watch = await site.watched()
        value = {"rev": 2, "all": True, "targets": [site.entry(0, state="leaving", note='{"[\\"')]}
        text = json.dumps(value, indent=indent).encode() + b"\n"
        for piece in [text] if pieces == "whole" else [text[i : i + 1] for i in range(len(text))]:
            await trio.SocketStream(watch.sock).send_all(chunk(piece))
        await settle()
        assert lifecycle(site) is Lifecycle.DRAINING
        await watch.send(chunk(b"\n") + chunk(listing(3, site.entry(0))))  # without a line end
        assert lifecycle(site) is Lifecycle.IN_SERVICE
        assert site.counters["cluster.errors"] == 0

    play()


FAULTY = [{"uid": "w2", "endpoint": "nowhere"}, {"uid": "w2", "endpoint": 7}, {"uid": 2}, "w2", {}]


@pytest.mark.parametrize("faulty", FAULTY, ids=str)
@pytest.mark.parametrize("all", [True, False])
def test_a_faulty_entry_does_not_hide_a_drain_or_remove_a_worker(faulty, all):
    @on_loopback(workers=2)
    async def play(site):
        await site.pass_ms(20)
        await site.watched(listing(2, site.entry(0, state="leaving"), faulty, all=all))
        assert lifecycle(site, "w1") is Lifecycle.DRAINING
        assert lifecycle(site, "w2") is Lifecycle.IN_SERVICE
        assert site.counters["cluster.faulty_entries"] == 1
        assert site.counters["cluster.errors"] == 0

    play()


@pytest.mark.parametrize("text", [b"{]}", b"x", b'{"rev":"2","all":true,"targets":[]}', b"[" * (1 << 21)])
def test_after_a_malformed_update_the_full_list_is_requested(text):
    @on_loopback
    async def play(site):
        await site.pass_ms(20)
        first = await site.watched()
        with contextlib.suppress(trio.BrokenResourceError):
            await first.send(chunk(text + b"\n"))
        assert lifecycle(site) is Lifecycle.IN_SERVICE
        await site.pass_ms(100)
        await site.watched(draining(site, all=True))
        assert b"watch=1 " in site.watch_request
        assert lifecycle(site) is Lifecycle.DRAINING

    play()


# -- New settings while a request is in flight ----------------------------------------------------

UNSAFE, SAFE = {"effect": "fragile"}, {"effect": "retryable"}
KEYED = {"effect": "dedup", "group": "all", "keyTtl": 9000.0}


@pytest.mark.parametrize("reloads", [1, 2])
@pytest.mark.parametrize(
    ("accepted", "then", "again"),
    [
        (SAFE, UNSAFE, True),
        (UNSAFE, SAFE, False),
        (UNSAFE, KEYED, False),
        (KEYED, UNSAFE, True),
        (KEYED, KEYED | {"keyTtl": 1.0}, True),
        (KEYED | {"keyTtl": 100.0}, KEYED, False),
        (SAFE, None, True),
        (UNSAFE, None, False),
    ],
    ids=str,
)
def test_a_request_keeps_the_class_it_was_accepted_with(tmp_path, accepted, then, again, reloads):
    """Its worker breaks the connection.  Whether it may be sent again depends on the class at its arrival."""

    @on_loopback(workers=2, wire=settings_with(profiles=profiles_with(lookup=accepted)))
    async def play(site):
        a = await site.client()
        await a.send(request("r1"))
        first = await site.workers[at := await_first(site)].accept()
        await first.read(b"\r\n\r\nhi")
        await site.reload(tmp_path / "file", profiles=profiles_with(lookup=then))
        if reloads == 2:
            # The class is added again under the same name, then removed or changed once more.
            await site.reload(tmp_path / "file", profiles=profiles_with(lookup={"aim": 1.0} | accepted))
            await site.pass_ms(100)
            await site.reload(tmp_path / "file", profiles=profiles_with(lookup=then))
        await site.pass_ms(1600)
        first.close()
        await settle()
        if again:
            second = await site.workers[1 - at].accept()
            await second.read(b"\r\n\r\nhi")
            await second.send(done("r1"))
            await a.read(b"made of r1")
        else:
            # A retry is harmless if all workers know the key, so the client may be told to try again.
            status = b" 503 " if accepted["effect"] == "dedup" else b" 502 "
            assert status in await a.read(b"\r\n")
            assert not await site.workers[1 - at].called()
        assert site.counters["loads"] == (3 if reloads == 2 else 1)

    play()


@on_loopback(workers=2, wire=settings_with(profiles=profiles_with()))
async def test_a_request_keeps_its_attempts_its_deadline_and_its_tenant_rules(site):
    a = await site.client()
    await a.send(request("r1"))
    first = await site.workers[at := await_first(site)].accept()
    await first.read(b"\r\n\r\nhi")
    with tempfile.TemporaryDirectory() as folder:
        short = profiles_with(lookup={"deadline": 800.0, "aim": 100.0}, assessment={"deadline": 800.0})
        file = pathlib.Path(folder) / "file"
        await site.reload(file, profiles=short, limits={"tryLimit": 1}, realms=[], overShareWorth=0.0)
    await site.pass_ms(2000)
    first.close()
    second = await site.workers[1 - at].accept()
    head = await second.read(b"\r\n\r\n")
    assert int(head.lower().partition(b"x-timeout-ms:")[2].split()[0]) > 2900
    await second.send(done("r1"))
    await a.read(b"made of r1")
    # A request that is accepted now uses the new settings.
    await a.send(request("r2"))
    await site.pass_ms(850)
    assert b" 503 " in await a.read(b"\r\n")


@on_loopback(workers=2, wire=settings_with(profiles=profiles_with()))
async def test_a_reload_during_a_stop_does_not_change_requests_in_flight(site):
    a = await site.client()
    await a.send(request("r1"))
    first = await site.workers[at := await_first(site)].accept()
    await first.read(b"\r\n\r\nhi")
    site.scheduler.service.handle(ProcessEvent.STOP)
    await site.pass_ms(500)
    with tempfile.TemporaryDirectory() as folder:
        await site.reload(pathlib.Path(folder) / "file", profiles=profiles_with(lookup=None))
        await site.pass_ms(1100)
        await site.reload(pathlib.Path(folder) / "file", profiles=profiles_with(lookup=UNSAFE))
    first.close()
    second = await site.workers[1 - at].accept()
    await second.read(b"\r\n\r\nhi")
    await second.send(done("r1"))
    await a.read(b"made of r1")
    a.close()
    await site.pass_ms(1000)
    await site.ended.wait()
