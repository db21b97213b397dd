"""The simulator's wire: turns lines into events and actions into lines, and decides nothing."""

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
MAY_NUM, MAY_INT, MAY_TEXT, MAY_OBJ = NUM | {NONE}, INT | {NONE}, TEXT | {NONE}, OBJ | {NONE}
# The values of each event after its name and instance, in the wire's order.
SHAPES = {
    "SPAWN": (("randomSeed", INT), ("profileData", OBJ)),
    "EXIT": (),
    "BACKENDS_CHANGED": (("seqNo", INT), ("mode", TEXT), ("hosts", LIST | {NONE})),
    "SUBMIT": (
        ("id", INT), ("ramUnits", MAY_NUM), ("routeKey", MAY_INT), ("slots", MAY_NUM), ("workHint", MAY_NUM),
        ("timeLeft", NUM), ("clientGroup", MAY_TEXT), ("marks", MAY_INT), ("priority", TEXT),
    ),
    "BEGUN": (("id", INT), ("hop", INT), ("worker", TEXT), ("waitTime", MAY_NUM)),
    "HEARTBEAT": (("id", INT), ("worker", TEXT), ("topic", INT), ("x", MAY_NUM), ("hop", INT)),
    "CLOSED_ATTEMPT": (
        ("id", INT), ("hop", INT), ("waitTime", NUM), ("detail", MAY_INT), ("ending", INT), ("worker", TEXT),
        ("closed", BOOL | {NONE}), ("stats", MAY_OBJ),
    ),
    "TIMED_OUT_CLIENT": (("id", INT),),
    "REMINDER": (("tag", TEXT),),
    "PING_RESULT": (("worker", TEXT), ("waitTime", NUM), ("ending", INT), ("stats", MAY_OBJ)),
    "DATAGRAM": (("neighbour", INT), ("content", MAY_TEXT)),
}  # fmt: skip
LIVES = {"in_service": Lifecycle.IN_SERVICE, "terminating": Lifecycle.DRAINING, "terminated": Lifecycle.GONE}
encode, decode = json.JSONEncoder(separators=(",", ":")).encode, json.JSONDecoder().decode
HINT_VALID = 1  # a bit of marks


class WireError(Exception):
    """A line that the wire does not allow."""


def entry_from(row):
    """Build a WorkerEntry from one row of the list."""
    if type(row) is not list or len(row) < 7 or type(row[0]) is not str:
        raise WireError(f"BACKENDS_CHANGED: hosts: not an entry: {row!r}")
    worker, zone, kind, cell, life, power, born = row[:7]
    if life not in LIVES:
        raise WireError(f"BACKENDS_CHANGED: hosts: unknown lifecycle {life!r} of {worker}")
    if type(power) not in MAY_NUM or type(born) not in MAY_NUM:
        raise WireError(f"BACKENDS_CHANGED: hosts: powerHint and born of {worker} must be numbers")
    return WorkerEntry(worker, zone or "", kind or "", cell or 0, LIVES[life], power or 1.0, born or 0.0)


def outcome_from(tag, code):
    try:
        return Outcome(code)
    except ValueError:
        raise WireError(f"{tag}: unknown ending {code!r}") from None


def event_from(tag, values):
    """Build the library's event for one wire line whose values have passed the shape check."""
    if tag == "SUBMIT":
        request, memory, key, slots, hint, left, tenant, marks, name = values
        marks = marks or 0
        hint = hint if marks & HINT_VALID else None
        return Submitted(request, name, left, slots or 1.0, memory or 0.0, key, hint, tenant)
    if tag == "CLOSED_ATTEMPT":
        request, hop, waited, _, ending, _, closed, stats = values
        report = report_from(stats)
        return AttemptEnded(request, hop, outcome_from(tag, ending), waited, bool(closed), report)
    if tag == "HEARTBEAT":
        request, _, topic, share, hop = values
        return Progressed(request, hop, (share or 0.0) if topic == 2 else None) if topic in (1, 2) else None
    if tag == "REMINDER":
        return TimerFired(values[0])
    if tag == "PING_RESULT":
        worker, waited, ending, stats = values
        return ProbeEnded(worker, outcome_from(tag, ending), waited, report_from(stats))
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
    return None  # DATAGRAM: this library sends none


def line_from(who, action):
    """Render one action as the wire's array."""
    kind = type(action)
    if kind is Send:
        return ["SEND", who, action.request, action.worker, action.timeout_ms]
    if kind is SetTimer:
        return ["WAKE_ME", who, action.delay_ms, action.tag]
    if kind is Probe:
        return ["SOUND_OUT", who, action.worker]
    if kind is Refuse:
        return ["REFUSE", who, action.request, action.pause_ms]
    if kind is Cancel:
        return ["RETRACT", who, action.request, action.attempt]
    if kind is Fail:
        return ["SURRENDER", who, action.request]
    assert kind is Watch, action
    return ["WATCH", who, True]


class Link:
    """The instances hosted by one process and the batches that reach them."""

    def __init__(self):
        self.instances = {}
        self.now = None

    def handle_line(self, message, out):
        """Handle one event line of a batch, appending reply lines to out."""
        tag = message[0]
        shape = SHAPES.get(tag)
        if shape is None:
            raise WireError(f"unknown event {tag!r}")
        if len(message) < 2 + len(shape):
            raise WireError(f"{tag}: {len(message) - 1} values, at least {1 + len(shape)} wanted")
        who = message[1]
        if type(who) is not int:
            raise WireError(f"{tag}: who: wrong value {who!r}")
        try:
            values = message[2 : 2 + len(shape)]
            for value, (name, types) in zip(values, shape, strict=True):
                if type(value) not in types:
                    raise WireError(f"{tag}: {name}: wrong value {value!r}")
            if tag == "SPAWN":
                try:
                    self.instances[who] = Dispatcher(read_settings(values[1], "profileData")[0], values[0])
                except ConfigError as problem:
                    raise WireError(f"SPAWN: {problem}") from None
                event = Started()
            elif tag == "EXIT":
                self.instances.pop(who, None)
                return
            else:
                event = event_from(tag, values)
            instance = self.instances.get(who)
            if instance is None:
                raise WireError(f"{tag}: instance {who} has not been started")
            if event is not None:
                for action in instance.handle(self.now, event):
                    out.append(line_from(who, action))
        except (WireError, ValueError) as problem:
            out.append(["EXCEPTION", who, str(problem)])

    def run(self, lines, write):
        """Answer batches until the input ends."""
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
            except WireError as problem:
                raise WireError(f"line {number}: {problem}") from None


def main():
    """Speak the wire on standard input and output."""

    def write(text):
        sys.stdout.write(text)
        sys.stdout.flush()

    try:
        Link().run(sys.stdin, write)
    except WireError as problem:
        sys.exit(f"benchlink: {problem}")


if __name__ == "__main__":
    main()
