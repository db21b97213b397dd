"""Calls to workers through httpx: a transport for each worker, raw bytes both ways, no automatic retries.

A call fails with `UpstreamError`, which states how far the call came.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import httpcore
import httpx

from ..faults import FaultPoint, trigger
from .exchange_messages import Failure
from .pool import ConnectionPool, DescriptorLimit

MAX_BODY_BYTES = 8 << 20
DEFAULT_MAX_CONNECTIONS = 1024
PIECE_BYTES = 64 << 10  # of a body on its way to a worker
NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
BROKEN_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)

ATTEMPT_ID = b"molespur-attempt-id"
NOT_EXECUTED = b"molespur-not-executed"
STAMP = b"molespur-server-stamp"
EXPECTED_INSTANCE = b"Molespur-Expected-Instance"
# on calls without an attempt id: a late second response to one can't be told from the response to the next
# call on the connection
CLOSE_CONNECTION = (b"Connection", b"close")


class UpstreamError(Exception):
    """A call has failed; `failure` states how far it came."""

    def __init__(self, failure: Failure, detail: str):
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure


@dataclass(slots=True)
class Head:
    """Status and headers of a worker's response; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def get(self, name: bytes) -> bytes | None:
        """The first header of this name."""
        return next((value for key, value in self.headers if key == name), None)


class WorkerTransport(httpx.AsyncBaseTransport):
    """httpx's transport to one worker, on this package's connection pool; it repeats nothing."""

    def __init__(self, url: httpx.URL, max_connections: int, descriptors: DescriptorLimit):
        self.url = url
        self.pool = ConnectionPool(url.raw_host, url.port, max_connections, descriptors)
        self._target = httpcore.URL(scheme=url.raw_scheme, host=url.raw_host, port=url.port, target=b"/")

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and wait for the head of its response.  Raises httpcore's errors."""
        pool_request = httpcore.Request(
            method=request.method,
            url=self._target,
            headers=request.headers.raw,
            content=request.stream,
            extensions=request.extensions,
        )
        response = await self.pool.call(pool_request, request.extensions["repeatable"])
        stream = PoolStream(response.stream)
        return httpx.Response(status_code=response.status, headers=response.headers, stream=stream)

    async def aclose(self) -> None:
        """Close all connections."""
        await self.pool.aclose()


class PoolStream(httpx.AsyncByteStream):
    """The body of a response from the pool, as httpx needs it."""

    def __init__(self, stream):
        self._stream = stream

    def __aiter__(self) -> AsyncIterator[bytes]:
        """The body as it arrives.  Raises httpcore's errors."""
        return self._stream.__aiter__()

    async def aclose(self) -> None:
        """Return the connection to the pool."""
        await self._stream.aclose()


class BodyStream(httpx.AsyncByteStream):
    """A body on its way to a worker, in pieces: what the worker does not take stays in the one copy."""

    def __init__(self, body: bytes | bytearray):
        self._body = memoryview(body)

    async def __aiter__(self) -> AsyncIterator[memoryview]:
        """The pieces, in order."""
        for start in range(0, len(self._body), PIECE_BYTES):
            yield self._body[start : start + PIECE_BYTES]


class UpstreamResponse:
    """A response whose body is yet to be read."""

    def __init__(self, response: httpx.Response):
        self._response = response
        self._is_closed = False
        self.head = Head(response.status_code, [(k.lower(), v) for k, v in response.headers.raw])

    async def chunks(self) -> AsyncIterator[bytes]:
        """The body as it arrives.  Raises UpstreamError when it breaks off."""
        try:
            async for chunk in self._response.stream:
                yield chunk
        except BROKEN_ERRORS as error:
            raise UpstreamError(Failure.MAY_HAVE_RUN, repr(error)) from error

    @property
    def max_length(self) -> int:
        """The length (bytes) that the body may reach."""
        return min(int(self._declared), MAX_BODY_BYTES) if self.declares_length else MAX_BODY_BYTES

    @property
    def declares_length(self) -> bool:
        """Whether the head states the length of the body."""
        return self._declared.isdigit()

    @property
    def _declared(self) -> bytes:
        return self.head.get(b"content-length") or b""

    async def read(self) -> bytes:
        """The complete body.  Raises UpstreamError when it breaks off or is too large."""
        pieces = [chunk async for chunk in self.bounded_chunks()]
        return b"".join(pieces)

    async def bounded_chunks(self) -> AsyncIterator[bytes]:
        """The body as it arrives.  Raises UpstreamError when it breaks off or is too large."""
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                raise UpstreamError(Failure.MAY_HAVE_RUN, "response body is too large")
            yield chunk

    async def close(self) -> None:
        """Return the connection to the pool, or close it if the response was not read to its end.

        Again has no effect.
        """
        if not self._is_closed:
            self._is_closed = True
            await self._response.aclose()


class Upstreams:
    """The connections to all workers."""

    def __init__(self, max_connections: int = DEFAULT_MAX_CONNECTIONS):
        """`max_connections`: to all workers together."""
        self._descriptors = DescriptorLimit(max_connections)
        self._transports: dict[str, WorkerTransport] = {}
        self._opened_to_removed = 0

    @property
    def total_opened(self) -> int:
        """How many connections were opened since the start, including failed tries."""
        return self._opened_to_removed + sum(t.pool.total_opened for t in self._transports.values())

    def _transport(self, address: str, max_connections: int) -> WorkerTransport:
        transport = self._transports.get(address)
        if transport is None:
            url = httpx.URL(f"http://{address}/")
            transport = self._transports[address] = WorkerTransport(url, max_connections, self._descriptors)
        transport.pool.limit = max_connections
        return transport

    async def call(
        self,
        address: str,
        method: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes | bytearray,
        max_connections: int,
        repeatable: bool = True,
    ) -> UpstreamResponse:
        """Send a request and wait for the head of its response.  Raises UpstreamError.

        `repeatable`: whether it may be sent again if the worker turns out to have closed its connection.
        """
        transport = self._transport(address, max_connections)
        extensions = {"target": target, "timeout": {}, "repeatable": repeatable}
        if body:
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        request = httpx.Request(
            method, transport.url, headers=headers, stream=BodyStream(body), extensions=extensions
        )
        trigger(FaultPoint.BEFORE_CONNECT)
        try:
            response = await transport.handle_async_request(request)
        except NOT_SENT_ERRORS as error:
            raise UpstreamError(Failure.NOT_SENT, repr(error)) from error
        except BROKEN_ERRORS as error:
            raise UpstreamError(Failure.MAY_HAVE_RUN, repr(error)) from error
        trigger(FaultPoint.AFTER_SEND)
        return UpstreamResponse(response)

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        for transport in self._transports.values():
            transport.pool.close_expired()

    async def remove(self, address: str) -> None:
        """Close the connections to a worker that has left."""
        transport = self._transports.pop(address, None)
        if transport is not None:
            self._opened_to_removed += transport.pool.total_opened
            await transport.aclose()
