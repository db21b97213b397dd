"""Judgements on records workers from evidence that the schedulers share, with its origin.  Pure.

Each member counts, over its own sliding window, the upstream requests to each worker that ended and how
many of them failed (a failure, a timeout, an answer far too slow).  It tells these counts to the worker's
*judges*, a few members chosen by hashing.  The latest counts of a member's life stand for all before: they
may come twice, late or in any order.  No clocks are compared: counts age on the clock of whoever holds them.

A worker is bad for the fleet when, of the members that sent it anything, at least the share `ratio` found
at least `ratio` of their own requests failed, and these are at least `quorum` members with `least` failures
between them, or two with `volume`.  One member's bad path alone never makes a worker bad for all, however
much it sends, nor does a part of the fleet's while the larger part is served.
"""

from collections import deque
from dataclasses import dataclass

from .sharing import RequestCounts, SharingConfig

BUCKETS = 10  # of a window: old counts go by a tenth of it
LOUD = 20  # requests of one member that count for a volume at most


@dataclass(frozen=True, slots=True)
class Verdict:
    bad: bool
    against: int  # members whose own counts found it bad
    voices: int  # members that sent it anything
    failed: int  # failures that those against it saw


class Own:
    """What this member saw lately, by worker."""

    def __init__(self, share: SharingConfig):
        self.share = share
        self._buckets: deque[tuple[int, dict[str, list[int]]]] = deque()

    def saw(self, worker: str, failed: bool, now: float) -> bool:
        """One upstream request ended; False where there is no room for another worker."""
        number = int(now // (self.share.window_ms / BUCKETS))
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, {}))
        bucket = self._buckets[-1][1]
        if worker not in bucket and len(bucket) >= self.share.most_workers:
            return False
        counts = bucket.setdefault(worker, [0, 0])
        counts[0] += 1
        counts[1] += failed
        return True

    def forget(self, worker: str) -> None:
        """Begin anew with a worker."""
        for _, bucket in self._buckets:
            bucket.pop(worker, None)

    def window(self, now: float) -> dict[str, RequestCounts]:
        """Counts over the window, by worker."""
        oldest = int(now // (self.share.window_ms / BUCKETS)) - BUCKETS
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
    """What a judge has been told: of each worker, each member's latest counts."""

    def __init__(self, share: SharingConfig):
        self.share = share
        # worker -> member -> ((life, seq), when heard, counts)
        self.told: dict[str, dict[str, tuple[tuple[int, int], float, RequestCounts]]] = {}

    def tell(self, member: str, order: tuple[int, int], seen: RequestCounts, now: float) -> str:
        """Take a member's counts in; "" or why not."""
        if seen.failed > seen.sent:
            return "absurd"
        if seen.worker not in self.told and len(self.told) >= self.share.most_workers:
            return "no_room"
        members = self.told.setdefault(seen.worker, {})
        held = members.get(member)
        if held is not None and held[0] >= order:
            return "old"
        if held is None and len(members) >= 2 * max(self.share.size, 16):
            return "no_room"
        members[member] = (order, now, seen)
        return ""

    def expire(self, now: float) -> None:
        for worker, members in list(self.told.items()):
            for member in [m for m, (_, at, _) in members.items() if now - at >= self.share.window_ms]:
                del members[member]
            if not members:
                del self.told[worker]

    def verdict(self, worker: str) -> Verdict:
        """What the evidence says of a worker."""
        share = self.share
        voices = [seen for _, _, seen in self.told.get(worker, {}).values() if seen.sent]
        against = [seen for seen in voices if seen.failed and seen.failed >= share.ratio * seen.sent]
        failed = sum(min(seen.failed, LOUD) for seen in against)
        enough = len(against) >= share.quorum and failed >= share.least
        enough = enough or (len(against) >= 2 and failed >= share.volume)
        bad = enough and len(against) >= share.ratio * len(voices)
        return Verdict(bad, len(against), len(voices), failed)
