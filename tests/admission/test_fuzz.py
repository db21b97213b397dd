"""A hundred thousand inputs for each parser that clients reach, with nothing uncaught."""

from random import Random

import pytest
from test_proxy import GOOD
from test_tokens import NOW, RING, TOKEN

from molespur.admission.proxy import Fault, Header, Reader
from molespur.admission.tokens import Bad, verify

INPUTS = 100_000


def damaged(rng: Random, data: bytes) -> bytes:
    """Some of: bytes flipped, cut out, put in, doubled."""
    out = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(out) + 1)
        what = rng.randrange(4)
        if what == 0 and at < len(out):
            out[at] ^= 1 << rng.randrange(8)
        elif what == 1:
            del out[at : at + rng.randint(1, 8)]
        elif what == 2:
            out[at:at] = rng.randbytes(rng.randint(1, 8))
        else:
            out[at:at] = out[at : at + rng.randint(1, 16)]
    return bytes(out)


def test_tokens():
    rng, whys = Random(1), set()
    for _ in range(INPUTS):
        text = damaged(rng, TOKEN.encode()).decode("latin-1")
        got = verify(RING, text, NOW)
        assert isinstance(got, Bad) or text == TOKEN
        whys.add(getattr(got, "why", "good"))
    assert {"malformed", "unknown_key", "not_base64", "signature"} <= whys


@pytest.mark.parametrize("pieces", [1, 3])
def test_proxy_headers(pieces):
    rng, whys = Random(pieces), set()
    for n in range(INPUTS // 2):
        data = damaged(rng, GOOD[n % len(GOOD)][0])
        reader, got, size = Reader(), None, max(len(data) // pieces, 1)
        for start in range(0, len(data), size):
            got = reader.feed(data[start : start + size])
            if got is not None:
                break
        assert got is None or isinstance(got, Header | Fault)
        whys.add(getattr(got, "why", type(got).__name__))
    assert {"Header", "NoneType", "no_header", "v1_malformed", "v1_address", "v2_version", "v2_tlv"} <= whys
