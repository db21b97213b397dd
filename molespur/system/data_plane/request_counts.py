"""Counts of what has become of requests and of calls to workers since the start."""

from collections import Counter
from dataclasses import dataclass, field

from .endings import EndReason

WORKER = "worker"  # the source of an answer that a worker has given


@dataclass(slots=True)
class RequestCounts:
    """Answers by (status, source), the source a worker or an error kind; calls by (part, outcome).

    `ended`: requests by what has ended their answers; each ends once.
    """

    answers: Counter[tuple[str, str]] = field(default_factory=Counter)
    calls: Counter[tuple[str, str]] = field(default_factory=Counter)
    ended: Counter[EndReason] = field(default_factory=Counter)
