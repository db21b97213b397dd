"""HAProxy's PROXY protocol, versions 1 and 2: the true address that a trusted front tells.  Pure.

Source: "The PROXY protocol, versions 1 & 2" (HAProxy), sections 2.1 and 2.2.  Bytes are fed as they come,
split anywhere; the header is given once it is whole, with what followed it.
"""

import struct
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv6Address, ip_address, ip_network

from crc32c import crc32c

SIGNATURE = b"\r\n\r\n\0\r\nQUIT\n"
V1_MOST = 107  # bytes with the line's end, section 2.1
V2_MOST = 4096  # bytes of addresses and TLVs that we read; the format would allow 65,535
CRC32C, NOOP = 0x03, 0x04
_FAMILIES = {1: (4, IPv4Address), 2: (16, IPv6Address)}


@dataclass(frozen=True, slots=True)
class Header:
    """What the front told.  Without a source the connection is the front's own (LOCAL, UNKNOWN)."""

    version: int
    source: tuple[str, int] | None
    target: tuple[str, int] | None
    tlvs: tuple[tuple[int, bytes], ...] = ()
    rest: bytes = b""


@dataclass(frozen=True, slots=True)
class Fault:
    """Why there is no header, by name: the counter it goes under."""

    why: str


class Reader:
    """Reads one header; None means that more bytes are needed."""

    def __init__(self):
        self._data = b""

    def feed(self, data: bytes) -> Header | Fault | None:
        self._data += data
        head = self._data[: len(SIGNATURE)]
        if head == SIGNATURE:
            return self._v2()
        if SIGNATURE.startswith(head) and head:
            return None
        if b"PROXY ".startswith(self._data[:6]) and self._data:
            return self._v1()
        return Fault("no_header") if self._data else None

    def _v1(self) -> Header | Fault | None:
        line, found, rest = self._data.partition(b"\r\n")
        if not found:
            return Fault("v1_too_long") if len(self._data) >= V1_MOST else None
        if len(line) + 2 > V1_MOST:
            return Fault("v1_too_long")
        words = line.split(b" ")
        if words[1:2] == [b"UNKNOWN"]:
            return Header(1, None, None, (), rest)
        if len(words) != 6 or words[1] not in (b"TCP4", b"TCP6"):
            return Fault("v1_malformed")
        kind = IPv4Address if words[1] == b"TCP4" else IPv6Address
        try:
            source, target = (str(kind(word.decode("ascii"))) for word in words[2:4])
        except ValueError:
            return Fault("v1_address")
        ports = []
        for word in words[4:6]:
            good = word.isdigit() and (word == b"0" or not word.startswith(b"0")) and int(word) < 65536
            if not good:
                return Fault("v1_port")
            ports.append(int(word))
        return Header(1, (source, ports[0]), (target, ports[1]), (), rest)

    def _v2(self) -> Header | Fault | None:
        if len(self._data) < 16:
            return None
        command, family, length = struct.unpack("!BBH", self._data[12:16])
        if command >> 4 != 2:
            return Fault("v2_version")
        if command & 15 > 1:
            return Fault("v2_command")
        if length > V2_MOST:
            return Fault("v2_too_long")
        if len(self._data) < 16 + length:
            return None
        whole, rest = self._data[: 16 + length], self._data[16 + length :]
        return self._v2_body(whole, command & 15 == 0, family, rest)

    def _v2_body(self, whole: bytes, local: bool, family: int, rest: bytes) -> Header | Fault:
        body, source, target, at = whole[16:], None, None, 0
        address, transport = family >> 4, family & 15
        if address > 3 or transport > 2:
            return Fault("v2_family")
        if address in _FAMILIES:
            size, kind = _FAMILIES[address]
            at = 2 * size + 4
            if len(body) < at:
                return Fault("v2_short")
            ports = struct.unpack("!HH", body[2 * size : at])
            source = (str(kind(body[:size])), ports[0])
            target = (str(kind(body[size : 2 * size])), ports[1])
        elif address == 3:
            at = 216
            if len(body) < at:
                return Fault("v2_short")
        if not local and address in _FAMILIES and transport != 1:
            return Fault("v2_family")  # we take streams alone
        tlvs = self._tlvs(whole, 16 + at)
        if isinstance(tlvs, Fault):
            return tlvs
        # a LOCAL command's addresses are to be passed over, section 2.2
        return Header(2, None if local else source, None if local else target, tlvs, rest)

    @staticmethod
    def _tlvs(whole: bytes, at: int) -> tuple[tuple[int, bytes], ...] | Fault:
        found = []
        while at < len(whole):
            if at + 3 > len(whole):
                return Fault("v2_tlv")
            kind, size = struct.unpack("!BH", whole[at : at + 3])
            value = whole[at + 3 : at + 3 + size]
            if len(value) < size:
                return Fault("v2_tlv")
            if kind == CRC32C:
                # over the whole header with the checksum's own bytes taken as zeros, section 2.2.3
                zeroed = whole[: at + 3] + bytes(size) + whole[at + 3 + size :]
                if size != 4 or crc32c(zeroed) != int.from_bytes(value, "big"):
                    return Fault("v2_checksum")
            if kind != NOOP:
                found.append((kind, value))
            at += 3 + size
        return tuple(found)


class Trusted:
    """The fronts that may tell an address."""

    def __init__(self, ranges: list[str]):
        """Raises ValueError for what is no network."""
        self.networks = [ip_network(text) for text in ranges]

    def __contains__(self, address: str) -> bool:
        ip = ip_address(address)
        return any(ip in network for network in self.networks if network.version == ip.version)
