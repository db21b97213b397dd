"""Frames on their way to other processes."""

from typing import Protocol

from . import molespur_pb2 as pb


class OutgoingFrame(Protocol):
    """A frame that can be sent: `pb.Frame`, or one that several channels share."""

    def SerializeToString(self) -> bytes:
        """The bytes of the frame."""

    def WhichOneof(self, group: str) -> str | None:
        """The kind of its message, for the group `body`."""


class SharedFrame:
    """A frame that goes to several channels: it is serialized once, and they refer to the same bytes."""

    def __init__(self, frame: pb.Frame):
        self._kind = frame.WhichOneof("body")
        self._data = frame.SerializeToString()

    @property
    def size(self) -> int:
        """Its length in bytes."""
        return len(self._data)

    def SerializeToString(self) -> bytes:
        """The bytes of the frame."""
        return self._data

    def WhichOneof(self, _group: str) -> str | None:
        """The kind of its message."""
        return self._kind
