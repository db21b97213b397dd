"""Events of a stream (text/event-stream): only whole ones go on, and the last id is known.  Pure."""

from dataclasses import dataclass, field

SEPARATOR = b"\n\n"


@dataclass(slots=True)
class EventFilter:
    """Holds back the bytes of an event that has not arrived whole."""

    last_id: bytes = b""
    _tail: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> bytes:
        """Take bytes as they arrive; return those of whole events."""
        self._tail += data
        end = self._tail.rfind(SEPARATOR)
        if end < 0:
            return b""
        whole = bytes(self._tail[: end + len(SEPARATOR)])
        del self._tail[: end + len(SEPARATOR)]
        self._note_id(whole)
        return whole

    def rest(self) -> bytes:
        """What is left at the end of a stream that has ended well."""
        rest = bytes(self._tail)
        self._tail.clear()
        return rest

    def drop_rest(self) -> None:
        """Forget a part of an event: its worker broke off."""
        self._tail.clear()

    def _note_id(self, whole: bytes) -> None:
        start = whole.rfind(b"id:")
        while start > 0 and whole[start - 1 : start] != b"\n":
            start = whole.rfind(b"id:", 0, start)
        if start >= 0:
            self.last_id = whole[start + 3 : whole.find(b"\n", start)].strip()
