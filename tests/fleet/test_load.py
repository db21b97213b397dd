"""Overload borne by the fleet: earned retries, watched workers, shedding, limits, by hand and at random."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from molespur.fleet.concurrency import MAX_LIMIT, MIN_LIMIT, GradientLimit
from molespur.fleet.retries import RetryBudget
from molespur.fleet.sharing import ReportSubscription, SharingConfig
from molespur.fleet.shedding import (
    CHANGE_MS,
    SHED_TTL_MS,
    AdmissionRate,
    Load,
    LoadJudge,
    from_bytes,
    to_bytes,
)
from molespur.fleet.watching import Watching
from molespur.standins.virtual_site import FleetSite

# -- Retries ---------------------------------------------------------------------------------------


class Budget(RuleBasedStateMachine):
    """Members earn, spend and give rights; gifts are lost, come twice or late; members start anew."""

    RATIO, FLOOR = 0.2, 3.0

    @initialize(n=st.integers(2, 6))
    def begin(self, n):
        self.n, self.now, self.ask = n, 1_000.0, 0
        self.share = SharingConfig(size=n, retry_ratio=self.RATIO, retry_floor=self.FLOOR)
        self.members = [RetryBudget(self.share, self.now) for _ in range(n)]
        self.firsts = self.retries = self.restarts = 0
        self.wire: list = []

    @rule(ms=st.integers(0, 5_000))
    def time_passes(self, ms):
        self.now += ms

    @rule(i=st.integers(0, 5), many=st.integers(1, 40))
    def first_attempts(self, i, many):
        for _ in range(many):
            self.members[i % self.n].record_first_attempt(self.now)
        self.firsts += many

    @rule(i=st.integers(0, 5), many=st.integers(1, 20))
    def retries_as_far_as_they_go(self, i, many):
        one = self.members[i % self.n]
        for _ in range(many):
            if one.available(self.now) >= 1.0:
                assert one.spend(self.now)
                self.retries += 1

    @rule(i=st.integers(0, 5), j=st.integers(0, 5), lack=st.floats(0.1, 50))
    def gives(self, i, j, lack):
        self.ask += 1
        if i % self.n != j % self.n and (gift := self.members[i % self.n].give(lack, self.now)) > 0:
            self.wire.append((j % self.n, self.ask, gift))

    @rule(pick=st.integers(0, 99), fate=st.sampled_from(["deliver", "twice", "lose"]))
    def wire_moves(self, pick, fate):
        if self.wire:
            to, ask, gift = self.wire.pop(pick % len(self.wire))
            for _ in range({"deliver": 1, "twice": 2, "lose": 0}[fate]):
                self.members[to].take(ask, gift)

    @rule(i=st.integers(0, 5))
    def starts_anew(self, i):
        self.members[i % self.n] = RetryBudget(self.share, self.now)
        self.wire = [w for w in self.wire if w[0] != i % self.n]  # its asks were its earlier life's

    @invariant()
    def never_more_than_was_earned(self):
        floors = self.FLOOR * (self.now - 1_000.0) / 1000
        assert self.retries <= self.RATIO * self.firsts + floors + 1e-6


Budget.TestCase.settings = settings(max_examples=100, stateful_step_count=50, deadline=None)
test_amplification_is_never_above_the_budget_and_the_floors = Budget.TestCase


def test_a_calm_saves_up_for_no_storm_and_one_that_lacks_is_given_to():
    share = SharingConfig(size=2, retry_ratio=0.1, retry_floor=0.0)
    rich, poor = RetryBudget(share, 0.0), RetryBudget(share, 0.0)
    for ms in range(0, 100_000, 10):  # 100 first attempts a second
        rich.record_first_attempt(float(ms))
    assert rich.available(100_000.0) <= 20.0 + 1e-6, "rights of two seconds"
    poor.record_denial()
    lack = poor.shortfall(100_000.0)
    assert lack == 1.0 and poor.shortfall(100_000.0) == 0.0
    assert poor.take(1, rich.give(lack, 100_000.0)) and poor.available(100_000.0) == 1.0
    assert not poor.take(1, 1.0), "the same gift twice"
    assert poor.spend(100_000.0) and not poor.spend(100_000.0)


# -- Watching --------------------------------------------------------------------------------------


@pytest.mark.parametrize("n", [10, 200])
def test_each_worker_is_watched_by_two_and_reports_reach_those_that_use_it(n):
    share, workers = SharingConfig(size=n, watchers=2), frozenset(f"w{k}" for k in range(40))
    members = {f"m{i}": Watching(f"m{i}", share) for i in range(n)}
    for name, one in members.items():
        one.set_members(m for m in members if m != name)
        one.set_workers(workers)
        one.take_reports()
    watchers = {w: [m for m, one in members.items() if w in one.watched] for w in workers}
    assert all(len(found) == 2 for found in watchers.values()), "flat from 10 to 200"
    for to, subscription in members["m3"].subscriptions(["w1", "w2"], 0.0):
        members[to].add_subscription(subscription, 0.0)
    for worker in ("w1", "w2", "w3"):
        watcher = members[watchers[worker][0]]
        watcher.record_report(worker, {"queue": 1.0})
        sent = {(to, r.worker) for to, reports in watcher.take_reports() for r in reports.reports}
        expected = worker != "w3" and watchers[worker][0] != "m3"
        assert sent == ({("m3", worker)} if expected else set())
    gone = watchers["w1"][0]
    for name, one in members.items():
        one.set_members(m for m in members if m not in (name, gone))
        one.take_reports()
    assert sum("w1" in one.watched for name, one in members.items() if name != gone) == 2, "chosen anew"


def test_users_are_forgotten_and_other_workers_passed_over():
    one = Watching("a", SharingConfig(size=1, watchers=2, subscribe_ms=1000.0))
    one.set_members(["b"])
    one.set_workers(frozenset({"w"}))
    one.take_reports()
    one.add_subscription(ReportSubscription("b", ["w", "elsewhere"]), 0.0)
    assert one.subscribers("w") == ["b"] and one.subscribers("elsewhere") == []
    one.subscriptions([], 2_500.0)
    assert one.subscribers("w") == []


# -- Shedding --------------------------------------------------------------------------------------


def crowd(rate, seconds, offered, priorities=(0, 1), share=(0.7, 0.3), capacity=100.0, start=0.0):
    """Play jobs a second at a site of a capacity that follows the rate's parts; (parts, let in a second)."""
    parts, let_in, now = [0.0] * len(share), 0.0, start
    while now < start + seconds * 1000:
        now += 500.0
        loads, let_in = [], 0.0
        asked = [offered * s for s in share]
        for amount, part in zip(asked, parts, strict=True):
            let_in += amount * (1 - part)
        good = min(1.0, capacity / max(let_in, 1e-9))
        for amount, part in zip(asked, parts, strict=True):
            inside = amount * (1 - part) / 2
            loads.append(Load(round(amount / 2), round(amount * part / 2), round(inside * good), 0,
                              round(inside * (1 - good))))  # fmt: skip
        rate.update(now, loads, 0.5)
        parts = rate.fractions(now, loads, 0.5, list(priorities))
    return parts, let_in


@pytest.mark.parametrize("times", [0.5, 0.9, 1.5, 2.0, 3.0, 6.0])
def test_what_is_let_in_follows_what_can_be_served_the_lowest_priority_first(times):
    rate = AdmissionRate()
    parts, let_in = crowd(rate, 30, 100.0 * times)
    if times < 1:
        assert parts == [0.0, 0.0] and rate.jobs_per_s is None
        return
    assert 85.0 <= let_in <= 130.0
    assert parts[0] > 0.3 and (parts[1] == 0.0 or parts[0] > 0.9)
    parts, _ = crowd(rate, 2, 70.0, start=30_000.0)
    assert parts == [0.0, 0.0], "a crowd that has gone is let in again within 2 s"


def test_a_pace_found_while_nothing_worked_does_not_starve_the_fleet():
    """Guards against a metastable state of our own: what is let in is all that can be seen to be served."""
    rate = AdmissionRate()
    crowd(rate, 6, 180.0, capacity=6.0)
    assert rate.jobs_per_s < 15
    _, let_in = crowd(rate, 15, 180.0, capacity=200.0, start=6_000.0)
    assert let_in > 120.0
    assert crowd(rate, 6, 180.0, capacity=200.0, start=21_000.0)[0] == [0.0, 0.0]


def test_classes_of_one_priority_are_turned_away_alike_and_no_ended_jobs_say_nothing():
    parts, _ = crowd(AdmissionRate(), 20, 300.0, priorities=(1, 1))
    assert parts[0] == parts[1] > 0.5
    rate = AdmissionRate()
    for now in range(0, 5000, 500):
        rate.update(float(now), [Load(5, 0, 0, 0, 5)], 0.5)
    assert rate.jobs_per_s is None, "too few jobs to speak of a crowd, and nothing was served"


@given(st.lists(st.floats(0, 1), max_size=64))
def test_parts_survive_a_register_rounded_up(parts):
    back = from_bytes(to_bytes(parts))
    assert all(0 <= b - a <= 1 / 250 + 1e-9 or b == 1.0 for a, b in zip(parts, back, strict=True))


def test_the_first_judge_acts_and_the_next_where_it_is_silent():
    share, members = SharingConfig(size=5, priorities=(0, 1)), [f"m{i}" for i in range(5)]
    judges = {m: LoadJudge(m, share) for m in members}
    first, second, third = judges["m0"].judges(members)
    for order, now in enumerate(range(0, 4000, 500)):
        for judge in (first, second):
            for member in members:
                took = judges[judge].record(
                    member, (1, order), float(now), 500.0, [(40, 0, 10, 0, 30), (20, 0, 10, 0, 10)]
                )
                assert took and not judges[judge].record(
                    member, (1, order), float(now), 500.0, [(0,) * 5] * 2
                )
        said = judges[first].decide(float(now), members, 0.0)
        assert judges[second].decide(float(now), members, SHED_TTL_MS / 2 - 1, tuple(said)) is None
    assert said[0] > 0.5 and judges[first].acting and not judges[second].acting
    assert judges[second].decide(4000.0, members, SHED_TTL_MS / 2) == pytest.approx(said, abs=0.2), "goes on"
    assert judges[second].decide(4500.0, members, 0.0, (0.0, 0.0)) is None
    assert judges[second].admission.jobs_per_s is None, "what it did once is not kept for the next crowd"
    assert (
        judges[next(m for m in members if m not in (first, second, third))].decide(4000.0, members, None)
        is None
    )
    assert not judges[first].record("m1", (1, 99), 0.0, 500.0, [(1,) * 5]), "other classes than ours"
    assert CHANGE_MS < SHED_TTL_MS


# -- Concurrency -----------------------------------------------------------------------------------


def test_a_limit_shrinks_where_answers_take_longer_and_grows_where_there_is_room():
    one = GradientLimit()
    for _ in range(200):
        one.sample(50.0, int(one.limit))
    grown = one.limit
    assert grown > 20.0
    for _ in range(60):
        one.sample(400.0, int(one.limit))
    assert one.limit < 0.75 * grown
    for _ in range(300):
        one.sample(50.0, 1)
    assert one.limit < 0.75 * grown, "not put to the test: nothing says that more would do"


@given(st.lists(st.tuples(st.floats(-10, 1e6), st.integers(0, 2000)), max_size=200))
def test_a_limit_stays_within_its_bounds(samples):
    one = GradientLimit()
    for took, at_once in samples:
        one.sample(took, at_once)
        assert MIN_LIMIT <= one.limit <= MAX_LIMIT


# -- The module's instances with all of it, in virtual time ----------------------------------------


def test_a_crowd_is_borne_by_the_fleet_and_gone_soon_after():
    site = FleetSite(
        6, 6, SharingConfig(size=6, retry_ratio=0.1, watchers=2, priorities=(0, 1)), may_probe=True
    )
    site.play(0.7 * site.capacity, 6000.0)
    site.play(3.0 * site.capacity, 8000.0)
    probes, counts = site.counts["probes"], dict(site.counts)
    done = site.play(3.0 * site.capacity, 10_000.0)
    higher = [one for one in done if one.job.job_class == "assessment"]
    assert sum(one.good for one in done) / 10 > 0.8 * site.capacity
    assert sum(one.good for one in higher) > 0.7 * len(higher)
    firsts, retries = (site.counts[k] - counts.get(k, 0) for k in ("first attempts", "retries"))
    assert retries <= 0.1 * firsts + 0.2 * firsts * 2 / 10 + 30
    assert (site.counts["probes"] - probes) / 10 / 6 < 2 * 1000 / 250, "two probe each worker, not six"
    site.play(0.7 * site.capacity, 4000.0)
    after = site.play(0.7 * site.capacity, 6000.0)
    assert sum(one.good for one in after) > 0.95 * len(after)


def test_half_the_workers_lost_bring_no_storm_of_retries():
    share = SharingConfig(size=6, retry_ratio=0.1, retry_floor=2.0, watchers=2, priorities=(0, 1))
    site = FleetSite(6, 8, share, may_probe=True, seed=3)
    site.play(0.6 * site.capacity, 8000.0)
    counts = dict(site.counts)
    for name in ("w0", "w1", "w2", "w3"):
        site.lose(name)
    site.play(0.6 * 160.0, 10_000.0)
    firsts, retries = (site.counts[k] - counts.get(k, 0) for k in ("first attempts", "retries"))
    assert 0 < retries <= 0.1 * firsts + 2.0 * 10 + 0.1 * 2 * 0.6 * 160 + 6
