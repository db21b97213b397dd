"""The feed, both ends: what a follower is sent, what it takes, and when it turns to another source."""

from random import Random

import pytest
from control import OneControlPlane

from molespur.system.feed import follower as following
from molespur.system.feed.follower import FeedFollower
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.settings.process import ProcessSettings
from molespur.system.shards.placement import CONFIGURATION

BODY = b'{"Version":%d,"Routes":[],"Services":[]}'


class Pipe:
    """A channel that keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, frame):
        self.sent.append(pb.Frame.FromString(frame.SerializeToString()))

    def updates(self, group=CONFIGURATION):
        return [f.update for f in self.sent if f.WhichOneof("body") == "update" and f.update.group == group]


@pytest.fixture
def plane(tmp_path):
    made = OneControlPlane(tmp_path)
    yield made
    made.close()


def source_of(plane):
    source = plane.feed_source()
    plane.host.on_change = source.changed
    return source


def following_from(index):
    return pb.Subscribe(node="edge-1", offsets=[pb.Offset(group=CONFIGURATION, index=index)])


def versions(pipe):
    return [pb.ConfigurationState.FromString(update.payload).version for update in pipe.updates()]


def test_a_follower_gets_a_snapshot_then_each_change(plane):
    plane.put(BODY % 1, 0)
    source, pipe = source_of(plane), Pipe()
    plane.subscribe(source, pipe, pb.Subscribe(node="edge-1"))
    assert [u.snapshot for u in pipe.updates()] == [True]
    plane.put(BODY % 3, 1)
    assert versions(pipe) == [1, 3] and not pipe.updates()[-1].snapshot


def test_a_follower_that_was_away_gets_only_what_it_lacks(plane):
    source = source_of(plane)
    for version in (1, 2, 3):
        plane.put(BODY % version, version - 1)
    first = Pipe()
    plane.subscribe(source, first, pb.Subscribe(node="edge-1"))
    at = first.updates()[-1].index
    plane.put(BODY % 4, 3)
    again = Pipe()
    plane.subscribe(source, again, following_from(at))
    assert versions(again) == [4] and not again.updates()[0].snapshot


def test_an_offset_that_is_too_old_means_a_snapshot(plane):
    source = source_of(plane)
    for version in range(1, 300):
        plane.put(BODY % version, version - 1)
    pipe = Pipe()
    plane.subscribe(source, pipe, following_from(2))
    assert versions(pipe) == [299] and pipe.updates()[0].snapshot


def test_a_source_that_is_behind_its_follower_sends_nothing(plane):
    plane.put(BODY % 1, 0)
    source, pipe = source_of(plane), Pipe()
    ahead = pb.Offset(group=CONFIGURATION, index=10_000)
    plane.subscribe(source, pipe, pb.Subscribe(node="edge-1", offsets=[ahead]))
    assert pipe.updates() == []


def test_a_source_that_has_lost_its_leader_starts_nobody(plane):
    plane.put(BODY % 1, 0)
    plane.lose_power()
    plane.host.groups[CONFIGURATION].replica._become_follower("")
    plane.host.groups[CONFIGURATION].replica.leader_contact_at_ms = plane.now - 60_000.0
    source, pipe = source_of(plane), Pipe()
    plane.subscribe(source, pipe, pb.Subscribe(node="edge-1"))
    assert pipe.updates() == []
    plane.pass_time(3_000.0)
    plane.look(source)
    assert versions(pipe) == [1]


# -- The follower -----------------------------------------------------------------------------------


class FakeDialer:
    """Stands for a dialer whose channel is open at once."""

    made = []

    def __init__(self, address, on_frame, on_open=None, bind_ip=""):
        self.address, self.on_frame, self.channel, self.stopped = address, on_frame, Pipe(), False
        self.channel.label = address
        FakeDialer.made.append(self)
        if on_open is not None:
            on_open(self.channel)

    def send(self, frame):
        self.channel.send(frame)

    def stop(self):
        self.stopped = True


@pytest.fixture
def follower(monkeypatch):
    monkeypatch.setattr(following, "Dialer", FakeDialer)
    FakeDialer.made = []
    settings = ProcessSettings(
        "edge-1", "10.0.0.9", "a", (7000, 7010), ("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")
    )
    made = FeedFollower(
        settings, lambda: made.now, Random(1), lambda *update: made.taken.append(update), lambda _: []
    )
    made.now, made.taken = 0.0, []
    return made


def frame_from(follower, frame, source=None):
    source = source or follower.source
    source.on_frame(source.channel, frame)


def beat(zones=("a", "b", "c")):
    core = [pb.CoreNode(rpc_address=f"10.0.0.{n + 1}:7000", zone=zone) for n, zone in enumerate(zones)]
    return pb.Frame(feed_heartbeat=pb.FeedHeartbeat(schedulers=3, core=core))


def answer_pings(follower, ages):
    """Each process that is asked and named here answers with its age, as one that sent everything."""
    for dialer in [follower.source, *follower.monitors.values()]:
        pings = [f.ping.sent_at_ms for f in dialer.channel.sent if f.WhichOneof("body") == "ping"]
        if dialer.address in ages and pings:
            age = ages[dialer.address]
            pong = pb.Pong(sent_at_ms=pings[-1], state_age_ms=age, configuration_age_ms=age, follows=True)
            frame_from(follower, pb.Frame(pong=pong), dialer)


def watch(follower, ms, frame=None, ages=None):
    for _ in range(int(ms / 200)):
        follower.now += 200.0
        if frame is not None:
            frame_from(follower, frame)
        follower.step(follower.now)
        answer_pings(follower, ages or {})


def all_but(follower, address, other, own):
    """Ages of all processes: `own` of one, `other` of the rest."""
    return {a: own if a == address else other for a in follower.choice.zones}


def test_what_is_in_force_never_goes_back(follower):
    follower._watch(0.0)
    for index, snapshot in ((9, True), (7, True), (9, False), (12, False)):
        frame_from(
            follower,
            pb.Frame(update=pb.FeedUpdate(group="g", index=index, snapshot=snapshot, payload=b"%d" % index)),
        )
    assert [payload for _, _, payload in follower.taken] == [b"9", b"12"]
    assert follower.offsets == {"g": 12}


def test_a_source_that_brings_nothing_is_left_however_much_it_says(follower):
    follower.step(0.0)
    first = follower.source
    ages = all_but(follower, None, 100, 100)
    watch(follower, 2000, beat(), ages)
    assert follower.source is first and follower.age_ms() <= 400.0
    del ages[first.address]  # it sends heartbeats on, and answers nothing
    watch(follower, 1200, beat(), ages)
    assert follower.source is not first and first.stopped


def test_a_source_is_left_for_one_whose_state_is_newer(follower):
    follower.step(0.0)
    first = follower.source
    watch(follower, 1000, beat(), all_but(follower, first.address, 100, 100))
    watch(follower, 600, beat(), all_but(follower, first.address, 100, 700))
    assert follower.source is first, "that is not old yet"
    watch(follower, 600, beat(), all_but(follower, first.address, 100, 1500))
    assert follower.source is not first and first.stopped
    assert follower.choice.age(follower.now) <= 400.0


def test_nobody_turns_round_and_round_while_every_state_is_old(follower):
    follower.step(0.0)
    watch(follower, 1000, beat(), all_but(follower, None, 100, 100))
    for step in range(20):
        for address in follower.choice.zones:
            age = 3000.0 + 200 * step
            follower.choice.reported(follower.now, address, follower.now, age, age)
        follower.now += 200.0
        follower.step(follower.now)
    made = [dialer.address for dialer in FakeDialer.made if not dialer.stopped]
    assert len(FakeDialer.made) <= 4, made


def test_a_channel_to_a_monitor_is_used_on_when_it_becomes_the_source(follower):
    follower.step(0.0)
    first = follower.source
    watch(follower, 1000, beat(), all_but(follower, first.address, 100, 100))
    monitors = dict(follower.monitors)
    assert monitors
    watch(follower, 1600, beat(), all_but(follower, first.address, 100, 5000))
    assert follower.source in monitors.values()
    assert [f for f in follower.source.channel.sent if f.WhichOneof("body") == "subscribe"]


def test_what_a_source_says_before_it_has_sent_everything_makes_nobody_fresh(follower):
    follower.step(0.0)
    pong = pb.Pong(sent_at_ms=1, state_age_ms=0, configuration_age_ms=0, follows=False)
    follower.now = 300.0
    frame_from(follower, pb.Frame(pong=pong))
    assert follower.age_ms() == float("inf") and not follower.may_refuse()


def test_what_another_than_the_source_says_makes_nobody_fresh(follower):
    follower.step(0.0)
    follower.heartbeat()
    other = next(iter(follower.monitors.values()))
    pong = pb.Pong(sent_at_ms=1, state_age_ms=0, configuration_age_ms=0, follows=True)
    frame_from(follower, pb.Frame(pong=pong), other)
    assert follower.age_ms() == float("inf")


def test_a_refusal_needs_a_configuration_that_is_newer_than_the_promise(follower):
    follower.step(0.0)
    watch(follower, 400, beat(), all_but(follower, None, 100, 100))
    confirmed_at = follower.choice.configuration_confirmed_at
    follower.now = confirmed_at + follower.choice.budget.refuse_ms
    assert follower.may_refuse()
    follower.now += 1.0
    assert not follower.may_refuse() and follower.choice.budget.refuse_ms < 2000.0


def test_a_source_that_no_channel_opens_to_is_left_sooner(follower):
    follower.step(0.0)
    first = follower.source
    first.channel = None
    for _ in range(2):
        follower.now += 200.0
        follower._watch(follower.now)
    assert follower.source is not first and first.stopped


def test_frames_of_a_source_that_was_left_are_not_taken(follower):
    follower._watch(0.0)
    first = follower.source
    watch(follower, 1600)
    assert follower.source is not first
    frame_from(follower, pb.Frame(update=pb.FeedUpdate(group="g", index=3, payload=b"old")), first)
    assert follower.taken == []


def test_a_source_of_the_own_zone_is_taken_when_its_state_is_known_to_be_fresh(follower):
    follower.step(0.0)
    zones = {"10.0.0.1:7000": "b", "10.0.0.2:7000": "b", "10.0.0.3:7000": "b"}
    own = next(address for address in zones if address != follower.source.address)
    zones[own] = "a"
    told = beat(zones=tuple(zones.values()))
    watch(follower, 4000, told, all_but(follower, own, 100, 3000))
    assert follower.source.address != own, "its state is old"
    watch(follower, 4000, told, all_but(follower, own, 100, 100))
    assert follower.source.address == own
    watch(follower, 8000, told, all_but(follower, own, 100, 100))
    assert follower.source.address == own


def test_heartbeats_go_to_the_monitors_and_say_when_it_leaves(follower):
    follower._watch(0.0)
    greeted = len(beats_sent())
    follower.leave()
    told = beats_sent()
    assert sum(beat.leaving for _, beat in told) == 2 and len(told) == 2 + greeted
    assert {beat.node for _, beat in told} == {"edge-1"}


def beats_sent():
    """(address, heartbeat) of all heartbeats so far."""
    return [
        (dialer.address, frame.scheduler_heartbeat)
        for dialer in FakeDialer.made
        for frame in dialer.channel.sent
        if frame.WhichOneof("body") == "scheduler_heartbeat"
    ]


def test_a_monitor_is_told_of_a_scheduler_as_soon_as_it_can_be_reached(follower, monkeypatch):
    """What is sent before a channel is open is lost, and the next heartbeat is 0.6 s away."""
    monkeypatch.setattr(FakeDialer, "send", lambda self, frame: None)
    follower._watch(0.0)
    follower.heartbeat()
    wanted = following.monitors("edge-1", follower.choice.zones)
    assert sorted(address for address, _ in beats_sent()) == sorted(wanted)
    assert all(beat.peer_address == "10.0.0.9:7010" and not beat.leaving for _, beat in beats_sent())


# -- The age of the state that a source brings -------------------------------------------------------


def pong_to(plane, source, channel):
    return source.pong(channel, pb.Ping(sent_at_ms=7))


def test_a_source_says_that_it_has_sent_everything_only_once_it_has(plane):
    plane.put(BODY % 1, 0)
    source, pipe = source_of(plane), Pipe()
    assert not pong_to(plane, source, pipe).follows, "it does not follow yet"
    ahead = pb.Subscribe(node="edge-1", offsets=[pb.Offset(group=CONFIGURATION, index=10_000)])
    plane.subscribe(source, pipe, ahead)
    assert not pong_to(plane, source, pipe).follows, "the source is behind its follower"
    other = Pipe()
    plane.subscribe(source, other, pb.Subscribe(node="edge-2"))
    told = pong_to(plane, source, other)
    assert told.follows and told.sent_at_ms == 7
    assert told.state_age_ms < 1000 and told.configuration_age_ms <= told.state_age_ms


def test_a_source_whose_lead_is_not_confirmed_grows_old(plane):
    source, pipe = source_of(plane), Pipe()
    plane.subscribe(source, pipe, pb.Subscribe(node="edge-1"))
    replica = plane.host.groups[CONFIGURATION].replica
    replica._become_follower("")
    before = pong_to(plane, source, pipe).configuration_age_ms
    plane.now += 500.0
    assert pong_to(plane, source, pipe).configuration_age_ms == before + 500


def test_a_heartbeat_tells_the_version_in_force_and_how_old_it_may_be(follower):
    told = follower._beat()
    assert (told.configuration_version, told.configuration_age_ms) == (0, 1_000_000)
    follower.configuration_version = lambda: 12
    follower.choice.told_everything(-30.0, 10.0, 10.0)
    told = follower._beat()
    assert (told.configuration_version, told.configuration_age_ms) == (12, 40)
