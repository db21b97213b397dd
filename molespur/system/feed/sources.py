"""Which control-plane process a scheduler follows, and when it changes to another one.  No I/O.

Times are milliseconds on the scheduler's monotonic clock.  A source is judged by the age of the state that it
delivers, never by the time of the last message from it or from its leader.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from .budget import UNREACHABLE_TIMEOUT_MS, FreshnessBudget

MIN_STAY_MS = 400.0  # min. time on a source whose own state is old
MIN_STARTUP_STAY_MS = 1200.0  # min. time on a source that is fresh, but has not sent everything yet
MIN_AGE_GAIN_MS = 250.0  # another source is worth a change if its state is newer by this much
MIN_SEARCH_STAY_MS = 600.0  # min. time on a source while no better one is known
REPORT_VALID_MS = 1500.0  # the age that a process has reported is used for this long
MIN_REMOTE_STAY_MS = 3000.0  # min. time on a source in another zone before one in the own zone is tried


class LeaveReason(Enum):
    """Why a source is left."""

    UNREACHABLE = "unreachable"
    STALE = "its state is old"
    REMOTE = "another source is in the own zone"


@dataclass(slots=True)
class _Report:
    """The state that a process has reported for itself."""

    confirmed_at: float = float("-inf")  # it has all that was acknowledged before this time, in every shard
    configuration_confirmed_at: float = float("-inf")  # the same for the configuration alone
    received_at: float = float("-inf")


_NO_REPORT = _Report()


@dataclass(frozen=True, slots=True)
class SourceChange:
    """A change to another source."""

    address: str
    reason: LeaveReason | None  # None: there was no source before


class SourceSelector:
    """Selects the source from the ages that processes report, and tracks the age of the scheduler's state."""

    def __init__(self, zone: str, budget: FreshnessBudget, random: Random):
        self.zone, self.budget, self.random = zone, budget, random
        self.zones: dict[str, str] = {}  # RPC address -> zone; "" while it is unknown
        self.address: str | None = None  # the current source
        self.since = float("-inf")
        self.confirmed_at = float("-inf")  # this scheduler has all that was acknowledged before this time
        self.configuration_confirmed_at = float("-inf")
        self._reports: dict[str, _Report] = {}
        self._changed_to_own_zone_at = float("-inf")
        self._untried: list[str] = []  # candidates in reverse order: the next one is the last

    # -- Reported ages -------------------------------------------------------------------------

    def reported(
        self, now: float, address: str, sent_at: float, age: float, configuration_age: float
    ) -> None:
        """A process has replied with the ages of its state to a ping that was sent at `sent_at`."""
        report = self._reports.setdefault(address, _Report())
        report.confirmed_at = max(report.confirmed_at, sent_at - age)
        report.configuration_confirmed_at = max(
            report.configuration_confirmed_at, sent_at - configuration_age
        )
        report.received_at = now

    def caught_up(self, sent_at: float, age: float, configuration_age: float) -> None:
        """The source has sent all that its state held when it replied to a ping sent at `sent_at`."""
        self.confirmed_at = max(self.confirmed_at, sent_at - age)
        self.configuration_confirmed_at = max(self.configuration_confirmed_at, sent_at - configuration_age)

    def age(self, now: float) -> float:
        """The time since which this scheduler may lack acknowledged changes."""
        return now - self.confirmed_at

    def is_stale(self, now: float) -> bool:
        """Whether the state of this scheduler is so old that it should look for another source."""
        return self.age(now) > self.budget.leave_age_ms

    def configuration_age(self, now: float) -> float:
        """Like `age`, for the configuration alone."""
        return now - self.configuration_confirmed_at

    def own_zone_candidate(self) -> str | None:
        """A process of the own zone, to be pinged while the source is in another zone."""
        if self.address is None or self.zones.get(self.address, "") in ("", self.zone):
            return None
        return min((address for address, zone in self.zones.items() if zone == self.zone), default=None)

    # -- Selection -----------------------------------------------------------------------------

    def select(self, now: float, reachable: bool) -> SourceChange | None:
        """The change of source that is due, if any; `reachable`: whether a channel to the source is open."""
        if self.address is None:
            return self._change_source(now, self._next_candidate(now), None)
        waited = now - self.since
        if not reachable and waited > UNREACHABLE_TIMEOUT_MS:
            return self._change_source(
                now, self._freshest(now) or self._next_candidate(now), LeaveReason.UNREACHABLE
            )
        if self.is_stale(now) and waited > self._min_stay(now):
            better = self._freshest(now)
            if better is not None:
                return self._change_source(now, better, LeaveReason.STALE)
            if waited > MIN_SEARCH_STAY_MS and self._without_report(now):
                return self._change_source(now, self._next_candidate(now), LeaveReason.STALE)
        candidate = self.own_zone_candidate()
        may_return = min(waited, now - self._changed_to_own_zone_at) > MIN_REMOTE_STAY_MS
        if (
            candidate is not None
            and may_return
            and self._reported_age(now, candidate) < self.budget.leave_age_ms
        ):
            self._changed_to_own_zone_at = now
            return self._change_source(now, candidate, LeaveReason.REMOTE)
        return None

    def _change_source(self, now: float, address: str, reason: LeaveReason | None) -> SourceChange:
        """Change the source; nothing else does."""
        self.address, self.since = address, now
        return SourceChange(address, reason)

    def _min_stay(self, now: float) -> float:
        is_fresh = self._reported_age(now, self.address) < self.budget.leave_age_ms
        return MIN_STARTUP_STAY_MS if is_fresh else MIN_STAY_MS

    def _valid_report(self, now: float, address: str) -> _Report:
        """The recent report of a process, or an empty one."""
        report = self._reports.get(address, _NO_REPORT)
        return report if now - report.received_at <= REPORT_VALID_MS else _NO_REPORT

    def _reported_age(self, now: float, address: str) -> float:
        """The age of a process's state; inf without a recent report."""
        return now - self._valid_report(now, address).confirmed_at

    def _reported_configuration_age(self, now: float, address: str) -> float:
        """Like `_reported_age`, for the configuration alone."""
        return now - self._valid_report(now, address).configuration_confirmed_at

    def _others(self) -> Iterable[str]:
        return (address for address in self.zones if address != self.address)

    def _freshest(self, now: float) -> str | None:
        """Another process with fresh state, preferably in the own zone.

        If the configuration is old, it alone is compared: a worker shard without a leader makes the state of
        every process old, and would hide which of them has the newest configuration.
        """
        if self.configuration_age(now) > self.budget.leave_age_ms:
            return self._fresher_by(now, self._reported_configuration_age, self.configuration_age(now))
        return self._fresher_by(now, self._reported_age, self.age(now))

    def _fresher_by(self, now: float, age_of: Callable[[float, str], float], own_age: float) -> str | None:
        max_age = min(self.budget.leave_age_ms, own_age - MIN_AGE_GAIN_MS)
        fresh = [a for a in self._others() if age_of(now, a) < max_age]
        return min(fresh, key=lambda a: (self.zones[a] != self.zone, age_of(now, a)), default=None)

    def _without_report(self, now: float) -> list[str]:
        """The other processes without a recent report."""
        return [a for a in self._others() if self._valid_report(now, a) is _NO_REPORT]

    def _next_candidate(self, now: float) -> str:
        """The next process without a recent report: those of the own zone first, otherwise in random order.

        A process that has reported old state is no better than the source that is left.
        """
        candidates = self._without_report(now) or list(self._others()) or list(self.zones)
        self._untried = [a for a in self._untried if a in candidates]
        if not self._untried:
            self.random.shuffle(candidates)
            self._untried = sorted(candidates, key=lambda a: self.zones[a] == self.zone)
        return self._untried.pop()
