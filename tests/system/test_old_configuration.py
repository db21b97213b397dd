"""What a scheduler refuses while its configuration may be older than the propagation bound."""

import json

import pytest
from wire import Client, Freshness, ScriptedWorker, answer, data_plane, header, request, run

from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION

LONG_BODY = b"x" * 5000
MAX_WAIT_S = 0.8


def configuration(version, prefix):
    route = {"Name": "r", "Host": "shop.example", "PathPrefix": prefix, "Type": "idempotent", "Service": "s"}
    route.update({"TimeoutMs": 5000, "TargetLatencyMs": 300, "MaxAttempts": 1})
    services = [{"Name": "s", "MaxConnections": 50}]
    limits = {"MaxBodyBytes": 1000, "MaxHeaderBytes": 4000}
    fields = {"Version": version, "Routes": [route], "Services": services, "Limits": limits}
    return json.dumps(fields).encode()


def send_request(freshness, sent, newer=None):
    """(status, head) of one response; `newer`: the configuration that arrives while the request waits."""
    received = []

    async def scenario():
        worker = ScriptedWorker("w", answer)
        async with data_plane(configuration(1, "/p/"), worker) as (port, ingress):
            ingress.freshness = freshness
            if newer is not None:
                state = pb.ConfigurationState(version=9, body=newer).SerializeToString()
                freshness.update = lambda: ingress.state.update(CONFIGURATION, False, state)
            client = await Client.connect(port)
            await client.send(sent)
            received.extend((await client.response())[:2])

    run(scenario())
    return received


REFUSED = {
    "route": (request(path=b"/none/"), 404),
    "body": (request(body=LONG_BODY), 413),
}


@pytest.mark.parametrize("what", REFUSED)
def test_a_fresh_configuration_refuses_permanently(what):
    sent, refusal = REFUSED[what]
    assert send_request(Freshness(), sent)[0] == refusal


@pytest.mark.parametrize("what", REFUSED)
def test_an_old_configuration_refuses_nothing_permanently(what):
    """A change that has not arrived may have added the route or raised the limit."""
    sent, _refusal = REFUSED[what]
    status, head = send_request(Freshness(fresh=False), sent)
    assert status == 503 and float(header(head, b"Retry-After")) > 0


def test_a_request_without_a_route_waits_for_a_fresh_configuration():
    freshness = Freshness(fresh=False)
    status, _head = send_request(freshness, request(path=b"/new/x"), newer=configuration(9, "/new/"))
    assert status == 200 and len(freshness.waited_s) == 1
    assert 0.0 < freshness.waited_s[0] <= MAX_WAIT_S, "within the time that a client waits"


def test_a_route_that_the_fresh_configuration_lacks_is_refused_permanently():
    freshness = Freshness(fresh=False)
    status, _head = send_request(freshness, request(path=b"/none/"), newer=configuration(9, "/new/"))
    assert status == 404


def test_a_known_route_is_served_without_waiting():
    freshness = Freshness(fresh=False)
    assert send_request(freshness, request())[0] == 200
    assert freshness.waited_s == []
