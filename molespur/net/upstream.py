"""Upstream requests, the connections that carry them, and probes."""

import select
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import h11
import msgspec
import trio

from .. import logs
from ..config import report_from
from ..interface import Outcome
from .counters import TRIES
from .failure import Cause, Failure, Served, Stage

log = logs.get(__name__)
LINE_MOST = 64 * 1024  # no body is larger, so no line is
TAIL_MS = 500.0  # for the rest of an answer whose last line is in, before its connection is closed instead
# A connection rests so long after an answer that names no request (a refusal, an error): a second one that
# comes some milliseconds late would pass for the answer to the next request, and say of it that it never ran.
REST_MS = 50.0
PROBE_MS = 200.0  # a probe is answered beside the queue: one that takes longer tells nothing
# of the idle time held to be safe, at a break and at each use that went well
STALE_CUT, FRESH_GAIN = 0.8, 1.05
USABLE_LEAST_MS = 50.0  # so short a rest says nothing
IDLE_SHARE = 0.8  # of the idle limit: a request that crosses an upstream host's own close may have run
WAITING_EACH = 4  # requests that may wait for each connection, where the fleet's budget allows no more
DONE, FAILED, RETURNED, LOST = "done", "failed", "returned", "lost"
HOP_BY_HOP = frozenset(
    b"connection host keep-alive proxy-connection te trailer transfer-encoding upgrade".split()
)
OURS_TO_SAY = frozenset({b"content-length", b"expect", b"x-timeout-ms"})
BREAKS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


@dataclass(frozen=True, slots=True)
class Payload:
    """What of a client's HTTP request passes through to upstream hosts."""

    request_id: str
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class _Line(msgspec.Struct):
    """One line of an upstream host's answer."""

    id: str
    state: str
    share: float | None = None
    result: msgspec.Raw = msgspec.Raw()  # empty: there is none
    load: dict | None = None


_decode_line = msgspec.json.Decoder(_Line).decode


async def dial_tcp(address: tuple[str, int]) -> trio.SocketStream:
    """Open a connection to a numeric address: there is no DNS, and nothing is tried twice."""
    sock = trio.socket.socket()
    try:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        await sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def is_quiet(stream) -> bool:
    """Whether the other side of an idle connection has neither closed it nor sent anything."""
    return not (isinstance(stream, trio.SocketStream) and has_come(stream.socket))


def close_now(stream) -> None:
    """Close a stream's socket without waiting; whoever waits on it is told so."""
    if isinstance(stream, trio.SocketStream):
        stream.socket.close()


def has_come(sock) -> bool:
    """Whether there is something to read on a socket, or to take from one that listens."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Connection:
    """One connection to an upstream host, carrying one exchange at a time."""

    def __init__(self, stream, host):
        self.stream, self.host = stream, host
        self.http = h11.Connection(h11.CLIENT)
        self.idle_since = self.rests_until = 0.0
        self.nameless = False  # its last answer said nothing that names a request
        self.stood_ms: float | None = None  # how long it had been idle when it was taken up again

    async def next_event(self):
        """The next part of the answer."""
        while (event := self.http.next_event()) is h11.NEED_DATA:
            data = await self.stream.receive_some(16384)
            if not data and self.http.their_state is h11.SEND_RESPONSE:
                raise trio.BrokenResourceError("closed before an answer")
            self.http.receive_data(data)
        if type(event) is h11.Response:
            self.nameless = event.status_code != 200
        return event


@dataclass(slots=True)
class UpstreamHost:
    """A records worker as this scheduler reaches it."""

    uid: str
    address: tuple[str, int]
    started: float
    idle: list[Connection] = field(default_factory=list)  # the latest used last, and used first
    gone: bool = False  # replaced or restarted: what is still out ends, nothing is kept
    wanted: bool = True  # it wants new work
    open: int = 0  # connections to it, those being opened included
    most: int | None = None  # connections that we may hold to it by the fleet's budget; None: no such bound
    waiting: deque[trio.Event] = field(default_factory=deque)  # requests that wait for one of them

    def wake(self, most: int) -> None:
        """So many of those that wait for a connection look again whether there is one for them."""
        for _ in range(min(most, len(self.waiting))):
            self.waiting.popleft().set()


class UpstreamRequest:
    """One attempt at a stream.  Its one outcome is told when it is known, not when the connection is done."""

    def __init__(self, payload, until: float, begin_by: float, ended: Callable, progressed: Callable):
        # clock times at which it is given up, and after which nothing of it is written any more
        self.payload, self.until, self.begin_by = payload, until, begin_by
        self.progressed, self._ended = progressed, ended
        self.stage, self.scope, self.heard = Stage.CONNECTING, trio.CancelScope(), False
        self.stream = None  # that it is written to

    @property
    def over(self) -> bool:
        return self._ended is None

    def settle(self, result: Served | Failure) -> None:
        """Tell the outcome, once."""
        if self._ended is not None:
            ended, self._ended = self._ended, None
            # guards against a cycle of stream and request, which only a full collection would free
            self.progressed = None
            ended(result)

    def fail(self, cause: Cause, detail: str = "", report=None) -> None:
        self.settle(Failure(self.stage, cause, detail, report))

    def withdraw(self) -> None:
        """Its stream is over: if nothing of it is written yet, nothing will be."""
        if self.stage is Stage.CONNECTING:
            self.abandon(Cause.NOT_SENT)

    def abandon(self, cause: Cause) -> None:
        """Stop waiting: closes the connection, which is how the upstream host learns of it."""
        if self.over:
            return
        if self.stage is Stage.WRITING:
            # guards against "never ran" in the moment when the kernel has the last byte and send_all has
            # not come back yet: whoever stops waiting while it writes can't know
            self.stage = Stage.SENT
        self.scope.cancel()
        # guards against two attempts out at once: the next one may be written before this one's task runs on
        close_now(self.stream)
        self.fail(cause)


class Upstream:
    """All upstream hosts and the connections to them, which it bounds."""

    def __init__(self, config, wheel, clock, counters, nursery, most: int, dial=dial_tcp):
        self.config, self.wheel, self.clock, self.counters = config, wheel, clock, counters
        self.nursery, self.most, self.dial = nursery, most, dial
        self.hosts: dict[str, UpstreamHost] = {}
        self.count = 0  # connections open or being opened
        self.keeping = True  # connections are kept between requests
        # whether the fleet's budget allows one connection more to a host that has so many; None: no budget
        self.may_open: Callable[[str, int], bool] | None = None
        self.retune(config)
        wheel.after(config.conn_idle_ms / 10, self._sweep)

    def retune(self, config) -> None:
        """Go by this configuration from now on."""
        self.config = config
        self.usable_ms = self.most_idle_ms = IDLE_SHARE * config.conn_idle_ms

    def resize(self, most: int) -> None:
        """Hold no more connections than this, as soon as requests let go of them."""
        self.most = most
        over = self.count - most
        for host in self.hosts.values():
            over -= self._close_idle(host, max(len(host.idle) - max(over, 0), 0))

    def keep(self, keeping: bool) -> None:
        """Keep connections between requests, or let go of all that stand idle."""
        self.keeping = keeping
        for host in self.hosts.values() if not keeping else ():
            self._close_idle(host, 0)

    # -- The hosts -------------------------------------------------------------------------------

    def place(self, uid: str, address: tuple[str, int], started: float, wanted: bool = True) -> None:
        """Note where an upstream host is reached, and whether it wants new work."""
        host = self.hosts.get(uid)
        if host is not None and (host.address, host.started) == (address, started):
            host.wanted = wanted
            if not wanted:
                host.wake(len(host.waiting))  # their jobs go elsewhere at once
            return
        # guards against kept connections to a process that is no more: a request on one may be lost unseen
        self.drop(uid)
        self.hosts[uid] = UpstreamHost(uid, address, started, wanted=wanted)

    def open_to(self, uid: str) -> int:
        """Connections to an upstream host, those being opened included."""
        host = self.hosts.get(uid)
        return host.open if host is not None else 0

    def bound(self, uid: str, most: int) -> None:
        """Hold no more connections to an upstream host than this: idle ones go now, others when let go."""
        host = self.hosts.get(uid)
        if host is not None:
            host.most = most
            host.wake(max(most - host.open, 0))
            if host.open > most:
                self._close_idle(host, max(len(host.idle) - (host.open - most), 0))

    def drop(self, uid: str) -> None:
        """Forget an upstream host and close its idle connections."""
        host = self.hosts.pop(uid, None)
        if host is not None:
            host.gone = True
            host.wake(len(host.waiting))
            self._close_idle(host, 0)

    def _close_idle(self, host: UpstreamHost, keep: int) -> int:
        """Close all idle connections but the latest used; tell how many."""
        old, host.idle[:] = host.idle[: len(host.idle) - keep], host.idle[len(host.idle) - keep :]
        for connection in old:
            self._close_soon(connection)
        return len(old)

    def _close_soon(self, connection: Connection) -> None:
        self.nursery.start_soon(self._close, connection)

    async def _close(self, connection: Connection) -> None:
        self.count -= 1
        connection.host.open -= 1
        await trio.aclose_forcefully(connection.stream)

    def _sweep(self) -> None:
        """Close what has stood idle so long that it may no longer be used."""
        limit = self.clock.now() - self.usable_ms
        for host in self.hosts.values():
            self._close_idle(host, sum(c.idle_since > limit for c in host.idle))
        self.wheel.after(self.config.conn_idle_ms / 10, self._sweep)

    # -- Connections -----------------------------------------------------------------------------

    def _kept(self, host: UpstreamHost) -> Connection | None:
        """An idle connection that may still be used."""
        now = self.clock.now()
        for connection in [c for c in reversed(host.idle) if c.rests_until <= now]:
            host.idle.remove(connection)
            connection.stood_ms = now - connection.idle_since
            if connection.stood_ms < self.usable_ms and is_quiet(connection.stream):
                self.counters["upstream.reused"] += 1
                return connection
            self._close_soon(connection)
        return None

    def _learn_idle(self, connection: Connection, broke: bool) -> None:
        """Learn how long a connection may stand idle and still be of use.

        Guards against upstream hosts, or something on the way, that let go of idle connections sooner than
        the settings say: the request then breaks once it is written, and counts as possibly run.
        """
        if connection.stood_ms is None:
            return
        if broke:
            self.counters["upstream.stale"] += 1
            self.usable_ms = max(min(self.usable_ms, connection.stood_ms) * STALE_CUT, USABLE_LEAST_MS)
        elif connection.stood_ms > self.usable_ms / 4:
            self.usable_ms = min(self.usable_ms * FRESH_GAIN, self.most_idle_ms)

    def _make_room(self) -> bool:
        """Keep the descriptors bounded: give up the connection that has been idle longest."""
        if self.count < self.most:
            return True
        idle = [host for host in self.hosts.values() if host.idle]
        if idle:
            host = min(idle, key=lambda h: h.idle[0].idle_since)
            self._close_soon(host.idle.pop(0))
        return bool(idle)

    async def _connect(self, host: UpstreamHost) -> Connection | Failure:
        """A kept connection or a new one, or one that comes free where the fleet's budget allows no more."""
        until = self.clock.now() + self.config.dial_timeout_ms
        while (connection := self._kept(host)) is None:
            if self.may_open is None or self.may_open(host.uid, host.open):
                return await self._open(host)
            if not await self._let_go(host, until):
                return Failure(Stage.CONNECTING, Cause.NOT_SENT, "the fleet's budget is used up")
        return connection

    async def _open(self, host: UpstreamHost) -> Connection | Failure:
        """A new connection."""
        if not self._make_room():
            return Failure(Stage.CONNECTING, Cause.NOT_SENT, "too many connections")
        self.counters["upstream.dialled"] += 1
        self.count += 1
        host.open += 1
        stream, why = None, "no connection in time"
        try:
            with self.wheel.limit(self.config.dial_timeout_ms):
                stream = await self.dial(host.address)
        except OSError as problem:
            why = str(problem)
        finally:
            if stream is None:
                self.count -= 1
                host.open -= 1
                host.wake(1)
        return Connection(stream, host) if stream else Failure(Stage.CONNECTING, Cause.BROKEN, why)

    async def _let_go(self, host: UpstreamHost, until: float) -> bool:
        """Wait for a connection to an upstream host to be let go; False: not in time, or too many wait."""
        left = until - self.clock.now()
        full = len(host.waiting) >= WAITING_EACH * host.open
        if left <= 0 or full or host.gone or not host.wanted:
            return False
        self.counters["upstream.waited"] += 1
        woken = trio.Event()
        host.waiting.append(woken)
        try:
            with self.wheel.limit(left):
                await woken.wait()
        finally:
            if woken in host.waiting:
                host.waiting.remove(woken)
        return woken.is_set()

    async def _release(self, connection: Connection | Failure | None) -> None:
        """Keep a connection whose exchange is complete; close any other."""
        if not isinstance(connection, Connection):
            return
        http, host = connection.http, connection.host
        kept = self.keeping and not host.gone and (host.most is None or host.open <= host.most)
        if kept and http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            connection.idle_since = self.clock.now()
            connection.rests_until = connection.idle_since + REST_MS * connection.nameless
            host.idle.append(connection)
        else:
            await self._close(connection)
        host.wake(1)

    # -- Upstream requests -----------------------------------------------------------------------

    def send(
        self, uid: str, payload: Payload, until: float, begin_by: float, ended, progressed
    ) -> UpstreamRequest:
        """Start an upstream request, given up at clock time until, and not begun after begin_by; its outcome
        comes through ended, never before this returns."""
        request = UpstreamRequest(payload, until, begin_by, ended, progressed)
        self.nursery.start_soon(self._run, request, self.hosts.get(uid))
        return request

    async def _run(self, request: UpstreamRequest, host: UpstreamHost | None) -> None:
        connection, broke = None, False
        try:
            with request.scope:
                if host is None:
                    request.fail(Cause.NOT_SENT, "unknown upstream host")
                    return
                connection = await self._connect(host)
                if isinstance(connection, Failure):
                    request.settle(connection)
                    return
                if host.gone or not host.wanted:
                    # guards rule 3: the drain or end was told while the connection was being made
                    request.fail(Cause.NOT_SENT, "the upstream host is not in service any more")
                    return
                await self._exchange(request, connection)
                self._learn_idle(connection, False)
        except BREAKS as problem:
            broke = request.stage <= Stage.SENT
            request.fail(Cause.BROKEN, str(problem))
        except (h11.RemoteProtocolError, msgspec.DecodeError, ValueError) as problem:
            problem.__traceback__ = None  # guards against a cycle, see downstream
            request.fail(Cause.MALFORMED, str(problem))
        except Exception as problem:
            # guards against one connection's surprise taking the scheduler down
            log.exception("upstream.failed")
            self.counters["upstream.exceptions"] += 1
            request.fail(Cause.BROKEN, repr(problem))
        finally:
            if isinstance(connection, Connection) and broke:
                self._learn_idle(connection, True)
            with trio.CancelScope(shield=True):
                await self._release(connection)

    async def _exchange(self, request: UpstreamRequest, connection: Connection) -> None:
        # as it is written, not as it was decided: its connection may have come up late
        now = self.clock.now()
        left = int(request.until - now)
        if left <= 0 or now >= request.begin_by:
            # guards against an answer that nobody waits for, and against a repeat that workers have forgotten
            self.counters["sent.too_late"] += 1
            request.fail(Cause.NOT_SENT, "its time was up before it could be written")
            return
        request.stage, request.stream = Stage.WRITING, connection.stream
        payload, http = request.payload, connection.http
        host, port = connection.host.address
        headers = [
            (b"Host", f"{host}:{port}".encode()),
            *(pair for pair in payload.headers if pair[0].lower() not in HOP_BY_HOP | OURS_TO_SAY),
            (b"X-Timeout-Ms", str(left).encode()),
            (b"Content-Length", str(len(payload.body)).encode()),
        ]
        head = http.send(h11.Request(method=payload.method, target=payload.target, headers=headers))
        body = http.send(h11.Data(payload.body)) if payload.body else b""
        # send_all comes back only once the last byte is with the kernel, and fails or is cancelled only
        # before that: this is the line between "never ran" and "may have run"
        await connection.stream.send_all(head + body + http.send(h11.EndOfMessage()))
        request.stage = Stage.SENT
        self.counters[TRIES] += 1
        answer = await connection.next_event()
        while type(answer) is h11.InformationalResponse:
            answer = await connection.next_event()
        if type(answer) is not h11.Response:
            raise h11.RemoteProtocolError("no answer")
        request.stage = Stage.ANSWERING
        if answer.status_code != 200:
            self._turned_down(request, answer)
        else:
            await self._read_lines(request, connection)
        if request.over and connection.http.their_state is not h11.DONE:
            with self.wheel.limit(TAIL_MS):
                while type(await connection.next_event()) not in (h11.EndOfMessage, h11.ConnectionClosed):
                    pass

    def _turned_down(self, request: UpstreamRequest, answer: h11.Response) -> None:
        headers = dict(answer.headers)
        report = report_from(parse_load(headers.get(b"x-server-load", b"").decode("latin-1")))
        status = answer.status_code
        unseen = status in (503, 504) and headers.get(b"x-not-processed", b"").strip() == b"1"
        request.fail(Cause.TURNED_AWAY if unseen else Cause.ERROR, f"status {status}", report)

    async def _read_lines(self, request: UpstreamRequest, connection: Connection) -> None:
        """Follow a taken job's lines up to its last."""
        buffer = b""
        while not request.over:
            event = await connection.next_event()
            if type(event) is not h11.Data:
                request.fail(Cause.BROKEN, "ended before its last line")
                return
            *lines, buffer = (buffer + bytes(event.data)).split(b"\n")
            if len(buffer) > LINE_MOST:
                raise ValueError("a line without end")
            for line in lines:
                if line.strip() and not request.over:
                    self._line(request, _decode_line(line))

    def _line(self, request: UpstreamRequest, line: _Line) -> None:
        if line.id != request.payload.request_id:
            # guards against serving a stream with another's result
            raise ValueError(f"a line for {line.id!r}")
        report = report_from(line.load)
        if line.state == DONE:
            if not bytes(line.result):
                # guards against serving a stream with what no upstream host has made for it
                raise ValueError("done, without a result")
            request.settle(Served(result_bytes(line.result), report))
        elif line.state == FAILED:
            request.fail(Cause.ERROR, "the job failed", report)
        elif line.state == LOST:
            request.fail(Cause.LOST, "the job was killed", report)
        elif line.state == RETURNED:
            # guards against "never ran" on the word of a host that has told of the job's start
            request.fail(Cause.MALFORMED if request.heard else Cause.TURNED_AWAY, "handed back", report)
        elif line.state == "started":
            request.heard = True
            request.progressed(None)
        elif line.state == "running":
            request.heard = True
            request.progressed(line.share or 0.0)
        else:
            raise ValueError(f"an unknown state {line.state!r}")

    # -- Probes ----------------------------------------------------------------------------------

    def probe(self, uid: str, ended: Callable) -> None:
        """Ask an upstream host how it is; ended gets the outcome and a load report, if there is one."""
        self.nursery.start_soon(self._probe, self.hosts.get(uid), ended)

    async def _probe(self, host: UpstreamHost | None, ended: Callable) -> None:
        outcome, report, connection = Outcome.CONNECT_FAILED, None, None
        try:
            with self.wheel.limit(PROBE_MS) as scope:
                connection = await self._connect(host) if host else None
                if isinstance(connection, Connection):
                    outcome = Outcome.RESET
                    status, body = await self._get(connection)
                    outcome = Outcome.OK if status == 200 else Outcome.ERROR
                    report = report_from(parse_report(body)) if status == 200 else None
            if scope.cancelled_caught and isinstance(connection, Connection):
                outcome = Outcome.TIMEOUT
        except (*BREAKS, h11.RemoteProtocolError, ValueError) as problem:
            log.debug("probe.failed", why=str(problem))  # the outcome so far says it
        except Exception:
            log.exception("probe.failed")
            self.counters["upstream.exceptions"] += 1
        finally:
            with trio.CancelScope(shield=True):
                await self._release(connection)
        ended(outcome, report)

    async def _get(self, connection: Connection) -> tuple[int, bytes]:
        target = b"/metrics/load" if self.config.has_reports else b"/alive"
        host, port = connection.host.address
        http = connection.http
        head = http.send(h11.Request(method="GET", target=target, headers=[("Host", f"{host}:{port}")]))
        await connection.stream.send_all(head + http.send(h11.EndOfMessage()))
        status, body = 0, b""
        while type(event := await connection.next_event()) is not h11.EndOfMessage:
            if type(event) is h11.Response:
                status = event.status_code
            elif type(event) is h11.Data:
                body += event.data
                if len(body) > LINE_MOST:
                    raise ValueError("a report without end")
            elif type(event) is h11.ConnectionClosed:
                raise trio.BrokenResourceError("closed before an answer")
        return status, body


def result_bytes(raw: msgspec.Raw) -> bytes:
    """The result as the client gets it: a text bare, anything else as its JSON."""
    value = msgspec.json.decode(raw)
    return value.encode() if isinstance(value, str) else bytes(raw)


def parse_load(text: str) -> dict[str, float]:
    """A load report in the form name=value,name=value; what is no number is passed over."""
    report = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        try:
            report[name.strip()] = float(value)
        except ValueError:
            continue
    return report


def parse_report(body: bytes) -> dict | None:
    """A probe's body: a load report as JSON, or in the header's form."""
    if not body.lstrip().startswith(b"{"):
        return parse_load(body.decode("latin-1"))
    return msgspec.json.decode(body, type=dict)
