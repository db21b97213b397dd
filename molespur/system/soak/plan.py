"""The faults of a soak, determined by its seed: what happens to which process, and when.  Pure.

Times are seconds from the start of traffic.  Faults of schedulers and workers come at any time and in
overlapping series.  Of the control plane one machine at a time is lost, which is what the fleet has to
tolerate (`FaultTolerance`), and the next one at least `SYNC_S` after it is back.
"""

from dataclasses import dataclass
from enum import Enum
from random import Random

SYNC_S = 4.0  # a machine counts as lost for this long after it is back
QUIET_S = 6.0  # no fault starts in the last seconds
SCHEDULER_GAP_S = (0.6, 3.0)
CONTROL_GAP_S = (0.5, 3.0)
WORKER_GAP_S = (1.0, 4.0)
MAX_SERIES = 3  # faults that follow each other at `SERIES_GAP_S`
SERIES_GAP_S = 0.3


class Fault(Enum):
    """The kinds of faults; the values are printed in the report."""

    SCHEDULER_STOP = "scheduler stopped and started"
    SCHEDULER_KILL = "scheduler killed"
    SCHEDULER_FREEZE = "scheduler frozen"
    SCHEDULER_RELOAD = "scheduler told to read its settings again"
    SCHEDULER_RENAME = "scheduler replaced by one of another name and address"
    CONTROL_STOP = "control plane stopped and started"
    CONTROL_KILL = "control plane killed"
    CONTROL_POWER = "control plane without power, what it had not synced is lost"
    CONTROL_FREEZE = "control plane frozen"
    CONTROL_RELOAD = "control plane told to read its settings again"
    CONTROL_WIPE = "control plane killed, its disk lost"
    CONTROL_REPLACE = "control plane replaced, planned"
    CONTROL_CUT = "control plane cut off from the others"
    CONTROL_NOT_HEARD = "control plane not heard by the others"
    CONTROL_NOT_HEARING = "control plane not hearing the others"
    CONTROL_RESET = "connections of the control plane reset"
    CONTROL_DELAY = "links of the control plane slow"
    WORKER_CRASH = "worker lost"
    WORKER_DRAIN = "worker leaves"
    WORKER_REST = "worker rests: all its answers stand still"
    WORKER_SLOW = "worker slow"
    WORKER_REFUSE = "worker puts requests back"
    WORKER_BREAK = "worker breaks answers off"
    WORKER_CUT = "worker cut off from schedulers"
    WORKER_RESET = "connections of a worker reset"


SCHEDULER_FAULTS = (
    Fault.SCHEDULER_STOP, Fault.SCHEDULER_STOP, Fault.SCHEDULER_KILL, Fault.SCHEDULER_FREEZE,
    Fault.SCHEDULER_RELOAD, Fault.SCHEDULER_RENAME,
)  # fmt: skip
CONTROL_FAULTS = tuple(fault for fault in Fault if fault.name.startswith("CONTROL"))
WORKER_FAULTS = (Fault.WORKER_CRASH, Fault.WORKER_DRAIN, Fault.WORKER_DRAIN)
WORKER_LINK_FAULTS = (Fault.WORKER_CUT, Fault.WORKER_RESET)
WORKER_BEHAVIORS = (
    Fault.WORKER_REST, Fault.WORKER_REST, Fault.WORKER_SLOW, Fault.WORKER_REFUSE,
    Fault.WORKER_BREAK,
)  # fmt: skip
HARMLESS = (Fault.CONTROL_RELOAD, Fault.CONTROL_RESET)  # the machine stays available


@dataclass(frozen=True, slots=True)
class Event:
    """One fault: `choice` in [0, 1) selects its target among those that are available then."""

    at: float
    fault: Fault
    for_s: float
    choice: float


def create_events(seed: int, length_s: float) -> list[Event]:
    """Return all events of a run, ordered by time."""
    random = Random(seed)
    events = [
        *_series(random, length_s, SCHEDULER_FAULTS, SCHEDULER_GAP_S),
        *_control_events(random, length_s),
        *_series(random, length_s, WORKER_FAULTS, WORKER_GAP_S),
        *_series(random, length_s, WORKER_BEHAVIORS, WORKER_GAP_S),
        *_series(random, length_s, WORKER_LINK_FAULTS, WORKER_GAP_S),
    ]
    return sorted(events, key=lambda event: event.at)


def _event(random: Random, at: float, faults: tuple[Fault, ...]) -> Event:
    return Event(at, random.choice(faults), random.uniform(0.4, 5.0), random.random())


def _series(random: Random, length_s: float, faults: tuple[Fault, ...], gap: tuple[float, float]):
    at = random.uniform(*gap)
    while at < length_s - QUIET_S:
        for number in range(random.randint(1, MAX_SERIES)):
            yield _event(random, at + number * SERIES_GAP_S, faults)
        at += random.uniform(*gap)


def _control_events(random: Random, length_s: float):
    at = random.uniform(*CONTROL_GAP_S)
    while at < length_s - QUIET_S:
        event = _event(random, at, CONTROL_FAULTS)
        yield event
        at += random.uniform(*CONTROL_GAP_S)
        if event.fault not in HARMLESS:
            at += event.for_s + SYNC_S
