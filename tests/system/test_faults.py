"""Every fault point is triggered in turn; the invariants hold at each."""

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
def disarm_all_points():
    yield
    faults.disarm()


def fail_at(point):
    def fault():
        raise UpstreamError(STAGE.get(point, Failure.MAY_HAVE_RUN), f"fault point {point.name}")

    faults.arm(point, fault)


@pytest.mark.parametrize("point", REQUEST_POINTS)
def test_a_request_at_each_point(point):
    """The client gets the complete response or one that can't be mistaken for it; nothing runs twice."""

    async def scenario():
        freed = asyncio.Event()

        def read_or_free(request):
            if request.startswith(b"DELETE"):
                freed.set()
                return answer(request, stamp=False)
            return prefill(request)

        prefill_worker = ScriptedWorker("p", read_or_free, phase="prefill")
        decode_worker = ScriptedWorker(
            "d", stream(chunk(event(1)), chunk(event(2)), LAST_CHUNK), phase="decode"
        )
        async with data_plane(configuration("streaming", engine=True), prefill_worker, decode_worker) as (
            port,
            ingress,
        ):
            ingress.state.budget("s").minimum = 50.0
            fail_at(point)
            client = await Client.connect(port)
            await client.send(request(extra=PROMPT))
            status, head, body, complete = await client.response()
            runs = [r for r in decode_worker.requests if b"Serving-Phase" not in r]
            assert len(runs) <= 1
            if status == 200:
                assert not complete or body == event(1) + event(2)
            else:
                assert status in (502, 503) and b"Server-Stamp" not in head
                assert status == 502 or not runs, "503 guarantees that nothing has run"
            if point is FaultPoint.AFTER_PREFILL:
                faults.disarm()
                await asyncio.wait_for(freed.wait(), 10)
            tracks = ingress.state.listed_workers("s")
            while ingress.open_requests:
                await asyncio.sleep(0)
            assert [t.unfinished for t in tracks] == [0, 0] and not any(t.response_due_at for t in tracks)

    run(scenario())


BODY = json.dumps({"Version": 3, "Routes": [], "Services": []}).encode()


def test_a_record_whose_commit_failed_is_stored_by_the_next_attempt(tmp_path):
    store = Store(tmp_path)
    record = ("g", raft.Persist(raft.HardState(2, "v"), entries=[pb.LogEntry(index=1, term=2)]))

    def disk_full():
        raise sqlite3.OperationalError("database or disk is full")

    faults.arm(FaultPoint.BEFORE_COMMIT, disk_full)
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
def test_a_configuration_change_at_each_point(tmp_path, point, kept):
    """The process loses power at the point: the change is kept or not, and a retry is acknowledged."""
    plane = OneControlPlane(tmp_path)

    def lose_power():
        raise PowerLoss

    faults.arm(point, lose_power)
    status, _ = plane.put(BODY, 0)
    assert status >= 500, "the change is not acknowledged"
    faults.disarm()
    plane.lose_power()
    status, body = plane.call("GET", "/api/config")
    assert (status, body) == ((200, BODY) if kept else (404, b""))
    assert plane.put(BODY, 0)[0] == 200
    assert plane.call("GET", "/api/config") == (200, BODY)
    plane.close()


def test_every_point_is_triggered_by_a_test_of_this_file():
    triggered = {*REQUEST_POINTS, FaultPoint.BEFORE_COMMIT, FaultPoint.AFTER_COMMIT}
    triggered |= {FaultPoint.BEFORE_PROPOSAL, FaultPoint.BEFORE_ACKNOWLEDGEMENT}
    assert triggered == set(FaultPoint)
