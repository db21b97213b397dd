"""Both protocols without I/O: what is read from answers, and what malformed ones come to."""

import json
from base64 import b64encode

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from molespur.registry import consul, etcd
from molespur.registry import model as m
from molespur.registry.consul import Consul
from molespur.registry.etcd import Etcd, fault_of, range_end
from molespur.registry.model import Why
from molespur.registry.protocol import Answer

HEADER = {
    "cluster_id": "14841639068965178418",
    "member_id": "1",
    "revision": "9223372036854775000",
    "raft_term": "2",
}


def b64(text):
    return b64encode(text.encode()).decode()


def test_ranges_end_behind_the_prefix():
    assert range_end("w/") == b64("w0")
    assert range_end("") == b64("\0")


def test_numbers_of_64_bits_and_left_out_fields():
    kv = {"key": b64("w/a"), "create_revision": "3", "mod_revision": "9007199254740993", "version": "1"}
    body = json.dumps({"header": HEADER, "kvs": [kv], "count": "1"}).encode()
    event, parts = Etcd("w/").page(4, Answer(200, body))
    assert event == m.PageRead(4, HEADER["cluster_id"], 9223372036854775000)
    assert list(parts) == [(m.Item("w/a", b"", 3, 9007199254740993),)]


def test_a_key_or_value_that_is_no_base64_is_named_and_harms_no_other():
    kvs = [
        {"key": b64("w/a"), "value": "!!", "create_revision": "1", "mod_revision": "1"},
        {"key": "????", "value": b64("{}"), "mod_revision": "1"},
        {"key": b64("w/c"), "value": b64("{}"), "create_revision": "x", "mod_revision": "1"},
        {"key": b64("w/d"), "value": b64("{}"), "create_revision": "1", "mod_revision": "1"},
    ]
    body = json.dumps({"header": HEADER, "kvs": kvs}).encode()
    _, parts = Etcd("w/").page(4, Answer(200, body))
    (items,) = parts
    assert items[0].value.startswith(b"not base64") and items[1].value.startswith(b"not a key")
    assert items[3] == m.Item("w/d", b"{}", 1, 1)


@pytest.mark.parametrize(
    ("code", "message", "http", "why"),
    [
        (16, "etcdserver: invalid auth token", 401, Why.TOKEN),
        (11, "etcdserver: mvcc: required revision has been compacted", 400, Why.COMPACTED),
        (11, "etcdserver: mvcc: required revision is a future revision", 400, Why.BEHIND),
        (7, "etcdserver: permission denied", 403, Why.DENIED),
        (3, "etcdserver: authentication failed, invalid user ID or password", 400, Why.DENIED),
        (14, "etcdserver: no leader", 503, Why.NO_LEADER),
        (14, "etcdserver: request timed out", 503, Why.BROKEN),
        (0, "bad gateway", 502, Why.BROKEN),
    ],
)
def test_what_grpc_codes_mean(code, message, http, why):
    assert fault_of(code, message, http).why is why
    body = json.dumps({"error": message, "code": code, "message": message}).encode()
    assert Etcd("w/").refused(Answer(http, body)).why is why


def test_a_watch_cancelled_for_compaction_or_for_its_token():
    reader = Etcd("w/").reader(1)
    result = {"header": HEADER, "canceled": True, "compact_revision": "70"}
    (event,) = reader.line(json.dumps({"result": result}).encode())
    assert event.fault.why is Why.COMPACTED
    result = {"header": HEADER, "canceled": True, "cancel_reason": "etcdserver: invalid auth token"}
    (event,) = reader.line(json.dumps({"result": result}).encode())
    assert event.fault.why is Why.TOKEN
    (event,) = reader.line(b'{"error":{"grpc_code":14,"http_code":503,"message":"etcdserver: no leader"}}')
    assert event.fault.why is Why.NO_LEADER


def test_fragments_are_told_as_one():
    reader = Etcd("w/").reader(1)

    def line(keys, fragment):
        events = [{"type": "DELETE", "kv": {"key": b64(k), "mod_revision": "7"}} for k in keys]
        return json.dumps({"result": {"header": HEADER, "events": events, "fragment": fragment}}).encode()

    assert list(reader.line(line("ab", True))) == []
    (event,) = reader.line(line("c", False))
    assert event.revision == 7 and [c.key for c in event.changes] == ["a", "b", "c"]


def test_fragments_without_end_are_bounded(monkeypatch):
    monkeypatch.setattr(etcd, "FRAGMENTS_MOST", 3)
    reader = Etcd("w/").reader(1)
    events = [{"type": "DELETE", "kv": {"key": b64("a"), "mod_revision": "7"}}] * 2
    line = json.dumps({"result": {"header": HEADER, "events": events, "fragment": True}}).encode()
    list(reader.line(line))
    with pytest.raises(ValueError):
        reader.line(line)


LINES = [
    b'{"result":{"header":{"cluster_id":"1","revision":"5"},"created":true}}',
    b'{"result":{"header":{"cluster_id":"1","revision":"5"},"events":[{"kv":{"key":"YQ==","mod_revision":"5"}}]}}',
]


@given(st.sampled_from(LINES), st.integers(0, 120), st.binary(max_size=3), st.integers(0, 9))
@settings(max_examples=1500, deadline=None, derandomize=True)
def test_any_damage_to_a_line_is_an_event_or_a_value_error(line, at, junk, cut):
    try:
        for event in Etcd("w/").reader(1).line(line[:at] + junk + line[at + cut :]):
            assert isinstance(event, m.Event)
    except ValueError:  # msgspec's errors are among these
        pass


def consul_answer(status=200, body=b"[]", **headers):
    given = {"x-consul-index": "9", "x-consul-knownleader": "true", "x-consul-lastcontact": "0"}
    return Answer(status, body, given | {k.replace("_", "-"): v for k, v in headers.items()})


@pytest.mark.parametrize(
    ("answer", "why"),
    [
        (consul_answer(x_consul_knownleader="false"), Why.NO_LEADER),
        (consul_answer(x_consul_lastcontact="60000"), Why.BEHIND),
        (consul_answer(500, b"No cluster leader"), Why.NO_LEADER),
        (consul_answer(403, b"Permission denied"), Why.DENIED),
        (Answer(404, b"a proxy's page"), Why.BROKEN),
        (consul_answer(x_consul_index="0"), Why.BROKEN),
    ],
)
def test_consul_answers_that_are_not_taken(answer, why):
    event, parts = Consul("w/").page(1, answer)
    assert event.fault.why is why and parts == ()


def test_an_empty_prefix_is_a_list_and_no_failure():
    event, parts = Consul("w/").page(1, consul_answer(404, b""))
    assert isinstance(event, m.PageRead) and event.revision == 9 and list(parts) == []


def test_blocking_queries_ask_from_an_index_above_0():
    assert "index=1&" in Consul("w/").watch(m.OpenWatch(1, 0, 0)).target
    assert Consul("w/").read(m.ReadPage(1, 0, proof=True)).target.endswith("recurse&consistent")


def test_health_of_a_service_becomes_records():
    def instance(ident, *checks, **meta):
        service = {"ID": ident, "Address": "", "Port": 3000, "Meta": meta, "CreateIndex": 3, "ModifyIndex": 4}
        return {"Node": {"Address": "10.0.0.1"}, "Service": service, "Checks": list(checks)}

    bad, maintained = (
        {"CheckID": "c", "Status": "critical"},
        {"CheckID": "_service_maintenance:b", "Status": "critical"},
    )
    body = json.dumps(
        [instance("a", az="z1"), instance("b", maintained), instance("c", bad), instance("d", pod_group="x")]
    )
    event, parts = Consul("", "records").page(1, consul_answer(body=body.encode()))
    items = {item.key: json.loads(item.value) for part in parts for item in part}
    assert isinstance(event, m.PageRead) and set(items) == {"a", "b", "d"}
    assert items["a"] == {"endpoint": "10.0.0.1:3000", "uid": "a", "az": "z1"}
    assert items["b"]["state"] == "leaving" and consul.META[0] == "az"
