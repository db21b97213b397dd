"""Shared state: merge laws, clock order, unit tests of tickets, loans and evidence; budgets under faults."""

import random

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from molespur.fleet import shared, wire
from molespur.fleet.crdt import CounterRow, FleetCounters, HybridClock, LWWMap, Register, Stamp
from molespur.fleet.evidence import Evidence, RequestWindow
from molespur.fleet.judgements import BAD, Judgements
from molespur.fleet.rendezvous import Assignment, pick
from molespur.fleet.sharing import (
    BudgetKind,
    Loan,
    LoanReply,
    LoanRequest,
    RequestCounts,
    SharingConfig,
    Shortfall,
    TicketReply,
    TicketRequest,
)
from molespur.fleet.tickets import Holder, Witness, from_bitmap, to_bitmap
from molespur.standins.virtual_state import VirtualState

MEMBERS = st.sampled_from(["a", "b", "c", "d"])
pairs = st.tuples(st.integers(0, 50), st.integers(0, 50))
rows = st.builds(CounterRow, st.just("a"), st.integers(1, 3), st.dictionaries(st.sampled_from("xyz"), pairs))
stamps = st.builds(Stamp, st.integers(0, 20), st.integers(0, 3), MEMBERS)
registers = st.builds(Register, stamps, st.one_of(st.none(), st.binary(max_size=2)))
lww_maps = st.builds(LWWMap, st.dictionaries(st.sampled_from("pqrstu"), registers), st.just(4))
COLD = {"cold": BudgetKind(100.0, 1000.0)}


@given(st.one_of(st.tuples(rows, rows, rows), st.tuples(lww_maps, lww_maps, lww_maps)))
def test_merges_are_commutative_associative_and_idempotent(three):
    x, y, z = three
    assert x.merge(y) == y.merge(x)
    assert x.merge(y).merge(z) == x.merge(y.merge(z))
    assert x.merge(y).merge(y) == x.merge(y)
    assert x.merge(x) == x.merge(x).merge(x)
    assert not isinstance(x, LWWMap) or len(x.merge(y).merge(z).registers) <= 4


@given(st.lists(st.tuples(st.booleans(), st.integers(-50, 50), st.integers(0, 3)), max_size=40))
def test_clock_is_monotonic_and_refuses_stamps_far_ahead(steps):
    clock, physical, last = HybridClock("a", max_ahead_ms=10), 1000, Stamp(0, 0, "")
    for ours, jump, lag in steps:
        physical = max(0, physical + jump)
        if ours:
            assert clock.now(physical) > last
        else:
            sent = Stamp(max(0, physical + jump * 2), lag, "b")
            taken = clock.receive(sent, physical)
            assert (taken is None) == (sent.wall > physical + 10)
            assert clock.last >= last and (taken is None or clock.last > sent)
        last = clock.last


def test_counters_continue_after_a_restart_and_are_not_counted_twice():
    peer, first = FleetCounters("p", 1), FleetCounters("a", 100)
    first.add("sent", 7)
    first.add("open", 3)
    first.add("open", -2)
    peer.merge(first.rows["a"], 0.0)
    again = FleetCounters("a", 50)  # its clock went back between its instances
    again.add("sent", 2)
    for _ in range(3):
        again.merge(peer.rows["a"], 10.0)
        peer.merge(again.rows["a"], 10.0)
    assert (again.total("sent"), peer.total("sent"), peer.total("open")) == (9, 9, 1)
    late = FleetCounters("a", 300)
    assert not late.merge(peer.rows["a"], 100_000.0), (
        "so late after the start it is another process with our id"
    )


@given(st.sets(st.integers(0, 40)), st.lists(st.sets(MEMBERS), max_size=6))
def test_assignment_depends_only_on_the_current_members(numbers, views):
    assert from_bitmap(to_bitmap(numbers)) == numbers
    assignment = Assignment("t/", 32)
    for view in views:
        assignment.set_members(view)
        fresh = Assignment("t/", 32)
        fresh.set_members(view)
        assert assignment.owners == fresh.owners
        assert assignment.owners == [(pick(f"t/{i}", view, 1) or [""])[0] for i in range(32)]


# -- Tickets ---------------------------------------------------------------------------------------

CONFIG = SharingConfig(witnesses=("x", "y", "z"), size=4, tickets=8, kinds=COLD)


def ticket_request(member, instance, seq, *tickets):
    return TicketRequest(seq, member, instance, CONFIG.fingerprint, to_bitmap(tickets))


def test_witness_lends_a_ticket_to_one_instance_until_lease_and_grace_are_over():
    witness = Witness("x", 8, CONFIG.hold_ms, 0.0)

    def lends(now, *request):
        return from_bitmap(witness.handle_request(ticket_request(*request), now).tickets)

    assert lends(1.0, "a", 1, 1, 0, 1) == set(), "just started: its earlier instance may have lent them"
    after = CONFIG.hold_ms
    assert lends(after, "a", 1, 2, 0, 1, 99) == {0, 1}
    assert lends(after + 1, "b", 1, 1, 1, 2) == {2}
    assert lends(after + 1000, "a", 1, 3, 0) == {0}
    assert witness.handle_request(ticket_request("a", 1, 3, 0, 1), after + 1001) is None, (
        "a duplicate or late request gets no reply"
    )
    assert lends(2 * after - 1, "a", 2, 1, 0, 1) == set(), (
        "the next instance waits for the first one's tickets"
    )
    assert lends(2 * after, "b", 1, 2, 1, 2) == {1, 2}
    assert CONFIG.hold_ms == CONFIG.lease_ms + CONFIG.margin_ms + 1000.0


def test_holder_owns_by_majority_from_its_request_and_ignores_late_grants():
    config, holder = CONFIG, Holder("a", 1, CONFIG)
    witnesses = [Witness(w, 8, config.hold_ms, -1e6) for w in config.witnesses]
    request = holder.next_request({3, 4}, 100.0)
    replies = [witness.handle_request(request, 150.0) for witness in witnesses]
    holder.handle_reply(replies[0])
    assert holder.owned(160.0) == []
    holder.handle_reply(replies[1])
    assert holder.owned(160.0) == [100.0 + config.lease_ms] * 2
    assert holder.owned(100.0 + config.lease_ms) == []
    holder.next_request({4}, 200.0)
    assert len(holder.owned(201.0)) == 1, "a ticket assigned to another member is released"
    again = Holder("a", 2, config)
    first = again.next_request({3}, 10_000.0)
    replies = [TicketReply(first.seq, w, 2, first.tickets) for w in config.witnesses]
    again.next_request(set(), 10_100.0)
    again.next_request({3}, 10_200.0)
    for reply in replies:
        assert again.handle_reply(reply)
    assert again.owned(10_300.0) == [], "a grant from before the release does not count"
    for seq, witness, instance in ((9, "x", 2), (3, "q", 2), (3, "x", 1)):
        assert not again.handle_reply(TicketReply(seq, witness, instance, first.tickets))


# -- Loans -----------------------------------------------------------------------------------------


def make_escrow(me="a", tickets=4, used=0.0, config=CONFIG):
    from molespur.fleet.escrow import Escrow

    return Escrow(me, 1, config, lambda now: [1e9] * tickets, lambda name, now: used, random.Random(1), -1e6)


def loan_request(lack, seq=1, src="b", instance=1):
    return LoanRequest(seq, src, instance, CONFIG.fingerprint, [Shortfall("cold/w", lack)])


UNIT = CONFIG.ticket_amount(100.0)


@pytest.mark.parametrize(
    ("lender", "requests", "amounts"),
    [
        ("idle", [loan_request(5.0)], [5.0]),
        ("idle", [loan_request(500.0)], [4 * UNIT]),
        ("idle", [loan_request(500.0), loan_request(500.0)], [4 * UNIT, None]),  # the same request twice
        ("idle", [loan_request(500.0, 2), loan_request(500.0, 1)], [4 * UNIT, None]),  # late
        ("idle", [loan_request(500.0), loan_request(500.0, src="c")], [4 * UNIT, None]),  # it has lent all
        # keeps what it spends
        ("busy", [loan_request(500.0)], [4 * UNIT - (1.25 * 20 - CONFIG.floor_amount(100.0))]),
        ("idle", [LoanRequest(1, "b", 1, CONFIG.fingerprint, [Shortfall("nothing/w", 1.0)])], [None]),
    ],
)
def test_amounts_lent(lender, requests, amounts):
    lender_escrow = make_escrow(used=20.0 if lender == "busy" else 0.0)
    replies = [lender_escrow.handle_request(request, 10.0) for request in requests]
    assert [reply and round(reply.loans[0].amount, 6) for reply in replies] == [
        a and round(a, 6) for a in amounts
    ]


def test_lender_counts_a_loan_longer_than_the_borrower():
    lender, borrower = make_escrow(), make_escrow("b", tickets=0)
    before = lender.available("cold/w", 0.0)
    borrower.record_denial("cold/w", 0.0)
    ((whom, request),) = borrower.renew(0.0, ["a"])
    assert whom == "a"
    reply = lender.handle_request(request, 40.0)  # 40 ms later
    assert borrower.handle_reply(reply, 80.0)
    amount = reply.loans[0].amount
    floor = CONFIG.floor_amount(100.0)
    assert borrower.available("cold/w", CONFIG.loan_ms - 1) == floor + amount
    assert borrower.available("cold/w", CONFIG.loan_ms) == floor, "from its request, by its own clock"
    back = 40.0 + CONFIG.loan_ms + CONFIG.margin_ms + 1000.0
    assert lender.available("cold/w", back - 1) == before - amount
    assert lender.available("cold/w", back) == before
    for bad in (
        LoanReply(request.seq, "c", 1, reply.loans),  # not the member that we asked
        LoanReply(request.seq, "a", 2, reply.loans),  # the request of another instance of ours
        LoanReply(99, "a", 1, reply.loans),
    ):
        assert not borrower.handle_reply(bad, 90.0)
    assert borrower.handle_reply(LoanReply(request.seq, "a", 1, [Loan("cold/w", 1e6, 9e9)]), 90.0)
    assert borrower.counts["loans_absurd"] == 1 and borrower.counts["loans_not_asked_for"] == 3


def test_of_two_loans_of_a_lender_the_one_requested_last_counts():
    borrower = make_escrow("b", tickets=0)
    requests = []
    for now in (0.0, 1000.0):
        borrower.record_denial("cold/w", now)
        requests += borrower.renew(now, ["a"])
    replies = [LoanReply(request.seq, "a", 1, [Loan("cold/w", amount, CONFIG.loan_ms)])
             for (_, request), amount in zip(requests, (9.0, 4.0), strict=True)]  # fmt: skip
    for reply in (*replies, replies[0]):
        borrower.handle_reply(reply, 1100.0)
    assert borrower.available("cold/w", 1200.0) == CONFIG.floor_amount(100.0) + 4.0


# -- Budgets in a fleet, faults between its members --------------------------------------------------


def fleet(n, busy=(), want=150.0, config=None, seed=1, run=12_000):
    config = config or SharingConfig(witnesses=("m0", "m1", "m2"), size=n, kinds=COLD)
    sim = VirtualState(n, config, seed=seed)
    sim.demand = lambda i, now: {"cold/w": want if not busy or i in busy else 0.0}
    for i in range(n):
        sim.start(i, (0, 1))
    sim.run(run)
    return sim


def rate(sim, ms=4000):
    before = sim.passed["cold/w"]
    sim.run(sim.now + ms)
    return (sim.passed["cold/w"] - before) * 1000 / ms


def test_the_bound_is_used_fully_and_never_exceeded():
    even, one = fleet(9), fleet(9, {4})
    assert 97.0 < rate(even) <= 100.0 + 1e-6 and 90.0 < rate(one) < 100.1
    assert max(even.peak["cold/w"], one.peak["cold/w"]) <= 100.0 + 1e-6


def test_a_partitioned_minority_falls_to_its_floors_and_the_majority_takes_over():
    sim = fleet(9)
    sim.partition({0, 1, 2, 3, 4}, {5, 6, 7, 8})
    sim.run(sim.now + 30_000)
    floor = sim.share.floor_amount(100.0)
    assert all(sim.shared[i].available("cold/w", sim.clock(i)) == floor for i in range(5, 9))
    assert 95.0 < rate(sim) < 100.1
    sim.heal()
    sim.run(sim.now + 30_000)
    assert rate(sim) > 99.0 and sim.peak["cold/w"] <= 100.0 + 1e-6
    assert all(sim.shared[i].available("cold/w", sim.clock(i)) > 3 * floor for i in range(9))


def test_rights_of_a_dead_member_return_after_their_lease_and_a_restart_does_not_spend_them():
    sim = fleet(9, {8})
    most = sim.shared[8].available("cold/w", sim.clock(8))
    assert most > 85.0
    sim.demand = lambda i, now: {"cold/w": 150.0}
    sim.kill(8)
    at = sim.now
    sim.run(at + sim.share.loan_ms - sim.share.renew_ms)
    now = [x.available("cold/w", sim.now) for x in sim.shared[:8]]
    assert sum(now) < 20.0, "not before the loans have expired"
    sim.start(8)
    assert sim.shared[8].available("cold/w", sim.clock(8)) == 0.0, "not even its floor, within a window"
    sim.run(at + sim.share.loan_ms + sim.share.margin_ms + 2 * 1000.0 + 500.0)
    assert sum(x.available("cold/w", sim.now) for x in sim.shared[:8]) > 80.0
    assert sim.peak["cold/w"] <= 100.0 + 1e-6


def test_a_member_paused_past_its_leases_keeps_only_its_floor():
    sim = fleet(9, {3})
    sim.pause(3)
    sim.run(sim.now + 15_000)
    assert sim.shared[3].available("cold/w", sim.clock(3)) == sim.share.floor_amount(100.0)
    sim.resume(3)
    sim.run(sim.now + 15_000)
    assert sim.peak["cold/w"] <= 100.0 + 1e-6 and rate(sim) > 90.0


def test_twenty_joins_and_the_loss_of_half_redistribute_without_overspend():
    sim = VirtualState(29, SharingConfig(witnesses=("m0", "m1", "m2"), size=29, kinds=COLD), seed=5)
    sim.demand = lambda i, now: {"cold/w": 50.0}
    for i in range(9):
        sim.start(i, (0, 1))
    sim.run(15_000)
    assert rate(sim) > 95.0
    for i in range(9, 29):
        sim.start(i, (0, 1))
    worst = min(rate(sim, 1000) for _ in range(40))
    assert worst > 60.0, "the other tickets stay in use while some change hands"
    own = [sim.shared[i].available("cold/w", sim.clock(i)) for i in range(29)]
    assert max(own) < 9.0 and rate(sim) > 95.0
    for i in range(15, 29):
        sim.kill(i)
    sim.run(sim.now + 25_000)
    assert rate(sim) > 95.0 and sim.peak["cold/w"] <= 100.0 + 1e-6


class Budget(RuleBasedStateMachine):
    """Members spend one budget under lost, late and duplicate messages, crashes, pauses and partitions."""

    @initialize(n=st.integers(3, 6), seed=st.integers(0, 999))
    def begin(self, n, seed):
        rng = random.Random(seed)
        config = SharingConfig(witnesses=("m0", "m1", "m2"), size=n, tickets=16, kinds=COLD)
        self.n, self.fleet = n, VirtualState(n, config, seed=seed)
        self.want = [rng.choice([0.0, 20.0, 150.0]) for _ in range(n)]
        self.fleet.demand = lambda i, now: {"cold/w": self.want[i]}
        self.fleet.rate = [1.0 + rng.uniform(-0.01, 0.01) for _ in range(n)]
        self.fleet.offset = [rng.uniform(-1e6, 1e6) for _ in range(n)]
        for i in range(n):
            self.fleet.start(i, (0, 1))
        self.fleet.run(8_000)

    @rule(ms=st.integers(100, 6000))
    def time_passes(self, ms):
        self.fleet.run(self.fleet.now + ms)

    @rule(i=st.integers(0, 5), want=st.sampled_from([0.0, 20.0, 150.0]))
    def wants(self, i, want):
        self.want[i % self.n] = want

    @rule(i=st.integers(0, 5))
    def dies_or_restarts(self, i):
        i %= self.n
        if self.fleet.up[i]:
            self.fleet.kill(i)
        else:
            self.fleet.start(i, (0, 1))

    @rule(i=st.integers(0, 5))
    def restarts_at_once(self, i):
        self.fleet.kill(i % self.n)
        self.fleet.start(i % self.n, (0, 1))

    @rule(i=st.integers(0, 5))
    def pauses_or_goes_on(self, i):
        self.fleet.paused ^= {i % self.n}

    @rule(a=st.integers(0, 5), b=st.integers(0, 5), both=st.booleans())
    def cuts(self, a, b, both):
        self.fleet.line.cuts |= {(a % self.n, b % self.n)} | ({(b % self.n, a % self.n)} if both else set())

    @rule(k=st.integers(1, 5))
    def splits(self, k):
        self.fleet.partition(set(range(k)), set(range(k, self.n)))

    @rule()
    def heals(self):
        self.fleet.heal()

    @rule(
        loss=st.sampled_from([0.0, 0.2, 0.5]),
        dup=st.sampled_from([0.0, 0.3]),
        jitter=st.sampled_from([0, 900]),
    )
    def line_changes(self, loss, dup, jitter):
        self.fleet.line.loss, self.fleet.line.dup, self.fleet.line.jitter_ms = loss, dup, jitter

    @invariant()
    def never_above_the_bound(self):
        sim = self.fleet
        rights = sum(x.available("cold/w", sim.clock(i)) for i, x in enumerate(sim.shared) if x is not None)
        assert rights <= 100.0 + 1e-6, rights
        assert sim.peak.get("cold/w", 0.0) <= 100.0 + 1e-6, sim.peak


Budget.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.explicit, Phase.reuse, Phase.generate],  # without shrinking, which takes minutes
)
test_the_sum_of_rights_and_the_spending_never_exceed_the_bound = Budget.TestCase


# -- Evidence and judgements -------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("reports", "bad"),
    [
        ([(500, 400)], False),  # one scheduler's bad path, however many requests
        ([(3, 3), (3, 3), (3, 3)], True),  # three members with three failures each
        ([(2, 2), (1, 1), (3, 3)], True),
        ([(1, 1), (1, 1), (1, 1)], False),  # too few failures in total
        ([(30, 20), (30, 20)], True),  # two members, but many failures
        ([(9, 9)] * 3 + [(9, 0)] * 4, False),  # the larger part of the members is served
        ([(9, 9)] * 4 + [(9, 1)] * 3, True),
        ([(9, 2)] * 9, False),  # some failures at all members
        ([], False),
    ],
)
def test_verdicts(reports, bad):
    evidence = Evidence(SharingConfig(size=20))
    for i, (sent, failed) in enumerate(reports):
        assert evidence.record(f"m{i}", (1, 1), RequestCounts("w", sent, failed), 0.0) == ""
    assert evidence.verdict("w").bad is bad
    evidence.expire(10_000.0)
    assert not evidence.verdict("w").bad and not evidence.reports, "evidence expires"


@given(st.lists(st.tuples(MEMBERS, st.integers(1, 5), st.integers(0, 9)), max_size=30), st.randoms())
def test_evidence_merges_in_any_order_and_twice(items, rng):
    a, b = Evidence(SharingConfig(size=20)), Evidence(SharingConfig(size=20))
    once = {(member, order): failed for member, order, failed in items}
    items = [(member, order, RequestCounts("w", 9, failed)) for (member, order), failed in once.items()]
    shuffled = items * 2
    rng.shuffle(shuffled)
    for store, reports in ((a, items), (b, shuffled)):
        for member, order, counts in reports:
            store.record(member, (1, order), counts, 0.0)
    assert a.reports == b.reports


def test_evidence_is_refused_by_reason_and_bounded():
    config = SharingConfig(size=4, max_workers=10)
    store, window = Evidence(config), RequestWindow(config)
    assert store.record("a", (1, 1), RequestCounts("w", 1, 5), 0.0) == "absurd"
    for n in range(50):
        store.record(f"m{n}", (1, 1), RequestCounts("w", 1, 1), 0.0)
        store.record("a", (1, n), RequestCounts(f"v{n}", 1, 1), 0.0)
        window.record(f"v{n}", True, 0.0)
    assert len(store.reports) == 10 and len(store.reports["w"]) == 32 and len(window.counts(0.0)) == 10
    assert store.record("m0", (1, 1), RequestCounts("w", 1, 1), 0.0) == "old"


def test_judgements_expire_by_age_whatever_the_clocks_show():
    ours, theirs = Judgements("a", 10_000.0), Judgements("b", 10_000.0)
    update = theirs.write("w", BAD, 0.0, 11_000.0)  # b's clock is 10 s ahead
    assert ours.merge(update, 0.0, 1_000.0) == "from_the_future" and not ours.keys_with(BAD, 0.0)
    theirs = Judgements("b", 10_000.0)
    for peer in "cde":
        theirs.record_clock_offset(peer, -10_000.0)  # it learns that the others' clocks are behind its own
    assert ours.merge(theirs.write("w", BAD, 0.0, 11_000.0), 0.0, 1_000.0) == ""
    update = ours.get("w", 4_000.0)
    late = Judgements("c", 10_000.0)
    assert update.age_ms == 4_000.0 and late.merge(update, 500.0, 5_000.0) == ""
    assert late.keys_with(BAD, 6_499.0) == {"w"} and not late.keys_with(BAD, 6_500.0)
    assert ours.expire(10_000.0) == ["w"] and late.get("w", 7_000.0) is None
    assert ours.merge(update.__class__("w", update.stamp, BAD, 10_000.0), 10_001.0, 11_000.0) == "over"


def judged_bad(sim):
    return [(at, i, a) for at, i, a in sim.notes if isinstance(a, shared.WorkerJudgedBad)]


@pytest.mark.parametrize("off", [0.0, 10_000.0])
def test_a_bad_worker_is_judged_after_few_failures_and_a_bad_path_is_not(off):
    """Nine members, each sending to each worker about once a second; one member's path to w1 is broken."""
    sim = fleet(9, seed=3)
    sim.unix_off[4] = off  # one member's clock is ahead
    rng, sent = random.Random(7), {"w0": 0, "w1": 0}
    began = sim.now
    while sim.now < began + 20_000 and not sim.shared[0].bad_workers(sim.clock(0)):
        sim.run(sim.now + 100)
        for i in range(9):
            if rng.random() < 0.2:
                worker = rng.choice(["w0", "w1", "w2"])
                failed = worker == "w0" or (worker == "w1" and i == 5)
                sent[worker] = sent.get(worker, 0) + 1
                sim.tell(i, shared.RequestEnded(worker, failed))
    sim.run(sim.now + 1_500)
    assert all(x.bad_workers(sim.clock(i)) == {"w0"} for i, x in enumerate(sim.shared))
    assert sent["w0"] < 30, "nine members alone would need three failures each"
    assert {a.worker for _, _, a in judged_bad(sim)} == {"w0"}
    sim.run(sim.now + 12_000)
    assert not any(x.bad_workers(sim.clock(i)) for i, x in enumerate(sim.shared)), "the judgement expires"
    assert any(isinstance(a, shared.JudgementExpired) for _, _, a in sim.notes)


def test_counters_reach_all_members_and_memory_stays_bounded():
    sim = fleet(9)
    for i, one in enumerate(sim.shared):
        one.totals.add("sent", i)
        for n in range(100):
            one.totals.add(f"c{n}")
            sim.tell(i, shared.RequestEnded(f"x{n}", True))
    sim.run(sim.now + 40_000)
    assert [one.totals.total("sent") for one in sim.shared] == [36] * 9
    assert all(len(one.totals.names()) == 32 for one in sim.shared)
    assert all(not one._queue or len(one._queue) < 200 for one in sim.shared)


def test_messages_are_decoded_as_encoded_and_invalid_ones_refused():
    request = ticket_request("a", 1, 1, 0, 7)
    assert wire.decode(wire.encode("c", request), "c", 1400) == (request, "")
    assert wire.decode(wire.encode("c", Shortfall("x" * 97, 1.0)), "c", 1400)[1] == "malformed"
    many = LoanRequest(1, "a", 1, 1, [Shortfall("cold/w", 1.0)] * 65)
    assert wire.decode(wire.encode("c", many), "c", 4000)[1] == "malformed"
    assert wire.decode_snapshot(b"\x93\x01")[1] == "malformed" and wire.decode_snapshot(b"\xc0") == (None, "")
