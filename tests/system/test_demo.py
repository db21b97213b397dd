"""The parts of the demo: the engine, the stand-in worker's answers, settings, and what is shown."""

import asyncio
import json
from random import Random

import pytest
import yaml

from molespur.system.data_plane.client_request import read_head
from molespur.system.demo.engine import DECODE, PREFILL, Engine, EngineProfile
from molespur.system.demo.fleet import DemoFleet, machines, settings
from molespur.system.demo.story import Incident, as_text, percentile, seconds, summary
from molespur.system.demo.traffic import Outcome, Sample, configuration, request_headers
from molespur.system.demo.worker import StandInWorker, parse_parts
from molespur.system.settings import configuration as operator_configuration
from molespur.system.settings import process
from molespur.system.settings.configuration import Limits

PARTS = [("a", 3000), ("own", 500)]


# -- Engine ----------------------------------------------------------------------------------------


def test_a_prompt_waits_for_those_before_it_and_cached_parts_are_not_read_again():
    engine = Engine(EngineProfile(read_tokens_per_ms=50.0), PREFILL)
    assert engine.read(1000.0, 3500, PARTS) == 1070.0
    assert engine.read(1000.0, 3500, [("a", 3000), ("other", 500)]) == 1080.0
    assert engine.read(5000.0, 3500, PARTS) == 5000.0


def test_a_decode_worker_reads_at_half_the_pace():
    engine = Engine(EngineProfile(read_tokens_per_ms=50.0), DECODE)
    assert engine.read(0.0, 3500, PARTS) == 140.0


def test_parts_unused_longest_give_way():
    engine = Engine(EngineProfile(cache_tokens=4000), PREFILL)
    engine.read(0.0, 3500, PARTS)
    engine.read(0.0, 3000, [("b", 3000)])
    assert engine.cached(PARTS) == 0 and engine.cached([("b", 3000)]) == 3000


def test_a_handle_is_taken_once_and_lapses():
    engine = Engine(EngineProfile(handle_ms=100.0), PREFILL)
    first, second = engine.hold(0.0, 10), engine.hold(0.0, 20)
    assert engine.take(50.0, first) == 10 and engine.take(50.0, first) is None
    assert engine.held(50.0) == 1 and engine.take(101.0, second) is None
    assert engine.held(101.0) == 0


def test_the_batch_is_bounded_and_more_requests_make_each_slower():
    engine = Engine(EngineProfile(slots=2, step_ms=4.0, step_ms_per_request=1.0), DECODE)
    assert engine.begin() and engine.pause_ms() == 4.0
    assert engine.begin() and engine.pause_ms() == 5.0
    assert not engine.begin()
    engine.end()
    assert engine.begin()


def test_an_order_changes_the_part_after_a_while():
    engine = Engine(EngineProfile(switch_ms=100.0), DECODE)
    assert engine.order(0.0, PREFILL) and not engine.order(0.0, PREFILL)
    assert engine.switching(99.0) and not engine.switching(100.0) and engine.phase == PREFILL


# -- Worker ----------------------------------------------------------------------------------------


class Rig:
    """Two stand-in workers on a clock that the test moves."""

    def __init__(self, slots=4):
        self.now, self.workers = 0.0, {}
        for number, phase in enumerate((PREFILL, DECODE)):
            engine = Engine(EngineProfile(slots=slots, step_ms=0.0, step_ms_per_request=0.0), phase)
            address = f"127.0.0.1:{number}"
            self.workers[address] = StandInWorker(
                phase, "s", address, "a", engine, lambda: self.now, self.workers.get
            )
        self.reader, self.runner = self.workers.values()

    async def post(self, worker, **extra):
        headers = {
            "Molespur-Attempt-Id": "a1",
            "Molespur-Token-Usage": "0,3",
            "Molespur-Expected-Instance": worker.name,
            **{name.replace("_", "-"): value for name, value in extra.items()},
        }
        response = await worker.app.test_client().post("/x", headers=headers)
        return response, await response.get_data()


def in_rig(scenario, **shape):
    asyncio.run(asyncio.wait_for(scenario(Rig(**shape)), 20))


def test_a_pair_of_calls_gives_the_stream_once():
    async def scenario(rig):
        response, body = await rig.post(rig.reader, Molespur_Serving_Phase=PREFILL)
        handle = json.loads(body)["PrefillHandle"]
        assert response.headers["Molespur-Attempt-Id"] == "a1" and rig.reader.report()["Handles"] == 1
        source = f"{rig.reader.address}/{handle}"
        response, body = await rig.post(rig.runner, Kv_From=source)
        assert response.status_code == 200 and body.count(b"id: ") == 3
        assert response.headers["Molespur-Server-Stamp"] and rig.runner.served == 1
        response, _ = await rig.post(rig.runner, Kv_From=source)
        assert response.status_code == 503 and response.headers["Molespur-Not-Executed"]
        assert rig.runner.engine.running == 0

    in_rig(scenario)


@pytest.mark.parametrize(
    ("extra", "status"),
    [
        ({"Molespur_Expected_Instance": "another"}, 421),
        ({"Molespur_Serving_Phase": PREFILL}, 421),
        ({"Kv_From": "127.0.0.1:9/h1"}, 503),
        ({}, 200),
    ],
)
def test_what_a_decode_worker_does_not_run_it_says(extra, status):
    async def scenario(rig):
        response, _ = await rig.post(rig.runner, **extra)
        assert response.status_code == status
        assert rig.runner.served == (status == 200)

    in_rig(scenario)


def test_a_full_or_switching_worker_runs_nothing():
    async def scenario(rig):
        rig.runner.engine.begin()
        assert (await rig.post(rig.runner))[0].status_code == 503
        rig.runner.engine.end()
        client = rig.runner.app.test_client()
        assert (await client.post("/api/order", json={"Phase": PREFILL})).status_code == 202
        assert (await client.post("/api/order", json={"Phase": PREFILL})).status_code == 200
        assert (await rig.post(rig.runner))[0].status_code == 503
        assert (await (await client.get("/api/report")).get_json())["Utilization"] is True

    in_rig(scenario, slots=1)


def test_parts_that_cannot_be_read_count_as_none():
    assert parse_parts("a:1,b:2") == [("a", 1), ("b", 2)]
    assert parse_parts("a:x") == [] and parse_parts("") == []


# -- Settings, traffic and what is shown -----------------------------------------------------------


def test_the_settings_and_the_configuration_of_the_demo_can_be_used(tmp_path):
    fleet = DemoFleet(tmp_path)
    for machine in fleet.machines.values():
        text = yaml.safe_dump(settings(machine, fleet.seeds, tmp_path, bootstrap=True))
        assert process.parse(text).node_name == machine.name
    assert len({machine.zone for machine in machines(3, 2)}) == 3
    parsed = operator_configuration.parse(json.dumps(configuration("s", 4)).encode())
    assert parsed.routes[0].service == "s" and parsed.services[0].engine.capacity == 4


def test_the_demo_sends_requests_that_the_ingress_can_read():
    sent = request_headers(Random(1), 5)
    scope = {
        "raw_path": b"/chat/x",
        "query_string": b"",
        "method": "POST",
        "headers": [(name.encode(), value.encode()) for name, value in sent.items()],
    }
    request = read_head(scope, Limits())
    tokens = sum(tokens for _, tokens in parse_parts(request.prefix.decode()))
    assert request.deadline_ms == 3000.0 and int(request.usage.partition(b",")[0]) == tokens


def test_a_run_is_shown_second_by_second():
    samples = [
        Sample(0.2, Outcome.SERVED, 50.0),
        Sample(0.9, Outcome.SERVED, 90.0),
        Sample(2.1, Outcome.REFUSED),
        Sample(2.2, Outcome.FAILED),
    ]
    rows = seconds(samples, [Incident(2.0, "one lost")])
    assert [row["asked"] for row in rows] == [2, 0, 2]
    assert rows[0]["first_p50_ms"] == 90.0 and rows[1]["first_p50_ms"] is None
    assert rows[2]["refused"] == rows[2]["failed"] == 1 and rows[2]["what"] == "one lost"
    assert summary(samples)["served"] == 2
    text = as_text(samples, [Incident(2.0, "one lost")])
    assert text.splitlines()[3].endswith("one lost") and "asked 4, served 2" in text
    assert as_text([], []) == "no request was sent"
    assert percentile([], 0.5) is None
