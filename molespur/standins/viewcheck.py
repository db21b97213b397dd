"""A checker of the fleet view over the members' JSON logs: agreement, false deaths, incarnations.

Each member's log holds `fleet.started` at the start of each life, then `fleet.member` for every change of a
state in its view, and `fleet.refuted` when it raised its own incarnation.  The rules:

- after quiet, every live member's view is the same: it holds exactly the live members alive, and no suspect;
- no member that was live is held dead by another for longer than a stated time (0: never);
- incarnations only grow: in each view, for each member, and for a member's own from one life to the next.

Times are Unix seconds.  For tests and measurements; never imported by `serve`.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

EVENTS = ("fleet.started", "fleet.member", "fleet.refuted")


@dataclass(frozen=True, slots=True)
class Entry:
    at: float
    observer: str
    life: int  # the observer's life, counted from 1
    event: str
    fields: dict


def read(paths: Iterable[Path]) -> list[Entry]:
    """The fleet's lines of all logs, by time; lines that are not JSON are passed over."""
    found = []
    for path in paths:
        observer, life = None, 0
        for line in Path(path).read_text(errors="replace").splitlines():
            if not line.startswith("{"):
                continue
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            event = fields.get("event")
            if event not in EVENTS:
                continue
            if event == "fleet.started":
                observer, life = fields["member"], life + 1
            if observer is None:
                continue
            at = datetime.fromisoformat(fields["timestamp"].replace("Z", "+00:00")).timestamp()
            found.append(Entry(at, observer, life, event, fields))
    found.sort(key=lambda entry: entry.at)
    return found


def views(entries: list[Entry], at: float) -> dict[str, dict[str, tuple[str, int]]]:
    """Each observer's view in its last life begun by `at`: member to (state, incarnation)."""
    lives: dict[str, int] = {}
    seen: dict[str, dict[str, tuple[str, int]]] = {}
    for entry in entries:
        if entry.at > at:
            break
        if entry.event == "fleet.started":
            lives[entry.observer] = entry.life
            seen[entry.observer] = {}
        elif entry.event == "fleet.member" and lives.get(entry.observer) == entry.life:
            f = entry.fields
            seen[entry.observer][f["member"]] = (f["state"], f["incarnation"])
        elif entry.event == "fleet.refuted" and lives.get(entry.observer) == entry.life:
            seen[entry.observer][entry.observer] = ("alive", entry.fields["incarnation"])
    return seen


def disagreements(entries: list[Entry], live: set[str], at: float) -> list[str]:
    """Where a live member's view at `at` is not exactly the live members alive."""
    wrong = []
    held = views(entries, at)
    for observer in sorted(live):
        view = held.get(observer)
        if view is None:
            wrong.append(f"{observer}: no view")
            continue
        alive = {m for m, (state, _) in view.items() if state == "alive"}
        if alive != live:
            wrong.append(f"{observer}: holds {sorted(alive)} alive, not {sorted(live)}")
        suspects = sorted(m for m, (state, _) in view.items() if state == "suspect")
        if suspects:
            wrong.append(f"{observer}: still suspects {suspects}")
    return wrong


def false_deaths(
    entries: list[Entry], down: dict[str, list[tuple[float, float]]], end: float, most_s: float = 0.0
) -> list[str]:
    """Members held dead while they were live, for longer than `most_s`.

    `down` tells when each member was really away (killed, paused, cut off); a death whose time overlaps
    that is no false one.
    """
    wrong, since = [], {}
    for entry in entries:
        if entry.event != "fleet.member":
            continue
        member, state = entry.fields["member"], entry.fields["state"]
        key = (entry.observer, entry.life, member)
        if state == "dead":
            since[key] = entry.at
        elif key in since:
            _judge(wrong, key, since.pop(key), entry.at, down, most_s)
    for key, began in since.items():
        _judge(wrong, key, began, end, down, most_s)
    return wrong


def _judge(wrong, key, began, ended, down, most_s) -> None:
    observer, _, member = key
    away = down.get(member, [])
    if any(start - 1.0 <= began <= stop + 1.0 for start, stop in away):
        return
    if ended - began > most_s:
        wrong.append(f"{observer} held {member} dead for {ended - began:.1f} s while it was live")


def incarnations(entries: list[Entry]) -> list[str]:
    """Where an incarnation went down: in a view, or a member's own from one life to the next."""
    wrong, last, own = [], {}, {}
    for entry in entries:
        f = entry.fields
        if entry.event == "fleet.member":
            key = (entry.observer, entry.life, f["member"])
            if f["incarnation"] < last.get(key, -1):
                went = f"{last[key]} to {f['incarnation']}"
                wrong.append(f"{entry.observer} took {f['member']} down from {went}")
            last[key] = max(last.get(key, -1), f["incarnation"])
            if f["member"] == entry.observer:
                _own(wrong, own, entry, f["incarnation"])
        elif entry.event == "fleet.refuted":
            _own(wrong, own, entry, f["incarnation"])
    return wrong


def _own(wrong, own, entry, incarnation) -> None:
    life, highest = own.get(entry.observer, (entry.life, -1))
    if life != entry.life and incarnation <= highest:
        wrong.append(f"{entry.observer} began life {entry.life} at {incarnation}, not above {highest}")
    own[entry.observer] = (entry.life, max(highest, incarnation))
