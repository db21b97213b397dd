"""Registered workers: records, late heartbeats, missing heartbeats."""

from registrations import put, worker

from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.workers.directory import WorkerDirectory
from molespur.system.workers.liveness import (
    MASS_SILENCE_HEARTBEATS,
    MAX_MISSED_HEARTBEATS,
    WorkerLiveness,
)


def test_a_worker_at_the_address_of_another_one_replaces_it():
    directory = WorkerDirectory()
    put(directory, worker("i-1"))
    update = pb.WorkerSet.FromString(put(directory, worker("i-2")))
    assert [(w.id, w.state) for w in update.workers] == [("i-1", pb.GONE), ("i-2", pb.READY)]
    assert list(directory.workers) == ["i-2"]


def test_a_worker_that_changes_its_address_frees_the_old_one():
    directory = WorkerDirectory()
    put(directory, worker("i-1"))
    put(directory, worker("i-1", "10.9.0.7:80", sequence=2))
    update = pb.WorkerSet.FromString(put(directory, worker("i-2")))
    assert [w.id for w in update.workers] == ["i-2"] and set(directory.workers) == {"i-1", "i-2"}
    copy = WorkerDirectory()
    copy.restore(directory.snapshot())
    assert [w.id for w in pb.WorkerSet.FromString(put(copy, worker("i-3"))).workers] == ["i-2", "i-3"]
    put(copy, pb.Worker(id="i-3", state=pb.GONE))
    assert [w.id for w in pb.WorkerSet.FromString(put(copy, worker("i-4"))).workers] == ["i-4"]


def test_the_feed_omits_the_fields_that_only_the_control_plane_uses():
    directory = WorkerDirectory()
    update = pb.WorkerSet.FromString(put(directory, worker(models='[{"Name":"m"}]', phase="decode")))
    snapshot = pb.WorkerSet.FromString(directory.feed_snapshot())
    for known in (*update.workers, *snapshot.workers):
        assert (known.id, known.address, known.phase, known.capacity) == ("i-1", "10.9.0.1:80", "decode", 64)
        assert (known.models, known.sequence) == ("", 0)
    assert directory.workers["i-1"].models, "the shard itself keeps them"
    put(directory, worker("i-2", "10.9.0.2:80"))
    assert len(pb.WorkerSet.FromString(directory.feed_snapshot()).workers) == 2
    gone = pb.WorkerSet.FromString(put(directory, pb.Worker(id="i-2", state=pb.GONE)))
    assert list(gone.workers) == [pb.Worker(id="i-2", state=pb.GONE)]
    directory.restore(WorkerDirectory().snapshot())
    assert directory.feed_snapshot() == b""


def test_a_late_heartbeat_does_not_restore_a_deregistered_worker():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, worker())
    put(directory, pb.Worker(id="i-1", state=pb.GONE, deregistered=True))
    copy = WorkerDirectory()
    copy.restore(directory.snapshot())
    assert liveness.heartbeat(0.0, worker(sequence=9)) is None
    assert put(directory, worker(sequence=9)) is None and put(copy, worker(sequence=9)) is None


def test_heartbeats_that_change_nothing_and_late_ones_are_not_proposed():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, liveness.heartbeat(0.0, worker(sequence=1)))
    assert liveness.heartbeat(1000.0, worker(sequence=2)) is None
    put(directory, liveness.heartbeat(2000.0, worker(state=pb.DRAINING, sequence=5)))
    assert liveness.heartbeat(2010.0, worker(sequence=4)) is None
    assert liveness.heartbeat(2020.0, worker(sequence=6)) is None, (
        "a draining worker does not become ready again"
    )


def check_until_overdue(liveness, until, step=500.0, start=0.0):
    now = start
    while now < until:
        now += step
        overdue = liveness.find_overdue(now)
        if overdue:
            return now, overdue
    return now, []


def test_a_worker_without_heartbeats_becomes_silent_and_its_next_heartbeat_makes_it_ready():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, worker("i-1"), worker("i-2", "10.9.0.2:80"))
    liveness.reset(0.0)
    liveness.heartbeat(3000.0, worker("i-2", "10.9.0.2:80", sequence=3))
    now, overdue = check_until_overdue(liveness, 6000.0)
    assert 3000.0 < now <= 4000.0 and [(w.id, w.state) for w in overdue] == [("i-1", pb.SILENT)]
    put(directory, *overdue)
    assert liveness.heartbeat(4100.0, worker(sequence=5)).state == pb.READY


def test_when_most_workers_are_overdue_at_once_none_is_marked_silent():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, *(worker(f"i-{n}", f"10.9.0.{n}:80") for n in range(5)))
    liveness.reset(0.0)
    assert check_until_overdue(liveness, 8000.0)[1] == []


def test_most_workers_that_stay_silent_while_others_are_heard_are_marked_silent_in_the_end():
    """Guards against lost workers that stay in service for good: the others were fewer than they."""
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, *(worker(f"i-{n}", f"10.9.0.{n}:80") for n in range(4)))
    liveness.reset(0.0)
    marked, now = {}, 0.0
    while now < 10_000.0:
        now += 500.0
        liveness.heartbeat(now, worker("i-0", "10.9.0.0:80", sequence=int(now)))
        overdue = liveness.find_overdue(now)
        marked.update({each.id: now for each in overdue})
        put(directory, *overdue)
    held_until = 1000.0 * (MAX_MISSED_HEARTBEATS + MASS_SILENCE_HEARTBEATS)
    assert set(marked) == {"i-1", "i-2", "i-3"}
    assert all(held_until <= at <= held_until + 1000.0 for at in marked.values())


def test_workers_that_come_back_one_after_the_other_after_a_silence_of_all_are_not_marked_silent():
    """The owner was cut off from all of them for some time."""
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, *(worker(f"i-{n}", f"10.9.0.{n}:80") for n in range(5)))
    liveness.reset(0.0)
    assert check_until_overdue(liveness, 30_000.0)[1] == []
    for n in range(5):
        now = 30_000.0 + 200.0 * n
        liveness.heartbeat(now, worker(f"i-{n}", f"10.9.0.{n}:80", sequence=9))
        assert liveness.find_overdue(now) == []


def test_an_owner_that_was_stalled_marks_no_worker_silent():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, worker("i-1"), worker("i-2", "10.9.0.2:80"))
    liveness.reset(0.0)
    assert liveness.find_overdue(9000.0) == []


def test_a_worker_that_switches_may_report_its_old_phase_for_a_while():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, worker(phase="decode"))
    put(directory, liveness.order_accepted(0.0, directory.workers["i-1"], "prefill"))
    assert directory.workers["i-1"].state == pb.SWITCHING
    assert liveness.heartbeat(1000.0, worker(sequence=2, phase="decode")) is None
    done = liveness.heartbeat(2500.0, worker(sequence=3, phase="prefill"))
    assert (done.state, done.phase) == (pb.READY, "prefill")
    put(directory, done)
    assert liveness.order_completed("i-1") is None, "a heartbeat has already completed it"
    put(directory, liveness.order_accepted(2600.0, directory.workers["i-1"], "decode"))
    put(directory, liveness.order_completed("i-1"))
    assert (directory.workers["i-1"].state, directory.workers["i-1"].phase) == (pb.READY, "decode")
    put(directory, worker(sequence=4, phase="prefill"))
    put(directory, liveness.order_accepted(3000.0, directory.workers["i-1"], "decode"))
    refused = liveness.heartbeat(12_000.0, worker(sequence=9, phase="prefill"))
    assert (refused.state, refused.phase) == (pb.READY, "prefill"), "the order was not carried out"
