"""Scheduler membership: choice of monitors, reports between them, periodic messages."""

import pytest

from molespur.system.membership.announcements import Announcement, AnnouncementSchedule
from molespur.system.membership.ring import monitors
from molespur.system.membership.schedulers import SchedulerMonitor
from molespur.system.rpc import molespur_pb2 as pb


def test_monitors_are_few_stable_and_spread():
    processes = [f"10.0.0.{n}:1" for n in range(6)]
    chosen = {f"edge-{n}": monitors(f"edge-{n}", processes) for n in range(200)}
    assert all(len(set(c)) == 2 for c in chosen.values())
    assert {p for c in chosen.values() for p in c} == set(processes)
    fewer = {node: monitors(node, processes[:-1]) for node in chosen}
    moved = sum(set(fewer[n]) != set(c) for n, c in chosen.items() if processes[-1] not in c)
    assert moved == 0, "only the nodes of the process that left are watched by others"


def test_a_monitor_that_has_just_started_reports_no_scheduler_count():
    monitor = SchedulerMonitor(started_at=1_000.0)
    monitor.heartbeat(1_100.0, pb.SchedulerHeartbeat(node="a"))
    assert monitor.count(1_200.0) == 0
    monitor.heartbeat(5_000.0, pb.SchedulerHeartbeat(node="a"))
    assert monitor.count(5_000.0) == 1


def test_schedulers_are_counted_over_all_monitors():
    monitor = SchedulerMonitor()
    monitor.heartbeat(0.0, pb.SchedulerHeartbeat(node="a"))
    report = pb.MonitorReport(alive=[pb.SchedulerHeartbeat(node="a"), pb.SchedulerHeartbeat(node="b")])
    monitor.report(100.0, report)
    assert set(monitor.alive(200.0)) == {"a", "b"}
    monitor.heartbeat(300.0, pb.SchedulerHeartbeat(node="a", leaving=True))
    assert {message.node for message in monitor.direct_heartbeats(300.0)} == set()


def send_heartbeats(monitor, now, count):
    for number in range(count):
        monitor.heartbeat(now, pb.SchedulerHeartbeat(node=f"edge-{number}"))


@pytest.mark.parametrize(("count", "size"), [(12, 12), (40, 40), (130, 40), (800, 100)])
def test_reports_are_bounded_and_a_round_of_them_names_all_schedulers(count, size):
    monitor, other = SchedulerMonitor(), SchedulerMonitor()
    for number in range(24):
        now = 300.0 * number
        send_heartbeats(monitor, now, count)
        heartbeats = monitor.next_report(now)
        assert len(heartbeats) == size
        other.report(now, pb.MonitorReport(alive=heartbeats))
        if number >= 8:
            assert len(other.alive(now)) == count, "an entry stays valid until the next report that names it"


def test_a_monitor_returns_whether_a_scheduler_is_new_to_it():
    monitor = SchedulerMonitor()
    heartbeat = pb.SchedulerHeartbeat(node="a")
    assert monitor.heartbeat(0.0, heartbeat) and not monitor.heartbeat(100.0, heartbeat)
    assert not monitor.heartbeat(200.0, pb.SchedulerHeartbeat(node="a", leaving=True))
    assert monitor.heartbeat(300.0, heartbeat)
    report = pb.MonitorReport(alive=[pb.SchedulerHeartbeat(node="b")])
    assert monitor.report(400.0, report) and not monitor.report(500.0, report)
    monitor.alive(6_000.0)
    assert monitor.report(6_100.0, report), "the first report has expired"


def test_announcements_are_due_at_their_intervals_and_at_once_for_a_new_scheduler():
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


def test_a_new_scheduler_is_in_the_next_report():
    monitor = SchedulerMonitor()
    send_heartbeats(monitor, 0.0, 130)
    for number in range(5):
        monitor.next_report(300.0 * number)
    monitor.heartbeat(1_600.0, pb.SchedulerHeartbeat(node="edge-new"))
    assert "edge-new" in {message.node for message in monitor.next_report(1_600.0)}
    assert set(monitor.alive(6000.0)) == set()
