"""Overload of the fleet: retry budget, watched workers, shedding and limits; unit and property tests."""

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
    """Members earn, spend and transfer rights; transfers are lost, duplicated or late; members restart."""

    RATIO, FLOOR = 0.2, 3.0

    @initialize(n=st.integers(2, 6))
    def begin(self, n):
        self.n, self.now, self.request = n, 1_000.0, 0
        self.config = SharingConfig(size=n, retry_ratio=self.RATIO, retry_floor=self.FLOOR)
        self.members = [RetryBudget(self.config, self.now) for _ in range(n)]
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
    def retries_while_rights_last(self, i, many):
        one = self.members[i % self.n]
        for _ in range(many):
            if one.available(self.now) >= 1.0:
                assert one.spend(self.now)
                self.retries += 1

    @rule(i=st.integers(0, 5), j=st.integers(0, 5), lack=st.floats(0.1, 50))
    def transfers(self, i, j, lack):
        self.request += 1
        if i % self.n != j % self.n and (amount := self.members[i % self.n].give(lack, self.now)) > 0:
            self.wire.append((j % self.n, self.request, amount))

    @rule(pick=st.integers(0, 99), fault=st.sampled_from(["deliver", "twice", "lose"]))
    def a_transfer_arrives(self, pick, fault):
        if self.wire:
            to, request, amount = self.wire.pop(pick % len(self.wire))
            for _ in range({"deliver": 1, "twice": 2, "lose": 0}[fault]):
                self.members[to].take(request, amount)

    @rule(i=st.integers(0, 5))
    def restart_member(self, i):
        self.members[i % self.n] = RetryBudget(self.config, self.now)
        self.wire = [w for w in self.wire if w[0] != i % self.n]  # its requests were its earlier instance's

    @invariant()
    def never_more_than_was_earned(self):
        floors = self.FLOOR * (self.now - 1_000.0) / 1000
        assert self.retries <= self.RATIO * self.firsts + floors + 1e-6


Budget.TestCase.settings = settings(max_examples=100, stateful_step_count=50, deadline=None)
test_amplification_is_never_above_the_budget_and_the_floors = Budget.TestCase


def test_rights_are_not_saved_up_and_are_transferred_to_a_member_that_lacks():
    config = SharingConfig(size=2, retry_ratio=0.1, retry_floor=0.0)
    rich, poor = RetryBudget(config, 0.0), RetryBudget(config, 0.0)
    for ms in range(0, 100_000, 10):  # 100 first attempts a second
        rich.record_first_attempt(float(ms))
    assert rich.available(100_000.0) <= 20.0 + 1e-6, "rights of two seconds"
    poor.record_denial()
    lack = poor.shortfall(100_000.0)
    assert lack == 1.0 and poor.shortfall(100_000.0) == 0.0
    assert poor.take(1, rich.give(lack, 100_000.0)) and poor.available(100_000.0) == 1.0
    assert not poor.take(1, 1.0), "the same transfer twice"
    assert poor.spend(100_000.0) and not poor.spend(100_000.0)


# -- Watching --------------------------------------------------------------------------------------


@pytest.mark.parametrize("n", [10, 200])
def test_each_worker_is_watched_by_two_and_reports_reach_its_users(n):
    config, workers = SharingConfig(size=n, watchers=2), frozenset(f"w{k}" for k in range(40))
    members = {f"m{i}": Watching(f"m{i}", config) for i in range(n)}
    for name, one in members.items():
        one.set_members(m for m in members if m != name)
        one.set_workers(workers)
        one.take_reports()
    watchers = {w: [m for m, one in members.items() if w in one.watched] for w in workers}
    assert all(len(found) == 2 for found in watchers.values()), "two at any size of the fleet"
    for to, subscription in members["m3"].subscriptions(["w1", "w2"], 0.0):
        members[to].add_subscription(subscription, 0.0)
    for worker in ("w1", "w2", "w3"):
        watcher = members[watchers[worker][0]]
        watcher.record_report(worker, {"queue": 1.0})
        sent = {(to, r.worker) for to, reports in watcher.take_reports() for r in reports.reports}
        expected = worker != "w3" and watchers[worker][0] != "m3"
        assert sent == ({("m3", worker)} if expected else set())
    left = watchers["w1"][0]
    for name, one in members.items():
        one.set_members(m for m in members if m not in (name, left))
        one.take_reports()
    assert sum("w1" in one.watched for name, one in members.items() if name != left) == 2, (
        "a new watcher is chosen"
    )


def test_subscriptions_expire_and_unwatched_workers_are_ignored():
    one = Watching("a", SharingConfig(size=1, watchers=2, subscribe_ms=1000.0))
    one.set_members(["b"])
    one.set_workers(frozenset({"w"}))
    one.take_reports()
    one.add_subscription(ReportSubscription("b", ["w", "elsewhere"]), 0.0)
    assert one.subscribers("w") == ["b"] and one.subscribers("elsewhere") == []
    one.subscriptions([], 2_500.0)
    assert one.subscribers("w") == []


# -- Shedding --------------------------------------------------------------------------------------


def simulate(rate, seconds, offered, priorities=(0, 1), share=(0.7, 0.3), capacity=100.0, start=0.0):
    """Offer jobs to a site of this capacity; (fractions shed, jobs admitted a second) at the end."""
    fractions, admitted, now = [0.0] * len(share), 0.0, start
    while now < start + seconds * 1000:
        now += 500.0
        loads, admitted = [], 0.0
        offered_by_class = [offered * s for s in share]
        for amount, fraction in zip(offered_by_class, fractions, strict=True):
            admitted += amount * (1 - fraction)
        good = min(1.0, capacity / max(admitted, 1e-9))
        for amount, fraction in zip(offered_by_class, fractions, strict=True):
            inside = amount * (1 - fraction) / 2
            loads.append(Load(round(amount / 2), round(amount * fraction / 2), round(inside * good), 0,
                              round(inside * (1 - good))))  # fmt: skip
        rate.update(now, loads, 0.5)
        fractions = rate.fractions(now, loads, 0.5, list(priorities))
    return fractions, admitted


@pytest.mark.parametrize("times", [0.5, 0.9, 1.5, 2.0, 3.0, 6.0])
def test_admission_follows_the_capacity_and_sheds_the_lowest_priority_first(times):
    rate = AdmissionRate()
    fractions, admitted = simulate(rate, 30, 100.0 * times)
    if times < 1:
        assert fractions == [0.0, 0.0] and rate.jobs_per_s is None
        return
    assert 85.0 <= admitted <= 130.0
    assert fractions[0] > 0.3 and (fractions[1] == 0.0 or fractions[0] > 0.9)
    fractions, _ = simulate(rate, 2, 70.0, start=30_000.0)
    assert fractions == [0.0, 0.0], "shedding ends within 2 s after the surge"


def test_a_rate_found_during_an_outage_does_not_starve_the_fleet():
    """Guards against a metastable state: what is served is measured on admitted jobs alone, so a low rate
    limits its own measurement."""
    rate = AdmissionRate()
    simulate(rate, 6, 180.0, capacity=6.0)
    assert rate.jobs_per_s < 15
    _, admitted = simulate(rate, 15, 180.0, capacity=200.0, start=6_000.0)
    assert admitted > 120.0
    assert simulate(rate, 6, 180.0, capacity=200.0, start=21_000.0)[0] == [0.0, 0.0]


def test_classes_of_one_priority_are_shed_alike_and_few_ended_jobs_are_no_evidence():
    fractions, _ = simulate(AdmissionRate(), 20, 300.0, priorities=(1, 1))
    assert fractions[0] == fractions[1] > 0.5
    rate = AdmissionRate()
    for now in range(0, 5000, 500):
        rate.update(float(now), [Load(5, 0, 0, 0, 5)], 0.5)
    assert rate.jobs_per_s is None, "too few ended jobs to show overload, and nothing was served"


@given(st.lists(st.floats(0, 1), max_size=64))
def test_fractions_are_rounded_up_in_a_register(fractions):
    decoded = from_bytes(to_bytes(fractions))
    assert all(0 <= b - a <= 1 / 250 + 1e-9 or b == 1.0 for a, b in zip(fractions, decoded, strict=True))


def test_the_first_judge_acts_and_the_next_where_the_first_is_silent():
    config, members = SharingConfig(size=5, priorities=(0, 1)), [f"m{i}" for i in range(5)]
    judges = {m: LoadJudge(m, config) for m in members}
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
        decided = judges[first].decide(float(now), members, 0.0)
        assert judges[second].decide(float(now), members, SHED_TTL_MS / 2 - 1, tuple(decided)) is None
    assert decided[0] > 0.5 and judges[first].acting and not judges[second].acting
    assert judges[second].decide(4000.0, members, SHED_TTL_MS / 2) == pytest.approx(decided, abs=0.2), (
        "continues from the last decision"
    )
    assert judges[second].decide(4500.0, members, 0.0, (0.0, 0.0)) is None
    assert judges[second].admission.jobs_per_s is None, "the rate of a past surge is not kept for the next"
    assert (
        judges[next(m for m in members if m not in (first, second, third))].decide(4000.0, members, None)
        is None
    )
    assert not judges[first].record("m1", (1, 99), 0.0, 500.0, [(1,) * 5]), (
        "a report with other classes than ours"
    )
    assert CHANGE_MS < SHED_TTL_MS


# -- Concurrency -----------------------------------------------------------------------------------


def test_the_limit_shrinks_as_responses_slow_down_and_grows_while_they_do_not():
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
    assert one.limit < 0.75 * grown, "the limit was not reached: nothing shows that more would be sustained"


@given(st.lists(st.tuples(st.floats(-10, 1e6), st.integers(0, 2000)), max_size=200))
def test_the_limit_stays_within_its_bounds(samples):
    one = GradientLimit()
    for took, at_once in samples:
        one.sample(took, at_once)
        assert MIN_LIMIT <= one.limit <= MAX_LIMIT


# -- Dispatchers with all of it, in virtual time ---------------------------------------------------


def test_the_fleet_withstands_a_surge_and_recovers_soon_after():
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
    assert (site.counts["probes"] - probes) / 10 / 6 < 2 * 1000 / 250, (
        "two members probe each worker, not six"
    )
    site.play(0.7 * site.capacity, 4000.0)
    after = site.play(0.7 * site.capacity, 6000.0)
    assert sum(one.good for one in after) > 0.95 * len(after)


def test_losing_half_the_workers_causes_no_retry_storm():
    config = SharingConfig(size=6, retry_ratio=0.1, retry_floor=2.0, watchers=2, priorities=(0, 1))
    site = FleetSite(6, 8, config, may_probe=True, seed=3)
    site.play(0.6 * site.capacity, 8000.0)
    counts = dict(site.counts)
    for name in ("w0", "w1", "w2", "w3"):
        site.lose(name)
    site.play(0.6 * 160.0, 10_000.0)
    firsts, retries = (site.counts[k] - counts.get(k, 0) for k in ("first attempts", "retries"))
    assert 0 < retries <= 0.1 * firsts + 2.0 * 10 + 0.1 * 2 * 0.6 * 160 + 6
