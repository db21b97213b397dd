"""The state machine of the process: starting, serving, draining, stopping, handing over.

Does no I/O.  It takes the events of the process and gives the serving state that holds at a time.  All that
answer whether the process serves (`/up`, `readyz`, `evacuate`, SIGTERM, a replacement) read that state, and
`net/service.py` puts it into effect.
"""

from dataclasses import dataclass
from enum import Enum

# After the start of a drain: the front end polls each 100 ms, and sends new clients for 200 ms more.
DRAIN_SETTLE_MS = 300.0
# After SIGTERM new clients arrive for 400 ms.  Those with a connection go on using it, and until another
# scheduler is back from its own restart, this may be the only one for them.
STOP_GRACE_MS = 2500.0
MIN_RESPONSE_MS = 900.0  # from the end of the grace period to the end of the process, for responses
DRAINED_STOP_GRACE_MS = 500.0  # where a drain has sent the clients away already, and at least
BACKLOG_MS = 100.0  # for the listener's queue to empty, once new clients go to the successor
# SIGKILL comes 700 ms after the longest deadline of a class, of which 3 s count at most.
MAX_STOP_DEADLINE_MS, KILL_DELAY_MS = 3000.0, 700.0
KILL_MARGIN_MS = 300.0  # all requests are answered by this time before it
NEVER = float("inf")


class Phase(Enum):
    """State of the process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPING = "stopping"
    HANDING_OVER = "handing over"


class ProcessEvent(Enum):
    """What happens to the process.  The values are words of the operators' address."""

    READY = "ready"  # it listens, and can serve
    EVACUATE = "evacuate"
    ACTIVATE = "activate"
    STOP = "stop"  # SIGTERM
    SUCCESSOR = "successor"  # another process serves at the same address
    SUCCESSOR_GONE = "alone"  # that process has ended


@dataclass(frozen=True, slots=True)
class ServingState:
    """What the process does at a time."""

    phase: Phase
    up: bool  # whether health checks are answered with yes
    closing: bool  # connections close after their next response, idle ones at once
    accepting: bool  # the listener accepts connections
    keeps_upstream: bool  # connections to upstream hosts are kept between requests
    ended: bool  # all open requests get their final response now
    changes_at: float  # when the next change comes without an event


class ProcessLifecycle:
    """The events so far, with their times."""

    def __init__(self):
        self.ready = False
        self.max_deadline_ms = MAX_STOP_DEADLINE_MS  # of all classes
        self.draining_since: float | None = None
        self.stopping_since: float | None = None
        self._stop_ms = 0.0  # duration of the stop, as of its start
        self.successor_since: float | None = None  # when a successor began to serve

    def handle(self, now: float, event: ProcessEvent) -> str | None:
        """Take in an event; return why it is rejected, or None."""
        if event is ProcessEvent.READY:
            self.ready = True
        elif event is ProcessEvent.STOP:
            if self.stopping_since is None:
                # the platform counts from this event: settings that change later have no influence
                self.stopping_since, self._stop_ms = now, self.stop_ms
        elif event is ProcessEvent.SUCCESSOR:
            # once this process no longer accepts connections, a successor changes nothing
            if self.successor_since is None and self.serving_state(now).accepting:
                self.successor_since = now
        elif event is ProcessEvent.SUCCESSOR_GONE:
            # a closed listener can't be opened again: then the stop goes on as before
            if self.serving_state(now).accepting:
                self.successor_since = None
        elif self.stopping_since is not None:
            return "stopping"
        elif event is ProcessEvent.EVACUATE:
            self.draining_since = now if self.draining_since is None else self.draining_since
        else:
            self.draining_since = None
        return None

    @property
    def stop_ms(self) -> float:
        """Time from SIGTERM, if it came now, until all requests are answered."""
        return min(self.max_deadline_ms, MAX_STOP_DEADLINE_MS) + KILL_DELAY_MS - KILL_MARGIN_MS

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
        """The state that holds now."""
        close_at = leave_at = end_at = NEVER
        # beside a successor, health checks are answered with yes: it has the same address
        up = (
            self.ready
            and self.draining_since is None
            and (self.stopping_since is None or self.successor_since is not None)
        )
        if self.draining_since is not None:
            close_at = self.draining_since + DRAIN_SETTLE_MS
        if self.successor_since is not None:
            close_at = min(close_at, self.successor_since)
        if self.stopping_since is not None:
            end_at = self.stopping_since + self._stop_ms
            if self.successor_since is not None:
                leave_at = max(self.stopping_since, self.successor_since) + BACKLOG_MS
            elif self.draining_since is not None:
                leave_at = self.stopping_since + DRAINED_STOP_GRACE_MS
            else:
                leave_at = self.stopping_since + max(
                    min(STOP_GRACE_MS, self._stop_ms - MIN_RESPONSE_MS), DRAINED_STOP_GRACE_MS
                )
            leave_at = min(leave_at, end_at)
            close_at = min(close_at, leave_at)
        changes = [at for at in (close_at, leave_at, end_at) if at > now]
        accepting = leave_at > now
        return ServingState(
            self.phase, up and accepting, close_at <= now, accepting, self.successor_since is None,
            end_at <= now, min(changes, default=NEVER),
        )  # fmt: skip
