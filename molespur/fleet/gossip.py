"""The transport of the fleet view: UDP for probes and updates, TCP for push-pull, in the program's trio loop.

It carries out the actions of `swim.Membership` and contains no rules.  Ticks come from the program's timing
wheel.  Datagrams received are bounded in size and counted by reason when they are dropped.  A send that the
kernel cannot accept at once is dropped and counted.  Before each tick the socket is read, so that a member
that was stalled (starved of CPU, stopped) reads the acks that arrived meanwhile before its timeouts expire.
Counters are `fleet.*`; every change of a member's state is one `fleet.member` log line.
"""

import socket
import time

import trio

from .. import logs
from . import wire
from .model import Address, Tuning
from .sharing import StateMessage
from .swim import (
    Changed,
    Conflict,
    Leave,
    Membership,
    Push,
    PushFailed,
    PushSucceeded,
    Received,
    Refuted,
    Seeds,
    Send,
    Start,
    Tick,
)

log = logs.get(__name__)
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
MAX_DATAGRAMS_PER_READ = 256  # datagrams read in a row before the timers run
MAX_PUSHES = 4  # concurrent push-pulls that we opened
MAX_ANSWERS = 16  # concurrent push-pulls that others opened
PUSH_TIMEOUT_MS = 2_000.0  # for a complete push-pull, both ways
PUBLISH_INTERVAL_MS = 1_000.0  # of copying counters and gauges out


class Transport:
    """One member on the network.

    `membership` is the pure machine.  `bind` is the address to listen on (UDP and TCP, the same port), which
    may differ from the one advertised by the machine (behind a fault line, for example).  `open` raises
    OSError where the address cannot be bound.  `state.StateTransport` also shares state; it overrides the
    hooks below.
    """

    machine = None  # the pure machine of shared state (`shared.SharedState`), where state is shared

    def __init__(self, membership: Membership, bind: Address, tick_ms: float, wheel, clock, counters):
        self.membership, self.bind, self.tick_ms = membership, bind, tick_ms
        self.wheel, self.clock, self.counters = wheel, clock, counters
        self.tuning: Tuning = membership.tuning
        self._udp: socket.socket | None = None
        self._listener = None
        self._pushes = trio.CapacityLimiter(MAX_PUSHES)
        self._answers = trio.CapacityLimiter(MAX_ANSWERS)
        self._nursery = None
        self._published_at = 0.0
        self._rate = (0.0, 0)  # (when, bytes sent by then) at the last computation of bytes per second

    async def open(self) -> None:
        """Bind the address: a datagram socket and a listener on the same port."""
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp.setblocking(False)
        tcp = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        try:
            udp.bind(self.bind)
            tcp.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
            await tcp.bind(self.bind)
            tcp.listen(64)
        except BaseException:
            udp.close()
            tcp.close()
            raise
        self._udp, self._listener = udp, trio.SocketListener(tcp)

    async def run(self, seeds: tuple[Address, ...], *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Join the fleet and maintain the view until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._receive)
            nursery.start_soon(self._accept)
            own = self.membership
            address, bind = "{}:{}".format(*own.address), "{}:{}".format(*self.bind)
            log.info("fleet.started", member=own.own_id, address=address, bind=bind)
            self._perform(own.handle(self.clock.now(), Start(int(time.time() * 1000), seeds)))
            self.wheel.after(self.tick_ms, self._tick)
            task_status.started()

    # -- Calls from the program ----------------------------------------------------------------

    def leave(self) -> None:
        """Announce that we leave; queued updates are still sent while the program ends."""
        log.info("fleet.leaving", member=self.membership.own_id)
        self._perform(self.membership.handle(self.clock.now(), Leave()))

    def reseed(self, seeds: tuple[Address, ...]) -> None:
        """Use these seeds from now on."""
        self._perform(self.membership.handle(self.clock.now(), Seeds(seeds)))

    def members(self) -> list[str]:
        """The view as lines: id, address, state, incarnation, seconds in that state."""
        now, lines = self.clock.now(), []
        for row in self.membership.view():
            since = 0.0 if row.member == self.membership.own_id else (now - row.since_ms) / 1000
            address = "{}:{}".format(*row.address)
            lines.append(f"{row.member} {address} {row.state.name.lower()} {row.incarnation} {since:.1f}")
        return lines

    def publish(self) -> None:
        """Copy the machine's counters and the number of members in each state into the program's counters."""
        for name, count in self.membership.counts.items():
            self.counters["fleet." + name] = count
        for state in ("alive", "suspect", "dead", "left"):
            self.counters["fleet.members." + state] = 0
        for state, count in self.membership.by_state().items():
            self.counters["fleet.members." + state] = count
        self.counters["fleet.health"] = self.membership.health
        now, sent = self.clock.now(), self.counters["fleet.bytes_sent"]
        if now - self._rate[0] >= PUBLISH_INTERVAL_MS:
            if self._rate[0]:
                self.counters["fleet.bytes_sent_per_s"] = round(
                    (sent - self._rate[1]) * 1000 / (now - self._rate[0])
                )
            self._rate = (now, sent)

    # -- Time ----------------------------------------------------------------------------------

    def _tick(self) -> None:
        self._drain()
        now = self.clock.now()
        self._perform(self.membership.handle(now, Tick()))
        self._ticked(now)
        if now - self._published_at >= PUBLISH_INTERVAL_MS:
            self._published_at = now
            self.publish()
        self.wheel.after(self.tick_ms, self._tick)

    # -- Hooks for shared state (`state.StateTransport`) ----------------------------------------------

    def _ticked(self, now: float) -> None:
        """Called after the timers of the view have run."""

    def _drained(self) -> None:
        """Called after the socket has been read."""

    def _receive_state(self, message: StateMessage) -> None:
        """Called with a message of shared state; without shared state it is dropped and counted."""
        self.counters["fleet.dropped.unshared"] += 1

    def _receive_snapshot(self, exchange) -> None:
        """Called with a push-pull, which may carry a snapshot of the shared state."""

    def _perform_other(self, action) -> None:
        """Called with an action that is not one of the membership's."""

    # -- Performing actions --------------------------------------------------------------------

    def _perform(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Changed):
                log.info(
                    "fleet.member", member=action.member, address="{}:{}".format(*action.address),
                    state=action.state.name.lower(), incarnation=action.incarnation,
                    before=action.before.name.lower() if action.before is not None else "new", by=action.by,
                )  # fmt: skip
            elif isinstance(action, Push):
                if self._nursery is not None:
                    self._nursery.start_soon(self._push, action)
            elif isinstance(action, Refuted):
                log.warning("fleet.refuted", member=self.membership.own_id, incarnation=action.incarnation,
                            why=action.why)  # fmt: skip
            elif isinstance(action, Conflict):
                log.warning("fleet.conflict", member=action.member, held="{}:{}".format(*action.held),
                            claimed="{}:{}".format(*action.claimed))  # fmt: skip
            else:
                self._perform_other(action)

    def _send(self, action: Send) -> None:
        try:
            self._udp.sendto(action.data, action.address)
        except BlockingIOError:
            self.counters["fleet.send_dropped"] += 1
        except OSError as problem:
            # guards against an address that the kernel refuses to send to ending the caller
            self.counters["fleet.send_failed"] += 1
            log.debug("fleet.send_failed", to=action.address, why=str(problem))
        else:
            self.counters["fleet.bytes_sent"] += len(action.data)
            self.counters["fleet.datagrams_sent"] += 1

    async def _receive(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._udp)
            self._drain()
            self._perform(
                self.membership.handle(self.clock.now(), Tick())
            )  # sends replies now, not at the next tick
            self._drained()
            await trio.sleep(0)  # lets other tasks run between two full reads

    def _drain(self) -> None:
        """Read and handle pending datagrams, at most MAX_DATAGRAMS_PER_READ."""
        max_bytes, cluster = self.tuning.datagram_most, self.membership.cluster
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data = self._udp.recv(max_bytes + 1)
            except BlockingIOError:
                return
            except OSError:
                # guards against an ICMP error of an earlier send ending the loop (ECONNREFUSED on Linux)
                self.counters["fleet.receive_failed"] += 1
                continue
            self.counters["fleet.bytes_taken"] += len(data)
            message, why = wire.decode(data, cluster, max_bytes)
            if message is None:
                self.counters["fleet.dropped." + why] += 1
                continue
            if isinstance(message, StateMessage):
                self._receive_state(message)
            else:
                self._perform(self.membership.handle(self.clock.now(), Received(message)))

    # -- Push-pull -----------------------------------------------------------------------------

    async def _push(self, push: Push) -> None:
        if self._pushes.borrowed_tokens >= MAX_PUSHES:
            self.counters["fleet.push_busy"] += 1
            self._perform(self.membership.handle(self.clock.now(), PushFailed(push.address, push.join)))
            return
        async with self._pushes:
            exchange, why = None, "timeout"
            with self.wheel.limit(PUSH_TIMEOUT_MS):
                try:
                    exchange, why = await self._exchange(push)
                except CONNECTION_ERRORS as problem:
                    why = "connection"
                    log.debug("fleet.push_failed", to=push.address, why=str(problem))
            now = self.clock.now()
            if exchange is None:
                self.counters["fleet.push_failed." + why] += 1
                self._perform(self.membership.handle(now, PushFailed(push.address, push.join)))
            else:
                self.counters["fleet.bytes_sent"] += len(push.data)
                self._perform(self.membership.handle(now, PushSucceeded(exchange)))
                self._receive_snapshot(exchange)

    async def _exchange(self, push: Push):
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        try:
            await sock.bind((self.bind[0], 0))  # from our own host, so that a fault line can tell the sender
            await sock.connect(push.address)
            stream = trio.SocketStream(sock)
            await stream.send_all(push.data)
            body, why = await _read_state(stream, self.tuning.max_exchange_bytes)
            if body is None:
                return None, why
            return wire.decode_exchange(body, self.membership.cluster)
        finally:
            sock.close()

    async def _accept(self) -> None:
        while True:
            try:
                stream = await self._listener.accept()
            except OSError as problem:
                log.warning("fleet.accept_failed", why=str(problem))
                await trio.sleep(0.01)
                continue
            if self._answers.borrowed_tokens >= MAX_ANSWERS:
                self.counters["fleet.answer_busy"] += 1
                await trio.aclose_forcefully(stream)
                continue
            self._nursery.start_soon(self._answer, stream)

    async def _answer(self, stream) -> None:
        """Answer a push-pull that another member opened."""
        async with self._answers:
            try:
                with self.wheel.limit(PUSH_TIMEOUT_MS) as late:
                    body, why = await _read_state(stream, self.tuning.max_exchange_bytes)
                    if body is not None:
                        exchange, why = wire.decode_exchange(body, self.membership.cluster)
                    if body is None or exchange is None:
                        self.counters["fleet.exchange_dropped." + why] += 1
                        return
                    self._receive_snapshot(exchange)
                    answer, actions = self.membership.answer_push(self.clock.now(), exchange)
                    self._perform(actions)
                    await stream.send_all(answer)
                    self.counters["fleet.bytes_sent"] += len(answer)
                if late.cancelled_caught:
                    self.counters["fleet.exchange_dropped.timeout"] += 1
            except CONNECTION_ERRORS:
                self.counters["fleet.exchange_dropped.connection"] += 1
            finally:
                await trio.aclose_forcefully(stream)


async def _read_state(stream, max_bytes: int) -> tuple[bytes | None, str]:
    """Read a push-pull state: its 4-byte length, then that many bytes; None and the reason on failure."""
    head = await _read_exactly(stream, wire.LENGTH.size)
    if head is None:
        return None, "cut"
    (length,) = wire.LENGTH.unpack(head)
    if length > max_bytes:
        return None, "oversized"
    body = await _read_exactly(stream, length)
    return (body, "") if body is not None else (None, "cut")


async def _read_exactly(stream, count: int) -> bytes | None:
    parts, have = [], 0
    while have < count:
        data = await stream.receive_some(min(count - have, 65536))
        if not data:
            return None
        parts.append(data)
        have += len(data)
    return b"".join(parts)
