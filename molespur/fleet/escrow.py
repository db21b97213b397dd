"""The fleet's budgets by escrow: floors, tickets, and loans among members.  Pure.

After Balegas et al., "Putting consistency back into eventual consistency" (2015), with leases as in Doorman.
Of a budget's bound a member may spend its *floor*, the worth of its *tickets* (`tickets.py`) less what it has
lent, and what it has borrowed.  A member that lacks some requests loans from a few others.  A member that
receives a request lends what it does not need of its tickets, as a loan that ends before the tickets' lease.

- The borrower counts a loan from its request, on its own clock, and keeps the latest loan of each lender.
- The lender counts it from the (later) moment of lending until `margin_ms` and the budget's grace period
  after its end.  Of several loans to one borrower it counts the largest, since the borrower may hold any.
- What a member has spent within the grace period counts as needed, so that it is not lent while it counts.

So each unit of a budget belongs to one member at a time.  The sum of what all members may spend never exceeds
the bound, however messages are lost, duplicated, replayed, delayed or cut off, and whatever the clocks show.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from .sharing import MAX_ITEMS, BudgetKind, Loan, LoanReply, LoanRequest, SharingConfig, Shortfall

KEEP_FACTOR = 1.25  # a member keeps this multiple of what it spends
GROWTH_FACTOR = 2.0  # the target after a denial, as a multiple of what the member may spend
DECAY_FACTOR = 0.5  # an unused target falls to this share at each renewal
MIN_LOAN_SHARE = 0.01  # of what a member owns: a smaller loan is not worth a message
OVERASK_FACTOR = 2.0  # a shortfall is requested this many times over: not all lenders can give a part
MAX_REQUESTS_FACTOR = 8  # max members asked at one renewal, as a multiple of `max_lenders`
MAX_PENDING = 128  # own requests whose replies are still accepted
RENEW_BELOW = 0.75  # a loan is requested again once less than this share of its duration is left


@dataclass
class Budget:
    """One budget as one member holds it; amounts are in the budget's own unit."""

    kind: BudgetKind
    target: float = 0.0  # what we want to be able to spend
    denied: bool = False  # something was rejected for lack of it since the last renewal
    last_used_at: float = 0.0  # when it was last looked up here
    # borrower -> its loans: (until, amount)
    lent: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    # lender -> (request, amount, until)
    borrowed: dict[str, tuple[int, float, float]] = field(default_factory=dict)
    # borrower -> (its shortfall, when it was requested)
    shortfalls: dict[str, tuple[float, float]] = field(default_factory=dict)


class Escrow:
    """One member's side of all budgets.

    `owned` returns until when each of our tickets is ours (the latest first), `used` how much of a budget we
    have spent within its grace period.  A budget is named `kind/what` and is created on its first use.
    """

    def __init__(
        self,
        own_id: str,
        instance: int,
        config: SharingConfig,
        owned: Callable[[float], list[float]],
        used: Callable[[str, float], float],
        rng: random.Random,
        now: float,
    ):
        self.own_id, self.instance, self.config, self.rng = own_id, instance, config, rng
        self._owned, self._used, self._started = owned, used, now
        self.budgets: dict[str, Budget] = {}
        self.counts: Counter = Counter()
        # budgets whose amounts are transferred for good, by name:
        # (give(lack, now) -> amount, take(request, amount))
        self.transfers: dict[str, tuple[Callable[[float, float], float], Callable[[int, float], bool]]] = {}
        self._seq = 0
        # how many members to ask beside our lenders, and the count of loans taken at the last renewal
        self._new_lenders, self._loans_before = config.max_lenders, 0
        self._pending: dict[int, tuple[float, str]] = {}  # request -> (when, to whom)
        self._last_requests: dict[str, tuple[int, int]] = {}  # borrower -> its (instance, last request)

    # -- What may be spent -----------------------------------------------------------------------

    def budget(self, name: str, now: float) -> Budget | None:
        """The budget of that name; None where there is no such kind, or no room for more."""
        budget = self.budgets.get(name)
        if budget is None:
            kind = self.config.kind_of(name)
            if kind is None or len(self.budgets) >= self.config.max_budgets:
                self.counts["budgets_refused"] += 1
                return None
            budget = self.budgets[name] = Budget(kind)
        budget.last_used_at = now
        return budget

    def available(self, name: str, now: float) -> float:
        """What we may spend of a budget now, including what we have already spent within its grace period."""
        budget = self.budget(name, now)
        if budget is None or now < self._started + budget.kind.quiet_ms:
            return 0.0
        own = self.ticket_worth(budget, now) - self.lent_out(budget, now)
        return self.config.floor_amount(budget.kind.bound) + max(0.0, own) + self.borrowed_amount(budget, now)

    def ticket_worth(self, budget: Budget, now: float) -> float:
        """How much of it our tickets are worth."""
        return self.config.ticket_amount(budget.kind.bound) * sum(end > now for end in self._owned(now))

    def lent_out(self, budget: Budget, now: float, excluding: str = "") -> float:
        """What borrowers (but one) may still hold of ours, or have spent so recently that it counts."""
        return sum(self.lent_to(budget, member, now) for member in budget.lent if member != excluding)

    def lent_to(self, budget: Budget, member: str, now: float) -> float:
        """The most that one borrower may still hold of ours."""
        tail = self.config.margin_ms + budget.kind.grace_ms
        return max((amount for until, amount in budget.lent[member] if now < until + tail), default=0.0)

    def borrowed_amount(self, budget: Budget, now: float) -> float:
        """What we have borrowed."""
        return sum(amount for _, amount, until in budget.borrowed.values() if now < until)

    def record_denial(self, name: str, now: float) -> None:
        """Something was rejected for lack of this budget: raise its target at the next renewal."""
        if (budget := self.budget(name, now)) is not None:
            budget.denied = True
            self.counts["denied"] += 1

    # -- Lending ---------------------------------------------------------------------------------

    def handle_request(self, request: LoanRequest, now: float) -> LoanReply | None:
        """Lend what we can spare; None where that is nothing, or where the request is old."""
        if self._last_requests.get(request.src, (-1, 0)) >= (request.instance, request.seq):
            self.counts["asks_old"] += 1
            return None
        if request.src not in self._last_requests and len(self._last_requests) >= 4 * max(
            self.config.size, 16
        ):
            self._last_requests.pop(next(iter(self._last_requests)))
        self._last_requests[request.src] = (request.instance, request.seq)
        loans = []
        for shortfall in request.shortfalls:
            if shortfall.budget in self.transfers:
                if (amount := self.transfers[shortfall.budget][0](shortfall.amount, now)) > 0:
                    loans.append(Loan(shortfall.budget, amount, 0.0))
                continue
            budget = self.budget(shortfall.budget, now)
            if budget is not None and (amount := self._loan_amount(budget, shortfall, request.src, now)) > 0:
                until = now + self.config.loan_ms
                budget.lent.setdefault(request.src, []).append((until, amount))
                loans.append(Loan(shortfall.budget, amount, self.config.loan_ms))
        self.counts["loans_lent"] += len(loans)
        return LoanReply(request.seq, self.own_id, request.instance, loans) if loans else None

    def _loan_amount(self, budget: Budget, shortfall: Shortfall, borrower: str, now: float) -> float:
        """This borrower's part of what we can spare, in proportion to all recent shortfalls."""
        budget.shortfalls[borrower] = (shortfall.amount, now)
        budget.shortfalls = {m: s for m, s in budget.shortfalls.items() if now - s[1] < self.config.loan_ms}
        unit = self.config.ticket_amount(budget.kind.bound)
        # a loan must not outlive the tickets that back it
        owned = unit * sum(end >= now + self.config.loan_ms for end in self._owned(now))
        wanted = max(budget.target, KEEP_FACTOR * self.spent(shortfall.budget, now))
        spare = owned - max(0.0, wanted - self.config.floor_amount(budget.kind.bound))
        need = sum(lack for lack, _ in budget.shortfalls.values())
        fair = spare * shortfall.amount / need if need > 0 else 0.0
        amount = min(fair, spare - self.lent_out(budget, now, excluding=borrower), shortfall.amount)
        return amount if amount > MIN_LOAN_SHARE * owned else 0.0

    def spent(self, name: str, now: float) -> float:
        """What we have spent of it within its grace period."""
        return max(0.0, self._used(name, now))

    # -- Borrowing -------------------------------------------------------------------------------

    def renew(self, now: float, others: list[str]) -> list[tuple[str, LoanRequest]]:
        """Expire what has run out; return whom to ask and for what.  Called each `renew_ms`."""
        self._expire(now)
        lacks = {}
        for name, budget in self.budgets.items():
            used = self.spent(name, now)
            grown = max(GROWTH_FACTOR * max(self.available(name, now), used), used + budget.kind.min_useful)
            wanted = grown if budget.denied else KEEP_FACTOR * used
            budget.target = min(max(wanted, DECAY_FACTOR * budget.target), budget.kind.bound)
            budget.denied = False
            own = max(0.0, self.ticket_worth(budget, now) - self.lent_out(budget, now))
            lack = budget.target - self.config.floor_amount(budget.kind.bound) - own
            if lack > MIN_LOAN_SHARE * budget.kind.bound / max(self.config.size, 1):
                lacks[name] = lack
        return self._requests(lacks, now, others) if lacks else []

    def _requests(
        self, lacks: dict[str, float], now: float, others: list[str]
    ) -> list[tuple[str, LoanRequest]]:
        """Requests to lenders whose loans are running out, and to others where these are not enough."""
        soon = now + RENEW_BELOW * self.config.loan_ms
        shortfalls: dict[str, list[Shortfall]] = {}
        # guards against a fleet in which all members lack some and send each other requests in vain
        grown = self.counts["loans_taken"] > self._loans_before
        self._new_lenders = (
            min(2 * self._new_lenders, self.config.max_lenders) if grown else max(self._new_lenders // 2, 2)
        )
        self._loans_before = self.counts["loans_taken"]
        fresh = self.rng.sample(others, min(len(others), self._new_lenders))
        for name, lack in sorted(lacks.items(), key=lambda item: -item[1]):
            budget, renewed = self.budgets[name], {}
            # the largest loans first; loans that are no longer needed run out
            for member, (_, amount, until) in sorted(budget.borrowed.items(), key=lambda b: -b[1][1]):
                if member in others and lack > 0:
                    if until < soon:
                        renewed[member] = min(amount, lack)
                    lack -= amount
            asked = [*renewed, *(m for m in fresh if m not in budget.borrowed)]
            more = 0.0
            if asked and lack > MIN_LOAN_SHARE * budget.kind.bound / max(self.config.size, 1):
                more = lack * min(1.0, OVERASK_FACTOR / len(asked))
            for member in asked:
                if (amount := renewed.get(member, 0.0) + more) > 0:
                    self._add_shortfall(shortfalls, member, name, amount)
        return [(member, self.new_request(member, some, now)) for member, some in shortfalls.items()]

    def new_request(self, member: str, shortfalls: list[Shortfall], now: float) -> LoanRequest:
        """A request to a member; its reply is accepted from then on."""
        self._seq += 1
        self._pending[self._seq] = (now, member)
        self._pending.pop(self._seq - MAX_PENDING, None)
        self.counts["asks"] += 1
        return LoanRequest(self._seq, self.own_id, self.instance, self.config.fingerprint, shortfalls)

    def _add_shortfall(
        self, shortfalls: dict[str, list[Shortfall]], member: str, name: str, amount: float
    ) -> None:
        if member not in shortfalls and len(shortfalls) >= MAX_REQUESTS_FACTOR * self.config.max_lenders:
            return  # bounds what a member sends, however much it lacks
        some = shortfalls.setdefault(member, [])
        if len(some) < MAX_ITEMS:
            some.append(Shortfall(name, amount))

    def handle_reply(self, reply: LoanReply, now: float) -> bool:
        """Take the reply to one of our requests; False (and counted) where it replies to none of them."""
        at, whom = self._pending.get(reply.seq, (0.0, ""))
        if reply.instance != self.instance or whom != reply.src:
            self.counts["loans_not_asked_for"] += 1
            return False
        for loan in reply.loans:
            if loan.budget in self.transfers:
                self.transfers[loan.budget][1](reply.seq, loan.amount)
                continue
            budget = self.budgets.get(loan.budget)
            if budget is None or loan.amount > budget.kind.bound or loan.duration_ms > self.config.loan_ms:
                self.counts["loans_absurd"] += 1
                continue
            until = at + loan.duration_ms
            if until <= now:
                self.counts["loans_late"] += 1
            elif budget.borrowed.get(reply.src, (-1, 0.0, 0.0))[0] < reply.seq:
                budget.borrowed[reply.src] = (reply.seq, loan.amount, until)
                self.counts["loans_taken"] += 1
            else:
                self.counts["loans_old"] += 1
        return True

    # -- Time ------------------------------------------------------------------------------------

    def _expire(self, now: float) -> None:
        for name, budget in list(self.budgets.items()):
            tail = self.config.margin_ms + budget.kind.grace_ms
            for member, loans in list(budget.lent.items()):
                budget.lent[member] = [loan for loan in loans if now < loan[0] + tail]
                if not budget.lent[member]:
                    del budget.lent[member]
                    self.counts["loans_returned"] += 1
            for lender in [m for m, (_, _, until) in budget.borrowed.items() if now >= until]:
                del budget.borrowed[lender]
                self.counts["loans_expired"] += 1
            idle = now - budget.last_used_at > 10 * self.config.loan_ms + budget.kind.grace_ms
            if idle and not budget.lent and not budget.borrowed:
                del self.budgets[name]
