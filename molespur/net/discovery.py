"""The platform's discovery as a source of the cluster: the list, and the watch that keeps it."""

from random import Random

import h11
import msgspec
import trio

from .. import logs
from ..config import ConfigError, Target
from ..interface import UpdateMode
from .asking import CALL_MS, SILENCE_MS, Asking
from .cluster import Placed
from .upstream import BREAKS, dial_tcp
from .values import Values

log = logs.get(__name__)
VALUE_MOST = 1024 * 1024  # far more than a fleet of thousands; guards against a value without end
LOGGED = 50  # faulty entries logged one by one


class Told(msgspec.Struct):
    """Discovery's list or the changes to it; the entries are read one by one."""

    rev: int
    all: bool
    targets: list[msgspec.Raw]


class _Uid(msgspec.Struct):
    uid: str


_decode_told = msgspec.json.Decoder(Told).decode
_decode_target = msgspec.json.Decoder(Target).decode
_decode_uid = msgspec.json.Decoder(_Uid).decode


class Discovery:
    """The one watch on discovery, kept up whatever becomes of a call, and its answers given to the cluster.

    It asks by its own clock, with lists that are pushed as with those asked for: the module's Watch finds it
    at work.
    """

    def __init__(self, cluster, config, wheel, clock, counters, nursery, dial=dial_tcp):
        self.cluster, self.wheel, self.clock, self.counters = cluster, wheel, clock, counters
        self.nursery, self.dial, self.address = nursery, dial, config.discovery
        self.rev = config.known.rev
        self.asking = Asking(Random(config.seed ^ 0xD15C))
        self._scope, self._whole = None, False
        self._told_since: float | None = None  # since when the call that is out has told something

    def start(self) -> None:
        """Keep a watch from now on."""
        if self._scope is None:
            self._open()

    watch = start

    def _open(self) -> None:
        if self._scope is not None:
            self._scope.cancel()
        self._scope, self.asking.failed = trio.CancelScope(), 0
        self.nursery.start_soon(self._keep, self._scope)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on: ask there at once, for the whole list.

        The list we hold stands until then.  Its version may mean something else there, so it is not told.
        """
        self.address, self._whole = address, True
        self._open()

    # -- What is told ----------------------------------------------------------------------------

    def _take(self, told: Told) -> None:
        placed, faulty = [], []
        for raw in told.targets:
            try:
                placed.append(Placed.from_target(_decode_target(raw), self.clock.from_unix))
            except (msgspec.DecodeError, ConfigError, ValueError) as problem:
                faulty.append(raw)
                self.counters["cluster.faulty_entries"] += 1
                if self.counters["cluster.faulty_entries"] <= LOGGED:
                    log.warning("cluster.faulty_entry", why=str(problem))
        if faulty and not placed:
            raise ValueError("no entry makes sense")  # the old list stands, and the whole one is asked for
        self.rev = told.rev
        if told.all and faulty:
            placed += self._as_held(faulty, {one.entry.worker for one in placed})
        self.cluster.take(placed, UpdateMode.COMPLETE if told.all else UpdateMode.PARTIAL)

    def _as_held(self, faulty: list[msgspec.Raw], named: set[str]) -> list[Placed]:
        """The workers that a whole list may mean by its faulty entries, as they are held.

        Guards against one faulty entry taking a good worker off the list.
        """
        try:
            meant = {_decode_uid(raw).uid for raw in faulty}
        except msgspec.DecodeError:
            meant = set(self.cluster.placed)  # it does not say whom it means
        return [one for uid, one in self.cluster.placed.items() if uid in meant - named]

    # -- The watch -------------------------------------------------------------------------------

    async def _keep(self, scope: trio.CancelScope) -> None:
        """Watch, and ask again whenever that ends, until given up for another."""
        with scope:
            while True:
                # a fleet that lost its watches at once must not ask in step
                with self.wheel.limit(self.asking.wait_ms(self.cluster.host.settings)):
                    await trio.sleep_forever()
                self._told_since = None
                why = await self._call()
                since = self._told_since
                self.asking.ended(self.clock.now() - since if since is not None else 0.0)
                self.counters["cluster.errors"] += 1
                log.info("cluster.watch_ended", why=why)

    async def _call(self) -> str:
        """Ask and follow the answer until it ends; say why it did."""
        stream = None
        try:
            with self.wheel.limit(CALL_MS):
                stream = await self.dial(self.address)
            return await self._follow(stream) if stream else "no connection in time"
        except BREAKS as problem:
            return str(problem) or type(problem).__name__
        except h11.RemoteProtocolError as problem:
            problem.__traceback__ = None  # guards against a cycle, see downstream
            return f"ended: {problem}"
        except (msgspec.DecodeError, ValueError) as problem:
            # what was told is lost, so that changes to it would be changes to a list that we do not hold
            self._whole = True
            return f"malformed: {problem}"
        except Exception as problem:
            log.exception("cluster.watch_failed")
            return repr(problem)
        finally:
            if stream is not None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)

    async def _follow(self, stream) -> str:
        """Read the watch until it ends; say why it did."""
        http, values = h11.Connection(h11.CLIENT), Values(VALUE_MOST)
        address = "{}:{}".format(*self.address)
        target = "/discovery/hosts?watch=1" + ("" if self._whole else f"&after={self.rev}")
        head = http.send(h11.Request(method="GET", target=target, headers=[("Host", address)]))
        self.counters["cluster.calls"] += 1
        until, answered = self.clock.now() + CALL_MS, False
        with self.wheel.limit(CALL_MS) as limit:
            await stream.send_all(head + http.send(h11.EndOfMessage()))
        if limit.cancelled_caught:
            return "no answer in time"
        while True:
            with self.wheel.limit(until - self.clock.now()) as limit:
                while (event := http.next_event()) is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(65536))
            if limit.cancelled_caught:
                return "silent" if answered else "no answer in time"
            if type(event) is h11.Response:
                if event.status_code != 200:
                    return f"status {event.status_code}"
                answered, until = True, self.clock.now() + SILENCE_MS
            elif type(event) in (h11.EndOfMessage, h11.ConnectionClosed):
                return "ended"
            elif type(event) is h11.Data:
                whole, line_ended = values.feed(bytes(event.data))
                # by whole values and lines, not by bytes: half a line that stays half is silence too
                self._heed(whole)
                if whole or line_ended:  # an empty line: nothing has changed, which is an answer too
                    until = self.clock.now() + SILENCE_MS
                    self._told_since = self._told_since or self.clock.now()

    def _heed(self, whole: list[bytes]) -> None:
        for value in whole:
            told = _decode_told(value)
            if self._whole and not told.all:
                # guards against changes to a list that we do not hold
                raise ValueError("changes, where the whole list was asked for")
            self._take(told)
            self._whole = False
