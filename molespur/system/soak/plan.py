"""The course of a soak, from its seed alone: what happens to which process, and when.  Pure.

Times are seconds from the start of traffic.  Schedulers are troubled at any time and in overlapping
series.  Of the control plane one machine at a time is lost, which is what the fleet is told to bear
(`FaultTolerance`), and none again before `SYNC_S` have passed since it was back.
"""

from dataclasses import dataclass
from enum import Enum
from random import Random

SYNC_S = 4.0  # a machine counts as lost for this long after it is back
QUIET_S = 6.0  # nothing new happens in the last seconds
SCHEDULER_GAP_S = (0.6, 3.0)
CONTROL_GAP_S = (0.5, 3.0)
WORKER_GAP_S = (1.0, 4.0)
SERIES = 3  # at most so many troubles follow at once
SERIES_GAP_S = 0.3


class Trouble(Enum):
    """What may happen."""

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


SCHEDULER_TROUBLES = (
    Trouble.SCHEDULER_STOP, Trouble.SCHEDULER_STOP, Trouble.SCHEDULER_KILL, Trouble.SCHEDULER_FREEZE,
    Trouble.SCHEDULER_RELOAD, Trouble.SCHEDULER_RENAME,
)  # fmt: skip
CONTROL_TROUBLES = tuple(trouble for trouble in Trouble if trouble.name.startswith("CONTROL"))
WORKER_TROUBLES = (Trouble.WORKER_CRASH, Trouble.WORKER_DRAIN, Trouble.WORKER_DRAIN)
WORKER_LINKS = (Trouble.WORKER_CUT, Trouble.WORKER_RESET)
WORKER_MOODS = (
    Trouble.WORKER_REST, Trouble.WORKER_REST, Trouble.WORKER_SLOW, Trouble.WORKER_REFUSE,
    Trouble.WORKER_BREAK,
)  # fmt: skip
HARMLESS = (Trouble.CONTROL_RELOAD, Trouble.CONTROL_RESET)  # the machine is not lost by it


@dataclass(frozen=True, slots=True)
class Event:
    """One trouble: `choice` in [0, 1) picks whom it strikes among those that are there then."""

    at: float
    trouble: Trouble
    for_s: float
    choice: float


def make(seed: int, length_s: float) -> list[Event]:
    """All events of a run, in order of time."""
    random = Random(seed)
    events = [
        *_series(random, length_s, SCHEDULER_TROUBLES, SCHEDULER_GAP_S),
        *_one_at_a_time(random, length_s),
        *_series(random, length_s, WORKER_TROUBLES, WORKER_GAP_S),
        *_series(random, length_s, WORKER_MOODS, WORKER_GAP_S),
        *_series(random, length_s, WORKER_LINKS, WORKER_GAP_S),
    ]
    return sorted(events, key=lambda event: event.at)


def _event(random: Random, at: float, troubles: tuple[Trouble, ...]) -> Event:
    return Event(at, random.choice(troubles), random.uniform(0.4, 5.0), random.random())


def _series(random: Random, length_s: float, troubles: tuple[Trouble, ...], gap: tuple[float, float]):
    at = random.uniform(*gap)
    while at < length_s - QUIET_S:
        for number in range(random.randint(1, SERIES)):
            yield _event(random, at + number * SERIES_GAP_S, troubles)
        at += random.uniform(*gap)


def _one_at_a_time(random: Random, length_s: float):
    at = random.uniform(*CONTROL_GAP_S)
    while at < length_s - QUIET_S:
        event = _event(random, at, CONTROL_TROUBLES)
        yield event
        at += random.uniform(*CONTROL_GAP_S)
        if event.trouble not in HARMLESS:
            at += event.for_s + SYNC_S
