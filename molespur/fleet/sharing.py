"""Plain data of the state that schedulers share: its messages and its tuning (docs/design/fleet_state.md).

Messages go as datagrams beside the fleet view's (`model.py`); strings, lists and numbers are bounded here.
Times are milliseconds; no lease compares two clocks: messages carry durations.  The one time
of a clock told (`StateGossip.unix_ms`) serves the order of judgements alone.
"""

import zlib
from dataclasses import astuple, dataclass, field
from functools import cached_property
from typing import Annotated

import msgspec
from msgspec import Meta

from .crdt import CounterRow, Stamp
from .model import Count, Id, Message

Key = Annotated[str, Meta(min_length=1, max_length=96)]
Amount = Annotated[float, Meta(ge=0.0, le=1e15)]
Bits = Annotated[bytes, Meta(max_length=512)]
ITEMS_MOST = 64  # wishes, loans, pieces of evidence, registers or rows in one datagram


class TicketRequest(msgspec.Struct, array_like=True, tag=6):
    """To a witness: lend this life of mine these tickets, for a lease.  `fingerprint` names the settings."""

    seq: Count
    src: Id
    life: Count
    fingerprint: Count
    tickets: Bits


class TicketReply(msgspec.Struct, array_like=True, tag=7):
    """A witness's answer to the ask `seq` of that life: the tickets it lends."""

    seq: Count
    src: Id
    life: Count
    tickets: Bits


class Shortfall(msgspec.Struct, array_like=True, frozen=True):
    """How much of a budget the sender lacks."""

    budget: Key
    lack: Amount


class LoanRequest(msgspec.Struct, array_like=True, tag=8):
    """Lend me of these budgets what you can spare."""

    seq: Count
    src: Id
    life: Count
    fingerprint: Count
    wishes: Annotated[list[Shortfall], Meta(max_length=ITEMS_MOST)]


class Loan(msgspec.Struct, array_like=True, frozen=True):
    """`amount` of a budget, for `life_ms` from when it was asked for, by the borrower's own clock."""

    budget: Key
    amount: Amount
    life_ms: Amount


class LoanReply(msgspec.Struct, array_like=True, tag=9):
    """The answer to the ask `seq` of that life."""

    seq: Count
    src: Id
    life: Count
    loans: Annotated[list[Loan], Meta(max_length=ITEMS_MOST)]


class RequestCounts(msgspec.Struct, array_like=True, frozen=True):
    """What a member saw of one worker over its own sliding window: requests ended, and how many failed."""

    worker: Key
    sent: Count
    failed: Count


class EvidenceReport(msgspec.Struct, array_like=True, tag=10):
    """Evidence for a worker's judges: the latest of a life stands for all before it."""

    seq: Count
    src: Id
    life: Count
    seen: Annotated[list[RequestCounts], Meta(max_length=ITEMS_MOST)]


class RegisterUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A register as told on: what was written and when, and how long others have held it."""

    key: Key
    stamp: Stamp
    value: Annotated[bytes, Meta(max_length=64)] | None
    age_ms: Amount


class StateGossip(msgspec.Struct, array_like=True, tag=11):
    """Registers and rows of counts, told on to a few members; `unix_ms` is the sender's clock as it sends."""

    src: Id
    unix_ms: Amount
    said: Annotated[list[RegisterUpdate], Meta(max_length=ITEMS_MOST)] = []
    rows: Annotated[list[CounterRow], Meta(max_length=ITEMS_MOST)] = []


class StateSnapshot(msgspec.Struct, array_like=True):
    """The shared state that rides on a push-pull."""

    said: Annotated[list[RegisterUpdate], Meta(max_length=8_192)] = []
    rows: Annotated[list[CounterRow], Meta(max_length=4_096)] = []


class ReportSubscription(msgspec.Struct, array_like=True, tag=12):
    """To those that watch these workers: I use them, send me their reports."""

    src: Id
    workers: Annotated[list[Key], Meta(max_length=ITEMS_MOST)]


class WorkerReport(msgspec.Struct, array_like=True, frozen=True):
    """A worker's load report, as a probe of the sender's brought it just now."""

    worker: Key
    fields: Annotated[dict[Annotated[str, Meta(max_length=32)], Annotated[float, Meta(ge=-1e12, le=1e12)]],
                      Meta(max_length=16)]  # fmt: skip


class WorkerReports(msgspec.Struct, array_like=True, tag=13):
    """Reports of workers that the sender watches, for one that uses them."""

    src: Id
    reports: Annotated[list[WorkerReport], Meta(max_length=ITEMS_MOST)]


class FleetLoadReport(msgspec.Struct, array_like=True, tag=14):
    """To the judges of the fleet's load: of each class, in the settings' order, over the last `span_ms`, jobs
    asked for, turned away as agreed, served in time, served late, refused or failed."""

    seq: Count
    src: Id
    life: Count
    span_ms: Amount
    loads: Annotated[list[tuple[Count, Count, Count, Count, Count]], Meta(max_length=ITEMS_MOST)]


StateMessage = (
    TicketRequest | TicketReply | LoanRequest | LoanReply | EvidenceReport | StateGossip
    | ReportSubscription | WorkerReports | FleetLoadReport
)  # fmt: skip
AnyMessage = Message | StateMessage


@dataclass(frozen=True, slots=True)
class BudgetKind:
    """A kind of budget: its bound at each worker (or for the fleet), and how long after a right to it has run
    out what was spent on it may still weigh (ms): a rate's window, a connection's longest use.

    Of a `rate` nothing is spent for so long after a start: an earlier life may have spent its floor just now.
    (What is held at once, such as connections, ends with the process.)
    """

    bound: float
    grace_ms: float
    rate: bool = True
    unit: float = 0.0  # less than this is of no use: one connection

    @property
    def quiet_ms(self) -> float:
        """After a start, until any of it may be spent."""
        return self.grace_ms if self.rate else 0.0


def tickets_for(size: int) -> int:
    """Tickets enough for a fleet: some four a member, so that few have none."""
    return min(max(4 * size, 256), 4_096)


@dataclass(frozen=True)
class SharingConfig:
    """How state is shared.  What `fingerprint` covers must be the same at all members.."""

    witnesses: tuple[str, ...] = ()  # ids; without any, each member has its floor alone
    size: int = 1  # members of the fleet at most
    floor: float = 0.05  # of each budget, divided by `size`: what a member may spend heard or not
    tickets: int = 256
    lease_ms: float = 4_000.0  # of a ticket
    loan_ms: float = 2_000.0
    renew_ms: float = 1_000.0  # tickets and loans are asked for anew this often
    margin_ms: float = 250.0  # for clocks that run at different rates over a lease
    kinds: dict[str, BudgetKind] = field(default_factory=dict)  # by the budget's name up to its slash
    asked_most: int = 8  # members asked for loans at each renewal
    most_budgets: int = 1_024
    spread_ms: float = 200.0  # registers and rows are told on this often
    spread_nodes: int = 3
    judges: int = 3
    window_ms: float = 10_000.0  # of evidence
    tell_ms: float = 200.0
    settle_ms: float = 1_000.0  # from the first evidence to a judgement, so that successes are heard too
    quorum: int = 3  # members that must find a worker bad
    least: int = 6  # failed requests that they must have seen together
    volume: int = 30  # failed requests that are enough from two members
    ratio: float = 0.5  # of a member's requests that failed, and of the members that find it bad
    bad_ms: float = 10_000.0  # a judgement's life
    most_workers: int = 2_048
    retry_ratio: float = 0.0  # retries for each first attempt, over the fleet; 0: not bounded
    retry_floor: float = 2.0  # retries a second of all members together, heard or not
    watchers: int = 0  # members that probe a worker; 0: each its own
    using_ms: float = 5_000.0  # watchers are told what we use this often
    reports_ms: float = 100.0  # reports are sent on this often
    priorities: tuple[int, ...] = ()  # of the classes, where load is shed by the fleet as one; (): it is not
    load_ms: float = 500.0  # judges are told of load this often, less often beyond 50 members
    counts_ms: float = 5_000.0  # a member's row is told this often, less often beyond 16 members

    @property
    def majority(self) -> int:
        return len(self.witnesses) // 2 + 1

    @cached_property
    def hold_ms(self) -> float:
        """How long a witness keeps a ticket for a life that asks no more."""
        return self.lease_ms + self.margin_ms + max((k.grace_ms for k in self.kinds.values()), default=0.0)

    @cached_property
    def fingerprint(self) -> int:
        """Names what must be the same at all members for the bounds to hold."""
        kinds = sorted((name, *astuple(kind)) for name, kind in self.kinds.items())
        same = (sorted(self.witnesses), self.size, self.floor, self.tickets, self.lease_ms, self.loan_ms,
                self.margin_ms, kinds)  # fmt: skip
        return zlib.crc32(repr(same).encode())

    def kind_of(self, budget: str) -> BudgetKind | None:
        return self.kinds.get(budget.partition("/")[0])

    def floor_amount(self, bound: float) -> float:
        """What each member may always spend of a budget."""
        return bound * (self.floor if self.witnesses else 1.0) / max(self.size, 1)

    def ticket_amount(self, bound: float) -> float:
        """What one ticket gives of a budget."""
        return bound * (1.0 - self.floor) / self.tickets if self.witnesses else 0.0
