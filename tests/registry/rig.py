"""A registry's client and its stand-in, joined in memory under the mock clock; every view is checked."""

from random import Random

import msgspec
import trio
from trio.testing import MockClock, memory_stream_pair, wait_all_tasks_blocked

from molespur.net.counters import Counters
from molespur.net.wheel import Clock, Wheel
from molespur.registry.client import Client
from molespur.registry.consul import Consul
from molespur.registry.etcd import Etcd
from molespur.registry.session import Rules, Session
from molespur.standins.checker import faults
from molespur.standins.registry import Registry

PREFIX = "w/"


def record(n=1, **more):
    given = {"uid": f"w{n}", "endpoint": f"127.0.0.1:{3000 + n}", "az": "z", "model": "k"} | more
    return msgspec.json.encode(given)


class Rig:
    """One client of a stand-in registry of some members."""

    def __init__(self, nursery, kind="etcd", members=1, page=2, seed=1, user="", **options):
        self.nursery, self.registry = nursery, Registry(members, user, "secret" if user else "")
        self.store, self.members = self.registry.store, self.registry.members
        self.counters, self.wheel = Counters(), Wheel(4.0)
        self.views, self.deltas, self.standing, self.told_at = [], [], [], []
        if kind == "etcd":
            protocol = Etcd(PREFIX, page, user, "secret" if user else "")
        else:
            protocol = Consul(PREFIX, wait_ms=5000.0, **options)
        rules = Rules(members, kind == "consul", bool(user), 100.0, 2000.0, 20.0 if kind == "consul" else 0.0)
        self.client = Client(
            Session(rules, Random(seed)), protocol, [("m", n) for n in range(members)], self.wheel, Clock(),
            self.counters, self.told, self.standing.append, silence_ms=8000.0, dial=self.dial,
        )  # fmt: skip

    async def dial(self, address):
        member = self.members[address[1]]
        if member.faults.refuse:
            raise ConnectionRefusedError("refused")
        ours, theirs = memory_stream_pair()
        self.nursery.start_soon(member.serve, theirs)
        return ours

    async def told(self, view, delta):
        self.views.append(view)
        self.deltas.append(delta)
        self.told_at.append(trio.current_time())

    def start(self):
        self.nursery.start_soon(self.wheel.run)
        self.nursery.start_soon(self.registry.run)
        self.nursery.start_soon(self.client.run)

    def put(self, n, **more):
        self.store.put(f"{PREFIX}w{n}", record(n, **more))

    def delete(self, n):
        self.store.delete(f"{PREFIX}w{n}")

    @property
    def shown(self):
        """uid -> state of the workers that the newest view shows."""
        return {uid: r.state for uid, r in self.client.view.workers.items()}

    async def until(self, condition, seconds=30):
        """Let time pass until the condition holds."""
        with trio.fail_after(seconds):
            while not condition():
                await trio.sleep(0.01)
        await wait_all_tasks_blocked()

    async def whole(self, seconds=30):
        """Until the client's view is the registry's state."""

        def same():
            found, _ = self.store.range(PREFIX, PREFIX + "\U0010ffff")
            have = {k: e.item.value for k, e in self.client.view.entries.items()}
            return have == {k: s.value for k, s in found} and self.client.session.fresh

        await self.until(same, seconds)

    def gone(self):
        """Every uid that was ever told gone."""
        return {uid for delta in self.deltas for uid in delta.gone}

    def check(self):
        assert faults(self.store.history, PREFIX, self.views) == []


def play(scenario, **options):
    """Run `async scenario(rig)`; every view that the client saw is checked against the stand-in's history."""

    async def main():
        async with trio.open_nursery() as nursery:
            rig = Rig(nursery, **options)
            await scenario(rig)
            rig.check()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
