"""The metrics that each role exposes in the Prometheus text format."""

import json
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
from control import OneControlPlane
from prometheus_client.parser import text_string_to_metric_families
from wire import Client, ScriptedWorker, answer, data_plane, not_executed, request, run

from molespur.system import metrics
from molespur.system.data_plane import figures
from molespur.system.data_plane.http import readiness_app
from molespur.system.metrics import Metric, MetricKind, counter, exposition, gauge
from molespur.system.rpc import traffic

ROOT = Path(__file__).resolve().parents[2]


def parse_samples(text):
    """Return {(name, (label, value), ...): value} for an exposition."""
    samples = {}
    for family in text_string_to_metric_families(text.decode()):
        for sample in family.samples:
            samples[sample.name, *sorted(sample.labels.items())] = sample.value
    return samples


def test_the_prometheus_parser_reads_the_exposition():
    escaped = Metric("odd", MetricKind.GAUGE, 'what "it" is\nin two lines', ("name",), {('a"b\\c\n',): 1.5})
    text = exposition([counter("calls", "Calls.", 3), gauge("level", "Level.", -2.5), escaped])
    assert parse_samples(text) == {
        ("molespur_calls_total",): 3.0,
        ("molespur_level",): -2.5,
        ("molespur_odd", ("name", 'a"b\\c\n')): 1.5,
    }
    assert b"# TYPE molespur_calls_total counter" in text and b"# HELP molespur_level Level." in text


def test_the_prometheus_library_is_not_imported_at_the_start():
    roles = "import molespur.system.control_plane.role, molespur.system.data_plane.role"
    http = "import molespur.system.control_plane.http, molespur.system.data_plane.http"
    script = f"{roles}; {http}; import sys; print('prometheus_client' in sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert done.stdout == "False\n"


def configuration():
    route = {"Name": "r", "Host": "shop.example", "PathPrefix": "/p/", "Type": "idempotent", "Service": "s"}
    route.update({"TimeoutMs": 5000, "TargetLatencyMs": 300, "MaxAttempts": 2})
    services = [{"Name": "s", "MaxConnections": 50}]
    return json.dumps({"Version": 4, "Routes": [route], "Services": services}).encode()


def test_a_data_plane_counts_responses_calls_and_connections():
    async def scenario():
        worker = ScriptedWorker("w", answer, not_executed, answer)
        follower = SimpleNamespace(
            offsets={"configuration": 7}, age_ms=lambda: 300.0, configuration_age_ms=lambda: 30.0
        )
        async with data_plane(configuration(), worker) as (port, ingress):
            client = await Client.connect(port)
            for message in (request(), request(path=b"/none"), request()):
                await client.send(message)
                await client.response()

            def current_metrics():
                return figures.metrics(
                    ingress.state, ingress.counts, ingress.upstreams, follower, ingress.memory, lambda: 0
                )

            response = await readiness_app(lambda: True, current_metrics).test_client().get("/api/metrics")
            assert response.status_code == 200 and response.content_type == metrics.CONTENT_TYPE
            samples = parse_samples(await response.get_data())
        assert samples["molespur_answers_total", ("source", "worker"), ("status", "200")] == 1
        assert samples["molespur_answers_total", ("source", "no-route"), ("status", "404")] == 1
        assert samples["molespur_answers_total", ("source", "rejected"), ("status", "503")] == 1
        assert samples["molespur_worker_calls_total", ("outcome", "answered"), ("part", "plain")] == 1
        assert samples["molespur_worker_calls_total", ("outcome", "rejected"), ("part", "plain")] == 1
        assert samples["molespur_worker_connections_opened_total",] == 1
        assert samples["molespur_configuration_version",] == 4
        assert samples["molespur_workers", ("service", "s"), ("state", "usable")] == 1
        assert samples["molespur_unfinished_calls", ("service", "s")] == 0
        assert samples["molespur_feed_offset", ("shard", "configuration")] == 7
        assert samples["molespur_state_age_ms",] == 300
        assert samples["molespur_config_age_ms",] == 30
        assert samples["molespur_body_memory_bytes",] == 0 == samples["molespur_bodies_waiting",]
        assert samples["molespur_body_memory_limit_bytes",] == 96e6, "half of 256 MB less 64"

    run(scenario())


@pytest.fixture
def plane(tmp_path):
    control_plane = OneControlPlane(tmp_path)
    yield control_plane
    control_plane.close()


def test_a_control_plane_exposes_its_shards_and_workers(plane, monkeypatch):
    monkeypatch.setattr(traffic, "sent", traffic.SentTraffic())
    traffic.sent.count("test", 30)
    traffic.sent.count("test", 40)
    assert plane.put(configuration(), 0)[0] == 200
    heartbeat = {"Service": "s", "Address": "10.0.1.1:80", "Zone": "a", "State": "ready", "Capacity": 4}
    assert plane.call("PUT", "/api/instances/w-1", json.dumps(heartbeat).encode())[0] == 200
    status, text = plane.call("GET", "/api/metrics")
    assert status == 200
    samples = parse_samples(text)
    for shard in plane.host.groups:
        assert samples["molespur_shard_leader", ("shard", shard)] == 1
        assert samples["molespur_shard_voters", ("shard", shard)] == 1
        assert samples["molespur_shard_unsynced_entries", ("shard", shard)] == 0
        assert samples["molespur_shard_leader_silence_ms", ("shard", shard)] == 0
    assert samples["molespur_shard_commit_index", ("shard", "configuration")] >= 3
    assert samples["molespur_configuration_version",] == 4
    assert samples["molespur_workers", ("service", "s"), ("state", "ready")] == 1
    assert samples["molespur_orders_total", ("outcome", "202"), ("part", "prefill")] == 2
    assert samples["molespur_rpc_sent_bytes_total", ("kind", "test")] == 70
    assert samples["molespur_rpc_sent_frames_total", ("kind", "test")] == 2
    assert samples["molespur_disk_failed_writes_total",] == 3
