"""One connection of a stand-in that serves HTTP/1.1."""

import h11


class Served:
    """The server's end of a connection: requests as events, answers as bytes for `write`."""

    def __init__(self, stream, write=None):
        self.stream, self.http = stream, h11.Connection(h11.SERVER)
        self._write = write or stream.send_all

    async def event(self):
        """The next part of a request."""
        while (got := self.http.next_event()) is h11.NEED_DATA:
            self.http.receive_data(await self.stream.receive_some(65536))
        return got

    async def request(self) -> tuple[h11.Request, bytes] | None:
        """The next whole request and its body; None at the connection's end."""
        head, body = await self.event(), b""
        if type(head) is not h11.Request:
            return None
        while type(part := await self.event()) is h11.Data:
            body += bytes(part.data)
        return head, body

    async def say(self, *parts) -> None:
        """Send parts of an answer."""
        await self._write(b"".join(self.http.send(part) for part in parts))

    def next(self) -> bool:
        """Make ready for the next request; False where the connection can have none."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True
