"""One member of the stand-in registry: answers on any stream, with the faults that it is told to have."""

import contextlib
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Protocol

import h11
import msgspec
import trio

from .server import Served
from .store import Store


@dataclass(slots=True)
class Faults:
    """What is wrong with a member, until told otherwise."""

    refuse: bool = False  # connections are closed as soon as they come
    stall: bool = False  # requests are never answered
    status: int = 0  # requests are answered with this and a body of nonsense
    slow_ms: float = 0.0
    frozen: int = 0  # it has come no further than this revision
    split: int = 0  # bytes a piece of an answer
    drop_at: int = -1  # the next answers are cut off once, after so many bytes
    repeat: bool = False  # watches say every change twice
    fragment: int = 0  # changes a fragment of a watch's answer
    no_leader: bool = False
    last_contact_ms: int = 0


class Refusal(Exception):
    """An error body with a gRPC code."""

    def __init__(self, code: int, message: str, status: int = 400):
        super().__init__(message)
        self.code, self.message, self.status = code, message, status


class Dropped(Exception):
    """The connection is cut off by command."""


class Answers(Protocol):
    """What members answer from (`Registry`)."""

    store: Store

    def answer(self, member: "Member", head: h11.Request, body: bytes) -> Awaitable[tuple]:
        """(status, headers, body or lines) for a request."""


class Member:
    """One member: answers on any stream, with its faults."""

    def __init__(self, registry: Answers, number: int):
        self.registry, self.number, self.faults = registry, number, Faults()
        self.streams: set = set()
        self.requests: list[str] = []  # paths asked for, for tests

    @property
    def store(self) -> Store:
        return self.registry.store

    @property
    def revision(self) -> int:
        """How far this member has come."""
        return min(self.faults.frozen or self.store.revision, self.store.revision)

    async def drop_all(self) -> None:
        """Cut off all connections."""
        for stream in list(self.streams):
            await trio.aclose_forcefully(stream)

    async def serve(self, stream) -> None:
        """Serve one connection to its end."""
        if self.faults.refuse:
            await trio.aclose_forcefully(stream)
            return
        self.streams.add(stream)
        try:
            await self._serve(stream)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError, Dropped):
            pass  # the client's affair
        finally:
            self.streams.discard(stream)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _serve(self, stream) -> None:
        served = Served(stream, lambda data: self._write(stream, data))
        send = served.say
        while (asked := await served.request()) is not None:
            head, body = asked
            self.requests.append(head.target.decode())
            if self.faults.stall:
                await trio.sleep_forever()
            if self.faults.slow_ms:
                await trio.sleep(self.faults.slow_ms / 1000)
            status, headers, answer = await self.registry.answer(self, head, body)
            if isinstance(answer, bytes):
                headers = [*headers, ("Content-Length", str(len(answer)))]
                await send(
                    h11.Response(status_code=status, headers=headers),
                    h11.Data(data=answer),
                    h11.EndOfMessage(),
                )
            else:
                await send(
                    h11.Response(status_code=status, headers=[*headers, ("Transfer-Encoding", "chunked")])
                )
                async with contextlib.aclosing(answer), trio.open_nursery() as nursery:

                    async def until_closed(scope=nursery.cancel_scope):
                        # a watch ends with its connection
                        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                            while await stream.receive_some(65536):
                                pass
                        scope.cancel()

                    nursery.start_soon(until_closed)
                    while (line := await anext(answer, None)) is not None:
                        await send(h11.Data(data=msgspec.json.encode(line) + b"\n"))
                    nursery.cancel_scope.cancel()
                await send(h11.EndOfMessage())
            if not served.next():
                return

    async def _write(self, stream, data: bytes) -> None:
        faults = self.faults
        if faults.drop_at >= 0:
            cut, faults.drop_at = data[: faults.drop_at], faults.drop_at - len(data)
            if len(cut) < len(data):
                faults.drop_at = -1
                await stream.send_all(cut)
                raise Dropped
            faults.drop_at = max(faults.drop_at, 0)
        step = faults.split or len(data) or 1
        for start in range(0, len(data), step):
            await stream.send_all(data[start : start + step])
            if faults.split:
                await trio.sleep(0)
