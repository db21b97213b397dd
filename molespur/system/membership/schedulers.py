"""Which schedulers are alive and what load they see, from heartbeats and other monitors' reports.  No I/O."""

from dataclasses import dataclass, field

from ..rpc import molespur_pb2 as pb

HEARTBEAT_TIMEOUT_MS = 3500.0  # a scheduler without a heartbeat for this long has failed
REPORT_TIMEOUT_MS = 5000.0  # another monitor's report of a scheduler is valid for this long
REPORT_SIZE = 40  # schedulers in one report to another monitor, more where the next limit requires it
MAX_REPORTS_PER_ROUND = 8  # each scheduler is in at least one of this many consecutive reports


@dataclass(slots=True)
class ReceivedHeartbeat:
    """The last heartbeat of a scheduler, and when it was received here, directly or in a report."""

    message: pb.SchedulerHeartbeat
    received_at: float


@dataclass
class SchedulerMonitor:
    """The schedulers that this process monitors, and those that other monitors report."""

    started_at: float = 0.0
    direct: dict[str, ReceivedHeartbeat] = field(default_factory=dict)  # sent to this process
    reported: dict[str, ReceivedHeartbeat] = field(default_factory=dict)  # sent to other monitors
    last_reported_at: dict[str, float] = field(default_factory=dict)  # by scheduler, to other monitors

    def heartbeat(self, now: float, message: pb.SchedulerHeartbeat) -> bool:
        """Record a heartbeat, or remove a scheduler that is leaving; return whether it was not known here."""
        if message.leaving:
            self.direct.pop(message.node, None)
            return False
        is_new = message.node not in self.direct
        self.direct[message.node] = ReceivedHeartbeat(message, now)
        return is_new

    def report(self, now: float, report: pb.MonitorReport) -> bool:
        """Record the report of another monitor; return whether it names a scheduler not reported before."""
        has_new = any(message.node not in self.reported for message in report.alive)
        for message in report.alive:
            self.reported[message.node] = ReceivedHeartbeat(message, now)
        return has_new

    def direct_heartbeats(self, now: float) -> list[pb.SchedulerHeartbeat]:
        """The last heartbeats of the live schedulers that send them to this process."""
        self.direct = {
            node: last for node, last in self.direct.items() if now - last.received_at < HEARTBEAT_TIMEOUT_MS
        }
        return [last.message for last in self.direct.values()]

    def next_report(self, now: float) -> list[pb.SchedulerHeartbeat]:
        """The heartbeats for the next report to other monitors: all, or those not reported for longest."""
        heartbeats = self.direct_heartbeats(now)
        max_size = max(REPORT_SIZE, -(-len(heartbeats) // MAX_REPORTS_PER_ROUND))
        if len(heartbeats) > max_size:
            heartbeats.sort(key=lambda message: self.last_reported_at.get(message.node, float("-inf")))
            del heartbeats[max_size:]
        self.last_reported_at = {
            node: at for node, at in self.last_reported_at.items() if node in self.direct
        }
        self.last_reported_at.update((message.node, now) for message in heartbeats)
        return heartbeats

    def alive(self, now: float) -> dict[str, pb.SchedulerHeartbeat]:
        """The last heartbeat of each scheduler that any monitor considers alive."""
        self.reported = {
            node: last for node, last in self.reported.items() if now - last.received_at < REPORT_TIMEOUT_MS
        }
        heartbeats = {node: last.message for node, last in self.reported.items()}
        heartbeats.update({message.node: message for message in self.direct_heartbeats(now)})
        return heartbeats

    def recent_schedulers(self, now: float) -> list[pb.HeardScheduler]:
        """All live schedulers, with the time since their last heartbeat or report arrived here (ms)."""
        alive = self.alive(now)
        return [
            pb.HeardScheduler(heartbeat=message, heard_ms_ago=int(now - self._last(node).received_at))
            for node, message in sorted(alive.items())
        ]

    def _last(self, node: str) -> ReceivedHeartbeat:
        return self.direct.get(node) or self.reported[node]

    def count(self, now: float) -> int:
        """The number of live schedulers; 0 until this process has run long enough to know all of them.

        Schedulers divide budgets by this number.  One that is too low would let them overspend together.
        """
        return len(self.alive(now)) if now - self.started_at > HEARTBEAT_TIMEOUT_MS else 0

    def load(self, now: float, service: str) -> pb.ServiceLoad:
        """The total load that all schedulers report for a service."""
        total = pb.ServiceLoad(service=service)
        for message in self.alive(now).values():
            for load in message.loads:
                if load.service == service:
                    total.read_tokens_per_s += load.read_tokens_per_s
                    total.running += load.running
        return total
