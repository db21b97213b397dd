"""Clients of a soak: they keep connections open until the scheduler's process is gone.

Several requests are sent ahead on one connection, bodies come in slow pieces, streams are taken up again
after a cut, some clients leave in the middle of an answer.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from random import Random

from .plain_worker import EVENTS
from .records import Ending, Exchange, Log, RequestKind

HOST = "soak.example"
PATHS = {kind: f"/{kind.value}/" for kind in RequestKind}
KIND_WEIGHTS = [1.0 if kind is not RequestKind.LONG else 0.2 for kind in RequestKind]
DEADLINE_MS = 4000
PATIENCE_S = 5.0
CONNECT_S = 1.0
REST_S = (0.0, 0.05)
AHEAD = 3  # requests sent ahead at most
SLOW_BODY_SHARE, LEAVE_SHARE, AHEAD_SHARE = 0.1, 0.05, 0.15
BODY_PIECES, PIECE_S = 4, 0.03
REQUESTS_A_CONNECTION = 40
MODEL_HEADERS = (
    "Molespur-Model: m", "Molespur-Token-Usage: 6000,12", "Molespur-Prompt-Prefix: aa:4000,bb:2000",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Target:
    """A scheduler that clients may connect to."""

    name: str
    host: str
    port: int


class Clients:
    """All clients of one run."""

    def __init__(
        self, log: Log, clock: Callable[[], float], random: Random, targets: Callable[[], list[Target]]
    ):
        self.log, self.clock, self.random, self.targets = log, clock, random, targets
        self._numbers = count(1)

    async def run(self, number: int, stop: asyncio.Event) -> None:
        """One client: a connection after the other, until told to stop."""
        while not stop.is_set():
            targets = self.targets()
            if not targets:
                await asyncio.sleep(CONNECT_S)
                continue
            target = self.random.choice(targets)
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(target.host, target.port)
            except (OSError, TimeoutError):
                await asyncio.sleep(REST_S[1])
                continue
            try:
                await self._use(target, reader, writer, stop)
            finally:
                writer.transport.abort()

    async def _use(self, target: Target, reader, writer, stop: asyncio.Event) -> None:
        """Send requests on one connection until it ends."""
        for _ in range(REQUESTS_A_CONNECTION):
            if stop.is_set():
                return
            ahead = self.random.randint(2, AHEAD) if self.random.random() < AHEAD_SHARE else 1
            sent = []
            for number in range(ahead):
                exchange = await self._send(target, writer, pipelined=number > 0)
                sent.append(exchange)
                if exchange.ending is Ending.UNSENT:
                    break
            for exchange in sent:
                if exchange.ending is not Ending.UNSENT and not await self._receive(exchange, reader):
                    return
            if sent[-1].ending is Ending.UNSENT:
                return
            await asyncio.sleep(self.random.uniform(*REST_S))

    # -- Requests ------------------------------------------------------------------------------

    async def _send(self, target: Target, writer, pipelined: bool) -> Exchange:
        kind = self.random.choices(list(RequestKind), KIND_WEIGHTS)[0]
        exchange = Exchange(f"{next(self._numbers):016x}", kind, target.name, self.clock(), pipelined)
        if kind.streams:
            exchange.events_wanted = EVENTS
        if kind.resumable and self.random.random() < AHEAD_SHARE:
            exchange.from_event = self.random.randint(1, EVENTS - 1)
        self.log.exchanges.append(exchange)
        body = b"b" * self.random.choice((0, 10, 1000, 20_000))
        slow = self.random.random() < SLOW_BODY_SHARE
        try:
            writer.write(_head(exchange, len(body), chunked=slow))
            await self._write_body(writer, body, slow)
        except OSError:
            exchange.ending = Ending.UNSENT
        exchange.sent_at = exchange.ended_at = self.clock()
        return exchange

    async def _write_body(self, writer, body: bytes, slow: bool) -> None:
        if not slow:
            writer.write(body)
            await writer.drain()
            return
        size = max(len(body) // BODY_PIECES, 1)
        for start in range(0, len(body), size):
            piece = body[start : start + size]
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
            await asyncio.sleep(PIECE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    # -- Answers -------------------------------------------------------------------------------

    async def _receive(self, exchange: Exchange, reader) -> bool:
        """Take the answer; whether the connection can be used on."""
        leaves = self.random.random() < LEAVE_SHARE
        try:
            async with asyncio.timeout(self.random.uniform(0.0, 0.1) if leaves else PATIENCE_S):
                keeps = await self._answer(exchange, reader)
        except TimeoutError:
            exchange.ending, keeps = (Ending.LEFT if leaves else Ending.OUT_OF_TIME), False
        except (OSError, asyncio.IncompleteReadError, ValueError):
            exchange.ending, keeps = (Ending.CUT if exchange.status else Ending.NO_ANSWER), False
        exchange.ended_at = self.clock()
        return keeps

    async def _answer(self, exchange: Exchange, reader) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        lines = (line.partition(":") for line in head.split("\r\n")[1:] if line)
        fields = {name.strip().lower(): value.strip() for name, _, value in lines}
        exchange.status = status
        body = bytearray()
        if "content-length" in fields:
            body += await reader.readexactly(int(fields["content-length"]))
        else:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                _note_events(exchange, bytes(body))
            await reader.readuntil(b"\r\n")
        _note_events(exchange, bytes(body))
        exchange.own = _is_own(exchange, fields, bytes(body))
        exchange.ending = Ending.ANSWERED
        return fields.get("connection", "").lower() != "close"


def _head(exchange: Exchange, length: int, chunked: bool) -> bytes:
    lines = [
        f"POST {PATHS[exchange.kind]}x HTTP/1.1",
        f"Host: {HOST}",
        f"Molespur-Attempt-Id: {exchange.attempt}",
        f"Molespur-Deadline-Ms: {DEADLINE_MS}",
        "Transfer-Encoding: chunked" if chunked else f"Content-Length: {length}",
    ]
    if exchange.kind is RequestKind.MODEL:
        lines += MODEL_HEADERS
    if exchange.from_event:
        lines.append(f"Last-Event-Id: {exchange.from_event}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _note_events(exchange: Exchange, body: bytes) -> None:
    if exchange.events_wanted:
        ids = (line[4:] for line in body.split(b"\n") if line.startswith(b"id: "))
        with suppress(ValueError):
            exchange.events = [int(number) for number in ids]


def _is_own(exchange: Exchange, fields: dict[str, str], body: bytes) -> bool:
    """Whether a success carries this attempt's id, the stamp of a worker for it, and its content."""
    if exchange.status != 200:
        return True
    attempt = exchange.attempt
    stamped = fields.get("molespur-server-stamp", "").endswith(f".{attempt}")
    if fields.get("molespur-attempt-id") != attempt or not stamped:
        return False
    if exchange.events_wanted:
        data = {line[6:].decode() for line in body.split(b"\n") if line.startswith(b"data: ")}
        return data <= {attempt}
    return body.startswith(attempt.encode() + b":")
