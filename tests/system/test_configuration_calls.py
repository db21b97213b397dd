"""What the owner of the configuration shard holds of a change while it is being committed."""

import asyncio
import json
import weakref

import pytest
from control import OneControlPlane

from molespur.system.settings import configuration
from molespur.system.shards.configuration import PutOutcome

CHANGES_AT_ONCE = 8


@pytest.fixture
def plane(tmp_path):
    control_plane = OneControlPlane(tmp_path)
    yield control_plane
    control_plane.close()


def test_a_change_under_way_holds_its_body_and_not_its_parsed_form(plane, monkeypatch):
    """Guards against a process over its memory: eight changes of 15,000 routes were held parsed at once."""
    parse, parsed, under_way, committed = configuration.parse_change, [], [], asyncio.Event()

    def recording_parse(body):
        result = parse(body)
        parsed.append(weakref.ref(result))
        return result

    async def propose(group, _data):
        under_way.append(group)
        await committed.wait()
        return PutOutcome.ACCEPTED

    monkeypatch.setattr(configuration, "parse_change", recording_parse)
    monkeypatch.setattr(plane.host, "propose", propose)

    async def scenario():
        bodies = [json.dumps({"Version": 1 + n, "Routes": []}).encode() for n in range(CHANGES_AT_ONCE)]
        changes = [asyncio.ensure_future(plane.calls.put_configuration(body, 0)) for body in bodies]
        while len(under_way) < CHANGES_AT_ONCE:
            await asyncio.sleep(0)
        assert len(parsed) == CHANGES_AT_ONCE and not any(reference() for reference in parsed)
        committed.set()
        await asyncio.gather(*changes)

    plane.loop.run_until_complete(asyncio.wait_for(scenario(), 20))


def test_a_change_with_an_unknown_service_beside_a_traffic_split_is_refused(plane):
    """Guards against an invalid configuration that is acknowledged: only one of the two was checked."""
    route = {"Name": "r", "Host": "h", "PathPrefix": "/p/", "Service": "unknown"}
    route["TrafficSplit"] = [{"Service": "s", "Weight": 1}]
    body = {"Version": 1, "Services": [{"Name": "s"}], "Routes": [route]}
    status, answer = plane.put(json.dumps(body).encode(), 0)
    assert status == 400 and b"unknown service" in answer
    route["Service"] = "s"
    assert plane.put(json.dumps(body).encode(), 0)[0] == 200
