"""The shard of the operator's configuration: versions that build on one another."""

from enum import Enum

from zope.interface import implementer

from ..rpc import molespur_pb2 as pb
from .interfaces import IStateMachine


class PutOutcome(Enum):
    """What became of a change."""

    ACCEPTED = "taken"  # it is in force, or was: also for one that comes again
    MISMATCH = "mismatch"  # it builds on another version than the current one
    NOT_NEWER = "not-newer"  # its version is not above the current one


@implementer(IStateMachine)
class ConfigurationStateMachine:
    """The current configuration, and which changes were ever taken."""

    def __init__(self):
        self.version, self.body = 0, b""
        self.accepted_digests: dict[bytes, None] = {}
        self.refused_bases: dict[
            bytes, int
        ] = {}  # digest -> base version, where that is above the current one

    @property
    def size(self) -> int:
        """Bytes that a snapshot takes, roughly."""
        return len(self.body) + 20 * len(self.accepted_digests) + 24 * len(self.refused_bases)

    def apply(self, data: bytes) -> tuple[PutOutcome, bytes | None]:
        """Take one change if it builds on the current version.

        A change that was taken before is told so again, whatever came after it: its first acknowledgement
        may have been lost, and it must never be refused.  A change that was refused stays refused.  Versions
        rise, so one on a version below the current one can never be taken; one on a version above it could
        be later, and is remembered until the current version has passed its base.
        """
        command = pb.PutConfiguration.FromString(data)
        if command.digest in self.accepted_digests:
            return PutOutcome.ACCEPTED, None
        if command.base_version != self.version or command.digest in self.refused_bases:
            if command.base_version > self.version:
                self.refused_bases[command.digest] = command.base_version
            return PutOutcome.MISMATCH, None
        if command.version <= self.version:
            return PutOutcome.NOT_NEWER, None
        self.version, self.body = command.version, command.body
        self.accepted_digests[command.digest] = None
        self.refused_bases = {
            digest: base for digest, base in self.refused_bases.items() if base >= self.version
        }
        return PutOutcome.ACCEPTED, self.feed_snapshot()

    def snapshot(self) -> bytes:
        """All state, for another replica."""
        state = pb.ConfigurationState(
            version=self.version, body=self.body, taken_digests=list(self.accepted_digests)
        )
        for digest, base_version in self.refused_bases.items():
            state.refused.add(digest=digest, base_version=base_version)
        return state.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        state = pb.ConfigurationState.FromString(data)
        self.version, self.body = state.version, state.body
        self.accepted_digests = dict.fromkeys(state.taken_digests)
        self.refused_bases = {change.digest: change.base_version for change in state.refused}

    def feed_snapshot(self) -> bytes:
        """The current configuration, for the data plane."""
        return pb.ConfigurationState(version=self.version, body=self.body).SerializeToString()
