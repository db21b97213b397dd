"""The clients' side: HTTP requests become streams, final answers become responses."""

import re
from collections import deque
from dataclasses import replace

import h11
import trio

from .. import logs
from .counters import BAD_GATEWAY, DROPPED, PASSED, end_of
from .failure import Served
from .host import Arrival, Failed, Refused
from .intake import BODY_MOST, Rejection, check_framing, check_request, class_of
from .listening import next_connection
from .upstream import BREAKS, is_quiet, is_readable

log = logs.get(__name__)
AHEAD_MOST = 128 * 1024  # kept of what a client sends while its answer is awaited; more is thrown away
FLOOD_MOST = 1 << 20  # sent ahead by one client, kept or not: beyond that it is told so and closed
FIRST_MS = 2_000.0  # for the first job to arrive whole, counted from connecting: until then nothing is proven
READ_MS = 2_000.0  # for a later one to arrive whole once it has begun
WRITE_MS = 2_000.0  # for a client to take its answer
CLOSING_MS = 100.0  # an idle connection that goes is kept for this long, for a request that crosses its close
CUT_MS = 800.0  # for a request to be whole once connections close: a later one would be too young at the end
KEEP_MS = 75_000.0  # an idle connection that has brought a job is kept for this long
LINGER_MS = 1_000.0  # after the last answer, for the client to read it and stop sending
LINGER_LEAST, LINGER_MOST = 1 << 20, 1 << 26  # bytes thrown away meanwhile: by any, and by LINGERERS at once
LINGERERS = 2
KEPT_SHARE = 0.75  # of the connections that clients hold for jobs: where more are open, idle ones are closed
REST_MS = 20.0  # for one connection out of the listener's queue
OVERFLOW = 16  # connections beyond the bound that are taken only to be told so
CAME_MS = 10.0  # what comes within so long of each other has come at one time: bounds what is kept of it
LOGGED = 50  # rejections logged one by one; guards the log and the CPU against floods of them
ENDED = {Served: PASSED, Refused: DROPPED, Failed: BAD_GATEWAY}
_starts_request = re.compile(rb"[A-Z]{1,16}( |$)").match


class Link:
    """One client's connection."""

    def __init__(self, stream, now: float):
        self.stream, self.http = stream, h11.Connection(h11.SERVER)
        self.scope = trio.CancelScope()  # all that is done on it
        self.reading: trio.CancelScope | None = None  # the rest of a request that has begun
        self.waiting: trio.CancelScope | None = None  # between requests; to cancel it closes the connection
        self.head = b""  # what has come of a request until its head is whole
        self.since = now  # when it was opened, or last told something without having brought a job
        self.proven = False  # it has brought a job
        self.held = 0  # bytes of the body that it has brought and that is still needed, and those ahead of it
        self.asked_since: float | None = None  # the earliest that a request may have come which waited for us
        self.hurried = False  # its descriptor is wanted: it does not linger where nothing is unread
        self._came = deque([(0, now)])  # when so many bytes had come in all, of those not asked about yet
        self._count = 0  # bytes that have come and went to `http`
        self.overrun = False  # some of what it sent ahead was thrown away: nothing more is read off it

    def take(self, data: bytes, now: float) -> None:
        """Bytes have come, at this time."""
        self._count += len(data)
        if now - self._came[-1][1] < CAME_MS:
            now = self._came.pop()[1]
        self._came.append((self._count, now))
        self.http.receive_data(data)

    def asked_at(self) -> float:
        """When the last byte came of the request that was read last; later ones may lie behind it."""
        whole = self._count - len(self.http.trailing_data[0])
        while self._came[0][0] < whole:
            self._came.popleft()
        return self._came[0][1]


class Downstream:
    """Takes connections in, bounded, and serves them until told to close.

    Where there are too many, those go first that have been told an error, then those that have brought no
    job yet, then those that have been idle longest: connections that say nothing or nonsense must not cost
    the usual clients theirs.
    """

    def __init__(self, host, wheel, counters, most: int, usual: int, memory: float):
        self.host, self.wheel, self.counters = host, wheel, counters
        self.memory = self.granted = 0.0  # bytes that bodies may still take, and may take together
        self.links: dict[Link, None] = {}
        # each in the order in which they came there: the first is the first to go
        self.leaving: dict[Link, None] = {}
        self.fresh: dict[Link, None] = {}
        self.idle: dict[Link, None] = {}
        self.ids: set[str] = set()  # of the streams that are owed an answer
        # the stance that the process takes, set by Service
        self.up = False  # the answer to those who ask whether to send clients here
        self.closing = False  # connections are closed after each answer, and as soon as they are idle
        self.ended = False  # all that is open has been answered, and what still comes is at once
        self._accepting, self._room, self._lingerers = trio.CancelScope(), trio.Event(), 0
        self._nursery = None
        self._queued_since: float | None = None  # since when the listener's queue was not seen empty
        self.resize(most, usual, memory)

    def resize(self, most: int, usual: int, memory: float) -> None:
        """Hold no more than this; usual are the connections that clients hold at most for jobs."""
        self.most, self.kept_most = most, KEPT_SHARE * usual
        self.memory, self.granted = self.memory + memory - self.granted, memory
        for _ in range(len(self.links) - most):
            self._make_room()

    # -- Connections -----------------------------------------------------------------------------

    async def listen(self, listener, nursery) -> None:
        """Take connections in until told to leave."""
        self._nursery = nursery
        with self._accepting:
            while True:
                while len(self.links) >= self.most + OVERFLOW:
                    # guards against a crowd that waits in the listener's queue for others to linger
                    self._make_room()
                    await self._a_link_less()
                if not is_readable(listener.socket):
                    self._queued_since = None
                stream = await next_connection(listener, "in.accept_failed")
                if self._queued_since is None:
                    self._queued_since = self.host.clock.now()
                nursery.start_soon(self.serve, stream, self._queued_since)

    async def _a_link_less(self) -> None:
        self._room = trio.Event()
        await self._room.wait()

    def stop_accepting(self) -> None:
        """Take no connection from now on."""
        self._accepting.cancel()

    async def take_rest(self, listener) -> None:
        """Take in what stands in the listener's queue, which its close would reset."""
        while self._nursery and len(self.links) < self.most + OVERFLOW and is_readable(listener.socket):
            try:
                with self.wheel.limit(REST_MS):
                    self._nursery.start_soon(self.serve, await listener.accept())
            except OSError as problem:
                # guards the orderly end against a connection that was reset before it was taken
                log.warning("in.accept_failed", why=str(problem))
                return

    def close_idle(self) -> None:
        """Close what stands idle; what has brought no job yet keeps its time for that."""
        for link in self.idle:
            link.waiting.cancel()
        self.wheel.after(CUT_MS, self._cut, [link.reading for link in self.links if link.reading])

    def _cut(self, readings) -> None:
        """Wait no longer for requests that had begun when connections began to close, if they still do."""
        for reading in readings if self.closing else ():
            reading.cancel()

    async def empty(self) -> None:
        """Come back once no connection is left: all that was taken is answered."""
        for link in self.idle:
            link.waiting.cancel()
        # those that came last may bring their first request just now
        self.wheel.after(CLOSING_MS, self._wait_no_longer)
        while self.links:
            await self._a_link_less()

    def _wait_no_longer(self) -> None:
        for link in self.links:
            if link.waiting:
                link.waiting.cancel()

    async def serve(self, stream, queued_since: float | None = None) -> None:
        """Serve one connection until either side closes it; it came at queued_since at the earliest."""
        link = Link(stream, self.host.clock.now())
        if not is_quiet(stream):
            link.asked_since = queued_since
        self.links[link] = None
        self.counters["in.connections"] += 1
        self._make_room()
        self.fresh[link] = None
        try:
            with link.scope:
                while await self._serve_one(link):
                    link.http.start_next_cycle()
                    self._let_go(link)
                    self._hold(link, len(link.http.trailing_data[0]))
                    link.since = self.host.clock.now()
                self._let_go(link)
                await self._close_lingering(link)
        except BREAKS:
            pass  # the client is gone, which its stream has been told
        except Exception:
            # guards against one connection's surprise taking all others down
            log.exception("in.failed")
            self.counters["in.exceptions"] += 1
        finally:
            self._let_go(link)
            for group in (self.links, self.leaving, self.fresh, self.idle):
                group.pop(link, None)
            self._room.set()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    def _hold(self, link: Link, size: int) -> None:
        link.held += size
        self.memory -= size

    def _let_go(self, link: Link) -> None:
        self.memory += link.held
        link.held = 0

    def _make_room(self) -> None:
        """Close a connection that can be spared if there are too many."""
        if len(self.links) <= self.most:
            return
        for group in (self.leaving, self.fresh, self.idle):
            for link in group:
                self.counters["in.shed"] += 1
                del group[link]
                link.hurried = True
                # an idle one has only its wait cancelled: what it has read by then is served first
                (link.waiting if group is self.idle else link.scope).cancel()
                return

    def _thin_out(self) -> None:
        """Close connections that have been idle longest where clients hold nearly all that they may.

        Guards against clients that open one for each job and let the last ones stand: the bound on what they
        hold is theirs, so what stands idle keeps them from bringing the next job.
        """
        over = len(self.links) - len(self.fresh) - len(self.leaving) - self.kept_most
        while over > 0 and self.idle:
            link = next(iter(self.idle))
            del self.idle[link]
            self.counters["in.thinned"] += 1
            link.waiting.cancel()
            over -= 1

    async def _serve_one(self, link: Link) -> bool:
        """Serve one request; tell whether the connection can carry another."""
        try:
            request, body = await self._read(link)
            if request is None or link.scope.cancel_called:
                return False
            if request.target == b"/up":
                await self._respond(link, 200 if self.up else 503, b"")
                return link.http.our_state is h11.DONE and link.http.their_state is h11.DONE
            arrival = check_request(request, body, self.host.classes)
            if arrival.payload.request_id in self.ids:
                # guards the stream that has this id: its answer must come from its own upstream requests
                raise Rejection(409, "X-Request-ID is that of an open request")
        except Rejection as problem:
            await self._reject(link, problem)
            return False
        except h11.RemoteProtocolError as problem:
            # guards against a cycle: h11 raises it from a method of its own, whose frame holds it
            problem.__traceback__ = None
            await self._reject(link, Rejection(problem.error_status_hint, str(problem)))
            return False
        if await self._has_left(link):
            self.counters["in.client_gone"] += 1
            return False
        arrival = self._since_it_came(link, arrival)
        link.proven = True
        self.fresh.pop(link, None)
        self._thin_out()
        self.ids.add(arrival.payload.request_id)
        try:
            answer = await self._answer(link, arrival)
        except Rejection as problem:
            await self._reject(link, problem)
            return False
        finally:
            self.ids.discard(arrival.payload.request_id)
        if answer is None:
            return False
        await self._tell(link, answer)
        # once, and only here: what a client that has left was to be told counts under nothing
        self.counters[end_of(ENDED[type(answer)], arrival.job_class)] += 1
        return link.http.our_state is h11.DONE and link.http.their_state is h11.DONE and not link.overrun

    def _since_it_came(self, link: Link, arrival: Arrival) -> Arrival:
        """The same with the time that is left, for a request that waited for an earlier one's answer, or in
        the listener's queue.

        Guards against telling workers more than is left to the client, and against answers after its time.
        How long it stood in the queue is not known, only since when that was not empty; so no more than half
        of its time is taken for gone there.
        """
        now, left = self.host.clock.now(), arrival.time_left_ms
        if link.asked_since is not None:
            stood, link.asked_since = now - link.asked_since, None
            left -= min(stood, left / 2)
        return replace(arrival, time_left_ms=min(left, arrival.time_left_ms - (now - link.asked_at())))

    # -- Reading ---------------------------------------------------------------------------------

    async def _receive(self, link: Link) -> None:
        data = await link.stream.receive_some(16384)
        if link.http.their_state is h11.IDLE:
            link.head += data
        link.take(data, self.host.clock.now())

    async def _next_event(self, link: Link):
        while (event := link.http.next_event()) is h11.NEED_DATA:
            if link.http.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await link.stream.send_all(link.http.send(go_on))
            await self._receive(link)
        return event

    async def _read(self, link: Link):
        """One whole request, or (None, None) where the client has no more."""
        link.head = link.http.trailing_data[0]
        # guards against silent connections: what has brought no job gets no longer for the next
        limit_ms = FIRST_MS - (self.host.clock.now() - link.since)
        if not link.head:
            if link.proven:
                self.idle[link] = None
                limit_ms = CLOSING_MS if self.closing else KEEP_MS
            # guards against the loss of a request that was read as its connection was being closed as idle:
            # only the wait is cancelled, and where it has read something that is served first
            with self.wheel.limit(limit_ms) as link.waiting:
                await self._receive(link)
            waited, link.waiting = link.waiting, None
            self.idle.pop(link, None)
            if waited.cancelled_caught:
                # guards against the loss of a request that has come while we were too busy to read it
                if is_quiet(link.stream):
                    return None, None
                await self._receive(link)
        limit_ms = READ_MS if link.proven else FIRST_MS - (self.host.clock.now() - link.since)
        if self.closing:
            limit_ms = min(limit_ms, CLOSING_MS if self.ended else CUT_MS)
        with self.wheel.limit(limit_ms) as link.reading:
            try:
                return await self._read_rest(link)
            finally:
                link.reading = None
        if self.closing:
            raise Rejection(503, "the request did not arrive whole before the end")
        raise Rejection(408, "the request did not arrive whole in time")

    async def _read_rest(self, link: Link):
        request = await self._next_event(link)
        if type(request) is not h11.Request:
            return None, None
        check_framing(request, link.head)
        link.head, body = b"", bytearray()
        while type(event := await self._next_event(link)) is h11.Data:
            body += event.data
            self._hold(link, len(event.data))
            if len(body) > BODY_MOST:
                raise Rejection(413, "the body is too large")
            if self.memory < 0:
                # guards against being killed for memory by many bodies at once: this one never ran
                raise Rejection(503, "too many bodies at once", class_of(request))
        if type(event) is not h11.EndOfMessage:
            return None, None
        rest = link.http.trailing_data[0]
        if rest and not _starts_request(rest[:17]):
            raise Rejection(400, "the body is longer than its length")
        return request, bytes(body)

    # -- Answering -------------------------------------------------------------------------------

    async def _answer(self, link: Link, arrival: Arrival):
        """The stream's final answer, or None if the client leaves first.  Raises Rejection on a flood.

        All that comes is read, kept or not: a close or reset stands behind the bytes sent before it, and
        a client that has left must not be sent on.  A half-close counts as leaving, for the socket does
        not tell the two apart until something is written.
        """
        answers, waiting = [], trio.CancelScope()

        def answer(final):
            answers.append(final)
            waiting.cancel()

        stream = self.host.take(arrival, answer)
        ahead = 0
        with waiting:
            while not answers and ahead <= FLOOD_MOST:
                data = await self._read_ahead(link)
                if not data:
                    break
                ahead += len(data)
        if not answers and stream is not None:
            self.host.client_gone(stream)
            if ahead > FLOOD_MOST:
                raise Rejection(413, "too much was sent before the answer")
        return answers[0] if answers else None

    async def _read_ahead(self, link: Link) -> bytes:
        """What the client sends while it waits: the next requests, or nothing if it has left."""
        try:
            data = await link.stream.receive_some(16384)
        except BREAKS:
            return b""
        if len(link.http.trailing_data[0]) + len(data) > AHEAD_MOST or self.memory < len(data):
            link.overrun = True  # guards the memory: the connection can carry nothing more after its answer
        if not link.overrun:
            link.take(data, self.host.clock.now())
            self._hold(link, len(data))
        return data

    async def _has_left(self, link: Link) -> bool:
        """Whether the client has closed behind the request that was just read.  Nothing is read at the end.

        Guards against sending on for a client that left while its request stood in the listener's queue, or
        behind an earlier one.
        """
        ahead = 0
        while not self.ended and not is_quiet(link.stream) and ahead <= AHEAD_MOST:
            data = await self._read_ahead(link)
            if not data:
                return True
            ahead += len(data)
        return False

    async def _tell(self, link: Link, answer) -> None:
        if isinstance(answer, Served):
            await self._respond(link, 200, answer.result)
        elif isinstance(answer, Refused):
            pause = [("Retry-After", f"{answer.pause_ms / 1000:.3f}")] if answer.pause_ms else []
            await self._respond(link, 503, b"", pause)
        else:
            assert isinstance(answer, Failed)
            await self._respond(link, 502, b"")

    async def _reject(self, link: Link, problem: Rejection) -> None:
        """An error, after which the connection is closed."""
        self._let_go(link)
        self.counters["in.rejected"] += 1
        if self.counters["in.rejected"] <= LOGGED:
            log.info("in.rejected", status=problem.status, why=str(problem))
        if link.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._respond(link, problem.status, f"{problem}\n".encode(), close=True)
            if problem.job_class in self.host.classes:
                self.counters[end_of(DROPPED, problem.job_class)] += 1

    async def _close_lingering(self, link: Link) -> None:
        """The one orderly close: stop sending, then throw away what still comes, within bounds.

        Guards against a reset that overtakes the last answer: the kernel sends one if a connection is closed
        with bytes unread.  What is read from here on is never served: the client, who sees the end, sends it
        again elsewhere.
        """
        self.fresh.pop(link, None)
        if link.hurried and is_quiet(link.stream):
            return
        self.leaving[link] = None
        seen, more = 0, False
        try:
            await link.stream.send_eof()
            with self.wheel.limit(CLOSING_MS if self.ended else LINGER_MS):
                while (data := await link.stream.receive_some(65536)) and seen < LINGER_MOST:
                    seen += len(data)
                    if seen > LINGER_LEAST and not more:
                        if self._lingerers >= LINGERERS:
                            break
                        more = True
                        self._lingerers += 1
        finally:
            self._lingerers -= more

    async def _respond(self, link: Link, status: int, body: bytes, headers=(), close: bool = False) -> None:
        headers = [*headers, ("Content-Length", str(len(body)))]
        # in a drain, what was read ahead of this answer is answered too
        if close or (self.closing and not link.http.trailing_data[0]) or link.overrun:
            headers.append(("Connection", "close"))
        http = link.http
        head = http.send(h11.Response(status_code=status, headers=headers))
        data = head + (http.send(h11.Data(data=body)) if body else b"") + http.send(h11.EndOfMessage())
        with self.wheel.limit(WRITE_MS) as limit:
            await link.stream.send_all(data)
        if limit.cancelled_caught:
            raise trio.BrokenResourceError("the client does not take its answer")
