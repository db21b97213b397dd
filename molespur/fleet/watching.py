"""Probes shared, not multiplied: a few members probe a worker for all that use it.  Pure.

Each worker falls to `watchers` members by rendezvous hashing over the fleet view, so that probes at one
worker do not grow with the fleet.  A member subscribes (`ReportSubscription`) at the watchers of the workers
that it sends to; they send it what their probes bring (`WorkerReports`), many in a datagram.
"""

from collections.abc import Iterable

from .rendezvous import pick
from .sharing import ITEMS_MOST, ReportSubscription, SharingConfig, WorkerReport, WorkerReports

KEPT = 2.5  # tellings after which a member uses a worker no more
NAMES_EACH, REPORTS_EACH = ITEMS_MOST // 4, ITEMS_MOST // 8  # in one datagram


class Watching:
    """One member's side: the workers that it watches, and who uses them."""

    def __init__(self, me: str, share: SharingConfig):
        self.me, self.share = me, share
        self.watched: frozenset[str] = frozenset()
        self._listed: frozenset[str] = frozenset()
        self._members: list[str] = [me]
        self._stale = False
        self._users: dict[str, dict[str, float]] = {}  # worker -> member -> until
        self._brought: dict[str, dict[str, float]] = {}  # reports to be sent on

    def members(self, alive: Iterable[str]) -> None:
        """Who lives, ourselves not among them."""
        self._members, self._stale = [*alive, self.me], True

    def listed(self, workers: frozenset[str]) -> None:
        """The workers there are."""
        self._stale, self._listed = self._stale or workers != self._listed, workers

    def watchers(self, worker: str) -> list[str]:
        return pick(f"watch/{worker}", self._members, self.share.watchers)

    def used_by(self, using: ReportSubscription, now: float) -> None:
        """Another uses workers that we watch."""
        for worker in using.workers:
            if worker in self.watched:
                self._users.setdefault(worker, {})[using.src] = now + KEPT * self.share.using_ms

    def users(self, worker: str) -> list[str]:
        """Members that use a worker that we watch, ourselves not among them."""
        return list(self._users.get(worker, ()))

    def probed(self, worker: str, fields: dict[str, float]) -> None:
        """A probe of ours brought a report."""
        if worker in self.watched:
            self._brought[worker] = fields

    def using(self, workers: Iterable[str], now: float) -> list[tuple[str, ReportSubscription]]:
        """Tell those that watch the workers that we use; forget who has gone."""
        alive = set(self._members)
        self._users = {worker: {m: until for m, until in users.items() if now < until and m in alive}
                       for worker, users in self._users.items() if worker in self.watched}  # fmt: skip
        some: dict[str, list[str]] = {}
        for worker in workers:
            for member in self.watchers(worker):
                if member != self.me:
                    some.setdefault(member, []).append(worker)
        return [(member, ReportSubscription(self.me, names[at : at + NAMES_EACH]))
                for member, names in some.items() for at in range(0, len(names), NAMES_EACH)]  # fmt: skip

    def reports(self) -> list[tuple[str, WorkerReports]]:
        """What our probes have brought, for those that use the workers; look at what we watch, if need be."""
        if self._stale:
            self._stale = False
            self.watched = frozenset(w for w in self._listed if self.me in self.watchers(w))
        some: dict[str, list[WorkerReport]] = {}
        for worker, fields in self._brought.items():
            for member in self._users.get(worker, ()):
                some.setdefault(member, []).append(WorkerReport(worker, fields))
        self._brought.clear()
        return [(member, WorkerReports(self.me, found[at : at + REPORTS_EACH]))
                for member, found in some.items() for at in range(0, len(found), REPORTS_EACH)]  # fmt: skip
