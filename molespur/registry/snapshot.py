"""The last view on disk, for a start while the registry is away.

One file: a line `molespur-registry-snapshot 1 BLAKE3` and a JSON body that the checksum covers.  It is
replaced as a whole (written beside, synced, renamed), so a crash leaves the old or the new one.
"""

import os
from dataclasses import dataclass

import msgspec
from blake3 import blake3

from .model import Item
from .records import encode as encode_record
from .view import View, rebuilt

MAGIC = b"molespur-registry-snapshot"
VERSION = b"1"
MOST = 256 * 1024 * 1024


class _Body(msgspec.Struct, forbid_unknown_fields=True):
    place: str  # protocol and prefix: another registry's snapshot is not ours
    cluster: str
    revision: int
    written_ms: float
    items: list[tuple[str, bytes, int, int]]


_decode = msgspec.json.Decoder(_Body).decode


@dataclass(frozen=True, slots=True)
class Refused:
    """Why a file is not used."""

    why: str


def encode(view: View, place: str, written_ms: float) -> bytes:
    """A view as a file's content.  An entry with a faulty value is kept by its last good record."""
    items = [
        (
            key,
            encode_record(e.record) if e.fault and e.record else e.item.value,
            e.item.created,
            e.item.changed,
        )
        for key, e in view.entries.items()
    ]
    body = msgspec.json.encode(_Body(place, view.cluster, view.revision, written_ms, items))
    return b" ".join((MAGIC, VERSION, blake3(body).hexdigest().encode())) + b"\n" + body


def decode(data: bytes, place: str) -> tuple[View, float] | Refused:
    """The view in a file and when it was written (Unix ms); or why the file is refused."""
    head, found, body = data.partition(b"\n")
    parts = head.split(b" ")
    if not found or len(parts) != 3 or parts[0] != MAGIC:
        return Refused("not a snapshot")
    if parts[1] != VERSION:
        return Refused(f"format version {parts[1][:20].decode('latin-1')}, {VERSION.decode()} is known")
    if blake3(body).hexdigest().encode() != parts[2]:
        return Refused("torn or altered: its checksum does not match")
    try:
        got = _decode(body)
    except (msgspec.DecodeError, RecursionError) as problem:
        return Refused(f"malformed: {problem}")
    if got.place != place:
        return Refused(f"of {got.place!r}, not of {place!r}")
    view, _, _ = rebuilt(View(), got.cluster, got.revision, (Item(*item) for item in got.items))
    return view, got.written_ms


class Store:
    """The file; without a path there is none."""

    def __init__(self, path: str, place: str):
        self.path, self.place = path, place

    def load(self) -> View | Refused | None:
        """The view on disk; None where there is none."""
        if not self.path:
            return None
        try:
            if os.path.getsize(self.path) > MOST:
                return Refused(f"more than {MOST} bytes")
            with open(self.path, "rb") as file:
                data = file.read(MOST + 1)
        except FileNotFoundError:
            return None
        except OSError as problem:
            return Refused(str(problem))
        got = decode(data, self.place)
        return got if isinstance(got, Refused) else got[0]

    def save(self, view: View, written_ms: float) -> None:
        """Replace the file as a whole.  Raises OSError; the old one then stands."""
        beside = f"{self.path}.new"
        with open(beside, "wb") as file:
            file.write(encode(view, self.place, written_ms))
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, self.path)
        folder = os.open(os.path.dirname(self.path) or ".", os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
