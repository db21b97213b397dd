"""The interface between a replica group and its state machine."""

from zope.interface import Attribute, Interface


class IStateMachine(Interface):
    """A deterministic state machine that only commands of the log change."""

    def apply(data):
        """Execute one command; return (result for the proposer, payload for the feed or None)."""

    def snapshot():
        """Return the full state as bytes, for a replica that lacks the log."""

    def restore(data):
        """Replace the state by a snapshot."""

    def feed_snapshot():
        """Return the state as bytes, for a process that follows the feed."""

    size = Attribute("approximate size of a snapshot in bytes")
