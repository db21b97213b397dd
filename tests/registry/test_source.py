"""A registry as the cluster's source: the rules hold as with discovery, in whole scenarios."""

import itertools
import os
import time
from random import Random

import pytest
import scenario
import trio
from rig import PREFIX, Rig, record
from scenario import SETTINGS, play
from trio.testing import MockClock, memory_stream_pair

from molespur import Dispatcher, config
from molespur.config import deployment
from molespur.interface import Lifecycle, Started
from molespur.net.cluster import Cluster
from molespur.net.counters import Counters
from molespur.net.host import Host
from molespur.net.wheel import Clock, Wheel
from molespur.registry.model import Item
from molespur.registry.pace import Pace
from molespur.registry.source import FileSource, RegistrySource, Teller
from molespur.registry.view import Edit, View, rebuilt
from molespur.standins.registry import Registry

BOTH = pytest.mark.parametrize("kind", ["etcd", "consul"])
CASES = {
    "workers that the registry lists are sent jobs, and what the platform knew before is gone": """
        g put w2
        told w2 active
        told w1 none
        a send lookup r1
        w2 expect r1
        w2 send r1 done hello
        a expect 200 hello""",
    "a drained worker gets nothing new, and finishes what it has": """
        g put w2
        told w2 active
        a send lookup r1
        w2 expect r1
        g put w2 leaving
        told w2 leaving
        g put w3
        told w3 active
        b send lookup r2
        w3 expect r2
        w3 send r2 done two
        b expect 200 two
        w2 send r1 done one
        a expect 200 one""",
    "a drain told while a connection is being made stops the send": """
        g put w2
        told w2 active
        w2 slow 100
        a send assessment r1
        wait 50
        g put w2 leaving
        told w2 leaving
        wait 200
        count sent.moot 1
        count sent.timeout 0
        g put w3
        w3 expect r1
        w3 send r1 done three
        a expect 200 three""",
    "a worker that ends while a connection is being made is sent nothing": """
        g put w2
        told w2 active
        w2 slow 100
        a send assessment r1
        wait 50
        g delete w2
        told w2 none
        wait 200
        count sent.moot 1""",
    "drained, then expired, then registered again under the same uid: cold, and no connection is kept": """
        g put w2 boot=1000
        told w2 active
        born w2 1000
        a send lookup r1
        w2 send r1 done one
        a expect 200 one
        g put w2 leaving boot=1000
        told w2 leaving
        g delete w2
        told w2 none
        g put w2 boot=7000
        told w2 active
        born w2 7000
        a send lookup r2
        w2 send r2 done two
        a expect 200 two
        count upstream.dialled 2""",
    "a registry gone for 10 s: scheduling carries on, and on return every change is there": """
        g put w2
        g put w3
        told w3 active
        g away
        w2 refuse
        a send lookup r1
        w3 expect r1
        w3 send r1 done one
        a expect 200 one
        wait 5000
        g put w4
        g delete w2
        g compact
        wait 5000
        a send lookup r2
        w3 send r2 done two
        a expect 200 two
        told w4 none
        g back
        told w4 active
        told w2 none
        told w3 active
        count answered.refused 0
        count answered.failed 0""",
    "a compaction drops no worker that stayed: its connections are kept": """
        g put w2
        told w2 active
        a send lookup r1
        w2 send r1 done one
        a expect 200 one
        g away
        g put w3
        g delete w3
        g put w4 leaving
        g compact
        g back
        told w4 leaving
        told w2 active
        a send lookup r2
        w2 send r2 done two
        a expect 200 two
        count upstream.dialled 1""",
}


@BOTH
@pytest.mark.parametrize("name", [n for n in CASES if "connection is being made" not in n])
def test_scenario(name, kind):
    play(CASES[name], registry=kind)


@pytest.mark.parametrize("name", [n for n in CASES if "connection is being made" in n])
def test_scenario_while_connecting(name):
    play(CASES[name], registry="etcd")


class NoUpstream:
    """Takes note of places only."""

    def __init__(self):
        self.hosts = {}

    def place(self, uid, address, started, wanted=True):
        self.hosts[uid] = address

    def drop(self, uid):
        self.hosts.pop(uid, None)


def told_to(clock, pace, wheel=None):
    """A host that decides nothing, and a teller that tells it."""
    told = []
    upstream = NoUpstream()
    host = type("H", (), {"deliver": staticmethod(told.append)})()
    cluster = Cluster(config.ClusterList(0, True, []), clock, host, upstream)
    return told, cluster, Teller(cluster, wheel or Wheel(4.0), clock, Counters(), pace)


def test_ends_and_drains_are_in_force_before_the_module_is_told_of_anything():
    async def main():
        told, cluster, teller = told_to(Clock(), Pace())
        first, delta, _ = rebuilt(View(), "1", 1, [Item(f"w{n}", record(n), 1, 1) for n in range(3)])
        await teller.told(delta)
        await teller.told(rebuilt(first, "1", 2, [Item("w1", record(1, state="leaving"), 1, 2)])[1])
        assert cluster.lifecycle("w0") is None and cluster.lifecycle("w2") is None
        assert cluster.lifecycle("w1") is Lifecycle.DRAINING and not told

    trio.run(main, clock=MockClock())


def test_changes_that_come_faster_than_the_module_takes_them_are_told_together():
    async def main():
        clock = Clock()
        told, _, teller = told_to(clock, Pace(share=0.25))
        teller.cluster.host.deliver = lambda event: (told.append(event), time.sleep(0.002))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(teller.wheel.run)
            nursery.start_soon(teller.run)
            view = View()
            for n in range(500):
                view, delta, _ = rebuilt(view, "1", n, [Item("w1", record(1, boot_ms=float(n)), 1, n)])
                await teller.told(delta)
                await trio.sleep(0.001)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        assert len(told) < 300 and told[-1].entries[0].born_ms == 499.0

    trio.run(main, clock=MockClock(autojump_threshold=0))


class Steps(trio.abc.Instrument):
    """Counts what is done in one step of a task, that is, without letting others go on."""

    def __init__(self):
        self.now = self.most = 0

    def before_task_step(self, _task):
        self.now = 0

    def counted(self, function):
        def call(*args):
            self.now += len(args[1]) if isinstance(args[1], list) else 1
            self.most = max(self.most, self.now)
            return function(*args)

        return call


def test_ten_thousand_workers_appear_leave_and_churn_in_bounded_memory(monkeypatch):
    """What remains at the end, and how much is done at a time: the figures in ms are in docs/measurements."""
    many, steps = 10_000, Steps()
    for name in ("put", "_shown"):
        monkeypatch.setattr(Edit, name, steps.counted(getattr(Edit, name)))
    monkeypatch.setattr(Cluster, "apply", steps.counted(Cluster.apply))

    async def churned(rig):
        told, cluster, teller = told_to(rig.client.clock, Pace(), rig.wheel)
        rig.client.told = lambda _view, delta: teller.told(delta)
        rig.store.commit([(f"{PREFIX}w{n}", record(n), 0) for n in range(many)])
        rig.start()
        rig.nursery.start_soon(teller.run)
        await rig.until(lambda: len(cluster.lifecycles) == many)
        names = itertools.count(many)
        for _ in range(20):
            gone = [key for key, _ in rig.store.range(PREFIX, None, limit=1000)[0]]
            news = [next(names) for _ in range(1000)]
            rig.store.commit([(key, None, 0) for key in gone])
            rig.store.commit([(f"{PREFIX}w{n}", record(n % 60000), 0) for n in news])
            rig.store.compact()
            await rig.whole()
        assert len(cluster.lifecycles) == len(rig.client.view.entries) == len(cluster.upstream.hosts)
        await rig.until(lambda: not teller.pending)
        assert 256 <= steps.most <= 1000 and max(len(news.entries) for news in told) <= 256

    async def main():
        async with trio.open_nursery() as nursery:
            rig = Rig(nursery, page=500)
            await churned(rig)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0), instruments=[steps])


def test_the_module_is_told_by_a_real_host():
    """With the decision module behind it: those that left are not in service for it."""

    async def main():
        clock, wheel, counters = Clock(), Wheel(4.0), Counters()
        settings = config.read_settings(SETTINGS)[0]
        dispatcher, upstream = Dispatcher(settings, 1), NoUpstream()
        host = Host(dispatcher, clock, wheel, counters, settings, 100)
        cluster = Cluster(config.ClusterList(0, True, []), clock, host, upstream)
        cluster.source = type("S", (), {"watch": staticmethod(lambda: None)})()
        host.connect(upstream, cluster)
        teller = Teller(cluster, wheel, clock, counters)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wheel.run)
            nursery.start_soon(teller.run)
            host.deliver(Started())
            items = [Item(f"w{n}", record(n), 1, 1) for n in range(300)]
            view, delta, _ = rebuilt(View(), "1", 1, items)
            await teller.told(delta)
            await teller.told(rebuilt(view, "1", 2, items[100:])[1])
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
        assert len(dispatcher.live) == 200 and not any(w.id == "w5" for w in dispatcher.live)

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_pace_keeps_telling_to_its_share():
    pace, now, busy, rng = Pace(share=0.25, most_ms=1000.0), 0.0, 0.0, Random(1)
    for _ in range(1000):
        now += pace.wait_ms(now)
        cost = rng.uniform(0.1, 80.0)
        now += cost
        busy += cost
        pace.told(now, cost)
    assert 0.2 < busy / now <= 0.26
    pace = Pace(share=0.01, most_ms=50.0)
    pace.told(0.0, 1000.0)
    assert pace.wait_ms(0.0) == 50.0


def a_source(nursery, kind, registry, **options):
    """A registry's or a file's source, with a host that decides nothing."""
    told, cluster, teller = told_to(Clock(), Pace())
    nursery.start_soon(teller.wheel.run)
    given = deployment.Deployment(
        cluster=deployment.ClusterPart(source=kind, file=options.pop("file", "")),
        registry=deployment.Registry(prefix=PREFIX, endpoints=["127.0.0.1:1"], **options),
    )

    async def dial(_address):
        if registry.members[0].faults.refuse:
            raise ConnectionRefusedError("refused")
        ours, theirs = memory_stream_pair()
        nursery.start_soon(registry.members[0].serve, theirs)
        return ours

    parts = (given, scenario.make_config(), cluster, teller.wheel, teller.clock, Counters(), nursery)
    source = FileSource(*parts) if kind == "file" else RegistrySource(*parts, dial)
    cluster.source = source
    return told, cluster, source


def test_a_start_without_the_registry_begins_with_the_snapshot(tmp_path):
    path = str(tmp_path / "snapshot")

    async def main():
        registry = Registry()
        for n in (1, 2):
            registry.store.put(f"{PREFIX}w{n}", record(n))
        async with trio.open_nursery() as nursery:
            _, cluster, source = a_source(nursery, "etcd", registry, snapshot=path)
            source.start()
            with trio.fail_after(20):
                while not os.path.exists(path):
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        registry.members[0].faults.refuse = True
        async with trio.open_nursery() as nursery:
            # what the platform told is newer: the snapshot is left alone
            _, cluster, source = a_source(nursery, "etcd", registry, snapshot=path)
            cluster.known = config.ClusterList(1000, True, [])
            source.start()
            assert not source.client.view.workers
            nursery.cancel_scope.cancel()
        async with trio.open_nursery() as nursery:
            _, cluster, source = a_source(nursery, "etcd", registry, snapshot=path)
            source.start()
            await trio.sleep(2)
            assert set(cluster.lifecycles) == {"w1", "w2"} and not source.fresh
            # meanwhile one was removed: the full read finds it, and the other is not told again
            registry.store.delete(f"{PREFIX}w1")
            registry.members[0].faults.refuse = False
            with trio.fail_after(20):
                while set(cluster.lifecycles) != {"w2"}:
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        for content in (b"", b"molespur-registry-snapshot 1 00\n{}", os.urandom(100)):
            (tmp_path / "snapshot").write_bytes(content)
            async with trio.open_nursery() as nursery:
                _, cluster, source = a_source(nursery, "etcd", registry, snapshot=path)
                source.start()
                assert source.counters["registry.snapshot_refused"] == 1
                with trio.fail_after(20):
                    while set(cluster.lifecycles) != {"w2"}:
                        await trio.sleep(0.05)
                nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(rate=20))


def test_a_static_file_is_read_again_on_reload_and_a_faulty_one_leaves_the_old(tmp_path):
    path = tmp_path / "workers.json"

    def write(*workers):
        path.write_bytes(b'{"workers":[' + b",".join(record(n) for n in workers) + b"]}")

    async def main():
        async with trio.open_nursery() as nursery:
            _, cluster, source = a_source(nursery, "file", None, file=str(path))
            with pytest.raises(config.ConfigError, match=r"cluster\.file"):
                source.start()
            write(1, 2)
            source.start()
            await trio.sleep(1)
            assert set(cluster.lifecycles) == {"w1", "w2"}
            write(2, 3)
            source.move(("", 0))
            await trio.sleep(1)
            assert set(cluster.lifecycles) == {"w2", "w3"}
            path.write_text("{")
            source.move(("", 0))
            await trio.sleep(1)
            assert set(cluster.lifecycles) == {"w2", "w3"} and source.counters["cluster.errors"] == 1
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
