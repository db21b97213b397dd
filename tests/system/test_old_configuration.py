"""What a scheduler refuses, and what not, while its configuration may be older than the promise allows."""

import json

import pytest
from wire import Client, Freshness, ScriptedWorker, answer, data_plane, header, request, run

from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION

LONG_BODY = b"x" * 5000
LONGEST_WAIT_S = 0.8


def configuration(version, prefix):
    route = {"Name": "r", "Host": "shop.example", "PathPrefix": prefix, "Type": "idempotent", "Service": "s"}
    route.update({"TimeoutMs": 5000, "TargetLatencyMs": 300, "MaxAttempts": 1})
    services = [{"Name": "s", "MaxConnections": 50}]
    limits = {"MaxBodyBytes": 1000, "MaxHeaderBytes": 4000}
    made = {"Version": version, "Routes": [route], "Services": services, "Limits": limits}
    return json.dumps(made).encode()


def ask(freshness, sent, newer=None):
    """(status, head) of one request; `newer`: the configuration that comes while the request waits."""
    told = []

    async def scenario():
        worker = ScriptedWorker("w", answer)
        async with data_plane(configuration(1, "/p/"), worker) as (port, ingress):
            ingress.freshness = freshness
            if newer is not None:
                state = pb.ConfigurationState(version=9, body=newer).SerializeToString()
                freshness.update = lambda: ingress.state.update(CONFIGURATION, False, state)
            client = await Client.connect(port)
            await client.send(sent)
            told.extend((await client.response())[:2])

    run(scenario())
    return told


REFUSED = {
    "route": (request(path=b"/none/"), 404),
    "body": (request(body=LONG_BODY), 413),
}


@pytest.mark.parametrize("what", REFUSED)
def test_a_fresh_configuration_refuses_for_good(what):
    sent, refusal = REFUSED[what]
    assert ask(Freshness(), sent)[0] == refusal


@pytest.mark.parametrize("what", REFUSED)
def test_an_old_one_refuses_nothing_for_good(what):
    """A change that it has missed may have added the route, or raised the limit."""
    sent, _refusal = REFUSED[what]
    status, head = ask(Freshness(fresh=False), sent)
    assert status == 503 and float(header(head, b"Retry-After")) > 0


def test_a_request_waits_for_the_state_that_knows_its_route():
    freshness = Freshness(fresh=False)
    status, _head = ask(freshness, request(path=b"/new/x"), newer=configuration(9, "/new/"))
    assert status == 200 and len(freshness.waited_s) == 1
    assert 0.0 < freshness.waited_s[0] <= LONGEST_WAIT_S, "within the client's patience"


def test_a_route_that_the_fresh_state_lacks_too_is_refused_for_good():
    freshness = Freshness(fresh=False)
    status, _head = ask(freshness, request(path=b"/none/"), newer=configuration(9, "/new/"))
    assert status == 404


def test_what_is_known_is_served_on_without_a_wait():
    freshness = Freshness(fresh=False)
    assert ask(freshness, request())[0] == 200
    assert freshness.waited_s == []
