"""The platform's discovery as a source of the cluster: the list, and the watch that keeps it."""

import h11
import msgspec
import trio

from .. import logs
from ..config import ClusterList, ConfigError
from ..interface import NewsMode
from .cluster import Placed
from .upstream import BREAKS, dial_tcp

log = logs.get(__name__)
SILENCE_MS = 5000.0  # an empty line comes every 2 s: without two of them the watch is taken for broken
DIAL_MS = 1000.0
LINE_MOST = 1024 * 1024  # far more than a fleet of thousands; guards against a line without end
_decode_list = msgspec.json.Decoder(ClusterList).decode


class Discovery:
    """At most one watch on discovery, whose answers it gives to the cluster."""

    def __init__(self, cluster, config, wheel, clock, counters, nursery, dial=dial_tcp):
        self.cluster, self.wheel, self.clock, self.counters = cluster, wheel, clock, counters
        self.nursery, self.dial, self.address = nursery, dial, config.discovery
        self.rev = config.known.rev
        self._scope, self._moved = None, False

    def start(self) -> None:
        """The module asks for the watch."""

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

    def _take(self, change: ClusterList) -> None:
        placed = [Placed.from_target(target, self.clock.from_unix) for target in change.targets]
        self.rev = change.rev
        self.cluster.take(placed, NewsMode.COMPLETE if change.all else NewsMode.PARTIAL)

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
            log.exception("cluster.watch_failed")
            why = repr(problem)
        finally:
            if stream is not None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)
        if scope is self._scope and not scope.cancelled_caught:
            # a watch that was given up for another has nothing to tell; the module asks again by itself
            self._scope = None
            self.counters["cluster.errors"] += 1
            log.info("cluster.watch_ended", why=why)
            self.cluster.lost()

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
                    self._take(change)
                elif not told:
                    # nothing has changed since the list we hold: that, too, answers the module's Watch
                    self.cluster.unchanged()
                told = True
