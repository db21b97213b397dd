"""Many dispatchers on one clock, and the discovery that they share: no sockets, no real time."""

from collections import deque
from collections.abc import Callable, Iterable

from .. import interface as io
from ..interface import UpdateMode
from ..logic import Dispatcher

STEP_MS = 5.0
Told = list[tuple[int, io.Event]]


class Discovery:
    """One service that answers calls in turn, also those of callers that have given up waiting.

    Guards against a model that is kinder than a socket's queue: there, too, what was given up is worked off.
    Faults on command: `down(now, until)` ends every watch and fails every call until then.
    """

    def __init__(self, each_ms: float, patience_ms: float, most: int):
        self.each_ms, self.patience_ms, self.most = each_ms, patience_ms, most
        self.watching: set[int] = set()
        self.asked: list[float] = []  # when
        self.first: dict[int, float] = {}  # when each asked for the first time
        self.failed = 0
        self._queue: deque[list] = deque()  # [when, who], who is None once it has given up
        self._free_at = self._up_at = 0.0
        self._told: Told = []

    def down(self, now: float, until: float) -> None:
        """Be away from now on: watches and waiting calls break."""
        self._up_at = until
        broken = [*self.watching, *(who for _, who in self._queue if who is not None)]
        self.watching.clear()
        self._queue.clear()
        for who in sorted(broken):
            self._fail(who)

    def ask(self, now: float, who: int) -> None:
        """A dispatcher asks to watch; its earlier call, if one is still out, is thrown away."""
        self.asked.append(now)
        self.first.setdefault(who, now)
        self.watching.discard(who)
        for call in self._queue:
            if call[1] == who:
                call[1] = None
        if now < self._up_at or len(self._queue) >= self.most:
            self._fail(who)
        else:
            self._queue.append([now, who])

    def deliver(self, now: float) -> Told:
        """What has become of calls and watches since the last time."""
        for call in self._queue:
            if call[1] is not None and now - call[0] > self.patience_ms:
                self._fail(call[1])
                call[1] = None
        while self._queue and self._free_at <= now:
            who = self._queue.popleft()[1]
            self._free_at = max(self._free_at, now) + self.each_ms
            if who is not None:
                self.watching.add(who)
                self._told.append((who, io.FleetUpdate(UpdateMode.PARTIAL)))
        told, self._told = self._told, []
        return told

    def _fail(self, who: int) -> None:
        self.failed += 1
        self._told.append((who, io.FleetUpdate(UpdateMode.ERROR)))


def drive(
    fleet: list[Dispatcher],
    discovery: Discovery,
    until: float,
    first: Iterable[tuple[int, io.Event]] = (),
    tick: Callable[[float], None] = lambda now: None,
) -> None:
    """Run dispatchers to a time: each takes its first events, then its timers and what discovery tells."""
    timers = [(who, io.TimerFired("due")) for who in range(len(fleet))]
    told, now = list(first), 0.0
    while now < until:
        for who, event in told + timers:
            for action in fleet[who].handle(now, event):
                if isinstance(action, io.Watch):
                    discovery.ask(now, who)
        now += STEP_MS
        tick(now)
        told = discovery.deliver(now)
