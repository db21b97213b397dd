"""Steps for the operator and for workers."""

import json

from behave import given, then, when

from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION, WORKER_GROUPS

STATE_NAMES = {pb.READY: "ready", pb.DRAINING: "draining", pb.SILENT: "silent"}


def body(version, timeout=800, **route):
    fields = {"Name": "r", "Host": "h", "PathPrefix": "/p/", "TimeoutMs": timeout, "Service": "s", **route}
    return {"Version": version, "Routes": [fields], "Services": [{"Name": "s"}]}


def put_configuration(context, configuration, base):
    data = configuration if isinstance(configuration, bytes) else json.dumps(configuration).encode()
    context.response = context.plane.put(data, base)


def read_configuration(context):
    status, data = context.plane.call("GET", "/api/config")
    assert status == 200, status
    return json.loads(data)


@given("version {version:d} is in force")
def put_initial_version(context, version):
    put_configuration(context, body(version), 0)
    assert context.response[0] == 200


@when("the operator puts version {version:d} based on version {base:d}")
def put_version(context, version, base):
    put_configuration(context, body(version), base)


@when("the operator puts version {version:d} based on version {base:d} with a timeout of {timeout:d} ms")
def put_version_with_timeout(context, version, base, timeout):
    put_configuration(context, body(version, timeout), base)


FAULTS = {
    "a truncated body": json.dumps(body(7)).encode()[:-9],
    "an unknown service": body(7, Service="t"),
    "two identical routes": {**body(7), "Routes": body(7)["Routes"] * 2},
    "no weight": body(7, TrafficSplit=[{"Service": "s", "Weight": 0}]),
    "no timeout": body(7, 0),
    "an old version": body(1, 300),
}


@when("the operator puts a configuration with {fault}")
def put_faulty(context, fault):
    put_configuration(context, FAULTS[fault], 1)


@when("the operator reads the configuration")
def request_configuration(context):
    context.response = context.plane.call("GET", "/api/config")


@when("the control plane loses power")
def lose_power(context):
    context.plane.lose_power()


@when("{count:d} changes follow one another")
def put_many(context, count):
    for version in range(2, count + 2):
        put_configuration(context, body(version), version - 1)
        context.plane.pass_time(50.0)
        assert context.response[0] == 200


@then("the response status is {status:d}")
def check_status(context, status):
    assert context.response[0] == status, context.response


@then("the response status is {status:d} and the body names {field}")
def check_status_and_body(context, status, field):
    assert context.response[0] == status, context.response
    expected = "10.0.0.1:80" if field == "the owner" else field
    assert expected in context.response[1].decode(), context.response


@then("the configuration read back has version {version:d}")
def check_version(context, version):
    assert read_configuration(context)["Version"] == version


@then("the configuration read back has a timeout of {timeout:d} ms")
def check_timeout(context, timeout):
    assert read_configuration(context)["Routes"][0]["TimeoutMs"] == timeout


@then("the log holds fewer than {count:d} entries")
def check_log_size(context, count):
    assert len(context.plane.host.store.load(CONFIGURATION).entries) < count


def send_heartbeat(context, worker, sequence=1, address=None, state="ready"):
    number = worker.rpartition("-")[2]
    heartbeat = {
        "Service": "s",
        "Address": address or f"10.128.0.{number}:8080",
        "Zone": "a",
        "Version": "v1",
        "Capacity": 64,
        "State": state,
        "Sequence": sequence,
    }
    context.response = context.plane.call("PUT", f"/api/instances/{worker}", json.dumps(heartbeat).encode())


def known_state(context, worker):
    for group in WORKER_GROUPS:
        record = context.plane.host.groups[group].state_machine.workers.get(worker)
        if record is not None:
            return STATE_NAMES[record.state]
    return "unknown"


@given("worker {worker} is registered")
def register_worker(context, worker):
    send_heartbeat(context, worker)
    assert context.response[0] == 200


@when("worker {worker} sends a heartbeat with sequence {sequence:d}")
def send_with_sequence(context, worker, sequence):
    send_heartbeat(context, worker, sequence)


@when("worker {worker} sends a heartbeat with state draining")
def send_draining(context, worker):
    send_heartbeat(context, worker, 2, state="draining")


@when("worker {worker} deregisters")
def deregister(context, worker):
    context.response = context.plane.call("DELETE", f"/api/instances/{worker}")
    assert context.response[0] == 200


@when("worker {worker} registers at the address of worker {other}")
def register_at_address(context, worker, other):
    send_heartbeat(context, worker, address=f"10.128.0.{other.rpartition('-')[2]}:8080")


@when("{seconds:d} seconds pass with heartbeats of worker {worker} only")
def pass_time_with_heartbeats(context, seconds, worker):
    for _ in range(2 * seconds):
        context.plane.pass_time(500.0)
        context.sequence = getattr(context, "sequence", 1) + 1
        send_heartbeat(context, worker, context.sequence)
        context.plane.check_heartbeats()


HEARTBEAT_FAULTS = {
    "invalid JSON": b"{",
    "no service": b'{"Address":"10.128.0.1:80","Zone":"a","State":"ready"}',
    "an unknown state": b'{"Service":"s","Address":"10.128.0.1:80","Zone":"a","State":"tired"}',
}


@when("a heartbeat with {fault} arrives")
def send_faulty(context, fault):
    context.response = context.plane.call("PUT", "/api/instances/i-1", HEARTBEAT_FAULTS[fault])


@then("worker {worker} is {state}")
def check_state(context, worker, state):
    assert known_state(context, worker) == state, known_state(context, worker)


@then("{count:d} change was published")
@then("{count:d} changes were published")
def check_change_count(context, count):
    assert len([c for c in context.plane.changes if c[0] in WORKER_GROUPS]) == count, context.plane.changes
