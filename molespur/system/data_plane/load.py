"""What a scheduler sends to the workers of one service, for the choice of their parts.  Pure."""

from collections import deque
from dataclasses import dataclass, field

WINDOW_MS = 3000.0
LEAST_SPAN_MS = 500.0


@dataclass
class LoadMeter:
    """Prompt tokens to be read, lately, and answers under way."""

    running: int = 0
    _reads: deque = field(default_factory=deque)
    _tokens: float = 0.0
    _full: bool = False  # the window has been filled once

    def read(self, now: float, tokens: float) -> None:
        """A worker has been asked to read a prompt."""
        self._reads.append((now, tokens))
        self._tokens += tokens
        self._drop(now)

    def read_tokens_per_s(self, now: float) -> float:
        """Tokens a second to be read, over the last few seconds."""
        self._drop(now)
        if not self._reads:
            return 0.0
        span = WINDOW_MS if self._full else max(now - self._reads[0][0], LEAST_SPAN_MS)
        return self._tokens / min(span, WINDOW_MS) * 1000.0

    def _drop(self, now: float) -> None:
        while self._reads and self._reads[0][0] < now - WINDOW_MS:
            self._tokens -= self._reads.popleft()[1]
            self._full = True
