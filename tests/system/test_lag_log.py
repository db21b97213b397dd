"""A replica that lags behind its leader's commit index is logged once a second; short lags are not logged."""

from molespur.system.shards.lag import LOG_INTERVAL_MS, MIN_LAG_MS, LagLogLimiter


def test_a_short_lag_is_not_logged():
    lag = LagLogLimiter()
    assert not lag.should_log(0.0, 5, 9)
    assert not lag.should_log(MIN_LAG_MS - 1, 5, 9)
    assert not lag.should_log(MIN_LAG_MS, 9, 9)
    assert not lag.should_log(MIN_LAG_MS + 1, 9, 10), "a new lag is timed from its own start"


def test_a_lasting_lag_is_logged_once_a_second():
    lag = LagLogLimiter()
    times = [at for at in range(0, 3000, 50) if lag.should_log(float(at), 5, 9)]
    assert times == [MIN_LAG_MS, MIN_LAG_MS + LOG_INTERVAL_MS, MIN_LAG_MS + 2 * LOG_INTERVAL_MS]
