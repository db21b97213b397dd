"""Budgets of the whole fleet by escrow: floors, tickets, and loans among members.  Pure.

After Balegas et al., "Putting consistency back into eventual consistency" (2015), with leases as Doorman has
them.  Of a budget's bound a member may spend its *floor*, what its *tickets* give (`tickets.py`) less what it
has lent, and what it has been lent.  A member that lacks asks a few others; one asked lends what it does not
want of its tickets, as a loan that ends before the tickets' lease does.

- The borrower counts a loan from the moment it asked, on its own clock, and keeps the latest of each lender.
- The lender counts it from the (later) moment it lent, until `margin_ms` and the budget's grace after its
  end; of several loans to one borrower it counts the largest, since the borrower may hold any of them.
- What a member has spent within the grace counts as wanted, so that it is not lent while it still weighs.

So each unit of a budget is one member's at a time, and the sum of what all may spend is never above the
bound, whatever is lost, doubled, replayed, late or cut off, and whatever the clocks say.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from .sharing import ITEMS_MOST, BudgetKind, Loan, LoanReply, LoanRequest, SharingConfig, Shortfall

KEEP = 1.25  # a member keeps this multiple of what it spends
GROW = 2.0  # what a member that was denied wants, of what it may spend
SHRINK = 0.5  # a want that is no longer there falls to this part at each renewal
LEAST = 0.01  # of what a member owns: less is not worth a loan
SPREAD_OVER = 2.0  # what is still lacking is asked for so many times over, in parts: not all can give theirs
LENDERS = 8  # members asked at one renewal at most, in `asked_most`
ASKS_KEPT = 128  # own asks whose answers may still come
FRESH = 0.75  # a loan is asked for anew once less than this share of its life is left


@dataclass
class Budget:
    """One budget as one member holds it; amounts are in the budget's own unit."""

    kind: BudgetKind
    target: float = 0.0  # what we want to be able to spend
    denied: bool = False  # something was turned down for it since the last renewal
    touched: float = 0.0  # when it was last asked about here
    lent: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # by borrower: (until, amount)
    borrowed: dict[str, tuple[int, float, float]] = field(
        default_factory=dict
    )  # lender: (ask, amount, until)
    asking: dict[str, tuple[float, float]] = field(default_factory=dict)  # borrower -> (its lack, when)


class Escrow:
    """One member's side of all budgets.

    `owned` tells until when each of our tickets is ours (the longest first), `used` how much of a budget we
    have spent within its grace.  A budget is named `kind/what`, and comes into being when first asked about.
    """

    def __init__(
        self,
        me: str,
        life: int,
        share: SharingConfig,
        owned: Callable[[float], list[float]],
        used: Callable[[str, float], float],
        rng: random.Random,
        now: float,
    ):
        self.me, self.life, self.share, self.rng = me, life, share, rng
        self._owned, self._used, self._started = owned, used, now
        self.budgets: dict[str, Budget] = {}
        self.counts: Counter = Counter()
        # what is given for good, by name: (give(lack, now) -> amount, take(ask, amount))
        self.gifts: dict[str, tuple[Callable[[float, float], float], Callable[[int, float], bool]]] = {}
        self._seq = 0
        self._reach, self._taken = share.asked_most, 0  # others asked beside our lenders; loans taken by then
        self._asked: dict[int, tuple[float, str]] = {}  # ask -> (when, whom)
        self._seen: dict[str, tuple[int, int]] = {}  # borrower -> its (life, last ask)

    # -- What may be spent -----------------------------------------------------------------------

    def budget(self, name: str, now: float) -> Budget | None:
        """The budget of that name; None where there is no such kind, or no room for more."""
        budget = self.budgets.get(name)
        if budget is None:
            kind = self.share.kind_of(name)
            if kind is None or len(self.budgets) >= self.share.most_budgets:
                self.counts["budgets_refused"] += 1
                return None
            budget = self.budgets[name] = Budget(kind)
        budget.touched = now
        return budget

    def available(self, name: str, now: float) -> float:
        """What we may spend of a budget now, what we have spent already within its grace included."""
        budget = self.budget(name, now)
        if budget is None or now < self._started + budget.kind.quiet_ms:
            return 0.0
        own = self.tickets(budget, now) - self.out(budget, now)
        return self.share.floor_amount(budget.kind.bound) + max(0.0, own) + self.held(budget, now)

    def tickets(self, budget: Budget, now: float) -> float:
        """What our tickets give of it."""
        return self.share.ticket_amount(budget.kind.bound) * sum(end > now for end in self._owned(now))

    def out(self, budget: Budget, now: float, but: str = "") -> float:
        """What borrowers (but one) may still hold of ours, or have spent so lately that it weighs."""
        return sum(self.out_to(budget, member, now) for member in budget.lent if member != but)

    def out_to(self, budget: Budget, member: str, now: float) -> float:
        """The most that one borrower may still hold of ours."""
        tail = self.share.margin_ms + budget.kind.grace_ms
        return max((amount for until, amount in budget.lent[member] if now < until + tail), default=0.0)

    def held(self, budget: Budget, now: float) -> float:
        """What we have been lent."""
        return sum(amount for _, amount, until in budget.borrowed.values() if now < until)

    def record_denial(self, name: str, now: float) -> None:
        """Something was turned down for want of this budget: we want more."""
        if (budget := self.budget(name, now)) is not None:
            budget.denied = True
            self.counts["denied"] += 1

    # -- Lending ---------------------------------------------------------------------------------

    def handle_request(self, ask: LoanRequest, now: float) -> LoanReply | None:
        """Another lacks: lend what we can spare.  None: nothing, or the ask is old."""
        if self._seen.get(ask.src, (-1, 0)) >= (ask.life, ask.seq):
            self.counts["asks_old"] += 1
            return None
        if ask.src not in self._seen and len(self._seen) >= 4 * max(self.share.size, 16):
            self._seen.pop(next(iter(self._seen)))
        self._seen[ask.src] = (ask.life, ask.seq)
        loans = []
        for wish in ask.wishes:
            if wish.budget in self.gifts:
                if (gift := self.gifts[wish.budget][0](wish.lack, now)) > 0:
                    loans.append(Loan(wish.budget, gift, 0.0))
                continue
            budget = self.budget(wish.budget, now)
            if budget is not None and (amount := self._spare(budget, wish, ask.src, now)) > 0:
                until = now + self.share.loan_ms
                budget.lent.setdefault(ask.src, []).append((until, amount))
                loans.append(Loan(wish.budget, amount, self.share.loan_ms))
        self.counts["loans_lent"] += len(loans)
        return LoanReply(ask.seq, self.me, ask.life, loans) if loans else None

    def _spare(self, budget: Budget, wish: Shortfall, borrower: str, now: float) -> float:
        """What this borrower gets: our spare, in proportion to what all lack that asked lately."""
        budget.asking[borrower] = (wish.lack, now)
        budget.asking = {m: a for m, a in budget.asking.items() if now - a[1] < self.share.loan_ms}
        unit = self.share.ticket_amount(budget.kind.bound)
        # a loan may not outlive the tickets that it is made of
        owned = unit * sum(end >= now + self.share.loan_ms for end in self._owned(now))
        wanted = max(budget.target, KEEP * self.spent(wish.budget, now))
        spare = owned - max(0.0, wanted - self.share.floor_amount(budget.kind.bound))
        need = sum(lack for lack, _ in budget.asking.values())
        fair = spare * wish.lack / need if need > 0 else 0.0
        amount = min(fair, spare - self.out(budget, now, but=borrower), wish.lack)
        return amount if amount > LEAST * owned else 0.0

    def spent(self, name: str, now: float) -> float:
        """What we have spent of it within its grace."""
        return max(0.0, self._used(name, now))

    # -- Borrowing -------------------------------------------------------------------------------

    def renew(self, now: float, others: list[str]) -> list[tuple[str, LoanRequest]]:
        """Each `renew_ms`: whom to ask, and for what.  Lets go what has run out."""
        self._let_go(now)
        lacks = {}
        for name, budget in self.budgets.items():
            used = self.spent(name, now)
            grown = max(GROW * max(self.available(name, now), used), used + budget.kind.unit)
            wanted = grown if budget.denied else KEEP * used
            budget.target = min(max(wanted, SHRINK * budget.target), budget.kind.bound)
            budget.denied = False
            own = max(0.0, self.tickets(budget, now) - self.out(budget, now))
            lack = budget.target - self.share.floor_amount(budget.kind.bound) - own
            if lack > LEAST * budget.kind.bound / max(self.share.size, 1):
                lacks[name] = lack
        return self._asks(lacks, now, others) if lacks else []

    def _asks(self, lacks: dict[str, float], now: float, others: list[str]) -> list[tuple[str, LoanRequest]]:
        """Lenders whose loans are running out, and some others where all loans are not enough."""
        soon = now + FRESH * self.share.loan_ms
        wishes: dict[str, list[Shortfall]] = {}
        # guards against a fleet in which all lack asking itself in vain
        grown = self.counts["loans_taken"] > self._taken
        self._reach = min(2 * self._reach, self.share.asked_most) if grown else max(self._reach // 2, 2)
        self._taken = self.counts["loans_taken"]
        fresh = self.rng.sample(others, min(len(others), self._reach))
        for name, lack in sorted(lacks.items(), key=lambda item: -item[1]):
            budget, renewed = self.budgets[name], {}
            # the largest loans first; what is no longer needed runs out
            for member, (_, amount, until) in sorted(budget.borrowed.items(), key=lambda b: -b[1][1]):
                if member in others and lack > 0:
                    if until < soon:
                        renewed[member] = min(amount, lack)
                    lack -= amount
            asked = [*renewed, *(m for m in fresh if m not in budget.borrowed)]
            more = 0.0
            if asked and lack > LEAST * budget.kind.bound / max(self.share.size, 1):
                more = lack * min(1.0, SPREAD_OVER / len(asked))
            for member in asked:
                if (wish := renewed.get(member, 0.0) + more) > 0:
                    self._wish(wishes, member, name, wish)
        return [(member, self.new_request(member, some, now)) for member, some in wishes.items()]

    def new_request(self, member: str, wishes: list[Shortfall], now: float) -> LoanRequest:
        """An ask to a member, whose answer is waited for."""
        self._seq += 1
        self._asked[self._seq] = (now, member)
        self._asked.pop(self._seq - ASKS_KEPT, None)
        self.counts["asks"] += 1
        return LoanRequest(self._seq, self.me, self.life, self.share.fingerprint, wishes)

    def _wish(self, wishes: dict[str, list[Shortfall]], member: str, name: str, lack: float) -> None:
        if member not in wishes and len(wishes) >= LENDERS * self.share.asked_most:
            return  # what a member sends stays bounded, however much it lacks
        some = wishes.setdefault(member, [])
        if len(some) < ITEMS_MOST:
            some.append(Shortfall(name, lack))

    def handle_reply(self, lend: LoanReply, now: float) -> bool:
        """The answer to one of our asks; False where it is none of them, and why is counted."""
        at, whom = self._asked.get(lend.seq, (0.0, ""))
        if lend.life != self.life or whom != lend.src:
            self.counts["loans_not_asked_for"] += 1
            return False
        for loan in lend.loans:
            if loan.budget in self.gifts:
                self.gifts[loan.budget][1](lend.seq, loan.amount)
                continue
            budget = self.budgets.get(loan.budget)
            if budget is None or loan.amount > budget.kind.bound or loan.life_ms > self.share.loan_ms:
                self.counts["loans_absurd"] += 1
                continue
            until = at + loan.life_ms
            if until <= now:
                self.counts["loans_late"] += 1
            elif budget.borrowed.get(lend.src, (-1, 0.0, 0.0))[0] < lend.seq:
                budget.borrowed[lend.src] = (lend.seq, loan.amount, until)
                self.counts["loans_taken"] += 1
            else:
                self.counts["loans_old"] += 1
        return True

    # -- Time ------------------------------------------------------------------------------------

    def _let_go(self, now: float) -> None:
        for name, budget in list(self.budgets.items()):
            tail = self.share.margin_ms + budget.kind.grace_ms
            for member, loans in list(budget.lent.items()):
                budget.lent[member] = [loan for loan in loans if now < loan[0] + tail]
                if not budget.lent[member]:
                    del budget.lent[member]
                    self.counts["loans_returned"] += 1
            for lender in [m for m, (_, _, until) in budget.borrowed.items() if now >= until]:
                del budget.borrowed[lender]
                self.counts["loans_expired"] += 1
            idle = now - budget.touched > 10 * self.share.loan_ms + budget.kind.grace_ms
            if idle and not budget.lent and not budget.borrowed:
                del self.budgets[name]
