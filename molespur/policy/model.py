"""The online finish-time model: a ridge regression over bucketed samples of finished requests.

A forecast is a sum of terms, each in milliseconds: the run at the pace of its kind of worker, the wait, what
a missing prefix costs, and a constant.  Each sample is scaled by its own prior, so that small and large
requests count alike.
"""

from collections import deque

from ..linear import solve

BUCKET_CAP = 16  # samples kept of each bucket: a rare regime is remembered, a common one stays recent
RECENCY = 0.95  # weight of a sample against the next newer one of its bucket
RIDGE = 4.0  # samples that the prior is worth


class FinishTimeModel:
    """Coefficients of the terms, one of the run for each kind of worker, and the samples behind them."""

    def __init__(self, kinds=()):
        self.coef = dict.fromkeys(kinds, 1.0)
        self.wait_coef, self.miss_coef, self.const = 1.0, 1.0, 0.0
        self.buckets = {}

    def pace(self, kind):
        """Coefficient of the run on workers of a kind."""
        return self.coef.get(kind, 1.0)

    def forecast(self, run, wait, miss):
        """Expected time (ms) from its terms; the run is at the pace of its worker already."""
        return run + self.wait_coef * wait + self.miss_coef * miss + self.const

    def train(self, kind, run, wait, miss, use, match, elapsed):
        """Keep a sample in its bucket: slot use in tenths by prefix match in quarters."""
        scale = run + wait + miss
        if scale > 0:
            bucket = self.buckets.setdefault((int(use * 10), int(match * 4)), deque(maxlen=BUCKET_CAP))
            bucket.append((kind, run / scale, wait / scale, miss / scale, 1 / scale, elapsed / scale))

    def refit(self, unit, kinds):
        """Ridge regression towards the prior for these kinds; `unit` (ms) is that of the constant."""
        place = {kind: number for number, kind in enumerate(kinds)}
        waits, size = len(place), len(place) + 3
        prior = [1.0] * (size - 1) + [0.0]
        rows = [[RIDGE * (i == j) for j in range(size)] + [RIDGE * one] for i, one in enumerate(prior)]
        for bucket in self.buckets.values():
            weight = 1.0
            for kind, run, wait, miss, const, y in reversed(bucket):
                if kind in place:
                    terms = ((place[kind], run), (waits, wait), (waits + 1, miss), (waits + 2, const * unit))
                    for i, a in terms:
                        for j, b in (*terms, (size, y)):
                            rows[i][j] += weight * a * b
                weight *= RECENCY
        solved = solve(rows)
        self.coef = {kind: min(max(solved[i], 0.2), 5.0) for kind, i in place.items()}
        self.wait_coef, self.miss_coef = max(solved[waits], 0.2), max(solved[waits + 1], 0.0)
        self.const = max(solved[-1], 0.0) * unit
