"""Counts the outcomes of requests and of calls to workers since the start of the process."""

from collections import Counter
from dataclasses import dataclass, field

from .endings import EndReason

WORKER = "worker"  # the source of a response that comes from a worker


@dataclass(slots=True)
class RequestCounts:
    """Responses by (status, source); calls by (phase, outcome).  A source is "worker" or an error kind.

    `ended`: requests by what has ended their responses; each ends once.
    """

    responses: Counter[tuple[str, str]] = field(default_factory=Counter)
    calls: Counter[tuple[str, str]] = field(default_factory=Counter)
    ended: Counter[EndReason] = field(default_factory=Counter)
