"""The fleet's retry budget: rights that first attempts earn and retries spend.  Pure.

A bounded counter after Balegas et al. (2015) whose rights are minted where first attempts are made: each
earns `ratio` of a retry, each retry spends one, and none is sent that has not been earned.  So retries over
all schedulers are at most `ratio` of all first attempts and the floors, by construction and whatever is lost:
no sum has to be agreed on.  A member that was denied asks a few others, who give half of what they have to
spare, for good; a gift that is lost is a right lost, one that comes twice is taken once.  A floor of its own,
heard or not, is earned with time (as Finagle's and Envoy's budgets have a least rate for one client).
"""

from collections import Counter, deque

from .sharing import SharingConfig

SPARE = 0.5  # of what a member has beyond a fresh second's earnings, given to one that asks
KEPT_S = 2  # rights of so many seconds are kept at most, so that a calm does not save up for a storm
GIFTS_KEPT = 128


class RetryBudget:
    """One member's side of the budget."""

    def __init__(self, share: SharingConfig, now: float):
        self.ratio = share.retry_ratio
        self.floor_per_s = share.retry_floor / max(share.size, 1)
        self.rights = 0.0
        self.denied = False
        self.counts: Counter = Counter()
        self._floor, self._at = 0.0, now
        self._firsts: deque[list] = deque()  # [second, first attempts]
        self._taken: deque[int] = deque(maxlen=GIFTS_KEPT)

    def _grow(self, now: float) -> None:
        self._floor = min(self._floor + max(now - self._at, 0.0) / 1000 * self.floor_per_s, 1.0)
        self._at = max(self._at, now)
        while self._firsts and self._firsts[0][0] <= now // 1000 - KEPT_S:
            self._firsts.popleft()

    def earned_recently(self, now: float) -> float:
        """Rights earned in the last seconds: the most that are kept."""
        self._grow(now)
        return self.ratio * sum(count for _, count in self._firsts)

    def record_first_attempt(self, now: float) -> None:
        """A first attempt of ours."""
        if not self._firsts or self._firsts[-1][0] != now // 1000:
            self._firsts.append([now // 1000, 0])
        self._firsts[-1][1] += 1
        self.rights = min(self.rights + self.ratio, max(self.earned_recently(now), 1.0))

    def available(self, now: float) -> float:
        """Retries that may be sent now."""
        self._grow(now)
        return self.rights + self._floor

    def spend(self, now: float) -> bool:
        """A retry of ours; False where none was left (the caller looked at `available` too long ago)."""
        self._grow(now)
        self.counts["retries_spent"] += 1
        if self.rights >= 1.0:
            self.rights -= 1.0
            return True
        short = 1.0 - self.rights
        self.rights, self._floor = 0.0, self._floor - short
        if self._floor < -1e-9:
            self.counts["retries_overspent"] += 1
        return self._floor >= -1e-9

    def record_denial(self) -> None:
        """A retry was turned down: ask others at the next renewal."""
        self.denied = True
        self.counts["retries_denied"] += 1

    def shortfall(self, now: float) -> float:
        """What to ask others for now; 0: nothing."""
        denied, self.denied = self.denied, False
        return max(1.0, self.earned_recently(now) / KEPT_S) if denied else 0.0

    def give(self, lack: float, now: float) -> float:
        """Give another some of ours: it is gone from here, whether or not it arrives."""
        spare = SPARE * (self.rights - self.earned_recently(now) / KEPT_S)
        gift = min(lack, spare)
        if gift < 0.1:
            return 0.0
        self.rights -= gift
        self.counts["rights_given"] += 1
        return gift

    def take(self, ask: int, gift: float) -> bool:
        """A gift that answers one of our asks; False where it came before."""
        if ask in self._taken:
            self.counts["gifts_doubled"] += 1
            return False
        self._taken.append(ask)
        self.rights += gift
        self.counts["rights_taken"] += 1
        return True
