"""HTTP/1.1 for accepted connections, on hypercorn's protocol.

It takes neither HTTP/2 nor WebSocket, which would bring buffers of their own.  A request is read only while
there is memory for it, a connection that has been closed is not waited for, and chunks that arrive together
are passed on as one piece.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

import h11
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.task_group import TaskGroup
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.events import Body, EndBody, Request
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream
from hypercorn.typing import ConnectionState as AsgiState

from .memory import SMALL_BODY_BYTES
from .request_body import declared_length

READ_BYTES = 16 << 10  # read from a connection at once
HTTP_2_PREFACE = (b"PRI", b"*")
HTTP_VERSION_NOT_SUPPORTED = 505


class RequestAdmission(Protocol):
    """Decides whether a connection may read on (`HttpConnection`)."""

    def try_begin_request(self, large: bool) -> bool:
        """Charge the memory of a request whose head has come; False if there is none."""

    def hold_unparsed(self, size: int) -> None:
        """Charge received bytes that make no event yet: of a head, a chunk's header or trailers."""

    async def refuse_for_memory(self) -> None:
        """Answer that there is no memory, and close the connection."""

    def record_received(self) -> None:
        """Bytes of the next request have come."""


class Resumption:
    """Set when the next request on a connection may be read, or the connection has closed."""

    def __init__(self):
        self._event = asyncio.Event()

    async def wait(self) -> None:
        """Wait until it is set."""
        await self._event.wait()

    async def set(self) -> None:
        """The response to the current request is complete (called by hypercorn)."""
        self._event.set()

    def wake(self) -> None:
        """The connection has closed."""
        self._event.set()

    def clear(self) -> None:
        """A request is being served."""
        self._event.clear()


class Http1Protocol(H11Protocol):
    """The requests of one connection, one after the other."""

    def __init__(
        self,
        app: ASGIWrapper,
        config: Config,
        context: WorkerContext,
        task_group: TaskGroup,
        addresses: tuple[tuple[str, int], tuple[str, int]],
        send: Callable,
        admission: RequestAdmission,
    ):
        """`addresses`: of the client and of the server."""
        super().__init__(app, config, context, task_group, AsgiState({}), False, *addresses, send)
        self._admission = admission
        self.can_read = Resumption()
        self.is_closing = False
        self._unparsed_bytes = 0

    def stop_reading(self) -> None:
        """The connection closes: no further request is read from it."""
        self.is_closing = True
        self.can_read.wake()

    async def handle(self, event: Event) -> None:
        """Handle received bytes, or the end of the connection."""
        if isinstance(event, Closed):
            self.stop_reading()
        elif isinstance(event, RawData):
            if self._is_last_request_read:
                return
            self._unparsed_bytes += len(event.data)
        await super().handle(event)

    @property
    def _is_last_request_read(self) -> bool:
        """Whether the client has announced that it sends nothing more; what it sends all the same is ignored.

        To h11 it is an error, and its response would take the place of that to the request.
        """
        return self.connection.their_state is h11.MUST_CLOSE

    async def _handle_events(self) -> None:
        pieces: list[bytes] = []
        while not self.is_closing and not self._is_last_request_read:
            if self.connection.they_are_waiting_for_100_continue:
                await self._send_h11_event(h11.InformationalResponse(status_code=100, headers=[]))
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as error:
                await self._refuse_malformed(error.error_status_hint)
                return
            if isinstance(event, h11.Data):
                pieces.append(event.data)
                continue
            await self._pass_on(pieces)
            if event is h11.PAUSED:
                self.can_read.clear()
                await self.can_read.wait()
            elif event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
                break
            elif isinstance(event, h11.Request):
                await self._begin_request(event)
            elif isinstance(event, h11.EndOfMessage):
                await self._end_body()
        if self._unparsed_bytes > READ_BYTES:
            self._admission.hold_unparsed(self._unparsed_bytes)

    async def _maybe_recycle(self) -> None:
        """Go on after a response; while the server stops, only with a request that has begun to arrive.

        It is the last one of its connection.  A stopping application refuses it, so that its client learns
        that it has not run.
        """
        await self._close_stream()
        if not self._may_continue():
            await self.can_read.set()
            await self.send(Closed())
            return
        has_begun = self._has_received_ahead
        self.connection.start_next_cycle()
        self.response = self.scope = None
        await self.can_read.set()
        await self.send(Updated(idle=True))
        if has_begun:
            self._admission.record_received()

    def _may_continue(self) -> bool:
        is_complete = self.connection.our_state is h11.DONE and self.connection.their_state is h11.DONE
        return is_complete and (self._has_received_ahead or not self.context.terminated.is_set())

    @property
    def _has_received_ahead(self) -> bool:
        """Whether bytes of a further request have come."""
        received, _is_closed = self.connection.trailing_data
        return bool(received)

    async def _pass_on(self, pieces: list[bytes]) -> None:
        """Pass the chunks of a body on that have arrived together."""
        self._unparsed_bytes = 0 if pieces else self._unparsed_bytes
        if pieces and self.stream is not None:
            await self.stream.handle(Body(stream_id=STREAM_ID, data=b"".join(pieces)))
        pieces.clear()

    async def _end_body(self) -> None:
        self._unparsed_bytes = 0
        if self.stream is not None:
            await self.stream.handle(EndBody(stream_id=STREAM_ID))

    async def _refuse_malformed(self, status: int) -> None:
        if self.connection.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self._send_error_response(status)
        await self.send(Closed())

    async def _begin_request(self, request: h11.Request) -> None:
        self._unparsed_bytes = 0
        await self.send(Updated(idle=False))
        if (request.method, request.target) == HTTP_2_PREFACE:
            await self._refuse_malformed(HTTP_VERSION_NOT_SUPPORTED)
            return
        if not self._admission.try_begin_request(_is_large(request.headers)):
            await self._admission.refuse_for_memory()
            return
        self.stream = HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            Request(
                stream_id=STREAM_ID,
                headers=request.headers.raw_items(),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1
        if self.context.terminated.is_set():  # the response closes the connection
            self.keep_alive_requests = self.config.keep_alive_max_requests
        await self.context.mark_request()


def _is_large(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Whether a request's body is large, or may become so."""
    length = declared_length(headers)
    return length is None or length > SMALL_BODY_BYTES
