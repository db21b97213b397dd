"""One budget of descriptors: floors are kept, and accepting stops and goes on by it."""

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from molespur.admission.governor import Governor, Use

FLOORS = {Use.OWN: 4, Use.WORKERS: 6, Use.PROBES: 2, Use.WATCHES: 1, Use.FILES: 1}


class Budget(RuleBasedStateMachine):
    @initialize(most=st.integers(14, 40))
    def begin(self, most):
        self.governor, self.now = Governor(most, FLOORS), 0.0

    @rule(use=st.sampled_from(Use), times=st.integers(1, 30))
    def take(self, use, times):
        for _ in range(times):
            before = self.governor.held[use]
            taken = self.governor.take(use, self.now)
            assert taken or before >= FLOORS.get(use, 0), "a floor was not there when it was needed"

    @rule(use=st.sampled_from(Use), times=st.integers(1, 30))
    def give(self, use, times):
        for _ in range(min(times, self.governor.held[use])):
            self.governor.give(use)

    @rule()
    def the_system_has_none(self):
        self.governor.out_of(self.now)
        assert not self.governor.may_accept(self.now)

    @rule(ms=st.floats(0, 100))
    def passes(self, ms):
        self.now += ms

    @invariant()
    def never_over_budget(self):
        if hasattr(self, "governor"):
            governor = self.governor
            kept = sum(max(FLOORS.get(use, 0), held) for use, held in governor.held.items())
            assert kept <= governor.most


TestBudget = Budget.TestCase
TestBudget.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip


def test_clients_never_take_what_workers_need():
    governor = Governor(64, FLOORS)
    while governor.take(Use.CLIENTS):
        pass
    assert governor.held[Use.CLIENTS] == 50 and governor.denied[Use.CLIENTS] == 1
    assert all(governor.take(Use.WORKERS) for _ in range(6)) and not governor.take(Use.WORKERS)


def test_accepting_is_paused_and_resumed_with_room_between():
    governor = Governor(100, FLOORS)
    while governor.take(Use.CLIENTS):
        pass
    assert not governor.may_accept(0.0)
    governor.give(Use.CLIENTS)
    assert not governor.may_accept(0.0)  # one descriptor back is not room yet
    for _ in range(4):
        governor.give(Use.CLIENTS)
    assert governor.may_accept(0.0)


def test_after_emfile_nothing_is_shared_for_a_while_and_floors_stand():
    governor = Governor(100, FLOORS)
    governor.out_of(1000.0)
    assert not governor.take(Use.CLIENTS, 1010.0) and governor.take(Use.WORKERS, 1010.0)
    assert governor.take(Use.CLIENTS, 1050.0)


def test_faulty_budgets_and_books_are_refused():
    with pytest.raises(ValueError):
        Governor(10, FLOORS)
    with pytest.raises(ValueError):
        Governor(50, FLOORS).give(Use.FILES)
