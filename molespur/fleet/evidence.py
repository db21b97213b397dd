"""Evidence against workers: request counts that the schedulers share, with their origin.  Pure.

Each member counts, over its own sliding window, the upstream requests to each worker that ended and how many
of them failed (a failure, a timeout, or a response far too slow).  It reports these counts to the worker's
*judges*, a few members chosen by hashing.  The latest counts of a member's instance replace all earlier ones,
so reports may be duplicated, delayed or reordered.  No clocks are compared: counts age on the clock of the
member that holds them.

A worker is bad for the fleet when two conditions hold.  Of the members that sent it anything, at least the
share `ratio` found at least `ratio` of their own requests failed.  These members are at least `quorum` with
`least` failures between them, or two with `volume`.  So one member's bad path alone never makes a worker bad
for all, however much it sends, nor does that of a part of the fleet while the larger part is served.
"""

from collections import deque
from dataclasses import dataclass

from .sharing import RequestCounts, SharingConfig

BUCKETS = 10  # of a window: old counts expire a tenth of it at a time
MAX_FAILURES_PER_MEMBER = 20  # failures of one member that count towards `least` and `volume`


@dataclass(frozen=True, slots=True)
class Verdict:
    bad: bool
    against: int  # members whose own counts found it bad
    voices: int  # members that sent it anything
    failed: int  # failures seen by the members against it


class RequestWindow:
    """This member's recent requests, by worker."""

    def __init__(self, config: SharingConfig):
        self.config = config
        self._buckets: deque[tuple[int, dict[str, list[int]]]] = deque()

    def record(self, worker: str, failed: bool, now: float) -> bool:
        """One upstream request ended; False where there is no room for another worker."""
        number = int(now // (self.config.window_ms / BUCKETS))
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, {}))
        bucket = self._buckets[-1][1]
        if worker not in bucket and len(bucket) >= self.config.max_workers:
            return False
        counts = bucket.setdefault(worker, [0, 0])
        counts[0] += 1
        counts[1] += failed
        return True

    def forget(self, worker: str) -> None:
        """Drop all counts of a worker."""
        for _, bucket in self._buckets:
            bucket.pop(worker, None)

    def counts(self, now: float) -> dict[str, RequestCounts]:
        """Counts over the window, by worker."""
        oldest = int(now // (self.config.window_ms / BUCKETS)) - BUCKETS
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()
        found: dict[str, list[int]] = {}
        for _, bucket in self._buckets:
            for worker, (sent, failed) in bucket.items():
                counts = found.setdefault(worker, [0, 0])
                counts[0] += sent
                counts[1] += failed
        return {worker: RequestCounts(worker, *counts) for worker, counts in found.items()}


class Evidence:
    """What a judge knows of each worker: the latest counts of each member."""

    def __init__(self, config: SharingConfig):
        self.config = config
        # worker -> member -> ((instance, seq), when received, counts)
        self.reports: dict[str, dict[str, tuple[tuple[int, int], float, RequestCounts]]] = {}

    def record(self, member: str, order: tuple[int, int], counts: RequestCounts, now: float) -> str:
        """Take a member's counts; "" or the reason why not."""
        if counts.failed > counts.sent:
            return "absurd"
        if counts.worker not in self.reports and len(self.reports) >= self.config.max_workers:
            return "no_room"
        members = self.reports.setdefault(counts.worker, {})
        held = members.get(member)
        if held is not None and held[0] >= order:
            return "old"
        if held is None and len(members) >= 2 * max(self.config.size, 16):
            return "no_room"
        members[member] = (order, now, counts)
        return ""

    def expire(self, now: float) -> None:
        for worker, members in list(self.reports.items()):
            for member in [m for m, (_, at, _) in members.items() if now - at >= self.config.window_ms]:
                del members[member]
            if not members:
                del self.reports[worker]

    def verdict(self, worker: str) -> Verdict:
        """Whether the evidence makes a worker bad, and its origin."""
        config = self.config
        voices = [counts for _, _, counts in self.reports.get(worker, {}).values() if counts.sent]
        against = [c for c in voices if c.failed and c.failed >= config.ratio * c.sent]
        failed = sum(min(c.failed, MAX_FAILURES_PER_MEMBER) for c in against)
        enough = len(against) >= config.quorum and failed >= config.least
        enough = enough or (len(against) >= 2 and failed >= config.volume)
        bad = enough and len(against) >= config.ratio * len(voices)
        return Verdict(bad, len(against), len(voices), failed)
