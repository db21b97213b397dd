"""The online finish-time model: a ridge regression over bucketed samples of finished requests.

A forecast is a sum of terms in milliseconds: the run at the pace of its kind of worker, the wait, the cost
of a missing prefix, and a constant.  Each sample is scaled by its prior: small and large ones count alike."""

from collections import deque

from ..linear import solve

MAX_SAMPLES = 16  # in each bucket: rare conditions are remembered, and common ones stay recent
SAMPLE_DECAY = 0.95  # weight of a sample against the next newer one of its bucket
RIDGE = 4.0  # regularization: samples that the prior counts for


class FinishTimeModel:
    """Coefficients of the terms, one of the run for each kind of worker, and the samples behind them."""

    def __init__(self, kinds=()):
        self.run_coefs = dict.fromkeys(kinds, 1.0)
        self.wait_coef, self.miss_coef, self.constant = 1.0, 1.0, 0.0
        self.buckets = {}

    def pace(self, kind):
        """Coefficient of the run on workers of a kind."""
        return self.run_coefs.get(kind, 1.0)

    def forecast(self, run, wait, miss):
        """Expected time (ms) from its terms; the run is at the pace of its worker already."""
        return run + self.wait_coef * wait + self.miss_coef * miss + self.constant

    def train(self, kind, run, wait, miss, use, match, elapsed):
        """Keep a sample in its bucket: slot use in tenths by prefix match in quarters."""
        scale = run + wait + miss
        if scale > 0:
            bucket = self.buckets.setdefault((int(use * 10), int(match * 4)), deque(maxlen=MAX_SAMPLES))
            bucket.append((kind, run / scale, wait / scale, miss / scale, 1 / scale, elapsed / scale))

    def refit(self, unit, kinds):
        """Ridge regression towards the prior for these kinds; `unit` (ms) is the scale of the constant."""
        column = {kind: number for number, kind in enumerate(kinds)}
        waits, size = len(column), len(column) + 3
        prior = [1.0] * (size - 1) + [0.0]
        rows = [[RIDGE * (i == j) for j in range(size)] + [RIDGE * p] for i, p in enumerate(prior)]
        for bucket in self.buckets.values():
            weight = 1.0
            for kind, run, wait, miss, const, y in reversed(bucket):
                if kind in column:
                    terms = ((column[kind], run), (waits, wait), (waits + 1, miss), (waits + 2, const * unit))
                    for i, a in terms:
                        for j, b in (*terms, (size, y)):
                            rows[i][j] += weight * a * b
                weight *= SAMPLE_DECAY
        solved = solve(rows)
        self.run_coefs = {kind: min(max(solved[i], 0.2), 5.0) for kind, i in column.items()}
        self.wait_coef, self.miss_coef = max(solved[waits], 0.2), max(solved[waits + 1], 0.0)
        self.constant = max(solved[-1], 0.0) * unit
