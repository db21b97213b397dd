"""The fleet's retry budget: rights that first attempts earn and retries spend.  Pure.

A bounded counter after Balegas et al. (2015) whose rights are created where first attempts are made: each
first attempt earns `ratio` of a retry, each retry spends one, and no retry is sent without a right.  So the
retries of all schedulers are at most `ratio` of all first attempts plus the floors, by construction and
whatever messages are lost; no sum has to be agreed on.

A member that was denied a retry asks a few others, which transfer half of what they can spare, for good.  A
transfer that is lost is a right lost; one that arrives twice is taken once.  Each member's floor is earned
with time and needs no contact (as Finagle's and Envoy's budgets have a minimum rate for one client).
"""

from collections import Counter, deque

from .sharing import SharingConfig

TRANSFER_SHARE = 0.5  # of what a member has beyond one second's earnings, transferred on a request
MAX_SAVED_S = 2  # rights of these last seconds are kept, so that a quiet period funds no retry storm
MAX_TRANSFERS_KEPT = 128  # received transfers that are remembered, to take each once


class RetryBudget:
    """One member's side of the budget."""

    def __init__(self, config: SharingConfig, now: float):
        self.ratio = config.retry_ratio
        self.floor_per_s = config.retry_floor / max(config.size, 1)
        self.rights = 0.0
        self.denied = False
        self.counts: Counter = Counter()
        self._floor, self._at = 0.0, now
        self._firsts: deque[list] = deque()  # [second, first attempts]
        self._transfers: deque[int] = deque(maxlen=MAX_TRANSFERS_KEPT)

    def _advance(self, now: float) -> None:
        self._floor = min(self._floor + max(now - self._at, 0.0) / 1000 * self.floor_per_s, 1.0)
        self._at = max(self._at, now)
        while self._firsts and self._firsts[0][0] <= now // 1000 - MAX_SAVED_S:
            self._firsts.popleft()

    def earned_recently(self, now: float) -> float:
        """Rights earned in the last `MAX_SAVED_S` seconds: the most that are kept."""
        self._advance(now)
        return self.ratio * sum(count for _, count in self._firsts)

    def record_first_attempt(self, now: float) -> None:
        """Earn the rights of a first attempt of ours."""
        if not self._firsts or self._firsts[-1][0] != now // 1000:
            self._firsts.append([now // 1000, 0])
        self._firsts[-1][1] += 1
        self.rights = min(self.rights + self.ratio, max(self.earned_recently(now), 1.0))

    def available(self, now: float) -> float:
        """Retries that may be sent now."""
        self._advance(now)
        return self.rights + self._floor

    def spend(self, now: float) -> bool:
        """Spend a right on a retry; False where none was left (the caller read `available` too long ago)."""
        self._advance(now)
        self.counts["retries_spent"] += 1
        if self.rights >= 1.0:
            self.rights -= 1.0
            return True
        missing = 1.0 - self.rights
        self.rights, self._floor = 0.0, self._floor - missing
        if self._floor < -1e-9:
            self.counts["retries_overspent"] += 1
        return self._floor >= -1e-9

    def record_denial(self) -> None:
        """A retry was denied: ask others for rights at the next renewal."""
        self.denied = True
        self.counts["retries_denied"] += 1

    def shortfall(self, now: float) -> float:
        """The rights to request from others now; 0: none."""
        denied, self.denied = self.denied, False
        return max(1.0, self.earned_recently(now) / MAX_SAVED_S) if denied else 0.0

    def give(self, lack: float, now: float) -> float:
        """Transfer some of our rights; they are gone from here whether or not the transfer arrives."""
        spare = TRANSFER_SHARE * (self.rights - self.earned_recently(now) / MAX_SAVED_S)
        amount = min(lack, spare)
        if amount < 0.1:
            return 0.0
        self.rights -= amount
        self.counts["rights_given"] += 1
        return amount

    def take(self, request: int, amount: float) -> bool:
        """Take the transfer that replies to one of our requests; False where it was taken before."""
        if request in self._transfers:
            self.counts["gifts_doubled"] += 1
            return False
        self._transfers.append(request)
        self.rights += amount
        self.counts["rights_taken"] += 1
        return True
