"""The delays between calls to discovery.  Does no I/O."""

from random import Random

from ..interface import Settings

# A scheduler must know a change within 6 s after discovery has it and is reachable, and must know what a
# silent watch missed within 6 s after it fell silent.  So the silence timeout, the delay before the next call
# and the call itself must together stay below 6 s.
SILENCE_TIMEOUT_MS = 3000.0  # discovery sends an empty line every 2 s; without it the watch counts as broken
CALL_TIMEOUT_MS = 1500.0  # to connect, and for the response to begin
# The calls of a fleet are spread over this time for each scheduler, so that they do not come all at once.
SPREAD_PER_SCHEDULER_MS, MAX_SPREAD_MS = 5.0, 1000.0
MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS = 100.0, 1500.0  # after failed calls: doubles with each one


class WatchBackoff:
    """Draws the delay before each call, by how earlier calls ended."""

    def __init__(self, rng: Random):
        self.rng, self.failed_calls = rng, 0  # calls in a row that did not lead to a lasting watch

    def record_end(self, active_ms: float) -> None:
        """Record the end of a call that was sending updates for active_ms; 0 if it sent none.

        A watch counts as lasting from SILENCE_TIMEOUT_MS on.  Otherwise a discovery that responds and closes
        at once would be called again as fast as it closes.
        """
        self.failed_calls = 1 if active_ms >= SILENCE_TIMEOUT_MS else self.failed_calls + 1

    def next_delay_ms(self, settings: Settings) -> float:
        """The delay before the next call."""
        # Pushed lists come from a local agent, and what the agent has must be known from the start: no delay.
        spread = (
            min(SPREAD_PER_SCHEDULER_MS * settings.balancers, MAX_SPREAD_MS) if settings.subscribes else 0.0
        )
        if self.failed_calls < 2:
            return spread * self.rng.random()
        min_delay = MIN_RETRY_DELAY_MS * 2 ** min(self.failed_calls - 1, 10)
        return min(max(spread, min_delay), MAX_RETRY_DELAY_MS) * (1 + self.rng.random()) / 2
