"""The shard of the operator configuration: a sequence of versions, each based on the one before it."""

from enum import Enum

from zope.interface import implementer

from ..rpc import molespur_pb2 as pb
from .interfaces import IStateMachine


class PutOutcome(Enum):
    """The result of a configuration change."""

    ACCEPTED = "taken"  # it is or was in force; also the result when an accepted change is sent again
    MISMATCH = "mismatch"  # its base version is not the current version
    NOT_NEWER = "not-newer"  # its version is not higher than the current version


@implementer(IStateMachine)
class ConfigurationStateMachine:
    """The current configuration and the digests of all changes that were ever accepted."""

    def __init__(self):
        self.version, self.body = 0, b""
        self.accepted_digests: dict[bytes, None] = {}
        # digest -> base version of each refused change whose base version is above the current version
        self.refused_bases: dict[bytes, int] = {}

    @property
    def size(self) -> int:
        """Return the approximate size of a snapshot in bytes."""
        return len(self.body) + 20 * len(self.accepted_digests) + 24 * len(self.refused_bases)

    def apply(self, data: bytes) -> tuple[PutOutcome, bytes | None]:
        """Accept a change if its base version is the current version.

        A change that was accepted before is accepted again, whatever has followed it: its first
        acknowledgement may have been lost, and an accepted change must never be refused.  A refused change
        stays refused.  Versions only increase, so a change with a lower base version than the current one can
        never be accepted.  A change with a higher base version could be accepted later.  It is therefore
        remembered as refused until the current version has passed its base version.
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
        """Return the full state, for another replica."""
        state = pb.ConfigurationState(
            version=self.version, body=self.body, taken_digests=list(self.accepted_digests)
        )
        for digest, base_version in self.refused_bases.items():
            state.refused.add(digest=digest, base_version=base_version)
        return state.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""
        state = pb.ConfigurationState.FromString(data)
        self.version, self.body = state.version, state.body
        self.accepted_digests = dict.fromkeys(state.taken_digests)
        self.refused_bases = {change.digest: change.base_version for change in state.refused}

    def feed_snapshot(self) -> bytes:
        """Return the current configuration, for the data plane."""
        return pb.ConfigurationState(version=self.version, body=self.body).SerializeToString()
