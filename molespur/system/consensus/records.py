"""Data types of a replica: its roles, its input events and its output actions."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from ..rpc import molespur_pb2 as pb


class Role(Enum):
    """The role of a replica in its group."""

    NON_MEMBER = "outsider"  # knows no membership; neither votes nor campaigns
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
    """A message from another replica has arrived."""

    message: pb.ConsensusMessage


@dataclass(slots=True)
class Propose:
    """Append a command if this replica is the leader; results in `Proposed` or `NotLeader`."""

    data: bytes


@dataclass(slots=True)
class Persisted:
    """The record with this sequence number and all records before it are on disk."""

    sequence: int


@dataclass(slots=True)
class TransferLeadership:
    """Transfer leadership to the most up-to-date voter among those that have replied recently."""


@dataclass(slots=True)
class ChangeMembership:
    """Append a new membership; it may differ from the current one by at most one voter."""

    membership: pb.Membership


@dataclass(slots=True)
class Compact:
    """Replace the log up to an applied index by a snapshot of the state at that index."""

    index: int
    state: bytes


@dataclass(slots=True)
class Read:
    """Confirm that the state may be read; results in `ReadConfirmed` or `ReadRefused` with this number."""

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
    """The current term and the vote in it; durable before any message that depends on them is sent."""

    term: int = 0
    vote: str = ""


@dataclass(slots=True)
class Snapshot:
    """The state at an index; replaces the log up to that index."""

    index: int = 0
    term: int = 0
    membership: pb.Membership = field(default_factory=pb.Membership)
    state: bytes = b""


@dataclass(slots=True)
class Persist:
    """Write the hard state, a snapshot and entries to disk.

    Stored entries from index `truncate_from` on are deleted before `entries` are written.  The messages in
    `send_after_sync` may be sent only once the record is on disk.
    """

    hard_state: HardState
    truncate_from: int | None = None
    entries: Sequence[pb.LogEntry] = ()
    snapshot: Snapshot | None = None
    send_after_sync: list[Send] = field(default_factory=list)
    sequence: int = 0


@dataclass(slots=True)
class Proposed:
    """The proposal was appended at this index; it succeeds if the entry applied there has this term."""

    index: int
    term: int


@dataclass(slots=True)
class NotLeader:
    """The proposal was rejected because this replica does not accept proposals now."""


@dataclass(slots=True)
class ReadConfirmed:
    """The applied state includes every write that was acknowledged before this read started."""

    number: int


@dataclass(slots=True)
class ReadRefused:
    """This replica cannot confirm that its state is up to date."""

    number: int


@dataclass(slots=True)
class Apply:
    """Apply a committed entry; entries are applied in order, each exactly once."""

    entry: pb.LogEntry


@dataclass(slots=True)
class Restore:
    """Replace the state of the state machine by this snapshot."""

    snapshot: Snapshot


@dataclass(slots=True)
class RoleChanged:
    """The role of the replica or the leader known to it has changed."""

    role: Role
    leader: pb.Member | None


Action = Send | Persist | Proposed | NotLeader | ReadConfirmed | ReadRefused | Apply | Restore | RoleChanged


@dataclass(slots=True)
class UnsyncedRecord:
    """A record that is being written, with the log index and term that are durable once it is on disk."""

    sequence: int
    index: int
    term: int
