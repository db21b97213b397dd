"""The response to the client: one head, each event once and in order, from one version of the weights."""

from .events import EventFilter
from .exchange_messages import Failure
from .request_counts import WORKER
from .response_body import ResponseBody
from .serving_context import ServingContext
from .upstream import Head, UpstreamError

NOT_FORWARDED = frozenset((b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade"))
VERSIONS = b"versions"


class ClientResponse:
    """What has been sent to the client so far; `send` is the server's (ASGI)."""

    def __init__(self, context: ServingContext, send, last_event_id: bytes):
        self._context, self._send = context, send
        self.head_sent = False
        self.last_event_id = last_event_id  # of the last event that the client has
        self._versions: bytes | None = None  # of the weights that the stream was generated with

    def check_continues(self, head: Head) -> None:
        """Raise UpstreamError unless a response with this head can continue what the client has."""
        if not self.head_sent:
            return
        if not 200 <= head.status < 300:
            raise UpstreamError(
                Failure.MAY_HAVE_RUN, f"status {head.status} in response to a stream resumption"
            )
        if head.get(VERSIONS) != self._versions:
            raise UpstreamError(Failure.MAY_HAVE_RUN, "resumed stream comes from other model weights")

    async def send_complete(self, head: Head, body: ResponseBody) -> None:
        """Send a worker's complete response, in pieces: the client's connection buffers one at a time."""
        await self._send_head(head, body.size)
        left = body.size
        for piece in body.pieces():
            left -= len(piece)
            await self._send({"type": "http.response.body", "body": piece, "more_body": left > 0})

    async def send_events(self, head: Head, events: bytes, source: EventFilter) -> None:
        """Send complete events that follow those that the client has; `source` has parsed them."""
        self.last_event_id = source.last_id
        self._versions = source.versions
        if not self.head_sent:
            await self._send_head(head, None)
        await self._send({"type": "http.response.body", "body": events, "more_body": True})

    async def end_stream(self, head: Head, rest: bytes) -> None:
        """Send what followed the last event, and end the stream."""
        if not self.head_sent:
            await self._send_head(head, None)
        await self._send({"type": "http.response.body", "body": rest, "more_body": False})

    async def _send_head(self, head: Head, length: int | None) -> None:
        self.head_sent = True
        self._context.counts.responses[str(head.status), WORKER] += 1
        headers = [(k, v) for k, v in head.headers if k not in NOT_FORWARDED and k != b"content-length"]
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        if self._context.stopping:
            headers.append((b"connection", b"close"))
        await self._send({"type": "http.response.start", "status": head.status, "headers": headers})
