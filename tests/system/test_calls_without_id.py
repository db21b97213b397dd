"""What a worker's response proves about a call, and calls without an attempt id: reports, freed handles.

These tests guard against a request that runs twice (review/2): a late second response to a call without an
id came in the place of a request's response, and was taken for the rejection of that request, which then
went to another worker.
"""

import asyncio
import json
from itertools import product
from random import Random

import pytest
from wire import Client, ScriptedWorker, answer, clock, data_plane, header, request, run

from molespur.system.data_plane.answer_checks import check_head
from molespur.system.data_plane.reports import ReportPoller
from molespur.system.data_plane.upstream import Head, UpstreamError
from molespur.system.settings.configuration import Service

STATUSES = (200, 202, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504)
REJECTION = b"HTTP/1.1 400 -\r\nMolespur-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
REPORT = json.dumps({"Phase": "decode", "Active": 3, "Queued": 1, "KvUsed": 5, "KvTotal": 9}).encode()


def outcome(status, response_id, not_executed, stamped, needs_stamp):
    """What `check_head` makes of a response to the attempt `a1`: None if it is the attempt's response."""
    headers = [(b"molespur-attempt-id", response_id)] if response_id is not None else []
    headers += [(b"molespur-not-executed", b"1")] if not_executed else []
    headers += [(b"molespur-server-stamp", b"s.1")] if stamped else []
    try:
        check_head(Head(status, headers), b"a1", needs_stamp)
    except UpstreamError as error:
        return error.failure.value
    return None


@pytest.mark.parametrize("response_id", [b"other", b"", None], ids=["another-id", "empty-id", "no-id"])
def test_only_a_response_with_the_id_of_an_attempt_proves_anything_about_it(response_id):
    for status, *flags in product(STATUSES, *[(False, True)] * 3):
        assert outcome(status, response_id, *flags) == "may-have-run", (status, flags)


def test_with_the_id_of_the_attempt_a_rejection_is_one_and_a_response_counts_by_its_status():
    for status, not_executed, stamped, needs_stamp in product(STATUSES, *[(False, True)] * 3):
        if not_executed or status == 421:
            expected = "rejected"
        elif status in (302, 408, 429, 503) or (status < 300 and needs_stamp and not stamped):
            expected = "may-have-run"
        else:
            expected = None
        case = (status, not_executed, stamped, needs_stamp)
        assert outcome(status, b"a1", *case[1:]) == expected, case


def configuration(route_type):
    route = {"Name": "r", "Host": "shop.example", "PathPrefix": "/p/", "Type": route_type, "Service": "s"}
    route.update({"TimeoutMs": 5000, "TargetLatencyMs": 300, "MaxAttempts": 2})
    return json.dumps(
        {"Version": 1, "Routes": [route], "Services": [{"Name": "s", "MaxConnections": 50}]}
    ).encode()


class RepeatingWorker(ScriptedWorker):
    """Rejects calls without an id, and repeats that response on their connection before the next one.

    Runs all other requests; `ran` are their ids.
    """

    def __init__(self, name, ran):
        super().__init__(name, None)
        self.ran, self.calls_without_id = ran, 0

    async def _connection(self, reader, writer):
        surplus = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                attempt = header(head, b"Molespur-Attempt-Id")
                if attempt is None:
                    self.calls_without_id += 1
                    writer.write(REJECTION)
                    surplus = REJECTION
                    continue
                self.ran.append(attempt)
                writer.write(surplus)
                surplus = b""
                await writer.drain()
                await asyncio.sleep(0)
                writer.write(answer(head, b"for " + attempt))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def poll(ingress, worker_id):
    """Ask one worker for its report."""
    poller = ReportPoller(ingress.state, ingress.upstreams, clock, Random(1))
    await poller._poll(Service("s", max_connections=50), ingress.state.workers["s"][worker_id])


async def free(ingress, worker):
    """Free a handle at a worker, to the end of the call."""
    ingress.free_handle(worker.address, "3fa09c", Service("s", max_connections=50))
    await asyncio.gather(*ingress._background)


@pytest.mark.parametrize("route_type", ["non_idempotent", "idempotent", "streaming"])
@pytest.mark.parametrize("call", ["report", "handle"])
def test_a_late_second_response_to_a_call_without_id_meets_no_request(route_type, call):
    async def scenario():
        ran = []
        workers = RepeatingWorker("w", ran), RepeatingWorker("v", ran)
        async with data_plane(configuration(route_type), *workers) as (port, ingress):
            client = await Client.connect(port)
            for number in range(8):
                for worker in workers:
                    await (poll(ingress, worker.name) if call == "report" else free(ingress, worker))
                attempt = b"a%d" % number
                await client.send(request(attempt=attempt))
                status, _, body, complete = await client.response()
                assert (status, body, complete) == (200, b"for " + attempt, True)
        assert ran == [b"a%d" % number for number in range(8)], "each has run once"
        assert all(worker.calls_without_id == 8 for worker in workers)

    run(scenario())


def report_with(extra=b"", status=b"200 OK"):
    """A worker's script: a load report with these header lines."""
    return lambda _request: (
        b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n" % (status, extra, len(REPORT)) + REPORT
    )


def test_a_report_is_asked_of_one_worker_by_name_and_counts_only_without_an_attempt_id():
    """A response with an id answers an earlier request; another worker may have taken over the address."""

    async def scenario():
        worker = ScriptedWorker(
            "w",
            report_with(b"Molespur-Attempt-Id: a1\r\n"),
            report_with(status=b"421 -"),
            report_with(),
            phase="prefill",
        )
        async with data_plane(configuration("idempotent"), worker) as (_, ingress):
            track = ingress.state.workers["s"]["w"]
            for _ in range(2):
                await poll(ingress, "w")
                assert track.report.active == 0 and track.phase == "prefill"
            await poll(ingress, "w")
            assert (track.report.active, track.report.queued, track.phase) == (3, 1, "decode")
        assert all(header(each, b"Molespur-Expected-Instance") == b"w" for each in worker.requests)
        assert worker.connections == 3, "one for each call"

    run(scenario())


def test_a_worker_that_does_not_reply_keeps_the_age_of_its_last_report_and_its_turn():
    """Guards against an old load that looks fresh: a report was dated when it was asked for."""

    async def scenario():
        replying = ScriptedWorker("w", report_with(), None, phase="decode")
        silent = ScriptedWorker("v", None, phase="decode")
        async with data_plane(configuration("idempotent"), replying, silent) as (_, ingress):
            now = [0.0]
            poller = ReportPoller(ingress.state, ingress.upstreams, lambda: now[0], Random(1))
            tracks = ingress.state.workers["s"]
            targets = [(Service("s", max_connections=50), track) for track in tracks.values()]
            turns = []
            for _ in range(6):
                now[0] += 1000.0
                service, track = poller._next_target(targets)
                turns.append(track.id)
                await poller._poll(service, track)
            assert turns == ["w", "v"] * 3 or turns == ["v", "w"] * 3
            assert tracks["v"].report.updated_at == float("-inf")
            assert tracks["w"].report.updated_at == 1000.0 * (turns.index("w") + 1)
            poller._next_target(targets[:1])
            assert list(poller._polled_at) == [targets[0][1].id], "workers that are gone are forgotten"

    run(scenario())
