"""The operator configuration: which changes are accepted, and which configurations are valid."""

import pytest

from molespur.system.errors import ERROR_RESPONSES, ErrorKind, FleetError
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.settings import configuration
from molespur.system.shards.configuration import ConfigurationStateMachine, PutOutcome


def change(version, base, body=b""):
    body = body or b"%d" % version
    digest = b"%d:%s" % (base, body)
    return pb.PutConfiguration(
        version=version, base_version=base, digest=digest, body=body
    ).SerializeToString()


def test_of_two_changes_with_the_same_base_version_one_is_accepted():
    machine = ConfigurationStateMachine()
    assert machine.apply(change(1, 0))[0] is PutOutcome.ACCEPTED
    assert machine.apply(change(5, 1, b"a"))[0] is PutOutcome.ACCEPTED
    assert machine.apply(change(5, 1, b"b"))[0] is PutOutcome.MISMATCH
    assert machine.apply(change(7, 1))[0] is PutOutcome.MISMATCH
    assert (machine.version, machine.body) == (5, b"a")


def test_an_accepted_change_is_never_refused():
    machine = ConfigurationStateMachine()
    for version, base in ((1, 0), (3, 1), (4, 3)):
        machine.apply(change(version, base))
    copy = ConfigurationStateMachine()
    copy.restore(machine.snapshot())
    for known in (machine, copy):
        assert [known.apply(change(v, b)) for v, b in ((1, 0), (3, 1), (4, 3))] == [
            (PutOutcome.ACCEPTED, None)
        ] * 3
        assert known.version == 4


def test_a_version_must_be_newer():
    machine = ConfigurationStateMachine()
    machine.apply(change(4, 0))
    assert machine.apply(change(4, 4, b"x"))[0] is PutOutcome.NOT_NEWER
    assert machine.apply(change(3, 4))[0] is PutOutcome.NOT_NEWER


ROUTE = '{"Name":"r","Host":"h","PathPrefix":"/p/","TimeoutMs":%s,"Service":"%s"}'


@pytest.mark.parametrize(
    ("body", "kind", "field"),
    [
        ('{"Version":1', ErrorKind.UNREADABLE, "JSON"),
        ("[]", ErrorKind.UNREADABLE, "object"),
        ('{"Version":"1"}', ErrorKind.INVALID_CONFIGURATION, "Version"),
        ('{"Routes":[]}', ErrorKind.INVALID_CONFIGURATION, "Version"),
        ('{"Version":0}', ErrorKind.INVALID_CONFIGURATION, "Version"),
        ('{"Version":1,"Routes":[' + ROUTE % (9, "s") + "]}", ErrorKind.INVALID_CONFIGURATION, "Service"),
        (
            '{"Version":1,"Services":[{"Name":"s"}],"Routes":[' + ROUTE % (0, "s") + "]}",
            ErrorKind.INVALID_CONFIGURATION,
            "TimeoutMs",
        ),
        (
            '{"Version":1,"Services":[{"Name":"s"}],"Routes":['
            + f"{ROUTE % (9, 's')},{ROUTE % (9, 's')}"
            + "]}",
            ErrorKind.INVALID_CONFIGURATION,
            "PathPrefix",
        ),
        (
            '{"Version":1,"Services":[{"Name":"s"}],"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/",'
            '"TrafficSplit":[{"Service":"s","Weight":0}]}]}',
            ErrorKind.INVALID_CONFIGURATION,
            "TrafficSplit",
        ),
    ],
)
def test_an_invalid_configuration_is_refused_with_a_one_line_message(body, kind, field):
    with pytest.raises(FleetError) as raised:
        configuration.parse(body.encode())
    assert raised.value.kind is kind and field in raised.value.detail and "\n" not in raised.value.detail
    assert 400 <= ERROR_RESPONSES[kind].status < 500


def test_an_unknown_service_beside_a_traffic_split_is_refused_but_stays_in_force():
    """Guards against an invalid configuration that is acknowledged; one that was stays readable."""
    body = (
        b'{"Version":1,"Services":[{"Name":"s"}],"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/",'
        b'"Service":"unknown","TrafficSplit":[{"Service":"s","Weight":1}]}]}'
    )
    with pytest.raises(FleetError) as raised:
        configuration.parse_change(body)
    assert raised.value.kind is ErrorKind.INVALID_CONFIGURATION
    assert raised.value.detail == "Routes[0].Service: unknown service 'unknown'"
    assert configuration.parse(body).version == 1


def test_a_traffic_split_may_stand_beside_a_known_service_or_none():
    for service in ('"Service":"s",', '"Service":"",', ""):
        route = '{"Name":"r","Host":"h","PathPrefix":"/p/",%s"TrafficSplit":[{"Service":"s","Weight":1}]}'
        body = '{"Version":1,"Services":[{"Name":"s"}],"Routes":[%s]}' % (route % service)
        accepted = configuration.parse_change(body.encode())
        assert [target.service for target in accepted.routes[0].targets()] == ["s"]


def test_unknown_keys_are_ignored():
    known = configuration.parse(
        b'{"Version":2,"New":1,"Services":[{"Name":"s","Tls":false,"Engine":{"stride":9}}]}'
    )
    assert known.version == 2 and known.services[0].engine.capacity == 1
