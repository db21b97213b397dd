"""What a replica group asks of the state that it keeps."""

from zope.interface import Attribute, Interface


class IStateMachine(Interface):
    """Deterministic state, changed by commands of the log only."""

    def apply(data):
        """Carry out one command; return (result for the proposer, payload for the feed or None)."""

    def snapshot():
        """All state as bytes, for a replica that lacks the log."""

    def restore(data):
        """Replace the state by that of a snapshot."""

    def feed_snapshot():
        """All state as bytes, for a process that follows the feed."""

    size = Attribute("bytes that a snapshot takes, roughly")
