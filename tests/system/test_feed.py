"""Both sides of the feed: what a follower is sent, what it accepts, when it changes its source."""

from random import Random

import pytest
from control import OneControlPlane

from molespur.system.feed import follower as feed_follower
from molespur.system.feed.follower import FeedFollower
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.settings.process import ProcessSettings
from molespur.system.shards.placement import CONFIGURATION

BODY = b'{"Version":%d,"Routes":[],"Services":[]}'


class FakeChannel:
    """A channel that records the frames that are sent."""

    def __init__(self):
        self.sent, self.frames = [], []
        self.has_room = True

    def send(self, frame):
        self.frames.append(frame)
        self.sent.append(pb.Frame.FromString(frame.SerializeToString()))

    def try_hold_unsent(self, _size):
        return self.has_room

    def updates(self, group=CONFIGURATION):
        return [f.update for f in self.sent if f.WhichOneof("body") == "update" and f.update.group == group]


@pytest.fixture
def plane(tmp_path):
    control_plane = OneControlPlane(tmp_path)
    yield control_plane
    control_plane.close()


def source_of(plane):
    source = plane.feed_source()
    plane.host.on_change = source.changed
    return source


def subscription_from(index):
    return pb.Subscribe(node="edge-1", offsets=[pb.Offset(group=CONFIGURATION, index=index)])


def versions(channel):
    return [pb.ConfigurationState.FromString(update.payload).version for update in channel.updates()]


def test_a_follower_gets_a_snapshot_then_each_change(plane):
    plane.put(BODY % 1, 0)
    source, channel = source_of(plane), FakeChannel()
    plane.subscribe(source, channel, pb.Subscribe(node="edge-1"))
    assert [u.snapshot for u in channel.updates()] == [True]
    plane.put(BODY % 3, 1)
    assert versions(channel) == [1, 3] and not channel.updates()[-1].snapshot


def test_a_follower_without_memory_for_its_snapshot_gets_it_later(plane):
    plane.put(BODY % 1, 0)
    source, channel = source_of(plane), FakeChannel()
    channel.has_room = False
    plane.subscribe(source, channel, pb.Subscribe(node="edge-1"))
    assert channel.updates() == []
    channel.has_room = True
    plane.start_pending_groups(source)
    assert versions(channel) == [1]


def test_a_follower_without_memory_for_a_change_gets_it_later_and_in_order(plane):
    plane.put(BODY % 1, 0)
    source, channel = source_of(plane), FakeChannel()
    plane.subscribe(source, channel, pb.Subscribe(node="edge-1"))
    channel.has_room = False
    plane.put(BODY % 2, 1)
    channel.has_room = True
    plane.put(BODY % 3, 2)
    assert versions(channel) == [1], "no change passes by the one that waits"
    plane.start_pending_groups(source)
    assert versions(channel) == [1, 2, 3] and not channel.updates()[-1].snapshot


def test_a_change_is_serialized_once_for_all_followers(plane):
    plane.put(BODY % 1, 0)
    source, channels = source_of(plane), [FakeChannel() for _ in range(3)]
    for channel in channels:
        plane.subscribe(source, channel, pb.Subscribe(node="edge-1"))
    plane.put(BODY % 2, 1)
    assert all(channel.frames[-1] is channels[0].frames[-1] for channel in channels)


def test_a_follower_that_resubscribes_gets_only_the_missing_changes(plane):
    source = source_of(plane)
    for version in (1, 2, 3):
        plane.put(BODY % version, version - 1)
    first = FakeChannel()
    plane.subscribe(source, first, pb.Subscribe(node="edge-1"))
    offset = first.updates()[-1].index
    plane.put(BODY % 4, 3)
    again = FakeChannel()
    plane.subscribe(source, again, subscription_from(offset))
    assert versions(again) == [4] and not again.updates()[0].snapshot


def test_an_offset_that_is_no_longer_kept_leads_to_a_snapshot(plane):
    source = source_of(plane)
    for version in range(1, 300):
        plane.put(BODY % version, version - 1)
    channel = FakeChannel()
    plane.subscribe(source, channel, subscription_from(2))
    assert versions(channel) == [299] and channel.updates()[0].snapshot


def test_a_source_that_is_behind_its_follower_sends_nothing(plane):
    plane.put(BODY % 1, 0)
    source, channel = source_of(plane), FakeChannel()
    ahead = pb.Offset(group=CONFIGURATION, index=10_000)
    plane.subscribe(source, channel, pb.Subscribe(node="edge-1", offsets=[ahead]))
    assert channel.updates() == []


def test_a_source_without_a_leader_starts_no_follower(plane):
    plane.put(BODY % 1, 0)
    plane.lose_power()
    plane.host.groups[CONFIGURATION].replica._become_follower("")
    plane.host.groups[CONFIGURATION].replica.leader_contact_at_ms = plane.now - 60_000.0
    source, channel = source_of(plane), FakeChannel()
    plane.subscribe(source, channel, pb.Subscribe(node="edge-1"))
    assert channel.updates() == []
    plane.pass_time(3_000.0)
    plane.start_pending_groups(source)
    assert versions(channel) == [1]


# -- Follower --------------------------------------------------------------------------------------


class FakeDialer:
    """Stands in for a dialer whose channel is open at once."""

    instances = []

    def __init__(self, address, on_frame, on_open=None, bind_ip=""):
        self.address, self.on_frame, self.channel, self.stopped = address, on_frame, FakeChannel(), False
        self.channel.label = address
        FakeDialer.instances.append(self)
        if on_open is not None:
            on_open(self.channel)

    def send(self, frame):
        self.channel.send(frame)

    def stop(self):
        self.stopped = True


@pytest.fixture
def follower(monkeypatch):
    monkeypatch.setattr(feed_follower, "Dialer", FakeDialer)
    FakeDialer.instances = []
    settings = ProcessSettings(
        "edge-1", "10.0.0.9", "a", (7000, 7010), ("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")
    )
    new_follower = FeedFollower(
        settings,
        lambda: new_follower.now,
        Random(1),
        lambda *update: new_follower.updates.append(update),
        lambda _: [],
    )
    new_follower.now, new_follower.updates = 0.0, []
    return new_follower


def deliver_frame(follower, frame, source=None):
    source = source or follower.source
    source.on_frame(source.channel, frame)


def source_heartbeat(zones=("a", "b", "c")):
    core = [pb.CoreNode(rpc_address=f"10.0.0.{n + 1}:7000", zone=zone) for n, zone in enumerate(zones)]
    return pb.Frame(feed_heartbeat=pb.FeedHeartbeat(schedulers=3, core=core))


def reply_to_pings(follower, ages):
    """Each pinged process in `ages` replies with its age, as one that has sent everything."""
    for dialer in [follower.source, *follower.monitors.values()]:
        pings = [f.ping.sent_at_ms for f in dialer.channel.sent if f.WhichOneof("body") == "ping"]
        if dialer.address in ages and pings:
            age = ages[dialer.address]
            pong = pb.Pong(sent_at_ms=pings[-1], state_age_ms=age, configuration_age_ms=age, follows=True)
            deliver_frame(follower, pb.Frame(pong=pong), dialer)


def run_steps(follower, ms, frame=None, ages=None):
    for _ in range(int(ms / 200)):
        follower.now += 200.0
        if frame is not None:
            deliver_frame(follower, frame)
        follower.step(follower.now)
        reply_to_pings(follower, ages or {})


def ages_except(follower, address, others, own):
    """The ages of all processes: `own` for one address, `others` for the rest."""
    return {a: own if a == address else others for a in follower.selector.zones}


def test_offsets_never_decrease(follower):
    follower._check_source(0.0)
    for index, snapshot in ((9, True), (7, True), (9, False), (12, False)):
        deliver_frame(
            follower,
            pb.Frame(update=pb.FeedUpdate(group="g", index=index, snapshot=snapshot, payload=b"%d" % index)),
        )
    assert [payload for _, _, payload in follower.updates] == [b"9", b"12"]
    assert follower.offsets == {"g": 12}


def test_a_source_without_confirmed_state_is_left_despite_its_heartbeats(follower):
    follower.step(0.0)
    first = follower.source
    ages = ages_except(follower, None, 100, 100)
    run_steps(follower, 2000, source_heartbeat(), ages)
    assert follower.source is first and follower.age_ms() <= 400.0
    del ages[first.address]  # it continues to send heartbeats, but no pongs
    run_steps(follower, 1200, source_heartbeat(), ages)
    assert follower.source is not first and first.stopped


def test_a_source_is_left_for_one_whose_state_is_newer(follower):
    follower.step(0.0)
    first = follower.source
    run_steps(follower, 1000, source_heartbeat(), ages_except(follower, first.address, 100, 100))
    run_steps(follower, 600, source_heartbeat(), ages_except(follower, first.address, 100, 700))
    assert follower.source is first, "its state is not old yet"
    run_steps(follower, 600, source_heartbeat(), ages_except(follower, first.address, 100, 1500))
    assert follower.source is not first and first.stopped
    assert follower.selector.age(follower.now) <= 400.0


def test_the_source_does_not_keep_changing_while_all_state_is_old(follower):
    follower.step(0.0)
    run_steps(follower, 1000, source_heartbeat(), ages_except(follower, None, 100, 100))
    for step in range(20):
        for address in follower.selector.zones:
            age = 3000.0 + 200 * step
            follower.selector.reported(follower.now, address, follower.now, age, age)
        follower.now += 200.0
        follower.step(follower.now)
    open_addresses = [dialer.address for dialer in FakeDialer.instances if not dialer.stopped]
    assert len(FakeDialer.instances) <= 4, open_addresses


def test_the_channel_to_a_monitor_is_reused_when_it_becomes_the_source(follower):
    follower.step(0.0)
    first = follower.source
    run_steps(follower, 1000, source_heartbeat(), ages_except(follower, first.address, 100, 100))
    monitors = dict(follower.monitors)
    assert monitors
    run_steps(follower, 1600, source_heartbeat(), ages_except(follower, first.address, 100, 5000))
    assert follower.source in monitors.values()
    assert [f for f in follower.source.channel.sent if f.WhichOneof("body") == "subscribe"]


def test_a_pong_from_a_source_that_has_not_sent_everything_does_not_confirm_the_age(follower):
    follower.step(0.0)
    pong = pb.Pong(sent_at_ms=1, state_age_ms=0, configuration_age_ms=0, follows=False)
    follower.now = 300.0
    deliver_frame(follower, pb.Frame(pong=pong))
    assert follower.age_ms() == float("inf") and not follower.may_refuse()


def test_a_pong_from_another_process_does_not_confirm_the_age(follower):
    follower.step(0.0)
    follower.send_heartbeat()
    other = next(iter(follower.monitors.values()))
    pong = pb.Pong(sent_at_ms=1, state_age_ms=0, configuration_age_ms=0, follows=True)
    deliver_frame(follower, pb.Frame(pong=pong), other)
    assert follower.age_ms() == float("inf")


def test_a_refusal_needs_a_configuration_younger_than_the_propagation_bound(follower):
    follower.step(0.0)
    run_steps(follower, 400, source_heartbeat(), ages_except(follower, None, 100, 100))
    confirmed_at = follower.selector.configuration_confirmed_at
    follower.now = confirmed_at + follower.selector.budget.max_refusal_age_ms
    assert follower.may_refuse()
    follower.now += 1.0
    assert not follower.may_refuse() and follower.selector.budget.max_refusal_age_ms < 2000.0


def test_a_source_without_an_open_channel_is_left_sooner(follower):
    follower.step(0.0)
    first = follower.source
    first.channel = None
    for _ in range(2):
        follower.now += 200.0
        follower._check_source(follower.now)
    assert follower.source is not first and first.stopped


def test_frames_from_a_previous_source_are_ignored(follower):
    follower._check_source(0.0)
    first = follower.source
    run_steps(follower, 1600)
    assert follower.source is not first
    deliver_frame(follower, pb.Frame(update=pb.FeedUpdate(group="g", index=3, payload=b"old")), first)
    assert follower.updates == []


def test_a_source_of_the_own_zone_is_selected_once_its_state_is_fresh(follower):
    follower.step(0.0)
    zones = {"10.0.0.1:7000": "b", "10.0.0.2:7000": "b", "10.0.0.3:7000": "b"}
    own = next(address for address in zones if address != follower.source.address)
    zones[own] = "a"
    heartbeat = source_heartbeat(zones=tuple(zones.values()))
    run_steps(follower, 4000, heartbeat, ages_except(follower, own, 100, 3000))
    assert follower.source.address != own, "its state is old"
    run_steps(follower, 4000, heartbeat, ages_except(follower, own, 100, 100))
    assert follower.source.address == own
    run_steps(follower, 8000, heartbeat, ages_except(follower, own, 100, 100))
    assert follower.source.address == own


def test_heartbeats_go_to_the_monitors_and_announce_that_the_scheduler_leaves(follower):
    follower._check_source(0.0)
    initial_count = len(heartbeats_sent())
    follower.leave()
    sent = heartbeats_sent()
    assert sum(heartbeat.leaving for _, heartbeat in sent) == 2 and len(sent) == 2 + initial_count
    assert {heartbeat.node for _, heartbeat in sent} == {"edge-1"}


def heartbeats_sent():
    """(address, heartbeat) of all heartbeats sent so far."""
    return [
        (dialer.address, frame.scheduler_heartbeat)
        for dialer in FakeDialer.instances
        for frame in dialer.channel.sent
        if frame.WhichOneof("body") == "scheduler_heartbeat"
    ]


def test_a_monitor_receives_a_heartbeat_as_soon_as_its_channel_is_open(follower, monkeypatch):
    """Frames sent before a channel is open are lost, and the next heartbeat is due 0.6 s later."""
    monkeypatch.setattr(FakeDialer, "send", lambda self, frame: None)
    follower._check_source(0.0)
    follower.send_heartbeat()
    wanted = feed_follower.monitors("edge-1", follower.selector.zones)
    assert sorted(address for address, _ in heartbeats_sent()) == sorted(wanted)
    assert all(h.peer_address == "10.0.0.9:7010" and not h.leaving for _, h in heartbeats_sent())


# -- The age of a source's state ---------------------------------------------------------------------


def pong_of(plane, source, channel):
    return source.pong(channel, pb.Ping(sent_at_ms=7))


def test_a_source_reports_that_it_has_sent_everything_only_once_it_has(plane):
    plane.put(BODY % 1, 0)
    source, channel = source_of(plane), FakeChannel()
    assert not pong_of(plane, source, channel).follows, "not subscribed yet"
    ahead = pb.Subscribe(node="edge-1", offsets=[pb.Offset(group=CONFIGURATION, index=10_000)])
    plane.subscribe(source, channel, ahead)
    assert not pong_of(plane, source, channel).follows, "the source is behind its follower"
    other = FakeChannel()
    plane.subscribe(source, other, pb.Subscribe(node="edge-2"))
    pong = pong_of(plane, source, other)
    assert pong.follows and pong.sent_at_ms == 7
    assert pong.state_age_ms < 1000 and pong.configuration_age_ms <= pong.state_age_ms


def test_the_age_of_a_source_grows_while_leadership_is_not_confirmed(plane):
    source, channel = source_of(plane), FakeChannel()
    plane.subscribe(source, channel, pb.Subscribe(node="edge-1"))
    replica = plane.host.groups[CONFIGURATION].replica
    replica._become_follower("")
    before = pong_of(plane, source, channel).configuration_age_ms
    plane.now += 500.0
    assert pong_of(plane, source, channel).configuration_age_ms == before + 500


def test_a_heartbeat_contains_the_version_in_force_and_its_age(follower):
    message = follower._heartbeat_message()
    assert (message.configuration_version, message.configuration_age_ms) == (0, 1_000_000)
    follower.configuration_version = lambda: 12
    follower.selector.caught_up(-30.0, 10.0, 10.0)
    message = follower._heartbeat_message()
    assert (message.configuration_version, message.configuration_age_ms) == (12, 40)
