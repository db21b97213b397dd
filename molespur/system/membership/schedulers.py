"""Which schedulers are alive, as their monitors know and tell each other.  Pure."""

from dataclasses import dataclass, field

ALIVE_MS = 3500.0  # a scheduler not heard of for this long has failed
REPORT_MS = 5000.0  # a monitor's word stands this long


@dataclass(slots=True)
class Report:
    """The schedulers that another monitor has heard of."""

    alive: frozenset[str]
    at: float


@dataclass
class SchedulerMonitor:
    """The schedulers that this process watches, and what other monitors report of theirs."""

    heard: dict[str, float] = field(default_factory=dict)
    reports: dict[str, Report] = field(default_factory=dict)

    def heartbeat(self, now: float, node: str, leaving: bool) -> None:
        """A scheduler has said that it lives, or that it leaves."""
        if leaving:
            self.heard.pop(node, None)
        else:
            self.heard[node] = now

    def report(self, now: float, monitor: str, alive: list[str]) -> None:
        """Another monitor has told which schedulers it has heard of."""
        self.reports[monitor] = Report(frozenset(alive), now)

    def own(self, now: float) -> list[str]:
        """The schedulers heard of here lately."""
        self.heard = {node: at for node, at in self.heard.items() if now - at < ALIVE_MS}
        return sorted(self.heard)

    def alive(self, now: float) -> frozenset[str]:
        """All schedulers that some monitor has heard of lately."""
        self.reports = {m: r for m, r in self.reports.items() if now - r.at < REPORT_MS}
        return frozenset(self.own(now)).union(*(r.alive for r in self.reports.values()))
