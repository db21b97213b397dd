"""Events of a stream (text/event-stream): passes on complete events and knows the last id.  Pure."""

from dataclasses import dataclass, field

SEPARATOR = b"\n\n"
ID = b"id:"
VERSIONS = b"versions:"


@dataclass(slots=True)
class EventFilter:
    """Holds back the bytes of an event that has not arrived completely."""

    last_id: bytes = b""
    versions: bytes | None = None  # of the weights that the last event was generated with
    _tail: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> bytes:
        """Take bytes as they arrive; return those of complete events."""
        self._tail += data
        end = self._tail.rfind(SEPARATOR)
        if end < 0:
            return b""
        complete = bytes(self._tail[: end + len(SEPARATOR)])
        del self._tail[: end + len(SEPARATOR)]
        self.last_id = _last_value(complete, ID) or self.last_id
        self.versions = _last_value(complete, VERSIONS) or self.versions
        return complete

    def take_rest(self) -> bytes:
        """Return the bytes after the last event, at the end of a complete stream."""
        rest = bytes(self._tail)
        self._tail.clear()
        return rest


def _last_value(events: bytes, name: bytes) -> bytes | None:
    """The value of the last line that begins with this name; None without one."""
    start = events.rfind(name)
    while start > 0 and events[start - 1 : start] != b"\n":
        start = events.rfind(name, 0, start)
    if start < 0:
        return None
    return events[start + len(name) : events.find(b"\n", start)].strip()


def follows(events: bytes, last_id: bytes) -> bool:
    """Whether the first of these events comes after the event `last_id`; True unless both ids are numbers."""
    if not events.startswith(ID):
        start = events.find(b"\n" + ID)
        if start < 0:
            return True
        events = events[start + 1 :]
    first = events[len(ID) : events.find(b"\n")].strip()
    if not (first.isdigit() and last_id.isdigit()):
        return True
    return int(first) > int(last_id)
