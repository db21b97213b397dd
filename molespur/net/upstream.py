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
from .counters import UPSTREAM_TRIES
from .failure import Cause, Failure, Served, Stage

log = logs.get(__name__)
MAX_LINE_BYTES = 64 * 1024  # of a response line; no body is larger, so no line is
RESPONSE_TAIL_TIMEOUT_MS = 500.0  # for the rest of a response after its last line; then it is closed
# Delay before a connection is used again after a response that names no request (a refusal or an error).  A
# duplicate of it that arrives some milliseconds late would be read as the response to the next request, and
# would claim that this request never ran.
REUSE_DELAY_MS = 50.0
PROBE_TIMEOUT_MS = 200.0  # workers answer probes without queueing, so a slower response tells nothing
# Factors for the safe idle time: after a broken connection, and after each successful reuse.
STALE_FACTOR, REUSED_FACTOR = 0.8, 1.05
MIN_USABLE_IDLE_MS = 50.0  # a break after a shorter idle time says nothing about idle limits
# Of the configured idle timeout.  A request that is sent while the upstream host closes the connection may
# have run.
USABLE_IDLE_SHARE = 0.8
MAX_WAITERS_PER_CONNECTION = 4  # requests that wait when the fleet's budget allows no more connections
DONE, FAILED, RETURNED, LOST = "done", "failed", "returned", "lost"
HOP_BY_HOP = frozenset(
    b"connection host keep-alive proxy-connection te trailer transfer-encoding upgrade".split()
)
OVERWRITTEN_HEADERS = frozenset({b"content-length", b"expect", b"x-timeout-ms"})
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


@dataclass(frozen=True, slots=True)
class Payload:
    """The parts of a client's HTTP request that are forwarded to upstream hosts."""

    request_id: str
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class _Line(msgspec.Struct):
    """One line of an upstream host's response."""

    id: str
    state: str
    share: float | None = None
    result: msgspec.Raw = msgspec.Raw()  # empty if the line has no result
    load: dict | None = None


_decode_line = msgspec.json.Decoder(_Line).decode


async def dial_tcp(address: tuple[str, int]) -> trio.SocketStream:
    """Open a connection to a numeric address, without DNS and without a second try."""
    sock = trio.socket.socket()
    try:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        await sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def is_quiet(stream) -> bool:
    """Whether the peer of an idle connection has neither closed it nor sent anything."""
    return not (isinstance(stream, trio.SocketStream) and is_readable(stream.socket))


def close_now(stream) -> None:
    """Close a stream's socket without waiting.  A task that waits on it gets an exception."""
    if isinstance(stream, trio.SocketStream):
        stream.socket.close()


def is_readable(sock) -> bool:
    """Whether a socket has data to read, or a listening socket has a connection to accept."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Connection:
    """One connection to an upstream host, with one exchange at a time."""

    def __init__(self, stream, host):
        self.stream, self.host = stream, host
        self.http = h11.Connection(h11.CLIENT)
        self.idle_since = self.unusable_until = 0.0
        self.anonymous_response = False  # its last response names no request
        self.idle_ms: float | None = None  # how long it was idle before its last reuse; None before the first

    async def next_event(self):
        """The next HTTP event of the response."""
        while (event := self.http.next_event()) is h11.NEED_DATA:
            data = await self.stream.receive_some(16384)
            if not data and self.http.their_state is h11.SEND_RESPONSE:
                raise trio.BrokenResourceError("connection closed before a response")
            self.http.receive_data(data)
        if type(event) is h11.Response:
            self.anonymous_response = event.status_code != 200
        return event


@dataclass(slots=True)
class UpstreamHost:
    """A worker as this scheduler connects to it."""

    uid: str
    address: tuple[str, int]
    started: float
    idle: list[Connection] = field(default_factory=list)  # most recently used last; reused from the end
    removed: bool = False  # delisted or restarted: requests in flight finish, no connection is kept
    accepts_work: bool = True
    open: int = 0  # connections to it, including those being opened
    max_open: int | None = None  # limit on `open` by the fleet's budget; None without a budget
    waiting: deque[trio.Event] = field(default_factory=deque)  # one for each request without a connection

    def wake(self, max_count: int) -> None:
        """Let up to max_count waiting requests check again for a free connection."""
        for _ in range(min(max_count, len(self.waiting))):
            self.waiting.popleft().set()


class UpstreamRequest:
    """One attempt at a stream.

    It reports one outcome, as soon as that is known, even if the exchange on its connection has not ended.
    """

    def __init__(self, payload, until: float, begin_by: float, ended: Callable, progressed: Callable):
        # Clock times: when it is abandoned, and from when on it may no longer be written.
        self.payload, self.until, self.begin_by = payload, until, begin_by
        self.progressed, self._ended = progressed, ended
        self.stage, self.scope, self.job_started = Stage.CONNECTING, trio.CancelScope(), False
        self.stream = None  # the connection's stream, once it is written

    @property
    def settled(self) -> bool:
        return self._ended is None

    def settle(self, result: Served | Failure) -> None:
        """Report the outcome.  Later calls have no effect."""
        if self._ended is not None:
            ended, self._ended = self._ended, None
            # Breaks the reference cycle of stream and request, which only a full collection would free.
            self.progressed = None
            ended(result)

    def fail(self, cause: Cause, detail: str = "", report=None) -> None:
        self.settle(Failure(self.stage, cause, detail, report))

    def withdraw(self) -> None:
        """Abandon the request, whose stream is closed, unless writing it has begun."""
        if self.stage is Stage.CONNECTING:
            self.abandon(Cause.NOT_SENT)

    def abandon(self, cause: Cause) -> None:
        """Stop waiting and close the connection, by which the upstream host notices it."""
        if self.settled:
            return
        if self.stage is Stage.WRITING:
            # The kernel may already have the last byte although send_all has not returned yet, so the request
            # may have run.
            self.stage = Stage.SENT
        self.scope.cancel()
        # Close at once: the next attempt may be written before this one's task runs again, and two attempts
        # must not be in flight at a time.
        close_now(self.stream)
        self.fail(cause)


class Upstream:
    """All upstream hosts and a bounded number of connections to them."""

    def __init__(self, config, wheel, clock, counters, nursery, max_connections: int, dial=dial_tcp):
        self.config, self.wheel, self.clock, self.counters = config, wheel, clock, counters
        self.nursery, self.max_connections, self.dial = nursery, max_connections, dial
        self.hosts: dict[str, UpstreamHost] = {}
        self.connection_count = 0  # connections that are open or being opened
        self.keeping = True  # connections are kept between requests
        # Whether the fleet's budget allows another connection to the host (uid, number of connections to it).
        # None without a budget.
        self.may_open: Callable[[str, int], bool] | None = None
        self.apply_config(config)
        wheel.after(config.conn_idle_ms / 10, self._sweep)

    def apply_config(self, config) -> None:
        """Apply a new configuration."""
        self.config = config
        self.usable_idle_ms = self.max_usable_idle_ms = USABLE_IDLE_SHARE * config.conn_idle_ms

    def resize(self, max_connections: int) -> None:
        """Set the maximum of connections.  Those in use beyond it are closed when their requests end."""
        self.max_connections = max_connections
        excess = self.connection_count - max_connections
        for host in self.hosts.values():
            excess -= self._close_idle(host, max(len(host.idle) - max(excess, 0), 0))

    def keep(self, keeping: bool) -> None:
        """Keep connections between requests; if not, close the idle ones."""
        self.keeping = keeping
        for host in self.hosts.values() if not keeping else ():
            self._close_idle(host, 0)

    # -- Hosts -------------------------------------------------------------------------------

    def place(self, uid: str, address: tuple[str, int], started: float, accepts_work: bool = True) -> None:
        """Set an upstream host's address and start time, and whether it accepts new work."""
        host = self.hosts.get(uid)
        if host is not None and (host.address, host.started) == (address, started):
            host.accepts_work = accepts_work
            if not accepts_work:
                host.wake(len(host.waiting))  # the waiting requests fail at once and are sent elsewhere
            return
        # Connections to the earlier process must not be used: a request on one may be lost without an error.
        self.drop(uid)
        self.hosts[uid] = UpstreamHost(uid, address, started, accepts_work=accepts_work)

    def open_connections(self, uid: str) -> int:
        """Number of connections to an upstream host, including those being opened."""
        host = self.hosts.get(uid)
        return host.open if host is not None else 0

    def set_max_open(self, uid: str, max_open: int) -> None:
        """Limit connections to an upstream host: closes idle ones now, others when they are released."""
        host = self.hosts.get(uid)
        if host is not None:
            host.max_open = max_open
            host.wake(max(max_open - host.open, 0))
            if host.open > max_open:
                self._close_idle(host, max(len(host.idle) - (host.open - max_open), 0))

    def drop(self, uid: str) -> None:
        """Remove an upstream host and close its idle connections."""
        host = self.hosts.pop(uid, None)
        if host is not None:
            host.removed = True
            host.wake(len(host.waiting))
            self._close_idle(host, 0)

    def _close_idle(self, host: UpstreamHost, keep: int) -> int:
        """Close the idle connections except the `keep` most recently used; return how many were closed."""
        closed, host.idle[:] = host.idle[: len(host.idle) - keep], host.idle[len(host.idle) - keep :]
        for connection in closed:
            self._close_soon(connection)
        return len(closed)

    def _close_soon(self, connection: Connection) -> None:
        self.nursery.start_soon(self._close, connection)

    async def _close(self, connection: Connection) -> None:
        self.connection_count -= 1
        connection.host.open -= 1
        await trio.aclose_forcefully(connection.stream)

    def _sweep(self) -> None:
        """Close connections that have been idle for too long to be used again."""
        oldest = self.clock.now() - self.usable_idle_ms
        for host in self.hosts.values():
            self._close_idle(host, sum(c.idle_since > oldest for c in host.idle))
        self.wheel.after(self.config.conn_idle_ms / 10, self._sweep)

    # -- Connections -----------------------------------------------------------------------------

    def _take_idle(self, host: UpstreamHost) -> Connection | None:
        """Take an idle connection that can be used; close those that have been idle too long or have data."""
        now = self.clock.now()
        for connection in [c for c in reversed(host.idle) if c.unusable_until <= now]:
            host.idle.remove(connection)
            connection.idle_ms = now - connection.idle_since
            if connection.idle_ms < self.usable_idle_ms and is_quiet(connection.stream):
                self.counters["upstream.reused"] += 1
                return connection
            self._close_soon(connection)
        return None

    def _adjust_usable_idle(self, connection: Connection, broke: bool) -> None:
        """Adjust how long a connection may be idle before it is no longer used.

        An upstream host, or a device on the path, may close idle connections sooner than the settings say.  A
        request then breaks after it was written, and counts as possibly executed.
        """
        if connection.idle_ms is None:
            return
        if broke:
            self.counters["upstream.stale"] += 1
            self.usable_idle_ms = max(
                min(self.usable_idle_ms, connection.idle_ms) * STALE_FACTOR, MIN_USABLE_IDLE_MS
            )
        elif connection.idle_ms > self.usable_idle_ms / 4:
            self.usable_idle_ms = min(self.usable_idle_ms * REUSED_FACTOR, self.max_usable_idle_ms)

    def _make_room(self) -> bool:
        """Make room for another connection: at the limit, close the one that has been idle longest."""
        if self.connection_count < self.max_connections:
            return True
        idle = [host for host in self.hosts.values() if host.idle]
        if idle:
            host = min(idle, key=lambda h: h.idle[0].idle_since)
            self._close_soon(host.idle.pop(0))
        return bool(idle)

    async def _connect(self, host: UpstreamHost) -> Connection | Failure:
        """An idle connection or a new one.  Waits for a free one if the fleet's budget allows no more."""
        until = self.clock.now() + self.config.dial_timeout_ms
        while (connection := self._take_idle(host)) is None:
            if self.may_open is None or self.may_open(host.uid, host.open):
                return await self._open(host)
            if not await self._wait_for_release(host, until):
                return Failure(Stage.CONNECTING, Cause.NOT_SENT, "fleet's connection budget is used up")
        return connection

    async def _open(self, host: UpstreamHost) -> Connection | Failure:
        """Open a new connection."""
        if not self._make_room():
            return Failure(Stage.CONNECTING, Cause.NOT_SENT, "too many upstream connections")
        self.counters["upstream.dialled"] += 1
        self.connection_count += 1
        host.open += 1
        stream, reason = None, "connect timed out"
        try:
            with self.wheel.limit(self.config.dial_timeout_ms):
                stream = await self.dial(host.address)
        except OSError as problem:
            reason = str(problem)
        finally:
            if stream is None:
                self.connection_count -= 1
                host.open -= 1
                host.wake(1)
        return Connection(stream, host) if stream else Failure(Stage.CONNECTING, Cause.BROKEN, reason)

    async def _wait_for_release(self, host: UpstreamHost, until: float) -> bool:
        """Wait until a connection to the host is released.

        Returns False on a timeout, if too many requests wait, or if the host accepts no new work.
        """
        left_ms = until - self.clock.now()
        full = len(host.waiting) >= MAX_WAITERS_PER_CONNECTION * host.open
        if left_ms <= 0 or full or host.removed or not host.accepts_work:
            return False
        self.counters["upstream.waited"] += 1
        woken = trio.Event()
        host.waiting.append(woken)
        try:
            with self.wheel.limit(left_ms):
                await woken.wait()
        finally:
            if woken in host.waiting:
                host.waiting.remove(woken)
        return woken.is_set()

    async def _release(self, connection: Connection | Failure | None) -> None:
        """Keep a connection whose exchange is complete, if it may be kept; close any other."""
        if not isinstance(connection, Connection):
            return
        http, host = connection.http, connection.host
        kept = self.keeping and not host.removed and (host.max_open is None or host.open <= host.max_open)
        if kept and http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            connection.idle_since = self.clock.now()
            connection.unusable_until = connection.idle_since + REUSE_DELAY_MS * connection.anonymous_response
            host.idle.append(connection)
        else:
            await self._close(connection)
        host.wake(1)

    # -- Upstream requests -----------------------------------------------------------------------

    def send(
        self, uid: str, payload: Payload, until: float, begin_by: float, ended, progressed
    ) -> UpstreamRequest:
        """Start an upstream request.

        It is abandoned at clock time `until` and not written from `begin_by` on.  Its outcome is passed to
        `ended`, never before this returns.
        """
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
                if host.removed or not host.accepts_work:
                    # The host was drained or removed while the connection was opened.
                    request.fail(Cause.NOT_SENT, "upstream host is no longer in service")
                    return
                await self._exchange(request, connection)
                self._adjust_usable_idle(connection, False)
        except CONNECTION_ERRORS as problem:
            broke = request.stage <= Stage.SENT
            request.fail(Cause.BROKEN, str(problem))
        except (h11.RemoteProtocolError, msgspec.DecodeError, ValueError) as problem:
            problem.__traceback__ = None  # breaks a reference cycle, see Downstream._serve_one
            request.fail(Cause.MALFORMED, str(problem))
        except Exception as problem:
            # An unexpected error on one connection must not end the scheduler.
            log.exception("upstream.failed")
            self.counters["upstream.exceptions"] += 1
            request.fail(Cause.BROKEN, repr(problem))
        finally:
            if isinstance(connection, Connection) and broke:
                self._adjust_usable_idle(connection, True)
            with trio.CancelScope(shield=True):
                await self._release(connection)

    async def _exchange(self, request: UpstreamRequest, connection: Connection) -> None:
        # The time that is left now, not when the attempt was decided: opening the connection takes time.
        now = self.clock.now()
        left_ms = int(request.until - now)
        if left_ms <= 0 or now >= request.begin_by:
            # Past `until` nobody waits for the response.  Past `begin_by` workers may no longer recognize a
            # retry by its idempotency key.
            self.counters["sent.too_late"] += 1
            request.fail(Cause.NOT_SENT, "deadline passed before the request was written")
            return
        request.stage, request.stream = Stage.WRITING, connection.stream
        payload, http = request.payload, connection.http
        host, port = connection.host.address
        headers = [
            (b"Host", f"{host}:{port}".encode()),
            *(pair for pair in payload.headers if pair[0].lower() not in HOP_BY_HOP | OVERWRITTEN_HEADERS),
            (b"X-Timeout-Ms", str(left_ms).encode()),
            (b"Content-Length", str(len(payload.body)).encode()),
        ]
        head = http.send(h11.Request(method=payload.method, target=payload.target, headers=headers))
        body = http.send(h11.Data(payload.body)) if payload.body else b""
        # send_all returns only once the kernel has the last byte, and fails or is cancelled only before that.
        # Its return separates "never ran" from "may have run".
        await connection.stream.send_all(head + body + http.send(h11.EndOfMessage()))
        request.stage = Stage.SENT
        self.counters[UPSTREAM_TRIES] += 1
        response = await connection.next_event()
        while type(response) is h11.InformationalResponse:
            response = await connection.next_event()
        if type(response) is not h11.Response:
            raise h11.RemoteProtocolError("connection ended without a response")
        request.stage = Stage.RESPONDING
        if response.status_code != 200:
            self._fail_by_status(request, response)
        else:
            await self._read_lines(request, connection)
        if request.settled and connection.http.their_state is not h11.DONE:
            with self.wheel.limit(RESPONSE_TAIL_TIMEOUT_MS):
                while type(await connection.next_event()) not in (h11.EndOfMessage, h11.ConnectionClosed):
                    pass

    def _fail_by_status(self, request: UpstreamRequest, response: h11.Response) -> None:
        headers = dict(response.headers)
        report = report_from(parse_load(headers.get(b"x-server-load", b"").decode("latin-1")))
        status = response.status_code
        not_processed = status in (503, 504) and headers.get(b"x-not-processed", b"").strip() == b"1"
        request.fail(Cause.REJECTED if not_processed else Cause.ERROR, f"status {status}", report)

    async def _read_lines(self, request: UpstreamRequest, connection: Connection) -> None:
        """Read the response lines of an accepted job up to the one that settles it."""
        buffer = b""
        while not request.settled:
            event = await connection.next_event()
            if type(event) is not h11.Data:
                request.fail(Cause.BROKEN, "response ended before its last line")
                return
            *lines, buffer = (buffer + bytes(event.data)).split(b"\n")
            if len(buffer) > MAX_LINE_BYTES:
                raise ValueError("response line exceeds the size limit")
            for line in lines:
                if line.strip() and not request.settled:
                    self._handle_line(request, _decode_line(line))

    def _handle_line(self, request: UpstreamRequest, line: _Line) -> None:
        if line.id != request.payload.request_id:
            # A client must not get the result of another request.
            raise ValueError(f"response line for another request: {line.id!r}")
        report = report_from(line.load)
        if line.state == DONE:
            if not bytes(line.result):
                # A client must not get a result that no upstream host has produced.
                raise ValueError("job is done but has no result")
            request.settle(Served(result_bytes(line.result), report))
        elif line.state == FAILED:
            request.fail(Cause.ERROR, "job failed", report)
        elif line.state == LOST:
            request.fail(Cause.LOST, "job was killed", report)
        elif line.state == RETURNED:
            # A host that has reported the job's start can no longer claim that it never ran.
            request.fail(
                Cause.MALFORMED if request.job_started else Cause.REJECTED, "job was handed back", report
            )
        elif line.state == "started":
            request.job_started = True
            request.progressed(None)
        elif line.state == "running":
            request.job_started = True
            request.progressed(line.share or 0.0)
        else:
            raise ValueError(f"unknown job state {line.state!r}")

    # -- Probes ----------------------------------------------------------------------------------

    def probe(self, uid: str, ended: Callable) -> None:
        """Probe an upstream host; `ended` receives the outcome and the load report, or None without one."""
        self.nursery.start_soon(self._probe, self.hosts.get(uid), ended)

    async def _probe(self, host: UpstreamHost | None, ended: Callable) -> None:
        outcome, report, connection = Outcome.CONNECT_FAILED, None, None
        try:
            with self.wheel.limit(PROBE_TIMEOUT_MS) as scope:
                connection = await self._connect(host) if host else None
                if isinstance(connection, Connection):
                    outcome = Outcome.RESET
                    status, body = await self._get(connection)
                    outcome = Outcome.OK if status == 200 else Outcome.ERROR
                    report = report_from(parse_report(body)) if status == 200 else None
            if scope.cancelled_caught and isinstance(connection, Connection):
                outcome = Outcome.TIMEOUT
        except (*CONNECTION_ERRORS, h11.RemoteProtocolError, ValueError) as problem:
            log.debug("probe.failed", why=str(problem))  # `outcome` is already set
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
                if len(body) > MAX_LINE_BYTES:
                    raise ValueError("load report exceeds the size limit")
            elif type(event) is h11.ConnectionClosed:
                raise trio.BrokenResourceError("connection closed before a response")
        return status, body


def result_bytes(raw: msgspec.Raw) -> bytes:
    """The result in the form sent to the client: a string without quotes, any other value as JSON."""
    value = msgspec.json.decode(raw)
    return value.encode() if isinstance(value, str) else bytes(raw)


def parse_load(text: str) -> dict[str, float]:
    """Parse a load report in the form name=value,name=value; skips values that are not numbers."""
    report = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        try:
            report[name.strip()] = float(value)
        except ValueError:
            continue
    return report


def parse_report(body: bytes) -> dict | None:
    """Parse a probe's body: a load report as JSON, or in the form of the load header."""
    if not body.lstrip().startswith(b"{"):
        return parse_load(body.decode("latin-1"))
    return msgspec.json.decode(body, type=dict)
