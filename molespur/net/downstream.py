"""The client side: HTTP requests become streams, final responses become HTTP responses."""

import re
from collections import deque
from dataclasses import replace

import h11
import trio

from .. import logs
from .counters import BAD_GATEWAY, DROPPED, PASSED, response_counter
from .failure import Served
from .host import Arrival, Failed, Refused
from .intake import MAX_BODY_BYTES, Rejection, check_framing, check_request, class_of
from .listening import next_connection
from .upstream import CONNECTION_ERRORS, is_quiet, is_readable

log = logs.get(__name__)
MAX_PIPELINED_BYTES = 128 * 1024  # kept of what a client sends before its response; more is discarded
MAX_READ_AHEAD_BYTES = 1 << 20  # sent by a client before its response, kept or not; more is an error
# From connecting until the first job has arrived completely, so that silent connections are not kept.
FIRST_REQUEST_TIMEOUT_MS = 2_000.0
REQUEST_TIMEOUT_MS = 2_000.0  # from the first byte of a later job until it has arrived completely
WRITE_TIMEOUT_MS = 2_000.0  # for a client to receive its response
# While connections close, an idle one stays open for this long: a request may already be on its way.
CLOSING_IDLE_TIMEOUT_MS = 100.0
# For a request to arrive completely once connections close.  A later one would have too little time left.
CLOSING_REQUEST_TIMEOUT_MS = 800.0
KEEP_ALIVE_TIMEOUT_MS = 75_000.0  # of an idle connection that has sent a job
LINGER_TIMEOUT_MS = 1_000.0  # after the last response, for the client to read it and stop sending
# Bytes that are discarded while a connection lingers: the first limit applies to each connection, and the
# second to MAX_LARGE_LINGERS connections at a time.
LINGER_BYTES, MAX_LINGER_BYTES = 1 << 20, 1 << 26
MAX_LARGE_LINGERS = 2
JOB_CONNECTIONS_SHARE = 0.75  # of the maximum of job connections; idle ones beyond it are closed
ACCEPT_QUEUED_TIMEOUT_MS = 20.0  # to accept one connection from the listener's queue
MAX_EXCESS_CONNECTIONS = 16  # accepted beyond the limit, only to send them an error
ARRIVAL_RESOLUTION_MS = 10.0  # data that arrives within it gets one time stamp, to bound their number
MAX_LOGGED = 50  # rejections that are logged; a flood of them would cost CPU and fill the log
RESPONSE_COUNTERS = {Served: PASSED, Refused: DROPPED, Failed: BAD_GATEWAY}
_starts_request = re.compile(rb"[A-Z]{1,16}( |$)").match


class ClientConnection:
    """One client's connection."""

    def __init__(self, stream, now: float):
        self.stream, self.http = stream, h11.Connection(h11.SERVER)
        self.scope = trio.CancelScope()  # everything that is done on the connection
        self.reading: trio.CancelScope | None = None  # reading the rest of a request that has begun
        self.waiting: trio.CancelScope | None = None  # between requests; cancelling it closes the connection
        self.head = b""  # the bytes of a request until its head is complete
        self.waiting_since = now  # when it was opened, or when its last request was served
        self.has_sent_job = False
        self.held_bytes = 0  # of the current body and of pipelined data, taken from the memory for bodies
        # The earliest time at which a request that waited in the listener's queue can have arrived.
        self.queued_since: float | None = None
        self.skips_linger = False  # its descriptor is needed: it closes at once unless data is unread
        self._arrivals = deque([(0, now)])  # (total bytes received, time); earlier entries are dropped
        self._received_bytes = 0  # in all, passed to `http`
        self.discarded_input = False  # some pipelined data was discarded, so no further request can be read

    def receive(self, data: bytes, now: float) -> None:
        """Pass received bytes to the parser and record when they arrived."""
        self._received_bytes += len(data)
        if now - self._arrivals[-1][1] < ARRIVAL_RESOLUTION_MS:
            now = self._arrivals.pop()[1]
        self._arrivals.append((self._received_bytes, now))
        self.http.receive_data(data)

    def request_arrived_at(self) -> float:
        """When the last byte of the most recently read request arrived.  Pipelined bytes may follow it."""
        request_end = self._received_bytes - len(self.http.trailing_data[0])
        while self._arrivals[0][0] < request_end:
            self._arrivals.popleft()
        return self._arrivals[0][1]


class Downstream:
    """Accepts a bounded number of connections and serves them until it is closed.

    Beyond the limit it closes first connections that got an error, then those that have sent no job yet, then
    those that have been idle longest.  Silent or misbehaving connections must not displace regular clients.
    """

    def __init__(
        self, host, wheel, counters, max_connections: int, max_job_connections: int, body_bytes: float
    ):
        self.host, self.wheel, self.counters = host, wheel, counters
        self.free_body_bytes = self.max_body_bytes = 0.0  # for all bodies together
        self.connections: dict[ClientConnection, None] = {}
        # Each in order of insertion: the first one is closed first.
        self.lingering: dict[ClientConnection, None] = {}
        self.new: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.open_request_ids: set[str] = set()  # of streams without a final response
        # The serving state of the process, set by Service.
        self.up = False  # the response to health checks: whether clients should be sent here
        self.closing = False  # connections are closed after each response, and as soon as they are idle
        self.ended = False  # all open streams have a final response, and new ones get theirs at once
        self._accepting, self._connection_closed, self._large_lingers = trio.CancelScope(), trio.Event(), 0
        self._nursery = None
        self._queue_busy_since: float | None = None  # since when the listener's queue was never seen empty
        self.resize(max_connections, max_job_connections, body_bytes)

    def resize(self, max_connections: int, max_job_connections: int, body_bytes: float) -> None:
        """Set the limits for all connections, for clients' connections with jobs, and for bodies together."""
        self.max_connections, self.max_kept = max_connections, JOB_CONNECTIONS_SHARE * max_job_connections
        self.free_body_bytes, self.max_body_bytes = (
            self.free_body_bytes + body_bytes - self.max_body_bytes, body_bytes
        )  # fmt: skip
        for _ in range(len(self.connections) - max_connections):
            self._make_room()

    # -- Connections -----------------------------------------------------------------------------

    async def listen(self, listener, nursery) -> None:
        """Accept connections until stop_accepting."""
        self._nursery = nursery
        with self._accepting:
            while True:
                while len(self.connections) >= self.max_connections + MAX_EXCESS_CONNECTIONS:
                    # Otherwise a burst would wait in the listener's queue until others finish lingering.
                    self._make_room()
                    await self._wait_for_close()
                if not is_readable(listener.socket):
                    self._queue_busy_since = None
                stream = await next_connection(listener, "in.accept_failed")
                if self._queue_busy_since is None:
                    self._queue_busy_since = self.host.clock.now()
                nursery.start_soon(self.serve, stream, self._queue_busy_since)

    async def _wait_for_close(self) -> None:
        self._connection_closed = trio.Event()
        await self._connection_closed.wait()

    def stop_accepting(self) -> None:
        """Accept no more connections."""
        self._accepting.cancel()

    async def accept_queued(self, listener) -> None:
        """Accept the connections in the listener's queue, which closing the listener would reset."""
        while (
            self._nursery
            and len(self.connections) < self.max_connections + MAX_EXCESS_CONNECTIONS
            and is_readable(listener.socket)
        ):
            try:
                with self.wheel.limit(ACCEPT_QUEUED_TIMEOUT_MS):
                    self._nursery.start_soon(self.serve, await listener.accept())
            except OSError as problem:
                # A connection that was reset before it was accepted must not prevent the orderly shutdown.
                log.warning("in.accept_failed", why=str(problem))
                return

    def close_idle(self) -> None:
        """Close idle connections.  Those that have sent no job yet keep their time for it."""
        for client in self.idle:
            client.waiting.cancel()
        self.wheel.after(
            CLOSING_REQUEST_TIMEOUT_MS,
            self._cancel_reads,
            [client.reading for client in self.connections if client.reading],
        )

    def _cancel_reads(self, scopes) -> None:
        """Stop reading requests that had begun when connections began to close, if they still close."""
        for scope in scopes if self.closing else ():
            scope.cancel()

    async def wait_until_closed(self) -> None:
        """Return once all connections are closed, and so all accepted requests have a response."""
        for client in self.idle:
            client.waiting.cancel()
        # The newest connections may be sending their first request right now.
        self.wheel.after(CLOSING_IDLE_TIMEOUT_MS, self._cancel_waits)
        while self.connections:
            await self._wait_for_close()

    def _cancel_waits(self) -> None:
        for client in self.connections:
            if client.waiting:
                client.waiting.cancel()

    async def serve(self, stream, queued_since: float | None = None) -> None:
        """Serve a connection until either side closes it.  It was queued at queued_since at the earliest."""
        client = ClientConnection(stream, self.host.clock.now())
        if not is_quiet(stream):
            client.queued_since = queued_since
        self.connections[client] = None
        self.counters["in.connections"] += 1
        self._make_room()
        self.new[client] = None
        try:
            with client.scope:
                while await self._serve_one(client):
                    client.http.start_next_cycle()
                    self._release_bytes(client)
                    self._hold_bytes(client, len(client.http.trailing_data[0]))
                    client.waiting_since = self.host.clock.now()
                self._release_bytes(client)
                await self._close_lingering(client)
        except CONNECTION_ERRORS:
            pass  # the client disconnected, and its stream is already closed
        except Exception:
            # An unexpected error on one connection must not close the others.
            log.exception("in.failed")
            self.counters["in.exceptions"] += 1
        finally:
            self._release_bytes(client)
            for group in (self.connections, self.lingering, self.new, self.idle):
                group.pop(client, None)
            self._connection_closed.set()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    def _hold_bytes(self, client: ClientConnection, size: int) -> None:
        client.held_bytes += size
        self.free_body_bytes -= size

    def _release_bytes(self, client: ClientConnection) -> None:
        self.free_body_bytes += client.held_bytes
        client.held_bytes = 0

    def _make_room(self) -> None:
        """Beyond the limit, close one connection that can be spared."""
        if len(self.connections) <= self.max_connections:
            return
        for group in (self.lingering, self.new, self.idle):
            for client in group:
                self.counters["in.shed"] += 1
                del group[client]
                client.skips_linger = True
                # Of an idle connection only the wait is cancelled: a request that was already read is served.
                (client.waiting if group is self.idle else client.scope).cancel()
                return

    def _close_excess_idle(self) -> None:
        """Close the connections that have been idle longest if clients hold nearly all that they may.

        Clients have a limit of their own on job connections.  A client that opens a new connection for each
        job and leaves the old ones idle would reach that limit and could not send its next job.
        """
        excess = len(self.connections) - len(self.new) - len(self.lingering) - self.max_kept
        while excess > 0 and self.idle:
            client = next(iter(self.idle))
            del self.idle[client]
            self.counters["in.thinned"] += 1
            client.waiting.cancel()
            excess -= 1

    async def _serve_one(self, client: ClientConnection) -> bool:
        """Serve one request; return whether the connection can carry another."""
        try:
            request, body = await self._read(client)
            if request is None or client.scope.cancel_called:
                return False
            if request.target == b"/up":
                await self._respond(client, 200 if self.up else 503, b"")
                return client.http.our_state is h11.DONE and client.http.their_state is h11.DONE
            arrival = check_request(request, body, self.host.classes)
            if arrival.payload.request_id in self.open_request_ids:
                # The open stream with this id must get the response of its own upstream requests.
                raise Rejection(409, "X-Request-ID is that of an open request")
        except Rejection as problem:
            await self._reject(client, problem)
            return False
        except h11.RemoteProtocolError as problem:
            # Breaks a reference cycle: h11 raises the error in a method whose frame refers to the error.
            problem.__traceback__ = None
            await self._reject(client, Rejection(problem.error_status_hint, str(problem)))
            return False
        if await self._has_disconnected(client):
            self.counters["in.client_gone"] += 1
            return False
        arrival = self._with_time_left(client, arrival)
        client.has_sent_job = True
        self.new.pop(client, None)
        self._close_excess_idle()
        self.open_request_ids.add(arrival.payload.request_id)
        try:
            response = await self._final_response(client, arrival)
        except Rejection as problem:
            await self._reject(client, problem)
            return False
        finally:
            self.open_request_ids.discard(arrival.payload.request_id)
        if response is None:
            return False
        await self._send_final(client, response)
        # Counted once and only here: a response for a client that has disconnected is not counted.
        self.counters[response_counter(RESPONSE_COUNTERS[type(response)], arrival.job_class)] += 1
        return (
            client.http.our_state is h11.DONE
            and client.http.their_state is h11.DONE
            and not client.discarded_input
        )

    def _with_time_left(self, client: ClientConnection, arrival: Arrival) -> Arrival:
        """Deduct the time for which a request waited behind an earlier one or in the listener's queue.

        Otherwise workers would be given more time than the client has left, and would respond too late.  How
        long a request was in the queue is not known, only since when the queue was not empty.  So at most
        half of its time is deducted for the queue.
        """
        now, left_ms = self.host.clock.now(), arrival.time_left_ms
        if client.queued_since is not None:
            queued_ms, client.queued_since = now - client.queued_since, None
            left_ms -= min(queued_ms, left_ms / 2)
        return replace(
            arrival, time_left_ms=min(left_ms, arrival.time_left_ms - (now - client.request_arrived_at()))
        )

    # -- Reading ---------------------------------------------------------------------------------

    async def _receive(self, client: ClientConnection) -> None:
        data = await client.stream.receive_some(16384)
        if client.http.their_state is h11.IDLE:
            client.head += data
        client.receive(data, self.host.clock.now())

    async def _next_event(self, client: ClientConnection):
        while (event := client.http.next_event()) is h11.NEED_DATA:
            if client.http.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await client.stream.send_all(client.http.send(go_on))
            await self._receive(client)
        return event

    async def _read(self, client: ClientConnection):
        """One complete request, or (None, None) if the client sends no more."""
        client.head = client.http.trailing_data[0]
        # A connection that has sent no job gets no additional time for it by other requests.
        timeout_ms = FIRST_REQUEST_TIMEOUT_MS - (self.host.clock.now() - client.waiting_since)
        if not client.head:
            if client.has_sent_job:
                self.idle[client] = None
                timeout_ms = CLOSING_IDLE_TIMEOUT_MS if self.closing else KEEP_ALIVE_TIMEOUT_MS
            # Closing an idle connection cancels only this wait.  A request that is read at the same moment is
            # served first and not lost.
            with self.wheel.limit(timeout_ms) as client.waiting:
                await self._receive(client)
            waited, client.waiting = client.waiting, None
            self.idle.pop(client, None)
            if waited.cancelled_caught:
                # A request that arrived in time must not be lost because the process was too busy to read it.
                if is_quiet(client.stream):
                    return None, None
                await self._receive(client)
        timeout_ms = (
            REQUEST_TIMEOUT_MS
            if client.has_sent_job
            else FIRST_REQUEST_TIMEOUT_MS - (self.host.clock.now() - client.waiting_since)
        )
        if self.closing:
            timeout_ms = min(
                timeout_ms, CLOSING_IDLE_TIMEOUT_MS if self.ended else CLOSING_REQUEST_TIMEOUT_MS
            )
        with self.wheel.limit(timeout_ms) as client.reading:
            try:
                return await self._read_rest(client)
            finally:
                client.reading = None
        if self.closing:
            raise Rejection(503, "the request did not arrive whole before the end")
        raise Rejection(408, "the request did not arrive whole in time")

    async def _read_rest(self, client: ClientConnection):
        request = await self._next_event(client)
        if type(request) is not h11.Request:
            return None, None
        check_framing(request, client.head)
        client.head, body = b"", bytearray()
        while type(event := await self._next_event(client)) is h11.Data:
            body += event.data
            self._hold_bytes(client, len(event.data))
            if len(body) > MAX_BODY_BYTES:
                raise Rejection(413, "the body is too large")
            if self.free_body_bytes < 0:
                # Many bodies at once could get the process killed for its memory.  This job has not run.
                raise Rejection(503, "too many bodies at once", class_of(request))
        if type(event) is not h11.EndOfMessage:
            return None, None
        rest = client.http.trailing_data[0]
        if rest and not _starts_request(rest[:17]):
            raise Rejection(400, "the body is longer than its length")
        return request, bytes(body)

    # -- Responding ------------------------------------------------------------------------------

    async def _final_response(self, client: ClientConnection, arrival: Arrival):
        """The stream's final response, or None if the client disconnects first.

        Raises Rejection if the client sends too much meanwhile.  All data is read, whether it is kept or not:
        a close or reset becomes visible only after the bytes that were sent before it, and nothing may be
        sent upstream for a client that has disconnected.  A half-close counts as a disconnect, since the
        socket does not tell the two apart until something is written.
        """
        responses, waiting = [], trio.CancelScope()

        def respond(response):
            responses.append(response)
            waiting.cancel()

        stream = self.host.accept(arrival, respond)
        ahead_bytes = 0
        with waiting:
            while not responses and ahead_bytes <= MAX_READ_AHEAD_BYTES:
                data = await self._read_ahead(client)
                if not data:
                    break
                ahead_bytes += len(data)
        if not responses and stream is not None:
            self.host.client_disconnected(stream)
            if ahead_bytes > MAX_READ_AHEAD_BYTES:
                raise Rejection(413, "too much was sent before the answer")
        return responses[0] if responses else None

    async def _read_ahead(self, client: ClientConnection) -> bytes:
        """What the client sends while it waits: pipelined requests, or b"" if it has disconnected."""
        try:
            data = await client.stream.receive_some(16384)
        except CONNECTION_ERRORS:
            return b""
        if len(client.http.trailing_data[0]) + len(data) > MAX_PIPELINED_BYTES or self.free_body_bytes < len(
            data
        ):
            client.discarded_input = True  # bounds the memory; the connection closes after its response
        if not client.discarded_input:
            client.receive(data, self.host.clock.now())
            self._hold_bytes(client, len(data))
        return data

    async def _has_disconnected(self, client: ClientConnection) -> bool:
        """Whether the client has closed after the request that was just read.  Does not read once `ended`.

        A request must not be sent upstream if its client disconnected while it was in the listener's queue or
        behind an earlier one.
        """
        ahead_bytes = 0
        while not self.ended and not is_quiet(client.stream) and ahead_bytes <= MAX_PIPELINED_BYTES:
            data = await self._read_ahead(client)
            if not data:
                return True
            ahead_bytes += len(data)
        return False

    async def _send_final(self, client: ClientConnection, response) -> None:
        if isinstance(response, Served):
            await self._respond(client, 200, response.result)
        elif isinstance(response, Refused):
            pause = [("Retry-After", f"{response.pause_ms / 1000:.3f}")] if response.pause_ms else []
            await self._respond(client, 503, b"", pause)
        else:
            assert isinstance(response, Failed)
            await self._respond(client, 502, b"")

    async def _reject(self, client: ClientConnection, problem: Rejection) -> None:
        """Send an error, after which the connection is closed."""
        self._release_bytes(client)
        self.counters["in.rejected"] += 1
        if self.counters["in.rejected"] <= MAX_LOGGED:
            log.info("in.rejected", status=problem.status, why=str(problem))
        if client.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._respond(client, problem.status, f"{problem}\n".encode(), close=True)
            if problem.job_class in self.host.classes:
                self.counters[response_counter(DROPPED, problem.job_class)] += 1

    async def _close_lingering(self, client: ClientConnection) -> None:
        """Close in order: shut down sending, then discard what still arrives, within limits.

        If a connection is closed with unread bytes, the kernel sends a reset, which can overtake the last
        response.  Nothing that arrives from here on is served: the client sees the end of the connection and
        sends it again elsewhere.
        """
        self.new.pop(client, None)
        if client.skips_linger and is_quiet(client.stream):
            return
        self.lingering[client] = None
        seen_bytes, is_large = 0, False
        try:
            await client.stream.send_eof()
            with self.wheel.limit(CLOSING_IDLE_TIMEOUT_MS if self.ended else LINGER_TIMEOUT_MS):
                while (data := await client.stream.receive_some(65536)) and seen_bytes < MAX_LINGER_BYTES:
                    seen_bytes += len(data)
                    if seen_bytes > LINGER_BYTES and not is_large:
                        if self._large_lingers >= MAX_LARGE_LINGERS:
                            break
                        is_large = True
                        self._large_lingers += 1
        finally:
            self._large_lingers -= is_large

    async def _respond(
        self, client: ClientConnection, status: int, body: bytes, headers=(), close: bool = False
    ) -> None:
        headers = [*headers, ("Content-Length", str(len(body)))]
        # During a drain, requests that were read ahead of this response still get theirs.
        if close or (self.closing and not client.http.trailing_data[0]) or client.discarded_input:
            headers.append(("Connection", "close"))
        http = client.http
        head = http.send(h11.Response(status_code=status, headers=headers))
        data = head + (http.send(h11.Data(data=body)) if body else b"") + http.send(h11.EndOfMessage())
        with self.wheel.limit(WRITE_TIMEOUT_MS) as limit:
            await client.stream.send_all(data)
        if limit.cancelled_caught:
            raise trio.BrokenResourceError("client did not receive its response in time")
