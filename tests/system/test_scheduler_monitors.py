"""Membership of schedulers: monitors, reports, announcements."""

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
