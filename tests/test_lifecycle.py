"""The process's one state machine: each order of what it may be told, and what holds then."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molespur.lifecycle import EMPTY_MS, GRACE_MS, LATE_CLIENTS_MS, SETTLE_MS, Phase, Process, Told

STOP_MS = Process().stop_ms


def told(*steps):
    """A process that was told these things, each at its time."""
    process = Process()
    for at, what in steps:
        process.tell(at, what)
    return process


READY = (0, Told.READY)


@pytest.mark.parametrize(
    ("steps", "at", "phase", "up", "closing", "accepting", "ended"),
    [
        ((), 5, Phase.STARTING, False, False, True, False),
        ((READY,), 5, Phase.SERVING, True, False, True, False),
        # a drain: no at once, closing once the front knows, and accepting all along
        ((READY, (10, Told.EVACUATE)), 10, Phase.DRAINING, False, False, True, False),
        ((READY, (10, Told.EVACUATE)), 10 + SETTLE_MS, Phase.DRAINING, False, True, True, False),
        ((READY, (10, Told.EVACUATE), (20, Told.ACTIVATE)), 20, Phase.SERVING, True, False, True, False),
        # a second evacuate does not begin the drain anew
        ((READY, (10, Told.EVACUATE), (200, Told.EVACUATE)), 10 + SETTLE_MS, Phase.DRAINING, False, True,
         True, False),
        ((READY, (10, Told.ACTIVATE)), 10, Phase.SERVING, True, False, True, False),
        # before it is ready an evacuate is kept
        (((1, Told.EVACUATE), (10, Told.READY)), 10, Phase.DRAINING, False, False, True, False),
        # a stop without a successor
        ((READY, (10, Told.STOP)), 10, Phase.STOPPING, False, False, True, False),
        ((READY, (10, Told.STOP)), 10 + GRACE_MS, Phase.STOPPING, False, True, False, False),
        ((READY, (10, Told.STOP)), 10 + STOP_MS, Phase.STOPPING, False, True, False, True),
        ((READY, (10, Told.STOP), (500, Told.STOP)), 10 + STOP_MS, Phase.STOPPING, False, True, False, True),
        # a stop amid a drain need not wait for clients that have been sent away
        ((READY, (10, Told.EVACUATE), (500, Told.STOP)), 500 + LATE_CLIENTS_MS, Phase.STOPPING, False, True,
         False, False),
        # evacuate and activate after a stop change nothing
        ((READY, (10, Told.STOP), (20, Told.ACTIVATE)), 30, Phase.STOPPING, False, False, True, False),
        ((READY, (10, Told.STOP), (20, Told.EVACUATE)), 30 + SETTLE_MS, Phase.STOPPING, False, False, True,
         False),
        # a successor: nobody is told no in its name, and what comes back goes to it
        ((READY, (10, Told.SUCCESSOR)), 10, Phase.HANDING_OVER, True, True, True, False),
        ((READY, (10, Told.SUCCESSOR), (20, Told.ALONE)), 20, Phase.SERVING, True, False, True, False),
        ((READY, (10, Told.SUCCESSOR), (500, Told.STOP)), 501, Phase.HANDING_OVER, True, True, True, False),
        ((READY, (10, Told.SUCCESSOR), (500, Told.STOP)), 500 + EMPTY_MS, Phase.HANDING_OVER, False, True,
         False, False),
        ((READY, (10, Told.SUCCESSOR), (500, Told.STOP)), 500 + STOP_MS, Phase.HANDING_OVER, False, True,
         False, True),
        # the stop came first: it leaves as soon as there is a successor
        ((READY, (10, Told.STOP), (600, Told.SUCCESSOR)), 600, Phase.HANDING_OVER, True, True, True, False),
        ((READY, (10, Told.STOP), (600, Told.SUCCESSOR)), 600 + EMPTY_MS, Phase.HANDING_OVER, False, True,
         False, False),
        # the successor dies amid the stop, before the address is left and after it
        ((READY, (1, Told.SUCCESSOR), (10, Told.STOP), (20, Told.ALONE)), 30, Phase.STOPPING, False, False,
         True, False),
        ((READY, (1, Told.SUCCESSOR), (10, Told.STOP), (900, Told.ALONE)), 901, Phase.HANDING_OVER, False,
         True, False, False),
    ],
)  # fmt: skip
def test_what_holds(steps, at, phase, up, closing, accepting, ended):
    stance = told(*steps).stance(at)
    assert (stance.phase, stance.up, stance.closing, stance.accepting, stance.ended) == (
        phase, up, closing, accepting, ended,
    )  # fmt: skip


def test_calls_after_a_stop_are_told_so():
    process = told(READY, (10, Told.STOP))
    assert process.tell(20, Told.EVACUATE) == process.tell(20, Told.ACTIVATE) == "stopping"
    assert process.tell(30, Told.STOP) is None


def test_the_longest_deadline_moves_the_stop_but_not_one_that_has_begun():
    process = told(READY)
    assert process.stop_ms == 3400.0
    process.longest_ms = 9000.0
    assert process.stop_ms == 3400.0  # counted as 3 s where it is longer
    process.longest_ms = 1000.0
    process.tell(10, Told.STOP)
    process.longest_ms = 9000.0
    assert not process.stance(10 + 1399).ended and process.stance(10 + 1400).ended
    assert process.stance(10 + 499).accepting and not process.stance(10 + 501).accepting


def test_settings_that_change_in_a_drain_change_nothing_in_it():
    process = told(READY, (10, Told.EVACUATE))
    before = process.stance(500)
    process.longest_ms = 1000.0
    assert process.stance(500) == before


def test_in_each_order_a_stop_ends_and_what_was_left_stays_left():
    for order in itertools.product(Told, repeat=4):
        process = told(*((100 * i, what) for i, what in enumerate(order)))
        stops = [100 * i for i, what in enumerate(order) if what is Told.STOP]
        end = process.stance(1e9)
        if stops:
            assert end.ended and end.closing and not end.accepting and not end.up, order
            assert process.stance(stops[0] + STOP_MS).ended, order
            assert not process.stance(stops[0] + STOP_MS - 1).ended, order
        else:
            assert end.accepting and not end.ended, order
            assert end.up == (Told.READY in order and process.drained is None), order
        # a yes is given only by one that takes clients
        for at in range(0, 5000, 50):
            stance = process.stance(at)
            assert stance.accepting or not stance.up, order


@given(st.lists(st.tuples(st.floats(0, 2000), st.sampled_from(Told)), max_size=12))
def test_a_stance_says_when_it_changes_next(steps):
    """Between what it is told, nothing changes but at the times that the stance names."""
    process, now = Process(), 0.0
    for wait, what in steps:
        stance = process.stance(now)
        while stance.until <= now + wait:
            before = process.stance(max(now, stance.until - 1e-3))
            assert (before.closing, before.accepting, before.ended) == (
                stance.closing, stance.accepting, stance.ended,
            )  # fmt: skip
            now, wait = stance.until, wait - (stance.until - now)
            after = process.stance(now)
            assert after != stance and after.until > now
            # an end stays an end
            assert (after.ended, not after.accepting) >= (stance.ended, not stance.accepting)
            stance = after
        now += wait
        process.tell(now, what)
