"""The platform's discovery service as a source of the cluster: a watch on its list of upstream hosts."""

from random import Random

import h11
import msgspec
import trio

from .. import logs
from ..config import ConfigError, Target
from ..interface import UpdateMode
from .asking import CALL_TIMEOUT_MS, SILENCE_TIMEOUT_MS, WatchBackoff
from .cluster import ListedWorker
from .upstream import CONNECTION_ERRORS, dial_tcp
from .values import JsonSplitter

log = logs.get(__name__)
MAX_VALUE_BYTES = 1024 * 1024  # far more than thousands of hosts need; bounds an endless value
MAX_LOGGED = 50  # faulty entries that are logged; later ones are only counted


class _Listing(msgspec.Struct):
    """Discovery's full list or changes to it.  The entries are decoded one by one."""

    rev: int
    all: bool
    targets: list[msgspec.Raw]


class _Uid(msgspec.Struct):
    uid: str


_decode_listing = msgspec.json.Decoder(_Listing).decode
_decode_target = msgspec.json.Decoder(Target).decode
_decode_uid = msgspec.json.Decoder(_Uid).decode


class Discovery:
    """Keeps one watch on discovery and passes its updates to the cluster.  Reopens it whenever a call ends.

    The watch runs from the start, for lists that are pushed and lists that are requested alike.  When the
    decision module asks for a Watch, it is already running.
    """

    def __init__(self, cluster, config, wheel, clock, counters, nursery, dial=dial_tcp):
        self.cluster, self.wheel, self.clock, self.counters = cluster, wheel, clock, counters
        self.nursery, self.dial, self.address = nursery, dial, config.discovery
        self.rev = config.known.rev
        self.backoff = WatchBackoff(Random(config.seed ^ 0xD15C))
        self._scope, self._needs_full_list = None, False
        self._first_update_at: float | None = None  # of the current call; None before its first update

    def start(self) -> None:
        """Start the watch.  Has no effect while it runs."""
        if self._scope is None:
            self._open()

    watch = start

    def _open(self) -> None:
        if self._scope is not None:
            self._scope.cancel()
        self._scope, self.backoff.failed_calls = trio.CancelScope(), 0
        self.nursery.start_soon(self._keep, self._scope)

    def move(self, address: tuple[str, int]) -> None:
        """Switch to another address of discovery, and request the full list there at once.

        The current list stays in force until the new one arrives.  Its revision is not sent, since it may
        mean something else at the new address.
        """
        self.address, self._needs_full_list = address, True
        self._open()

    # -- Updates ---------------------------------------------------------------------------------

    def _apply(self, listing: _Listing) -> None:
        placed, faulty = [], []
        for raw in listing.targets:
            try:
                placed.append(ListedWorker.from_target(_decode_target(raw), self.clock.from_unix))
            except (msgspec.DecodeError, ConfigError, ValueError) as problem:
                faulty.append(raw)
                self.counters["cluster.faulty_entries"] += 1
                if self.counters["cluster.faulty_entries"] <= MAX_LOGGED:
                    log.warning("cluster.faulty_entry", why=str(problem))
        if faulty and not placed:
            # The current list stays in force and the full list is requested.
            raise ValueError("all entries are faulty")
        self.rev = listing.rev
        if listing.all and faulty:
            placed += self._current_entries(faulty, {one.entry.worker for one in placed})
        self.cluster.update(placed, UpdateMode.COMPLETE if listing.all else UpdateMode.PARTIAL)

    def _current_entries(self, faulty: list[msgspec.Raw], decoded: set[str]) -> list[ListedWorker]:
        """The current entries of the workers that the faulty entries of a full list may name.

        A faulty entry must not remove a working upstream host.
        """
        try:
            candidates = {_decode_uid(raw).uid for raw in faulty}
        except msgspec.DecodeError:
            candidates = set(self.cluster.listed)  # an entry without a uid may name any worker
        return [one for uid, one in self.cluster.listed.items() if uid in candidates - decoded]

    # -- The watch -------------------------------------------------------------------------------

    async def _keep(self, scope: trio.CancelScope) -> None:
        """Watch, and call again whenever a call ends, until the scope is cancelled."""
        with scope:
            while True:
                # The delay is random, so that schedulers that lost their watches at once do not call at once.
                with self.wheel.limit(self.backoff.next_delay_ms(self.cluster.host.settings)):
                    await trio.sleep_forever()
                self._first_update_at = None
                reason = await self._call()
                since = self._first_update_at
                self.backoff.record_end(self.clock.now() - since if since is not None else 0.0)
                self.counters["cluster.errors"] += 1
                log.info("cluster.watch_ended", why=reason)

    async def _call(self) -> str:
        """Open the watch and read it until it ends; return the reason for the end."""
        stream = None
        try:
            with self.wheel.limit(CALL_TIMEOUT_MS):
                stream = await self.dial(self.address)
            return await self._follow(stream) if stream else "connect timed out"
        except CONNECTION_ERRORS as problem:
            return str(problem) or type(problem).__name__
        except h11.RemoteProtocolError as problem:
            problem.__traceback__ = None  # breaks a reference cycle, see Downstream._serve_one
            return f"ended: {problem}"
        except (msgspec.DecodeError, ValueError) as problem:
            # An update is lost, so later changes would not apply to the list that we have.
            self._needs_full_list = True
            return f"malformed: {problem}"
        except Exception as problem:
            log.exception("cluster.watch_failed")
            return repr(problem)
        finally:
            if stream is not None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)

    async def _follow(self, stream) -> str:
        """Read the watch until it ends; return the reason for the end."""
        http, splitter = h11.Connection(h11.CLIENT), JsonSplitter(MAX_VALUE_BYTES)
        address = "{}:{}".format(*self.address)
        target = "/discovery/hosts?watch=1" + ("" if self._needs_full_list else f"&after={self.rev}")
        head = http.send(h11.Request(method="GET", target=target, headers=[("Host", address)]))
        self.counters["cluster.calls"] += 1
        until, has_response = self.clock.now() + CALL_TIMEOUT_MS, False
        with self.wheel.limit(CALL_TIMEOUT_MS) as limit:
            await stream.send_all(head + http.send(h11.EndOfMessage()))
        if limit.cancelled_caught:
            return "response timed out"
        while True:
            with self.wheel.limit(until - self.clock.now()) as limit:
                while (event := http.next_event()) is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(65536))
            if limit.cancelled_caught:
                return "silent" if has_response else "response timed out"
            if type(event) is h11.Response:
                if event.status_code != 200:
                    return f"status {event.status_code}"
                has_response, until = True, self.clock.now() + SILENCE_TIMEOUT_MS
            elif type(event) in (h11.EndOfMessage, h11.ConnectionClosed):
                return "ended"
            elif type(event) is h11.Data:
                values, line_ended = splitter.feed(bytes(event.data))
                # Only complete values and lines reset the timeout: a line that never ends is silence too.
                self._apply_all(values)
                if values or line_ended:  # an empty line says that nothing has changed
                    until = self.clock.now() + SILENCE_TIMEOUT_MS
                    self._first_update_at = self._first_update_at or self.clock.now()

    def _apply_all(self, values: list[bytes]) -> None:
        for value in values:
            listing = _decode_listing(value)
            if self._needs_full_list and not listing.all:
                # Changes do not apply without the full list that they refer to.
                raise ValueError("got changes instead of the requested full list")
            self._apply(listing)
            self._needs_full_list = False
