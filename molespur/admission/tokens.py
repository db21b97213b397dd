"""Signed tokens by which a client proves who it is, and their keys.  Pure but for `load` and `save`.

A token is `v1.KEY.PAYLOAD.SIGNATURE`: the key's id, a JSON object in base64url (RFC 4648, section 5,
unpadded) and an HMAC-SHA256 (RFC 2104) over `v1.KEY.PAYLOAD`, which is compared in constant time.
"""

import binascii
import os
import re
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import dataclass

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.hmac import HMAC

TOKEN_MOST = 1024  # bytes
SECRET_BYTES = 32
_plain = re.compile(r"[A-Za-z0-9._@-]{1,64}").fullmatch


class Payload(msgspec.Struct, forbid_unknown_fields=True):
    """Times are Unix seconds."""

    sub: str
    div: str
    iat: float
    exp: float


class Key(msgspec.Struct, forbid_unknown_fields=True):
    """One key.  It signs until `retired`, and verifies until `until` (0: no end)."""

    id: str
    secret: str  # base64url
    made: float
    until: float = 0.0
    revoked: bool = False


class Ring(msgspec.Struct, forbid_unknown_fields=True):
    """All keys, the newest last, and subjects whose tokens issued before a time are not good any more."""

    keys: list[Key] = []
    revoked: dict[str, float] = {}


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a verified token speaks for."""

    subject: str
    division: str
    key: str
    until: float


@dataclass(frozen=True, slots=True)
class Bad:
    """Why a token is not good, by name: the counter it goes under."""

    why: str


class KeyFileError(Exception):
    """A key file that can't be used; the text names file and fault."""


def _encode(data: bytes) -> str:
    return urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    """Raises ValueError for what is no canonical base64url."""
    data = urlsafe_b64decode(text + "=" * (-len(text) % 4))
    if _encode(data) != text:
        raise ValueError("not canonical")
    return data


def _mac(secret: bytes, signed: str) -> HMAC:
    mac = HMAC(secret, SHA256())
    mac.update(signed.encode("ascii"))
    return mac


def rotate(ring: Ring, secret: bytes, now: float, overlap_s: float) -> Ring:
    """A ring whose newest key is this one; others verify for the overlap, and those past it are dropped."""
    if len(secret) < SECRET_BYTES:
        raise ValueError(f"a secret needs {SECRET_BYTES} bytes")
    number = max((int(key.id[1:]) for key in ring.keys if key.id[1:].isdecimal()), default=0) + 1
    old = []
    for key in ring.keys:
        until = min(key.until or now + overlap_s, now + overlap_s)
        if until > now or key.revoked:
            old.append(msgspec.structs.replace(key, until=until))
    return Ring([*old, Key(f"k{number}", _encode(secret), now)], ring.revoked)


def revoke(ring: Ring, name: str, now: float) -> Ring:
    """Revoke a key by its id, or a subject's tokens issued so far.  Raises KeyError for neither."""
    if any(key.id == name for key in ring.keys):
        keys = [msgspec.structs.replace(k, revoked=True) if k.id == name else k for k in ring.keys]
        return Ring(keys, ring.revoked)
    if not _plain(name):
        raise KeyError(name)
    return Ring(ring.keys, ring.revoked | {name: now})


def issue(ring: Ring, subject: str, division: str, now: float, ttl_s: float) -> str:
    """A token by the newest key that is good.  Raises ValueError where there is none, or for a bad name."""
    for name in (subject, division):
        if not _plain(name):
            raise ValueError(f"must be 1 to 64 of A-Z a-z 0-9 . _ @ -, got {name!r}")
    key = next((k for k in reversed(ring.keys) if not k.revoked and not k.until), None)
    if key is None:
        raise ValueError("no key signs; rotate first")
    payload = msgspec.json.encode(Payload(subject, division, now, now + ttl_s))
    signed = f"v1.{key.id}.{_encode(payload)}"
    return f"{signed}.{_encode(_mac(_decode(key.secret), signed).finalize())}"


def verify(ring: Ring, token: str, now: float, leeway_s: float = 30.0) -> Identity | Bad:
    """Who a token speaks for at now (Unix seconds); clocks may differ by the leeway."""
    if len(token) > TOKEN_MOST:
        return Bad("too_long")
    parts = token.split(".")
    if len(parts) != 4 or parts[0] != "v1" or not token.isascii():
        return Bad("malformed")
    key = next((key for key in ring.keys if key.id == parts[1]), None)
    if key is None:
        return Bad("unknown_key")
    try:
        signature, body = _decode(parts[3]), _decode(parts[2])
    except (ValueError, binascii.Error):
        return Bad("not_base64")
    try:
        _mac(_decode(key.secret), token.rpartition(".")[0]).verify(signature)
    except InvalidSignature:
        return Bad("signature")
    if key.revoked:
        return Bad("revoked_key")
    if key.until and now >= key.until:
        return Bad("retired_key")
    try:
        payload = msgspec.json.decode(body, type=Payload)
    except msgspec.DecodeError:
        return Bad("malformed")
    if payload.iat > now + leeway_s:
        return Bad("not_yet")
    if payload.exp <= now - leeway_s:
        return Bad("expired")
    if payload.iat <= ring.revoked.get(payload.sub, float("-inf")):
        return Bad("revoked_subject")
    return Identity(payload.sub, payload.div, key.id, payload.exp)


def load(path: str) -> Ring:
    """The ring in a file.  Raises KeyFileError that names what is wrong."""
    try:
        with open(path, "rb") as file:
            ring = msgspec.json.decode(file.read(1 << 20), type=Ring)
        for key in ring.keys:
            if len(_decode(key.secret)) < SECRET_BYTES:
                raise KeyFileError(f"{path}: keys: {key.id}: a secret needs {SECRET_BYTES} bytes")
    except OSError as problem:
        raise KeyFileError(f"{path}: {problem.strerror}") from None
    except (ValueError, binascii.Error) as problem:
        raise KeyFileError(f"{path}: {problem}") from None
    if len({key.id for key in ring.keys}) < len(ring.keys):
        raise KeyFileError(f"{path}: keys: an id that stands twice")
    return ring


def save(path: str, ring: Ring) -> None:
    """Replace the file as a whole, readable by its owner alone."""
    beside = f"{path}.new"
    with open(os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(ring)) + b"\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)
