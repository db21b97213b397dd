"""A worker's own registration under a lease, as a state machine.  Pure.

Grant, put, keep alive, drain, revoke.  The registry's clock runs from when it took the last keepalive; ours
from when we *sent* it, which is never later.  So the worker knows that it may be unlisted before the
registry's time is up, whatever the network does: after MARGIN of the time to live without a keepalive that
went well.
"""

from dataclasses import dataclass
from random import Random

from .backoff import Backoff, Members
from .model import Due, Failed, Wait

MARGIN = 0.8  # of the time to live


# -- Events; Failed and Due are the session's -----------------------------------------------------


@dataclass(frozen=True, slots=True)
class Register:
    """Begin."""


@dataclass(frozen=True, slots=True)
class Done:
    """What was asked for under this turn took place; `lease` is the new one's id after a Grant."""

    turn: int
    lease: str = ""


@dataclass(frozen=True, slots=True)
class NotSo:
    """The registry answered that it was not so: the lease is no more, or the key is another's."""

    turn: int


@dataclass(frozen=True, slots=True)
class Drain:
    """The worker wants nothing new."""


@dataclass(frozen=True, slots=True)
class Leave:
    """The worker ends."""


# -- Actions; Wait is the session's --------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Grant:
    turn: int
    member: int


@dataclass(frozen=True, slots=True)
class Put:
    turn: int
    member: int
    lease: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class KeepAlive:
    turn: int
    member: int
    lease: str


@dataclass(frozen=True, slots=True)
class Revoke:
    turn: int
    member: int
    lease: str


@dataclass(frozen=True, slots=True)
class Listed:
    """Tell the worker whether schedulers can be counted on to see it."""

    listed: bool


@dataclass(frozen=True, slots=True)
class Over:
    """The registration has ended."""


Exchange = Grant | Put | KeepAlive | Revoke
Action = Exchange | Wait | Listed | Over


class Registration:
    """One worker's registration; times in ms on one monotonic clock."""

    def __init__(self, ttl_s: float, members: int, rng: Random, backoff_ms: float = 100.0):
        self.ttl_ms = ttl_s * 1000.0
        self.members = Members(members, rng)
        self.backoff = Backoff(backoff_ms, self.ttl_ms / 4, rng)
        self.turn, self.lease = 0, ""
        self.listed = self.leaving = self.ending = self.over = False
        self.safe_until = 0.0  # the worker is listed at least until then
        self._put = False  # the record stands as it should
        self._put_leaving = False
        self._next_alive = 0.0
        self._sent_at = 0.0  # when the exchange under way began
        self._under_way: Exchange | None = None
        self._tries = 0
        self.out: list[Action] = []

    def handle(self, now: float, event) -> list[Action]:
        """Take one event at time now and return what to do, in order."""
        self.now, self.out = now, []
        kind = type(event)
        if self.over or (kind in (Done, NotSo, Failed, Due) and event.turn != self.turn):
            return self.out
        if kind is Drain:
            self.leaving = True
        elif kind is Leave:
            self.ending = True
        elif kind is Done:
            self._done(event.lease)
        elif kind is NotSo:
            self._not_so()
        elif kind is Failed:
            self._under_way = None
            self.members.next()
            self._note_time()
            if self.ending:
                self._tries += 1
            self._wait(self.backoff.next_ms())
            return self.out
        self._note_time()
        if kind in (Register, Done, NotSo, Due) or not isinstance(self._under_way, Exchange):
            # a drain or an end does not wait for the next keepalive
            self._go_on()
        return self.out

    def _turn(self) -> int:
        self.turn += 1
        return self.turn

    def _ask(self, kind, *more) -> None:
        self._sent_at = self.now
        self._under_way = kind(self._turn(), self.members.now, *more)
        self.out.append(self._under_way)

    def _wait(self, delay_ms: float) -> None:
        self._under_way = None
        if self.listed:
            # never sleep past the moment in which the worker must know
            delay_ms = min(delay_ms, max(self.safe_until - self.now, 0.0))
        self.out.append(Wait(self._turn(), delay_ms))

    def _note_time(self) -> None:
        if self.listed and self.now >= self.safe_until:
            self._lost()

    def _lost(self) -> None:
        self._put = False  # once the lease is sure again the record is put again: it may have been deleted
        if self.listed:
            self.listed = False
            self.out.append(Listed(False))

    def _alive(self) -> None:
        """A lease stands from when this exchange was begun."""
        self.safe_until = self._sent_at + MARGIN * self.ttl_ms
        self._next_alive = self._sent_at + self.ttl_ms / 3
        self.backoff.ease()
        self.members.well()

    def _done(self, lease: str) -> None:
        asked, self._under_way = self._under_way, None
        if isinstance(asked, Grant):
            self.lease, self._put = lease, False
            self._alive()
        elif isinstance(asked, KeepAlive):
            self._alive()
        elif isinstance(asked, Put):
            self._put, self._put_leaving = True, asked.leaving
            if not self.listed and self.now < self.safe_until:
                self.listed = True
                self.out.append(Listed(True))
        elif isinstance(asked, Revoke):
            self.lease = ""

    def _not_so(self) -> None:
        """The lease has ended at the registry, or the key is held by another's lease."""
        asked, self._under_way = self._under_way, None
        if isinstance(asked, Put) and self.lease and self.now < self.safe_until:
            self._lost()
            self._wait(self.backoff.next_ms())  # an earlier life's lease may hold the key until it expires
            return
        self.lease, self._put = "", False
        self._lost()

    def _go_on(self) -> None:
        """The next thing that is needed."""
        if self.out and isinstance(self.out[-1], Wait):
            return
        if self.ending:
            if self.lease and self._tries < 3:
                self._ask(Revoke, self.lease)
            else:
                self._lost()
                self.over = True
                self.out.append(Over())
        elif not self.lease:
            self._ask(Grant)
        elif self.now >= self._next_alive:
            self._ask(KeepAlive, self.lease)
        elif not self._put or self._put_leaving != self.leaving:
            self._ask(Put, self.lease, self.leaving)
        else:
            self._wait(self._next_alive - self.now)
