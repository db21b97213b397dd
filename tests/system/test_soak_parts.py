"""Parts of the soak: its course follows from the seed; the line between processes cuts, resets and heals."""

import asyncio
import itertools
import socket
from collections import Counter
from random import Random

import pytest

from molespur.system.demo.fleet import RPC_PORT
from molespur.system.soak import plan
from molespur.system.soak.fault_line import FaultLine
from molespur.system.soak.fleet import FRONT_PART, SoakFleet
from molespur.system.soak.model_worker import DECODE, PREFILL, ModelWorker
from molespur.system.soak.operators import MODEL_SERVICE, SERVICE
from molespur.system.soak.plain_worker import PlainWorker
from molespur.system.soak.records import Log
from molespur.system.soak.service_workers import ServiceWorkers

LENGTH_S = 300.0
PORT = 18990


def test_the_course_follows_from_the_seed():
    assert (
        plan.create_events(5, LENGTH_S) == plan.create_events(5, LENGTH_S) != plan.create_events(6, LENGTH_S)
    )


def test_all_kinds_of_faults_come():
    met = {event.fault for seed in range(10) for event in plan.create_events(seed, LENGTH_S)}
    assert met == set(plan.Fault)


@pytest.mark.parametrize("seed", range(10))
def test_one_control_machine_is_lost_at_a_time(seed):
    lost = [
        event
        for event in plan.create_events(seed, LENGTH_S)
        if event.fault in plan.CONTROL_FAULTS and event.fault not in plan.HARMLESS
    ]
    for earlier, later in itertools.pairwise(lost):
        assert later.at >= earlier.at + earlier.for_s + plan.SYNC_S


def test_scheduler_faults_come_in_series_that_overlap():
    events = [e for e in plan.create_events(3, LENGTH_S) if e.fault in plan.SCHEDULER_FAULTS]
    together = [b for a, b in itertools.pairwise(events) if b.at < a.at + a.for_s]
    assert len(together) > len(events) / 4


async def connected(line, scenario, net):
    """An echo behind the line, and a connection to it from the other process, on addresses of this net."""
    front, back, other = (f"{net}.{number}" for number in (1, 2, 3))

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data.upper())
        writer.close()

    server = await asyncio.start_server(echo, back, PORT)
    await line.serve("core", front, back, PORT)
    line.know("other", other)
    reader, writer = await asyncio.open_connection(front, PORT, local_addr=(other, 0))
    try:
        async with asyncio.timeout(10):
            await scenario(reader, writer)
    finally:
        writer.transport.abort()
        line.stop()
        server.close()


def play(scenario, net):
    """Run a scenario; tests that run at the same time need different nets."""
    line = FaultLine()
    asyncio.run(connected(line, lambda *ends: scenario(line, *ends), net))


def test_what_a_cut_holds_up_goes_on_once_it_heals():
    async def scenario(line, reader, writer):
        writer.write(b"a")
        assert await reader.readexactly(1) == b"A"
        line.cut("core", ["other"], outgoing=True, incoming=False)
        writer.write(b"b")
        waiting = asyncio.ensure_future(reader.readexactly(1))
        done, _ = await asyncio.wait([waiting], timeout=0.1)
        assert not done, "what it sends is held up"
        line.heal("core")
        assert await waiting == b"B"

    play(scenario, "127.0.31")


def test_a_reset_breaks_the_connections_of_a_process():
    async def scenario(line, reader, writer):
        writer.write(b"a")
        await reader.readexactly(1)
        line.reset("core")
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)

    play(scenario, "127.0.32")


def test_two_soaks_of_one_seed_have_nets_of_their_own(tmp_path):
    fleets = [SoakFleet(tmp_path, 5, Log(), lambda: 0.0) for _ in range(2)]
    assert len({fleet.network for fleet in fleets}) == 2
    for fleet in fleets:
        fleet.stop()


def test_a_net_where_somebody_listens_is_passed_over(tmp_path):
    first = SoakFleet(tmp_path, 6, Log(), lambda: 0.0)
    first.stop()
    with socket.create_server((f"{first.network}.{FRONT_PART}.1", RPC_PORT)):
        second = SoakFleet(tmp_path, 6, Log(), lambda: 0.0)
        second.stop()
    assert second.network != first.network


class FakeWorkers(ServiceWorkers):
    """The workers of a run that are not started."""

    def _start(self, service):
        self._number += 1
        name = f"{service}-{self._number}"
        if service == SERVICE:
            worker = PlainWorker(name, service, f"127.0.0.1:{self._number}", "a", None, None)
        else:
            worker = ModelWorker(
                name,
                service,
                f"127.0.0.1:{self._number}",
                "a",
                None,
                None,
                phase=(DECODE, PREFILL)[self._number % 2],
                log=None,
                clock=None,
                others=None,
            )
        self.workers[name] = worker


@pytest.mark.parametrize("seed", range(8))
def test_in_the_end_one_worker_of_each_service_is_left_and_the_last_model_worker_reads(seed):
    async def scenario():
        workers = FakeWorkers(None, Log(), None, Counter(), None)
        workers.start_all()
        workers.thin_out(Random(seed))
        left = [w for w in workers.workers.values() if not (w.leaving.is_set() or w.down.is_set())]
        assert [worker.service for worker in left] == [SERVICE, MODEL_SERVICE]
        assert left[1].phase == PREFILL
        assert workers.met["services thinned out"] == 2

    asyncio.run(scenario())
