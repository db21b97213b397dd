"""Process settings: parses and validates the YAML file that `MOLESPUR_SETTINGS` names.

Unknown keys are ignored.  Errors are raised as `FleetError(BAD_SETTINGS)` with a single line that names the
key.
"""

import re
from pathlib import Path
from typing import Any

import cattrs
import yaml
from attrs import field, fields, frozen, has
from cattrs.gen import make_dict_structure_fn, override

from ..errors import ErrorKind, FleetError

SETTINGS_VARIABLE = "MOLESPUR_SETTINGS"
LOWER_CASE_KEYS = frozenset(("gap_aim_ms",))


@frozen
class Bounds:
    """Limits and timeouts that the process has to observe."""

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
    """Simultaneous failures that the fleet has to tolerate without breaking a guarantee."""

    nodes: int = 1
    zones: int = 0
    regions: int = 0


@frozen
class ProcessLimits:
    """What the platform grants a process."""

    memory_mb: float = 256.0
    max_open_files: int = 4096


@frozen
class ProcessSettings:
    """Settings of a process; `wire_name` gives the key of each attribute in the file."""

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
    limits: ProcessLimits = field(factory=ProcessLimits)
    bind_ip: str = ""

    @property
    def local_ip(self) -> str:
        """The local address to bind to.  Others connect to `ip`, which may belong to a relay."""
        return self.bind_ip or self.ip

    @property
    def rpc_port(self) -> int:
        """The port on which control-plane processes accept RPC connections."""
        return self.port_range[0]

    @property
    def rpc_address(self) -> str:
        """The address at which other processes reach this one by RPC."""
        return f"{self.ip}:{self.rpc_port}"

    @property
    def peer_address(self) -> str:
        """The address at which a data-plane process receives datagrams from its peers."""
        return f"{self.ip}:{self.port_range[1]}"

    def seed_rpc_addresses(self) -> list[str]:
        """Return the RPC addresses of the seed nodes.  All machines use the same port range."""
        return [f"{seed.rpartition(':')[0]}:{self.rpc_port}" for seed in self.seed_nodes]


def _require_number(value: Any, _type: type) -> float:
    """Structure hook: accepts a number that is not a Boolean."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"want a number, got {value!r}")
    return value


def _require_string(value: Any, _type: type) -> str:
    """Structure hook: accepts only strings, without conversion from other types."""
    if not isinstance(value, str):
        raise ValueError(f"want text, got {value!r}")
    return value


def _require_bool(value: Any, _type: type) -> bool:
    """Structure hook: accepts only Booleans."""
    if not isinstance(value, bool):
        raise ValueError(f"want true or false, got {value!r}")
    return value


def wire_name(attribute: str) -> str:
    """Return the key of an attribute in a settings file or configuration: NodeName for `node_name`."""
    if attribute in LOWER_CASE_KEYS:
        return attribute
    return "".join(word.capitalize() for word in attribute.split("_"))


def create_strict_converter() -> cattrs.Converter:
    """Return a converter that ignores unknown keys and does not convert values between types."""
    converter = cattrs.Converter()
    converter.register_structure_hook_factory(has, lambda cls: _structure_by_key(cls, converter))
    converter.register_structure_hook(float, lambda v, t: float(_require_number(v, t)))
    converter.register_structure_hook(int, lambda v, t: int(_require_number(v, t)))
    converter.register_structure_hook(str, _require_string)
    converter.register_structure_hook(bool, _require_bool)
    return converter


def _structure_by_key(cls: type, converter: cattrs.Converter):
    """Return the structure hook of an attrs class; keys are the wire names of its attributes."""
    renamed = {a.name: override(rename=wire_name(a.name)) for a in fields(cls)}
    return make_dict_structure_fn(cls, converter, **renamed)


def format_first_error(error: BaseException) -> str:
    """Return the first leaf of a tree of cattrs errors as one line: path of keys, then problem."""
    lines = cattrs.transform_error(error)
    problem, separator, path = (lines[0] if lines else str(error)).rpartition(" @ $")
    if not separator:
        return path
    keys = re.sub(r"\.(\w+)", lambda match: f".{wire_name(match.group(1))}", path)
    return f"{keys.lstrip('.')}: {problem}"


_CONVERTER = create_strict_converter()


def parse(text: str) -> ProcessSettings:
    """Parse the text of a settings file.  Raises FleetError(BAD_SETTINGS)."""
    try:
        raw = yaml.load(text, getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        raise FleetError(ErrorKind.BAD_SETTINGS, f"not YAML: {' '.join(str(error).split())}") from error
    if not isinstance(raw, dict):
        raise FleetError(ErrorKind.BAD_SETTINGS, "the file does not contain a mapping")
    try:
        return _CONVERTER.structure(raw, ProcessSettings)
    except (cattrs.BaseValidationError, KeyError, ValueError, TypeError) as error:
        raise FleetError(ErrorKind.BAD_SETTINGS, format_first_error(error)) from error


def load(environment: dict[str, str]) -> ProcessSettings:
    """Load the settings file that the environment names.  Raises FleetError(BAD_SETTINGS)."""
    path = environment.get(SETTINGS_VARIABLE)
    if not path:
        raise FleetError(ErrorKind.BAD_SETTINGS, f"{SETTINGS_VARIABLE} is not set")
    try:
        return parse(Path(path).read_text())
    except OSError as error:
        raise FleetError(ErrorKind.BAD_SETTINGS, f"{SETTINGS_VARIABLE}: {error.strerror}: {path}") from error
