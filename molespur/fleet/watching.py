"""Shared probing: a few members probe a worker for all members that use it.  Pure.

Rendezvous hashing over the fleet view assigns each worker to `watchers` members, so that the probes at one
worker do not grow with the fleet.  A member subscribes (`ReportSubscription`) at the watchers of the workers
that it sends to.  They send it the load reports that their probes return (`WorkerReports`), many in a
datagram.
"""

from collections.abc import Iterable

from .rendezvous import pick
from .sharing import MAX_ITEMS, ReportSubscription, SharingConfig, WorkerReport, WorkerReports

SUBSCRIPTION_INTERVALS = 2.5  # `subscribe_ms` intervals after which an unrenewed subscription ends
MAX_WORKERS_PER_DATAGRAM = MAX_ITEMS // 4
MAX_REPORTS_PER_DATAGRAM = MAX_ITEMS // 8


class Watching:
    """One member's side: the workers that it watches, and which members subscribe to them."""

    def __init__(self, own_id: str, config: SharingConfig):
        self.own_id, self.config = own_id, config
        self.watched: frozenset[str] = frozenset()
        self._listed: frozenset[str] = frozenset()
        self._members: list[str] = [own_id]
        self._stale = False  # `watched` has to be determined again
        self._subscribers: dict[str, dict[str, float]] = {}  # worker -> member -> until
        self._reports: dict[str, dict[str, float]] = {}  # reports still to be forwarded

    def set_members(self, alive: Iterable[str]) -> None:
        """Set the other members that are alive."""
        self._members, self._stale = [*alive, self.own_id], True

    def set_workers(self, workers: frozenset[str]) -> None:
        """Set the workers that are listed."""
        self._stale, self._listed = self._stale or workers != self._listed, workers

    def watchers(self, worker: str) -> list[str]:
        return pick(f"watch/{worker}", self._members, self.config.watchers)

    def add_subscription(self, subscription: ReportSubscription, now: float) -> None:
        """Another member uses workers that we watch."""
        for worker in subscription.workers:
            if worker in self.watched:
                self._subscribers.setdefault(worker, {})[subscription.src] = (
                    now + SUBSCRIPTION_INTERVALS * self.config.subscribe_ms
                )

    def subscribers(self, worker: str) -> list[str]:
        """The other members that use a worker that we watch."""
        return list(self._subscribers.get(worker, ()))

    def record_report(self, worker: str, fields: dict[str, float]) -> None:
        """A probe of ours returned a report."""
        if worker in self.watched:
            self._reports[worker] = fields

    def subscriptions(self, workers: Iterable[str], now: float) -> list[tuple[str, ReportSubscription]]:
        """Subscriptions to the workers that we use, by watcher; forgets subscribers that have left."""
        alive = set(self._members)
        self._subscribers = {
            worker: {m: until for m, until in members.items() if now < until and m in alive}
            for worker, members in self._subscribers.items()
            if worker in self.watched
        }
        by_watcher: dict[str, list[str]] = {}
        for worker in workers:
            for member in self.watchers(worker):
                if member != self.own_id:
                    by_watcher.setdefault(member, []).append(worker)
        return [(member, ReportSubscription(self.own_id, names[at : at + MAX_WORKERS_PER_DATAGRAM]))
                for member, names in by_watcher.items()
                for at in range(0, len(names), MAX_WORKERS_PER_DATAGRAM)]  # fmt: skip

    def take_reports(self) -> list[tuple[str, WorkerReports]]:
        """The reports to forward, by subscriber; first determines again what we watch, if it is stale."""
        if self._stale:
            self._stale = False
            self.watched = frozenset(w for w in self._listed if self.own_id in self.watchers(w))
        by_subscriber: dict[str, list[WorkerReport]] = {}
        for worker, fields in self._reports.items():
            for member in self._subscribers.get(worker, ()):
                by_subscriber.setdefault(member, []).append(WorkerReport(worker, fields))
        self._reports.clear()
        return [(member, WorkerReports(self.own_id, found[at : at + MAX_REPORTS_PER_DATAGRAM]))
                for member, found in by_subscriber.items()
                for at in range(0, len(found), MAX_REPORTS_PER_DATAGRAM)]  # fmt: skip
