"""The deployment file of other installations: TOML, each key also a flag and an environment variable.

A key `part.name` is the flag `--part-name` and the variable `MOLESPUR_PART_NAME`.  The order is flag,
environment, file, default.  What the platform tells a scheduler (`LB_CONFIG`, other `LB_*`) is not here.
"""

import difflib
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from .platform import ConfigError, parse_address

FILE_VARIABLE = "MOLESPUR_DEPLOYMENT"
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]


class _Part(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A table of the file."""


class Log(_Part):
    """How the program logs."""

    format: Annotated[Literal["plain", "json", "console"], Meta(description="form of the log's lines")] = (
        "plain"
    )
    level: Annotated[
        Literal["debug", "info", "warning", "error"], Meta(description="the least that is logged")
    ] = "info"


class ClusterPart(_Part):
    """Where the list of workers comes from."""

    source: Annotated[
        Literal["discovery", "etcd", "consul", "file"],
        Meta(description="what lists the workers: the platform's discovery, a registry or a static file"),
    ] = "discovery"
    file: Annotated[str, Meta(description="the static file (JSON or TOML); read again on SIGHUP")] = ""


class Registry(_Part):
    """The registry of workers."""

    endpoints: Annotated[
        list[str], Meta(description="its members, host:port, numeric; comma separated as a flag")
    ] = msgspec.field(default_factory=lambda: ["127.0.0.1:2379"])
    prefix: Annotated[str, Meta(description="keys of workers begin with this")] = "molespur/workers/"
    service: Annotated[
        str, Meta(description="Consul only: follow the health of this service in place of keys")
    ] = ""
    user: Annotated[str, Meta(description="etcd: user to authenticate as")] = ""
    password: Annotated[str, Meta(description="etcd: that user's password; better by environment")] = ""
    token: Annotated[str, Meta(description="Consul: ACL token; better by environment")] = ""
    stale_reads: Annotated[bool, Meta(description="let any member answer reads, also one that lags")] = False
    max_stale_ms: Annotated[
        Positive, Meta(description="Consul: a stale answer this long without its leader is not taken")
    ] = 10_000.0
    page: Annotated[Count, Meta(description="keys a page of a full read (etcd)")] = 500
    wait_ms: Annotated[Positive, Meta(description="Consul: how long a blocking query may wait")] = 30_000.0
    dial_ms: Annotated[Positive, Meta(description="for a connection to a member to come up")] = 1_000.0
    read_ms: Annotated[Positive, Meta(description="for one answer, or one page of a full read")] = 5_000.0
    silence_ms: Annotated[
        Positive, Meta(description="a watch that says nothing for this long is opened again")
    ] = 15_000.0
    backoff_ms: Annotated[Positive, Meta(description="first wait after a failure; doubles, with jitter")] = (
        100.0
    )
    backoff_most_ms: Annotated[Positive, Meta(description="the longest wait after failures")] = 5_000.0
    most_workers: Annotated[Count, Meta(description="workers beyond this are passed over, and counted")] = (
        20_000
    )
    record_most: Annotated[Count, Meta(description="bytes of a worker's record at most")] = 4_096
    snapshot: Annotated[
        str, Meta(description="file for the last list, loaded at start if newer; empty: none")
    ] = ""
    snapshot_every_ms: Annotated[Positive, Meta(description="the snapshot is written at most this often")] = (
        1_000.0
    )


class Registration(_Part):
    """A worker's own registration."""

    ttl_s: Annotated[Count, Meta(description="a lease's time to live, whole seconds")] = 10


class Fleet(_Part):
    """The schedulers among themselves: membership by SWIM with Lifeguard (docs/operate/fleet_view.md)."""

    enabled: Annotated[bool, Meta(description="keep a view of the fleet with the other schedulers")] = False
    id: Annotated[str, Meta(description="this member's stable id; empty: the scheduler's name")] = ""
    bind: Annotated[str, Meta(description="host:port for UDP and TCP, numeric IPv4")] = "127.0.0.1:7946"
    advertise: Annotated[str, Meta(description="host:port that others reach us at; empty: bind")] = ""
    cluster: Annotated[str, Meta(description="the fleet's name; others' messages are dropped")] = "molespur"
    seeds: Annotated[list[str], Meta(description="members to join by, host:port; a flag: commas")] = (
        msgspec.field(default_factory=list)
    )
    seeds_file: Annotated[str, Meta(description="JSON list of seeds, host:port; read on SIGHUP")] = ""
    seeds_from_registry: Annotated[bool, Meta(description="find others in [registry], be found")] = False
    registry_prefix: Annotated[str, Meta(description="keys of schedulers' records")] = "molespur/schedulers/"
    period_ms: Annotated[Positive, Meta(description="one probe a period")] = 1_000.0
    probe_timeout_ms: Annotated[Positive, Meta(description="for a direct ack; below period_ms")] = 500.0
    indirect: Annotated[Count, Meta(description="members asked to probe for us when no ack comes")] = 3
    suspicion_mult: Annotated[Positive, Meta(description="least suspicion: this x log10(n) x period")] = 4.0
    suspicion_max_mult: Annotated[Positive, Meta(description="longest suspicion: this x the least")] = 6.0
    retransmit_mult: Annotated[Count, Meta(description="news goes out this x log10(n + 1) times")] = 4
    gossip_ms: Annotated[Positive, Meta(description="news is sent to a few members this often")] = 200.0
    gossip_nodes: Annotated[Count, Meta(description="members that news is sent to each gossip_ms")] = 3
    push_pull_ms: Annotated[Positive, Meta(description="views are swapped this often, more beyond 32")] = (
        15_000.0
    )
    tombstone_ms: Annotated[Positive, Meta(description="failed and left members are kept so long")] = 60_000.0
    most_members: Annotated[Count, Meta(description="members held at most; tombstones go first")] = 1_024
    datagram_most: Annotated[Count, Meta(description="bytes of a datagram; larger ones are dropped")] = 1_400
    tick_ms: Annotated[Positive, Meta(description="the view's timers are looked at this often")] = 50.0

    def tuning(self):
        """The pure machine's tuning."""
        from ..fleet.model import Tuning

        return Tuning(
            period_ms=self.period_ms, probe_timeout_ms=self.probe_timeout_ms, indirect=self.indirect,
            suspicion_mult=self.suspicion_mult, suspicion_max_mult=self.suspicion_max_mult,
            retransmit_mult=self.retransmit_mult, gossip_ms=self.gossip_ms, gossip_nodes=self.gossip_nodes,
            push_pull_ms=self.push_pull_ms, tombstone_ms=self.tombstone_ms, most_members=self.most_members,
            datagram_most=self.datagram_most,
            stall_threshold_ms=max(5 * self.tick_ms, self.probe_timeout_ms / 2),
        )  # fmt: skip


class Shared(_Part):
    """Budgets and judgements that the schedulers of `[fleet]` share (docs/operate/fleet_state.md)."""

    enabled: Annotated[bool, Meta(description="share budgets and judgements with the fleet")] = False
    witnesses: Annotated[
        list[str], Meta(description="ids of members that lend tickets: one, three or five; flag: commas")
    ] = msgspec.field(default_factory=list)
    size: Annotated[int, Meta(ge=0, description="members at most; 0: the settings' balancers")] = 0
    floor: Annotated[
        float, Meta(gt=0, le=1, description="of each budget, what all may spend heard or not")
    ] = 0.05
    tickets: Annotated[
        int, Meta(ge=0, le=4096, description="parts of the rest of each budget; 0: four a member, 256 least")
    ] = 0
    lease_ms: Annotated[Positive, Meta(description="a ticket's lease")] = 4_000.0
    loan_ms: Annotated[Positive, Meta(description="a loan's life; below lease_ms")] = 2_000.0
    renew_ms: Annotated[Positive, Meta(description="tickets and loans are asked for this often")] = 1_000.0
    margin_ms: Annotated[Positive, Meta(description="by which clocks differ over a lease at most")] = 250.0
    cold: Annotated[bool, Meta(description="share what a cold worker may be sent")] = True
    connections: Annotated[
        int, Meta(ge=0, description="connections that a worker bears from all schedulers; 0: not shared")
    ] = 0
    judges: Annotated[Count, Meta(description="members that judge a worker")] = 3
    window_ms: Annotated[Positive, Meta(description="evidence on workers counts for so long")] = 10_000.0
    settle_ms: Annotated[Positive, Meta(description="from the first evidence to a judgement")] = 1_000.0
    quorum: Annotated[Count, Meta(description="members that must find a worker bad")] = 3
    least: Annotated[Count, Meta(description="failed requests that they have seen together")] = 6
    volume: Annotated[Count, Meta(description="failed requests that are enough from two members")] = 30
    ratio: Annotated[
        float, Meta(gt=0, le=1, description="of requests failed, and of members that find a worker bad")
    ] = 0.5
    bad_ms: Annotated[Positive, Meta(description="a judgement's life")] = 10_000.0
    retry_ratio: Annotated[
        float, Meta(ge=0, le=10, description="retries for each first attempt, over the fleet; 0: not bounded")
    ] = 0.1
    retry_floor: Annotated[float, Meta(ge=0, description="retries a second of all, heard or not")] = 2.0
    watchers: Annotated[int, Meta(ge=0, description="members that probe a worker for all; 0: each")] = 2
    sheds: Annotated[bool, Meta(description="turn the same jobs away at all, low priorities first")] = True
    adapts: Annotated[bool, Meta(description="hold connections to what the service time allows")] = True
    slow_multiple: Annotated[
        float, Meta(ge=0, description="an answer of so many usual ones counts as failed; 0: none does")
    ] = 6.0

    def share(self, kinds: dict, settings):
        """The pure machine's tuning, for these kinds of budgets and the platform's settings."""
        from ..fleet.sharing import SharingConfig, tickets_for

        same = {
            f: getattr(self, f) for f in self.__struct_fields__ if f in SharingConfig.__dataclass_fields__
        }
        same |= {"witnesses": tuple(self.witnesses), "size": self.size or settings.balancers, "kinds": kinds}
        same["tickets"] = self.tickets or tickets_for(same["size"])
        same["watchers"] = self.watchers if settings.may_probe else 0
        same["priorities"] = tuple(c.priority for c in settings.classes) if self.sheds else ()
        return SharingConfig(**same)


class Deployment(_Part):
    """The whole file."""

    log: Log = Log()
    cluster: ClusterPart = ClusterPart()
    registry: Registry = Registry()
    registration: Registration = Registration()
    fleet: Fleet = Fleet()
    shared: Shared = Shared()


@dataclass(frozen=True, slots=True)
class Key:
    """One setting: `name` is part.field."""

    part: str
    field: str
    type: Any
    default: Any
    about: str

    @property
    def name(self) -> str:
        return f"{self.part}.{self.field}"

    @property
    def flag(self) -> str:
        return "--" + self.name.replace(".", "-").replace("_", "-")

    @property
    def variable(self) -> str:
        return "MOLESPUR_" + self.name.replace(".", "_").upper()


def all_keys() -> Iterator[Key]:
    """All settings, in the file's order."""
    for part in msgspec.structs.fields(Deployment):
        for field in msgspec.structs.fields(part.type):
            about = next(
                (m.description for m in getattr(field.type, "__metadata__", ()) if m.description), ""
            )
            default = field.default
            if default is msgspec.NODEFAULT:
                default = field.default_factory()
            yield Key(part.name, field.name, field.type, default, about)


@dataclass(frozen=True, slots=True)
class Origin:
    """A value and where it came from: flag, environment, file or default."""

    key: Key
    value: Any
    source: str


def _fault(where: str, known: list[str], given: str, kind: str = "key") -> ConfigError:
    near = difflib.get_close_matches(given, known, 1, 0.5)
    return ConfigError(f"{where}: unknown {kind}" + (f", did you mean {near[0]}?" if near else ""))


def _read_file(path: str) -> dict:
    try:
        with open(path, "rb") as file:
            given = msgspec.toml.decode(file.read())
    except OSError as problem:
        raise ConfigError(f"{path}: {problem.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as problem:
        raise ConfigError(f"{path}: not TOML: {problem}") from None
    parts = {part.name: part.type for part in msgspec.structs.fields(Deployment)}
    for part, table in given.items():
        if part not in parts:
            raise _fault(f"{path}: {part}", list(parts), part, "table")
        if not isinstance(table, dict):
            raise ConfigError(f"{path}: {part}: must be a table")
        names = [f.name for f in msgspec.structs.fields(parts[part])]
        for name in table:
            if name not in names:
                raise _fault(f"{path}: {part}.{name}", [f"{part}.{n}" for n in names], f"{part}.{name}")
    return given


def _value(key: Key, given: Any, where: str) -> Any:
    """A checked value; texts from flags and variables are read as the key's type."""
    plain = getattr(key.type, "__origin__", key.type)
    try:
        if isinstance(given, str) and plain == list[str]:
            given = [text.strip() for text in given.split(",") if text.strip()]
        return msgspec.convert(given, key.type, strict=where.endswith(".toml"))
    except msgspec.ValidationError as problem:
        raise ConfigError(f"{where}: {key.name}: {problem}") from None


def read(
    path: str | None = None, environ: Mapping[str, str] = os.environ, flags: Mapping[str, Any] | None = None
) -> tuple[Deployment, list[Origin]]:
    """The deployment, and each value with its origin.  Raises ConfigError that names the key.

    `path` goes before the variable MOLESPUR_DEPLOYMENT; with neither there is no file.
    """
    flags = flags or {}
    path = path or environ.get(FILE_VARIABLE)
    table = _read_file(path) if path else {}
    origins = []
    for key in all_keys():
        if flags.get(key.name) is not None:
            origins.append(Origin(key, _value(key, flags[key.name], key.flag), "flag"))
        elif key.variable in environ:
            origins.append(Origin(key, _value(key, environ[key.variable], key.variable), "environment"))
        elif key.field in table.get(key.part, {}):
            value = table[key.part][key.field]
            where = path if path.endswith(".toml") else f"{path}.toml"
            origins.append(Origin(key, _value(key, value, where), f"file {path}"))
        else:
            origins.append(Origin(key, key.default, "default"))
    known = {key.variable for key in all_keys()} | {FILE_VARIABLE}
    for variable in environ:
        if variable.startswith("MOLESPUR_") and variable not in known:
            raise _fault(variable, sorted(known), variable, "variable")
    parts: dict[str, dict] = {}
    for origin in origins:
        parts.setdefault(origin.key.part, {})[origin.key.field] = origin.value
    deployment = msgspec.convert(parts, Deployment)
    _check(deployment)
    return deployment, origins


def _check(deployment: Deployment) -> None:
    """What one key alone can't tell."""
    if deployment.cluster.source == "file" and not deployment.cluster.file:
        raise ConfigError("cluster.file: must be set where cluster.source is 'file'")
    if not deployment.registry.endpoints:
        raise ConfigError("registry.endpoints: must name at least one member")
    for endpoint in deployment.registry.endpoints:
        parse_address(endpoint, "registry.endpoints")
    if not deployment.registry.prefix.strip("/"):
        raise ConfigError("registry.prefix: must not be empty")
    if deployment.registry.backoff_most_ms < deployment.registry.backoff_ms:
        raise ConfigError("registry.backoff_most_ms: must be at least registry.backoff_ms")
    _check_fleet(deployment.fleet)
    _check_shared(deployment.shared, deployment.fleet)


def _check_fleet(fleet: Fleet) -> None:
    for key in ("bind", "advertise"):
        if getattr(fleet, key) or key == "bind":
            _ipv4(getattr(fleet, key), f"fleet.{key}")
    for seed in fleet.seeds:
        _ipv4(seed, "fleet.seeds")
    if fleet.probe_timeout_ms >= fleet.period_ms:
        raise ConfigError("fleet.probe_timeout_ms: must be below fleet.period_ms")
    if fleet.suspicion_max_mult < 1:
        raise ConfigError("fleet.suspicion_max_mult: must be at least 1")
    if not 1 <= len(fleet.cluster) <= 64 or len(fleet.id) > 64:
        raise ConfigError("fleet.cluster: must be 1 to 64 characters, and fleet.id at most 64")
    if fleet.seeds_from_registry and not fleet.registry_prefix.strip("/"):
        raise ConfigError("fleet.registry_prefix: must not be empty")
    if fleet.datagram_most < 512 or fleet.datagram_most > 65_000:
        raise ConfigError("fleet.datagram_most: must be 512 to 65000")


def _check_shared(shared: Shared, fleet: Fleet) -> None:
    if shared.enabled and not fleet.enabled:
        raise ConfigError("shared.enabled: needs fleet.enabled")
    if len(shared.witnesses) not in (0, 1, 3, 5, 7) or len(set(shared.witnesses)) != len(shared.witnesses):
        raise ConfigError("shared.witnesses: must be none, one, three, five or seven different ids")
    if not all(1 <= len(one) <= 64 for one in shared.witnesses):
        raise ConfigError("shared.witnesses: an id is 1 to 64 characters")
    if shared.loan_ms >= shared.lease_ms:
        raise ConfigError("shared.loan_ms: must be below shared.lease_ms")
    if 2 * shared.renew_ms > min(shared.loan_ms, shared.lease_ms):
        raise ConfigError("shared.renew_ms: must be at most half of shared.loan_ms")
    if shared.enabled and shared.margin_ms < 2 * fleet.tick_ms:
        raise ConfigError("shared.margin_ms: must be at least twice fleet.tick_ms")


def _ipv4(text: str, key: str) -> tuple[str, int]:
    """host:port with a numeric IPv4 host: the fleet's sockets are IPv4 alone, and there is no DNS."""
    host, port = parse_address(text, key)
    parts = host.split(".")
    if len(parts) != 4 or not all(p.isdecimal() and int(p) < 256 for p in parts):
        raise ConfigError(f"{key}: must be a numeric IPv4 address, got {text!r}")
    return host, port
