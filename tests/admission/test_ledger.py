"""The ledger against what it promises, in any order of arrivals, proofs, jobs, ends and new rules."""

from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from molespur.admission.ledger import Admit, End, Ledger, Refuse, Rules, network_of

ADDRESSES = ["10.0.0.1", "10.0.0.2", "10.0.1.1", "2001:db8::1", "2001:db8::2", "2001:db8:0:1::1"]
WHO = ["ada", "ben", "cy"]


class Admission(RuleBasedStateMachine):
    @initialize(most=st.integers(2, 8), reserve=st.integers(0, 7))
    def begin(self, most, reserve):
        self.ledger = Ledger(Rules(most, min(reserve, most - 1)))
        self.now, self.open, self.came, self.refused = 0.0, {}, 0, 0  # number -> [address, identity, jobs]
        self.ends = []

    def pick(self, n):
        return sorted(self.open)[n % len(self.open)] if self.open else None

    def shed(self, numbers):
        for number in numbers:
            _, identity, jobs = self.open.pop(number)
            assert not jobs, "a connection with a job was shed"
            if identity is not None:
                waiting = [o for o in self.open.values() if o[1] is None and not o[2]]
                assert not waiting, "a proven one was shed while an unproven one stays"
            self.ends.append(number)

    @rule(address=st.sampled_from(ADDRESSES), identity=st.sampled_from([None, None, *WHO]))
    def arrive(self, address, identity):
        self.now += 1
        self.came += 1
        before = {n: o for n, o in self.open.items() if o[1] is None and not o[2]}
        number, decision = self.ledger.arrive(address, self.now, 0.5, identity)
        if isinstance(decision, Refuse):
            self.refused += 1
            assert len(self.open) >= self.ledger.rules.most and not before
            assert 1000 <= decision.pause_ms <= 3000
            return
        assert isinstance(decision, Admit) and len(decision.shed) <= 1
        for victim in decision.shed:
            if victim in before:
                self.fullest_goes(victim, before)
        self.shed(decision.shed)
        self.open[number] = [address, identity, 0]

    def fullest_goes(self, victim, before):
        """Of the fullest network, its fullest address; there, the one that came first."""
        rules, networks = self.ledger.rules, {}
        for address, _, _ in before.values():
            network = networks.setdefault(network_of(address, rules), {})
            network[address] = network.get(address, 0) + 1
        address = before[victim][0]
        network = network_of(address, rules)
        assert sum(networks[network].values()) == max(sum(n.values()) for n in networks.values())
        assert networks[network][address] == max(networks[network].values())

    @rule(n=st.integers(0, 7), who=st.sampled_from(WHO))
    def prove(self, n, who):
        number = self.pick(n)
        if number is not None:
            self.ledger.prove(number, who, self.now)
            self.open[number][1] = self.open[number][1] or who

    @rule(n=st.integers(0, 7))
    def job(self, n):
        number = self.pick(n)
        if number is not None:
            _, identity, jobs = self.open[number]
            busy = sum(o[1] is None and o[2] > 0 for o in self.open.values())
            room = self.ledger.rules.most - self.ledger.rules.reserve
            taken = self.ledger.job(number)
            assert taken is (identity is not None or jobs > 0 or busy < room)
            self.open[number][2] += taken

    @rule(n=st.integers(0, 7))
    def answered(self, n):
        number = self.pick(n)
        if number is not None:
            stays = self.ledger.answered(number, self.now)
            self.open[number][2] = max(self.open[number][2] - 1, 0)
            if not stays:
                assert len(self.open) > self.ledger.rules.most and not self.open[number][2]
                del self.open[number]
                self.ends.append(number)

    @rule(n=st.integers(0, 7))
    def close(self, n):
        number = self.pick(n)
        if number is not None:
            self.ledger.close(number)
            self.ledger.close(number)  # a second end is none
            del self.open[number]
            self.ends.append(number)

    @rule(most=st.integers(2, 8))
    def reload(self, most):
        shed = self.ledger.shrink(Rules(most, most // 2))
        unproven = [n for n in shed if self.open[n][1] is None]
        assert unproven == sorted(unproven, reverse=True), "the newest unproven go first"
        self.shed(shed)

    @invariant()
    def books_balance(self):
        if not hasattr(self, "ledger"):
            return
        ledger = self.ledger
        assert set(ledger.entries) == set(self.open)
        busy = sum(o[2] > 0 for o in self.open.values())
        assert ledger.busy_unproven == sum(o[1] is None and o[2] > 0 for o in self.open.values())
        assert len(self.open) <= max(ledger.rules.most, busy)
        assert ledger.proven == sum(o[1] is not None for o in self.open.values())
        assert sum(ledger.ended.values()) == len(self.ends) == len(set(self.ends))
        assert (
            self.came
            == len(self.open) + len(self.ends) + self.refused
            == ledger.refused + len(self.open) + len(self.ends)
        )
        assert sum(s.open for s in ledger.sources.values()) == len(self.open)
        waiting = [n for n, o in self.open.items() if o[1] is None and not o[2]]
        assert sum(len(s.unproven) for s in ledger.sources.values()) == len(waiting)
        assert sum(n.unproven for n in ledger.networks.values()) == len(waiting)
        idle = [n for n, o in self.open.items() if o[1] is not None and not o[2]]
        assert sorted(n for held in ledger.by_identity.values() for n in held) == sorted(idle)
        assert {i for _, i in ledger._idlest} == set(ledger.by_identity)
        assert all(ledger.holds[i] == held for held, i in ledger._idlest)


TestAdmission = Admission.TestCase
TestAdmission.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip


@pytest.mark.parametrize("seed", range(3))
def test_long_random_histories(seed):
    rng = Random(seed)
    for _ in range(60):
        machine = Admission()
        machine.begin(rng.randint(2, 8), rng.randint(0, 7))
        for _ in range(120):
            what = rng.choices("ampjwcr", (5, 0, 2, 2, 2, 1, 0.3))[0]
            if what == "a":
                machine.arrive(rng.choice(ADDRESSES), rng.choice([None, None, *WHO]))
            elif what == "p":
                machine.prove(rng.randrange(8), rng.choice(WHO))
            elif what == "r":
                machine.reload(rng.randint(2, 8))
            else:
                {"j": machine.job, "w": machine.answered, "c": machine.close}[what](rng.randrange(8))
            machine.books_balance()


def test_500_clients_behind_one_address_20_known_one_hostile():
    """The known stay, and the well-behaved get the time that they need to prove themselves."""
    ledger, rng, now = Ledger(Rules(100, 30)), Random(1), 0.0
    known = [ledger.arrive("10.0.0.1", now, 0.0)[0] for _ in range(20)]
    for n, number in enumerate(known):
        ledger.prove(number, f"known-{n}", now)
    served = lost = 0
    pending = {}  # a client proves itself 20 ms after it connected
    for step in range(20_000):
        now = step * 1.0
        ledger.arrive("10.0.0.1", now, 0.0)  # the hostile one opens without end, and says nothing
        if rng.random() < 0.05:
            pending[ledger.arrive("10.0.0.1", now, 0.0)[0]] = now + 20
        for number, due in list(pending.items()):
            if number not in ledger.entries:
                lost += 1
                del pending[number]
            elif now >= due:
                assert ledger.job(number)
                ledger.prove(number, f"client-{number}", now)
                ledger.answered(number, now)
                ledger.close(number)
                served += 1
                del pending[number]
    assert all(number in ledger.entries for number in known)
    assert served > 900 and lost == 0
    assert ledger.ended[End.SHED_UNPROVEN] > 15_000 and ledger.ended[End.SHED_IDLE] == 0


def test_a_proven_client_is_let_in_while_a_crowd_stands():
    ledger = Ledger(Rules(50, 10))
    for n in range(500):
        ledger.arrive(f"10.0.{n % 7}.{n % 200}", 0.0, 0.0)
    assert len(ledger.entries) == 50  # the reserve is lent
    for n in range(50):
        _, decision = ledger.arrive("192.0.2.1", 1.0, 0.0, f"crew-{n}")
        assert isinstance(decision, Admit) and len(decision.shed) == 1  # and given back at once
    assert ledger.proven == 50


def test_a_crowd_that_brings_one_valid_job_each_does_not_keep_the_proven_out():
    ledger = Ledger(Rules(50, 10))
    refused = sum(not ledger.job(ledger.arrive(f"10.0.0.{n % 3}", 0.0, 0.0)[0]) for n in range(500))
    assert ledger.busy_unproven == 40 and refused == 460
    for n in range(10):
        number, decision = ledger.arrive("10.0.0.1", 1.0, 0.0)  # its token is read once it is in
        assert isinstance(decision, Admit)
        ledger.prove(number, f"crew-{n}", 1.0)
        assert ledger.job(number)


def test_those_refused_come_back_at_different_times():
    ledger, rng = Ledger(Rules(2, 0)), Random(1)
    for _ in range(2):
        ledger.job(ledger.arrive("10.0.0.1", 0.0, 0.0)[0])
    pauses = [ledger.arrive("10.0.0.1", 0.0, rng.random())[1].pause_ms for _ in range(100)]
    assert min(pauses) >= 1000 and max(pauses) <= 3000 and len(set(pauses)) == 100
