"""Answers without end, cut off or wrong are faults, and bounded."""

import h11
import pytest
import trio
from trio.testing import memory_stream_pair

from molespur.registry import http
from molespur.registry.http import FAULTS, Link, broken
from molespur.registry.model import Why
from molespur.registry.protocol import Request

ASK = Request("GET", "/")


def answered(data, use, endless=b""):
    """Use a link whose far end says data, and then, where it is given, the same again without end."""

    async def main():
        ours, theirs = memory_stream_pair()

        async def far():
            await theirs.send_all(data)
            for _ in range(10_000 if endless else 0):
                await theirs.send_all(endless)
                await trio.sleep(0)
            await theirs.aclose()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(far)
            try:
                return await use(Link(ours, ("m", 1)))
            finally:
                nursery.cancel_scope.cancel()

    return trio.run(main)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "endless", "why"),
    [
        (CHUNKED, b"3\r\naaa\r\n", Why.MALFORMED),
        (b"HTTP/1.1 200 OK\r\nX: ", b"y" * 100, Why.MALFORMED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", b"", Why.BROKEN),
        (CHUNKED + b"5\r\nab", b"", Why.BROKEN),
        (b"", b"", Why.BROKEN),
        (b"SSH-2.0-x\r\n\r\n", b"", Why.MALFORMED),
    ],
)
def test_answers_that_are_faults(data, endless, why, monkeypatch):
    monkeypatch.setattr(Link.body, "__defaults__", (1000,))

    async def use(link):
        with pytest.raises(FAULTS) as caught:
            await link.ask(ASK)
        return broken(caught.value).why

    assert answered(data, use, endless) is why


def test_a_line_without_end_is_a_fault(monkeypatch):
    monkeypatch.setattr(http, "LINE_MOST", 1000)

    async def use(link):
        await link.send(ASK)
        assert await link.line() == b"one"
        with pytest.raises(h11.RemoteProtocolError):
            await link.line()
        return True

    assert answered(CHUNKED + b"4\r\none\n\r\n", use, b"3\r\naaa\r\n")
