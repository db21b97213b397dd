"""Holds a stand-in's history against every view a client saw: monotone, complete, nothing invented."""

from collections.abc import Iterable

from ..registry.view import View
from .store import Committed


def states(history: Iterable[Committed], prefix: str) -> dict[tuple[int, int], dict[str, bytes]]:
    """What the keys under a prefix were at each (cluster, revision)."""
    found, now, cluster = {}, {}, None
    for event in history:
        if event.cluster != cluster:
            cluster, now = event.cluster, {}
        if event.key.startswith(prefix):
            if event.stored is None:
                now.pop(event.key, None)
            else:
                now[event.key] = event.stored.value
        found[cluster, event.revision] = dict(now)
    return found


def faults(history: Iterable[Committed], prefix: str, views: Iterable[View]) -> list[str]:
    """Every rule that a sequence of views broke; empty if none."""
    history = list(history)
    wrong, known, last, left = [], states(history, prefix), None, set()
    for view in views:
        # Consul names no cluster: there is but one
        cluster = int(view.cluster) if view.cluster.isdecimal() else history[-1].cluster
        if last is not None and cluster == last[0] and view.revision < last[1]:
            wrong.append(f"went back from {last[1]} to {view.revision}")
        if cluster in left:
            wrong.append(f"came back to cluster {cluster}, which was left")
        if last is not None and cluster != last[0]:
            left.add(last[0])
        last = (cluster, view.revision)
        # a revision may be another prefix's: the keys are then as they were at the last one before it
        at = max((r for c, r in known if c == cluster and r <= view.revision), default=None)
        want = {} if at is None else known[cluster, at]
        have = {key: entry.item.value for key, entry in view.entries.items()}
        for key in have.keys() - want.keys():
            wrong.append(f"revision {view.revision}: {key} is invented or should be gone")
        for key in want.keys() - have.keys():
            wrong.append(f"revision {view.revision}: {key} is missing")
        for key in have.keys() & want.keys():
            if have[key] != want[key]:
                wrong.append(f"revision {view.revision}: {key} has another value")
    return wrong
