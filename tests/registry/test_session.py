"""The session and the view against a plain model: changes, compactions, drops, switches in any order."""

from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from molespur.registry import model as m
from molespur.registry.backoff import Backoff, Members
from molespur.registry.model import Change, Fault, Item, Why
from molespur.registry.session import Rules, Session
from molespur.registry.view import Edit, View, apply

PAGE = 2
KEYS = [f"w/{n}" for n in range(5)]


def value(n, revision):
    return b'{"endpoint":"127.0.0.1:%d","capacity_hint":%d}' % (3000 + n, revision)


class Follow(RuleBasedStateMachine):
    """The model is the whole state at each revision of each cluster; members may lag behind it."""

    long_poll = False

    @initialize(seed=st.integers(0, 2**16), members=st.integers(1, 3))
    def begin(self, seed, members):
        self.members = members
        self.cluster, self.compacted, self.now = 1, 0, 0.0
        self.states = {(1, 1): {}}  # (cluster, revision) -> key -> Item
        self.revision = 1
        self.behind = [None] * self.members  # the revision at which a member stands still
        self.session = Session(Rules(members, self.long_poll), Random(seed))
        self.view, self.edit, self.keys = View(), None, set()
        self.seen = []
        self.step, self.opened, self.told, self.blocked = None, False, 0, None
        self.feed(m.Begin())

    # -- The client, as plain as can be ----------------------------------------------------------

    def feed(self, event):
        for action in self.session.handle(self.now, event):
            if isinstance(action, m.Exchange):
                self.step, self.opened = action, False
            elif isinstance(action, m.BeginRebuild):
                self.edit, self.keys = Edit(self.view), set()
            elif isinstance(action, m.AddPage):
                for item in action.items:
                    self.edit.put(item)
                    self.keys.add(item.key)
            elif isinstance(action, m.FinishRebuild):
                self.edit.keep_only(self.keys)
                self.show(self.edit.done(action.cluster, action.revision)[0])
            elif isinstance(action, m.Apply):
                self.show(apply(self.view, action.revision, action.changes)[0])

    def show(self, view):
        if view.cluster == self.view.cluster:
            assert view.revision >= self.view.revision
        have = {key: entry.item for key, entry in view.entries.items()}
        assert have == self.states[int(view.cluster), view.revision]
        self.view = view

    # -- The registry ----------------------------------------------------------------------------

    def state(self, revision):
        return self.states[self.cluster, revision]

    def member_revision(self, member):
        return self.revision if self.behind[member] is None else self.behind[member]

    def commit(self, changes):
        state = dict(self.state(self.revision))
        self.revision += 1
        for n, put in changes:
            if put:
                old = state.get(KEYS[n])
                created = old.created if old else self.revision
                state[KEYS[n]] = Item(KEYS[n], value(n, self.revision), created, self.revision)
            else:
                state.pop(KEYS[n], None)
        self.states[self.cluster, self.revision] = state

    @rule(changes=st.lists(st.tuples(st.integers(0, 4), st.booleans()), min_size=1, max_size=3))
    def change(self, changes):
        self.commit(dict(changes).items())

    @rule()
    def compact(self):
        self.compacted = self.revision

    @rule(member=st.integers(0, 2), stands=st.booleans(), others=st.booleans())
    def lag(self, member, stands, others):
        """A member stands still, or goes on; or all the others do."""
        for n in range(self.members):
            if (n == member % self.members) is not others:
                self.behind[n] = self.revision if stands else None

    @precondition(lambda self: self.cluster < 3)
    @rule(back=st.integers(0, 3))
    def restore(self, back):
        """A backup of some revisions ago comes back as another cluster."""
        at = max(self.revision - back, self.compacted, 1)
        state = self.state(at)
        self.cluster += 1
        self.revision = self.compacted = at
        self.states[self.cluster, at] = dict(state)
        self.behind = [None] * self.members
        self.opened = False

    # -- What comes of the exchange under way ----------------------------------------------------

    def answer(self):
        """What the member has to say to the step under way; False if it says nothing now."""
        step = self.step
        if isinstance(step, m.Wait):
            self.now += step.delay_ms
            self.feed(m.Due(step.turn))
            return True
        there = self.member_revision(step.member)
        if isinstance(step, m.ReadPage):
            self.page(step, there)
            return True
        return self.watch(step, there)

    def page(self, step, there):
        at = step.revision or there
        if step.revision and step.revision > there:
            self.feed(m.Failed(step.turn, Fault(Why.BEHIND)))
        elif step.revision and (step.revision < self.compacted or (self.cluster, at) not in self.states):
            self.feed(m.Failed(step.turn, Fault(Why.COMPACTED)))
        else:
            items = [i for k, i in sorted(self.state(at).items()) if step.key is None or k >= step.key]
            more = items[PAGE - 1].key + "\0" if len(items) > PAGE else None
            if more:
                items = items[:PAGE]
            self.feed(m.PageRead(step.turn, str(self.cluster), there, tuple(items), more))

    def watch(self, step, there):
        if not self.opened:
            self.opened, self.told = True, step.revision
            self.feed(m.WatchOpened(step.turn, str(self.cluster)))
            return True
        if self.told < self.compacted and self.told < there:
            self.feed(m.Failed(step.turn, Fault(Why.COMPACTED)))
            return True
        if self.told >= there:
            return False
        changes = [change for at in range(self.told + 1, there + 1) for change in self.changes(at)]
        self.told = there
        if changes:
            event = m.Changed(step.turn, str(self.cluster), changes[-1].revision, tuple(changes))
            self.feed(event)
        return True

    @rule(steps=st.integers(1, 8))
    def goes_on(self, steps):
        for _ in range(steps):
            if not self.answer():
                break

    @rule(why=st.sampled_from([Why.BROKEN, Why.SILENT, Why.MALFORMED, Why.COMPACTED]))
    def fails(self, why):
        if not isinstance(self.step, m.Wait):
            self.feed(m.Failed(self.step.turn, Fault(why)))

    def changes(self, at):
        """What changed at a revision."""
        old, new = self.states.get((self.cluster, at - 1)), self.state(at)
        keys = sorted(old.keys() | new.keys()) if old is not None else ()
        return [Change(key, at, new.get(key)) for key in keys if old.get(key) != new.get(key)]

    @rule(back=st.integers(0, 3), n=st.integers(0, 4), put=st.booleans())
    def repeats(self, back, n, put):
        """A member tells something new, and with it again what it had told before."""
        step = self.step
        if not (isinstance(step, m.OpenWatch) and self.opened) or self.long_poll:
            return
        if self.behind[step.member] is not None or self.told < self.revision or self.told < self.compacted:
            return
        at = self.told - back
        if (self.cluster, at) not in self.states:
            return
        self.commit([(n, put)])
        self.told = self.revision
        again = self.changes(at)
        new = self.changes(self.revision)
        if new:
            self.feed(m.Changed(step.turn, str(self.cluster), self.revision, tuple(new + again)))

    @rule()
    def an_answer_to_an_older_turn_comes_late(self):
        before = (self.session.revision, self.session.turn)
        late = m.PageRead(self.step.turn - 1, str(self.cluster), 1, (), None)
        assert self.session.handle(self.now, late) == []
        assert (self.session.revision, self.session.turn) == before

    @invariant()
    def something_is_always_under_way(self):
        if hasattr(self, "step"):
            assert self.step.turn == self.session.turn

    def teardown(self):
        """Once all is well, the view is the registry's state within a bounded number of steps."""
        if not hasattr(self, "step"):
            return
        self.behind = [None] * self.members
        self.commit([(0, True)])
        for _ in range(200):
            if not self.answer():
                break
        assert self.session.fresh and self.view.revision == self.revision
        assert self.view.cluster == ("consul" if self.long_poll else str(self.cluster))


class FollowByPolling(Follow):
    """The same with blocking queries: no cluster is named, and each answer is the whole list."""

    long_poll = True

    @precondition(lambda self: False)
    @rule()
    def restore(self):
        """Without a cluster id only the leader's word counts: see test_client."""

    def show(self, view):
        assert view.revision >= self.view.revision
        have = {key: entry.item for key, entry in view.entries.items()}
        assert have == self.states[1, view.revision]
        self.view = view

    def page(self, step, there):
        self.feed(m.PageRead(step.turn, "consul", there, tuple(self.state(there).values()), None, False))

    def watch(self, step, there):
        if there <= step.revision and self.behind[step.member] is None:
            return False
        self.feed(m.Listed(step.turn, there, tuple(self.state(there).values())))
        return True


LONG = settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestFollow, TestFollowByPolling = Follow.TestCase, FollowByPolling.TestCase
TestFollow.settings = TestFollowByPolling.settings = LONG


@pytest.mark.parametrize("kind", [Follow, FollowByPolling])
@pytest.mark.parametrize("seed", range(4))
def test_long_random_histories(kind, seed):
    """The same machine by a plain draw: hypothesis seldom finds histories that need many steps in a row."""
    rng = Random(seed)
    for run in range(100):
        machine = kind()
        machine.begin(seed=run, members=rng.randint(1, 3))
        for _ in range(60):
            what, coin = rng.choices("clfrx-", (4, 3, 2, 1, 1, kind is Follow))[0], rng.random() < 0.5
            if what == "c":
                machine.change([(rng.randrange(5), rng.random() < 0.6) for _ in range(rng.randint(1, 3))])
            elif what == "l":
                machine.lag(rng.randrange(3), rng.random() < 0.6, coin)
            elif what == "f":
                machine.fails(rng.choice([Why.BROKEN, Why.SILENT, Why.MALFORMED, Why.COMPACTED]))
            elif what == "r":
                machine.repeats(rng.randrange(4), rng.randrange(5), coin)
            elif what == "x":
                machine.compact()
            elif machine.cluster < 3 and coin:
                machine.restore(rng.randrange(4))
            machine.goes_on(rng.randint(0, 8))
        machine.teardown()


def peak(waits_of, clients=1000):
    """The most tries within any second, once 10 s have passed since all lost the registry at once."""
    tries = []
    for n in range(clients):
        at, waits = 0.0, waits_of(n)
        while at < 60_000:
            at += waits()
            tries.append(at)
    tries.sort()
    late = [t for t in tries if t >= 10_000]
    most, first = 0, 0
    for last, t in enumerate(late):
        while late[first] < t - 1000:
            first += 1
        most = max(most, last - first + 1)
    return most


def test_a_thousand_clients_do_not_stampede():
    def jittered(n):
        return Backoff(100.0, 5000.0, Random(n)).next_ms

    def alike(_n):
        backoff = Backoff(100.0, 5000.0, Random(0))

        def wait():
            backoff.next_ms()
            return min(100.0 * 2 ** (backoff.failures - 1), 5000.0)

        return wait

    with_jitter, without = peak(jittered), peak(alike)
    assert without >= 1000  # all come together, time after time
    assert with_jitter < 0.5 * without
    print(f"peak reconnects a second: {with_jitter} with jitter, {without} without")


def test_members_are_tried_in_turn_from_a_start_of_each_clients_own():
    starts = {Members(5, Random(n)).now for n in range(50)}
    assert starts == set(range(5))
    members = Members(3, Random(1))
    order = [members.now, members.next(), members.next()]
    assert sorted(order) == [0, 1, 2] and not members.round_over
    members.next()
    assert members.round_over
    members.well()
    assert not members.round_over


@pytest.mark.parametrize("why", [Why.BROKEN, Why.NO_LEADER, Why.DENIED, Why.BEHIND, Why.MALFORMED])
def test_failures_wait_ever_longer_up_to_the_bound(why):
    session = Session(Rules(2, backoff_ms=100.0, backoff_most_ms=1000.0), Random(3))
    step, waits = session.handle(0.0, m.Begin())[-1], []
    for _ in range(40):
        (wait,) = [a for a in session.handle(0.0, m.Failed(step.turn, Fault(why))) if isinstance(a, m.Wait)]
        waits.append(wait.delay_ms)
        step = session.handle(0.0, m.Due(wait.turn))[-1]
    assert max(waits) <= 1000.0 and sum(waits[20:]) > 3 * sum(waits[:4]) and min(waits) >= 10.0
