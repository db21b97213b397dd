"""The owner of a shard acknowledges workers only in contact with a majority, and only committed state."""

import asyncio
import json

import pytest
from control import OneControlPlane

from molespur.system.errors import ErrorKind, FleetError
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION, WORKER_GROUPS
from molespur.system.workers.directory import WorkerDirectory
from molespur.system.workers.liveness import WorkerLiveness


@pytest.fixture
def plane(tmp_path):
    control_plane = OneControlPlane(tmp_path)
    yield control_plane
    control_plane.close()


def worker(state=pb.READY, sequence=1, **changes):
    fields = {"id": "i-1", "service": "s", "address": "10.9.0.1:80", "zone": "a", "capacity": 4, **changes}
    return pb.Worker(state=state, sequence=sequence, **fields)


def put(directory, record):
    directory.apply(pb.WorkerCommand(workers=[record]).SerializeToString())


def send_heartbeat(plane, state="ready", sequence=1):
    body = {"Service": "s", "Address": "10.9.0.1:80", "Zone": "a", "State": state, "Sequence": sequence}
    return plane.call("PUT", "/api/instances/i-1", json.dumps(body).encode())[0]


def test_a_repeated_heartbeat_is_acknowledged_only_once_the_first_one_is_committed():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, worker())
    draining = liveness.heartbeat(0.0, worker(pb.DRAINING, 2))
    assert draining is not None
    again = liveness.heartbeat(10.0, worker(pb.DRAINING, 2))
    assert again is not None, "the first proposal may never be committed"
    put(directory, again)
    liveness.committed(again)
    assert liveness.heartbeat(20.0, worker(pb.DRAINING, 2)) is None


def test_a_heartbeat_older_than_a_proposed_one_has_an_unknown_outcome():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, worker())
    liveness.heartbeat(0.0, worker(sequence=7, capacity=9))
    with pytest.raises(FleetError) as caught:
        liveness.heartbeat(5.0, worker(sequence=6, capacity=8))
    assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN
    assert liveness.heartbeat(6.0, worker(pb.DRAINING, 6)).state == pb.DRAINING, (
        "a late draining state still counts"
    )


@pytest.mark.parametrize("state", [pb.READY, pb.SWITCHING, pb.SILENT])
def test_a_record_derived_from_an_older_state_is_ignored(state):
    directory = WorkerDirectory()
    put(directory, worker(sequence=3))
    put(directory, worker(pb.DRAINING, 5))
    put(directory, worker(state, 9))
    assert directory.workers["i-1"].state == pb.DRAINING
    other = WorkerDirectory()
    put(other, worker(sequence=5, phase="prefill"))
    put(other, worker(state, 4, phase="decode"))
    assert other.workers["i-1"].phase == "prefill"


def test_without_contact_to_a_majority_heartbeats_get_503(plane):
    assert send_heartbeat(plane) == 200
    assert send_heartbeat(plane, sequence=2) == 200
    plane.host.has_lease = lambda _group: False
    assert send_heartbeat(plane, sequence=3) == 503
    assert plane.call("DELETE", "/api/instances/i-1")[0] == 503
    del plane.host.has_lease
    assert send_heartbeat(plane, sequence=3) == 200


def test_an_owner_that_had_lost_its_lease_marks_no_worker_silent_at_once(plane):
    for sequence in range(1, 4):
        send_heartbeat(plane, sequence=sequence)
        plane.pass_time(300.0)
    plane.host.has_lease = lambda _group: False
    plane.check_heartbeats()
    del plane.host.has_lease
    plane.now += 900.0
    plane.check_heartbeats()
    states = [
        w.state for name in WORKER_GROUPS for w in plane.host.groups[name].state_machine.workers.values()
    ]
    assert states == [pb.READY]


def test_a_pending_proposal_fails_at_once_when_leadership_is_lost(plane):
    class StalledWriter:
        def write(self, _group, _record):
            pass

    plane.host.writer = StalledWriter()
    replica = plane.host.groups[CONFIGURATION].replica

    async def scenario():
        proposal = asyncio.ensure_future(plane.host.propose(CONFIGURATION, b"x"))
        await asyncio.sleep(0)
        later = pb.ConsensusMessage(
            group=CONFIGURATION,
            sender="10.0.0.9:7000#0",
            receiver=replica.id,
            term=replica.hard_state.term + 1,
        )
        later.append_request.SetInParent()
        plane.host.receive(later)
        for _ in range(5):
            await asyncio.sleep(0)
        assert proposal.done()
        with pytest.raises(FleetError) as caught:
            await proposal
        assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN

    plane.loop.run_until_complete(scenario())
