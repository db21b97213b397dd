"""The usual client libraries of both protocols work against the stand-in registry."""

import threading

import consul
import etcd3gw
import pytest
from far_registry import registry_thread


@pytest.fixture
def place():
    with registry_thread() as address:
        host, port = address.split(":")
        yield host, int(port)


@pytest.fixture
def etcd(place):
    return etcd3gw.client(host=place[0], port=place[1], api_path="/v3/", timeout=20)


@pytest.fixture
def kept(place):
    return consul.Consul(host=place[0], port=place[1])


def test_etcd_keys(etcd):
    etcd.put("a/1", "one")
    etcd.put("a/2", "two")
    etcd.put("b", "three")
    assert etcd.get("a/1") == [b"one"] and etcd.get("none") == []
    assert [value for value, _ in etcd.get_prefix("a/")] == [b"one", b"two"]
    assert etcd.delete("b") is True and etcd.get("b") == []
    assert etcd.delete_prefix("a/") is True and list(etcd.get_prefix("a/")) == []


def test_etcd_transactions(etcd):
    assert etcd.create("k", "first") is True
    assert etcd.create("k", "again") is False
    assert etcd.replace("k", "first", "second") is True
    assert etcd.replace("k", "first", "third") is False
    assert etcd.get("k") == [b"second"]


def test_etcd_leases(etcd):
    lease = etcd.lease(ttl=30)
    etcd.put("held", "x", lease=lease)
    assert lease.keys() == [b"held"] and 0 < lease.ttl() <= 30 and lease.refresh() == 30
    lease.revoke()
    assert etcd.get("held") == []


def test_etcd_watches(etcd):
    events, cancel = etcd.watch_prefix("w/")
    threading.Timer(0.2, lambda: (etcd.put("w/1", "one"), etcd.put("x", "no"), etcd.delete("w/1"))).start()
    put, deleted = next(events), next(events)
    cancel()
    assert put["kv"]["key"] == b"w/1" and put["kv"]["value"] == b"one"
    assert deleted["type"] == "DELETE" and deleted["kv"]["key"] == b"w/1"


def test_consul_keys_and_check_and_set(kept):
    assert kept.kv.put("a/1", "one") and kept.kv.put("a/2", "two")
    index, got = kept.kv.get("a/1")
    assert got["Value"] == b"one" and int(index) >= got["ModifyIndex"]
    assert kept.kv.put("a/1", "uno", cas=got["ModifyIndex"]) is True
    assert kept.kv.put("a/1", "eins", cas=got["ModifyIndex"]) is False
    _, all_of = kept.kv.get("a/", recurse=True)
    assert [pair["Value"] for pair in all_of] == [b"uno", b"two"]
    _, names = kept.kv.get("a/", keys=True)
    assert names == ["a/1", "a/2"]
    kept.kv.delete("a/", recurse=True)
    assert kept.kv.get("a/", recurse=True)[1] is None


def test_consul_blocking_queries(kept):
    kept.kv.put("k", "one")
    index, _ = kept.kv.get("k")
    threading.Timer(0.2, lambda: kept.kv.put("k", "two")).start()
    later, got = kept.kv.get("k", index=index, wait="20s")
    assert got["Value"] == b"two" and int(later) > int(index)
    again, _ = kept.kv.get("k", index=later, wait="100ms")
    assert again == later


def test_consul_sessions(kept):
    session = kept.session.create(behavior="delete", ttl=30, lock_delay=0)
    assert kept.kv.put("held", "x", acquire=session) is True
    assert kept.kv.get("held")[1]["Session"] == session
    other = kept.session.create(behavior="delete", ttl=30)
    assert kept.kv.put("held", "y", acquire=other) is False
    assert kept.session.renew(session)["ID"] == session
    kept.session.destroy(session)
    assert kept.kv.get("held")[1] is None


def test_consul_services(kept):
    kept.agent.service.register("records", service_id="records-1", address="127.0.0.1", port=3001)
    kept.agent.service.register("records", service_id="records-2", address="127.0.0.1", port=3002)
    kept.agent.service.maintenance("records-2", "true")
    _, all_of = kept.health.service("records")
    assert [one["Service"]["Port"] for one in all_of] == [3001, 3002]
    _, passing = kept.health.service("records", passing=True)
    assert [one["Service"]["ID"] for one in passing] == ["records-1"]
    kept.agent.service.deregister("records-1")
    assert len(kept.health.service("records")[1]) == 1
