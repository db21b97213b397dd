"""The figures: counts in, text out.  Pure."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..net.counters import FINAL_RESPONSES, LOAD_ERRORS, LOADS, UPSTREAM_TRIES, response_counter


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
        if end in FINAL_RESPONSES:
            names[job_class] = None
    found = {
        response_counter(end, name): counts.get(response_counter(end, name), 0)
        for end in FINAL_RESPONSES
        for name in names
    }
    found |= {key: counts.get(key, 0) for key in (UPSTREAM_TRIES, LOADS, LOAD_ERRORS)}
    found |= {
        "in_progress": gauges.in_progress,
        "known_records_workers": gauges.known,
        "skipped_records_workers": gauges.skipped,
    }
    return [f"app.{key}={value}" for key, value in found.items()]
