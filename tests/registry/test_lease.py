"""A worker's registration: it knows that it may be unlisted before the registry's time is up."""

from random import Random

import trio
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from rig import PREFIX, Rig
from trio.testing import MockClock

from molespur.registry import lease as le
from molespur.registry.model import Fault, Why
from molespur.registry.records import Record
from molespur.registry.registration import Registrar

TTL = 9000.0


class Lease(RuleBasedStateMachine):
    """A registry whose clock runs from when it took a request; requests and answers may be lost."""

    @initialize(seed=st.integers(0, 999))
    def begin(self, seed):
        self.now, self.deadlines, self.key = 0.0, {}, None  # key: (lease, leaving)
        self.machine = le.Registration(TTL / 1000, 2, Random(seed))
        self.step = None
        self.feed(le.Register())

    def feed(self, event):
        for action in self.machine.handle(self.now, event):
            if isinstance(action, (le.Exchange, le.Wait)):
                self.step = action

    def pass_ms(self, ms):
        self.now += ms
        for lease, until in list(self.deadlines.items()):
            if self.now >= until:
                del self.deadlines[lease]
                if self.key and self.key[0] == lease:
                    self.key = None

    @rule(
        there=st.floats(0, 1400), back=st.floats(0, 1400), lost=st.sampled_from(["", "", "", "ask", "answer"])
    )
    def goes_on(self, there, back, lost):
        """The step is carried out, or its request or its answer is lost."""
        step = self.step
        if isinstance(step, le.Wait):
            self.pass_ms(step.delay_ms)
            self.feed(le.Due(step.turn))
            return
        self.pass_ms(there)
        event = le.Done(step.turn)
        if lost != "ask":
            if isinstance(step, le.Grant):
                event = le.Done(step.turn, str(step.turn))
                self.deadlines[event.lease] = self.now + TTL
            elif step.lease not in self.deadlines:
                event = le.NotSo(step.turn)
            elif isinstance(step, le.KeepAlive):
                self.deadlines[step.lease] = self.now + TTL
            elif isinstance(step, le.Put):
                self.key = (step.lease, step.leaving)
            else:
                del self.deadlines[step.lease]
                self.key = None if self.key and self.key[0] == step.lease else self.key
        self.pass_ms(back)
        self.feed(le.Failed(step.turn, Fault(Why.BROKEN)) if lost else event)

    @rule()
    def drain(self):
        self.feed(le.Drain())

    @rule()
    def lease_is_revoked_by_an_operator(self):
        if self.machine.listed:
            return  # what an operator does behind its back the worker learns at its next keepalive
        self.deadlines.clear()
        self.key = None

    @invariant()
    def listed_means_listed(self):
        machine = getattr(self, "machine", None)
        if machine is not None and machine.listed and self.now < machine.safe_until:
            assert self.key is not None and self.now < max(self.deadlines.values())

    def teardown(self):
        """With the registry well again it is listed within two times to live, and then leaves."""
        if not hasattr(self, "step"):
            return
        until = self.now + 2 * TTL
        while self.now < until:
            self.goes_on(5.0, 5.0, "")
        assert self.machine.listed and self.key[1] == self.machine.leaving
        self.feed(le.Leave())
        for _ in range(3):
            if not self.machine.over:
                self.goes_on(5.0, 5.0, "")
        assert self.machine.over and self.key is None


TestLease = Lease.TestCase
TestLease.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None, derandomize=True,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip


def play(scenario, kind="etcd", ttl=3):
    async def main():
        async with trio.open_nursery() as nursery:
            rig = Rig(nursery, kind, members=2)
            rig.start()
            told = []
            machine = le.Registration(ttl, 2, Random(1))
            registrar = Registrar(
                machine, rig.client.protocol, [("m", 0), ("m", 1)], f"{PREFIX}w1",
                Record("127.0.0.1:3001", "w1", boot_ms=5.0), rig.wheel, rig.client.clock, rig.counters,
                lambda listed: told.append((listed, trio.current_time())), rig.dial,
            )  # fmt: skip
            await scenario(rig, registrar, told, nursery)
            rig.check()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_registers_drains_and_leaves():
    async def scenario(rig, registrar, told, nursery):
        nursery.start_soon(registrar.run)
        await rig.until(lambda: rig.shown == {"w1": "active"})
        await trio.sleep(20)
        assert rig.shown == {"w1": "active"} and [listed for listed, _ in told] == [True]
        registrar.drain()
        await rig.until(lambda: rig.shown == {"w1": "leaving"}, 0.5)
        registrar.leave()
        await rig.until(lambda: rig.shown == {}, 0.5)

    for kind in ("etcd", "consul"):
        play(scenario, kind)


def test_the_worker_notices_a_lost_keepalive_before_the_registrys_time_is_up():
    async def scenario(rig, registrar, told, nursery):
        nursery.start_soon(registrar.run)
        await rig.until(lambda: told and rig.shown == {"w1": "active"})
        for member in rig.members:
            member.faults.stall = True
        ended = []

        async def until_expired():
            while rig.store.leases:
                await trio.sleep(0.01)
            ended.append(trio.current_time())

        nursery.start_soon(until_expired)
        await rig.until(lambda: ended and len(told) == 2)
        assert told[1][0] is False and told[1][1] < ended[0]
        for member in rig.members:
            member.faults.stall = False
        await rig.until(lambda: rig.shown == {"w1": "active"} and told[-1][0])

    for kind in ("etcd", "consul"):
        play(scenario, kind)


def test_a_lease_whose_clock_is_stopped_lives_on():
    async def scenario(rig, registrar, told, nursery):
        nursery.start_soon(registrar.run)
        await rig.until(lambda: rig.shown == {"w1": "active"})
        rig.store.leases_stopped = True
        for member in rig.members:
            member.faults.status = 503
        await trio.sleep(10)
        assert len(rig.store.leases) == 1 and told[-1][0] is False  # it can't know, so it counts on nothing
        for member in rig.members:
            member.faults.status = 0
        await rig.until(lambda: told[-1][0])
        assert rig.shown == {"w1": "active"}

    play(scenario)
