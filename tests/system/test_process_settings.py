"""Process settings, and the HTTP responses for error kinds."""

import pytest

from molespur.system.errors import ERROR_RESPONSES, ErrorKind, FleetError
from molespur.system.settings import process

SETTINGS = """
NodeName: core-1
Ip: 10.1.0.38
Zone: a
PortRange: [7660, 7675]
SeedNodes: ["10.1.0.38:8146", "10.2.0.30:8146"]
Bounds: {GracePeriodS: 8, Unknown: 3}
NotYetInvented: {a: 1}
"""


def test_settings_are_parsed_and_unknown_keys_ignored():
    settings = process.parse(SETTINGS)
    assert settings.rpc_address == "10.1.0.38:7660"
    assert settings.seed_rpc_addresses() == ["10.1.0.38:7660", "10.2.0.30:7660"]
    assert settings.bounds.grace_period_s == 8.0


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (SETTINGS.replace("Zone: a", ""), "Zone"),
        (SETTINGS.replace("GracePeriodS: 8", "GracePeriodS: soon"), "Bounds.GracePeriodS"),
        ("- a", "mapping"),
        ("a: [", "YAML"),
    ],
)
def test_an_error_in_the_settings_names_the_key(text, expected):
    with pytest.raises(FleetError) as problem:
        process.parse(text)
    assert problem.value.kind is ErrorKind.BAD_SETTINGS
    assert expected in problem.value.detail and "\n" not in problem.value.detail


def test_every_error_kind_except_bad_settings_has_a_response():
    assert set(ErrorKind) - set(ERROR_RESPONSES) == {ErrorKind.BAD_SETTINGS}
    assert all(a.status in (503, 408) for a in ERROR_RESPONSES.values() if a.guarantees_not_run)
