"""Channels between processes of the fleet: length-prefixed protobuf frames over TCP.

A `Channel` is one connection, seen from either side; both sides check it by round trips.  A `Dialer` keeps
a channel open to one address and reconnects when it is lost.  Frames may be lost with a connection; a sender
that needs a reply has to send its frame again.
"""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from absl import logging

from ..inbound.connections import AcceptedConnection, ConnectionState
from ..inbound.memory import SMALL_BODY_BYTES
from . import molespur_pb2 as pb
from . import traffic
from .frames import OutgoingFrame
from .liveness import PING_AFTER_IDLE_S, ChannelLiveness, LivenessAction

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 24 << 20
MAX_BUFFERED_BYTES = 32 << 20  # a connection with more unsent bytes than this is aborted
TCP_USER_TIMEOUT_MS = (
    1500  # ends a connection whose bytes are unacknowledged this long, as in a network partition
)
CONNECT_TIMEOUT_S = 0.5  # a powered-off host does not refuse; TCP retransmits a lost SYN much later than this
REDIAL_DELAYS_S = (0.1, 0.2, 0.4, 0.5)  # by the number of failed attempts; the last one repeats
STALE_ATTEMPT_S = 0.1  # older attempts to a peer that has since come up will not succeed any more


class Channel(asyncio.Protocol):
    """A connection that carries frames.  `on_frame` and `on_lost` are called in the event loop."""

    def __init__(self, on_frame: Callable, on_lost: Callable, admit: Callable | None = None):
        """`admit`: takes an accepted connection into the process's table; None for one that was dialed."""
        self.on_frame, self.on_lost, self._admit = on_frame, on_lost, admit
        self._accepted: AcceptedConnection | None = None
        self._unfinished_bytes = self._unsent_bytes = 0  # charged for an accepted connection
        self.transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._outgoing: list[bytes] = []
        self.label = ""  # the peer's name or address; empty until it is known
        self.error: Exception | None = None  # why the connection was lost; None after an orderly close
        self._liveness: ChannelLiveness | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket options and start the liveness checks (asyncio callback)."""
        self.transport = transport
        self._loop = asyncio.get_running_loop()
        self._liveness = ChannelLiveness(self._loop.time())
        self._loop.call_later(PING_AFTER_IDLE_S, self._check_liveness)
        sock = transport.get_extra_info("socket")
        if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        if self._admit is not None:
            self._accepted = self._admit()
            if self._accepted is None:
                self.abort()
                return
            self._accepted.on_evict = self.abort

    def data_received(self, data: bytes) -> None:
        """Split the bytes into frames (asyncio callback)."""
        self._liveness.record_received(self._loop.time())
        self._received += data
        while len(self._received) >= LENGTH_BYTES:
            length = int.from_bytes(self._received[:LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                logging.warning(
                    "rpc: frame of %d bytes from %s exceeds the limit; closing connection", length, self.label
                )
                self.close()
                return
            end = LENGTH_BYTES + length
            if len(self._received) < end:
                self._hold_unfinished_frame()
                return
            frame = bytes(self._received[LENGTH_BYTES:end])
            del self._received[:end]
            self._handle_frame(frame)

    def _hold_unfinished_frame(self) -> None:
        """Charge a long frame that is not complete; abort the channel if there is no memory for it."""
        self._unfinished_bytes = len(self._received)
        if self._accepted is None or self._unfinished_bytes <= SMALL_BODY_BYTES:
            return
        if not self._accepted.try_hold(self._unfinished_bytes + self._unsent_bytes, large=True):
            logging.warning("rpc: no memory for a frame from %s; aborting connection", self.label)
            self._received.clear()
            self.abort()

    def _record_frame(self) -> None:
        """A frame is complete: its memory is returned, and the connection is a peer's."""
        if self._accepted is not None:
            self._unfinished_bytes = 0
            self._accepted.hold(self._unsent_bytes)
            self._accepted.set_state(ConnectionState.SERVING)

    def try_hold_unsent(self, size: int) -> bool:
        """Charge bytes that are about to be sent, until the peer has taken most of them.

        False if there is no room; always true for a few bytes, and on a connection that was dialed.
        """
        if self._accepted is None or size <= SMALL_BODY_BYTES:
            return True
        size = min(size, self._accepted.max_hold)  # what is larger is sent alone
        if not self._accepted.try_hold(self._unfinished_bytes + self._unsent_bytes + size, large=True):
            return False
        self._unsent_bytes += size
        return True

    def resume_writing(self) -> None:
        """The peer has taken what was sent (asyncio callback)."""
        if self._accepted is not None and self._unsent_bytes:
            self._unsent_bytes = 0
            self._accepted.hold(self._unfinished_bytes)

    def _handle_frame(self, data: bytes) -> None:
        try:
            frame = pb.Frame.FromString(data)
        except Exception:  # protobuf's implementations define DecodeError in different modules
            logging.warning("rpc: cannot decode frame from %s; closing connection", self.label)
            self.close()
            return
        if frame.HasField("ping") and not frame.ping.sent_at_ms:
            self.send(pb.Frame(pong=pb.Pong()))  # a liveness check, not a query of the state age
            return
        self._record_frame()
        self.on_frame(self, frame)

    def _check_liveness(self) -> None:
        """Ping an idle peer, and abort the channel when no reply arrives.

        The peer may still receive everything sent here, so its activity on other channels proves nothing
        about this one.
        """
        if not self.open:
            return
        match self._liveness.next_action(self._loop.time()):
            case LivenessAction.PING:
                self.send(pb.Frame(ping=pb.Ping()))
            case LivenessAction.CLOSE:
                logging.info("rpc: no reply from %s; aborting channel", self.label or "an unidentified peer")
                self.abort()
                return
        self._loop.call_later(PING_AFTER_IDLE_S, self._check_liveness)

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the owner (asyncio callback)."""
        self.transport, self.error = None, error
        self._received.clear()
        if self._accepted is not None:
            self._accepted.close()
        self.on_lost(self)

    @property
    def open(self) -> bool:
        """Whether frames can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def send(self, frame: OutgoingFrame) -> bool:
        """Send a frame; return False if the channel is closed.

        Frames of one event loop iteration go out in one write.
        """
        if not self.open:
            return False
        if not self._outgoing:
            self._loop.call_soon(self._flush)
        data = frame.SerializeToString()
        traffic.sent.count(frame.WhichOneof("body"), LENGTH_BYTES + len(data))
        self._outgoing += (len(data).to_bytes(LENGTH_BYTES, "big"), data)
        return True

    def _flush(self) -> None:
        data, self._outgoing = b"".join(self._outgoing), []
        if not self.open:
            return
        self.transport.write(data)
        unsent = self.transport.get_write_buffer_size()
        if unsent > MAX_BUFFERED_BYTES or not self._try_charge_unsent(unsent):
            logging.warning("rpc: send buffer to %s is full; aborting connection", self.label)
            self.transport.abort()

    def _try_charge_unsent(self, unsent: int) -> bool:
        """Charge what the peer has not taken, beyond what was charged before it was sent.

        False if there is no room for it.
        """
        if unsent <= SMALL_BODY_BYTES:
            self.resume_writing()
            return True
        if self._accepted is None or unsent <= self._unsent_bytes:
            return True
        if not self._accepted.try_hold(self._unfinished_bytes + unsent, large=False):
            return False
        self._unsent_bytes = unsent
        return True

    def abort(self) -> None:
        """Close the connection at once and drop the bytes that have not been sent."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close the connection after sending the frames that are queued."""
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
        """`bind_ip` is the source address of the connections; empty: the operating system chooses."""
        self.address, self.on_frame, self.on_open, self.on_lost = address, on_frame, on_open, on_lost
        self._source_address = {"local_addr": (bind_ip, 0)} if bind_ip else {}
        self.channel: Channel | None = None
        self._stopped = False
        self._peer_alive = asyncio.Event()
        self._attempt_at = float("-inf")
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, frame: pb.Frame) -> bool:
        """Send a frame; return False if no channel is open now."""
        return self.channel is not None and self.channel.send(frame)

    def notify_peer_alive(self) -> None:
        """Dial now if no channel is open: another channel has shown that the peer is up.

        An attempt that began while the peer's machine was down would otherwise block until it times out.
        """
        if self.channel is None and asyncio.get_running_loop().time() - self._attempt_at > STALE_ATTEMPT_S:
            self._peer_alive.set()

    def stop(self) -> None:
        """Close the channel and stop dialing."""
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
                delay = REDIAL_DELAYS_S[min(failures, len(REDIAL_DELAYS_S) - 1)]
                failures += 1
                await self._wait_to_redial(delay)
                continue
            logging.info("rpc: channel to %s open after %d failed attempts", self.address, failures)
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
            await self._wait_to_redial(REDIAL_DELAYS_S[0])

    async def _connect(self, host: str, port: int, lost: asyncio.Event) -> Channel:
        """Open a channel.  Raises OSError, or TimeoutError on a timeout or after `notify_peer_alive`."""
        loop = asyncio.get_running_loop()
        dial = loop.create_connection(
            lambda: Channel(self.on_frame, lambda _channel: lost.set()), host, port, **self._source_address
        )
        attempt, peer_alive = loop.create_task(dial), loop.create_task(self._peer_alive.wait())
        try:
            await asyncio.wait(
                (attempt, peer_alive), timeout=CONNECT_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
            )
            if not attempt.done():
                raise TimeoutError
            _transport, channel = attempt.result()
            return channel
        except asyncio.CancelledError:
            attempt.add_done_callback(_close_unused)
            raise
        finally:
            attempt.cancel()
            peer_alive.cancel()

    async def _wait_to_redial(self, seconds: float) -> None:
        """Wait before the next attempt; end early once the peer is known to be up."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._peer_alive.wait()


def _close_unused(attempt: asyncio.Task) -> None:
    """Close the channel that a connection attempt opened after its dialer was stopped."""
    if not attempt.cancelled() and attempt.exception() is None:
        _transport, channel = attempt.result()
        channel.close()
