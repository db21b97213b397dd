"""Messages and configuration of the state that schedulers share (docs/design/fleet_state.md).  Plain data.

The messages travel as datagrams beside those of the membership (`model.py`).  Strings, lists and numbers are
bounded here.  Times are milliseconds.  No lease compares two clocks, because messages carry durations; the
only clock reading sent (`StateGossip.unix_ms`) is used to order judgements.
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
Bitmap = Annotated[bytes, Meta(max_length=512)]
MAX_ITEMS = 64  # shortfalls, loans, request counts, registers or rows in one datagram


class TicketRequest(msgspec.Struct, array_like=True, tag=6):
    """Asks a witness to lend these tickets to this instance of the sender for one lease.

    `fingerprint` identifies the sender's settings.
    """

    seq: Count
    src: Id
    instance: Count
    fingerprint: Count
    tickets: Bitmap


class TicketReply(msgspec.Struct, array_like=True, tag=7):
    """A witness's reply to request `seq` of that instance: the tickets that it lends."""

    seq: Count
    src: Id
    instance: Count
    tickets: Bitmap


class Shortfall(msgspec.Struct, array_like=True, frozen=True):
    """How much of a budget the sender lacks."""

    budget: Key
    amount: Amount


class LoanRequest(msgspec.Struct, array_like=True, tag=8):
    """Asks a member to lend what it can spare of these budgets."""

    seq: Count
    src: Id
    instance: Count
    fingerprint: Count
    shortfalls: Annotated[list[Shortfall], Meta(max_length=MAX_ITEMS)]


class Loan(msgspec.Struct, array_like=True, frozen=True):
    """`amount` of a budget for `duration_ms`, counted from the request by the borrower's own clock."""

    budget: Key
    amount: Amount
    duration_ms: Amount


class LoanReply(msgspec.Struct, array_like=True, tag=9):
    """The reply to loan request `seq` of that instance."""

    seq: Count
    src: Id
    instance: Count
    loans: Annotated[list[Loan], Meta(max_length=MAX_ITEMS)]


class RequestCounts(msgspec.Struct, array_like=True, frozen=True):
    """One member's requests to a worker over its own sliding window: how many ended and how many failed."""

    worker: Key
    sent: Count
    failed: Count


class EvidenceReport(msgspec.Struct, array_like=True, tag=10):
    """Request counts for the judges of these workers; an instance's latest report replaces earlier ones."""

    seq: Count
    src: Id
    instance: Count
    counts: Annotated[list[RequestCounts], Meta(max_length=MAX_ITEMS)]


class RegisterUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A register as it is passed on: its value, when it was written, and its age when it was sent."""

    key: Key
    stamp: Stamp
    value: Annotated[bytes, Meta(max_length=64)] | None
    age_ms: Amount


class StateGossip(msgspec.Struct, array_like=True, tag=11):
    """Registers and counter rows passed on to a few members; `unix_ms` is the sender's clock at sending."""

    src: Id
    unix_ms: Amount
    registers: Annotated[list[RegisterUpdate], Meta(max_length=MAX_ITEMS)] = []
    rows: Annotated[list[CounterRow], Meta(max_length=MAX_ITEMS)] = []


class StateSnapshot(msgspec.Struct, array_like=True):
    """The complete shared state of a member, sent with a push-pull."""

    registers: Annotated[list[RegisterUpdate], Meta(max_length=8_192)] = []
    rows: Annotated[list[CounterRow], Meta(max_length=4_096)] = []


class ReportSubscription(msgspec.Struct, array_like=True, tag=12):
    """Tells a watcher of these workers that the sender uses them and wants their load reports."""

    src: Id
    workers: Annotated[list[Key], Meta(max_length=MAX_ITEMS)]


class WorkerReport(msgspec.Struct, array_like=True, frozen=True):
    """A worker's load report, as the sender's probe has just returned it."""

    worker: Key
    fields: Annotated[dict[Annotated[str, Meta(max_length=32)], Annotated[float, Meta(ge=-1e12, le=1e12)]],
                      Meta(max_length=16)]  # fmt: skip


class WorkerReports(msgspec.Struct, array_like=True, tag=13):
    """Load reports of workers that the sender watches, for a member that uses them."""

    src: Id
    reports: Annotated[list[WorkerReport], Meta(max_length=MAX_ITEMS)]


class FleetLoadReport(msgspec.Struct, array_like=True, tag=14):
    """A member's jobs over the last `span_ms`, for the judges of the fleet's load.

    `loads` has one entry for each class, in the settings' order: jobs offered, shed by the fleet's decision,
    served in time, served late, and refused or failed.
    """

    seq: Count
    src: Id
    instance: Count
    span_ms: Amount
    loads: Annotated[list[tuple[Count, Count, Count, Count, Count]], Meta(max_length=MAX_ITEMS)]


StateMessage = (
    TicketRequest | TicketReply | LoanRequest | LoanReply | EvidenceReport | StateGossip
    | ReportSubscription | WorkerReports | FleetLoadReport
)  # fmt: skip
AnyMessage = Message | StateMessage


@dataclass(frozen=True, slots=True)
class BudgetKind:
    """A kind of budget: its bound at each worker (or for the fleet) and its grace period.

    The grace period is how long spending may still count after the right to it has expired: a rate's window,
    or the longest use of a connection.  With `is_rate`, nothing is spent for that long after a start, because
    an earlier instance may have spent its floor just before.  What is held at once, such as connections, ends
    with the process.
    """

    bound: float
    grace_ms: float
    is_rate: bool = True
    min_useful: float = 0.0  # a smaller amount is of no use: one connection

    @property
    def quiet_ms(self) -> float:
        """How long after a start none of it may be spent."""
        return self.grace_ms if self.is_rate else 0.0


def tickets_for(size: int) -> int:
    """The default number of tickets: about four a member, so that few members have none."""
    return min(max(4 * size, 256), 4_096)


@dataclass(frozen=True)
class SharingConfig:
    """How state is shared.  What `fingerprint` covers must be the same at all members.

    Fields that are also keys of the deployment file's `[shared]` table are filled from it by name.
    """

    witnesses: tuple[str, ...] = ()  # member ids; without any, each member has its floor alone
    size: int = 1  # max members of the fleet
    floor: float = 0.05  # of each budget, divided by `size`: what a member may spend without any contact
    tickets: int = 256
    lease_ms: float = 4_000.0  # of a ticket
    loan_ms: float = 2_000.0
    renew_ms: float = 1_000.0  # interval of requests for tickets and loans
    margin_ms: float = 250.0  # allowance for clocks that run at different rates over a lease
    kinds: dict[str, BudgetKind] = field(default_factory=dict)  # by the budget's name up to its slash
    max_lenders: int = 8  # members asked for loans at each renewal
    max_budgets: int = 1_024
    gossip_ms: float = 200.0  # interval at which registers and rows are passed on
    gossip_nodes: int = 3
    judges: int = 3
    window_ms: float = 10_000.0  # of evidence
    evidence_ms: float = 200.0  # interval of evidence reports
    settle_ms: float = 1_000.0  # from the first evidence to a judgement, so that successes are reported too
    quorum: int = 3  # members that must find a worker bad
    least: int = 6  # failed requests that these members must have seen together
    volume: int = 30  # failed requests that suffice from two members
    ratio: float = 0.5  # min share of a member's requests that failed, and of the members that find it bad
    bad_ms: float = 10_000.0  # how long a judgement holds
    max_workers: int = 2_048
    retry_ratio: float = 0.0  # retries for each first attempt, over the fleet; 0: not bounded
    retry_floor: float = 2.0  # retries a second of all members together, available without any contact
    watchers: int = 0  # members that probe a worker; 0: each member probes for itself
    subscribe_ms: float = 5_000.0  # interval of subscriptions at the watchers
    reports_ms: float = 100.0  # interval at which worker reports are forwarded
    priorities: tuple[int, ...] = ()  # of the classes, where the fleet sheds load together; (): it does not
    load_ms: float = 500.0  # interval of load reports to the judges, longer beyond 50 members
    counts_ms: float = 5_000.0  # interval at which a member's counter row is sent, longer beyond 16 members

    @property
    def majority(self) -> int:
        return len(self.witnesses) // 2 + 1

    @cached_property
    def hold_ms(self) -> float:
        """How long a witness holds a ticket for an instance that no longer requests it."""
        return self.lease_ms + self.margin_ms + max((k.grace_ms for k in self.kinds.values()), default=0.0)

    @cached_property
    def fingerprint(self) -> int:
        """Identifies the settings that must be the same at all members for the bounds to hold."""
        kinds = sorted((name, *astuple(kind)) for name, kind in self.kinds.items())
        same = (sorted(self.witnesses), self.size, self.floor, self.tickets, self.lease_ms, self.loan_ms,
                self.margin_ms, kinds)  # fmt: skip
        return zlib.crc32(repr(same).encode())

    def kind_of(self, budget: str) -> BudgetKind | None:
        return self.kinds.get(budget.partition("/")[0])

    def floor_amount(self, bound: float) -> float:
        """How much of a budget each member may always spend."""
        return bound * (self.floor if self.witnesses else 1.0) / max(self.size, 1)

    def ticket_amount(self, bound: float) -> float:
        """How much of a budget one ticket is worth."""
        return bound * (1.0 - self.floor) / self.tickets if self.witnesses else 0.0
