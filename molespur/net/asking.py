"""When discovery is asked again.  Pure."""

from random import Random

from ..interface import Settings

# A change counts as told 6 s after discovery had it and could be reached, a silent watch 6 s after it
# fell silent.  So the silence, the wait before asking again and the call together have to stay below that.
SILENCE_MS = 3000.0  # an empty line comes every 2 s: without it the watch is taken for broken
CALL_MS = 1500.0  # for a connection, and for the answer to begin
EACH_MS, EACH_MOST_MS = 5.0, 1000.0  # of asking for each scheduler, so that a fleet does not ask all at once
AGAIN_MS, AGAIN_MOST_MS = 100.0, 1500.0  # least wait after a failed call, which doubles up to the most


class Asking:
    """The waits before calls, drawn, by how the calls before have ended."""

    def __init__(self, rng: Random):
        self.rng, self.failed = rng, 0  # calls in a row that did not become a watch that stood

    def ended(self, stood_ms: float) -> None:
        """A call has ended that had told something for so long; 0: it told nothing.

        Guards against a discovery that answers and hangs up at once being asked as fast as it does so.
        """
        self.failed = 1 if stood_ms >= SILENCE_MS else self.failed + 1

    def wait_ms(self, settings: Settings) -> float:
        """How long to wait before the next call."""
        # lists that are pushed come from an agent of our own, and what it has counts as told from the start
        spread = min(EACH_MS * settings.balancers, EACH_MOST_MS) if settings.subscribes else 0.0
        if self.failed < 2:
            return spread * self.rng.random()
        least = AGAIN_MS * 2 ** min(self.failed - 1, 10)
        return min(max(spread, least), AGAIN_MOST_MS) * (1 + self.rng.random()) / 2
