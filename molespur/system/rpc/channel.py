"""Channels between processes of the fleet: length-prefixed protobuf frames over TCP.

A `Channel` is one connection, from either side; both sides judge it by round trips.  A `Dialer` keeps one
open to an address and dials again after it breaks.  Frames may be lost with a connection; whoever needs an
answer sends again.
"""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from absl import logging

from . import molespur_pb2 as pb
from . import traffic
from .liveness import QUIET_S, ChannelLiveness, Step

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 24 << 20
MAX_BUFFERED_BYTES = 32 << 20  # a peer that lets more than this wait is cut off
USER_TIMEOUT_MS = 1500  # a peer behind a cut says nothing: bytes unacknowledged this long end the connection
CONNECT_TIMEOUT_S = 0.5  # a machine without power says nothing; a lost packet comes again much later
REDIAL_S = (0.1, 0.2, 0.4, 0.5)
STALE_ATTEMPT_S = 0.1  # an attempt this old to a peer that has been heard since gets no answer any more


class Channel(asyncio.Protocol):
    """One connection that carries frames.  `on_frame` and `on_lost` are called in the event loop."""

    def __init__(self, on_frame: Callable, on_lost: Callable):
        self.on_frame, self.on_lost = on_frame, on_lost
        self.transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._outgoing: list[bytes] = []
        self.label = ""  # who is at the other end, once it has said so
        self.error: Exception | None = None  # why the connection was lost; None: it was closed in order
        self._liveness: ChannelLiveness | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket's options, and begin to look for signs of life (asyncio callback)."""
        self.transport = transport
        self._loop = asyncio.get_running_loop()
        self._liveness = ChannelLiveness(self._loop.time())
        self._loop.call_later(QUIET_S, self._look)
        sock = transport.get_extra_info("socket")
        if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Cut the bytes into frames (asyncio callback)."""
        self._liveness.heard(self._loop.time())
        self._received += data
        while len(self._received) >= LENGTH_BYTES:
            length = int.from_bytes(self._received[:LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                logging.warning("rpc frame of %d bytes from %s: connection closed", length, self.label)
                self.close()
                return
            end = LENGTH_BYTES + length
            if len(self._received) < end:
                return
            frame = bytes(self._received[LENGTH_BYTES:end])
            del self._received[:end]
            self._take(frame)

    def _take(self, data: bytes) -> None:
        try:
            frame = pb.Frame.FromString(data)
        except Exception:  # protobuf's DecodeError has no stable home among its implementations
            logging.warning("rpc frame from %s can't be read: connection closed", self.label)
            self.close()
            return
        if frame.HasField("ping") and not frame.ping.sent_at_ms:
            self.send(pb.Frame(pong=pb.Pong()))  # asked for a sign of life only
            return
        self.on_frame(self, frame)

    def _look(self) -> None:
        """Ask a quiet peer for a sign of life; give the channel up where none comes back.

        The peer may hear all that is sent here, so what it does elsewhere says nothing of this channel.
        """
        if not self.open:
            return
        match self._liveness.look(self._loop.time()):
            case Step.ASK:
                self.send(pb.Frame(ping=pb.Ping()))
            case Step.GIVE_UP:
                logging.info("rpc: channel to %s given up: nothing comes back", self.label or "a caller")
                self.abort()
                return
        self._loop.call_later(QUIET_S, self._look)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the owner (asyncio callback)."""
        self.transport, self.error = None, error
        self.on_lost(self)

    @property
    def open(self) -> bool:
        """Whether frames can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def send(self, frame: pb.Frame) -> bool:
        """Send a frame; frames of one turn of the loop leave in one write.  False: the channel is closed."""
        if not self.open:
            return False
        if not self._outgoing:
            self._loop.call_soon(self._flush)
        data = frame.SerializeToString()
        traffic.sent.count(frame.WhichOneof("body"), LENGTH_BYTES + len(data))
        self._outgoing.append(len(data).to_bytes(LENGTH_BYTES, "big") + data)
        return True

    def _flush(self) -> None:
        data, self._outgoing = b"".join(self._outgoing), []
        if not self.open:
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            logging.warning("rpc peer %s does not read: connection closed", self.label)
            self.transport.abort()

    def abort(self) -> None:
        """End the connection at once; what has not been sent is dropped."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self._flush()
            if self.transport is not None:
                self.transport.close()


class Dialer:
    """Keeps a channel open to one address.  `on_open` is called with each new channel."""

    def __init__(
        self,
        address: str,
        on_frame: Callable,
        on_open: Callable | None = None,
        on_lost=None,
        bind_ip: str = "",
    ):
        """`bind_ip`: the address that connections come from; the system's choice where it is empty."""
        self.address, self.on_frame, self.on_open, self.on_lost = address, on_frame, on_open, on_lost
        self._origin = {"local_addr": (bind_ip, 0)} if bind_ip else {}
        self.channel: Channel | None = None
        self._stopped = False
        self._peer_alive = asyncio.Event()
        self._attempt_at = float("-inf")
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, frame: pb.Frame) -> bool:
        """Send a frame if the channel is open now."""
        return self.channel is not None and self.channel.send(frame)

    def peer_alive(self) -> None:
        """The peer has been heard of on another channel: dial it now where none is open yet.

        An attempt that began while its machine was down would wait in vain until it times out.
        """
        if self.channel is None and asyncio.get_running_loop().time() - self._attempt_at > STALE_ATTEMPT_S:
            self._peer_alive.set()

    def stop(self) -> None:
        """Close the channel and dial no more."""
        self._stopped = True
        self._task.cancel()
        if self.channel is not None:
            self.channel.close()

    async def _run(self) -> None:
        host, _, port = self.address.rpartition(":")
        failures = 0
        while not self._stopped:
            lost = asyncio.Event()
            self._peer_alive.clear()
            self._attempt_at = asyncio.get_running_loop().time()
            try:
                channel = await self._connect(host, int(port), lost)
            except (OSError, TimeoutError):
                delay = REDIAL_S[min(failures, len(REDIAL_S) - 1)]
                failures += 1
                await self._pause(delay)
                continue
            logging.info("rpc: channel to %s open after %d failed tries", self.address, failures)
            failures = 0
            channel.label = self.address
            self.channel = channel
            if self.on_open is not None:
                self.on_open(channel)
            await lost.wait()
            logging.info("rpc: channel to %s lost: %s", self.address, channel.error or "closed")
            self.channel = None
            if self.on_lost is not None:
                self.on_lost(channel)
            await self._pause(REDIAL_S[0])

    async def _connect(self, host: str, port: int, lost: asyncio.Event) -> Channel:
        """Open a channel.  Raises OSError; TimeoutError for a silent peer, or after `peer_alive`."""
        loop = asyncio.get_running_loop()
        dial = loop.create_connection(
            lambda: Channel(self.on_frame, lambda _channel: lost.set()), host, port, **self._origin
        )
        made, heard = loop.create_task(dial), loop.create_task(self._peer_alive.wait())
        try:
            await asyncio.wait((made, heard), timeout=CONNECT_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
            if not made.done():
                raise TimeoutError
            _transport, channel = made.result()
            return channel
        except asyncio.CancelledError:
            made.add_done_callback(_close_unused)
            raise
        finally:
            made.cancel()
            heard.cancel()

    async def _pause(self, seconds: float) -> None:
        """Wait before the next attempt, but not once the peer has been heard of."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._peer_alive.wait()


def _close_unused(made: asyncio.Task) -> None:
    """Close the channel of an attempt that nobody waits for any more."""
    if not made.cancelled() and made.exception() is None:
        _transport, channel = made.result()
        channel.close()
