"""Judgements on records workers from evidence that the schedulers share, with its origin.  Pure.

Each member counts, for each worker and window of `window_ms`, the upstream requests it sent and how many of
them failed (a failure, a timeout, an answer too slow).  Counts go to the others as deltas of G-counters: a
member's own entry only grows, and a merge takes the larger, so that deltas may come twice, late or in any
order.  Windows older than `windows` go, and with them the judgement: it ages out.

A worker is bad for the fleet when, over the windows kept, at least `quorum` members each saw `least` requests
to it of which at least `ratio` failed, or when the fleet's failures reach `volume` with that ratio, from two
members at least.  One member's bad path alone never makes a worker bad for all, however much it sends.
"""

from dataclasses import dataclass

import msgspec


class Seen(msgspec.Struct, frozen=True, array_like=True):
    """One member's counts for one worker in one window: what a delta carries."""

    worker: str
    window: int
    member: str
    sent: int
    failed: int


@dataclass(frozen=True, slots=True)
class Rules:
    window_ms: float = 10_000.0
    windows: int = 3
    quorum: int = 3
    least: int = 3  # requests a member must have sent to a worker for its view to count
    ratio: float = 0.5
    volume: int = 30
    most_workers: int = 2_000
    most_members: int = 1_024


@dataclass(frozen=True, slots=True)
class Verdict:
    bad: bool
    members: int  # members whose own counts found it bad
    sent: int
    failed: int


class Evidence:
    """One member's store of the fleet's evidence.  `counts` says what was refused, and why."""

    def __init__(self, me: str, rules: Rules | None = None):
        self.me, self.rules = me, rules or Rules()
        # (worker, window) -> member -> (sent, failed)
        self.kept: dict[tuple[str, int], dict[str, tuple[int, int]]] = {}
        self.counts: dict[str, int] = {}
        self._changed: set[tuple[str, int]] = set()

    def window(self, now: float) -> int:
        return int(now // self.rules.window_ms)

    def saw(self, worker: str, failed: bool, now: float) -> None:
        """One upstream request of ours to `worker` ended, and how."""
        key = (worker, self.window(now))
        if key not in self.kept and not self._room(worker):
            return
        sent, fails = self.kept.setdefault(key, {}).get(self.me, (0, 0))
        self.kept[key][self.me] = (sent + 1, fails + int(failed))
        self._changed.add(key)

    def merge(self, seen: Seen, now: float) -> bool:
        """Another's counts; False where not taken (ours, too old, from the future, absurd, no room)."""
        why = ""
        if seen.member == self.me:
            why = "evidence_ours"
        elif not 0 <= seen.failed <= seen.sent < 2**40:
            why = "evidence_absurd"
        elif seen.window > self.window(now) + 1:
            why = "evidence_from_the_future"
        elif seen.window <= self.window(now) - self.rules.windows:
            why = "evidence_old"
        if why:
            self.counts[why] = self.counts.get(why, 0) + 1
            return False
        key = (seen.worker, seen.window)
        if key not in self.kept and not self._room(seen.worker):
            return False
        members = self.kept.setdefault(key, {})
        if seen.member not in members and len(members) >= self.rules.most_members:
            self.counts["evidence_no_room"] = self.counts.get("evidence_no_room", 0) + 1
            return False
        sent, fails = members.get(seen.member, (0, 0))
        members[seen.member] = (max(sent, seen.sent), max(fails, seen.failed))
        return True

    def delta(self, most: int) -> list[Seen]:
        """Our own counts that changed since the last delta, at most `most` of them."""
        out = []
        while self._changed and len(out) < most:
            key = self._changed.pop()
            mine = self.kept.get(key, {}).get(self.me)
            if mine is not None:
                out.append(Seen(key[0], key[1], self.me, *mine))
        return out

    def expire(self, now: float) -> None:
        oldest = self.window(now) - self.rules.windows
        for key in [k for k in self.kept if k[1] <= oldest]:
            del self.kept[key]
            self._changed.discard(key)

    def verdict(self, worker: str, now: float) -> Verdict:
        """What the fleet's evidence says of a worker now."""
        rules = self.rules
        oldest = self.window(now) - rules.windows
        by_member: dict[str, list[int]] = {}
        for (name, window), members in self.kept.items():
            if name != worker or window <= oldest:
                continue
            for member, (sent, failed) in members.items():
                counts = by_member.setdefault(member, [0, 0])
                counts[0] += sent
                counts[1] += failed
        judging = [m for m, (s, f) in by_member.items() if s >= rules.least and f >= rules.ratio * s]
        sent = sum(s for s, _ in by_member.values())
        failed = sum(f for _, f in by_member.values())
        failing = sum(1 for _, f in by_member.values() if f > 0)
        by_volume = failed >= rules.volume and failed >= rules.ratio * sent and failing >= 2
        return Verdict(len(judging) >= rules.quorum or by_volume, len(judging), sent, failed)

    def bad(self, now: float) -> list[str]:
        """Workers that the fleet's evidence finds bad now."""
        return sorted(w for w in {k[0] for k in self.kept} if self.verdict(w, now).bad)

    def _room(self, worker: str) -> bool:
        workers = {k[0] for k in self.kept}
        if worker in workers or len(workers) < self.rules.most_workers:
            return True
        self.counts["evidence_no_room"] = self.counts.get("evidence_no_room", 0) + 1
        return False
