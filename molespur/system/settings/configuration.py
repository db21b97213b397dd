"""A configuration of the operator: routes, services and limits, read whole and checked.

A configuration that can't be used raises FleetError with the kind to answer and one line that names the
field.  Fields that this version does not know are passed over.
"""

import json

import cattrs
from attrs import define, field

from ..errors import ErrorKind, FleetError
from .process import first_problem, strict_converter

STREAMING, IDEMPOTENT, NON_IDEMPOTENT = "streaming", "idempotent", "non_idempotent"


@define
class Weight:
    """A part of a route's requests that goes to one service."""

    service: str
    weight: float


@define
class Route:
    """Where the requests of a host and path prefix go, and what may be done with them."""

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
        """The services that the route's requests go to, each with its weight."""
        return list(self.traffic_split) or [Weight(self.service or "", 1.0)]


@define
class Engine:
    """What the operator tells of a service's model workers."""

    capacity: int = 1
    kv_capacity_tokens: float = 0.0
    kv_token_bytes: float = 0.0
    bandwidth_mbps: float = 1000.0
    handle_ttl_s: float = 5.0
    role_switch_s: float = 2.0


@define
class Service:
    """A group of workers that can take each other's requests."""

    name: str
    health_path: str = "/healthz"
    max_connections: int = 100
    engine: Engine | None = None


@define
class Limits:
    """What a client may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 15_000.0

    @property
    def header_timeout_s(self) -> float:
        """Seconds for a request's headers; without end where the operator says 0."""
        return self.header_timeout_ms / 1000.0 if self.header_timeout_ms > 0 else float("inf")

    @property
    def idle_timeout_s(self) -> float:
        """Seconds of silence that a client may keep; without end where the operator says 0."""
        return self.idle_timeout_ms / 1000.0 if self.idle_timeout_ms > 0 else float("inf")


@define
class Configuration:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = field(factory=Limits)


_CONVERTER = strict_converter()


def parse(body: bytes) -> Configuration:
    """A configuration from its JSON text.  Raises FleetError(UNREADABLE or INVALID_CONFIGURATION)."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise FleetError(ErrorKind.UNREADABLE, f"not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise FleetError(ErrorKind.UNREADABLE, "not a JSON object")
    try:
        configuration = _CONVERTER.structure(raw, Configuration)
    except (cattrs.BaseValidationError, KeyError, ValueError, TypeError) as error:
        raise FleetError(ErrorKind.INVALID_CONFIGURATION, first_problem(error)) from error
    check(configuration)
    return configuration


def check(configuration: Configuration) -> None:
    """Raise FleetError(INVALID_CONFIGURATION) for a configuration that can't be put in force."""
    services = {service.name for service in configuration.services}
    _require(len(services) == len(configuration.services), "Services", "a name occurs twice")
    _require(configuration.version > 0, "Version", "must be above 0")
    places = set()
    for number, route in enumerate(configuration.routes):
        where = f"Routes[{number}]"
        place = (route.host.lower(), route.path_prefix)
        _require(
            place not in places,
            where,
            f"same Host and PathPrefix as another: {route.host} {route.path_prefix}",
        )
        places.add(place)
        _require(route.timeout_ms > 0, f"{where}.TimeoutMs", "must be above 0")
        weights = [target.weight for target in route.targets()]
        _require(all(weight >= 0 for weight in weights), f"{where}.TrafficSplit", "a weight is below 0")
        _require(sum(weights) > 0, f"{where}.TrafficSplit", "the weights add up to 0")
        for target in route.targets():
            _require(target.service in services, f"{where}.Service", f"unknown service {target.service!r}")


def _require(good: bool, where: str, problem: str) -> None:
    if not good:
        raise FleetError(ErrorKind.INVALID_CONFIGURATION, f"{where}: {problem}")
