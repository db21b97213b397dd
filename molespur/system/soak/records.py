"""What a soak notes: requests and answers, runs at workers, changes, probes, what was done to processes.

Times are seconds on the steady clock of the soak's own process.
"""

from dataclasses import dataclass, field
from enum import Enum


class RequestKind(Enum):
    """What a request may do, by its route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"  # may not be taken up again
    RESUMABLE = "resumable"
    LONG = "long"  # a resumable stream of seconds: open through signals and changes
    MODEL = "model"  # a stream of model workers: its prompt may be read apart, and its memory handed over

    @property
    def streams(self) -> bool:
        """Whether its answer is a stream of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE, RequestKind.LONG, RequestKind.MODEL)

    @property
    def resumable(self) -> bool:
        """Whether its stream may be taken up again."""
        return self in (RequestKind.RESUMABLE, RequestKind.LONG)


class Ending(Enum):
    """How an exchange ended for the client."""

    ANSWERED = "answered"  # a whole answer
    CUT = "cut"  # the connection ended within the answer
    NO_ANSWER = "no answer"  # the connection ended before it
    UNSENT = "unsent"  # the connection ended before all of the request had left
    NOT_CONNECTED = "not connected"
    OUT_OF_TIME = "out of time"
    LEFT = "left"  # the client gave it up


@dataclass(slots=True)
class Exchange:
    """One request of a client and what became of it."""

    attempt: str
    kind: RequestKind
    scheduler: str
    sent_at: float  # when its last byte was sent
    pipelined: bool = False  # it was sent while an earlier one had no answer yet
    ended_at: float = 0.0
    ending: Ending = Ending.NO_ANSWER
    status: int = 0
    own: bool = True  # the answer was that of this request
    events: list[int] = field(default_factory=list)  # ids of a stream's events
    events_wanted: int = 0
    from_event: int = 0  # it goes on after this one


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request has come to a worker."""

    at: float
    worker: str
    attempt: str
    runs: bool  # False: rejected as not executed


@dataclass(slots=True)
class Change:
    """One change of the configuration that an operator asked for."""

    version: int
    base: int
    operator: str
    sent_at: float
    answered_at: float = 0.0
    status: int = 0  # the clear answer; 0: none came
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """An operator has read the configuration at one process."""

    sent_at: float
    answered_at: float
    process: str
    version: int


@dataclass(frozen=True, slots=True)
class Probe:
    """A request that only shows whether a route is in force at a scheduler."""

    sent_at: float
    answered_at: float
    scheduler: str
    route: str
    status: int


class Deed(Enum):
    """What is done to a process."""

    START = "start"
    TERMINATE = "terminate"
    KILL = "kill"
    FREEZE = "freeze"
    THAW = "thaw"
    RELOAD = "reload"
    CUT = "cut"  # from control-plane processes
    HEAL = "heal"
    RESET = "reset"  # of its connections to others
    EXIT = "exit"  # it has ended
    UNSYNCED_LOST = "unsynced lost"  # with its power


@dataclass(frozen=True, slots=True)
class ProcessDeed:
    """One deed, when it was done."""

    at: float
    process: str
    deed: Deed
    code: int = 0  # of an exit


@dataclass(frozen=True, slots=True)
class Goodbye:
    """A worker's word that it leaves was acknowledged."""

    at: float
    worker: str


@dataclass(frozen=True, slots=True)
class WorkerEnded:
    """A worker's connections have ended: it was lost, or has left, acknowledged or not."""

    at: float
    worker: str


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """A worker has broken its answer off on purpose."""

    at: float
    worker: str
    attempt: str


class HandleDeed(Enum):
    """What becomes of prompt memory that was read apart."""

    READ = "read"
    TAKEN = "taken"  # by the worker that gives the answer
    FREED = "freed"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class HandleEvent:
    """Something has happened to the memory behind a handle of a worker."""

    at: float
    worker: str
    handle: str
    deed: HandleDeed
    attempt: str  # of the request that it was read for; of the one that takes it


@dataclass(frozen=True, slots=True)
class OrderTaken:
    """A worker has taken an order, or held already what it asked for."""

    at: float
    worker: str
    holder: str
    token: int  # the fencing token


@dataclass(frozen=True, slots=True)
class Sample:
    """What a process uses, and the configuration that it says is in force."""

    at: float
    process: str
    pid: int
    memory_kb: int
    descriptors: int
    version: int | None = None


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """What became of a request after the recovery time, when one worker of its service is left."""

    at: float
    scheduler: str
    service: str
    status: int  # 0: no complete answer


@dataclass
class Log:
    """Everything that was noted in one run."""

    exchanges: list[Exchange] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    reads: list[ConfigurationRead] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    deeds: list[ProcessDeed] = field(default_factory=list)
    goodbyes: list[Goodbye] = field(default_factory=list)
    ends: list[WorkerEnded] = field(default_factory=list)
    broken_off: list[BrokenOff] = field(default_factory=list)
    handles: list[HandleEvent] = field(default_factory=list)
    orders: list[OrderTaken] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    final_answers: list[FinalAnswer] = field(default_factory=list)
    final_versions: dict[str, int | None] = field(default_factory=dict)  # by process; None: it does not tell
    last_read: int | None = None  # the version that was read back at the end
