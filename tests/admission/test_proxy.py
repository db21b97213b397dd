"""PROXY headers of both versions, split anywhere, damaged anyhow."""

import struct
from ipaddress import ip_address

import pytest
from crc32c import crc32c
from hypothesis import given, settings
from hypothesis import strategies as st

from molespur.admission.proxy import SIGNATURE, Fault, Header, Reader, Trusted


def v2(
    command=1, family=0x11, source="192.0.2.7", target="192.0.2.1", ports=(1234, 443), tlvs=b"", crc=False
):
    addresses = b""
    if family >> 4 in (1, 2):
        addresses = ip_address(source).packed + ip_address(target).packed + struct.pack("!HH", *ports)
    if crc:
        tlvs += b"\x03\0\x04" + bytes(4)
    whole = (
        SIGNATURE + struct.pack("!BBH", 0x20 | command, family, len(addresses) + len(tlvs)) + addresses + tlvs
    )
    return whole[:-4] + crc32c(whole).to_bytes(4, "big") if crc else whole


FROM, TO = ("192.0.2.7", 1234), ("192.0.2.1", 443)
SIX = ("2001:db8::7", 1234), ("2001:db8::1", 443)
GOOD = [
    (b"PROXY TCP4 192.0.2.7 192.0.2.1 1234 443\r\n", Header(1, FROM, TO)),
    (b"PROXY TCP6 2001:db8::7 2001:db8::1 1234 443\r\n", Header(1, *SIX)),
    (b"PROXY UNKNOWN\r\n", Header(1, None, None)),
    (b"PROXY UNKNOWN ffff::1 ffff::2 1 2\r\n", Header(1, None, None)),
    (v2(), Header(2, FROM, TO)),
    (v2(family=0x21, source="2001:db8::7", target="2001:db8::1"), Header(2, *SIX)),
    (v2(command=0), Header(2, None, None)),
    (v2(command=0, family=0), Header(2, None, None)),
    (
        v2(tlvs=b"\x01\0\x02h2" + b"\x04\0\x03..." + b"\xe9\0\0"),
        Header(2, FROM, TO, ((1, b"h2"), (0xE9, b""))),
    ),
]


@pytest.mark.parametrize(("data", "want"), GOOD)
def test_headers_split_at_each_byte(data, want):
    data += b"POST /"
    for cut in range(len(data) + 1):
        reader = Reader()
        got = reader.feed(data[:cut]) if cut else None
        if got is None:
            got = reader.feed(data[cut:])
            assert got.rest == b"POST /"
        assert (got.version, got.source, got.target, got.tlvs) == (
            want.version,
            want.source,
            want.target,
            want.tlvs,
        )


def test_byte_by_byte():
    reader, data = Reader(), v2(crc=True)
    for n in range(len(data) - 1):
        assert reader.feed(data[n : n + 1]) is None
    assert reader.feed(data[-1:]).source == FROM


def test_a_checksum_is_checked():
    good = v2(tlvs=b"\x02\0\x01a", crc=True)
    assert isinstance(Reader().feed(good), Header)
    for at in range(16, len(good)):
        damaged = good[:at] + bytes([good[at] ^ 0x40]) + good[at + 1 :]
        got = Reader().feed(damaged)
        assert isinstance(got, Fault) or not any(kind == 3 for kind, _ in got.tlvs)


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"GET / HTTP/1.1\r\n", "no_header"),
        (b"PROXY TCP4 1.2.3.4 1.2.3.4 1 2 3\r\n", "v1_malformed"),
        (b"PROXY UDP4 1.2.3.4 1.2.3.4 1 2\r\n", "v1_malformed"),
        (b"PROXY TCP4 2001:db8::7 1.2.3.4 1 2\r\n", "v1_address"),
        (b"PROXY TCP6 1.2.3.4 1.2.3.4 1 2\r\n", "v1_address"),
        (b"PROXY TCP4 1.2.3.4 1.2.3.4 01 2\r\n", "v1_port"),
        (b"PROXY TCP4 1.2.3.4 1.2.3.4 1 65536\r\n", "v1_port"),
        (b"PROXY TCP4 " + b"1" * 200, "v1_too_long"),
        (SIGNATURE + b"\x31\x11\0\x0c" + bytes(12), "v2_version"),
        (SIGNATURE + b"\x22\x11\0\x0c" + bytes(12), "v2_command"),
        (SIGNATURE + b"\x21\x41\0\x0c" + bytes(12), "v2_family"),
        (SIGNATURE + b"\x21\x12\0\x0c" + bytes(12), "v2_family"),
        (SIGNATURE + b"\x21\x11\0\x04" + bytes(4), "v2_short"),
        (SIGNATURE + b"\x21\x21\0\x0c" + bytes(12), "v2_short"),
        (SIGNATURE + b"\x21\x11\xff\xff", "v2_too_long"),
        (v2(tlvs=b"\x01\0\x09h2"), "v2_tlv"),
        (v2(tlvs=b"\x01\0"), "v2_tlv"),
        (v2(tlvs=b"\x03\0\x04abcd"), "v2_checksum"),
        (v2(tlvs=b"\x03\0\x01a"), "v2_checksum"),
    ],
)
def test_faults_are_named(data, why):
    assert Reader().feed(data) == Fault(why)


@given(
    st.sampled_from([data for data, _ in GOOD]), st.integers(0, 60), st.binary(max_size=4), st.integers(0, 6)
)
@settings(max_examples=3000, deadline=None, derandomize=True)
def test_any_damage_is_a_header_a_fault_or_a_wait(data, at, junk, cut):
    reader = Reader()
    got = reader.feed(data[:at] + junk + data[at + cut :])
    assert got is None or isinstance(got, Header | Fault)
    if got is None:
        end = reader.feed(b"\0" * 5000)
        assert isinstance(end, Header | Fault), "a header that never ends"


def test_only_trusted_fronts():
    fronts = Trusted(["10.1.0.0/16", "2001:db8::/32"])
    assert "10.1.2.3" in fronts and "2001:db8::9" in fronts
    assert "10.2.0.1" not in fronts and "::1" not in fronts
    with pytest.raises(ValueError):
        Trusted(["10.1.0.1/16"])
