"""The process's one state machine: each order of what it may be told, and what holds then."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molespur.lifecycle import (
    EMPTY_MS,
    GRACE_MS,
    LATE_CLIENTS_MS,
    SETTLE_MS,
    Phase,
    ProcessEvent,
    ProcessLifecycle,
)

STOP_MS = ProcessLifecycle().stop_ms


def process_after(*events):
    """A process after these events, each with its time."""
    process = ProcessLifecycle()
    for at, event in events:
        process.handle(at, event)
    return process


READY, EVACUATE, ACTIVATE, STOP, SUCCESSOR, SUCCESSOR_GONE = ProcessEvent
START = (0, READY)


@pytest.mark.parametrize(
    ("steps", "at", "phase", "up", "closing", "accepting", "ended"),
    [
        ((), 5, Phase.STARTING, False, False, True, False),
        ((START,), 5, Phase.SERVING, True, False, True, False),
        # a drain: no at once, closing once the front knows, and accepting all along
        ((START, (10, EVACUATE)), 10, Phase.DRAINING, False, False, True, False),
        ((START, (10, EVACUATE)), 10 + SETTLE_MS, Phase.DRAINING, False, True, True, False),
        ((START, (10, EVACUATE), (20, ACTIVATE)), 20, Phase.SERVING, True, False, True, False),
        # a second evacuate does not begin the drain anew
        ((START, (10, EVACUATE), (200, EVACUATE)), 10 + SETTLE_MS, Phase.DRAINING, False, True, True, False),
        ((START, (10, ACTIVATE)), 10, Phase.SERVING, True, False, True, False),
        # before it is ready an evacuate is kept
        (((1, EVACUATE), (10, READY)), 10, Phase.DRAINING, False, False, True, False),
        # a stop without a successor
        ((START, (10, STOP)), 10, Phase.STOPPING, False, False, True, False),
        ((START, (10, STOP)), 10 + GRACE_MS, Phase.STOPPING, False, True, False, False),
        ((START, (10, STOP)), 10 + STOP_MS, Phase.STOPPING, False, True, False, True),
        ((START, (10, STOP), (500, STOP)), 10 + STOP_MS, Phase.STOPPING, False, True, False, True),
        # a stop amid a drain need not wait for clients that have been sent away
        ((START, (10, EVACUATE), (500, STOP)), 500 + LATE_CLIENTS_MS, Phase.STOPPING, False, True,
         False, False),
        # evacuate and activate after a stop change nothing
        ((START, (10, STOP), (20, ACTIVATE)), 30, Phase.STOPPING, False, False, True, False),
        ((START, (10, STOP), (20, EVACUATE)), 30 + SETTLE_MS, Phase.STOPPING, False, False, True, False),
        # a successor: nobody is told no in its name, and what comes back goes to it
        ((START, (10, SUCCESSOR)), 10, Phase.HANDING_OVER, True, True, True, False),
        ((START, (10, SUCCESSOR), (20, SUCCESSOR_GONE)), 20, Phase.SERVING, True, False, True, False),
        ((START, (10, SUCCESSOR), (500, STOP)), 501, Phase.HANDING_OVER, True, True, True, False),
        ((START, (10, SUCCESSOR), (500, STOP)), 500 + EMPTY_MS, Phase.HANDING_OVER, False, True,
         False, False),
        ((START, (10, SUCCESSOR), (500, STOP)), 500 + STOP_MS, Phase.HANDING_OVER, False, True, False, True),
        # the stop came first: it leaves as soon as there is a successor
        ((START, (10, STOP), (600, SUCCESSOR)), 600, Phase.HANDING_OVER, True, True, True, False),
        ((START, (10, STOP), (600, SUCCESSOR)), 600 + EMPTY_MS, Phase.HANDING_OVER, False, True,
         False, False),
        # the successor dies amid the stop, before the address is left and after it
        ((START, (1, SUCCESSOR), (10, STOP), (20, SUCCESSOR_GONE)), 30, Phase.STOPPING, False,
         False, True, False),
        ((START, (1, SUCCESSOR), (10, STOP), (900, SUCCESSOR_GONE)), 901, Phase.HANDING_OVER,
         False, True, False, False),
    ],
)  # fmt: skip
def test_what_holds(steps, at, phase, up, closing, accepting, ended):
    stance = process_after(*steps).serving_state(at)
    assert (stance.phase, stance.up, stance.closing, stance.accepting, stance.ended) == (
        phase, up, closing, accepting, ended,
    )  # fmt: skip


def test_calls_after_a_stop_are_told_so():
    process = process_after(START, (10, STOP))
    assert process.handle(20, EVACUATE) == process.handle(20, ACTIVATE) == "stopping"
    assert process.handle(30, STOP) is None


def test_the_longest_deadline_moves_the_stop_but_not_one_that_has_begun():
    process = process_after(START)
    assert process.stop_ms == 3400.0
    process.max_deadline_ms = 9000.0
    assert process.stop_ms == 3400.0  # counted as 3 s where it is longer
    process.max_deadline_ms = 1000.0
    process.handle(10, STOP)
    process.max_deadline_ms = 9000.0
    assert not process.serving_state(10 + 1399).ended and process.serving_state(10 + 1400).ended
    assert process.serving_state(10 + 499).accepting and not process.serving_state(10 + 501).accepting


def test_settings_that_change_in_a_drain_change_nothing_in_it():
    process = process_after(START, (10, EVACUATE))
    before = process.serving_state(500)
    process.max_deadline_ms = 1000.0
    assert process.serving_state(500) == before


def test_in_each_order_a_stop_ends_and_what_was_left_stays_left():
    for order in itertools.product(ProcessEvent, repeat=4):
        process = process_after(*((100 * i, what) for i, what in enumerate(order)))
        stops = [100 * i for i, what in enumerate(order) if what is STOP]
        end = process.serving_state(1e9)
        if stops:
            assert end.ended and end.closing and not end.accepting and not end.up, order
            assert process.serving_state(stops[0] + STOP_MS).ended, order
            assert not process.serving_state(stops[0] + STOP_MS - 1).ended, order
        else:
            assert end.accepting and not end.ended, order
            assert end.up == (READY in order and process.draining_since is None), order
        # a yes is given only by one that takes clients
        for at in range(0, 5000, 50):
            stance = process.serving_state(at)
            assert stance.accepting or not stance.up, order


@given(st.lists(st.tuples(st.floats(0, 2000), st.sampled_from(ProcessEvent)), max_size=12))
def test_a_stance_says_when_it_changes_next(steps):
    """Between what it is told, nothing changes but at the times that the stance names."""
    process, now = ProcessLifecycle(), 0.0
    for wait, what in steps:
        stance = process.serving_state(now)
        while stance.changes_at <= now + wait:
            before = process.serving_state(max(now, stance.changes_at - 1e-3))
            assert (before.closing, before.accepting, before.ended) == (
                stance.closing, stance.accepting, stance.ended,
            )  # fmt: skip
            now, wait = stance.changes_at, wait - (stance.changes_at - now)
            after = process.serving_state(now)
            assert after != stance and after.changes_at > now
            # an end stays an end
            assert (after.ended, not after.accepting) >= (stance.ended, not stance.accepting)
            stance = after
        now += wait
        process.handle(now, what)
