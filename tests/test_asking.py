"""The delays between calls to discovery: short enough for the 6 s limit, and longer while calls fail."""

from dataclasses import replace
from random import Random

import pytest
from helpers import make_dispatcher
from hypothesis import given
from hypothesis import strategies as st

from molespur.net.asking import CALL_TIMEOUT_MS, SILENCE_TIMEOUT_MS, WatchBackoff

MAX_STALENESS_MS = 6000.0
SETTINGS = make_dispatcher().settings


active_times = st.lists(st.sampled_from([0.0, 10.0, 2999.0, 3000.0, 9e9]))


@given(st.integers(1, 1000), st.booleans(), active_times, st.integers())
def test_two_calls_fit_into_the_staleness_limit_after_any_failures(balancers, subscribes, active, seed):
    backoff, settings = (
        WatchBackoff(Random(seed)), replace(SETTINGS, balancers=balancers, subscribes=subscribes)
    )  # fmt: skip
    for ms in active:
        backoff.record_end(ms)
    # discovery becomes reachable just after a call has begun, and this call fails too
    assert (
        backoff.next_delay_ms(settings) >= 0
        and CALL_TIMEOUT_MS + backoff.next_delay_ms(settings) + CALL_TIMEOUT_MS < MAX_STALENESS_MS
    )
    backoff.record_end(SILENCE_TIMEOUT_MS)
    assert SILENCE_TIMEOUT_MS + backoff.next_delay_ms(settings) + CALL_TIMEOUT_MS < MAX_STALENESS_MS


@pytest.mark.parametrize("subscribes", [True, False])
def test_delays_grow_with_each_short_call_and_a_lasting_watch_resets_them(subscribes):
    backoff, settings = WatchBackoff(Random(1)), replace(SETTINGS, balancers=6, subscribes=subscribes)
    delays = []
    for _ in range(8):
        backoff.record_end(10.0)
        delays.append(backoff.next_delay_ms(settings))
    assert sum(delays[:4]) > 500 and min(delays[4:]) >= 750
    backoff.record_end(SILENCE_TIMEOUT_MS)
    assert backoff.next_delay_ms(settings) <= (30 if subscribes else 0)
