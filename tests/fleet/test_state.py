"""Shared state: merge laws, the clock's order, tickets, loans and evidence by hand; budgets under faults."""

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
def test_the_clock_only_goes_forward_and_refuses_the_far_future(steps):
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


def test_counts_go_on_after_a_restart_and_are_not_counted_twice():
    peer, first = FleetCounters("p", 1), FleetCounters("a", 100)
    first.add("sent", 7)
    first.add("open", 3)
    first.add("open", -2)
    peer.merge(first.rows["a"], 0.0)
    again = FleetCounters("a", 50)  # its clock went back between its lives
    again.add("sent", 2)
    for _ in range(3):
        again.merge(peer.rows["a"], 10.0)
        peer.merge(again.rows["a"], 10.0)
    assert (again.total("sent"), peer.total("sent"), peer.total("open")) == (9, 9, 1)
    late = FleetCounters("a", 300)
    assert not late.merge(peer.rows["a"], 100_000.0), "so late it is another process under our id"


@given(st.sets(st.integers(0, 40)), st.lists(st.sets(MEMBERS), max_size=6))
def test_things_fall_to_members_alike_however_the_view_came_to_be(numbers, views):
    assert from_bitmap(to_bitmap(numbers)) == numbers
    assignment = Assignment("t/", 32)
    for view in views:
        assignment.set_members(view)
        fresh = Assignment("t/", 32)
        fresh.set_members(view)
        assert assignment.owners == fresh.owners
        assert assignment.owners == [(pick(f"t/{i}", view, 1) or [""])[0] for i in range(32)]


# -- Tickets, by hand ------------------------------------------------------------------------------

THREE = SharingConfig(witnesses=("x", "y", "z"), size=4, tickets=8, kinds=COLD)


def asking(member, instance, seq, *tickets):
    return TicketRequest(seq, member, instance, THREE.fingerprint, to_bitmap(tickets))


def test_a_witness_lends_a_ticket_to_one_life_until_its_time_and_grace_are_over():
    witness = Witness("x", 8, THREE.hold_ms, 0.0)

    def lends(now, *ask):
        return from_bitmap(witness.handle_request(asking(*ask), now).tickets)

    assert lends(1.0, "a", 1, 1, 0, 1) == set(), "just started: its earlier life may have lent them"
    after = THREE.hold_ms
    assert lends(after, "a", 1, 2, 0, 1, 99) == {0, 1}
    assert lends(after + 1, "b", 1, 1, 1, 2) == {2}
    assert lends(after + 1000, "a", 1, 3, 0) == {0}
    assert witness.handle_request(asking("a", 1, 3, 0, 1), after + 1001) is None, (
        "a double or late ask says nothing"
    )
    assert lends(2 * after - 1, "a", 2, 1, 0, 1) == set(), "its own next life waits for what the first had"
    assert lends(2 * after, "b", 1, 2, 1, 2) == {1, 2}
    assert THREE.hold_ms == THREE.lease_ms + THREE.margin_ms + 1000.0


def test_a_holder_owns_by_majority_from_when_it_asked_and_takes_no_late_yes():
    share, holder = THREE, Holder("a", 1, THREE)
    witnesses = [Witness(w, 8, share.hold_ms, -1e6) for w in share.witnesses]
    ask = holder.next_request({3, 4}, 100.0)
    says = [witness.handle_request(ask, 150.0) for witness in witnesses]
    holder.handle_reply(says[0])
    assert holder.owned(160.0) == []
    holder.handle_reply(says[1])
    assert holder.owned(160.0) == [100.0 + share.lease_ms] * 2
    assert holder.owned(100.0 + share.lease_ms) == []
    holder.next_request({4}, 200.0)
    assert len(holder.owned(201.0)) == 1, "what fell to another is let go"
    again = Holder("a", 2, share)
    first = again.next_request({3}, 10_000.0)
    says = [TicketReply(first.seq, w, 2, first.tickets) for w in share.witnesses]
    again.next_request(set(), 10_100.0)
    again.next_request({3}, 10_200.0)
    for say in says:
        assert again.handle_reply(say)
    assert again.owned(10_300.0) == [], "a yes from before it was let go tells nothing of now"
    for seq, witness, instance in ((9, "x", 2), (3, "q", 2), (3, "x", 1)):
        assert not again.handle_reply(TicketReply(seq, witness, instance, first.tickets))


# -- Loans, by hand --------------------------------------------------------------------------------


def escrow(me="a", tickets=4, used=0.0, share=THREE):
    from molespur.fleet.escrow import Escrow

    return Escrow(me, 1, share, lambda now: [1e9] * tickets, lambda name, now: used, random.Random(1), -1e6)


def wish(lack, seq=1, src="b", instance=1):
    return LoanRequest(seq, src, instance, THREE.fingerprint, [Shortfall("cold/w", lack)])


UNIT = THREE.ticket_amount(100.0)


@pytest.mark.parametrize(
    ("lender", "asks", "amounts"),
    [
        ("idle", [wish(5.0)], [5.0]),
        ("idle", [wish(500.0)], [4 * UNIT]),
        ("idle", [wish(500.0), wish(500.0)], [4 * UNIT, None]),  # the same ask twice
        ("idle", [wish(500.0, 2), wish(500.0, 1)], [4 * UNIT, None]),  # late
        ("idle", [wish(500.0), wish(500.0, src="c")], [4 * UNIT, None]),  # it has lent all
        ("busy", [wish(500.0)], [4 * UNIT - (1.25 * 20 - THREE.floor_amount(100.0))]),  # keeps what it spends
        ("idle", [LoanRequest(1, "b", 1, THREE.fingerprint, [Shortfall("nothing/w", 1.0)])], [None]),
    ],
)
def test_what_is_lent(lender, asks, amounts):
    escrow_ = escrow(used=20.0 if lender == "busy" else 0.0)
    lends = [escrow_.handle_request(ask, 10.0) for ask in asks]
    assert [lend and round(lend.loans[0].amount, 6) for lend in lends] == [a and round(a, 6) for a in amounts]


def test_a_lender_counts_a_loan_past_its_end_and_a_borrower_not_so_long():
    lender, borrower = escrow(), escrow("b", tickets=0)
    before = lender.available("cold/w", 0.0)
    borrower.record_denial("cold/w", 0.0)
    ((whom, ask),) = borrower.renew(0.0, ["a"])
    assert whom == "a"
    lend = lender.handle_request(ask, 40.0)  # 40 ms later
    assert borrower.handle_reply(lend, 80.0)
    amount = lend.loans[0].amount
    floor = THREE.floor_amount(100.0)
    assert borrower.available("cold/w", THREE.loan_ms - 1) == floor + amount
    assert borrower.available("cold/w", THREE.loan_ms) == floor, "from when it asked, by its own clock"
    back = 40.0 + THREE.loan_ms + THREE.margin_ms + 1000.0
    assert lender.available("cold/w", back - 1) == before - amount
    assert lender.available("cold/w", back) == before
    for bad in (
        LoanReply(ask.seq, "c", 1, lend.loans),  # not whom we asked
        LoanReply(ask.seq, "a", 2, lend.loans),  # asked by another life of ours
        LoanReply(99, "a", 1, lend.loans),
    ):
        assert not borrower.handle_reply(bad, 90.0)
    assert borrower.handle_reply(LoanReply(ask.seq, "a", 1, [Loan("cold/w", 1e6, 9e9)]), 90.0)
    assert borrower.counts["loans_absurd"] == 1 and borrower.counts["loans_not_asked_for"] == 3


def test_of_two_loans_of_a_lender_the_one_asked_for_last_stands():
    borrower = escrow("b", tickets=0)
    asks = []
    for now in (0.0, 1000.0):
        borrower.record_denial("cold/w", now)
        asks += borrower.renew(now, ["a"])
    lends = [LoanReply(ask.seq, "a", 1, [Loan("cold/w", amount, THREE.loan_ms)])
             for (_, ask), amount in zip(asks, (9.0, 4.0), strict=True)]  # fmt: skip
    for lend in (*lends, lends[0]):
        borrower.handle_reply(lend, 1100.0)
    assert borrower.available("cold/w", 1200.0) == THREE.floor_amount(100.0) + 4.0


# -- Budgets in a fleet, faults between its members --------------------------------------------------


def fleet(n, hot=(), want=150.0, share=None, seed=1, run=12_000):
    share = share or SharingConfig(witnesses=("m0", "m1", "m2"), size=n, kinds=COLD)
    made = VirtualState(n, share, seed=seed)
    made.demand = lambda i, now: {"cold/w": want if not hot or i in hot else 0.0}
    for i in range(n):
        made.start(i, (0, 1))
    made.run(run)
    return made


def rate(made, ms=4000):
    before = made.passed["cold/w"]
    made.run(made.now + ms)
    return (made.passed["cold/w"] - before) * 1000 / ms


def test_the_whole_bound_is_used_and_never_passed():
    even, one = fleet(9), fleet(9, {4})
    assert 97.0 < rate(even) <= 100.0 + 1e-6 and 90.0 < rate(one) < 100.1
    assert max(even.peak["cold/w"], one.peak["cold/w"]) <= 100.0 + 1e-6


def test_a_cut_off_part_shrinks_to_its_floors_and_the_rest_takes_over():
    made = fleet(9)
    made.partition({0, 1, 2, 3, 4}, {5, 6, 7, 8})
    made.run(made.now + 30_000)
    floor = made.share.floor_amount(100.0)
    assert all(made.shared[i].available("cold/w", made.clock(i)) == floor for i in range(5, 9))
    assert 95.0 < rate(made) < 100.1
    made.heal()
    made.run(made.now + 30_000)
    assert rate(made) > 99.0 and made.peak["cold/w"] <= 100.0 + 1e-6
    assert all(made.shared[i].available("cold/w", made.clock(i)) > 3 * floor for i in range(9))


def test_rights_of_the_dead_come_back_after_their_time_and_a_restart_does_not_spend_them():
    made = fleet(9, {8})
    most = made.shared[8].available("cold/w", made.clock(8))
    assert most > 85.0
    made.demand = lambda i, now: {"cold/w": 150.0}
    made.kill(8)
    at = made.now
    made.run(at + made.share.loan_ms - made.share.renew_ms)
    now = [x.available("cold/w", made.now) for x in made.shared[:8]]
    assert sum(now) < 20.0, "not before the loans' time is over"
    made.start(8)
    assert made.shared[8].available("cold/w", made.clock(8)) == 0.0, "not even its floor, within a window"
    made.run(at + made.share.loan_ms + made.share.margin_ms + 2 * 1000.0 + 500.0)
    assert sum(x.available("cold/w", made.now) for x in made.shared[:8]) > 80.0
    assert made.peak["cold/w"] <= 100.0 + 1e-6


def test_a_member_paused_past_its_leases_spends_nothing_on_them():
    made = fleet(9, {3})
    made.pause(3)
    made.run(made.now + 15_000)
    assert made.shared[3].available("cold/w", made.clock(3)) == made.share.floor_amount(100.0)
    made.resume(3)
    made.run(made.now + 15_000)
    assert made.peak["cold/w"] <= 100.0 + 1e-6 and rate(made) > 90.0


def test_join_of_twenty_and_departure_of_half_split_anew_without_overspend():
    made = VirtualState(29, SharingConfig(witnesses=("m0", "m1", "m2"), size=29, kinds=COLD), seed=5)
    made.demand = lambda i, now: {"cold/w": 50.0}
    for i in range(9):
        made.start(i, (0, 1))
    made.run(15_000)
    assert rate(made) > 95.0
    for i in range(9, 29):
        made.start(i, (0, 1))
    worst = min(rate(made, 1000) for _ in range(40))
    assert worst > 60.0, "the rest works on while some tickets change hands"
    own = [made.shared[i].available("cold/w", made.clock(i)) for i in range(29)]
    assert max(own) < 9.0 and rate(made) > 95.0
    for i in range(15, 29):
        made.kill(i)
    made.run(made.now + 25_000)
    assert rate(made) > 95.0 and made.peak["cold/w"] <= 100.0 + 1e-6


class Budget(RuleBasedStateMachine):
    """Members spend one budget while messages are lost, late and doubled; members die, pause, are cut off."""

    @initialize(n=st.integers(3, 6), seed=st.integers(0, 999))
    def begin(self, n, seed):
        rng = random.Random(seed)
        share = SharingConfig(witnesses=("m0", "m1", "m2"), size=n, tickets=16, kinds=COLD)
        self.n, self.fleet = n, VirtualState(n, share, seed=seed)
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
        made = self.fleet
        rights = sum(x.available("cold/w", made.clock(i)) for i, x in enumerate(made.shared) if x is not None)
        assert rights <= 100.0 + 1e-6, rights
        assert made.peak.get("cold/w", 0.0) <= 100.0 + 1e-6, made.peak


Budget.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.explicit, Phase.reuse, Phase.generate],  # to shrink a failure takes minutes
)
test_the_sum_of_rights_and_what_is_spent_never_pass_the_bound = Budget.TestCase


# -- Evidence and judgements -------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("told", "bad"),
    [
        ([(500, 400)], False),  # one scheduler's bad path, however loud
        ([(3, 3), (3, 3), (3, 3)], True),  # three that met it thrice each
        ([(2, 2), (1, 1), (3, 3)], True),
        ([(1, 1), (1, 1), (1, 1)], False),  # too little in all
        ([(30, 20), (30, 20)], True),  # two, but much
        ([(9, 9)] * 3 + [(9, 0)] * 4, False),  # the larger part is served
        ([(9, 9)] * 4 + [(9, 1)] * 3, True),
        ([(9, 2)] * 9, False),  # some failures everywhere
        ([], False),
    ],
)
def test_verdicts(told, bad):
    evidence = Evidence(SharingConfig(size=20))
    for i, (sent, failed) in enumerate(told):
        assert evidence.record(f"m{i}", (1, 1), RequestCounts("w", sent, failed), 0.0) == ""
    assert evidence.verdict("w").bad is bad
    evidence.expire(10_000.0)
    assert not evidence.verdict("w").bad and not evidence.reports, "it ages out"


@given(st.lists(st.tuples(MEMBERS, st.integers(1, 5), st.integers(0, 9)), max_size=30), st.randoms())
def test_evidence_merges_in_any_order_and_twice(items, rng):
    a, b = Evidence(SharingConfig(size=20)), Evidence(SharingConfig(size=20))
    once = {(member, order): failed for member, order, failed in items}
    items = [(member, order, RequestCounts("w", 9, failed)) for (member, order), failed in once.items()]
    shuffled = items * 2
    rng.shuffle(shuffled)
    for store, line in ((a, items), (b, shuffled)):
        for member, order, seen in line:
            store.record(member, (1, order), seen, 0.0)
    assert a.reports == b.reports


def test_evidence_is_refused_by_reason_and_bounded():
    share = SharingConfig(size=4, max_workers=10)
    store, window = Evidence(share), RequestWindow(share)
    assert store.record("a", (1, 1), RequestCounts("w", 1, 5), 0.0) == "absurd"
    for n in range(50):
        store.record(f"m{n}", (1, 1), RequestCounts("w", 1, 1), 0.0)
        store.record("a", (1, n), RequestCounts(f"v{n}", 1, 1), 0.0)
        window.record(f"v{n}", True, 0.0)
    assert len(store.reports) == 10 and len(store.reports["w"]) == 32 and len(window.counts(0.0)) == 10
    assert store.record("m0", (1, 1), RequestCounts("w", 1, 1), 0.0) == "old"


def test_judgements_end_with_their_age_and_clocks_that_are_off_do_no_harm():
    ours, theirs = Judgements("a", 10_000.0), Judgements("b", 10_000.0)
    said = theirs.write("w", BAD, 0.0, 11_000.0)  # b's clock is 10 s ahead
    assert ours.merge(said, 0.0, 1_000.0) == "from_the_future" and not ours.keys_with(BAD, 0.0)
    theirs = Judgements("b", 10_000.0)
    for peer in "cde":
        theirs.record_clock_offset(peer, -10_000.0)  # it hears that the others' clocks are behind its own
    assert ours.merge(theirs.write("w", BAD, 0.0, 11_000.0), 0.0, 1_000.0) == ""
    told = ours.get("w", 4_000.0)
    late = Judgements("c", 10_000.0)
    assert told.age_ms == 4_000.0 and late.merge(told, 500.0, 5_000.0) == ""
    assert late.keys_with(BAD, 6_499.0) == {"w"} and not late.keys_with(BAD, 6_500.0)
    assert ours.expire(10_000.0) == ["w"] and late.get("w", 7_000.0) is None
    assert ours.merge(told.__class__("w", told.stamp, BAD, 10_000.0), 10_001.0, 11_000.0) == "over"


def judged(made):
    return [(at, i, a) for at, i, a in made.notes if isinstance(a, shared.WorkerJudgedBad)]


@pytest.mark.parametrize("off", [0.0, 10_000.0])
def test_a_bad_worker_is_judged_by_few_failures_and_a_bad_path_is_not(off):
    """Nine members, each meeting each worker about once a second; one member's path to w1 is broken."""
    made = fleet(9, seed=3)
    made.unix_off[4] = off  # one member's clock is ahead
    rng, met = random.Random(7), {"w0": 0, "w1": 0}
    began = made.now
    while made.now < began + 20_000 and not made.shared[0].bad_workers(made.clock(0)):
        made.run(made.now + 100)
        for i in range(9):
            if rng.random() < 0.2:
                worker = rng.choice(["w0", "w1", "w2"])
                failed = worker == "w0" or (worker == "w1" and i == 5)
                met[worker] = met.get(worker, 0) + 1
                made.tell(i, shared.RequestEnded(worker, failed))
    made.run(made.now + 1_500)
    assert all(x.bad_workers(made.clock(i)) == {"w0"} for i, x in enumerate(made.shared))
    assert met["w0"] < 30, "where each of nine alone would need three of its own"
    assert {a.worker for _, _, a in judged(made)} == {"w0"}
    made.run(made.now + 12_000)
    assert not any(x.bad_workers(made.clock(i)) for i, x in enumerate(made.shared)), "it ages out"
    assert any(isinstance(a, shared.JudgementExpired) for _, _, a in made.notes)


def test_counts_reach_all_and_memory_and_datagrams_stay_bounded():
    made = fleet(9)
    for i, one in enumerate(made.shared):
        one.totals.add("sent", i)
        for n in range(100):
            one.totals.add(f"c{n}")
            made.tell(i, shared.RequestEnded(f"x{n}", True))
    made.run(made.now + 40_000)
    assert [one.totals.total("sent") for one in made.shared] == [36] * 9
    assert all(len(one.totals.names()) == 32 for one in made.shared)
    assert all(not one._queue or len(one._queue) < 200 for one in made.shared)


def test_shared_messages_survive_the_wire_and_foreign_ones_are_refused():
    ask = asking("a", 1, 1, 0, 7)
    assert wire.decode(wire.encode("c", ask), "c", 1400) == (ask, "")
    assert wire.decode(wire.encode("c", Shortfall("x" * 97, 1.0)), "c", 1400)[1] == "malformed"
    many = LoanRequest(1, "a", 1, 1, [Shortfall("cold/w", 1.0)] * 65)
    assert wire.decode(wire.encode("c", many), "c", 4000)[1] == "malformed"
    assert wire.decode_snapshot(b"\x93\x01")[1] == "malformed" and wire.decode_snapshot(b"\xc0") == (None, "")
