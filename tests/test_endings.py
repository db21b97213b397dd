"""Every way in which something ends, forced over loopback sockets at the instant in which something is owed.

`docs/design/endings.md` has the table that these tests belong to.
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
from molespur.lifecycle import Told
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
        assert site.scheduler.host.open_streams == 0
        assert site.counters["sent.requests"] == 1
        assert site.scheduler.downstream.free_body_bytes == site.scheduler.downstream.max_body_bytes

    play()


def await_first(site):
    """Which worker the first attempt goes to: seed and settings are fixed, so it is always the same."""
    (host,) = [h for h in site.scheduler.upstream.hosts.values() if h.open]
    return int(host.uid[1:]) - 1


def hold_dials(site):
    """Connections to workers come up only once the event that is returned is set."""
    gate, dial = trio.Event(), site.scheduler.upstream.dial

    async def held(address):
        await gate.wait()
        return await dial(address)

    site.scheduler.upstream.dial = held
    return gate


@pytest.mark.parametrize("wire", [SLOW_DIAL, NO_CANCEL], ids=["cancelling", "no cancelling"])
def test_nothing_is_sent_once_the_client_left_while_its_attempt_waited_for_a_connection(wire):
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
        held.append(site.scheduler.downstream.max_body_bytes - site.scheduler.downstream.free_body_bytes)
        if site.counters["in.rejected"]:
            break
    assert max(held) <= downstream.MAX_PIPELINED_BYTES + 65536
    assert b" 413 " in await a.read(b"\r\n")
    assert site.scheduler.host.open_streams == 0


# -- Attempts -------------------------------------------------------------------------------------


@on_loopback(workers=2, wire=SLOW_DIAL)
async def test_a_worker_is_told_the_time_that_is_left_as_the_request_is_written(site):
    """Its connection comes up 1.2 s after the attempt was decided."""
    gate = hold_dials(site)
    a = await site.client()
    await a.send(request("r1", left=3000))
    await site.pass_ms(1200)
    gate.set()
    worker = await site.workers[await_first(site)].accept()
    head = await worker.read(b"\r\n\r\n")
    told = int(head.lower().partition(b"x-timeout-ms:")[2].split()[0])
    assert 1750 <= told <= 1800


@on_loopback
async def test_a_request_sent_ahead_has_the_time_left_that_it_had_when_it_came(site):
    """Its time counts from its last byte, not from the answer before it, which it waits for."""
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
    assert b" 503 " in await a.read(b"\r\n\r\n")  # its time was up before it could be looked at
    assert await worker.quiet()


def test_what_is_noted_of_bytes_that_drip_is_bounded_and_true_to_10_ms():
    client, whole = downstream.ClientConnection(None, 0.0), request("r1")
    client.receive(whole, 0.0)
    assert type(client.http.next_event()) is h11.Request
    for n in range(5000):  # sent ahead, a byte each 0.2 ms
        client.receive(b"x", 50.0 + n / 5)
    assert len(client._arrivals) <= 102
    while type(client.http.next_event()) is not h11.EndOfMessage:
        pass
    assert client.request_arrived_at() == 0.0
    assert client._arrivals[-1][1] > 1030.0  # the last that came are not taken for the first


@on_loopback(wire=SLOW_DIAL)
async def test_nothing_is_written_once_the_time_is_up(site):
    """Less than the millisecond that could be told is left, and the timer of the attempt is not due yet."""
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
async def test_an_attempt_is_closed_before_its_outcome_is_told(site):
    """What is told may be answered by another attempt at once, and two must never be out."""
    a = await site.client()
    await a.send(request("r1", left=500))
    worker = await site.workers[0].accept()
    await worker.read(b"\r\n\r\nhi")
    host, seen = site.scheduler.host, []
    tell = host.ended

    def ended(*given):
        with contextlib.suppress(BlockingIOError):
            seen.append(worker.sock._sock.recv(1, socket.MSG_PEEK))
        tell(*given)

    host.ended = ended
    await site.pass_ms(600)
    assert seen == [b""]
    assert site.counters["sent.timeout"] == 1 and site.counters["upstream.exceptions"] == 0
    assert site.scheduler.upstream.connection_count == 0


@pytest.mark.parametrize("late", [False, True], ids=["in time", "late"])
@pytest.mark.parametrize("group", ["zone", "all"])
def test_a_keyed_job_is_not_written_again_once_the_workers_have_forgotten_it(group, late):
    """Its second attempt is decided within the window, and its connection comes up within it or after it."""
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
            # to come again is harmless where all workers know the key
            assert (b" 503 " if group == "all" else b" 502 ") in await a.read(b"\r\n\r\n")
            assert await second.read_to_end() == b""
            assert site.counters["sent.too_late"] == 1
        else:
            await second.read(b"\r\n\r\nhi")
            await second.send(done("r1"))
            await a.read(b"made of r1")

    play()


@pytest.mark.parametrize("status", [b"500 No", b"503 No\r\nX-Not-Processed: 1"], ids=["error", "refusal"])
def test_a_second_answer_that_names_no_request_is_not_taken_for_the_next_ones(status):
    """It comes when the connection could have been used again: the next attempt must not be on it."""
    answer = b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n"
    short = {"aim": 100.0}  # so that a refused attempt is soon tried again
    quick = settings_with(profiles=profiles_with(lookup=short, assessment=short))

    @on_loopback(wire=quick)
    async def play(site):
        a = await site.client()
        await a.send(request("r1"))
        first = await site.workers[0].accept()
        await first.read(b"\r\n\r\nhi")
        await first.send(answer)
        await site.pass_ms(40)
        second = await site.workers[0].accept()
        await second.read(b"\r\n\r\nhi")
        await first.send(answer)
        await second.send(done("r1"))
        await a.read(b"made of r1")
        assert site.counters["sent.requests"] == 2
        # after its rest it is seen to have said too much, and closed
        await site.pass_ms(100)
        await a.send(request("r2"))
        await second.read(b"\r\n\r\nhi")

    play()


@on_loopback(workers=1)
async def test_a_connection_that_was_refused_on_is_used_again_once_it_has_rested(site):
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
    "words before it": (b"", b"HTTP/1.1 102 Wait\r\n\r\n" * 2000),
    "what follows it": (HEAD + chunk(b'{"id":"r1","state":"done","result":"it"}\n'), chunk(b"z" * 60_000)),
}


@pytest.mark.parametrize("form", ENDLESS)
def test_an_answer_without_end_is_closed_and_costs_bounded_memory_and_time(form):
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
        status = b" 200 " if form == "what follows it" else b" 503 "
        assert status in await a.read(b"\r\n")
        assert site.scheduler.upstream.connection_count == 0

    play()


@on_loopback(wire=settings_with(limits={"tryLimit": 1}))
async def test_a_job_that_is_done_without_a_result_is_not_served(site):
    """Guards against an answer that no worker has made; it may have run all the same."""
    a = await site.client()
    await a.send(request("r1"))
    worker = await site.workers[0].accept()
    await worker.read(b"hi")
    await worker.send(HEAD + chunk(b'{"id":"r1","state":"done"}\n'))
    assert b" 503 " in await a.read(b"\r\n")
    assert site.counters["sent.reset"] == 1 and not await worker.quiet()


# -- The end of a connection ----------------------------------------------------------------------


async def serve_one(site, client, name, worker=None):
    """One job through and through; the worker's connection."""
    await client.send(request(name))
    worker = worker or await site.workers[0].accept()
    await worker.read(b"\r\n\r\nhi")
    await worker.send(done(name))
    await client.read(f"made of {name}".encode())
    return worker


@on_loopback
async def test_bytes_that_cross_the_last_answer_do_not_reset_it(site):
    """They come after all was read and before the close, which would turn them into a reset."""
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
async def test_an_idle_connection_is_shut_before_it_is_closed_and_what_crosses_that_is_not_served(site):
    a = await site.client()
    worker = await serve_one(site, a, "r1")
    site.scheduler.service.tell(Told.STOP)
    await site.pass_ms(2550)
    await a.send(request("r2"))
    assert await a.read_to_end() == b""
    assert site.counters["in.streams"] == 1
    a.close()
    await settle()
    assert not site.scheduler.downstream.connections
    assert await worker.quiet() and not await site.workers[0].called()


@on_loopback
async def test_what_was_read_before_the_last_answer_of_a_drain_is_answered_too(site):
    site.scheduler.service.tell(Told.STOP)
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
    await site.pass_ms(850)  # the third never comes whole
    assert b" 503 " in await a.read_to_end()
    a.close()
    await site.ended.wait()
    assert site.counters["answered.served"] == 2


@on_loopback
async def test_what_begins_after_the_end_is_refused_at_once(site):
    a = await site.client()
    await a.send(request("r1") + request("r2"))
    worker = await site.workers[0].accept()
    await worker.read(b"\r\n\r\nhi")
    site.scheduler.service.tell(Told.STOP)
    await site.pass_ms(3450)
    answers = await a.read_to_end()
    assert answers.count(b"HTTP/1.1 502 ") == 1 and answers.count(b"HTTP/1.1 503 ") == 1
    a.close()
    await site.ended.wait()
    assert site.counters["sent.requests"] == 1


@on_loopback
async def test_who_connected_just_before_the_listener_closed_is_served(site):
    site.scheduler.service.tell(Told.STOP)
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
async def test_small_answers_are_not_held_back_on_either_side(site):
    a = await site.client()
    await serve_one(site, a, "r1")
    (link,) = site.scheduler.downstream.connections
    (host,) = site.scheduler.upstream.hosts.values()
    for stream in (link.stream, host.idle[0].stream):
        assert stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


# -- The watch on discovery -----------------------------------------------------------------------

PUSHED = settings_with(discovery="automatic")
FLEET = settings_with(balancers=200)


def leaving(site, index=0, rev=2, all=False):
    return listing(rev, site.entry(index, state="leaving"), all=all)


def life(site, uid="w1"):
    return site.scheduler.cluster.lifecycle(uid)


@pytest.mark.parametrize("wire", [PUSHED, settings_with()], ids=["pushed", "asked for"])
def test_a_list_is_followed_from_the_start_whether_pushed_or_asked_for(wire):
    @on_loopback(wire=wire)
    async def play(site):
        await site.pass_ms(40)
        await site.watched(leaving(site))
        assert life(site) is Lifecycle.DRAINING

    play()


@pytest.mark.parametrize("wire", [PUSHED, settings_with(), FLEET], ids=["pushed", "asked for", "200"])
@pytest.mark.parametrize("last", [b"\n", b'{"rev":2,"all":false,"targ', b""], ids=["line", "half", "none"])
def test_what_a_silent_watch_misses_is_known_within_6_s(wire, last):
    """A half line that stays half is silence too."""

    @on_loopback(wire=wire)
    async def play(site):
        await site.pass_ms(1000)
        watch = await site.watched(b"")
        if last:
            await watch.send(chunk(last))
        if last.startswith(b"{"):  # it goes on by drips that never become a line
            await site.pass_ms(1500)
            await watch.send(chunk(b'ets":['))
            await site.pass_ms(1500)
        else:
            await site.pass_ms(3000)
        await site.pass_ms(1100)  # at most, until it asks; then the call may take its time
        await site.watched(leaving(site))
        assert life(site) is Lifecycle.DRAINING

    play()


@pytest.mark.parametrize("wire", [PUSHED, settings_with(), FLEET], ids=["pushed", "asked for", "200"])
def test_discovery_that_returns_is_asked_twice_within_6_s(wire):
    """Whatever a failed call allowed: the first call after its return may fail as well."""

    @on_loopback(wire=wire)
    async def play(site):
        await site.pass_ms(1000)
        for _ in range(12):  # it is up and refuses, so that the waits have grown as long as they may
            call = await site.discovery.accept()
            await call.read(b"\r\n\r\n")
            await call.send(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
            call.close()
            await site.pass_ms(1500)
        since = site.clock.current_time()
        for _ in range(2):  # a call that is not answered, then one that is
            call = await site.discovery.accept()
            await call.read(b"\r\n\r\n")
            if site.clock.current_time() > since:
                break
            await site.pass_ms(1500 + 1500)
        await call.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await call.send(chunk(leaving(site) + b"\n"))
        assert life(site) is Lifecycle.DRAINING
        assert site.clock.current_time() - since < 6

    play()


@pytest.mark.parametrize("wire", [PUSHED, settings_with()], ids=["pushed", "asked for"])
def test_a_discovery_that_answers_and_hangs_up_is_not_asked_as_fast_as_it_does_so(wire):
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
def test_lists_come_in_every_form(indent, pieces):
    @on_loopback
    async def play(site):
        await site.pass_ms(20)
        watch = await site.watched()
        told = {"rev": 2, "all": True, "targets": [site.entry(0, state="leaving", note='{"[\\"')]}
        text = json.dumps(told, indent=indent).encode() + b"\n"
        for piece in [text] if pieces == "whole" else [text[i : i + 1] for i in range(len(text))]:
            await trio.SocketStream(watch.sock).send_all(chunk(piece))
        await settle()
        assert life(site) is Lifecycle.DRAINING
        await watch.send(chunk(b"\n") + chunk(listing(3, site.entry(0))))  # without an end of line as yet
        assert life(site) is Lifecycle.IN_SERVICE
        assert site.counters["cluster.errors"] == 0

    play()


FAULTY = [{"uid": "w2", "endpoint": "nowhere"}, {"uid": "w2", "endpoint": 7}, {"uid": 2}, "w2", {}]


@pytest.mark.parametrize("faulty", FAULTY, ids=str)
@pytest.mark.parametrize("all", [True, False])
def test_a_faulty_entry_hides_no_drain_and_loses_no_worker(faulty, all):
    @on_loopback(workers=2)
    async def play(site):
        await site.pass_ms(20)
        await site.watched(listing(2, site.entry(0, state="leaving"), faulty, all=all))
        assert life(site, "w1") is Lifecycle.DRAINING
        assert life(site, "w2") is Lifecycle.IN_SERVICE
        assert site.counters["cluster.faulty_entries"] == 1
        assert site.counters["cluster.errors"] == 0

    play()


@pytest.mark.parametrize("told", [b"{]}", b"x", b'{"rev":"2","all":true,"targets":[]}', b"[" * (1 << 21)])
def test_a_list_that_makes_no_sense_is_asked_for_again_whole(told):
    @on_loopback
    async def play(site):
        await site.pass_ms(20)
        first = await site.watched()
        with contextlib.suppress(trio.BrokenResourceError):
            await first.send(chunk(told + b"\n"))
        assert life(site) is Lifecycle.IN_SERVICE
        await site.pass_ms(100)
        await site.watched(leaving(site, all=True))
        assert b"watch=1 " in site.asked
        assert life(site) is Lifecycle.DRAINING

    play()


# -- Other settings while a request is under way --------------------------------------------------

UNSAFE, SAFE = {"effect": "fragile"}, {"effect": "retryable"}
KEYED = {"effect": "dedup", "group": "all", "keyTtl": 9000.0}


@pytest.mark.parametrize("reloads", [1, 2])
@pytest.mark.parametrize(
    ("taken", "then", "again"),
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
def test_a_request_keeps_the_class_it_was_taken_with(tmp_path, taken, then, again, reloads):
    """Its worker breaks the connection under it: whether it may go again is its own class's to say."""

    @on_loopback(workers=2, wire=settings_with(profiles=profiles_with(lookup=taken)))
    async def play(site):
        a = await site.client()
        await a.send(request("r1"))
        first = await site.workers[at := await_first(site)].accept()
        await first.read(b"\r\n\r\nhi")
        await site.reload(tmp_path / "file", profiles=profiles_with(lookup=then))
        if reloads == 2:
            # the class comes back under the same name, then goes or changes once more
            await site.reload(tmp_path / "file", profiles=profiles_with(lookup={"aim": 1.0} | taken))
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
            # a repeat is harmless where all workers know the key, so that one may be told to come again
            status = b" 503 " if taken["effect"] == "dedup" else b" 502 "
            assert status in await a.read(b"\r\n")
            assert not await site.workers[1 - at].called()
        assert site.counters["loads"] == (3 if reloads == 2 else 1)

    play()


@on_loopback(workers=2, wire=settings_with(profiles=profiles_with()))
async def test_a_request_keeps_its_attempts_its_deadline_and_its_tenants_rules(site):
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
    # one that is taken now goes by the new ones
    await a.send(request("r2"))
    await site.pass_ms(850)
    assert b" 503 " in await a.read(b"\r\n")


@on_loopback(workers=2, wire=settings_with(profiles=profiles_with()))
async def test_a_reload_in_a_drain_changes_nothing_in_what_is_under_way(site):
    a = await site.client()
    await a.send(request("r1"))
    first = await site.workers[at := await_first(site)].accept()
    await first.read(b"\r\n\r\nhi")
    site.scheduler.service.tell(Told.STOP)
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
