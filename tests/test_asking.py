"""When discovery is asked again: within the terms, whatever has failed, and never without a wait for good."""

from dataclasses import replace
from random import Random

import pytest
from helpers import make_dispatcher
from hypothesis import given
from hypothesis import strategies as st

from molespur.net.asking import CALL_MS, SILENCE_MS, Asking

TERM_MS = 6000.0
GIVEN = make_dispatcher().settings


stays = st.lists(st.sampled_from([0.0, 10.0, 2999.0, 3000.0, 9e9]))


@given(st.integers(1, 1000), st.booleans(), stays, st.integers())
def test_whatever_failed_two_calls_fit_into_the_term(balancers, subscribes, stood, seed):
    asking, given = Asking(Random(seed)), replace(GIVEN, balancers=balancers, subscribes=subscribes)
    for ms in stood:
        asking.ended(ms)
    # discovery is back just after a call has begun, and fails one more
    assert asking.wait_ms(given) >= 0 and CALL_MS + asking.wait_ms(given) + CALL_MS < TERM_MS
    asking.ended(SILENCE_MS)
    assert SILENCE_MS + asking.wait_ms(given) + CALL_MS < TERM_MS


@pytest.mark.parametrize("subscribes", [True, False])
def test_calls_that_end_soon_are_rarer_each_time_and_one_watch_that_stood_forgets_them(subscribes):
    asking, given = Asking(Random(1)), replace(GIVEN, balancers=6, subscribes=subscribes)
    waits = []
    for _ in range(8):
        asking.ended(10.0)
        waits.append(asking.wait_ms(given))
    assert sum(waits[:4]) > 500 and min(waits[4:]) >= 750
    asking.ended(SILENCE_MS)
    assert asking.wait_ms(given) <= (30 if subscribes else 0)
