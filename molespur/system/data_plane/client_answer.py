"""The way back to the client: one head, events in order, each once, from one version of the weights."""

from .events import EventFilter
from .exchange_messages import Failure
from .request_counts import WORKER
from .serving_context import ServingContext
from .upstream import Head, UpstreamError

NOT_FORWARDED = frozenset((b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade"))
VERSIONS = b"versions"


class ClientResponse:
    """What has gone to the client so far; `send` is the server's (ASGI)."""

    def __init__(self, context: ServingContext, send, last_event_id: bytes):
        self._context, self._send = context, send
        self.head_sent = False
        self.last_event_id = last_event_id  # up to which the client has the stream
        self._versions: bytes | None = None  # of the weights that the stream came from

    def check_continues(self, head: Head) -> None:
        """Raise UpstreamError unless an answer with this head can go on with what the client has."""
        if not self.head_sent:
            return
        if not 200 <= head.status < 300:
            raise UpstreamError(Failure.MAY_HAVE_RUN, f"status {head.status} in place of a stream's rest")
        if head.get(VERSIONS) != self._versions:
            raise UpstreamError(Failure.MAY_HAVE_RUN, "the rest of a stream from other weights")

    async def send_complete(self, head: Head, body: bytes) -> None:
        """A worker's whole answer."""
        await self._send_head(head, len(body))
        await self._send({"type": "http.response.body", "body": body, "more_body": False})

    async def send_events(self, head: Head, events: bytes, source: EventFilter) -> None:
        """Whole events that follow what the client has; `source` has taken them in."""
        self.last_event_id = source.last_id
        self._versions = source.versions
        if not self.head_sent:
            await self._send_head(head, None)
        await self._send({"type": "http.response.body", "body": events, "more_body": True})

    async def end_stream(self, head: Head, rest: bytes) -> None:
        """The end of a stream, and what followed its last event."""
        if not self.head_sent:
            await self._send_head(head, None)
        await self._send({"type": "http.response.body", "body": rest, "more_body": False})

    async def _send_head(self, head: Head, length: int | None) -> None:
        self.head_sent = True
        self._context.counts.answers[str(head.status), WORKER] += 1
        headers = [(k, v) for k, v in head.headers if k not in NOT_FORWARDED and k != b"content-length"]
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        if self._context.stopping:
            headers.append((b"connection", b"close"))
        await self._send({"type": "http.response.start", "status": head.status, "headers": headers})
