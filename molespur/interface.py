"""What goes into and comes out of the decision module: settings, events and actions.

Times are milliseconds on the caller's clock; durations end in ``_ms``.  Work is
core time in milliseconds at speed 1.  Settings are frozen and checked; events and
actions are plain slotted records, since one is made for every step of every job.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """How safe it is to run a job of a class more than once."""

    SAFE = "safe"
    KEYED = "keyed"  # workers of one group drop repeats for a while
    UNSAFE = "unsafe"


class Group(Enum):
    """The workers that drop each other's repeats of a keyed job."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    MOOT = 249
    CANCELLED = 250
    RESET = 251
    CONNECT_FAILED = 252
    TIMEOUT = 253
    FULL = 254
    ERROR = 255


NEVER_RAN = frozenset({Outcome.MOOT, Outcome.CONNECT_FAILED, Outcome.FULL})
"""The only outcomes that prove an attempt had no effect."""


class UpdateMode(Enum):
    """What a piece of fleet news holds."""

    PARTIAL = "partial"
    COMPLETE = "complete"
    PERSISTED = "persisted"
    ERROR = "error"


class Lifecycle(Enum):
    """Where discovery says a worker is in its life."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    GONE = "gone"


def _need(ok, name, value, want):
    if not ok:
        raise ValueError(f"{name} must be {want}, got {value!r}")


def _number(owner, where, least, *names):
    for name in names:
        value = getattr(owner, name)
        good = type(value) in (int, float) and least <= value < float("inf")
        _need(good, f"{where}{name}", value, f"a number of at least {least}")


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
    kind: str | None = None  # the only kind of worker that runs it
    priority: int = 0

    def __post_init__(self):
        where = f"classes[{self.name}]."
        _number(self, where, 0, "aim_ms", "aim_stretch", "worth", "late_worth", "key_ttl_ms")
        _need(0 < self.deadline_ms < float("inf"), where + "deadline_ms", self.deadline_ms, "above 0")

    @property
    def repeats_are_harmless(self) -> bool:
        """A repeat does no harm, wherever it goes."""
        return self.effect is Effect.SAFE or (self.effect is Effect.KEYED and self.group is Group.ALL)

    def repeat_deadline(self, ran) -> float:
        """Clock time up to which a further attempt may be written, by those that may have run, oldest first.

        The window in which workers drop repeats runs from the first send.
        """
        if self.effect is Effect.SAFE or not ran:
            return float("inf")
        return ran[0].sent_at + self.key_ttl_ms if self.effect is Effect.KEYED else float("-inf")

    def dedup_group_of(self, worker):
        """What the workers that drop repeats of a job sent to this one share; None: nothing that limits."""
        if self.effect is not Effect.KEYED or self.group is Group.ALL:
            return None
        return worker.zone if self.group is Group.ZONE else worker.cell


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and the rate, over all dispatchers, that is within its share (0: unlimited)."""

    name: str
    quota_per_s: float = 0.0

    def __post_init__(self):
        _number(self, f"tenants[{self.name}].", 0, "quota_per_s")


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a dispatcher is told at start."""

    classes: tuple[JobClass, ...]
    zone: str = ""
    balancers: int = 1
    tenants: tuple[Tenant, ...] = ()
    subscribes: bool = False  # discovery must be asked for changes
    must_ask_in_ms: float = 0.0
    power_is_size: bool = False  # a worker's power tells its size, exactly or roughly
    may_probe: bool = False
    may_cancel: bool = False
    second_copies: bool = False
    advises_pause: bool = False
    max_pause_ms: float = 0.0
    max_attempts: int = 1
    cpu_per_request_us: float = 0.0  # on a reference machine; 0: no limit
    tells_start: bool = False
    progress_ms: float = 0.0
    cold_start_share: float = 1.0
    cold_ms: float = 0.0
    cold_multiple: float = 1.0
    cold_window_ms: float = 0.0
    worth_by_work: bool = False  # worth counts for each unit of work, not for each job
    over_share_worth: float = 1.0
    goal_whole: float = 1.0  # weight of all worth together, against
    goal_worst_class: float = 0.0  # that of the class served worst
    cross_zone_price: float = 0.0
    probe_price: float = 0.0

    def __post_init__(self):
        _need(self.classes, "classes", self.classes, "a non-empty tuple")
        names = [c.name for c in self.classes]
        _need(len(set(names)) == len(names), "classes", names, "free of repeated names")
        _number(self, "", 1, "balancers", "max_attempts")
        _number(
            self, "", 0, "must_ask_in_ms", "max_pause_ms", "progress_ms", "cold_ms",
            "cold_multiple", "cold_window_ms", "over_share_worth", "cross_zone_price",
            "probe_price", "goal_worst_class", "cpu_per_request_us",
        )  # fmt: skip
        _need(self.goal_whole > 0, "goal_whole", self.goal_whole, "above 0")
        share = self.cold_start_share
        _need(0 < share <= 1, "cold_start_share", share, "above 0 and at most 1")

    @property
    def pause_ms(self) -> float:
        """When a client that is refused is told to come back; 0: it is not told."""
        return self.max_pause_ms if self.advises_pause else 0.0

    def warmth(self, age_ms: float) -> float:
        """The share of its capacity that a worker of this age has at least: it warms evenly or sooner."""
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
    born_ms: float = 0.0  # clock time of the latest start, 0: long ago


@dataclass(slots=True)
class Started:
    """The dispatcher comes up, knowing nothing."""


@dataclass(slots=True)
class SettingsChanged:
    """Other settings hold from now on; open jobs keep the class and the attempts they were taken under."""

    settings: Settings


@dataclass(slots=True)
class FleetUpdate:
    """Discovery's list or changes to it."""

    mode: UpdateMode
    entries: tuple[WorkerEntry, ...] = ()


@dataclass(slots=True)
class SharedState:
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
        """Whether all schedulers turn this job away."""
        return submitted.draw < self.shed_shares.get(submitted.job_class, 0.0)


@dataclass(slots=True)
class Submitted:
    """A client's request, which now is owed one final answer within time_left_ms.

    `draw` is from 0 to 1, the same for one job at every scheduler; 1 where schedulers share nothing.
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
    """The answer of a streamed class has started; the attempt now belongs to the client."""

    request: int
    attempt: int


@dataclass(slots=True)
class Progressed:
    """A running attempt has started (share None) or has done a share of its work."""

    request: int
    attempt: int
    share: float | None = None


@dataclass(slots=True)
class AttemptEnded:
    """The one outcome of an attempt; answered: nothing more is owed for the request."""

    request: int
    attempt: int
    outcome: Outcome
    elapsed_ms: float
    answered: bool
    report: dict[str, float] | None = None


@dataclass(slots=True)
class ClientGone:
    """The client has left; nothing more is owed."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer that the dispatcher set has come due."""

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
    """Start an attempt; attempts of a request are numbered from 0 in this order."""

    request: int
    worker: str
    timeout_ms: float = field(default=0.0)  # 0: until the client gives up
    begin_by_ms: float = float("inf")  # clock time after which it must not be written any more


@dataclass(slots=True)
class Cancel:
    """Call an attempt off."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away, trying again is harmless."""

    request: int
    pause_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, and it may have run."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired after delay_ms."""

    delay_ms: float
    tag: str


@dataclass(slots=True)
class Watch:
    """Ask discovery for its changes from now on."""


@dataclass(slots=True)
class ColdUsage:
    """Answers `SharedState` for one cold worker: which part of all that it may be sent in a window this
    dispatcher has sent lately, and up to which part its jobs have asked for since the last answer."""

    worker: str
    sent_share: float
    requested_share: float


@dataclass(slots=True)
class Probe:
    """Ask a worker for its load."""

    worker: str


Event = (
    Started | SettingsChanged | FleetUpdate | Submitted | StreamBegun | Progressed | AttemptEnded | ClientGone
)
Event |= TimerFired | ProbeEnded | SharedState
Action = Send | Cancel | Refuse | Fail | SetTimer | Watch | Probe | ColdUsage
