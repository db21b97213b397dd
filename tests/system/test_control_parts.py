"""Parts of the control plane: configuration, workers and their parts, membership, settings, disk."""

import sqlite3

import pytest

from molespur.system.consensus import replica as raft
from molespur.system.errors import ANSWERS, ErrorKind, FleetError
from molespur.system.membership.announcements import Announcement, AnnouncementSchedule
from molespur.system.membership.ring import monitors
from molespur.system.membership.schedulers import SchedulerMonitor
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.settings import configuration, process
from molespur.system.shards.configuration import ConfigurationMachine, PutOutcome
from molespur.system.storage.store import Store
from molespur.system.workers.directory import WorkerDirectory
from molespur.system.workers.liveness import WorkerLiveness
from molespur.system.workers.phases import PhasePlanner

# -- Configuration -----------------------------------------------------------------------------------


def change(version, base, body=b""):
    body = body or b"%d" % version
    digest = b"%d:%s" % (base, body)
    return pb.PutConfiguration(
        version=version, base_version=base, digest=digest, body=body
    ).SerializeToString()


def test_of_two_changes_on_one_version_one_wins():
    machine = ConfigurationMachine()
    assert machine.apply(change(1, 0))[0] is PutOutcome.TAKEN
    assert machine.apply(change(5, 1, b"a"))[0] is PutOutcome.TAKEN
    assert machine.apply(change(5, 1, b"b"))[0] is PutOutcome.MISMATCH
    assert machine.apply(change(7, 1))[0] is PutOutcome.MISMATCH
    assert (machine.version, machine.body) == (5, b"a")


def test_a_change_that_was_taken_is_never_refused():
    machine = ConfigurationMachine()
    for version, base in ((1, 0), (3, 1), (4, 3)):
        machine.apply(change(version, base))
    copy = ConfigurationMachine()
    copy.restore(machine.snapshot())
    for known in (machine, copy):
        assert [known.apply(change(v, b)) for v, b in ((1, 0), (3, 1), (4, 3))] == [
            (PutOutcome.TAKEN, None)
        ] * 3
        assert known.version == 4


def test_a_version_must_be_newer():
    machine = ConfigurationMachine()
    machine.apply(change(4, 0))
    assert machine.apply(change(4, 4, b"x"))[0] is PutOutcome.NOT_NEWER
    assert machine.apply(change(3, 4))[0] is PutOutcome.NOT_NEWER


ROUTE = '{"Name":"r","Host":"h","PathPrefix":"/p/","TimeoutMs":%s,"Service":"%s"}'


@pytest.mark.parametrize(
    ("body", "kind", "field"),
    [
        ('{"Version":1', ErrorKind.UNREADABLE, "JSON"),
        ("[]", ErrorKind.UNREADABLE, "object"),
        ('{"Version":"1"}', ErrorKind.INVALID_CONFIGURATION, "Version"),
        ('{"Routes":[]}', ErrorKind.INVALID_CONFIGURATION, "Version"),
        ('{"Version":0}', ErrorKind.INVALID_CONFIGURATION, "Version"),
        ('{"Version":1,"Routes":[' + ROUTE % (9, "s") + "]}", ErrorKind.INVALID_CONFIGURATION, "Service"),
        (
            '{"Version":1,"Services":[{"Name":"s"}],"Routes":[' + ROUTE % (0, "s") + "]}",
            ErrorKind.INVALID_CONFIGURATION,
            "TimeoutMs",
        ),
        (
            '{"Version":1,"Services":[{"Name":"s"}],"Routes":['
            + f"{ROUTE % (9, 's')},{ROUTE % (9, 's')}"
            + "]}",
            ErrorKind.INVALID_CONFIGURATION,
            "PathPrefix",
        ),
        (
            '{"Version":1,"Services":[{"Name":"s"}],"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/",'
            '"TrafficSplit":[{"Service":"s","Weight":0}]}]}',
            ErrorKind.INVALID_CONFIGURATION,
            "TrafficSplit",
        ),
    ],
)
def test_a_configuration_that_cannot_be_used_is_refused_in_one_line(body, kind, field):
    with pytest.raises(FleetError) as problem:
        configuration.parse(body.encode())
    assert problem.value.kind is kind and field in problem.value.detail and "\n" not in problem.value.detail
    assert 400 <= ANSWERS[kind].status < 500


def test_unknown_keys_are_passed_over():
    known = configuration.parse(
        b'{"Version":2,"New":1,"Services":[{"Name":"s","Tls":false,"Engine":{"stride":9}}]}'
    )
    assert known.version == 2 and known.services[0].engine.capacity == 1


SETTINGS = """
NodeName: core-1
Ip: 10.1.0.38
Zone: a
PortRange: [7660, 7675]
SeedNodes: ["10.1.0.38:8146", "10.2.0.30:8146"]
Bounds: {GracePeriodS: 8, Unknown: 3}
NotYetInvented: {a: 1}
"""


def test_settings_are_read_and_unknown_keys_skipped():
    known = process.parse(SETTINGS)
    assert known.rpc_address == "10.1.0.38:7660"
    assert known.seed_rpc_addresses() == ["10.1.0.38:7660", "10.2.0.30:7660"]
    assert known.bounds.grace_period_s == 8.0


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (SETTINGS.replace("Zone: a", ""), "Zone"),
        (SETTINGS.replace("GracePeriodS: 8", "GracePeriodS: soon"), "Bounds.GracePeriodS"),
        ("- a", "mapping"),
        ("a: [", "YAML"),
    ],
)
def test_settings_that_cannot_be_used_name_the_key(text, named):
    with pytest.raises(FleetError) as problem:
        process.parse(text)
    assert problem.value.kind is ErrorKind.BAD_SETTINGS
    assert named in problem.value.detail and "\n" not in problem.value.detail


def test_every_error_kind_but_bad_settings_has_an_answer():
    assert set(ErrorKind) - set(ANSWERS) == {ErrorKind.BAD_SETTINGS}
    assert all(a.status in (503, 408) for a in ANSWERS.values() if a.promises_not_run)


# -- Workers -----------------------------------------------------------------------------------------


def worker(name="i-1", address="10.9.0.1:80", state=pb.READY, sequence=1, **more):
    return pb.Worker(
        id=name, service="s", address=address, state=state, sequence=sequence, capacity=64, **more
    )


def put(directory, *workers):
    return directory.apply(pb.WorkerCommand(workers=workers).SerializeToString())[1]


def test_an_address_that_passes_on_ends_the_earlier_worker():
    directory = WorkerDirectory()
    put(directory, worker("i-1"))
    told = pb.WorkerSet.FromString(put(directory, worker("i-2")))
    assert [(w.id, w.state) for w in told.workers] == [("i-1", pb.GONE), ("i-2", pb.READY)]
    assert list(directory.workers) == ["i-2"]


def test_a_worker_that_moves_frees_its_address_for_another():
    directory = WorkerDirectory()
    put(directory, worker("i-1"))
    put(directory, worker("i-1", "10.9.0.7:80", sequence=2))
    told = pb.WorkerSet.FromString(put(directory, worker("i-2")))
    assert [w.id for w in told.workers] == ["i-2"] and set(directory.workers) == {"i-1", "i-2"}
    copy = WorkerDirectory()
    copy.restore(directory.snapshot())
    assert [w.id for w in pb.WorkerSet.FromString(put(copy, worker("i-3"))).workers] == ["i-2", "i-3"]
    put(copy, pb.Worker(id="i-3", state=pb.GONE))
    assert [w.id for w in pb.WorkerSet.FromString(put(copy, worker("i-4"))).workers] == ["i-4"]


def test_the_data_plane_is_told_nothing_that_only_the_control_plane_goes_by():
    directory = WorkerDirectory()
    told = pb.WorkerSet.FromString(put(directory, worker(models='[{"Name":"m"}]', phase="decode")))
    whole = pb.WorkerSet.FromString(directory.feed_snapshot())
    for known in (*told.workers, *whole.workers):
        assert (known.id, known.address, known.phase, known.capacity) == ("i-1", "10.9.0.1:80", "decode", 64)
        assert (known.models, known.sequence) == ("", 0)
    assert directory.workers["i-1"].models, "the shard itself keeps it"
    put(directory, worker("i-2", "10.9.0.2:80"))
    assert len(pb.WorkerSet.FromString(directory.feed_snapshot()).workers) == 2
    gone = pb.WorkerSet.FromString(put(directory, pb.Worker(id="i-2", state=pb.GONE)))
    assert list(gone.workers) == [pb.Worker(id="i-2", state=pb.GONE)]
    directory.restore(WorkerDirectory().snapshot())
    assert directory.feed_snapshot() == b""


def test_a_late_heartbeat_does_not_bring_back_who_said_goodbye():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, worker())
    put(directory, pb.Worker(id="i-1", state=pb.GONE, deregistered=True))
    copy = WorkerDirectory()
    copy.restore(directory.snapshot())
    assert liveness.heartbeat(0.0, worker(sequence=9)) is None
    assert put(directory, worker(sequence=9)) is None and put(copy, worker(sequence=9)) is None


def test_heartbeats_that_change_nothing_are_not_logged_and_late_ones_not_taken():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, liveness.heartbeat(0.0, worker(sequence=1)))
    assert liveness.heartbeat(1000.0, worker(sequence=2)) is None
    put(directory, liveness.heartbeat(2000.0, worker(state=pb.DRAINING, sequence=5)))
    assert liveness.heartbeat(2010.0, worker(sequence=4)) is None
    assert liveness.heartbeat(2020.0, worker(sequence=6)) is None, "a worker that leaves does not come back"


def look(liveness, until, step=500.0, start=0.0):
    now = start
    while now < until:
        now += step
        overdue = liveness.overdue(now)
        if overdue:
            return now, overdue
    return now, []


def test_a_silent_worker_is_noted_and_comes_back_with_its_next_heartbeat():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, worker("i-1"), worker("i-2", "10.9.0.2:80"))
    liveness.begin(0.0)
    liveness.heartbeat(3000.0, worker("i-2", "10.9.0.2:80", sequence=3))
    now, overdue = look(liveness, 6000.0)
    assert 3000.0 < now <= 4000.0 and [(w.id, w.state) for w in overdue] == [("i-1", pb.SILENT)]
    put(directory, *overdue)
    assert liveness.heartbeat(4100.0, worker(sequence=5)).state == pb.READY


def test_when_most_fall_silent_at_once_the_fault_is_here():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, *(worker(f"i-{n}", f"10.9.0.{n}:80") for n in range(5)))
    liveness.begin(0.0)
    assert look(liveness, 8000.0)[1] == []


def test_an_owner_that_stood_still_judges_nobody():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, worker("i-1"), worker("i-2", "10.9.0.2:80"))
    liveness.begin(0.0)
    assert liveness.overdue(9000.0) == []


def test_a_worker_under_orders_shows_its_old_part_for_a_while():
    directory = WorkerDirectory()
    liveness = WorkerLiveness(directory, 1000.0)
    put(directory, worker(phase="decode"))
    put(directory, liveness.order_given(0.0, directory.workers["i-1"], "prefill"))
    assert directory.workers["i-1"].state == pb.SWITCHING
    assert liveness.heartbeat(1000.0, worker(sequence=2, phase="decode")) is None
    done = liveness.heartbeat(2500.0, worker(sequence=3, phase="prefill"))
    assert (done.state, done.phase) == (pb.READY, "prefill")
    put(directory, done)
    assert liveness.order_done("i-1") is None, "its heartbeat was faster"
    put(directory, liveness.order_given(2600.0, directory.workers["i-1"], "decode"))
    put(directory, liveness.order_done("i-1"))
    assert (directory.workers["i-1"].state, directory.workers["i-1"].phase) == (pb.READY, "decode")
    put(directory, worker(sequence=4, phase="prefill"))
    put(directory, liveness.order_given(3000.0, directory.workers["i-1"], "decode"))
    refused = liveness.heartbeat(12_000.0, worker(sequence=9, phase="prefill"))
    assert (refused.state, refused.phase) == (pb.READY, "prefill"), "the order was not carried out"


def fleet(readers, runners):
    return [
        worker(f"i-{n}", f"10.9.0.{n}:80", phase="prefill" if n < readers else "decode", zone="abc"[n % 3])
        for n in range(readers + runners)
    ]


def orders(planner, workers, load, start, until):
    given, now = [], start
    while now < until:
        order = planner.plan(now, workers, load)
        if order is not None:
            order.worker.phase = order.phase
            given.append(order.phase)
        now += 300.0
    return given


def test_the_parts_follow_the_demand_and_do_not_swing():
    planner, workers = PhasePlanner(), fleet(3, 6)
    busy = pb.ServiceLoad(service="s", read_tokens_per_s=160_000.0, running=20.0)
    assert orders(planner, workers, busy, 0.0, 250.0) == [], "a change must be called for over some time"
    given = orders(planner, workers, busy, 250.0, 9000.0)
    assert set(given) == {"prefill"} and sum(w.phase == "prefill" for w in workers) == planner.target(
        workers, busy
    )
    assert sum(w.phase == "decode" for w in workers) >= 3
    assert len({w.zone for w in workers if w.phase == "decode"}) == 3
    answers = pb.ServiceLoad(service="s", read_tokens_per_s=20_000.0, running=400.0)
    assert orders(planner, workers, answers, 9000.0, 9500.0) == []
    almost = pb.ServiceLoad(service="s", read_tokens_per_s=28_000.0 * 5.5, running=32.0 * 3.5)
    assert abs(planner.target(workers, almost) - 5.5) < 0.01
    assert orders(planner, workers, almost, 9500.0, 16_000.0) == [], "half a worker off is no reason"
    assert set(orders(planner, workers, answers, 20_000.0, 30_000.0)) == {"decode"}


def test_before_any_traffic_readers_are_made_ready_for_cold_caches_once():
    planner, workers = PhasePlanner(), fleet(3, 6)
    idle = pb.ServiceLoad(service="s")
    assert orders(planner, workers, idle, 0.0, 9000.0) == ["prefill", "prefill"]
    assert orders(planner, workers, idle, 9000.0, 60_000.0) == []
    assert len({w.zone for w in workers if w.phase == "decode"}) == 3
    assert orders(PhasePlanner(), fleet(5, 4), idle, 0.0, 9000.0) == []
    answers = pb.ServiceLoad(service="s", read_tokens_per_s=20_000.0, running=400.0)
    assert set(orders(planner, workers, answers, 60_000.0, 62_000.0)) == {"decode"}, "no wait to turn back"


def test_without_demand_nothing_is_ordered_once_there_was_some():
    planner, workers = PhasePlanner(), fleet(3, 6)
    steady = pb.ServiceLoad(service="s", read_tokens_per_s=28_000.0 * 3, running=32.0 * 6)
    assert orders(planner, workers, steady, 0.0, 9000.0) == []
    assert orders(planner, workers, pb.ServiceLoad(service="s"), 9000.0, 30_000.0) == []


# -- Membership of schedulers --------------------------------------------------------------------------


def test_monitors_are_few_stable_and_spread():
    processes = [f"10.0.0.{n}:1" for n in range(6)]
    chosen = {f"edge-{n}": monitors(f"edge-{n}", processes) for n in range(200)}
    assert all(len(set(c)) == 2 for c in chosen.values())
    assert {p for c in chosen.values() for p in c} == set(processes)
    fewer = {node: monitors(node, processes[:-1]) for node in chosen}
    moved = sum(set(fewer[n]) != set(c) for n, c in chosen.items() if processes[-1] not in c)
    assert moved == 0, "only the nodes of the process that left are watched by others"


def test_a_monitor_that_has_just_started_does_not_know_how_many_there_are():
    monitor = SchedulerMonitor(started_at=1_000.0)
    monitor.heartbeat(1_100.0, pb.SchedulerHeartbeat(node="a"))
    assert monitor.count(1_200.0) == 0
    monitor.heartbeat(5_000.0, pb.SchedulerHeartbeat(node="a"))
    assert monitor.count(5_000.0) == 1


def test_schedulers_are_counted_over_all_monitors():
    monitor = SchedulerMonitor()
    monitor.heartbeat(0.0, pb.SchedulerHeartbeat(node="a"))
    told = pb.MonitorReport(alive=[pb.SchedulerHeartbeat(node="a"), pb.SchedulerHeartbeat(node="b")])
    monitor.report(100.0, told)
    assert set(monitor.alive(200.0)) == {"a", "b"}
    monitor.heartbeat(300.0, pb.SchedulerHeartbeat(node="a", leaving=True))
    assert {beat.node for beat in monitor.own(300.0)} == set()


def beats_of(monitor, now, count):
    for number in range(count):
        monitor.heartbeat(now, pb.SchedulerHeartbeat(node=f"edge-{number}"))


@pytest.mark.parametrize(("count", "most"), [(12, 12), (40, 40), (130, 40), (800, 100)])
def test_a_report_to_other_monitors_stays_small_and_all_are_told_within_a_round(count, most):
    monitor, other = SchedulerMonitor(), SchedulerMonitor()
    for turn in range(24):
        now = 300.0 * turn
        beats_of(monitor, now, count)
        news = monitor.next_report(now)
        assert len(news) == most
        other.report(now, pb.MonitorReport(alive=news))
        if turn >= 8:
            assert len(other.alive(now)) == count, "a monitor's word outlasts the time until its next"


def test_a_monitor_says_whether_a_scheduler_is_new_to_it():
    monitor = SchedulerMonitor()
    beat = pb.SchedulerHeartbeat(node="a")
    assert monitor.heartbeat(0.0, beat) and not monitor.heartbeat(100.0, beat)
    assert not monitor.heartbeat(200.0, pb.SchedulerHeartbeat(node="a", leaving=True))
    assert monitor.heartbeat(300.0, beat)
    told = pb.MonitorReport(alive=[pb.SchedulerHeartbeat(node="b")])
    assert monitor.report(400.0, told) and not monitor.report(500.0, told)
    monitor.alive(6_000.0)
    assert monitor.report(6_100.0, told), "a word that has lapsed"


def test_announcements_go_out_at_their_intervals_and_at_once_for_a_new_scheduler():
    report, heartbeat = Announcement.MONITOR_REPORT, Announcement.FEED_HEARTBEAT
    schedule = AnnouncementSchedule()
    assert schedule.take_due(100.0) == [report, heartbeat]
    assert schedule.take_due(399.0) == []
    assert schedule.take_due(400.0) == [report]
    assert schedule.take_due(500.0) == [heartbeat]
    schedule.scheduler_reported()
    assert schedule.take_due(501.0) == [heartbeat]
    schedule.scheduler_joined()
    assert schedule.take_due(502.0) == [report, heartbeat]
    assert schedule.take_due(600.0) == []


def test_one_that_is_new_is_told_with_the_next_report():
    monitor = SchedulerMonitor()
    beats_of(monitor, 0.0, 130)
    for turn in range(5):
        monitor.next_report(300.0 * turn)
    monitor.heartbeat(1_600.0, pb.SchedulerHeartbeat(node="edge-new"))
    assert "edge-new" in {beat.node for beat in monitor.next_report(1_600.0)}
    assert set(monitor.alive(6000.0)) == set()


# -- Disk ----------------------------------------------------------------------------------------------


def entry(index, term=1, data=b"x"):
    return pb.LogEntry(index=index, term=term, data=data)


def test_the_disk_keeps_log_snapshot_and_identity(tmp_path):
    store = Store(tmp_path)
    assert store.identity() is None
    store.set_identity("a#0")
    with pytest.raises(sqlite3.IntegrityError):
        store.set_identity("b#0")
    store.write(
        [
            ("g", raft.Persist(raft.HardState(2, "v"), entries=[entry(1), entry(2), entry(3)])),
            ("h", raft.Persist(raft.HardState(7, ""), entries=[entry(1, 7)])),
        ]
    )
    store.write([("g", raft.Persist(raft.HardState(3, ""), truncate_from=2, entries=[entry(2, 3, b"y")]))])
    snapshot = raft.Snapshot(1, 1, pb.Membership(members=[pb.Member(replica_id="a#0")]), b"state")
    store.write([("g", raft.Persist(raft.HardState(3, ""), snapshot=snapshot))])
    store.close()
    loaded = Store(tmp_path).load("g")
    assert (loaded.hard_state.term, loaded.snapshot.index, loaded.snapshot.state) == (3, 1, b"state")
    assert [(e.index, e.term, e.data) for e in loaded.entries] == [(2, 3, b"y")]
    assert loaded.snapshot.membership.members[0].replica_id == "a#0"


def test_a_write_that_fails_leaves_nothing_behind(tmp_path):
    store = Store(tmp_path)
    good = ("g", raft.Persist(raft.HardState(2, "v"), entries=[entry(1)]))
    twice = ("g", raft.Persist(raft.HardState(3, "w"), entries=[entry(1)]))
    store.write([good])
    with pytest.raises(sqlite3.IntegrityError):
        store.write([("h", raft.Persist(raft.HardState(9, ""))), twice])
    assert store.load("g").hard_state.term == 2 and store.load("h").hard_state.term == 0
