"""Settings of a process: the YAML file that `MOLESPUR_SETTINGS` names, read and checked at start.

Unknown keys are skipped.  Errors are `FleetError(BAD_SETTINGS)` with one line that names the key.
"""

import re
from pathlib import Path
from typing import Any

import cattrs
import yaml
from attrs import field, fields, frozen, has
from cattrs.gen import make_dict_structure_fn, override

from ..errors import ErrorKind, FleetError

VARIABLE = "MOLESPUR_SETTINGS"
LOWER_CASE_KEYS = frozenset(("gap_aim_ms",))


@frozen
class Bounds:
    """Bounds of the rules that this process must know.  Units are in the names."""

    retry_budget_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_budget_min: float = 0.0
    grace_period_s: float = 8.0
    drain_timeout_ms: float = 2000.0
    config_propagation_ms: float = 2000.0
    liveness_ms: float = 3000.0
    lease_ms: float = 3000.0
    sync_time_s: float = 4.0


@frozen
class FaultTolerance:
    """What may be lost at once with all promises kept."""

    nodes: int = 1
    zones: int = 0
    regions: int = 0


@frozen
class ProcessSettings:
    """Settings of one process, by the names of the file."""

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seed_nodes: tuple[str, ...]
    listen: dict[str, str] = field(factory=dict)
    region: str = ""
    zones: dict[str, str] = field(factory=dict)
    bootstrap: bool = False
    counts_for_quorum: bool = False
    data_directory: str | None = None
    heartbeat_interval_ms: float = 1000.0
    fault_tolerance: FaultTolerance = field(factory=FaultTolerance)
    bounds: Bounds = field(factory=Bounds)
    bind_ip: str = ""

    @property
    def local_ip(self) -> str:
        """Where this process is itself: others reach it by `ip`, which may lead through a relay."""
        return self.bind_ip or self.ip

    @property
    def rpc_port(self) -> int:
        """The port on which control-plane processes listen for other processes of the fleet."""
        return self.port_range[0]

    @property
    def rpc_address(self) -> str:
        """This process's own address for other processes of the fleet."""
        return f"{self.ip}:{self.rpc_port}"

    @property
    def peer_address(self) -> str:
        """Where a data-plane process takes datagrams of others."""
        return f"{self.ip}:{self.port_range[1]}"

    def seed_rpc_addresses(self) -> list[str]:
        """The seeds' addresses for other processes of the fleet: all machines use the same ports."""
        return [f"{seed.rpartition(':')[0]}:{self.rpc_port}" for seed in self.seed_nodes]


def _numbers(value: Any, _type: type) -> float:
    """Structure hook: a number that is not a truth value."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"want a number, got {value!r}")
    return value


def _text(value: Any, _type: type) -> str:
    """Structure hook: text, and nothing that only could be turned into it."""
    if not isinstance(value, str):
        raise ValueError(f"want text, got {value!r}")
    return value


def _truth(value: Any, _type: type) -> bool:
    """Structure hook: true or false."""
    if not isinstance(value, bool):
        raise ValueError(f"want true or false, got {value!r}")
    return value


def wire_name(attribute: str) -> str:
    """The key that a settings file or a configuration has for an attribute: `node_name` is NodeName there."""
    if attribute in LOWER_CASE_KEYS:
        return attribute
    return "".join(word.capitalize() for word in attribute.split("_"))


def strict_converter() -> cattrs.Converter:
    """A converter that skips unknown keys and turns no value into another type."""
    converter = cattrs.Converter()
    converter.register_structure_hook_factory(has, lambda cls: _structure_by_key(cls, converter))
    converter.register_structure_hook(float, lambda v, t: float(_numbers(v, t)))
    converter.register_structure_hook(int, lambda v, t: int(_numbers(v, t)))
    converter.register_structure_hook(str, _text)
    converter.register_structure_hook(bool, _truth)
    return converter


def _structure_by_key(cls: type, converter: cattrs.Converter):
    """Structure hook of an attrs class whose attributes have the keys of the wire."""
    renamed = {a.name: override(rename=wire_name(a.name)) for a in fields(cls)}
    return make_dict_structure_fn(cls, converter, **renamed)


def first_problem(error: BaseException) -> str:
    """The first leaf of a tree of cattrs errors as one line: what is wrong, then the path of keys to it."""
    lines = cattrs.transform_error(error)
    problem, at, path = (lines[0] if lines else str(error)).rpartition(" @ $")
    if not at:
        return path
    keys = re.sub(r"\.(\w+)", lambda match: f".{wire_name(match.group(1))}", path)
    return f"{keys.lstrip('.')}: {problem}"


_CONVERTER = strict_converter()


def parse(text: str) -> ProcessSettings:
    """Settings from the text of a file.  Raises FleetError(BAD_SETTINGS)."""
    try:
        raw = yaml.load(text, getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        raise FleetError(ErrorKind.BAD_SETTINGS, f"not YAML: {' '.join(str(error).split())}") from error
    if not isinstance(raw, dict):
        raise FleetError(ErrorKind.BAD_SETTINGS, "the file holds no mapping")
    try:
        return _CONVERTER.structure(raw, ProcessSettings)
    except (cattrs.BaseValidationError, KeyError, ValueError, TypeError) as error:
        raise FleetError(ErrorKind.BAD_SETTINGS, first_problem(error)) from error


def load(environment: dict[str, str]) -> ProcessSettings:
    """Settings from the file that the environment names.  Raises FleetError(BAD_SETTINGS)."""
    path = environment.get(VARIABLE)
    if not path:
        raise FleetError(ErrorKind.BAD_SETTINGS, f"{VARIABLE} is not set")
    try:
        return parse(Path(path).read_text())
    except OSError as error:
        raise FleetError(ErrorKind.BAD_SETTINGS, f"{VARIABLE}: {error.strerror}: {path}") from error
