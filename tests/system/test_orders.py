"""Orders to workers: who may give them, and by which fence."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from control import OneControlPlane

from molespur.system.control_plane.methods import LEADS
from molespur.system.control_plane.orders import HANDOVER_MS, PhaseOrders
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION, group_of_service
from molespur.system.workers.phases import PhaseOrder

SERVICE = "s"
GROUP = group_of_service(SERVICE)


class Busy:
    """Stands for the schedulers: much to be read."""

    def load(self, _now, service):
        return pb.ServiceLoad(service=service, read_tokens_per_s=200_000.0, running=10.0)


@asynccontextmanager
async def order_taker(status=b"202 Accepted"):
    """A worker's address that answers every order alike; gives its address and the orders."""
    orders = []

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0] or 0)
                orders.append(json.loads(await reader.readexactly(length)))
                writer.write(b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % status)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}", orders
    server.close()


@pytest.fixture
def plane(tmp_path):
    made = OneControlPlane(tmp_path)
    yield made
    made.close()


def orders_of(plane):
    made = PhaseOrders(plane.host.settings, plane.host, plane.calls, Busy(), lambda: plane.now)
    made.became_owner(GROUP)
    return made


def register(plane, address):
    directory = plane.host.groups[GROUP].state_machine
    workers = [
        pb.Worker(id=f"w-{n}", service=SERVICE, address=address, zone="a", phase="decode", capacity=64)
        for n in range(6)
    ]
    directory.workers = {worker.id: worker for worker in workers}


def look_until_ordered(plane, orders):
    for _ in range(4):
        orders.look(plane.now)
        if orders._tasks:
            return
        plane.pass_time(300.0)


def test_an_order_has_the_fence_of_the_time_when_the_lead_was_certain(plane):
    async def scenario():
        async with order_taker() as (address, taken):
            register(plane, address)
            orders = orders_of(plane)
            plane.pass_time(plane.host.settings.bounds.lease_ms + HANDOVER_MS + 100.0)
            led = plane.host.groups[GROUP].replica.hard_state.term
            look_until_ordered(plane, orders)
            plane.host.groups[GROUP].replica.hard_state.term += 3  # another owner's term is heard of
            while not taken:
                await asyncio.sleep(0)
            assert {order["FencingToken"] for order in taken} == {led}
            for task in orders._tasks:
                task.cancel()

    plane.loop.run_until_complete(asyncio.wait_for(scenario(), 20))


def test_a_new_owner_waits_a_lease_before_its_first_order(plane):
    async def scenario():
        register(plane, "127.0.0.1:1")
        orders = orders_of(plane)
        wait = plane.host.settings.bounds.lease_ms + HANDOVER_MS
        while plane.now - orders.owner_since[GROUP] < wait:
            orders.look(plane.now)
            assert not orders._tasks
            plane.pass_time(200.0)
        look_until_ordered(plane, orders)
        assert orders._tasks
        for task in orders._tasks:
            task.cancel()

    plane.loop.run_until_complete(scenario())


def test_a_worker_that_has_seen_a_higher_fence_gets_no_order_with_the_same_one_again(plane):
    async def scenario():
        async with order_taker(b"412 Precondition Failed") as (address, taken):
            register(plane, address)
            orders = orders_of(plane)
            plane.pass_time(plane.host.settings.bounds.lease_ms + HANDOVER_MS + 100.0)
            for _ in range(400):
                orders.look(plane.now)
                plane.pass_time(300.0)
                if orders._tasks:
                    await asyncio.gather(*orders._tasks)
            assert len(orders.fenced_off) > 1
            assert len(taken) == len(orders.fenced_off), "each worker was asked once with this fence"

    plane.loop.run_until_complete(scenario())


# -- The number of orders that a worker has taken ---------------------------------------------------------


class CountingWorker:
    """A worker's address that counts the orders it takes and reports them."""

    def __init__(self):
        self.phase, self.sequence, self.orders, self.statuses = "decode", 4, [], []
        self.reports, self.under_way = 0, False
        self.on_report = lambda: None

    @asynccontextmanager
    async def serving(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET /api/report"):
                    answer, body = b"200 OK", self._report()
                else:
                    length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
                    answer, body = self._order(json.loads(await reader.readexactly(length))), b""
                writer.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (answer, len(body), body))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _report(self):
        self.reports += 1
        self.on_report()
        report = {"Phase": self.phase, "Utilization": self.under_way, "Sequence": self.sequence}
        return json.dumps(report).encode()

    def _order(self, order):
        self.orders.append(order)
        if order.get("IfRevision", self.sequence) != self.sequence:
            self.statuses.append(409)
            return b"409 Conflict"
        self.sequence, self.phase = self.sequence + 1, order["Phase"]
        self.statuses.append(202)
        return b"202 Accepted"


def give(plane, scenario, monkeypatch):
    """Run a scenario(worker, give) in which `give(phase)` carries one order out to its end."""
    monkeypatch.setattr("molespur.system.control_plane.orders.DEFAULT_SWITCH_S", 0.0)
    monkeypatch.setattr("molespur.system.control_plane.orders.REPORT_PAUSE_S", 0.0)

    async def run():
        worker = CountingWorker()
        async with worker.serving() as address:
            orders = orders_of(plane)
            record = pb.Worker(id="w-0", service=SERVICE, address=address, phase="decode", capacity=64)

            async def give_order(phase):
                await orders._give(GROUP, PhaseOrder(record, phase), 7)

            await scenario(worker, orders, give_order)

    plane.loop.run_until_complete(asyncio.wait_for(run(), 20))


def test_an_order_names_how_many_the_worker_has_taken_once_it_has_told(plane, monkeypatch):
    async def scenario(worker, _orders, give_order):
        for phase in ("prefill", "decode", "prefill"):
            await give_order(phase)
        assert [order.get("IfRevision") for order in worker.orders] == [None, 5, 6]
        assert worker.statuses == [202, 202, 202]

    give(plane, scenario, monkeypatch)


def test_an_order_of_somebody_else_in_between_is_noticed_and_nothing_is_overturned(plane, monkeypatch):
    async def scenario(worker, orders, give_order):
        await give_order("prefill")
        worker.sequence, worker.phase = 9, "decode"  # another holder has ordered it since
        reports = worker.reports
        await give_order("prefill")
        assert worker.statuses == [202, 409] and worker.phase == "decode"
        assert worker.reports == reports + 1, "it is asked what it does"
        assert orders.given["prefill", "409"] == 1
        await give_order("prefill")
        assert worker.orders[-1]["IfRevision"] == 9 and worker.statuses[-1] == 202

    give(plane, scenario, monkeypatch)


def test_an_order_under_way_or_a_new_owner_leaves_the_number_unknown(plane, monkeypatch):
    async def scenario(worker, orders, give_order):
        worker.under_way = True  # at every report
        await give_order("prefill")
        await give_order("decode")
        assert [order.get("IfRevision") for order in worker.orders] == [None, None]
        worker.under_way = False
        await give_order("prefill")
        orders.became_owner(GROUP)
        await give_order("decode")
        assert [order.get("IfRevision") for order in worker.orders[2:]] == [None, None]

    give(plane, scenario, monkeypatch)


def test_an_order_without_an_answer_leaves_the_number_unknown(plane, monkeypatch):
    """The worker may have taken it, or not."""

    async def scenario(worker, orders, give_order):
        await give_order("prefill")
        assert orders.revisions.expected("w-0") == 5
        monkeypatch.setattr(worker, "_order", lambda order: worker.orders.append(order) or (b"", b""))
        monkeypatch.setattr("molespur.system.control_plane.orders.ORDER_TIMEOUT_S", 0.0)
        await give_order("decode")
        assert orders.revisions.expected("w-0") is None

    give(plane, scenario, monkeypatch)


def test_a_process_that_leads_without_contact_does_not_say_that_it_leads(plane):
    """It was held up, and is asked before it has looked at the time."""

    class Pipe:
        sent = []

        def send(self, frame):
            self.sent.append(frame.reply.status)

    call = pb.Call(id=1, method=LEADS, subject=CONFIGURATION)
    plane.loop.run_until_complete(plane.calls.answer(Pipe(), call))
    plane.host.has_quorum_contact = lambda _name: False
    plane.loop.run_until_complete(plane.calls.answer(Pipe(), call))
    assert Pipe.sent == [200, 503]
