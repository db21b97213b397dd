"""Crowds of clients that do not behave, at the listeners of a scheduler.

These tests guard against a scheduler that goes over the memory or the descriptors of its machine, hangs, or
answers nobody, because of clients that stay inside no limit.  Each crowd meets a real process.
"""

import asyncio
import socket

import crowd_behaviors as behaviors
import pytest
from fleet_under_crowd import FRONTEND_PORT, LAST_PORT, MAX_BODY_BYTES, READINESS_PORT, running_fleet
from meeting import LIMIT_S, meet

ROLE = "data-plane"
CROWD = 350
SMALL_CROWD = 100
FEW_CONNECTIONS = 8
MORE_THAN_DESCRIPTORS = 1200
STREAM_PATH = b"/stream/x"
LARGE_PATH = b"/p/large"
DATAGRAMS = 20_000
DATAGRAM_BYTES = 8000

REQUEST = behaviors.head(behaviors.length(0))
FRONTEND_CROWDS = {
    "body-short-of-its-end": (behaviors.body_short_of_its_end(MAX_BODY_BYTES), CROWD),
    "body-piece-by-piece": (behaviors.body_piece_by_piece, CROWD),
    "whole-body": (behaviors.whole_body, CROWD),
    "chunks-short-of-their-end": (
        behaviors.chunks_short_of_their_end(MAX_BODY_BYTES - 16_384, 16_384),
        CROWD,
    ),
    "small-body-short-of-its-end": (
        behaviors.body_short_of_its_end(behaviors.SMALL_BODY_BYTES),
        CROWD,
    ),
    "small-chunks-short-of-their-end": (
        behaviors.chunks_short_of_their_end(behaviors.SMALL_BODY_BYTES, 1000),
        CROWD,
    ),
    "tiny-chunks": (behaviors.tiny_chunks, SMALL_CROWD),
    "announced-over-the-limit": (behaviors.announced_over_the_limit(), CROWD),
    "chunks-over-the-limit": (
        behaviors.chunks_short_of_their_end(behaviors.OVER_LIMIT_BYTES, 16_384),
        CROWD,
    ),
    "head-without-end": (behaviors.head_without_end(), CROWD),
    "chunk-extension-without-end": (behaviors.chunk_extension_without_end, CROWD),
    "trailer-without-end": (behaviors.trailer_without_end, CROWD),
    "requests-ahead": (behaviors.requests_ahead(REQUEST), FEW_CONNECTIONS),
    "requests-ahead-large-answers": (
        behaviors.requests_ahead(behaviors.head(behaviors.length(0), path=LARGE_PATH)),
        SMALL_CROWD,
    ),
    "requests-ahead-behind-a-refusal": (
        behaviors.requests_ahead(behaviors.head(behaviors.length(0), path=b"/none")),
        SMALL_CROWD,
    ),
    "requests-ahead-behind-a-close": (
        behaviors.requests_ahead(behaviors.head(behaviors.length(0), close=True), 1000),
        CROWD,
    ),
    "requests-ahead-then-reset": (behaviors.requests_ahead_then_reset(REQUEST), CROWD),
    "large-answer-unread": (
        behaviors.once(behaviors.head(behaviors.length(0), path=LARGE_PATH)),
        CROWD,
    ),
    "stream-unread": (
        behaviors.once(behaviors.head(behaviors.length(0), path=STREAM_PATH)),
        CROWD,
    ),
    "idle": (behaviors.idle, MORE_THAN_DESCRIPTORS),
    "one-request-then-idle": (behaviors.once(REQUEST), MORE_THAN_DESCRIPTORS),
    "http2-streams": (behaviors.http2_streams, SMALL_CROWD),
    "upgrade-to-http2": (behaviors.upgrade_to_http2, SMALL_CROWD),
    "websocket-message": (behaviors.websocket_message, SMALL_CROWD),
}
READY = b"/api/readyz"
READINESS_CROWDS = {
    "body-short-of-its-end": (behaviors.body_short_of_its_end(MAX_BODY_BYTES, path=READY), CROWD),
    "chunks-short-of-their-end": (
        behaviors.chunks_short_of_their_end(MAX_BODY_BYTES, 16_384, path=READY),
        CROWD,
    ),
    "announced-over-the-limit": (behaviors.announced_over_the_limit(path=READY), CROWD),
    "head-without-end": (behaviors.head_without_end(), CROWD),
    "requests-ahead": (
        behaviors.requests_ahead(behaviors.head(path=b"/api/metrics", method=b"GET")),
        FEW_CONNECTIONS,
    ),
    "requests-ahead-then-reset": (
        behaviors.requests_ahead_then_reset(behaviors.head(path=READY, method=b"GET")),
        CROWD,
    ),
    "idle": (behaviors.idle, MORE_THAN_DESCRIPTORS),
    "http2-streams": (behaviors.http2_streams, SMALL_CROWD),
}


def ordinary_calls(fleet):
    """What has to be answered beside a crowd and after it."""
    return [fleet.ordinary_request]


@pytest.mark.parametrize("name", FRONTEND_CROWDS)
def test_a_scheduler_endures_a_crowd_of_clients(name, tmp_path):
    meet(tmp_path, ROLE, ordinary_calls, (FRONTEND_PORT, *FRONTEND_CROWDS[name]))


@pytest.mark.parametrize("name", READINESS_CROWDS)
def test_a_scheduler_endures_a_crowd_at_its_readiness_check(name, tmp_path):
    meet(tmp_path, ROLE, ordinary_calls, (READINESS_PORT, *READINESS_CROWDS[name]))


def test_a_scheduler_endures_several_crowds_at_once(tmp_path):
    names = ("body-short-of-its-end", "small-body-short-of-its-end", "requests-ahead", "idle")
    meet(tmp_path, ROLE, ordinary_calls, *((FRONTEND_PORT, *FRONTEND_CROWDS[name]) for name in names))


def test_a_scheduler_endures_datagrams_of_strangers(tmp_path):
    async def send_datagrams(fleet):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(DATAGRAMS):
                sender.sendto(bytes(DATAGRAM_BYTES), (fleet.data_host, LAST_PORT))

    meet(tmp_path, ROLE, ordinary_calls, prepare=send_datagrams)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_single_request_of_the_largest_legal_size_is_served_in_calm(framing, tmp_path):
    async def scenario():
        async with asyncio.timeout(LIMIT_S), running_fleet(tmp_path) as fleet:
            if framing == "length":
                status, _body = await fleet.ordinary_request(bytes(MAX_BODY_BYTES))
            else:
                status = await _send_in_chunks((fleet.data_host, FRONTEND_PORT))
            assert status == 200

    asyncio.run(scenario())


async def _send_in_chunks(address):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(behaviors.head(b"Transfer-Encoding: chunked"))
    piece = 1 << 16
    for _ in range(MAX_BODY_BYTES // piece):
        writer.write(b"%x\r\n%s\r\n" % (piece, bytes(piece)))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    status = int((await reader.readline()).split()[1])
    writer.close()
    return status
