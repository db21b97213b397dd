"""Measures what a scheduler sends to the workers of one service; the control plane plans their phases by it.

Pure.  Times are ms.
"""

from collections import deque
from dataclasses import dataclass, field

WINDOW_MS = 3000.0
MIN_SPAN_MS = 500.0


@dataclass
class LoadMeter:
    """Prompt tokens sent for prefill within the window, and open calls for responses."""

    running: int = 0
    _prefills: deque = field(default_factory=deque)
    _tokens: float = 0.0
    _full: bool = False  # the window has been filled once

    def record_prefill(self, now: float, tokens: float) -> None:
        """A prompt has been sent to a worker that has to prefill `tokens` tokens of it."""
        self._prefills.append((now, tokens))
        self._tokens += tokens
        self._drop_old(now)

    def prefill_tokens_per_s(self, now: float) -> float:
        """Tokens per second sent for prefill, over the window."""
        self._drop_old(now)
        if not self._prefills:
            return 0.0
        span_ms = WINDOW_MS if self._full else max(now - self._prefills[0][0], MIN_SPAN_MS)
        return self._tokens / min(span_ms, WINDOW_MS) * 1000.0

    def _drop_old(self, now: float) -> None:
        while self._prefills and self._prefills[0][0] < now - WINDOW_MS:
            self._tokens -= self._prefills.popleft()[1]
            self._full = True
