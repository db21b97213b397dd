"""The interface of the decision module: its settings, events and actions.

Times are milliseconds on the caller's clock; durations end in ``_ms``.  Work is
core time in milliseconds at speed 1.  Settings are frozen and checked; events and
actions are plain slotted records, since one is made for every step of every job.

The decisions keep four rules, to which comments and tests refer by number:

1. Each request gets exactly one final response while its client still waits.
2. A job is only repeated where its class allows it (`Effect`, `Group`).
3. A worker that discovery lists as draining or gone, or no longer lists, gets no new job.
4. A cold worker gets no more work from all dispatchers than its budget (`Settings.cold_multiple`).
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """Whether a job of a class may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"  # workers of one group drop repeats within key_ttl_ms of the first send
    UNSAFE = "unsafe"


class Group(Enum):
    """The workers among which repeats of a keyed job are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    MOOT = 249  # it was never sent
    CANCELLED = 250
    RESET = 251
    CONNECT_FAILED = 252
    TIMEOUT = 253
    FULL = 254  # the worker had no room and refused it
    ERROR = 255


NEVER_RAN = frozenset({Outcome.MOOT, Outcome.CONNECT_FAILED, Outcome.FULL})
"""The only outcomes that prove that an attempt did not run."""


class UpdateMode(Enum):
    """What a FleetUpdate holds."""

    PARTIAL = "partial"  # changes
    COMPLETE = "complete"  # the whole list
    PERSISTED = "persisted"  # the whole list as the configuration has it, before discovery has replied
    ERROR = "error"  # nothing: the call to discovery has failed


class Lifecycle(Enum):
    """State of a worker by discovery."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    GONE = "gone"


def _require(ok, name, value, expected):
    if not ok:
        raise ValueError(f"{name} must be {expected}, got {value!r}")


def _require_numbers(owner, prefix, minimum, *names):
    for name in names:
        value = getattr(owner, name)
        valid = type(value) in (int, float) and minimum <= value < float("inf")
        _require(valid, f"{prefix}{name}", value, f"a number of at least {minimum}")


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of jobs.  A job is in time within aim_ms + aim_stretch x its own run time."""

    name: str
    aim_ms: float
    deadline_ms: float
    aim_stretch: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    key_ttl_ms: float = 0.0
    kind: str | None = None  # the kind of worker that it needs; None: any
    priority: int = 0

    def __post_init__(self):
        prefix = f"classes[{self.name}]."
        _require_numbers(self, prefix, 0, "aim_ms", "aim_stretch", "worth", "late_worth", "key_ttl_ms")
        _require(0 < self.deadline_ms < float("inf"), prefix + "deadline_ms", self.deadline_ms, "above 0")

    @property
    def repeats_are_harmless(self) -> bool:
        """Whether a repeat does no harm on any worker."""
        return self.effect is Effect.SAFE or (self.effect is Effect.KEYED and self.group is Group.ALL)

    def repeat_deadline(self, possible_runs) -> float:
        """Clock time until which a further attempt may be written, by those that may have run, oldest first.

        The window in which workers drop repeats starts with the first send.
        """
        if self.effect is Effect.SAFE or not possible_runs:
            return float("inf")
        return possible_runs[0].sent_at + self.key_ttl_ms if self.effect is Effect.KEYED else float("-inf")

    def dedup_group_of(self, worker):
        """Zone or cell to which repeats of a job sent to this worker are bound; None: they are not bound."""
        if self.effect is not Effect.KEYED or self.group is Group.ALL:
            return None
        return worker.zone if self.group is Group.ZONE else worker.cell


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its quota over all dispatchers (0: unlimited); jobs above it count as over its share."""

    name: str
    quota_per_s: float = 0.0

    def __post_init__(self):
        _require_numbers(self, f"tenants[{self.name}].", 0, "quota_per_s")


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a dispatcher."""

    classes: tuple[JobClass, ...]
    zone: str = ""
    balancers: int = 1
    tenants: tuple[Tenant, ...] = ()
    subscribes: bool = False  # changes are pushed only after a Watch
    must_ask_in_ms: float = 0.0  # max time without a call to discovery; 0: no limit
    power_is_size: bool = False  # a worker's power is proportional to its capacity, at least roughly
    may_probe: bool = False
    may_cancel: bool = False
    second_copies: bool = False
    advises_pause: bool = False
    max_pause_ms: float = 0.0
    max_attempts: int = 1
    cpu_per_request_us: float = 0.0  # on a reference machine; 0: no limit
    tells_start: bool = False  # Progressed events come when an attempt starts
    progress_ms: float = 0.0  # interval of Progressed events; 0: none
    cold_start_share: float = 1.0  # share of its capacity that a worker has at least when it starts
    cold_ms: float = 0.0  # age at which a worker is warm
    cold_multiple: float = 1.0  # work that a cold worker may get in a window, in multiples of its capacity
    cold_window_ms: float = 0.0
    worth_by_work: bool = False  # worth counts for each unit of work, not for each job
    over_share_worth: float = 1.0  # factor for the worth of jobs above their tenant's quota
    goal_whole: float = 1.0  # weight of the total worth in the goal
    goal_worst_class: float = 0.0  # weight of the class served worst
    cross_zone_price: float = 0.0
    probe_price: float = 0.0

    def __post_init__(self):
        _require(self.classes, "classes", self.classes, "a non-empty tuple")
        names = [c.name for c in self.classes]
        _require(len(set(names)) == len(names), "classes", names, "free of repeated names")
        _require_numbers(self, "", 1, "balancers", "max_attempts")
        _require_numbers(
            self, "", 0, "must_ask_in_ms", "max_pause_ms", "progress_ms", "cold_ms",
            "cold_multiple", "cold_window_ms", "over_share_worth", "cross_zone_price",
            "probe_price", "goal_worst_class", "cpu_per_request_us",
        )  # fmt: skip
        _require(self.goal_whole > 0, "goal_whole", self.goal_whole, "above 0")
        share = self.cold_start_share
        _require(0 < share <= 1, "cold_start_share", share, "above 0 and at most 1")

    @property
    def pause_ms(self) -> float:
        """Pause that a refused client is advised to make before its next attempt; 0: none is advised."""
        return self.max_pause_ms if self.advises_pause else 0.0

    def warmth(self, age_ms: float) -> float:
        """Share of its capacity that a worker of this age has at least: linear in age until it is warm."""
        if age_ms >= self.cold_ms:
            return 1.0
        return self.cold_start_share + (1 - self.cold_start_share) * max(age_ms, 0.0) / self.cold_ms


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One worker as discovery lists it."""

    worker: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    lifecycle: Lifecycle = Lifecycle.IN_SERVICE
    power: float = 1.0
    born_ms: float = 0.0  # clock time of its latest start; 0: long ago


@dataclass(slots=True)
class Started:
    """The dispatcher starts, with no knowledge of workers."""


@dataclass(slots=True)
class SettingsChanged:
    """Settings to apply from now on; open jobs keep the class and the max attempts of the old ones."""

    settings: Settings


@dataclass(slots=True)
class FleetUpdate:
    """Discovery's list of workers, or changes to it."""

    mode: UpdateMode
    entries: tuple[WorkerEntry, ...] = ()


@dataclass(slots=True)
class SharedStateUpdate:
    """State that the schedulers share, which holds until the next event of this type.

    `cold_shares`: for each cold worker whose budget is shared, the part of it for this dispatcher (0 to 1).
    `bad_workers`: those against which several schedulers have evidence.
    `retries_left`: second and further attempts that may be sent until the next event (counted down in place).
    `probe_workers`: those that this dispatcher has to probe; None: its own subset.
    `shed_shares`: by class, the part of its jobs that all schedulers refuse, those of the lowest draw.
    """

    cold_shares: dict[str, float] = field(default_factory=dict)
    bad_workers: frozenset[str] = frozenset()
    retries_left: float = float("inf")
    probe_workers: frozenset[str] | None = None
    shed_shares: dict[str, float] = field(default_factory=dict)

    def sheds(self, submitted) -> bool:
        """Whether all schedulers refuse this job."""
        return submitted.draw < self.shed_shares.get(submitted.job_class, 0.0)


@dataclass(slots=True)
class Submitted:
    """A client's request, which is owed one final response within time_left_ms.

    `draw` is a number from 0 to 1, the same for one job at every scheduler; 1 where schedulers share nothing.
    """

    request: int
    job_class: str
    time_left_ms: float
    slots: float = 1.0
    memory: float = 0.0
    key: int | None = None
    work_hint_ms: float | None = None
    tenant: str | None = None
    draw: float = 1.0


@dataclass(slots=True)
class StreamBegun:
    """The response of an attempt is being streamed to the client: the attempt may no longer be cancelled."""

    request: int
    attempt: int


@dataclass(slots=True)
class Progressed:
    """An attempt has started to run (share None), or has done this share of its work."""

    request: int
    attempt: int
    share: float | None = None


@dataclass(slots=True)
class AttemptEnded:
    """The only outcome of an attempt; answered: the request is owed no further response."""

    request: int
    attempt: int
    outcome: Outcome
    elapsed_ms: float
    answered: bool
    report: dict[str, float] | None = None


@dataclass(slots=True)
class ClientGone:
    """The client has disconnected; no response is owed."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by the dispatcher has expired."""

    tag: str


@dataclass(slots=True)
class ProbeEnded:
    """The result of one probe."""

    worker: str
    outcome: Outcome
    elapsed_ms: float
    report: dict[str, float] | None = None


@dataclass(slots=True)
class Send:
    """Start an attempt; attempts of a request are numbered from 0 in the order of these actions."""

    request: int
    worker: str
    timeout_ms: float = field(default=0.0)  # 0: until the client gives up
    begin_by_ms: float = float("inf")  # clock time after which it must not be written


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final response: refused; a repeat does no harm."""

    request: int
    pause_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final response: failed, and the job may have run."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Request a TimerFired after delay_ms."""

    delay_ms: float
    tag: str


@dataclass(slots=True)
class Watch:
    """Request discovery's changes from now on."""


@dataclass(slots=True)
class ColdUsage:
    """Reply to `SharedStateUpdate` for one cold worker, in shares of its whole budget for a window.

    `sent_share`: what this dispatcher has sent lately.  `requested_share`: the largest share that its jobs
    would have needed since the last reply.
    """

    worker: str
    sent_share: float
    requested_share: float


@dataclass(slots=True)
class Probe:
    """Request a worker's load report."""

    worker: str


Event = (
    Started | SettingsChanged | FleetUpdate | Submitted | StreamBegun | Progressed | AttemptEnded | ClientGone
)
Event |= TimerFired | ProbeEnded | SharedStateUpdate
Action = Send | Cancel | Refuse | Fail | SetTimer | Watch | Probe | ColdUsage
