"""Calls to workers by httpx: a transport for each worker, raw bytes both ways, no retries of its own.

A call fails with `UpstreamError`, which says how far it came.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import httpcore
import httpx

from ..faults import FaultPoint, strike
from .exchange import Failure
from .network import WorkerNetwork

CONNECT_TIMEOUT_S = 0.5
WRITE_TIMEOUT_S = 2.0
KEEP_ALIVE_S = 4.0
READ_LIMIT = 8 << 20
NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
BROKEN_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)

ATTEMPT_ID = b"molespur-attempt-id"
NOT_EXECUTED = b"molespur-not-executed"
STAMP = b"molespur-server-stamp"
EXPECTED_INSTANCE = b"Molespur-Expected-Instance"


class UpstreamError(Exception):
    """A call has failed; `failure` says how far it came."""

    def __init__(self, failure: Failure, detail: str):
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure


@dataclass(slots=True)
class Head:
    """Status and headers of a worker's answer; names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def get(self, name: bytes) -> bytes | None:
        """The first header of this name."""
        return next((value for key, value in self.headers if key == name), None)


class WorkerTransport(httpx.AsyncBaseTransport):
    """httpx's transport to one worker, on connections of our own; it repeats nothing."""

    def __init__(self, connections: int):
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=connections,
            max_keepalive_connections=connections,
            keepalive_expiry=KEEP_ALIVE_S,
            retries=0,
            network_backend=WorkerNetwork(),
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and wait for the head of its answer.  Raises httpcore's errors."""
        url = request.url
        sent = httpcore.Request(
            method=request.method,
            url=httpcore.URL(scheme=url.raw_scheme, host=url.raw_host, port=url.port, target=url.raw_path),
            headers=request.headers.raw,
            content=request.stream,
            extensions=request.extensions,
        )
        answer = await self._pool.handle_async_request(sent)
        return httpx.Response(
            status_code=answer.status, headers=answer.headers, stream=PoolStream(answer.stream)
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


class PoolStream(httpx.AsyncByteStream):
    """The body of an answer on its way from the pool."""

    def __init__(self, stream):
        self._stream = stream

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """The body as it arrives.  Raises httpcore's errors."""
        async for part in self._stream:
            yield part

    async def aclose(self) -> None:
        """Give the connection back to the pool."""
        await self._stream.aclose()


class UpstreamResponse:
    """An answer whose body is still to come."""

    def __init__(self, response: httpx.Response):
        self._response = response
        self.head = Head(response.status_code, [(k.lower(), v) for k, v in response.headers.raw])

    async def chunks(self) -> AsyncIterator[bytes]:
        """The body as it arrives.  Raises UpstreamError when it breaks off."""
        try:
            async for chunk in self._response.stream:
                yield chunk
        except BROKEN_ERRORS as error:
            raise UpstreamError(Failure.MAY_HAVE_RUN, repr(error)) from error

    async def read(self) -> bytes:
        """The whole body.  Raises UpstreamError when it breaks off or is too large."""
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > READ_LIMIT:
                raise UpstreamError(Failure.MAY_HAVE_RUN, "the answer is too large")
        return bytes(body)

    async def close(self) -> None:
        """Give the connection back, or close it where the answer was not read to its end."""
        await self._response.aclose()


class Upstreams:
    """The connections to all workers."""

    def __init__(self):
        self._transports: dict[str, WorkerTransport] = {}

    def _transport(self, address: str, connections: int) -> WorkerTransport:
        transport = self._transports.get(address)
        if transport is None:
            transport = self._transports[address] = WorkerTransport(connections)
        return transport

    async def call(
        self,
        address: str,
        method: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        connections: int,
    ) -> UpstreamResponse:
        """Send a request and wait for the head of its answer.  Raises UpstreamError."""
        request = httpx.Request(
            method,
            f"http://{address}/",
            headers=headers,
            content=body,
            extensions={
                "target": target,
                "timeout": {
                    "connect": CONNECT_TIMEOUT_S,
                    "pool": CONNECT_TIMEOUT_S,
                    "write": WRITE_TIMEOUT_S,
                },
            },
        )
        strike(FaultPoint.BEFORE_CONNECT)
        try:
            response = await self._transport(address, connections).handle_async_request(request)
        except NOT_SENT_ERRORS as error:
            raise UpstreamError(Failure.NOT_SENT, repr(error)) from error
        except BROKEN_ERRORS as error:
            raise UpstreamError(Failure.MAY_HAVE_RUN, repr(error)) from error
        strike(FaultPoint.AFTER_SEND)
        return UpstreamResponse(response)

    async def forget(self, address: str) -> None:
        """Close the connections to a worker that is gone."""
        transport = self._transports.pop(address, None)
        if transport is not None:
            await transport.aclose()
