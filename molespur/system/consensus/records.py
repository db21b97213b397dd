"""The plain data of a replica: its roles, the events that go in, the actions that come out."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from ..rpc import molespur_pb2 as pb


class Role(Enum):
    """The states of a replica."""

    NON_MEMBER = "outsider"  # no membership is known: neither votes nor campaigns
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


# -- Events ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Tick:
    """Time has passed."""


@dataclass(slots=True)
class Received:
    """A message of another replica has arrived."""

    message: pb.ConsensusMessage


@dataclass(slots=True)
class Propose:
    """Append a command, if this replica leads; answered by `Proposed` or `NotLeader`."""

    data: bytes


@dataclass(slots=True)
class Persisted:
    """The record of this sequence number, and all before it, are on the disk."""

    sequence: int


@dataclass(slots=True)
class TransferLeadership:
    """Hand the lead to the most advanced voter that was heard of lately."""


@dataclass(slots=True)
class ChangeMembership:
    """Append another membership; at most one voter may differ."""

    membership: pb.Membership


@dataclass(slots=True)
class Compact:
    """Drop the log up to an applied index, whose state is given."""

    index: int
    state: bytes


@dataclass(slots=True)
class Read:
    """Confirm that the state may be read; answered by `ReadConfirmed` or `ReadRefused` with its number."""

    number: int


Event = Tick | Received | Propose | Persisted | TransferLeadership | ChangeMembership | Compact | Read

# -- Actions ---------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Send a message to a member."""

    member: pb.Member
    message: pb.ConsensusMessage


@dataclass(slots=True)
class HardState:
    """What a replica must not forget: its term and its vote in it."""

    term: int = 0
    vote: str = ""


@dataclass(slots=True)
class Snapshot:
    """The state after an index, which stands for the log up to it."""

    index: int = 0
    term: int = 0
    membership: pb.Membership = field(default_factory=pb.Membership)
    state: bytes = b""


@dataclass(slots=True)
class Persist:
    """Write to the disk: hard state, a snapshot, and entries.

    `truncate_from`: the index from which on earlier entries are dropped before these are written.
    """

    hard_state: HardState
    truncate_from: int | None = None
    entries: Sequence[pb.LogEntry] = ()
    snapshot: Snapshot | None = None
    send_after_sync: list[Send] = field(default_factory=list)
    sequence: int = 0


@dataclass(slots=True)
class Proposed:
    """The proposal has this place in the log; it counts once an entry of this term is applied there."""

    index: int
    term: int


@dataclass(slots=True)
class NotLeader:
    """The proposal was not taken."""


@dataclass(slots=True)
class ReadConfirmed:
    """What is applied now holds all that was acknowledged before this read began."""

    number: int


@dataclass(slots=True)
class ReadRefused:
    """This replica can't tell whether its state is the newest."""

    number: int


@dataclass(slots=True)
class Apply:
    """This entry is committed; entries come in order, each once."""

    entry: pb.LogEntry


@dataclass(slots=True)
class Restore:
    """Replace the state machine by this snapshot."""

    snapshot: Snapshot


@dataclass(slots=True)
class RoleChanged:
    """The replica has another role, or knows another leader."""

    role: Role
    leader: pb.Member | None


Action = Send | Persist | Proposed | NotLeader | ReadConfirmed | ReadRefused | Apply | Restore | RoleChanged


@dataclass(slots=True)
class UnsyncedRecord:
    """A record that is being written, and what will be durable once it is."""

    sequence: int
    index: int
    term: int
