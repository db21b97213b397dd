"""Messages between schedulers as bytes: msgpack by msgspec, checked and bounded.  Pure.

A datagram is a `Packet` (version, cluster, body); a push-pull state over TCP is an `Exchange` behind a
4-byte length.  Decoding never raises: it returns a reason instead, which the transport counts.
"""

import struct

import msgspec

from .model import VERSION, Exchange, MemberUpdate, Packet
from .sharing import AnyMessage, StateSnapshot

LENGTH = struct.Struct("!I")
REASONS = ("oversized", "malformed", "version", "cluster")

_encoder = msgspec.msgpack.Encoder()
_packet = msgspec.msgpack.Decoder(Packet)
_message = msgspec.msgpack.Decoder(AnyMessage)
_exchange = msgspec.msgpack.Decoder(Exchange)
_snapshot = msgspec.msgpack.Decoder(StateSnapshot | None)
NO_SNAPSHOT = b"\xc0"  # nil


class _Head(msgspec.Struct, array_like=True):
    """The first field of a packet or exchange in any version."""

    version: int


_head = msgspec.msgpack.Decoder(_Head)


def encode(cluster: str, message: AnyMessage) -> bytes:
    """Encode a message as one datagram."""
    return _encoder.encode(Packet(VERSION, cluster, msgspec.Raw(_encoder.encode(message))))


def update_size(update: MemberUpdate) -> int:
    """Bytes that one update adds to a datagram."""
    return len(_encoder.encode(update))


def _version_of(data: bytes) -> int | None:
    try:
        return _head.decode(data).version
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def decode(data: bytes, cluster: str, max_bytes: int) -> tuple[AnyMessage | None, str]:
    """The message of a datagram and "", or None and the reason for dropping it."""
    if len(data) > max_bytes:
        return None, "oversized"
    try:
        packet = _packet.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None, "malformed" if _version_of(data) in (None, VERSION) else "version"
    if packet.version != VERSION:
        return None, "version"
    if packet.cluster != cluster:
        return None, "cluster"
    try:
        return _message.decode(packet.body), ""
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None, "malformed"


def encode_exchange(
    cluster: str, src: str, join: bool, members: list[MemberUpdate], shared_state: bytes = NO_SNAPSHOT
) -> bytes:
    """Encode a push-pull state behind its length; `shared_state` is the result of `encode_snapshot`."""
    body = _encoder.encode(Exchange(VERSION, cluster, src, join, members, msgspec.Raw(shared_state)))
    return LENGTH.pack(len(body)) + body


def decode_exchange(body: bytes, cluster: str) -> tuple[Exchange | None, str]:
    """A push-pull state (without its length) and "", or None and the reason for dropping it."""
    try:
        exchange = _exchange.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None, "malformed" if _version_of(body) in (None, VERSION) else "version"
    if exchange.version != VERSION:
        return None, "version"
    if exchange.cluster != cluster:
        return None, "cluster"
    return exchange, ""


def encode_snapshot(snapshot: StateSnapshot) -> bytes:
    """Encode the shared state that is sent with a push-pull."""
    return _encoder.encode(snapshot)


def decode_snapshot(data: msgspec.Raw) -> tuple[StateSnapshot | None, str]:
    """The shared state of a push-pull (None where there is none) and "", or None and the reason."""
    try:
        return _snapshot.decode(data), ""
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None, "malformed"
