"""Settings of a process, and the answers to errors."""

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


def test_settings_are_read_and_unknown_keys_skipped():
    known = process.parse(SETTINGS)
    assert known.rpc_address == "10.1.0.38:7660"
    assert known.seed_rpc_addresses() == ["10.1.0.38:7660", "10.2.0.30:7660"]
    assert known.bounds.grace_period_s == 8.0


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (SETTINGS.replace("Zone: a", ""), "Zone"),
        (SETTINGS.replace("GracePeriodS: 8", "GracePeriodS: soon"), "Bounds.GracePeriodS"),
        ("- a", "mapping"),
        ("a: [", "YAML"),
    ],
)
def test_settings_that_cannot_be_used_name_the_key(text, named):
    with pytest.raises(FleetError) as problem:
        process.parse(text)
    assert problem.value.kind is ErrorKind.BAD_SETTINGS
    assert named in problem.value.detail and "\n" not in problem.value.detail


def test_every_error_kind_but_bad_settings_has_an_answer():
    assert set(ErrorKind) - set(ERROR_RESPONSES) == {ErrorKind.BAD_SETTINGS}
    assert all(a.status in (503, 408) for a in ERROR_RESPONSES.values() if a.guarantees_not_run)
