"""Small fleets of workers, and shorthands for events and actions, shared by the tests."""

from molespur import Dispatcher, Settings
from molespur.interface import (
    AttemptEnded,
    Effect,
    FleetUpdate,
    Group,
    JobClass,
    Lifecycle,
    Outcome,
    Started,
    Submitted,
    UpdateMode,
    WorkerEntry,
)

SAFE = JobClass("safe", aim_ms=500, deadline_ms=5000, aim_stretch=2)
UNSAFE = JobClass("unsafe", aim_ms=500, deadline_ms=5000, effect=Effect.UNSAFE, priority=1, worth=5)
KEYED = {
    g: JobClass(f"keyed-{g.value}", 500, 5000, effect=Effect.KEYED, group=g, key_ttl_ms=2000, priority=1)
    for g in Group
}
CLASSES = (SAFE, UNSAFE, *KEYED.values())


def make_dispatcher(seed=1, **changes):
    defaults = {
        "classes": CLASSES, "max_attempts": 4, "may_cancel": True, "tells_start": True, "progress_ms": 1000.0,
        "cold_start_share": 0.25, "cold_ms": 8000.0, "cold_multiple": 3.0, "cold_window_ms": 1000.0,
    }  # fmt: skip
    dispatcher = Dispatcher(Settings(**(defaults | changes)), seed)
    dispatcher.handle(0.0, Started())
    return dispatcher


def entry(name, zone="a", kind="k", cell=0, lifecycle=Lifecycle.IN_SERVICE, power=4.0, started_at=0.0):
    return WorkerEntry(name, zone, kind, cell, lifecycle, power, started_at)


def update_fleet(dispatcher, *entries, now=1.0, mode=UpdateMode.COMPLETE):
    return dispatcher.handle(now, FleetUpdate(mode, entries))


def submit(dispatcher, request, name="safe", now=2.0, left=5000.0, **more):
    return dispatcher.handle(now, Submitted(request, name, left, **more))


def end_attempt(dispatcher, request, outcome, now, attempt=0, answered=None, elapsed=50.0, report=None):
    answered = outcome is Outcome.OK if answered is None else answered
    return dispatcher.handle(now, AttemptEnded(request, attempt, outcome, elapsed, answered, report))


def actions_of(actions, kind):
    return [a for a in actions if isinstance(a, kind)]
