"""Every numbered fault point is struck in turn; what must hold holds at each."""

import asyncio
import json
import sqlite3

import pytest
from control import OneControlPlane, PowerLoss
from test_data_plane_wire import PROMPT, configuration, prefill, stream
from wire import LAST_CHUNK, Client, ScriptedWorker, answer, chunk, data_plane, event, request, run

from molespur.system import faults
from molespur.system.consensus import replica as raft
from molespur.system.data_plane.exchange import Failure
from molespur.system.data_plane.upstream import UpstreamError
from molespur.system.faults import FaultPoint
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.storage.store import Store

REQUEST_POINTS = [p for p in FaultPoint if p < FaultPoint.BEFORE_COMMIT]
STAGE = {FaultPoint.BEFORE_CONNECT: Failure.NOT_SENT}


@pytest.fixture(autouse=True)
def all_points_work_again():
    yield
    faults.disarm()


def fail_at(point):
    def fault():
        raise UpstreamError(STAGE.get(point, Failure.MAY_HAVE_RUN), f"fault point {point.name}")

    faults.arm(point, fault)


@pytest.mark.parametrize("point", REQUEST_POINTS)
def test_a_request_at_each_point(point):
    """The client gets the whole answer or none that could be taken for it; nothing runs twice."""

    async def scenario():
        freed = asyncio.Event()

        def read_or_free(request):
            if request.startswith(b"DELETE"):
                freed.set()
                return answer(request, stamp=False)
            return prefill(request)

        reader = ScriptedWorker("p", read_or_free, phase="prefill")
        runner = ScriptedWorker("d", stream(chunk(event(1)), chunk(event(2)), LAST_CHUNK), phase="decode")
        async with data_plane(configuration("streaming", engine=True), reader, runner) as (port, ingress):
            ingress.state.budget("s").minimum = 50.0
            fail_at(point)
            client = await Client.connect(port)
            await client.send(request(extra=PROMPT))
            status, head, body, whole = await client.response()
            runs = [r for r in runner.requests if b"Serving-Phase" not in r]
            assert len(runs) <= 1
            if status == 200:
                assert not whole or body == event(1) + event(2)
            else:
                assert status in (502, 503) and b"Server-Stamp" not in head
                assert status == 502 or not runs, "a promise was made of what may have run"
            if point is FaultPoint.AFTER_PREFILL:
                faults.disarm()
                await asyncio.wait_for(freed.wait(), 10)
            tracks = ingress.state.listed_workers("s")
            while ingress.open_requests:
                await asyncio.sleep(0)
            assert [t.unfinished for t in tracks] == [0, 0] and not any(t.response_due_at for t in tracks)

    run(scenario())


BODY = json.dumps({"Version": 3, "Routes": [], "Services": []}).encode()


def test_a_record_that_was_not_committed_is_tried_again_and_counts_only_then(tmp_path):
    store = Store(tmp_path)
    record = ("g", raft.Persist(raft.HardState(2, "v"), entries=[pb.LogEntry(index=1, term=2)]))

    def full():
        raise sqlite3.OperationalError("database or disk is full")

    faults.arm(FaultPoint.BEFORE_COMMIT, full)
    with pytest.raises(sqlite3.OperationalError):
        store.write([record])
    assert store.load("g").hard_state.term == 0
    faults.disarm()
    store.write([record])
    assert store.load("g").hard_state.term == 2


@pytest.mark.parametrize(
    ("point", "kept"),
    [
        (FaultPoint.BEFORE_PROPOSAL, False),
        (FaultPoint.BEFORE_COMMIT, False),
        (FaultPoint.AFTER_COMMIT, True),
        (FaultPoint.BEFORE_ACKNOWLEDGEMENT, True),
    ],
)
def test_a_change_of_the_operator_at_each_point(tmp_path, point, kept):
    """Power goes at the point: the change is there or not, and the same call again is acknowledged."""
    plane = OneControlPlane(tmp_path)

    def power_goes():
        raise PowerLoss

    faults.arm(point, power_goes)
    status, _ = plane.put(BODY, 0)
    assert status >= 500, "nothing is acknowledged"
    faults.disarm()
    plane.lose_power()
    status, body = plane.call("GET", "/api/config")
    assert (status, body) == ((200, BODY) if kept else (404, b""))
    assert plane.put(BODY, 0)[0] == 200
    assert plane.call("GET", "/api/config") == (200, BODY)
    plane.close()


def test_every_point_is_struck_by_a_test_of_this_file():
    struck = {*REQUEST_POINTS, FaultPoint.BEFORE_COMMIT, FaultPoint.AFTER_COMMIT}
    struck |= {FaultPoint.BEFORE_PROPOSAL, FaultPoint.BEFORE_ACKNOWLEDGEMENT}
    assert struck == set(FaultPoint)
