"""Orders to workers: which process may send them, and with which fencing token and revision."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from control import OneControlPlane
from wire import header

from molespur.system.control_plane.methods import IS_LEADER
from molespur.system.control_plane.orders import HANDOVER_MS, PhaseOrders
from molespur.system.membership.schedulers import SchedulerMonitor
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION, group_of_service
from molespur.system.workers.phases import PhaseOrder

SERVICE = "s"
GROUP = group_of_service(SERVICE)


class BusySchedulers:
    """Stands in for the scheduler monitor; reports a high prefill load."""

    def load(self, _now, service):
        return pb.ServiceLoad(service=service, read_tokens_per_s=200_000.0, running=10.0)


@asynccontextmanager
async def order_receiver(status=b"202 Accepted"):
    """A worker that responds to every order with one status; yields its address and the received orders."""
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
    control_plane = OneControlPlane(tmp_path)
    yield control_plane
    control_plane.close()


def create_orders(plane):
    orders = PhaseOrders(plane.host.settings, plane.host, plane.calls, BusySchedulers(), lambda: plane.now)
    orders.became_owner(GROUP)
    return orders


def register(plane, address):
    directory = plane.host.groups[GROUP].state_machine
    workers = [
        pb.Worker(id=f"w-{n}", service=SERVICE, address=address, zone="a", phase="decode", capacity=64)
        for n in range(6)
    ]
    directory.workers = {worker.id: worker for worker in workers}


def run_until_ordered(plane, orders):
    for _ in range(4):
        orders.send_due_orders(plane.now)
        if orders._tasks:
            return
        plane.pass_time(300.0)


def test_an_order_carries_the_term_in_which_leadership_was_certain(plane):
    async def scenario():
        async with order_receiver() as (address, received):
            register(plane, address)
            orders = create_orders(plane)
            plane.pass_time(plane.host.settings.bounds.lease_ms + HANDOVER_MS + 100.0)
            own_term = plane.host.groups[GROUP].replica.hard_state.term
            run_until_ordered(plane, orders)
            plane.host.groups[GROUP].replica.hard_state.term += 3  # the term of another owner arrives
            while not received:
                await asyncio.sleep(0)
            assert {order["FencingToken"] for order in received} == {own_term}
            for task in orders._tasks:
                task.cancel()

    plane.loop.run_until_complete(asyncio.wait_for(scenario(), 20))


def test_a_new_owner_waits_a_lease_before_its_first_order(plane):
    async def scenario():
        register(plane, "127.0.0.1:1")
        orders = create_orders(plane)
        wait = plane.host.settings.bounds.lease_ms + HANDOVER_MS
        while plane.now - orders.owner_since[GROUP] < wait:
            orders.send_due_orders(plane.now)
            assert not orders._tasks
            plane.pass_time(200.0)
        run_until_ordered(plane, orders)
        assert orders._tasks
        for task in orders._tasks:
            task.cancel()

    plane.loop.run_until_complete(scenario())


def test_a_worker_that_has_seen_a_higher_token_gets_no_more_orders_with_the_refused_one(plane):
    async def scenario():
        async with order_receiver(b"412 Precondition Failed") as (address, received):
            register(plane, address)
            orders = create_orders(plane)
            plane.pass_time(plane.host.settings.bounds.lease_ms + HANDOVER_MS + 100.0)
            for _ in range(400):
                orders.send_due_orders(plane.now)
                plane.pass_time(300.0)
                if orders._tasks:
                    await asyncio.gather(*orders._tasks)
            assert len(orders.refused_tokens) > 1
            assert len(received) == len(orders.refused_tokens), "one order to each worker with this token"

    plane.loop.run_until_complete(scenario())


def test_the_only_worker_of_a_service_without_load_is_ordered_to_decode(plane):
    """Guards against a service that is refused for good (review/1): no order made its last worker decode."""

    async def scenario():
        async with order_receiver() as (address, received):
            directory = plane.host.groups[GROUP].state_machine
            last = pb.Worker(
                id="w-0", service=SERVICE, address=address, zone="a", phase="prefill", capacity=64
            )
            lost = pb.Worker(
                id="w-1", service=SERVICE, zone="b", phase="decode", capacity=64, state=pb.SILENT
            )
            directory.workers = {worker.id: worker for worker in (last, lost)}
            orders = create_orders(plane)
            orders.schedulers = SchedulerMonitor()  # no scheduler reports any load
            plane.pass_time(plane.host.settings.bounds.lease_ms + HANDOVER_MS + 100.0)
            run_until_ordered(plane, orders)
            assert orders._tasks, orders.hold_counts()
            while not received:
                await asyncio.sleep(0)
            assert [order["Phase"] for order in received] == ["decode"]
            for task in orders._tasks:
                task.cancel()

    plane.loop.run_until_complete(asyncio.wait_for(scenario(), 20))


def test_checks_without_an_order_are_counted_by_service_and_reason(plane):
    async def scenario():
        register(plane, "127.0.0.1:1")
        orders = create_orders(plane)
        plane.pass_time(plane.host.settings.bounds.lease_ms + HANDOVER_MS + 100.0)
        orders.send_due_orders(plane.now)
        assert orders.hold_counts() == {(SERVICE, "settling"): 1}

    plane.loop.run_until_complete(scenario())


# -- The number of orders that a worker has accepted ---------------------------------------------------------


class CountingWorker:
    """A worker that counts the orders that it accepts and reports the number."""

    def __init__(self):
        self.phase, self.sequence, self.orders, self.statuses = "decode", 4, [], []
        self.reports, self.order_in_progress = 0, False
        self.on_report = lambda: None
        self.repeats_last_response, self.statuses_to_give = False, []
        self.expected_instances = set()

    @asynccontextmanager
    async def serving(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        server.close()

    async def _serve(self, reader, writer):
        surplus = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.expected_instances.add(header(head, b"Molespur-Expected-Instance"))
                if head.startswith(b"GET /api/report"):
                    status, body = b"200 OK", self._report()
                else:
                    length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
                    status, body = self._order(json.loads(await reader.readexactly(length))), b""
                response = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)
                writer.write(surplus + response)
                surplus = response if self.repeats_last_response else b""
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _report(self):
        self.reports += 1
        self.on_report()
        report = {"Phase": self.phase, "Utilization": self.order_in_progress, "Sequence": self.sequence}
        return json.dumps(report).encode()

    def _order(self, order):
        self.orders.append(order)
        if self.statuses_to_give:
            return self.statuses_to_give.pop(0)
        if order.get("IfRevision", self.sequence) != self.sequence:
            self.statuses.append(409)
            return b"409 Conflict"
        self.sequence, self.phase = self.sequence + 1, order["Phase"]
        self.statuses.append(202)
        return b"202 Accepted"


def run_with_worker(plane, scenario, monkeypatch):
    """Run scenario(worker, orders, execute_order); `execute_order(phase)` completes one order."""
    monkeypatch.setattr("molespur.system.control_plane.orders.DEFAULT_SWITCH_S", 0.0)
    monkeypatch.setattr("molespur.system.control_plane.orders.REPORT_POLL_S", 0.0)

    async def run():
        worker = CountingWorker()
        async with worker.serving() as address:
            orders = create_orders(plane)
            record = pb.Worker(id="w-0", service=SERVICE, address=address, phase="decode", capacity=64)

            async def execute_order(phase):
                await orders._execute(GROUP, PhaseOrder(record, phase), 7)

            await scenario(worker, orders, execute_order)

    plane.loop.run_until_complete(asyncio.wait_for(run(), 20))


def test_an_order_carries_the_revision_that_the_worker_has_reported(plane, monkeypatch):
    async def scenario(worker, _orders, execute_order):
        for phase in ("prefill", "decode", "prefill"):
            await execute_order(phase)
        assert [order.get("IfRevision") for order in worker.orders] == [None, 5, 6]
        assert worker.statuses == [202, 202, 202]

    run_with_worker(plane, scenario, monkeypatch)


def test_an_order_after_another_holders_order_is_refused_and_not_repeated_blindly(plane, monkeypatch):
    async def scenario(worker, orders, execute_order):
        await execute_order("prefill")
        worker.sequence, worker.phase = 9, "decode"  # another holder has sent it an order
        reports = worker.reports
        await execute_order("prefill")
        assert worker.statuses == [202, 409] and worker.phase == "decode"
        assert worker.reports == reports + 1, "its state is read after the refusal"
        assert orders.outcomes["prefill", "409"] == 1
        await execute_order("prefill")
        assert worker.orders[-1]["IfRevision"] == 9 and worker.statuses[-1] == 202

    run_with_worker(plane, scenario, monkeypatch)


def test_the_revision_is_unknown_during_an_order_and_after_a_change_of_owner(plane, monkeypatch):
    async def scenario(worker, orders, execute_order):
        worker.order_in_progress = True  # at every report
        await execute_order("prefill")
        await execute_order("decode")
        assert [order.get("IfRevision") for order in worker.orders] == [None, None]
        worker.order_in_progress = False
        await execute_order("prefill")
        orders.became_owner(GROUP)
        await execute_order("decode")
        assert [order.get("IfRevision") for order in worker.orders[2:]] == [None, None]

    run_with_worker(plane, scenario, monkeypatch)


def test_the_revision_is_unknown_after_an_order_without_a_response(plane, monkeypatch):
    """The worker may or may not have accepted it."""

    async def scenario(worker, orders, execute_order):
        await execute_order("prefill")
        assert orders.revisions.expected("w-0") == 5
        monkeypatch.setattr(worker, "_order", lambda order: worker.orders.append(order) or (b"", b""))
        monkeypatch.setattr("molespur.system.control_plane.orders.ORDER_TIMEOUT_S", 0.0)
        await execute_order("decode")
        assert orders.revisions.expected("w-0") is None

    run_with_worker(plane, scenario, monkeypatch)


def test_what_is_known_of_workers_that_are_gone_is_dropped(plane, monkeypatch):
    async def scenario(_worker, orders, execute_order):
        orders.refused_tokens["gone"] = 3
        orders.revisions.reported("gone", 8)
        await execute_order("prefill")
        assert orders.refused_tokens == {} and orders.revisions.expected("gone") is None
        assert orders.revisions.expected("w-0") == 5

    run_with_worker(plane, scenario, monkeypatch)


def test_a_late_second_response_to_an_order_does_not_count_for_the_next_call(plane, monkeypatch):
    """Guards against a copy of an earlier response that decides on a worker, such as a 412 of a former owner.

    Orders and reports carry no attempt id, so nothing but the connection tells their responses apart.
    """

    async def scenario(worker, orders, execute_order):
        worker.repeats_last_response = True
        await execute_order("prefill")
        assert orders.revisions.expected("w-0") == 5, "the report that followed was read"
        worker.statuses_to_give = [b"412 Precondition Failed"]
        await execute_order("decode")
        assert orders.refused_tokens == {"w-0": 7}
        await execute_order("decode")
        assert orders.outcomes == {("prefill", "202"): 1, ("decode", "412"): 1, ("decode", "202"): 1}
        assert worker.expected_instances == {b"w-0"}

    run_with_worker(plane, scenario, monkeypatch)


def test_a_leader_without_contact_to_a_majority_does_not_confirm_its_leadership(plane):
    """It was stalled, and receives the call before its timers run."""

    class FakeChannel:
        sent = []

        def send(self, frame):
            self.sent.append(frame.reply.status)

    call = pb.Call(id=1, method=IS_LEADER, subject=CONFIGURATION)
    plane.loop.run_until_complete(plane.calls.reply_to(FakeChannel(), call))
    plane.host.has_quorum_contact = lambda _name: False
    plane.loop.run_until_complete(plane.calls.reply_to(FakeChannel(), call))
    assert FakeChannel.sent == [200, 503]
