"""An answer under way ends for a fact, never because its worker rests.

What users saw: beside a change of the configuration a whole request ended without an answer.  A pricing note
was 4.6 s old, with more than 3 s of its time left; a part of its stream had arrived, and the connection was
closed in the middle of it.  Its worker was sound and still at work on it.

The order of events: more requests come than the workers bear, and all of them rest between two tokens for
longer than a second.  The scheduler takes the silence of the stream for its end and closes the call to the
worker; then it looks for another worker to go on, finds none that is allowed (all attempts used, no right to
a repeat, no worker, or one that refuses), and closes the client's connection 3 ms after the worker's.

The cause: a guess (silence for a while) ended what worked before anything better was at hand.

The evidence: the worker's own record has its run cut from outside, 3 ms before the client's connection ends;
the route's time-out and the client's deadline were 3.4 s away; the scheduler was neither told to stop nor cut
off, and the change of the configuration was in force 2.3 s earlier.  Played here, the cut comes the constant
1.2 s (four allowed pauses) after the last event, whatever the worker would have done next.
"""

import asyncio
import json

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

from molespur.system.rpc import molespur_pb2 as pb

REST_S = 2.2  # of a sound worker in the middle of its stream
FIRST_EVENT_S = 3.0  # of a sound worker that reads a long prompt
DEADLINE_MS = 8000
PLENTY, NONE = 1000.0, 0.0  # the minimum of the retry budget


def configuration(version=1, **route):
    made = {"Name": "r", "Host": "shop.example", "PathPrefix": "/p/", "Type": "streaming", "Service": "s"}
    made.update({"TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 300, "gap_aim_ms": 300})
    made.update({"Resumable": True, "MaxAttempts": 2, **route})
    service = {"Name": "s", "MaxConnections": 50}
    return json.dumps({"Version": version, "Routes": [made], "Services": [service]}).encode()


def streams(*rests, events=5):
    """A script: events from the one that is asked for on; it rests `rests[n - 1]` s before event n."""

    def script(received):
        first = int(header(received, b"Last-Event-Id") or 0) + 1
        parts = [stream_head(received)]
        for number in range(first, events + 1):
            rest = rests[number - 1] if number <= len(rests) else 0.0
            parts += [rest, chunk(event(number))] if rest else [chunk(event(number))]
        return [*parts, LAST_CHUNK]

    return script


RESTS_IN_THE_MIDDLE = streams(0.05, 0.05, REST_S)
RESTS_AT_FIRST = streams(FIRST_EVENT_S)
GOES_ON = streams()


def rejects(received):
    return [not_executed(received)]


def breaks_off(_received):
    return [None]


async def asked(port, extra=b""):
    """(status, body, whole, milliseconds) of one request."""
    began = clock()
    client = await Client.connect(port)
    await client.send(request(deadline=DEADLINE_MS, extra=extra))
    async with asyncio.timeout(DEADLINE_MS / 1000 + 2):
        status, _head, body, whole = await client.response()
    return status, body, whole, clock() - began


WHOLE = b"".join(event(number) for number in range(1, 6))

OTHERS = {
    "no other worker": [],
    "another that rejects": [rejects],
    "another that breaks off at once": [breaks_off],
    "another that rests as well": [RESTS_IN_THE_MIDDLE],
    "two others that rest as well": [RESTS_IN_THE_MIDDLE, RESTS_IN_THE_MIDDLE],
}


async def resting(first, others, budget, meanwhile=None, least_ms=0.0, longest_ms=20_000.0, **route):
    """A request at a worker that rests and others whose first script is theirs; its answer must be whole.

    Which worker is asked first is drawn, so all of them rest when they are asked first.
    """
    met = []

    def in_turn(script):
        def answered(received):
            met.append(received)
            return first(received) if len(met) == 1 else script(received)

        return answered

    workers = [ScriptedWorker("w0", in_turn(first))]
    workers += [ScriptedWorker(f"w{n}", in_turn(script)) for n, script in enumerate(others, 1)]
    async with data_plane(configuration(**route), *workers, clock=clock, retry_budget_min=budget) as (
        port,
        ingress,
    ):
        changing = meanwhile and asyncio.create_task(meanwhile(ingress.state, workers))
        status, body, whole, took = await asked(port)
        if changing:
            await changing
    assert (status, whole) == (200, True), f"{status}, {body!r} after {took:.0f} ms"
    assert body == WHOLE
    assert least_ms <= took < longest_ms, took
    return met


def test_no_answer_is_cut_while_its_worker_rests():
    """The failure itself, in each way in which there may be nobody who goes on at once."""
    cut = []
    for budget in (PLENTY, NONE):
        for others, scripts in OTHERS.items():
            try:
                run_virtual(resting(RESTS_IN_THE_MIDDLE, scripts, budget))
            except AssertionError as error:
                cut.append(f"{others}, {budget:.0f} repeats: {error}")
    assert cut == []


@pytest.mark.parametrize("budget", [PLENTY, NONE], ids=["budget", "no budget"])
@pytest.mark.parametrize("others", OTHERS)
@pytest.mark.parametrize("route", [{}, {"Resumable": False, "MaxAttempts": 1}], ids=["resumable", "fixed"])
def test_a_stream_whose_worker_rests_in_the_middle_is_whole(others, budget, route):
    met = run_virtual(resting(RESTS_IN_THE_MIDDLE, OTHERS[others], budget, **route))
    assert len(met) <= (2 if not route else 1), "no more workers than the route allows"


@pytest.mark.parametrize("budget", [PLENTY, NONE], ids=["budget", "no budget"])
@pytest.mark.parametrize("others", ["no other worker", "another that rejects"])
def test_a_stream_whose_worker_takes_long_to_its_first_event_is_whole(others, budget):
    run_virtual(resting(RESTS_AT_FIRST, OTHERS[others], budget))


@pytest.mark.parametrize("first", [RESTS_IN_THE_MIDDLE, RESTS_AT_FIRST], ids=["middle", "first event"])
def test_a_worker_that_goes_on_at_once_takes_over(first):
    met = run_virtual(resting(first, [GOES_ON], PLENTY, longest_ms=2000))
    assert len(met) == 2
    assert (header(met[1], b"Last-Event-Id") is None) == (first is RESTS_AT_FIRST)


# -- What may not be joined ----------------------------------------------------------------------------


def _stream_from(number, versions=b"1", ids=True):
    """A script: the rest of a stream from an event on, whatever was asked for."""

    def script(received):
        head = stream_head(received).replace(b"\r\n\r\n", b"\r\nVersions: %s\r\n\r\n" % versions)
        events = [event(n) if ids else b"data: token %d\n\n" % n for n in range(number, 6)]
        return [head, *map(chunk, events), LAST_CHUNK]

    return script


def _rests_after_two(versions=b"1", ids=True):
    whole = _stream_from(1, versions, ids)

    def script(received):
        parts = whole(received)
        return [*parts[:3], REST_S, *parts[3:]]

    return script


def test_a_stream_is_not_joined_from_two_versions():
    resting_worker, other = _rests_after_two(b"1"), _stream_from(3, b"2")
    met = run_virtual(resting(resting_worker, [other], PLENTY, least_ms=REST_S * 1000.0))
    assert len(met) == 2, "the other was asked, and its answer was of other weights"


def test_a_stream_is_joined_from_one_version():
    met = run_virtual(resting(_rests_after_two(b"1"), [_stream_from(3, b"1")], PLENTY, longest_ms=2000))
    assert len(met) == 2


@pytest.mark.parametrize("number", [1, 2])
def test_events_that_the_client_has_do_not_come_twice(number):
    met = run_virtual(resting(_rests_after_two(), [_stream_from(number)], PLENTY))
    assert len(met) == 2


def test_a_stream_without_ids_is_not_taken_up():
    async def scenario():
        workers = [ScriptedWorker(f"w{n}", _rests_after_two(ids=False)) for n in range(2)]
        async with data_plane(configuration(), *workers, clock=clock, retry_budget_min=PLENTY) as (port, _):
            status, body, whole, _ = await asked(port)
        assert (status, whole) == (200, True)
        assert body == b"".join(b"data: token %d\n\n" % number for number in range(1, 6))
        assert sum(len(worker.requests) for worker in workers) == 1

    run_virtual(scenario())


def test_an_error_does_not_win_over_an_attempt_that_is_open():
    def fails(received):
        return [answer(received, b"sorry", b"500 Internal Server Error")]

    met = run_virtual(resting(RESTS_AT_FIRST, [fails], PLENTY))
    assert len(met) == 2


def test_an_answer_that_is_no_stream_goes_to_the_faster_of_two():
    async def scenario():
        met = []

        def first_rests(received):
            met.append(received)
            return [FIRST_EVENT_S if len(met) == 1 else 0.01, answer(received)]

        workers = [ScriptedWorker(f"w{n}", first_rests) for n in range(2)]
        route = configuration(Type="idempotent", Resumable=False)
        async with data_plane(route, *workers, clock=clock, retry_budget_min=PLENTY) as (port, _):
            status, body, whole, took = await asked(port)
        assert (status, body, whole) == (200, b"fine", True) and took < 2000
        assert len(met) == 2

    run_virtual(scenario())


def test_what_may_not_be_repeated_waits_for_its_worker():
    async def scenario():
        workers = [ScriptedWorker(f"w{n}", lambda r: [FIRST_EVENT_S, answer(r)]) for n in range(2)]
        route = configuration(Type="non_idempotent", Resumable=False)
        async with data_plane(route, *workers, clock=clock, retry_budget_min=PLENTY) as (port, _):
            assert (await asked(port))[0] == 200
        assert sum(len(worker.requests) for worker in workers) == 1

    run_virtual(scenario())


# -- Changes meanwhile -----------------------------------------------------------------------------------


async def _leaves(state, workers):
    """The worker that is asked leaves while it rests."""
    await asyncio.sleep(0.5)
    gone = [
        pb.Worker(id=w.name, service="s", address=w.address, zone="a", capacity=8, state=pb.GONE)
        for w in workers
    ]
    state.update("workers-0", False, pb.WorkerSet(workers=gone).SerializeToString())


async def _changes(state, _workers):
    """Another configuration is in force while it rests: shorter times, no attempts, no resumption."""
    await asyncio.sleep(0.5)
    body = configuration(2, TimeoutMs=400, Resumable=False, MaxAttempts=1)
    state.update("configuration", False, pb.ConfigurationState(version=2, body=body).SerializeToString())


@pytest.mark.parametrize("meanwhile", [_leaves, _changes], ids=["the worker leaves", "configuration changes"])
@pytest.mark.parametrize("first", [RESTS_IN_THE_MIDDLE, RESTS_AT_FIRST], ids=["middle", "first event"])
def test_what_is_under_way_goes_on_through_changes(first, meanwhile):
    run_virtual(resting(first, [], PLENTY, meanwhile))


def test_a_read_that_takes_long_goes_on_where_no_other_worker_may_read():
    """The prompt is read apart by a worker that needs longer than forecast; the only one."""
    body = b'{"PrefillHandle":"3fa09c","Tokens":4000,"Version":1}'

    def reads(received):
        return [FIRST_EVENT_S, answer(received, body, stamp=False)]

    async def scenario():
        reader = ScriptedWorker("p", reads, phase="prefill")
        runner = ScriptedWorker("d", streams(), phase="decode")
        shape = {"Capacity": 8, "KvCapacityTokens": 10_000, "KvTokenBytes": 10, "BandwidthMbps": 1000}
        made = json.loads(configuration(Resumable=False, MaxAttempts=1))
        made["Services"][0]["Engine"] = shape
        async with data_plane(json.dumps(made).encode(), reader, runner, clock=clock) as (port, _):
            extra = b"Molespur-Token-Usage: 4000,80\r\nMolespur-Prompt-Prefix: aa:3000,bb:1000\r\n"
            status, got, whole, _took = await asked(port, extra)
            assert (status, got, whole) == (200, WHOLE, True)
            assert len(reader.requests) == 1, "it is read once"

    run_virtual(scenario())
