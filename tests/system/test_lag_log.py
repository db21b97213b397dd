"""A replica that lacks what its leader names as committed says so, once a second, and not at every delay."""

from molespur.system.shards.lag import LASTING_MS, REPEAT_MS, LagLog


def test_a_short_lag_is_not_worth_a_line():
    lag = LagLog()
    assert not lag.due(0.0, 5, 9)
    assert not lag.due(LASTING_MS - 1, 5, 9)
    assert not lag.due(LASTING_MS, 9, 9)
    assert not lag.due(LASTING_MS + 1, 9, 10), "the next lag begins anew"


def test_a_lasting_lag_is_logged_once_a_second():
    lag = LagLog()
    times = [at for at in range(0, 3000, 50) if lag.due(float(at), 5, 9)]
    assert times == [LASTING_MS, LASTING_MS + REPEAT_MS, LASTING_MS + 2 * REPEAT_MS]
