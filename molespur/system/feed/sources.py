"""Which control-plane process a scheduler follows, and when it turns to another.  Pure.

Times are milliseconds on the scheduler's steady clock.  A source is judged by the age of the state that
it brings, never by how lately it, or its leader, was heard of.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from .budget import UNREACHABLE_MS, FreshnessBudget

PATIENCE_MS = 400.0  # least time on a source whose own state is old
START_PATIENCE_MS = 1200.0  # the same where it is fresh, but has not sent everything yet
FRESHER_MS = 250.0  # another process is worth a turn where its state is newer by this much
SEARCH_MS = 600.0  # least time on a source while no better one is known
REPORT_VALID_MS = 1500.0  # what a process said of its age counts this long
HOMEWARD_MS = 3000.0  # least time on a source of another zone before one of the own zone is tried


class LeaveReason(Enum):
    """Why a source is left."""

    UNREACHABLE = "unreachable"
    OLD = "its state is old"
    FAR = "another is nearer"


@dataclass(slots=True)
class _Report:
    """What a process has said of its own state."""

    confirmed_at: float = float("-inf")  # it holds all that was acknowledged before, in every shard
    configuration_confirmed_at: float = float("-inf")  # the same for the configuration alone
    heard_at: float = float("-inf")


_NEVER = _Report()


@dataclass(frozen=True, slots=True)
class Turn:
    """The step to another source."""

    address: str
    reason: LeaveReason | None  # None: there was none before


class SourceChoice:
    """The state behind the choice: what each process has said, and how old the scheduler's own state is."""

    def __init__(self, zone: str, budget: FreshnessBudget, random: Random):
        self.zone, self.budget, self.random = zone, budget, random
        self.zones: dict[str, str] = {}  # RPC address -> zone; "" where it is not known yet
        self.address: str | None = None  # the source
        self.since = float("-inf")
        self.confirmed_at = float("-inf")  # this scheduler has all that was acknowledged before
        self.configuration_confirmed_at = float("-inf")
        self._reports: dict[str, _Report] = {}
        self._left_for_home_at = float("-inf")
        self._untried: list[str] = []  # the next one is taken from the end

    # -- What is heard -------------------------------------------------------------------------

    def reported(
        self, now: float, address: str, sent_at: float, age: float, configuration_age: float
    ) -> None:
        """A process has answered a question of this time with the ages of its own state."""
        report = self._reports.setdefault(address, _Report())
        report.confirmed_at = max(report.confirmed_at, sent_at - age)
        report.configuration_confirmed_at = max(
            report.configuration_confirmed_at, sent_at - configuration_age
        )
        report.heard_at = now

    def told_everything(self, sent_at: float, age: float, configuration_age: float) -> None:
        """The source has sent all that its state held when it answered a question of this time."""
        self.confirmed_at = max(self.confirmed_at, sent_at - age)
        self.configuration_confirmed_at = max(self.configuration_confirmed_at, sent_at - configuration_age)

    def age(self, now: float) -> float:
        """Time since which something may have been acknowledged that this scheduler lacks."""
        return now - self.confirmed_at

    def is_old(self, now: float) -> bool:
        """Whether the state here is so old that another source is called for."""
        return self.age(now) > self.budget.leave_ms

    def configuration_age(self, now: float) -> float:
        """The same for the configuration alone."""
        return now - self.configuration_confirmed_at

    # -- Whom to ask ---------------------------------------------------------------------------

    def home(self) -> str | None:
        """A process of the own zone that is worth asking while the source is in another one."""
        if self.address is None or self.zones.get(self.address, "") in ("", self.zone):
            return None
        return min((address for address, zone in self.zones.items() if zone == self.zone), default=None)

    # -- The choice ----------------------------------------------------------------------------

    def look(self, now: float, reachable: bool) -> Turn | None:
        """The turn that is due; `reachable`: whether a channel to the source is open."""
        if self.address is None:
            return self._turn(now, self._next(now), None)
        waited = now - self.since
        if not reachable and waited > UNREACHABLE_MS:
            return self._turn(now, self._freshest(now) or self._next(now), LeaveReason.UNREACHABLE)
        if self.is_old(now) and waited > self._patience(now):
            better = self._freshest(now)
            if better is not None:
                return self._turn(now, better, LeaveReason.OLD)
            if waited > SEARCH_MS and self._unheard(now):
                return self._turn(now, self._next(now), LeaveReason.OLD)
        home = self.home()
        settled = min(waited, now - self._left_for_home_at) > HOMEWARD_MS
        if home is not None and settled and self._report_age(now, home) < self.budget.leave_ms:
            self._left_for_home_at = now
            return self._turn(now, home, LeaveReason.FAR)
        return None

    def _turn(self, now: float, address: str, reason: LeaveReason | None) -> Turn:
        """The one place where the source changes."""
        self.address, self.since = address, now
        return Turn(address, reason)

    def _patience(self, now: float) -> float:
        fresh = self._report_age(now, self.address) < self.budget.leave_ms
        return START_PATIENCE_MS if fresh else PATIENCE_MS

    def _report(self, now: float, address: str) -> _Report:
        """What a process has said lately; nothing where it has not."""
        report = self._reports.get(address, _NEVER)
        return report if now - report.heard_at <= REPORT_VALID_MS else _NEVER

    def _report_age(self, now: float, address: str) -> float:
        """The age of a process's state; inf where it has not said lately."""
        return now - self._report(now, address).confirmed_at

    def _report_configuration_age(self, now: float, address: str) -> float:
        """The same for its configuration alone."""
        return now - self._report(now, address).configuration_confirmed_at

    def _others(self) -> Iterable[str]:
        return (address for address in self.zones if address != self.address)

    def _freshest(self, now: float) -> str | None:
        """Another process whose state is fresh, one of the own zone before others.

        Where the configuration is old it alone decides: a shard of workers without a leader makes every
        process old, and would hide which of them has the newest configuration.
        """
        if self.configuration_age(now) > self.budget.leave_ms:
            return self._fresher_by(now, self._report_configuration_age, self.configuration_age(now))
        return self._fresher_by(now, self._report_age, self.age(now))

    def _fresher_by(self, now: float, age_of: Callable[[float, str], float], own: float) -> str | None:
        most = min(self.budget.leave_ms, own - FRESHER_MS)
        fresh = [a for a in self._others() if age_of(now, a) < most]
        return min(fresh, key=lambda a: (self.zones[a] != self.zone, age_of(now, a)), default=None)

    def _unheard(self, now: float) -> list[str]:
        """The other processes that have said nothing of their age lately."""
        return [a for a in self._others() if self._report(now, a) is _NEVER]

    def _next(self, now: float) -> str:
        """Processes of which nothing is known, in turn: those of the own zone first, else in an order by lot.

        One that has said lately that its state is old is no better than the source that is left.
        """
        candidates = self._unheard(now) or list(self._others()) or list(self.zones)
        self._untried = [a for a in self._untried if a in candidates]
        if not self._untried:
            self.random.shuffle(candidates)
            self._untried = sorted(candidates, key=lambda a: self.zones[a] == self.zone)
        return self._untried.pop()
