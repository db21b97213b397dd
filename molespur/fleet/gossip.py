"""The one seam of the fleet view: UDP for probes and news, TCP for push-pull, in the program's trio loop.

It carries out what `swim.Membership` says and holds no rule of its own.  Ticks come from the program's
wheel; datagrams in are bounded in size and counted by reason when they can't be taken; a send that the
kernel can't take at once is dropped and counted.  Before each tick, what has come is read: a member that
was held (starved of CPU, stopped) reads the acks that waited for it before its timeouts judge.  Counters
are `fleet.*`; every change of a member's state is one `fleet.member` log line.
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
BREAKS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
DRAIN_MOST = 256  # datagrams read at once before the timers are looked at
PUSHES_AT_ONCE = 4  # push-pulls that we opened, in flight
ANSWERS_AT_ONCE = 16  # push-pulls that others opened, being answered
PUSH_MS = 2_000.0  # for a whole push-pull, both ways
PUBLISH_MS = 1_000.0  # counters and gauges are copied out this often


class Transport:
    """One member on the network.

    `membership` is the pure machine; `bind` the address to listen on (UDP and TCP, the same port), which may
    differ from the one advertised in the machine (behind a fault line, say).  Raises OSError at `open` where
    the address can't be had.  `state.StateTransport` shares state beside the view: the hooks are its.
    """

    machine = None  # the pure machine of shared state, where state is shared

    def __init__(self, membership: Membership, bind: Address, tick_ms: float, wheel, clock, counters):
        self.membership, self.bind, self.tick_ms = membership, bind, tick_ms
        self.wheel, self.clock, self.counters = wheel, clock, counters
        self.tuning: Tuning = membership.tuning
        self._udp: socket.socket | None = None
        self._listener = None
        self._pushes = trio.CapacityLimiter(PUSHES_AT_ONCE)
        self._answers = trio.CapacityLimiter(ANSWERS_AT_ONCE)
        self._nursery = None
        self._published = 0.0
        self._rate = (0.0, 0)  # when, and bytes sent by then, for the rate of bytes

    async def open(self) -> None:
        """Take the address: a datagram socket and a listener on the same port."""
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
        """Join and keep the view, for good."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._receive)
            nursery.start_soon(self._accept)
            own = self.membership
            place, bind = "{}:{}".format(*own.address), "{}:{}".format(*self.bind)
            log.info("fleet.started", member=own.me, address=place, bind=bind)
            self._do(own.handle(self.clock.now(), Start(int(time.time() * 1000), seeds)))
            self.wheel.after(self.tick_ms, self._tick)
            task_status.started()

    # -- Told from outside ---------------------------------------------------------------------

    def leave(self) -> None:
        """Say that we leave; what is queued still goes out while the program ends."""
        log.info("fleet.leaving", member=self.membership.me)
        self._do(self.membership.handle(self.clock.now(), Leave()))

    def reseed(self, seeds: tuple[Address, ...]) -> None:
        self._do(self.membership.handle(self.clock.now(), Seeds(seeds)))

    def members(self) -> list[str]:
        """The view as lines: id, address, state, incarnation, for how long (s)."""
        now, lines = self.clock.now(), []
        for row in self.membership.view():
            since = 0.0 if row.member == self.membership.me else (now - row.since_ms) / 1000
            place = "{}:{}".format(*row.address)
            lines.append(f"{row.member} {place} {row.state.name.lower()} {row.incarnation} {since:.1f}")
        return lines

    def publish(self) -> None:
        """Copy the machine's counts and the members by state into the program's counters."""
        for name, count in self.membership.counts.items():
            self.counters["fleet." + name] = count
        for state in ("alive", "suspect", "dead", "left"):
            self.counters["fleet.members." + state] = 0
        for state, count in self.membership.by_state().items():
            self.counters["fleet.members." + state] = count
        self.counters["fleet.health"] = self.membership.health
        now, sent = self.clock.now(), self.counters["fleet.bytes_sent"]
        if now - self._rate[0] >= PUBLISH_MS:
            if self._rate[0]:
                self.counters["fleet.bytes_sent_per_s"] = round(
                    (sent - self._rate[1]) * 1000 / (now - self._rate[0])
                )
            self._rate = (now, sent)

    # -- Time ----------------------------------------------------------------------------------

    def _tick(self) -> None:
        self._drain()
        now = self.clock.now()
        self._do(self.membership.handle(now, Tick()))
        self._ticked(now)
        if now - self._published >= PUBLISH_MS:
            self._published = now
            self.publish()
        self.wheel.after(self.tick_ms, self._tick)

    # -- Hooks for shared state (`state.StateTransport`) ----------------------------------------------

    def _ticked(self, now: float) -> None:
        """The view's timers have been looked at."""

    def _drained(self) -> None:
        """What has come has been read."""

    def _shared(self, message: StateMessage) -> None:
        """A message of shared state has come; here there is none."""
        self.counters["fleet.dropped.unshared"] += 1

    def _carried(self, exchange) -> None:
        """A push-pull has come, with what rides on it."""

    def _do_more(self, action) -> None:
        """An action that is not the view's."""

    # -- Carrying actions out ------------------------------------------------------------------

    def _do(self, actions: list) -> None:
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
                log.warning("fleet.refuted", member=self.membership.me, incarnation=action.incarnation,
                            why=action.why)  # fmt: skip
            elif isinstance(action, Conflict):
                log.warning("fleet.conflict", member=action.member, held="{}:{}".format(*action.held),
                            claimed="{}:{}".format(*action.claimed))  # fmt: skip
            else:
                self._do_more(action)

    def _send(self, action: Send) -> None:
        try:
            self._udp.sendto(action.data, action.address)
        except BlockingIOError:
            self.counters["fleet.send_dropped"] += 1
        except OSError as problem:
            # guards against an address that the kernel won't send to taking the caller down
            self.counters["fleet.send_failed"] += 1
            log.debug("fleet.send_failed", to=action.address, why=str(problem))
        else:
            self.counters["fleet.bytes_sent"] += len(action.data)
            self.counters["fleet.datagrams_sent"] += 1

    async def _receive(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._udp)
            self._drain()
            self._do(self.membership.handle(self.clock.now(), Tick()))  # answers go out now, not at the tick
            self._drained()
            await trio.sleep(0)  # others' turn between two full reads

    def _drain(self) -> None:
        """Read and take in what has come, at most DRAIN_MOST datagrams."""
        most, cluster = self.tuning.datagram_most, self.membership.cluster
        for _ in range(DRAIN_MOST):
            try:
                data = self._udp.recv(most + 1)
            except BlockingIOError:
                return
            except OSError:
                # guards against an ICMP error of an earlier send ending the loop (ECONNREFUSED on Linux)
                self.counters["fleet.receive_failed"] += 1
                continue
            self.counters["fleet.bytes_taken"] += len(data)
            message, why = wire.decode(data, cluster, most)
            if message is None:
                self.counters["fleet.dropped." + why] += 1
                continue
            if isinstance(message, StateMessage):
                self._shared(message)
            else:
                self._do(self.membership.handle(self.clock.now(), Received(message)))

    # -- Push-pull -----------------------------------------------------------------------------

    async def _push(self, push: Push) -> None:
        if self._pushes.borrowed_tokens >= PUSHES_AT_ONCE:
            self.counters["fleet.push_busy"] += 1
            self._do(self.membership.handle(self.clock.now(), PushFailed(push.address, push.join)))
            return
        async with self._pushes:
            exchange, why = None, "timeout"
            with self.wheel.limit(PUSH_MS):
                try:
                    exchange, why = await self._exchange(push)
                except BREAKS as problem:
                    why = "connection"
                    log.debug("fleet.push_failed", to=push.address, why=str(problem))
            now = self.clock.now()
            if exchange is None:
                self.counters["fleet.push_failed." + why] += 1
                self._do(self.membership.handle(now, PushFailed(push.address, push.join)))
            else:
                self.counters["fleet.bytes_sent"] += len(push.data)
                self._do(self.membership.handle(now, PushSucceeded(exchange)))
                self._carried(exchange)

    async def _exchange(self, push: Push):
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        try:
            await sock.bind((self.bind[0], 0))  # from our own host, so that a fault line knows who we are
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
            if self._answers.borrowed_tokens >= ANSWERS_AT_ONCE:
                self.counters["fleet.answer_busy"] += 1
                await trio.aclose_forcefully(stream)
                continue
            self._nursery.start_soon(self._answer, stream)

    async def _answer(self, stream) -> None:
        async with self._answers:
            try:
                with self.wheel.limit(PUSH_MS) as late:
                    body, why = await _read_state(stream, self.tuning.max_exchange_bytes)
                    if body is not None:
                        exchange, why = wire.decode_exchange(body, self.membership.cluster)
                    if body is None or exchange is None:
                        self.counters["fleet.exchange_dropped." + why] += 1
                        return
                    self._carried(exchange)
                    answer, actions = self.membership.answer_push(self.clock.now(), exchange)
                    self._do(actions)
                    await stream.send_all(answer)
                    self.counters["fleet.bytes_sent"] += len(answer)
                if late.cancelled_caught:
                    self.counters["fleet.exchange_dropped.timeout"] += 1
            except BREAKS:
                self.counters["fleet.exchange_dropped.connection"] += 1
            finally:
                await trio.aclose_forcefully(stream)


async def _read_state(stream, most: int) -> tuple[bytes | None, str]:
    """A push-pull state: its 4-byte length, then as many bytes; None and why where that can't be."""
    head = await _read_exactly(stream, wire.LENGTH.size)
    if head is None:
        return None, "cut"
    (length,) = wire.LENGTH.unpack(head)
    if length > most:
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
