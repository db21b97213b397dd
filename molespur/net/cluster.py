"""Discovery's list of upstream hosts, and the watch that keeps it."""

import logging

import h11
import msgspec
import trio

from ..config import ClusterList, ConfigError, parse_address, worker_entry
from ..interface import FleetNews, Lifecycle, NewsMode
from .upstream import BREAKS, dial_tcp

log = logging.getLogger(__name__)
SILENCE_MS = 5000.0  # an empty line comes every 2 s: without two of them the watch is taken for broken
DIAL_MS = 1000.0
LINE_MOST = 1024 * 1024  # far more than a fleet of thousands; guards against a line without end
_decode_list = msgspec.json.Decoder(ClusterList).decode


class Cluster:
    """The list as last told, and at most one watch on it."""

    def __init__(self, config, wheel, clock, counters, nursery, host, upstream, dial=dial_tcp):
        self.config, self.wheel, self.clock, self.counters = config, wheel, clock, counters
        self.nursery, self.host, self.upstream, self.dial = nursery, host, upstream, dial
        self.address = config.discovery
        self.rev, self.lives = 0, {}
        self._scope, self._moved = None, False

    def lifecycle(self, uid: str) -> Lifecycle | None:
        """Where an upstream host is in its life; None if the list has never named it."""
        return self.lives.get(uid)

    def start(self) -> None:
        """Begin with the list that this scheduler last held."""
        self._take(self.config.known, NewsMode.PERSISTED)

    def _take(self, change: ClusterList, mode: NewsMode) -> None:
        """Take a list or changes in, and tell the module.  Nothing is touched unless all of it is sound."""
        places = {t.uid: parse_address(t.endpoint, "endpoint") for t in change.targets}
        entries = tuple(worker_entry(t, self.clock.from_unix) for t in change.targets)
        self.rev = change.rev
        if mode is not NewsMode.PARTIAL:
            for uid in self.lives.keys() - places.keys():
                self.lives[uid] = Lifecycle.GONE
                self.upstream.drop(uid)
        for entry in entries:
            self.lives[entry.worker] = entry.lifecycle
            if entry.lifecycle is Lifecycle.GONE:
                self.upstream.drop(entry.worker)
            else:
                self.upstream.place(entry.worker, places[entry.worker], entry.born_ms)
        self.host.deliver(FleetNews(mode, entries))

    # -- The watch -------------------------------------------------------------------------------

    def watch(self) -> None:
        """Ask for changes from now on.  A watch that is already out is given up for the new one."""
        if self._scope is not None:
            self._scope.cancel()
        self._scope = trio.CancelScope()
        self.nursery.start_soon(self._run, self._scope)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on: ask there at once, for the whole list.

        The list we hold stands until then.  Its version may mean something else there, so it is not told.
        """
        self.address, self._moved = address, True
        self.watch()

    async def _run(self, scope: trio.CancelScope) -> None:
        why, stream = "", None
        try:
            with scope:
                with self.wheel.limit(DIAL_MS):
                    stream = await self.dial(self.address)
                why = await self._follow(stream) if stream else "no connection in time"
        except BREAKS as problem:
            why = str(problem)
        except (h11.RemoteProtocolError, msgspec.DecodeError, ConfigError, ValueError) as problem:
            why = f"malformed: {problem}"
        except Exception as problem:
            log.exception("the watch failed in a way not foreseen")
            why = repr(problem)
        finally:
            if stream is not None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)
        if scope is self._scope and not scope.cancelled_caught:
            # a watch that was given up for another has nothing to tell; the module asks again by itself
            self._scope = None
            self.counters["cluster.errors"] += 1
            log.info("the watch ended: %s", why)
            self.host.deliver(FleetNews(NewsMode.ERROR))

    async def _follow(self, stream) -> str:
        """Read the watch until it ends; say why it did."""
        http = h11.Connection(h11.CLIENT)
        address = "{}:{}".format(*self.address)
        target = "/discovery/hosts?watch=1" + ("" if self._moved else f"&after={self.rev}")
        head = http.send(h11.Request(method="GET", target=target, headers=[("Host", address)]))
        await stream.send_all(head + http.send(h11.EndOfMessage()))
        buffer, told = b"", False
        while True:
            with self.wheel.limit(SILENCE_MS) as limit:
                while (event := http.next_event()) is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(65536))
            if limit.cancelled_caught:
                return "silent"
            if type(event) is h11.Response and event.status_code != 200:
                return f"status {event.status_code}"
            if type(event) in (h11.EndOfMessage, h11.ConnectionClosed):
                return "ended"
            if type(event) is not h11.Data:
                continue
            *lines, buffer = (buffer + bytes(event.data)).split(b"\n")
            if len(buffer) > LINE_MOST:
                raise ValueError("a line without end")
            for line in lines:
                if line.strip():
                    change = _decode_list(line)
                    if self._moved and not change.all:
                        # guards against changes to a list that we do not hold
                        raise ValueError("changes, where the whole list was asked for")
                    self._moved = False
                    self._take(change, NewsMode.COMPLETE if change.all else NewsMode.PARTIAL)
                elif not told:
                    # nothing has changed since the list we hold: that, too, answers the module's Watch
                    self.host.deliver(FleetNews(NewsMode.PARTIAL))
                told = True
