"""The one state machine of the process: starting, serving, draining, stopping, handing over.

Pure.  It is told of what happens and gives the stance to take at a time; whoever says yes or no to anybody
(`/up`, `readyz`, `evacuate`, SIGTERM, a replacement) asks it, and `net/service.py` carries a stance out.
"""

from dataclasses import dataclass
from enum import Enum

SETTLE_MS = 300.0  # of a drain: the front asks each 100 ms, and sends new clients for 200 ms more
# After SIGTERM new clients arrive for 400 ms, but those that have a connection go on using it, and we may be
# all that is there for them until another scheduler is back from its own restart.
GRACE_MS = 2500.0
LEAST_MS = 900.0  # between them and the end, for answers
LATE_CLIENTS_MS = 500.0  # the same where a drain has sent the clients away already
EMPTY_MS = 100.0  # for the listener's queue to empty, once new clients go to the successor
KILL_MS, KILL_AFTER_MS = 3000.0, 700.0  # SIGKILL follows the longest deadline, or 3 s, by this
SPARE_MS = 300.0  # before it: all is answered
NEVER = float("inf")


class Phase(Enum):
    """Where the process is in its life."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPING = "stopping"
    HANDING_OVER = "handing over"


class ProcessEvent(Enum):
    """What happens to it."""

    READY = "ready"  # it listens and can serve
    EVACUATE = "evacuate"
    ACTIVATE = "activate"
    STOP = "stop"  # SIGTERM
    SUCCESSOR = "successor"  # another process serves at the same address
    SUCCESSOR_GONE = "alone"  # that process is no more


@dataclass(frozen=True, slots=True)
class ServingState:
    """What holds at a time."""

    phase: Phase
    up: bool  # the answer to those who ask whether to send clients here
    closing: bool  # connections close after each answer, and idle ones at once
    accepting: bool  # the listener takes connections
    keeps_upstream: bool  # connections to upstream hosts are kept between requests
    ended: bool  # what is still open is answered now
    changes_at: float  # when this changes by itself


class ProcessLifecycle:
    """The state: what it was told, and when."""

    def __init__(self):
        self.ready = False
        self.max_deadline_ms = KILL_MS  # the longest deadline of a class
        self.draining_since: float | None = None  # since when it is to drain
        self.stopping_since: float | None = None  # when it was told to stop
        self._stop_ms = 0.0  # and how long that takes
        self.successor_since: float | None = None  # since when a successor serves

    def handle(self, now: float, told: ProcessEvent) -> str | None:
        """Take in what happened; where it can't be done, say why."""
        if told is ProcessEvent.READY:
            self.ready = True
        elif told is ProcessEvent.STOP:
            if self.stopping_since is None:
                # what the platform counts from: settings that change after it change nothing in it
                self.stopping_since, self._stop_ms = now, self.stop_ms
        elif told is ProcessEvent.SUCCESSOR:
            # a listener that was left stays left: what comes of the successor after that changes nothing
            if self.successor_since is None and self.serving_state(now).accepting:
                self.successor_since = now
        elif told is ProcessEvent.SUCCESSOR_GONE:
            # a listener that was left can't be taken up again: then the stop goes on as it was
            if self.serving_state(now).accepting:
                self.successor_since = None
        elif self.stopping_since is not None:
            return "stopping"
        elif told is ProcessEvent.EVACUATE:
            self.draining_since = now if self.draining_since is None else self.draining_since
        else:
            self.draining_since = None
        return None

    @property
    def stop_ms(self) -> float:
        """How long after SIGTERM, if it came now, all is answered."""
        return min(self.max_deadline_ms, KILL_MS) + KILL_AFTER_MS - SPARE_MS

    @property
    def phase(self) -> Phase:
        if self.successor_since is not None:
            return Phase.HANDING_OVER
        if self.stopping_since is not None:
            return Phase.STOPPING
        if self.draining_since is not None:
            return Phase.DRAINING
        return Phase.SERVING if self.ready else Phase.STARTING

    def serving_state(self, now: float) -> ServingState:
        """What holds now."""
        close = leave = end = NEVER
        # in the successor's name nobody is told no: the address is its own too
        up = (
            self.ready
            and self.draining_since is None
            and (self.stopping_since is None or self.successor_since is not None)
        )
        if self.draining_since is not None:
            close = self.draining_since + SETTLE_MS
        if self.successor_since is not None:
            close = min(close, self.successor_since)
        if self.stopping_since is not None:
            end = self.stopping_since + self._stop_ms
            if self.successor_since is not None:
                leave = max(self.stopping_since, self.successor_since) + EMPTY_MS
            elif self.draining_since is not None:
                leave = self.stopping_since + LATE_CLIENTS_MS
            else:
                leave = self.stopping_since + max(min(GRACE_MS, self._stop_ms - LEAST_MS), LATE_CLIENTS_MS)
            leave = min(leave, end)
            close = min(close, leave)
        changes = [at for at in (close, leave, end) if at > now]
        accepting = leave > now
        return ServingState(
            self.phase, up and accepting, close <= now, accepting, self.successor_since is None, end <= now,
            min(changes, default=NEVER),
        )  # fmt: skip
