"""Steps of an operator and of workers."""

import json

from behave import given, then, when

from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION, WORKER_GROUPS

STATES = {pb.READY: "ready", pb.DRAINING: "draining", pb.SILENT: "silent"}


def body(version, timeout=800, **route):
    made = {"Name": "r", "Host": "h", "PathPrefix": "/p/", "TimeoutMs": timeout, "Service": "s", **route}
    return {"Version": version, "Routes": [made], "Services": [{"Name": "s"}]}


def put(context, configuration, base):
    data = configuration if isinstance(configuration, bytes) else json.dumps(configuration).encode()
    context.answer = context.plane.put(data, base)


def read(context):
    status, data = context.plane.call("GET", "/api/config")
    assert status == 200, status
    return json.loads(data)


@given("version {version:d} is in force")
def in_force(context, version):
    put(context, body(version), 0)
    assert context.answer[0] == 200


@when("the operator puts version {version:d} on top of {base:d}")
def puts(context, version, base):
    put(context, body(version), base)


@when("the operator puts version {version:d} on top of {base:d} with time-out {timeout:d}")
def puts_timeout(context, version, base, timeout):
    put(context, body(version, timeout), base)


FAULTS = {
    "a cut body": json.dumps(body(7)).encode()[:-9],
    "an unknown service": body(7, Service="t"),
    "two routes alike": {**body(7), "Routes": body(7)["Routes"] * 2},
    "no weight": body(7, TrafficSplit=[{"Service": "s", "Weight": 0}]),
    "no time-out": body(7, 0),
    "an old version": body(1, 300),
}


@when("the operator puts a configuration with {fault}")
def puts_fault(context, fault):
    put(context, FAULTS[fault], 1)


@when("the operator reads the configuration")
def reads(context):
    context.answer = context.plane.call("GET", "/api/config")


@when("the control plane loses power")
def loses_power(context):
    context.plane.lose_power()


@when("{count:d} changes follow one another")
def changes(context, count):
    for version in range(2, count + 2):
        put(context, body(version), version - 1)
        context.plane.pass_time(50.0)
        assert context.answer[0] == 200


@then("the answer is {status:d}")
def answered(context, status):
    assert context.answer[0] == status, context.answer


@then("the answer is {status:d} and names {field}")
def answered_naming(context, status, field):
    assert context.answer[0] == status, context.answer
    named = "10.0.0.1:80" if field == "the owner" else field
    assert named in context.answer[1].decode(), context.answer


@then("the configuration read back is version {version:d}")
def read_back(context, version):
    assert read(context)["Version"] == version


@then("the configuration read back has time-out {timeout:d}")
def read_back_timeout(context, timeout):
    assert read(context)["Routes"][0]["TimeoutMs"] == timeout


@then("the log holds fewer than {count:d} entries")
def log_holds(context, count):
    assert len(context.plane.host.store.load(CONFIGURATION).entries) < count


def beat(context, worker, sequence=1, address=None, state="ready"):
    number = worker.rpartition("-")[2]
    told = {
        "Service": "s",
        "Address": address or f"10.128.0.{number}:8080",
        "Zone": "a",
        "Version": "v1",
        "Capacity": 64,
        "State": state,
        "Sequence": sequence,
    }
    context.answer = context.plane.call("PUT", f"/api/instances/{worker}", json.dumps(told).encode())


def known(context, worker):
    for group in WORKER_GROUPS:
        found = context.plane.host.groups[group].state_machine.workers.get(worker)
        if found is not None:
            return STATES[found.state]
    return "unknown"


@given("worker {worker} is registered")
def registered(context, worker):
    beat(context, worker)
    assert context.answer[0] == 200


@when("worker {worker} sends a heartbeat with sequence {sequence:d}")
def sends(context, worker, sequence):
    beat(context, worker, sequence)


@when("worker {worker} says that it is draining")
def drains(context, worker):
    beat(context, worker, 2, state="draining")


@when("worker {worker} says goodbye")
def leaves(context, worker):
    context.answer = context.plane.call("DELETE", f"/api/instances/{worker}")
    assert context.answer[0] == 200


@when("worker {worker} registers at the address of worker {other}")
def takes_address(context, worker, other):
    beat(context, worker, address=f"10.128.0.{other.rpartition('-')[2]}:8080")


@when("{seconds:d} seconds pass with heartbeats of worker {worker} only")
def pass_with(context, seconds, worker):
    for _ in range(2 * seconds):
        context.plane.pass_time(500.0)
        context.sequence = getattr(context, "sequence", 1) + 1
        beat(context, worker, context.sequence)
        context.plane.silence()


HEARTBEAT_FAULTS = {
    "no JSON": b"{",
    "no service": b'{"Address":"10.128.0.1:80","Zone":"a","State":"ready"}',
    "a false state": b'{"Service":"s","Address":"10.128.0.1:80","Zone":"a","State":"tired"}',
}


@when("a heartbeat with {fault} comes")
def faulty(context, fault):
    context.answer = context.plane.call("PUT", "/api/instances/i-1", HEARTBEAT_FAULTS[fault])


@then("worker {worker} is {state}")
def is_state(context, worker, state):
    assert known(context, worker) == state, known(context, worker)


@then("{count:d} change was told")
@then("{count:d} changes were told")
def told(context, count):
    assert len([t for t in context.plane.told if t[0] in WORKER_GROUPS]) == count, context.plane.told
