"""The state machine of the process: what holds after each order of events."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molespur.lifecycle import (
    BACKLOG_MS,
    DRAIN_SETTLE_MS,
    DRAINED_STOP_GRACE_MS,
    STOP_GRACE_MS,
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
        # a drain: health checks fail at once, connections close once the front end knows, none is refused
        ((START, (10, EVACUATE)), 10, Phase.DRAINING, False, False, True, False),
        ((START, (10, EVACUATE)), 10 + DRAIN_SETTLE_MS, Phase.DRAINING, False, True, True, False),
        ((START, (10, EVACUATE), (20, ACTIVATE)), 20, Phase.SERVING, True, False, True, False),
        # a second evacuate does not restart the drain
        ((START, (10, EVACUATE), (200, EVACUATE)), 10 + DRAIN_SETTLE_MS, Phase.DRAINING, False, True,
         True, False),
        ((START, (10, ACTIVATE)), 10, Phase.SERVING, True, False, True, False),
        # an evacuate before the process is ready takes effect
        (((1, EVACUATE), (10, READY)), 10, Phase.DRAINING, False, False, True, False),
        # a stop without a successor
        ((START, (10, STOP)), 10, Phase.STOPPING, False, False, True, False),
        ((START, (10, STOP)), 10 + STOP_GRACE_MS, Phase.STOPPING, False, True, False, False),
        ((START, (10, STOP)), 10 + STOP_MS, Phase.STOPPING, False, True, False, True),
        ((START, (10, STOP), (500, STOP)), 10 + STOP_MS, Phase.STOPPING, False, True, False, True),
        # a stop during a drain does not wait for clients that have been sent away
        ((START, (10, EVACUATE), (500, STOP)), 500 + DRAINED_STOP_GRACE_MS, Phase.STOPPING, False, True,
         False, False),
        # evacuate and activate have no effect after a stop
        ((START, (10, STOP), (20, ACTIVATE)), 30, Phase.STOPPING, False, False, True, False),
        ((START, (10, STOP), (20, EVACUATE)), 30 + DRAIN_SETTLE_MS, Phase.STOPPING, False, False, True,
         False),
        # with a successor health checks pass, and connections close so that clients go to it
        ((START, (10, SUCCESSOR)), 10, Phase.HANDING_OVER, True, True, True, False),
        ((START, (10, SUCCESSOR), (20, SUCCESSOR_GONE)), 20, Phase.SERVING, True, False, True, False),
        ((START, (10, SUCCESSOR), (500, STOP)), 501, Phase.HANDING_OVER, True, True, True, False),
        ((START, (10, SUCCESSOR), (500, STOP)), 500 + BACKLOG_MS, Phase.HANDING_OVER, False, True,
         False, False),
        ((START, (10, SUCCESSOR), (500, STOP)), 500 + STOP_MS, Phase.HANDING_OVER, False, True, False, True),
        # after a stop, the listener closes as soon as there is a successor
        ((START, (10, STOP), (600, SUCCESSOR)), 600, Phase.HANDING_OVER, True, True, True, False),
        ((START, (10, STOP), (600, SUCCESSOR)), 600 + BACKLOG_MS, Phase.HANDING_OVER, False, True,
         False, False),
        # the successor ends during the stop, before and after the listener is closed
        ((START, (1, SUCCESSOR), (10, STOP), (20, SUCCESSOR_GONE)), 30, Phase.STOPPING, False,
         False, True, False),
        ((START, (1, SUCCESSOR), (10, STOP), (900, SUCCESSOR_GONE)), 901, Phase.HANDING_OVER,
         False, True, False, False),
    ],
)  # fmt: skip
def test_the_serving_state_after_events(steps, at, phase, up, closing, accepting, ended):
    state = process_after(*steps).serving_state(at)
    assert (state.phase, state.up, state.closing, state.accepting, state.ended) == (
        phase, up, closing, accepting, ended,
    )  # fmt: skip


def test_calls_after_a_stop_are_rejected():
    process = process_after(START, (10, STOP))
    assert process.handle(20, EVACUATE) == process.handle(20, ACTIVATE) == "stopping"
    assert process.handle(30, STOP) is None


def test_the_longest_deadline_sets_the_length_of_a_stop_until_it_begins():
    process = process_after(START)
    assert process.stop_ms == 3400.0
    process.max_deadline_ms = 9000.0
    assert process.stop_ms == 3400.0  # 3 s count at most
    process.max_deadline_ms = 1000.0
    process.handle(10, STOP)
    process.max_deadline_ms = 9000.0
    assert not process.serving_state(10 + 1399).ended and process.serving_state(10 + 1400).ended
    assert process.serving_state(10 + 499).accepting and not process.serving_state(10 + 501).accepting


def test_a_change_of_settings_has_no_effect_on_a_drain():
    process = process_after(START, (10, EVACUATE))
    before = process.serving_state(500)
    process.max_deadline_ms = 1000.0
    assert process.serving_state(500) == before


def test_in_each_order_of_events_a_stop_ends_and_a_closed_listener_stays_closed():
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
        # health checks pass only while connections are accepted
        for at in range(0, 5000, 50):
            state = process.serving_state(at)
            assert state.accepting or not state.up, order


@given(st.lists(st.tuples(st.floats(0, 2000), st.sampled_from(ProcessEvent)), max_size=12))
def test_a_serving_state_names_the_time_of_its_next_change(steps):
    """Between events, nothing changes except at the times that the state names."""
    process, now = ProcessLifecycle(), 0.0
    for wait, event in steps:
        state = process.serving_state(now)
        while state.changes_at <= now + wait:
            before = process.serving_state(max(now, state.changes_at - 1e-3))
            assert (before.closing, before.accepting, before.ended) == (
                state.closing, state.accepting, state.ended,
            )  # fmt: skip
            now, wait = state.changes_at, wait - (state.changes_at - now)
            after = process.serving_state(now)
            assert after != state and after.changes_at > now
            # ended is final, and so is a closed listener
            assert (after.ended, not after.accepting) >= (state.ended, not state.accepting)
            state = after
        now += wait
        process.handle(now, event)
