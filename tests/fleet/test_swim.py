"""The fleet view's pure parts: one member, many in virtual time under random faults, and the wire format."""

import copy
import random

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from molespur.fleet import swim, wire
from molespur.fleet.model import VERSION, Ack, Gossip, MemberUpdate, Packet, Ping, State, Tuning
from molespur.standins.virtual_fleet import VirtualFleet

ME, OTHER = ("10.0.0.1", 7946), ("10.0.0.2", 7946)


def machine(tuning=None, start=1000):
    m = swim.Membership("a", ME, tuning or Tuning(), random.Random(1), "c")
    m.handle(0.0, swim.Start(start))
    return m


def receive(m, now, *updates, kind=Gossip):
    return m.handle(now, swim.Received(kind("x", list(updates))))


def sent(actions):
    """The messages of the datagrams among the actions."""
    return [wire.decode(a.data, "c", 1400)[0] for a in actions if isinstance(a, swim.Send)]


def update(member="b", incarnation=5, state=State.ALIVE, by="x", address=OTHER):
    return MemberUpdate(member, *address, incarnation, state, by)


# -- One machine: (the updates received, what must follow) ----------------------------------------

CASES = {
    "a suspicion of our own incarnation is refuted with a higher one": (
        [update("a", 1000, State.SUSPECT, address=ME)],
        lambda m, out: m.incarnation == 1001 and any(isinstance(a, swim.Refuted) for a in out),
    ),
    "being declared dead is refuted too": (
        [update("a", 1000, State.DEAD, address=ME)],
        lambda m, out: m.incarnation == 1001 and m.counts["refutations"] == 1,
    ),
    "an update about a past instance of ours is ignored": (
        [update("a", 10, State.DEAD, address=ME)],
        lambda m, out: m.incarnation == 1000 and not out,
    ),
    "an update with a lower incarnation does not revive a dead member": (
        [update(incarnation=5), update(incarnation=5, state=State.DEAD), update(incarnation=4)],
        lambda m, out: m.members["b"].state is State.DEAD,
    ),
    "a restart with a higher incarnation revives it": (
        [update(incarnation=5), update(incarnation=5, state=State.DEAD), update(incarnation=9)],
        lambda m, out: m.members["b"].state is State.ALIVE and m.members["b"].incarnation == 9,
    ),
    "alive at the same incarnation does not lift a suspicion": (
        [update(), update(state=State.SUSPECT), update()],
        lambda m, out: m.members["b"].state is State.SUSPECT,
    ),
    "a member that left is not counted as failed": (
        [update(), update(state=State.LEFT)],
        lambda m, out: m.members["b"].state is State.LEFT and m.counts["declared_dead"] == 0,
    ),
    "a left member is not made failed afterwards": (
        [update(), update(state=State.LEFT), update(state=State.DEAD)],
        lambda m, out: m.members["b"].state is State.LEFT,
    ),
    "a second process under a live id is a conflict, and the first stays": (
        [update(), update(incarnation=6, address=("10.0.0.9", 7946))],
        lambda m, out: m.members["b"].address == OTHER and any(isinstance(a, swim.Conflict) for a in out),
    ),
    "another process claiming our own id is a conflict, and we refute": (
        [update("a", 1000, address=("10.0.0.9", 7946))],
        lambda m, out: m.incarnation == 1001 and m.counts["conflicts"] == 1,
    ),
    "a dead member's new instance at a new address is accepted": (
        [update(), update(state=State.DEAD), update(incarnation=7, address=("10.0.0.9", 7946))],
        lambda m, out: m.members["b"].address == ("10.0.0.9", 7946),
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_updates(case):
    steps, holds = CASES[case]
    m, out = machine(), []
    for step in steps:
        out = receive(m, 10.0, step)
    assert holds(m, out)


def test_a_ping_to_a_suspect_carries_the_suspicion():
    """Lifeguard's buddy system: the suspect learns of the suspicion from its prober, and can refute."""
    m = machine(Tuning(period_ms=100, probe_timeout_ms=50))
    receive(m, 1.0, update(), update(state=State.SUSPECT))
    pings = [
        p for t in range(0, 400, 10) for p in sent(m.handle(float(t), swim.Tick())) if isinstance(p, Ping)
    ]
    assert pings and pings[0].updates[0].member == "b" and pings[0].updates[0].state is State.SUSPECT


def test_a_stalled_member_reads_pending_acks_before_its_timeouts_expire():
    """Lifeguard's local health: a gap between calls postpones the timeouts and stretches the next ones."""
    m = machine(Tuning(period_ms=100, probe_timeout_ms=50, stall_threshold_ms=80))
    receive(m, 1.0, update())
    for t in range(0, 200, 10):
        out = sent(m.handle(float(t), swim.Tick()))
        if any(isinstance(p, Ping) for p in out):
            ping = next(p for p in out if isinstance(p, Ping))
            break
    m.handle(t + 5000.0, swim.Received(Ack(ping.seq, "b")))  # the ack arrived while we were stopped
    m.handle(t + 5001.0, swim.Tick())
    assert m.members["b"].state is State.ALIVE and m.counts["probes_failed"] == 0 and m.counts["held"] == 1


def test_a_member_that_never_replies_is_suspected_then_dead():
    m = machine(Tuning(period_ms=100, probe_timeout_ms=50))
    receive(m, 1.0, update(), update("c", address=("10.0.0.3", 7946)))
    states = []
    for t in range(0, 30_000, 10):
        for action in m.handle(float(t), swim.Tick()):
            if isinstance(action, swim.Changed) and action.member == "b":
                states.append(action.state)
    assert states[:2] == [State.SUSPECT, State.DEAD]


def test_the_table_is_bounded():
    m = machine(Tuning(most_members=50))
    for i in range(400):
        receive(m, float(i), update(f"n{i}", 1, address=("10.1.0.1", i + 1)))
    assert len(m.members) == 50 and m.counts["table_full"] == 350


def test_tombstones_age_out():
    m = machine(Tuning(tombstone_ms=1000))
    receive(m, 1.0, update(), update(state=State.DEAD))
    for t in range(0, 3000, 50):
        m.handle(float(t), swim.Tick())
    assert "b" not in m.members and m.counts["tombstones_dropped"] == 1


def test_an_update_is_sent_a_bounded_number_of_times():
    m = machine()
    receive(m, 1.0, update())
    count = sum(len(m._take_updates()) for _ in range(50))
    assert count == Tuning().retransmits(2)


# -- The wire ----------------------------------------------------------------------------------


@given(st.binary(max_size=3000))
@settings(max_examples=500)
def test_decoding_never_raises(data):
    message, why = wire.decode(data, "c", 1400)
    assert (message is None) == (why in wire.REASONS)
    assert wire.decode_exchange(data, "c")[1] in ("", *wire.REASONS)


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (wire.encode("c", Ping(1, "a", "h", 1, "b")) * 100, "oversized"),
        (wire.encode("c", Ping(1, "a", "h", 1, "b"))[:-3], "malformed"),
        (msgspec.msgpack.encode(Packet(VERSION + 1, "c", msgspec.Raw(b"\x91\x01"))), "version"),
        (msgspec.msgpack.encode([VERSION + 1, "c", [9, "whatever", {}]]), "version"),
        (wire.encode("other", Ping(1, "a", "h", 1, "b")), "cluster"),
        (wire.encode("c", Ping(1, "a" * 65, "h", 1, "b")), "malformed"),
    ],
)
def test_dropped_datagrams_have_a_reason(data, why):
    assert wire.decode(data, "c", 1400) == (None, why)


def test_datagrams_stay_within_their_bytes():
    m = machine()
    for i in range(300):
        receive(m, 1.0, update(f"member-with-a-long-name-{i:04}", 10**12, address=("10.200.200.200", 60000)))
    out = [a for t in range(0, 2000, 10) for a in m.handle(float(t), swim.Tick())]
    data = [a.data for a in out if isinstance(a, swim.Send)]
    assert len(data) > 10 and max(map(len, data)) <= 1400 and min(map(len, data)) > 1000


# -- Many machines in virtual time, under random faults ------------------------------------------


class Fleet(RuleBasedStateMachine):
    """Five members; any of them killed, paused, restarted with its id, or cut off; datagrams lost."""

    @initialize(seed=st.integers(0, 10_000))
    def begin(self, seed):
        tuning = Tuning(
            period_ms=200, probe_timeout_ms=80, gossip_ms=50, push_pull_ms=2000, tombstone_ms=5000
        )
        self.fleet = VirtualFleet(5, tuning, seed=seed)
        self.highest: dict = {}
        self.fleet.on_change = self.check_change
        for i in range(5):
            self.fleet.start(i, seeds=(0, 1))
        self.fleet.run(3000)

    def check_change(self, now, observer, change):
        member = self.fleet.members[observer]
        key = (observer, self.fleet._lives[observer], change.member)
        assert change.incarnation >= self.highest.get(key, -1), "an incarnation decreased in a view"
        self.highest[key] = change.incarnation
        assert len(member.members) <= member.tuning.most_members

    @rule(ms=st.integers(50, 4000))
    def time_passes(self, ms):
        self.fleet.run(self.fleet.now + ms)

    @rule(i=st.integers(0, 4))
    def kill(self, i):
        self.fleet.kill(i)

    @rule(i=st.integers(0, 4))
    def restart(self, i):
        own = self.fleet.members[i].incarnation if self.fleet.members[i] else -1
        self.fleet.kill(i)
        self.fleet.run(
            self.fleet.now + 5
        )  # a restart takes some time; the new incarnation starts at the clock's
        self.fleet.start(i, seeds=tuple(j for j in range(5) if j != i))
        assert self.fleet.members[i].incarnation > own

    @rule(i=st.integers(0, 4))
    def pause(self, i):
        self.fleet.pause(i)

    @rule(i=st.integers(0, 4))
    def resume(self, i):
        self.fleet.resume(i)

    @rule(cut=st.sets(st.integers(0, 4), min_size=1, max_size=3))
    def partition(self, cut):
        self.fleet.partition(cut, set(range(5)) - cut)

    @rule(a=st.integers(0, 4), b=st.integers(0, 4))
    def cut_one_way(self, a, b):
        if a != b:
            self.fleet.line.cuts.add((a, b))

    @rule(loss=st.sampled_from([0.0, 0.05, 0.2]))
    def set_loss(self, loss):
        self.fleet.line.loss = loss

    @rule()
    def heal(self):
        self.fleet.heal()

    @invariant()
    def own_refutation_wins(self):
        for member in self.fleet.members:
            if member is not None and member.started:
                member = copy.deepcopy(member)  # on a copy: the member itself is not changed
                update = MemberUpdate(
                    member.own_id, *member.address, member.incarnation, State.SUSPECT, "someone"
                )
                before = member.incarnation
                member._apply_suspect(self.fleet.now, update)
                assert (
                    member.incarnation > before and member._queue[member.own_id].update.state is State.ALIVE
                )

    def teardown(self):
        """Once all faults are healed and all members run, the views agree again, without a restart."""
        fleet = getattr(self, "fleet", None)
        if fleet is None:
            return
        fleet.heal()
        fleet.line.loss = 0.0
        for i in range(5):
            fleet.resume(i)
            if not fleet.up[i]:
                fleet.start(i, seeds=tuple(j for j in range(5) if j != i))
        for _ in range(60):
            fleet.run(fleet.now + 1000)
            if fleet.agreed():
                return
        raise AssertionError(f"views did not agree: {fleet.views()}")


def test_halves_of_a_long_partition_find_each_other_by_their_seeds():
    """A partition that outlasts the tombstones: neither half has a member of the other in its view."""
    tuning = Tuning(period_ms=200, probe_timeout_ms=80, gossip_ms=50, push_pull_ms=2000, tombstone_ms=5000)
    fleet = VirtualFleet(5, tuning, seed=7)
    for i in range(5):
        fleet.start(i, seeds=(0, 1))
    fleet.run(3000)
    assert fleet.agreed()
    fleet.partition({0, 1, 3}, {2, 4})
    fleet.run(fleet.now + 30_000)
    assert {len(view) for view in fleet.views().values()} == {2, 3}  # the others' tombstones have expired
    fleet.heal()
    fleet.run(fleet.now + 20_000)
    assert fleet.agreed(), fleet.views()


Fleet.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
test_fleet_under_faults = Fleet.TestCase
