"""A small HTTP/1.1 client over h11 for registries: one exchange at a time on a connection, all bounded."""

from collections.abc import Callable

import h11
import trio

from ..net.upstream import CONNECTION_ERRORS, dial_tcp
from .model import Fault, Why
from .protocol import Answer, Request

LINE_MOST = 8 * 1024 * 1024  # one line of a watch: more than etcd's own bound on a message
BODY_MOST = 64 * 1024 * 1024
FAULTS = (*CONNECTION_ERRORS, h11.RemoteProtocolError)


class Link:
    """A connection to one member."""

    def __init__(self, stream, address: tuple[str, int], counted: Callable[[int], None] = lambda n: None):
        self.stream, self.counted = stream, counted
        self.host = "{}:{}".format(*address)
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
        self._buffer = b""

    @classmethod
    async def open(cls, address, dial=dial_tcp, counted=lambda n: None) -> "Link":
        """Raises OSError where it does not come up."""
        return cls(await dial(address), address, counted)

    @property
    def reusable(self) -> bool:
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    async def close(self) -> None:
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self.stream)

    async def _event(self):
        while (event := self.http.next_event()) is h11.NEED_DATA:
            data = await self.stream.receive_some(65536)
            self.counted(len(data))
            if not data and self.http.their_state is h11.SEND_RESPONSE:
                raise trio.BrokenResourceError("closed before an answer")
            self.http.receive_data(data)
            if not data:
                try:
                    return self.http.next_event()
                except h11.RemoteProtocolError:
                    # half an answer says nothing false: it is a break, not nonsense
                    raise trio.BrokenResourceError("closed amid an answer") from None
        return event

    async def send(self, request: Request) -> h11.Response:
        """Send a request; give its answer's head.  Raises one of FAULTS."""
        if self.reusable:
            self.http.start_next_cycle()
        headers = [("Host", self.host), ("Content-Length", str(len(request.body))), *request.headers]
        head = self.http.send(h11.Request(method=request.method, target=request.target, headers=headers))
        body = self.http.send(h11.Data(data=request.body)) if request.body else b""
        await self.stream.send_all(head + body + self.http.send(h11.EndOfMessage()))
        self._buffer = b""
        while type(event := await self._event()) is h11.InformationalResponse:
            pass
        if type(event) is not h11.Response:
            raise h11.RemoteProtocolError("no answer")
        return event

    async def body(self, most: int = BODY_MOST) -> bytes:
        """The rest of an answer."""
        parts, size = [], 0
        while type(event := await self._event()) is h11.Data:
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > most:
                raise h11.RemoteProtocolError(f"an answer of more than {most} bytes")
        if type(event) is not h11.EndOfMessage:
            raise trio.BrokenResourceError("ended amid an answer")
        return b"".join(parts)

    async def line(self) -> bytes | None:
        """The next line of a streamed answer that is not empty; None at its end."""
        while True:
            line, found, rest = self._buffer.partition(b"\n")
            if found:
                self._buffer = rest
                if line.strip():
                    return line
                continue
            event = await self._event()
            if type(event) is not h11.Data:
                return None
            self._buffer += bytes(event.data)
            if len(self._buffer) > LINE_MOST and b"\n" not in self._buffer:
                raise h11.RemoteProtocolError("a line without end")

    async def ask(self, request: Request) -> Answer:
        """A whole exchange.  Raises one of FAULTS."""
        head = await self.send(request)
        return Answer(head.status_code, await self.body(), headers_of(head))


def headers_of(head: h11.Response) -> dict[str, str]:
    """Header names in lower case."""
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}


def broken(problem: Exception) -> Fault:
    """A fault of the connection as a value."""
    why = Why.MALFORMED if isinstance(problem, h11.RemoteProtocolError) else Why.BROKEN
    return Fault(why, str(problem) or type(problem).__name__)
