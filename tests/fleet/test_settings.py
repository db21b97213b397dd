"""The deployment's [fleet] and [shared] tables: errors name the faulty key; seeds from a list and a file."""

import pytest

from molespur import Settings
from molespur.config import ConfigError
from molespur.config import deployment as d
from molespur.fleet.seeds import read_seeds
from molespur.fleet.sharing import BudgetKind
from molespur.interface import JobClass

SITE = Settings(classes=(JobClass("a", 1.0, 2.0), JobClass("b", 1.0, 2.0, priority=3)), balancers=200)
FAULTS = {
    "fleet.probe_timeout_ms": ({"fleet.probe_timeout_ms": "1000"}, "must be below fleet.period_ms"),
    "fleet.bind": ({"fleet.bind": "localhost:7946"}, "numeric IPv4"),
    "fleet.advertise": ({"fleet.advertise": "[::1]:7946"}, "numeric IPv4"),
    "fleet.seeds": ({"fleet.seeds": "10.0.0.1"}, "must be host:port"),
    "fleet.datagram_most": ({"fleet.datagram_most": "100"}, "512 to 65000"),
    "fleet.indirect": ({"fleet.indirect": "0"}, "fleet.indirect"),
    "fleet.cluster": ({"fleet.cluster": ""}, "1 to 64"),
    "shared.enabled": ({"shared.enabled": "true"}, "needs fleet.enabled"),
    "shared.witnesses": ({"shared.witnesses": "a,b"}, "one, three, five"),
    "shared.loan_ms": ({"shared.loan_ms": "4000"}, "below shared.lease_ms"),
    "shared.renew_ms": ({"shared.renew_ms": "1500"}, "half of shared.loan_ms"),
    "shared.floor": ({"shared.floor": "0"}, "shared.floor"),
    "shared.margin_ms": (
        {"shared.margin_ms": "50", "shared.enabled": "true", "fleet.enabled": "true"},
        "twice fleet.tick_ms",
    ),
}


@pytest.mark.parametrize("key", FAULTS)
def test_the_error_names_the_faulty_key(key):
    flags, text = FAULTS[key]
    with pytest.raises(ConfigError) as problem:
        d.read(None, {}, flags)
    assert key in str(problem.value) and text in str(problem.value)


def test_flags_and_the_tuning():
    deployment, _ = d.read(None, {}, {"fleet.enabled": "true", "fleet.seeds": "10.0.0.1:7946,10.0.0.2:7946"})
    tuning = deployment.fleet.tuning()
    assert deployment.fleet.enabled and deployment.fleet.seeds == ["10.0.0.1:7946", "10.0.0.2:7946"]
    assert (tuning.period_ms, tuning.probe_timeout_ms, tuning.stall_threshold_ms) == (1000.0, 500.0, 250.0)


def test_shared_settings_make_the_sharing_config_and_its_fingerprint():
    given = {"shared.witnesses": "a,b,c", "shared.quorum": "5"}
    part = d.read(None, {}, given)[0].shared
    config = part.share({"conn": BudgetKind(32.0, 3000.0, False, 1.0)}, SITE)
    assert (config.witnesses, config.size, config.quorum, config.majority) == (("a", "b", "c"), 200, 5, 2)
    assert (config.priorities, config.watchers) == ((0, 3), 0), "nothing is watched without probes"
    assert config.hold_ms == 4000.0 + 250.0 + 3000.0
    assert config.fingerprint == part.share({"conn": BudgetKind(32.0, 3000.0, False, 1.0)}, SITE).fingerprint
    assert config.fingerprint != part.share({"conn": BudgetKind(33.0, 3000.0, False, 1.0)}, SITE).fingerprint


def test_seeds_from_a_list_and_a_file(tmp_path):
    path = tmp_path / "seeds.json"
    path.write_text('["10.0.0.2:7946", "10.0.0.3:7946"]')
    assert read_seeds(["10.0.0.2:7946"], str(path)) == (("10.0.0.2", 7946), ("10.0.0.3", 7946))
    for text, why in (("{}", "not a JSON list"), ('["x"]', "must be host:port")):
        path.write_text(text)
        with pytest.raises(ConfigError, match=why):
            read_seeds([], str(path))
    with pytest.raises(ConfigError, match=r"fleet\.seeds_file"):
        read_seeds([], str(tmp_path / "none.json"))
