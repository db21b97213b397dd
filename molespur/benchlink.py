"""The simulator's wire protocol: lines become events, and actions become lines.  It decides nothing."""

import json
import sys

from .config import ConfigError, read_settings, report_from
from .interface import (
    AttemptEnded,
    Cancel,
    ClientGone,
    Fail,
    FleetUpdate,
    Lifecycle,
    Outcome,
    Probe,
    ProbeEnded,
    Progressed,
    Refuse,
    Send,
    SetTimer,
    Started,
    StreamBegun,
    Submitted,
    TimerFired,
    UpdateMode,
    Watch,
    WorkerEntry,
)
from .logic import Dispatcher

NONE = type(None)
INT, NUM, TEXT, BOOL, OBJ, LIST = {int}, {int, float}, {str}, {bool}, {dict}, {list}
OPT_NUM, OPT_INT, OPT_TEXT, OPT_OBJ = NUM | {NONE}, INT | {NONE}, TEXT | {NONE}, OBJ | {NONE}
# The values of each event, in the order of the wire, after the name of the event and its instance.
SHAPES = {
    "SPAWN": (("randomSeed", INT), ("profileData", OBJ)),
    "EXIT": (),
    "BACKENDS_CHANGED": (("seqNo", INT), ("mode", TEXT), ("hosts", LIST | {NONE})),
    "SUBMIT": (
        ("id", INT), ("ramUnits", OPT_NUM), ("routeKey", OPT_INT), ("slots", OPT_NUM), ("workHint", OPT_NUM),
        ("timeLeft", NUM), ("clientGroup", OPT_TEXT), ("marks", OPT_INT), ("priority", TEXT),
    ),
    "BEGUN": (("id", INT), ("hop", INT), ("worker", TEXT), ("waitTime", OPT_NUM)),
    "HEARTBEAT": (("id", INT), ("worker", TEXT), ("topic", INT), ("x", OPT_NUM), ("hop", INT)),
    "CLOSED_ATTEMPT": (
        ("id", INT), ("hop", INT), ("waitTime", NUM), ("detail", OPT_INT), ("ending", INT), ("worker", TEXT),
        ("closed", BOOL | {NONE}), ("stats", OPT_OBJ),
    ),
    "TIMED_OUT_CLIENT": (("id", INT),),
    "REMINDER": (("tag", TEXT),),
    "PING_RESULT": (("worker", TEXT), ("waitTime", NUM), ("ending", INT), ("stats", OPT_OBJ)),
    "DATAGRAM": (("neighbour", INT), ("content", OPT_TEXT)),
}  # fmt: skip
LIFECYCLES = {
    "in_service": Lifecycle.IN_SERVICE,
    "terminating": Lifecycle.DRAINING,
    "terminated": Lifecycle.GONE,
}
encode, decode = json.JSONEncoder(separators=(",", ":")).encode, json.JSONDecoder().decode
HINT_VALID = 1  # bit of the value `marks`


class WireError(Exception):
    """A line that breaks the protocol."""


def entry_from(row):
    """Build a WorkerEntry from one row of `hosts`."""
    if type(row) is not list or len(row) < 7 or type(row[0]) is not str:
        raise WireError(f"BACKENDS_CHANGED: hosts: not an entry: {row!r}")
    worker, zone, kind, cell, lifecycle, power, started_at = row[:7]
    if lifecycle not in LIFECYCLES:
        raise WireError(f"BACKENDS_CHANGED: hosts: unknown lifecycle {lifecycle!r} of {worker}")
    if type(power) not in OPT_NUM or type(started_at) not in OPT_NUM:
        raise WireError(f"BACKENDS_CHANGED: hosts: powerHint and born of {worker} must be numbers")
    return WorkerEntry(
        worker, zone or "", kind or "", cell or 0, LIFECYCLES[lifecycle], power or 1.0, started_at or 0.0
    )


def outcome_from(tag, code):
    try:
        return Outcome(code)
    except ValueError:
        raise WireError(f"{tag}: unknown ending {code!r}") from None


def event_from(tag, values):
    """Build the event of a line whose values have passed the type check; None for one that is ignored."""
    if tag == "SUBMIT":
        request, memory, key, slots, hint, time_left, tenant, marks, job_class = values
        marks = marks or 0
        hint = hint if marks & HINT_VALID else None
        return Submitted(request, job_class, time_left, slots or 1.0, memory or 0.0, key, hint, tenant)
    if tag == "CLOSED_ATTEMPT":
        request, attempt, elapsed, _, ending, _, answered, stats = values
        report = report_from(stats)
        return AttemptEnded(request, attempt, outcome_from(tag, ending), elapsed, bool(answered), report)
    if tag == "HEARTBEAT":
        request, _, topic, share, attempt = values
        return (
            Progressed(request, attempt, (share or 0.0) if topic == 2 else None) if topic in (1, 2) else None
        )
    if tag == "REMINDER":
        return TimerFired(values[0])
    if tag == "PING_RESULT":
        worker, elapsed, ending, stats = values
        return ProbeEnded(worker, outcome_from(tag, ending), elapsed, report_from(stats))
    if tag == "BACKENDS_CHANGED":
        try:
            mode = UpdateMode(values[1].lower())
        except ValueError:
            raise WireError(f"BACKENDS_CHANGED: unknown mode {values[1]!r}") from None
        return FleetUpdate(mode, tuple(entry_from(row) for row in values[2] or ()))
    if tag == "TIMED_OUT_CLIENT":
        return ClientGone(values[0])
    if tag == "BEGUN":
        return StreamBegun(values[0], values[1])
    return None  # DATAGRAM: dispatchers exchange none here


def line_from(instance_id, action):
    """The wire's array for an action."""
    kind = type(action)
    if kind is Send:
        return ["SEND", instance_id, action.request, action.worker, action.timeout_ms]
    if kind is SetTimer:
        return ["WAKE_ME", instance_id, action.delay_ms, action.tag]
    if kind is Probe:
        return ["SOUND_OUT", instance_id, action.worker]
    if kind is Refuse:
        return ["REFUSE", instance_id, action.request, action.pause_ms]
    if kind is Cancel:
        return ["RETRACT", instance_id, action.request, action.attempt]
    if kind is Fail:
        return ["SURRENDER", instance_id, action.request]
    assert kind is Watch, action
    return ["WATCH", instance_id, True]


class Simulation:
    """The dispatchers of one process, and the batches of events for them."""

    def __init__(self):
        self.instances = {}
        self.now = None

    def handle_line(self, message, out):
        """Handle one event of a batch, and append the replies to out."""
        tag = message[0]
        shape = SHAPES.get(tag)
        if shape is None:
            raise WireError(f"unknown event {tag!r}")
        if len(message) < 2 + len(shape):
            raise WireError(f"{tag}: {len(message) - 1} values, at least {1 + len(shape)} wanted")
        instance_id = message[1]
        if type(instance_id) is not int:
            raise WireError(f"{tag}: who: wrong value {instance_id!r}")
        try:
            values = message[2 : 2 + len(shape)]
            for value, (name, types) in zip(values, shape, strict=True):
                if type(value) not in types:
                    raise WireError(f"{tag}: {name}: wrong value {value!r}")
            if tag == "SPAWN":
                try:
                    self.instances[instance_id] = Dispatcher(
                        read_settings(values[1], "profileData")[0], values[0]
                    )
                except ConfigError as error:
                    raise WireError(f"SPAWN: {error}") from None
                event = Started()
            elif tag == "EXIT":
                self.instances.pop(instance_id, None)
                return
            else:
                event = event_from(tag, values)
            dispatcher = self.instances.get(instance_id)
            if dispatcher is None:
                raise WireError(f"{tag}: instance {instance_id} has not been started")
            if event is not None:
                for action in dispatcher.handle(self.now, event):
                    out.append(line_from(instance_id, action))
        except (WireError, ValueError) as error:
            out.append(["EXCEPTION", instance_id, str(error)])

    def run(self, lines, write):
        """Reply to batches until the input ends."""
        out = []
        for number, line in enumerate(lines, 1):
            try:
                message = decode(line)
            except ValueError:
                raise WireError(f"line {number}: not JSON: {line.strip()[:80]!r}") from None
            if type(message) is not list or not message:
                raise WireError(f"line {number}: not an array: {line.strip()[:80]!r}")
            tag = message[0]
            try:
                if tag == "BATCH":
                    if len(message) < 2 or type(message[1]) not in NUM:
                        raise WireError("BATCH: no clock")
                    if self.now is not None and message[1] < self.now:
                        raise WireError(f"BATCH: clock {message[1]} runs backwards")
                    self.now = message[1]
                elif self.now is None:
                    raise WireError(f"{tag!r} before the first BATCH")
                elif tag == "COMMIT":
                    out.append(["OK"])
                    write("".join(encode(row) + "\n" for row in out))
                    out = []
                else:
                    self.handle_line(message, out)
            except WireError as error:
                raise WireError(f"line {number}: {error}") from None


def main():
    """Run the protocol on standard input and output."""

    def write(text):
        sys.stdout.write(text)
        sys.stdout.flush()

    try:
        Simulation().run(sys.stdin, write)
    except WireError as error:
        sys.exit(f"benchlink: {error}")


if __name__ == "__main__":
    main()
