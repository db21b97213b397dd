"""Accepting at the pace that the CPU carries: against a plain model of a core that is shared with streams."""

import pytest

from molespur.admission.pace import AcceptPace

TICK_MS = 4.0


def storm(pace, accept_ms, streams_ms, waiting, ticks=5000):
    """Ticks of a loop that serves streams and accepts: how late each came, and ticks until all are in."""
    lateness, late, done = [], 0.0, None
    for n in range(ticks):
        number = min(pace(late, waiting > 0) if pace else waiting, waiting)
        waiting -= number
        work = streams_ms + number * accept_ms
        late = max(late + work - TICK_MS, 0.0)
        lateness.append(late)
        if not waiting and done is None:
            done = n
    return lateness, done


@pytest.mark.parametrize("accept_ms", [0.05, 0.3, 1.0])
def test_streams_hardly_wait_and_the_storm_is_over_about_as_soon(accept_ms):
    waiting, streams_ms = 2000, 1.0
    lateness, done = storm(AcceptPace().tick, accept_ms, streams_ms, waiting)
    at_once, _ = storm(None, accept_ms, streams_ms, waiting)
    soonest = waiting * accept_ms / (TICK_MS - streams_ms)
    assert done is not None and done <= 2.0 * soonest + 80
    assert max(lateness) < 20 and max(at_once) > 90


def test_one_is_always_accepted_and_never_more_than_the_bound():
    pace = AcceptPace(most=10)
    assert [pace.tick(1000.0, True) for _ in range(10)][-1] == 1
    assert [pace.tick(0.0, True) for _ in range(50)][-1] == 10
    pace = AcceptPace()
    assert [pace.tick(0.0, False) for _ in range(50)][-1] == 8  # unused room proves nothing
