"""Budgets of the whole fleet by escrow: slot shares, lent as leases that run out.  Pure.

After Balegas et al., "Putting consistency back into eventual consistency" (2015), with leases as Doorman has
them. A budget's bound B (a rate, or a number held at once) is split into `slots` equal shares, and each
member owns one by its stable slot number: B / slots is its floor, which it may always spend, heard or not.  A
member lends what it does not want of its share to members that want more than theirs, as a lease: an amount
until an expiry, numbered, renewed each `renew_ms` while the want lasts.  For a lease's life and a margin
after its start, a member spends nothing of its own share: leases of its earlier life may still be out.

- The lender counts a lease as its own spending until the lease's expiry and `margin_ms` more have passed; of
  several leases to one borrower it counts the largest, since a borrower holds one lease of a lender at a
  time.
- The borrower counts a lease only until its expiry by its own clock, keeps only the highest number from each
  lender, and takes none that is expired, larger than a share, or not for it.

So each unit of a budget is counted by one member at a time, within the margin for clocks: the sum that all
members may spend is never above B, whatever is lost, duplicated, replayed, reordered or cut off.  A part of
the fleet that is cut off spends at most its own slots and leases that run out.  A lender that dies takes its
slot with it until it restarts (its leases run out); rights are never recreated by another member, which would
be twice.
"""

import math
from dataclasses import dataclass, field

import msgspec

KEEP_SHARE = 1.2  # a lender keeps this multiple of what it wants itself
KEEP_FLOOR = 0.05  # and at least this share of its slot


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """`amount` of `budget`, lent by `lender` to `borrower` until `expires_ms` (Unix ms, lender's clock)."""

    budget: str
    lender: str
    borrower: str
    seq: int
    amount: float
    expires_ms: float


class Want(msgspec.Struct, frozen=True, array_like=True):
    """What a member would spend of a budget, and what it owns of it, as of `at_ms`."""

    budget: str
    member: str
    wanted: float
    owned: float
    at_ms: float


@dataclass
class Tuning:
    lease_ms: float = 3_000.0  # a lease's life
    renew_ms: float = 1_000.0  # leases are renewed, and wants told, this often
    margin_ms: float = 500.0  # clocks of members differ by less than this
    want_ms: float = 5_000.0  # a want not heard again for this long is passed over


@dataclass
class Budget:
    bound: float
    lent: dict[str, list[Lease]] = field(default_factory=dict)  # by borrower, until expiry + margin
    borrowed: dict[str, Lease] = field(default_factory=dict)  # by lender: the highest number
    wants: dict[str, Want] = field(default_factory=dict)  # by member, ours included


class Escrow:
    """One member's side of all budgets: what it may spend, what it lends, what it holds of others.

    `slot` is its stable slot number (None: it owns no share and spends what it is lent); `slots` how many
    there are.  `bounds` names each budget with its bound.  Times are Unix milliseconds, passed in.
    """

    def __init__(
        self, me: str, slot: int | None, slots: int, bounds: dict[str, float], started_ms: float, tuning=None
    ):
        if slots < 1 or (slot is not None and not 0 <= slot < slots):
            raise ValueError(f"slot {slot} of {slots}")
        self.me, self.slot, self.slots, self.started_ms = me, slot, slots, started_ms
        self.tuning = tuning or Tuning()
        self.budgets = {name: Budget(bound) for name, bound in bounds.items()}
        self.counts: dict[str, int] = {}
        self._seq = 0
        self._renewed = -math.inf

    # -- What may be spent -----------------------------------------------------------------------

    def share(self, budget: str) -> float:
        """A slot's share of a budget."""
        return self.budgets[budget].bound / self.slots

    def owned(self, budget: str) -> float:
        return 0.0 if self.slot is None else self.share(budget)

    def liability(self, budget: str, now: float) -> float:
        """What our leases out may still be spent by their borrowers.

        Just after a start all of the share: leases of an earlier life of ours may be out, unknown to us.
        """
        if self._quiet(now):
            return self.owned(budget)
        held = self.budgets[budget]
        return sum(self._out_to(held, member, now) for member in held.lent)

    def held(self, budget: str, now: float) -> float:
        """What leases of others give us now."""
        return sum(lease.amount for lease in self.budgets[budget].borrowed.values() if now < lease.expires_ms)

    def available(self, budget: str, now: float) -> float:
        """What we may spend now: our share less what we lent, and what we were lent."""
        return max(0.0, self.owned(budget) - self.liability(budget, now)) + self.held(budget, now)

    # -- What comes in ---------------------------------------------------------------------------

    def want(self, budget: str, wanted: float, now: float) -> Want:
        """Say what we would spend; the news to tell the others."""
        said = Want(budget, self.me, max(0.0, wanted), self.owned(budget), now)
        self.budgets[budget].wants[self.me] = said
        return said

    def heard_want(self, want: Want, now: float) -> bool:
        """Another's want; False where it is of no budget we know, stale or absurd."""
        budget = self.budgets.get(want.budget)
        if budget is None or not (0 <= want.wanted < math.inf and 0 <= want.owned <= self.share(want.budget)):
            self._count("wants_refused")
            return False
        held = budget.wants.get(want.member)
        if held is not None and held.at_ms >= want.at_ms:
            return False
        if want.at_ms > now + self.tuning.margin_ms:
            self._count("wants_from_the_future")
            return False
        budget.wants[want.member] = want
        return True

    def heard_lease(self, lease: Lease, now: float) -> bool:
        """A lease that came to us; False where it is not taken, and why is counted."""
        budget = self.budgets.get(lease.budget)
        why = ""
        if budget is None or lease.borrower != self.me or lease.lender == self.me:
            why = "leases_not_ours"
        elif not 0 <= lease.amount <= self.share(lease.budget):
            why = "leases_too_large"
        elif lease.expires_ms > now + self.tuning.lease_ms + self.tuning.margin_ms:
            why = "leases_too_long"
        elif now >= lease.expires_ms:
            why = "leases_expired"
        elif (held := budget.borrowed.get(lease.lender)) is not None and held.seq >= lease.seq:
            why = "leases_old"
        if why:
            self._count(why)
            return False
        budget.borrowed[lease.lender] = lease
        self._count("leases_taken")
        return True

    def forget(self, member: str) -> None:
        """A member left or died: no more leases to it (those out run out), its want is passed over."""
        for budget in self.budgets.values():
            budget.wants.pop(member, None)

    # -- What goes out ---------------------------------------------------------------------------

    def tick(self, now: float, alive: set[str]) -> tuple[list[Lease], list[Want]]:
        """Each `renew_ms`: leases to lend anew, and our wants to tell; what ran out is let go."""
        self._let_go(now)
        if now - self._renewed < self.tuning.renew_ms:
            return [], []
        self._renewed = now
        leases, wants = [], []
        for name, budget in self.budgets.items():
            if self.me in budget.wants:
                wants.append(self.want(name, budget.wants[self.me].wanted, now))
            leases += self._lend(name, budget, now, alive)
        return leases, wants

    def _lend(self, name: str, budget: Budget, now: float, alive: set[str]) -> list[Lease]:
        """Our spare share, to those that want more than they own, in proportion to what they lack.

        What is out may never sum above our share: a new lease to one borrower counts beside the older leases
        to all others, which their borrowers may still hold, however little we mean to lend them now.
        """
        if self.slot is None or self._quiet(now):
            return []
        fresh = {
            m: w for m, w in budget.wants.items()
            if now - w.at_ms < self.tuning.want_ms and (m == self.me or m in alive)
        }  # fmt: skip
        share = self.share(name)

        def spare(want: Want) -> float:
            return max(0.0, want.owned - max(KEEP_SHARE * want.wanted, KEEP_FLOOR * share))

        lacking = {m: max(0.0, w.wanted - w.owned) for m, w in fresh.items() if m != self.me}
        lacking = {m: v for m, v in lacking.items() if v > 0}
        mine = fresh.get(self.me)
        ours = spare(mine) if mine is not None else share * (1 - KEEP_FLOOR)
        if not lacking or ours <= 0:
            return []
        spares = sum(spare(w) for m, w in fresh.items() if m != self.me) + ours
        need = sum(lacking.values())
        out = {m: self._out_to(budget, m, now) for m in budget.lent}
        leases = []
        for member, lack in sorted(lacking.items()):
            others = sum(v for m, v in out.items() if m != member)
            amount = min(ours * lack / max(need, spares), ours - others)
            if amount <= 0:
                continue
            self._seq += 1
            lease = Lease(name, self.me, member, self._seq, amount, now + self.tuning.lease_ms)
            budget.lent.setdefault(member, []).append(lease)
            out[member] = max(out.get(member, 0.0), amount)
            leases.append(lease)
        self._count("leases_lent", len(leases))
        return leases

    def _out_to(self, budget: Budget, member: str, now: float) -> float:
        """The most that one borrower may still hold of our leases."""
        until = now - self.tuning.margin_ms
        return max((x.amount for x in budget.lent.get(member, ()) if until < x.expires_ms), default=0.0)

    def _quiet(self, now: float) -> bool:
        """Just started: leases of an earlier life may be out, unknown to us."""
        return now < self.started_ms + self.tuning.lease_ms + self.tuning.margin_ms

    def _let_go(self, now: float) -> None:
        margin = self.tuning.margin_ms
        for budget in self.budgets.values():
            for member in list(budget.lent):
                kept = [lease for lease in budget.lent[member] if now < lease.expires_ms + margin]
                if kept:
                    budget.lent[member] = kept  # a few: lease_ms / renew_ms + 1 at most
                else:
                    del budget.lent[member]
                    self._count("leases_returned")
            for lender in [k for k, lease in budget.borrowed.items() if now >= lease.expires_ms]:
                del budget.borrowed[lender]
                self._count("leases_expired_held")

    def _count(self, name: str, n: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + n
