"""Crowds of callers that do not behave, at the listeners of a control-plane process.

These tests guard against a control-plane process that goes over the memory or the descriptors of its machine,
hangs, or answers neither workers nor the operator.  Each crowd meets a real process.
"""

import asyncio
import json

import crowd_behaviors as behaviors
import pytest
from fleet_under_crowd import HTTP_PORT, RPC_PORT, Worker, configuration, http_call, running_fleet
from meeting import LIMIT_S, meet

ROLE = "control-plane"
CROWD = 350
SMALL_CROWD = 100
FEW_CONNECTIONS = 8
MORE_THAN_DESCRIPTORS = 1200
LARGE_CONFIGURATION_BYTES = 4 << 20
CONFIG, INSTANCE = b"/api/config", b"/api/instances/i-9"
PUT = {"method": b"PUT", "path": CONFIG}
LARGE_ROUTES = 2000
LARGE_CHANGES = 8
BETWEEN_CHANGES_S = 0.1
WORKERS_EACH = 200
LONG_RECORD_BYTES = 60_000


def whole(body, **fields):
    """A complete request, its answer unread."""
    return behaviors.once(behaviors.head(behaviors.length(len(body)), **fields) + body)


def many_small_values(size):
    """JSON whose values take far more memory than its text."""
    return b'{"Version":9,"Routes":[' + b"{}," * (size // 3) + b"{}]}"


def registrations(count, padding):
    """Registrations of workers that do not exist, one after the other."""

    async def behave(client, number):
        for order in range(count):
            host = f"127.200.{number % 250}.{order % 250}"
            document = {
                "Service": "s", "Address": f"{host}:{1000 + number}", "Zone": "z" * padding, "Version": "v1",
                "Capacity": 1, "State": "ready", "Sequence": 1,
            }  # fmt: skip
            body = json.dumps(document).encode()
            path = f"/api/instances/i-{number}-{order}".encode()
            fields = behaviors.length(len(body))
            await client.send(behaviors.head(fields, method=b"PUT", path=path) + body)

    return behave


HTTP_CROWDS = {
    "registrations-of-many-workers": (registrations(WORKERS_EACH, 10), SMALL_CROWD),
    "registrations-of-long-records": (registrations(WORKERS_EACH, LONG_RECORD_BYTES), SMALL_CROWD),
    "configuration-short-of-its-end": (
        behaviors.body_short_of_its_end(LARGE_CONFIGURATION_BYTES, **PUT),
        CROWD,
    ),
    "configuration-in-chunks-short-of-their-end": (
        behaviors.chunks_short_of_their_end(LARGE_CONFIGURATION_BYTES, 16_384, **PUT),
        CROWD,
    ),
    "configuration-over-the-limit": (behaviors.announced_over_the_limit(**PUT), CROWD),
    "many-small-values": (
        whole(many_small_values(LARGE_CONFIGURATION_BYTES), **PUT),
        FEW_CONNECTIONS,
    ),
    "deeply-nested-values": (whole(b"[" * LARGE_CONFIGURATION_BYTES, **PUT), FEW_CONNECTIONS),
    "registration-short-of-its-end": (
        behaviors.body_short_of_its_end(LARGE_CONFIGURATION_BYTES, method=b"PUT", path=INSTANCE),
        CROWD,
    ),
    "many-small-values-in-registrations": (
        whole(many_small_values(LARGE_CONFIGURATION_BYTES), method=b"PUT", path=INSTANCE),
        FEW_CONNECTIONS,
    ),
    "body-of-an-unknown-path": (
        behaviors.body_short_of_its_end(LARGE_CONFIGURATION_BYTES, path=b"/none"),
        CROWD,
    ),
    "head-without-end": (behaviors.head_without_end(), CROWD),
    "requests-ahead": (
        behaviors.requests_ahead(behaviors.head(path=CONFIG, method=b"GET")),
        FEW_CONNECTIONS,
    ),
    "requests-ahead-then-reset": (
        behaviors.requests_ahead_then_reset(behaviors.head(path=CONFIG, method=b"GET")),
        CROWD,
    ),
    "idle": (behaviors.idle, MORE_THAN_DESCRIPTORS),
    "http2-streams": (behaviors.http2_streams, SMALL_CROWD),
    "websocket-message": (behaviors.websocket_message, SMALL_CROWD),
}
RPC_CROWDS = {
    "frame-short-of-its-end": (behaviors.rpc_frame_short_of_its_end, SMALL_CROWD),
    "frame-over-the-limit": (behaviors.rpc_frame_over_the_limit, SMALL_CROWD),
    "idle": (behaviors.idle, MORE_THAN_DESCRIPTORS),
}


def calls_of_all(fleet):
    """What the operator, a worker and a client ask for beside a crowd and after it."""
    return [fleet.read_configuration, lambda: _heartbeat(fleet), fleet.ordinary_request]


def calls_of_operator_and_client(fleet):
    """The same without the worker."""
    return [fleet.read_configuration, fleet.ordinary_request]


async def _heartbeat(fleet):
    await Worker(fleet.worker_host, fleet.control_host).register(1)
    return 200, b""


@pytest.mark.parametrize("name", HTTP_CROWDS)
def test_a_control_plane_process_endures_a_crowd_of_callers(name, tmp_path):
    meet(tmp_path, ROLE, calls_of_all, (HTTP_PORT, *HTTP_CROWDS[name]))


@pytest.mark.parametrize("name", RPC_CROWDS)
def test_a_control_plane_process_endures_a_crowd_at_its_rpc_listener(name, tmp_path):
    meet(tmp_path, ROLE, calls_of_all, (RPC_PORT, *RPC_CROWDS[name]))


def test_large_answers_left_unread_are_endured(tmp_path):
    """A large configuration, which many callers ask for and do not read."""
    behave = behaviors.once(behaviors.head(path=CONFIG, method=b"GET"))
    crowd = (HTTP_PORT, behave, CROWD)
    meet(tmp_path, ROLE, calls_of_operator_and_client, crowd, prepare=_put_large_configuration)


def test_subscriptions_to_a_large_configuration_left_unread_are_endured(tmp_path):
    crowd = (RPC_PORT, behaviors.rpc_subscription_unread, CROWD)
    meet(tmp_path, ROLE, calls_of_operator_and_client, crowd, prepare=_put_large_configuration)


def test_changes_told_to_subscribers_that_do_not_read_are_endured(tmp_path):
    """Subscribers take a small configuration, and then nothing of the large ones that follow."""
    subscribers = (RPC_PORT, behaviors.rpc_subscription_unread, CROWD)
    operator = (HTTP_PORT, _put_large_changes, 1)
    meet(tmp_path, ROLE, calls_of_operator_and_client, subscribers, operator)


async def _put_large_configuration(fleet):
    assert await _put(fleet, 2, _large_configuration(2)) == 200


async def _put_large_changes(client, _number):
    for version in range(2, 2 + LARGE_CHANGES):
        body = _large_configuration(version)
        fields = (b"If-Match: %d" % (version - 1), behaviors.length(len(body)))
        await client.send(behaviors.head(*fields, **PUT) + body)
        await asyncio.sleep(BETWEEN_CHANGES_S)


def test_a_single_large_configuration_is_taken_in_calm(tmp_path):
    async def scenario():
        async with asyncio.timeout(LIMIT_S), running_fleet(tmp_path) as fleet:
            body = _large_configuration(2)
            assert await _put(fleet, 2, body) == 200
            assert await fleet.read_configuration() == (200, body)

    asyncio.run(scenario())


def _large_configuration(version):
    routes = [
        {
            "Name": f"r-{n}", "Host": "shop.example", "PathPrefix": f"/n{n}/", "Type": "streaming",
            "TimeoutMs": 3000, "TargetLatencyMs": 400, "Priority": 1, "Service": "s", "MaxAttempts": 2,
        }
        for n in range(LARGE_ROUTES)
    ]  # fmt: skip
    document = json.loads(configuration(version))
    document["Routes"] += routes
    return json.dumps(document).encode()


async def _put(fleet, version, body):
    return (
        await http_call(
            fleet.control_host, HTTP_PORT, "PUT", "/api/config", body, [f"If-Match: {version - 1}"]
        )
    )[0]
