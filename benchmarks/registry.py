"""`python -m benchmarks.registry`: what it costs, and how long it takes, to hear of a registry's changes.

The stand-in registry runs in a process of its own; the client and the host that is told run in another, new
for each cell.  Beside the watch the same changes are followed by reading the whole list every second, as a
user would do otherwise.  Parts:

    follow     fleets x rates: from commit to told, CPU a change, bytes, memory; etcd's watch, Consul, polling
    recover    full read, and whole again after a compaction; the longest step of the event loop
    outage     a whole site under load while its registry is away for 10 s
"""

import argparse
import gc
import json
import multiprocessing
import tempfile
import time
from pathlib import Path
from random import Random

import matplotlib
import numpy as np
import trio
from hdrh.histogram import HdrHistogram

from molespur import config
from molespur.config import ClusterList
from molespur.net.cluster import Cluster
from molespur.net.counters import Counters
from molespur.net.wheel import Clock, Wheel
from molespur.registry import model as m
from molespur.registry.client import Client
from molespur.registry.consul import Consul
from molespur.registry.etcd import Etcd
from molespur.registry.http import Link
from molespur.registry.session import Rules, Session
from molespur.registry.source import Teller
from molespur.registry.view import View, rebuilt

matplotlib.use("svg")
from matplotlib import pyplot

PREFIX, KINDS = "w/", ("etcd", "consul", "poll")
OUT = Path(__file__).parents[1] / "docs" / "measurements"


def record(n: int, stamp: float) -> bytes:
    """A worker whose capacity hint changes; `boot_ms` stays, so that it is the same worker."""
    endpoint = f"127.{n // 60000 + 1}.0.1:{n % 60000 + 1}"
    return json.dumps(
        {"uid": f"w{n}", "endpoint": endpoint, "az": f"z{n % 3}", "model": "k", "capacity_hint": stamp}
    ).encode()


# -- The registry's process ----------------------------------------------------------------------


def registry_process(pipe, workers: int) -> None:
    """A stand-in with so many workers; commits changes at a rate when told to."""
    from molespur.standins.registry import Registry

    async def main():
        registry = Registry()
        registry.store.commit([(f"{PREFIX}w{n}", record(n, 1.0), 0) for n in range(workers)])
        async with trio.open_nursery() as nursery:
            pipe.send((await nursery.start(registry.listen))[0])
            while True:
                told = await trio.to_thread.run_sync(pipe.recv)
                if told is None:
                    nursery.cancel_scope.cancel()
                    return
                what, *rest = told
                if what == "compact":
                    churn(registry.store, workers, *rest)
                    registry.store.compact()
                    await registry.members[0].drop_all()
                    pipe.send(time.monotonic())
                else:
                    await changes(registry.store, workers, *rest)
                    pipe.send("done")

    trio.run(main)


def churn(store, workers: int, seed: int) -> None:
    """A tenth of the fleet changes at once."""
    rng = Random(seed)
    for n in rng.sample(range(workers), max(workers // 10, 1)):
        store.put(f"{PREFIX}w{n}", record(n, rng.uniform(1, 9)))


async def changes(store, workers: int, rate: float, seconds: float, seed: int) -> None:
    """Changes on schedule; each carries the moment of its commit."""
    rng, start = Random(seed), trio.current_time()
    for n in range(int(rate * seconds)):
        await trio.sleep_until(start + n / rate)
        worker = rng.randrange(workers)
        store.put(f"{PREFIX}w{worker}", record(worker, time.monotonic()))


class FarRegistry:
    """The other process."""

    def __init__(self, workers: int):
        context = multiprocessing.get_context("spawn")
        self.pipe, theirs = context.Pipe()
        self.process = context.Process(target=registry_process, args=(theirs, workers), daemon=True)
        self.process.start()
        self.address = self.pipe.recv()

    async def do(self, *what):
        self.pipe.send(what)
        return await trio.to_thread.run_sync(self.pipe.recv)

    def end(self) -> None:
        self.pipe.send(None)
        self.process.join(10)


# -- This side -----------------------------------------------------------------------------------


class Loop(trio.abc.Instrument):
    """The longest step of any task, in ms of CPU time of this thread."""

    def __init__(self):
        self.began = self.longest = 0.0

    def before_task_step(self, _task):
        self.began = time.thread_time()

    def after_task_step(self, _task):
        self.longest = max(self.longest, (time.thread_time() - self.began) * 1000)


class Ear:
    """A host that is told and decides nothing: the time from each commit to its being told."""

    def __init__(self):
        self.late, self.told, self.listening = HdrHistogram(1, 60_000_000, 3), 0, False

    def deliver(self, news) -> None:
        now = time.monotonic()
        if self.listening:
            for entry in news.entries:
                self.told += 1
                self.late.record_value(max(int((now - entry.power) * 1e6), 1))

    def place(self, *_): ...

    def drop(self, *_): ...


def follower(kind: str, address, nursery, ear: Ear):
    """What follows the registry, begun: its counters, and whether it holds so many workers."""
    clock, wheel, counters = Clock(), Wheel(4.0), Counters()
    nursery.start_soon(wheel.run)
    cluster = Cluster(ClusterList(0, True, []), clock, ear, ear)
    teller = Teller(cluster, wheel, clock, counters)
    nursery.start_soon(teller.run)
    if kind == "poll":
        nursery.start_soon(poll, address, teller, counters)
        return cluster, counters
    protocol = Etcd(PREFIX) if kind == "etcd" else Consul(PREFIX)
    rules = Rules(1, kind == "consul", pause_ms=20.0 if kind == "consul" else 0.0)
    client = Client(
        Session(rules, Random(1)), protocol, [address], wheel, clock, counters,
        lambda _view, delta: teller.told(delta), lambda _fresh: None,
    )  # fmt: skip
    nursery.start_soon(client.run)
    return cluster, counters


async def poll(address, teller: Teller, counters: Counters) -> None:
    """The whole list every second, compared with the one before."""
    protocol, view = Etcd(PREFIX, page=100_000), View()

    def count(size):
        counters["registry.bytes"] += size

    link = await Link.open(address, counted=count)
    while True:
        due = trio.current_time() + 1
        event, parts = protocol.page(0, await link.ask(protocol.read(m.ReadPage(0, 0))))
        items = [item for part in parts for item in part]
        view, delta, _ = rebuilt(view, event.cluster, event.revision, items)
        await teller.told(delta)
        await trio.sleep_until(due)


def resident_mb() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096 / 2**20


async def follow(kind: str, workers: int, rate: float, seconds: float) -> dict:
    """One cell of the table."""
    far = FarRegistry(workers)
    ear, row = Ear(), {}
    try:
        async with trio.open_nursery() as nursery:
            before = resident_mb()
            cluster, counters = follower(kind, far.address, nursery, ear)
            with trio.fail_after(120):
                while len(cluster.lifecycles) < workers:
                    await trio.sleep(0.01)
            await trio.sleep(1.5)
            gc.collect()
            row["memory_mb"] = resident_mb() - before
            ear.listening, bytes_before, cpu = True, counters["registry.bytes"], time.process_time()
            await far.do("changes", rate, seconds, 7)
            await trio.sleep(1.5)
            cpu = time.process_time() - cpu
            wanted = int(rate * seconds)
            row |= {
                "kind": kind, "workers": workers, "rate": rate, "changes": wanted, "told": ear.told,
                "p50_ms": ear.late.get_value_at_percentile(50) / 1000,
                "p99_ms": ear.late.get_value_at_percentile(99) / 1000,
                "p999_ms": ear.late.get_value_at_percentile(99.9) / 1000,
                "cpu_ms_a_change": cpu * 1000 / wanted,
                "bytes_a_change": (counters["registry.bytes"] - bytes_before) / wanted,
            }  # fmt: skip
            nursery.cancel_scope.cancel()
    finally:
        far.end()
    return row


def recover(workers: int) -> dict:
    """Full read, and whole again after a tenth changed in a gap that was compacted."""
    row, loop = {"workers": workers}, Loop()

    async def main():
        far = FarRegistry(workers)
        try:
            async with trio.open_nursery() as nursery:
                started = time.monotonic()
                cluster, counters = follower("etcd", far.address, nursery, Ear())
                with trio.fail_after(120):
                    while len(cluster.lifecycles) < workers:
                        await trio.sleep(0.001)
                row["full_read_ms"] = (time.monotonic() - started) * 1000
                await trio.sleep(1)
                at = await far.do("compact", 5)
                with trio.fail_after(60):
                    while counters["registry.read"] < 2:
                        await trio.sleep(0.001)
                row["whole_again_ms"] = (time.monotonic() - at) * 1000
                row["longest_step_ms"] = loop.longest
                nursery.cancel_scope.cancel()
        finally:
            far.end()

    gc.collect()
    gc.freeze()
    trio.run(main, instruments=[loop])
    return row


def module_cost(workers: int) -> dict:
    """What one change costs the decision module itself, which the telling is paced by."""
    from molespur import Dispatcher
    from molespur.interface import FleetUpdate, Started, UpdateMode, WorkerEntry
    from molespur.standins.jobs import SETTINGS

    dispatcher = Dispatcher(config.read_settings(SETTINGS)[0], 1)
    dispatcher.handle(0.0, Started())
    entries = tuple(WorkerEntry(f"w{n}", f"z{n % 3}", "k") for n in range(workers))
    dispatcher.handle(0.0, FleetUpdate(UpdateMode.COMPLETE, entries))
    costs = []
    for n in range(20):
        began = time.perf_counter()
        dispatcher.handle(1.0 + n, FleetUpdate(UpdateMode.PARTIAL, entries[n % workers : n % workers + 1]))
        costs.append((time.perf_counter() - began) * 1000)
    return {"workers": workers, "module_ms_a_telling": float(np.median(costs))}


async def outage(kind: str, rate: float = 100.0) -> dict:
    """A site under load; its registry away from the 5th to the 15th second, a drain and a death meanwhile."""
    from molespur.standins.jobs import Jobs
    from molespur.standins.site import Site

    async with trio.open_nursery() as nursery:
        site = Site(nursery, kind, ttl_s=30)
        await site.start_registry()
        workers = [await site.start_worker(uid=f"records-{n}") for n in range(6)]
        with tempfile.TemporaryDirectory() as folder:
            scheduler = await site.start_scheduler(folder)
            await trio.sleep(1)
            jobs, end = Jobs(scheduler.address, rate, 20.0), {}

            async def away():
                await trio.sleep(5)
                for member in site.registry.members:
                    member.faults.refuse = True
                    await member.drop_all()
                await trio.sleep(5)
                site.registry.store.put("molespur/workers/records-0", json.dumps(
                    {"uid": "records-0", "endpoint": "{}:{}".format(*workers[0].address), "state": "leaving"}
                ).encode())  # fmt: skip
                await trio.sleep(5)
                for member in site.registry.members:
                    member.faults.refuse = False
                end["back"] = trio.current_time()

            nursery.start_soon(away)
            tally = await jobs.run()
            counters = await scheduler.stop()
        row = {"kind": kind, "jobs": len(tally.took_ms)}
        row |= {name: tally.ends[name] for name in ("served", "refused", "failed", "lost")}
        row["p99_ms"] = float(np.percentile(tally.took_ms, 99))
        row["drain_heard_s"] = workers[0].last_taken - end["back"]
        row["full_reads"] = counters.get("registry.read", 0)
        nursery.cancel_scope.cancel()
    return row


def cell(pipe, function, *args) -> None:
    """Run one part in this new process and send what came of it."""
    pipe.send(trio.run(function, *args) if function in (follow, outage) else function(*args))


def alone(function, *args) -> dict:
    """A part in a process of its own, so that memory and garbage of one are not another's."""
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=cell, args=(theirs, function, *args))
    process.start()
    theirs.close()
    got = ours.recv()
    process.join(30)
    print(got, flush=True)
    return got


def table(rows: list[dict]) -> str:
    """Markdown."""
    names = list(dict.fromkeys(name for row in rows for name in row))

    def text(value):
        if isinstance(value, float):
            return f"{value:,.2f}"
        return f"{value:,}" if isinstance(value, int) else str(value)

    lines = ["| " + " | ".join(names) + " |", "| " + " | ".join("---" for _ in names) + " |"]
    lines += ["| " + " | ".join(text(row.get(name, "")) for name in names) + " |" for row in rows]
    return "\n".join(lines)


def chart(rows: list[dict], path: Path) -> None:
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.6), constrained_layout=True)
    for kind in KINDS:
        mine = [r for r in rows if r["kind"] == kind and r["rate"] == 100]
        sizes = [r["workers"] for r in mine]
        left.loglog(sizes, [r["p99_ms"] for r in mine], "o-", label=kind)
        right.loglog(sizes, [r["cpu_ms_a_change"] for r in mine], "o-", label=kind)
    left.set(title="99th percentile, commit to told", xlabel="workers", ylabel="ms")
    right.set(title="CPU a change", xlabel="workers", ylabel="ms")
    left.axhline(20, color="grey", linewidth=0.8, linestyle=":")
    left.legend()
    figure.savefig(path, metadata={"Date": None})


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=5.0, help="of changes in each cell")
    parser.add_argument("--quick", action="store_true", help="few cells, short: to see that it runs")
    given = parser.parse_args()
    sizes, rates = ((10, 100), (100,)) if given.quick else ((10, 100, 1_000, 10_000), (1, 10, 100, 1_000))
    rows = []
    for workers in sizes:
        for rate in rates:
            for kind in KINDS:
                if kind != "etcd" and rate not in (1, 100):
                    continue
                seconds = given.seconds if rate >= 10 else given.seconds * 2
                rows.append(alone(follow, kind, workers, rate, seconds))
    recovered = [alone(recover, workers) for workers in sizes]
    costs = [alone(module_cost, workers) for workers in sizes]
    away = [alone(outage, kind) for kind in ("etcd", "consul")] if not given.quick else []
    columns = (
        "kind", "workers", "rate", "changes", "told", "p50_ms", "p99_ms", "p999_ms", "cpu_ms_a_change",
        "bytes_a_change", "memory_mb",
    )  # fmt: skip
    text = f"""# Following a registry

By `python -m benchmarks.registry`; the stand-in registry in a process of its own, the client in another, on
one machine.  *Told* is when the decision module would be handed the change (a host that decides nothing
stands in for it, so that the figures are the registry's own; the module's cost is below).  *poll* reads the
whole list every second.

{table([{k: r[k] for k in columns} for r in rows])}

`told` may be less than `changes` where two changes of one worker were told as one.  At one change a second
the poll keeps step with the changes, so its lateness there is a matter of phase; see it at 100.

![time and CPU](registry.svg)

## Full read, and whole again after a compaction

A tenth of the workers change in a gap that is compacted, and the connection drops.  The longest step is CPU
time that the event loop was held by one task, over all of it.

{table(recovered)}

## What the decision module itself takes for one telling

{table(costs)}

## A whole site, its registry away for 10 s

100 jobs a second for 20 s on six workers, real processes; the registry refuses all connections from the 5th
to the 15th second, and a drain committed in between is heard on return (`drain_heard_s`: the last job that
this worker took, counted from the return).

{table(away)}
"""
    if given.quick:
        print(text)
        return
    OUT.mkdir(exist_ok=True)
    (OUT / "registry.md").write_text(text)
    told = {"follow": rows, "recover": recovered, "module": costs, "outage": away}
    (OUT / "registry.json").write_text(json.dumps(told))
    chart(rows, OUT / "registry.svg")


if __name__ == "__main__":
    main()
