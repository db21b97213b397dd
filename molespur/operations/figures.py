"""The figures: counts in, text out.  Pure."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..net.counters import ENDS, LOAD_ERRORS, LOADS, TRIES, end_of


@dataclass(frozen=True, slots=True)
class Gauges:
    """What is so now, beside what was counted."""

    in_progress: int
    known: int
    skipped: int


def figures(counts: Mapping[str, int], classes: Iterable[str], gauges: Gauges) -> list[str]:
    """One line a figure.  A class that was dropped from the settings keeps its counts."""
    names = dict.fromkeys(classes)
    for key in counts:
        end, _, job_class = key.partition(".")
        if end in ENDS:
            names[job_class] = None
    found = {end_of(end, name): counts.get(end_of(end, name), 0) for end in ENDS for name in names}
    found |= {key: counts.get(key, 0) for key in (TRIES, LOADS, LOAD_ERRORS)}
    found |= {
        "in_progress": gauges.in_progress,
        "known_records_workers": gauges.known,
        "skipped_records_workers": gauges.skipped,
    }
    return [f"app.{key}={value}" for key, value in found.items()]
