"""Reads, checks and defaults all configuration: LB_* variables, the file at LB_CONFIG, the settings.

Whatever is wrong is told in one line that names the faulty key.
"""

from dataclasses import dataclass, field, replace
from typing import Literal

import msgspec

from ..interface import Effect, Group, JobClass, Lifecycle, Settings, Tenant, WorkerEntry

EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}
REPORT_FIELDS = {
    "busy_reqs": "inflight", "pending": "queue", "cpu_share": "util", "svc_ms": "latency_ms",
    "served_ps": "qps", "failed_ps": "errors_per_s", "eps": "errors_per_s",
    "x0": "free_slots", "x1": "free_memory",
}  # fmt: skip
LIVES = {"active": Lifecycle.IN_SERVICE, "leaving": Lifecycle.DRAINING, "left": Lifecycle.GONE}


# what a running program takes over at SIGHUP
RELOADED = ("discovery", "settings", "dial_timeout_ms", "conn_idle_ms", "max_open", "has_reports", "raw")


class ConfigError(Exception):
    """Configuration that can't be used; its text names the key at fault."""


class _Raw(msgspec.Struct, rename="camel"):
    """A part of the settings object; keys it does not know are passed over."""


class _Profile(_Raw):
    name: str
    aim: float
    deadline: float
    aim_stretch: float | None = None
    worth: float = 1.0
    late_worth: float | None = None
    effect: Literal["retryable", "dedup", "fragile"] = "fragile"
    group: Group = Group.ALL
    key_ttl: float | None = None


class _Realm(_Raw):
    name: str
    quota_rps: float | None = None


class _Limits(_Raw):
    cancelling: bool = False
    conn_idle: float | None = None
    cpu_us_per_request: float | None = None
    dial_timeout: float | None = None
    max_open: int | None = None
    max_retry_after: float | None = None
    peer_messages: bool | None = None
    probing: bool = False
    retry_after: bool = False
    second_copies: bool = False
    try_limit: int | None = None


class _Rules(_Raw):
    answer_slack: float | None = None
    cold: float | None = None
    must_ask_in: float | None = None
    overload_factor: float | None = None
    start_capacity: float | None = None
    tip_after: float | None = None


class _Penalties(_Raw):
    cross_zone: float | None = None
    probe: float | None = None


class _Goal(_Raw):
    whole: float | None = None
    worst_class: float | None = None


class _Family(_Raw):
    class_kind: list[int] = []
    class_priority: list[int] = []
    class_stretch: list[float] = []
    progress: float | None = None
    tells_start: bool = False


class _Report(_Raw):
    via: str = "silent"


class _Settings(_Raw):
    profiles: list[_Profile] = []
    balancers: int = 1
    discovery: str = "automatic"
    family_info: _Family | None = None
    goal: _Goal | None = None
    limits: _Limits | None = None
    over_share_worth: float = 1.0
    penalties: _Penalties | None = None
    realms: list[_Realm] | None = None
    report: _Report | None = None
    rules: _Rules | None = None
    shapes: list[str] | None = None
    tick: float | None = None
    weight_source: str = "silent"
    worth_by: str = "request"
    zone: str | None = None


class Target(msgspec.Struct):
    """One worker as discovery lists it."""

    uid: str
    endpoint: str
    az: str | None = None
    model: str | None = None
    pod_group: int | None = None
    state: Literal["active", "leaving", "left"] = "active"
    capacity_hint: float | None = None
    boot_ms: float | None = None


class ClusterList(msgspec.Struct):
    """Discovery's list or the changes to it, as it arrives."""

    rev: int
    all: bool
    targets: list[Target]


class _MachineLimits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


class _File(msgspec.Struct):
    settings: dict
    name: str | None = None
    listen: str | None = None
    discovery: str | None = None
    ops: str | None = None
    seed: str | int = 0
    limits: _MachineLimits | None = None
    known: ClusterList | None = None


def module_settings(raw: _Settings) -> Settings:
    """The decision module's Settings, with its defaults for what is absent."""
    limits, rules = raw.limits or _Limits(), raw.rules or _Rules()
    prices, goal = raw.penalties or _Penalties(), raw.goal or _Goal()
    family, kinds = raw.family_info or _Family(), raw.shapes or []

    def per_class(values, index, default):
        return values[index] if index < len(values) else default

    classes = []
    for i, profile in enumerate(raw.profiles):
        kind = per_class(family.class_kind, i, -1)
        stretch = profile.aim_stretch
        classes.append(
            JobClass(
                name=profile.name,
                aim_ms=profile.aim,
                deadline_ms=profile.deadline,
                aim_stretch=per_class(family.class_stretch, i, 0.0) if stretch is None else stretch,
                worth=profile.worth,
                late_worth=profile.late_worth or 0.0,
                effect=EFFECTS[profile.effect],
                group=profile.group,
                key_ttl_ms=profile.key_ttl or 0.0,
                kind=kinds[kind] if 0 <= kind < len(kinds) else None,
                priority=per_class(family.class_priority, i, 0),
            )
        )
    return Settings(
        classes=tuple(classes),
        zone=raw.zone or "",
        balancers=raw.balancers,
        tenants=tuple(Tenant(t.name, t.quota_rps or 0.0) for t in raw.realms or []),
        subscribes=raw.discovery == "subscribe",
        must_ask_in_ms=rules.must_ask_in or 0.0,
        power_is_size=raw.weight_source in ("nominal", "rough"),
        may_probe=limits.probing,
        may_cancel=limits.cancelling,
        second_copies=limits.second_copies,
        advises_pause=limits.retry_after,
        max_pause_ms=limits.max_retry_after or 0.0,
        max_attempts=1 if limits.try_limit is None else limits.try_limit,
        cpu_per_request_us=limits.cpu_us_per_request or 0.0,
        tells_start=family.tells_start,
        progress_ms=family.progress or 0.0,
        cold_start_share=rules.start_capacity or 1.0,
        cold_ms=rules.cold or 0.0,
        cold_multiple=rules.overload_factor or 1.0,
        cold_window_ms=rules.tip_after or 0.0,
        worth_by_work=raw.worth_by == "work",
        over_share_worth=raw.over_share_worth,
        goal_whole=goal.whole or 1.0,
        goal_worst_class=goal.worst_class or 0.0,
        cross_zone_price=prices.cross_zone or 0.0,
        probe_price=prices.probe or 0.0,
    )


def read_settings(data: dict, where: str = "settings") -> tuple[Settings, _Settings]:
    """Check a settings object; give the module's Settings and the object as read."""
    try:
        raw = msgspec.convert(data, _Settings)
        return module_settings(raw), raw
    except msgspec.ValidationError as problem:
        raise ConfigError(_named(str(problem), where)) from None
    except ValueError as problem:
        raise ConfigError(f"{where}: {problem}") from None


def _named(problem: str, where: str) -> str:
    """Put msgspec's path to the faulty key first."""
    text, _, path = problem.partition(" - at `$")
    return f"{where}{path.rstrip('`')}: {text}"


def worker_entry(target: Target, from_unix) -> WorkerEntry:
    """One of discovery's entries in the decision module's terms."""
    return WorkerEntry(
        target.uid, target.az or "", target.model or "", target.pod_group or 0, LIVES[target.state],
        target.capacity_hint or 1.0, from_unix(target.boot_ms or 0.0),
    )  # fmt: skip


def target_of(entry: WorkerEntry, address: tuple[str, int]) -> dict:
    """A worker's entry in discovery's form, as `worker_entry` reads it."""
    state = next(name for name, life in LIVES.items() if life is entry.lifecycle)
    return {
        "uid": entry.worker, "endpoint": "{}:{}".format(*address), "az": entry.zone, "model": entry.kind,
        "pod_group": entry.cell, "state": state, "capacity_hint": entry.power, "boot_ms": entry.born_ms,
    }  # fmt: skip


def report_from(stats: dict | None) -> dict[str, float] | None:
    """Name the values of a load report in the decision module's terms; what is no number is dropped."""
    if not stats:
        return None
    numbers = {name: value for name, value in stats.items() if type(value) in (int, float)}
    return {REPORT_FIELDS.get(name, name): value for name, value in numbers.items()}


def parse_address(text: str | None, key: str) -> tuple[str, int]:
    """host:port as a pair."""
    host, colon, port = (text or "").strip().rpartition(":")
    if not (colon and host and port.isdecimal() and 0 < int(port) < 65536):
        raise ConfigError(f"{key}: must be host:port, got {text!r}")
    return host.strip("[]"), int(port)


@dataclass(frozen=True, slots=True)
class Config:
    """All that one real scheduler is told, checked and complete."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    known: ClusterList
    settings: Settings
    memory_mb: float = 192.0
    tick_ms: float = 4.0
    dial_timeout_ms: float = 1000.0
    conn_idle_ms: float = 30_000.0
    max_open: int = 20_000
    has_reports: bool = False
    raw: dict = field(default_factory=dict, repr=False)  # the file as it came
    ops: tuple[str, int] | None = None  # the operators' address; without it nothing listens for them
    peers_allowed: bool = True  # settings.limits.peerMessages is not false: schedulers may talk to each other


def load(environ, running: Config | None = None, needs_discovery: bool = True) -> Config:
    """Read the environment and the file it names; a variable that is set goes before the file.

    Where a running program reads it again, its discovery goes before LB_DISCOVERY: the environment is as old
    as the program, and would mask the new address for good.  Where another source lists the workers
    (`needs_discovery` is off) discovery may be left out, and is then port 0.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        with open(path, "rb") as file:
            whole = msgspec.json.decode(file.read())
        given = msgspec.convert(whole, _File)
    except OSError as problem:
        raise ConfigError(f"LB_CONFIG: {path}: {problem.strerror}") from None
    except msgspec.ValidationError as problem:
        raise ConfigError("LB_CONFIG: " + _named(str(problem), "").lstrip(".")) from None
    except msgspec.DecodeError as problem:
        raise ConfigError(f"LB_CONFIG: {path}: not JSON: {problem}") from None
    settings, raw = read_settings(given.settings, "LB_CONFIG: settings")
    machine, limits = given.limits or _MachineLimits(), raw.limits or _Limits()
    try:
        seed = given.seed if isinstance(given.seed, int) else int(given.seed or "0", 16)
    except ValueError:
        raise ConfigError(f"LB_CONFIG: seed: must be hexadecimal, got {given.seed!r}") from None
    if machine.sockets < 64:
        raise ConfigError(f"LB_CONFIG: limits.sockets: must be at least 64, got {machine.sockets}")
    variable = environ.get("LB_DISCOVERY")
    discovery = given.discovery or variable if running else variable or given.discovery
    ops = environ.get("LB_OPS") or given.ops
    defaults = Config.__dataclass_fields__

    def positive(value, field, key, part="settings"):
        if value is None:
            return defaults[field].default
        if not 0 < value < float("inf"):
            raise ConfigError(f"LB_CONFIG: {part}.{key}: must be above 0, got {value!r}")
        return value

    return Config(
        name=environ.get("LB_NAME") or given.name or "molespur",
        listen=parse_address(environ.get("LB_LISTEN") or given.listen, "LB_LISTEN"),
        discovery=parse_address(
            discovery, "LB_DISCOVERY" if discovery == variable else "LB_CONFIG: discovery"
        )
        if discovery or needs_discovery
        else ("", 0),
        seed=seed,
        sockets=machine.sockets,
        known=given.known or ClusterList(0, True, []),
        settings=settings,
        memory_mb=positive(machine.memory_mb, "memory_mb", "memory_mb", "limits"),
        tick_ms=positive(raw.tick, "tick_ms", "tick"),
        dial_timeout_ms=positive(limits.dial_timeout, "dial_timeout_ms", "limits.dialTimeout"),
        conn_idle_ms=positive(limits.conn_idle, "conn_idle_ms", "limits.connIdle"),
        max_open=positive(limits.max_open, "max_open", "limits.maxOpen"),
        has_reports=bool(raw.report and raw.report.via != "silent"),
        raw=whole,
        ops=parse_address(ops, "LB_OPS") if ops else None,
        peers_allowed=limits.peer_messages is not False,
    )


def needs_restart(running: Config, given: Config) -> list[str]:
    """The keys that differ but are read only at start; seed and known go by."""
    passed = (*RELOADED, "seed", "known")
    keys = [key for key in Config.__dataclass_fields__ if key not in passed]
    return [key for key in keys if getattr(running, key) != getattr(given, key)]


def after_reload(running: Config, given: Config) -> Config:
    """The configuration in force once a running program has taken another: what needs a restart stays."""
    return replace(running, **{key: getattr(given, key) for key in RELOADED})
