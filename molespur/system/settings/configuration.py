"""The operator's configuration: parses and validates routes, services and limits.

An invalid configuration raises FleetError with the error kind of the response and a single line that names
the field.  Unknown fields are ignored.
"""

import json

import cattrs
from attrs import define, field

from ..errors import ErrorKind, FleetError
from .process import create_strict_converter, format_first_error

STREAMING, IDEMPOTENT, NON_IDEMPOTENT = "streaming", "idempotent", "non_idempotent"


@define
class Weight:
    """The weight of one service in a route's traffic split."""

    service: str
    weight: float


@define
class Route:
    """Destination and handling of the requests for a host and path prefix."""

    name: str
    host: str
    path_prefix: str
    type: str = NON_IDEMPOTENT
    timeout_ms: float = 30_000.0
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    traffic_split: tuple[Weight, ...] = ()
    max_attempts: int = 1
    session_affinity: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.type == IDEMPOTENT or (self.type == STREAMING and self.resumable)

    def targets(self) -> list[Weight]:
        """Return the services that receive the route's requests, with their weights."""
        return list(self.traffic_split) or [Weight(self.service or "", 1.0)]


@define
class Engine:
    """Properties of a service's model workers, as the operator configures them."""

    capacity: int = 1
    kv_capacity_tokens: float = 0.0
    kv_token_bytes: float = 0.0
    bandwidth_mbps: float = 1000.0
    handle_ttl_s: float = 5.0
    role_switch_s: float = 2.0


@define
class Service:
    """A group of interchangeable workers."""

    name: str
    health_path: str = "/healthz"
    max_connections: int = 100
    engine: Engine | None = None


@define
class Limits:
    """Size limits and timeouts for client requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 15_000.0

    @property
    def header_timeout_s(self) -> float:
        """Timeout for a request's headers in seconds; infinite if configured as 0."""
        return self.header_timeout_ms / 1000.0 if self.header_timeout_ms > 0 else float("inf")

    @property
    def idle_timeout_s(self) -> float:
        """Timeout for an idle client connection in seconds; infinite if configured as 0."""
        return self.idle_timeout_ms / 1000.0 if self.idle_timeout_ms > 0 else float("inf")


@define
class Configuration:
    """A version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = field(factory=Limits)


_CONVERTER = create_strict_converter()


def parse(body: bytes) -> Configuration:
    """Parse and validate a JSON text.  Raises FleetError(UNREADABLE or INVALID_CONFIGURATION)."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise FleetError(ErrorKind.UNREADABLE, f"not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise FleetError(ErrorKind.UNREADABLE, "not a JSON object")
    try:
        configuration = _CONVERTER.structure(raw, Configuration)
    except (cattrs.BaseValidationError, KeyError, ValueError, TypeError) as error:
        raise FleetError(ErrorKind.INVALID_CONFIGURATION, format_first_error(error)) from error
    check(configuration)
    return configuration


def parse_change(body: bytes) -> Configuration:
    """Parse and validate a configuration that is to be put in force.  Raises FleetError like `parse`.

    It is stricter than `parse`: a configuration that is in force may have been accepted by an earlier
    version of the program.
    """
    configuration = parse(body)
    services = {service.name for service in configuration.services}
    for index, route in enumerate(configuration.routes):
        is_known = not route.service or route.service in services
        _require(is_known, f"Routes[{index}].Service", f"unknown service {route.service!r}")
    return configuration


def check(configuration: Configuration) -> None:
    """Raise FleetError(INVALID_CONFIGURATION) if a configuration cannot be activated."""
    services = {service.name for service in configuration.services}
    _require(len(services) == len(configuration.services), "Services", "a name occurs twice")
    _require(configuration.version > 0, "Version", "must be above 0")
    matches = set()
    for index, route in enumerate(configuration.routes):
        key = f"Routes[{index}]"
        match = (route.host.lower(), route.path_prefix)
        _require(
            match not in matches,
            key,
            f"same Host and PathPrefix as another: {route.host} {route.path_prefix}",
        )
        matches.add(match)
        _require(route.timeout_ms > 0, f"{key}.TimeoutMs", "must be above 0")
        weights = [target.weight for target in route.targets()]
        _require(all(weight >= 0 for weight in weights), f"{key}.TrafficSplit", "a weight is below 0")
        _require(sum(weights) > 0, f"{key}.TrafficSplit", "the weights add up to 0")
        for target in route.targets():
            _require(target.service in services, f"{key}.Service", f"unknown service {target.service!r}")


def _require(is_valid: bool, key: str, problem: str) -> None:
    if not is_valid:
        raise FleetError(ErrorKind.INVALID_CONFIGURATION, f"{key}: {problem}")
