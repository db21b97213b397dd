"""Which schedulers are alive and what load they see, as their monitors know and tell each other.  Pure."""

from dataclasses import dataclass, field

from ..rpc import molespur_pb2 as pb

ALIVE_MS = 3500.0  # a scheduler not heard of for this long has failed
REPORT_MS = 5000.0  # a monitor's word stands this long
MOST_TOLD = 40  # schedulers in one report to another monitor,
ROUND_REPORTS = 8  # or so many that all are told within this many reports


@dataclass(slots=True)
class Report:
    """The last heartbeat of a scheduler, and when it was heard of."""

    beat: pb.SchedulerHeartbeat
    at: float


@dataclass
class SchedulerMonitor:
    """The schedulers that this process watches, and what other monitors report of theirs."""

    started_at: float = 0.0
    heard: dict[str, Report] = field(default_factory=dict)
    told: dict[str, Report] = field(default_factory=dict)
    reported_at: dict[str, float] = field(default_factory=dict)  # scheduler -> when others were last told

    def heartbeat(self, now: float, beat: pb.SchedulerHeartbeat) -> bool:
        """A scheduler has said that it lives, or that it leaves; whether it was not known here."""
        if beat.leaving:
            self.heard.pop(beat.node, None)
            return False
        new = beat.node not in self.heard
        self.heard[beat.node] = Report(beat, now)
        return new

    def report(self, now: float, report: pb.MonitorReport) -> bool:
        """Another monitor has told which schedulers it has heard of; whether one was not known here."""
        new = any(beat.node not in self.told for beat in report.alive)
        for beat in report.alive:
            self.told[beat.node] = Report(beat, now)
        return new

    def own(self, now: float) -> list[pb.SchedulerHeartbeat]:
        """The last heartbeats of the schedulers heard of here lately."""
        self.heard = {node: report for node, report in self.heard.items() if now - report.at < ALIVE_MS}
        return [report.beat for report in self.heard.values()]

    def next_report(self, now: float) -> list[pb.SchedulerHeartbeat]:
        """What the other monitors are told now: all that is heard here or, of many, those longest untold."""
        beats = self.own(now)
        most = max(MOST_TOLD, -(-len(beats) // ROUND_REPORTS))
        if len(beats) > most:
            beats.sort(key=lambda beat: self.reported_at.get(beat.node, float("-inf")))
            del beats[most:]
        self.reported_at = {node: at for node, at in self.reported_at.items() if node in self.heard}
        self.reported_at.update((beat.node, now) for beat in beats)
        return beats

    def alive(self, now: float) -> dict[str, pb.SchedulerHeartbeat]:
        """All schedulers that some monitor has heard of lately, with their last heartbeats."""
        self.told = {node: report for node, report in self.told.items() if now - report.at < REPORT_MS}
        everyone = {node: report.beat for node, report in self.told.items()}
        everyone.update({beat.node: beat for beat in self.own(now)})
        return everyone

    def recent_schedulers(self, now: float) -> list[pb.HeardScheduler]:
        """All schedulers that are alive, with the time since their word came here (ms)."""
        alive = self.alive(now)
        return [
            pb.HeardScheduler(heartbeat=beat, heard_ms_ago=int(now - self._word_of(node).at))
            for node, beat in sorted(alive.items())
        ]

    def _word_of(self, node: str) -> Report:
        return self.heard.get(node) or self.told[node]

    def count(self, now: float) -> int:
        """How many schedulers there are; 0 while this process may not have heard of all yet.

        Budgets are divided by it, so a number that is too low would be spent over and over.
        """
        return len(self.alive(now)) if now - self.started_at > ALIVE_MS else 0

    def load(self, now: float, service: str) -> pb.ServiceLoad:
        """What all schedulers together send to a service."""
        total = pb.ServiceLoad(service=service)
        for beat in self.alive(now).values():
            for load in beat.loads:
                if load.service == service:
                    total.read_tokens_per_s += load.read_tokens_per_s
                    total.running += load.running
        return total
