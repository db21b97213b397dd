"""How fast changes are told to the decision module.  Pure.

Telling costs the module time that grows with the fleet, so a registry that churns could take the whole core
from the streams.  Who is in service is known to the host at once; only the telling is paced: at most `share`
of the time, by what the last telling cost, and never later than `most_ms`.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class Pace:
    """Bounds the share of time that telling takes."""

    share: float = 0.25
    most_ms: float = 200.0
    at_once: int = 256  # entries told together
    ready_at: float = 0.0

    def wait_ms(self, now: float) -> float:
        """How long to wait before telling what has come."""
        return max(self.ready_at - now, 0.0)

    def told(self, now: float, cost_ms: float) -> None:
        """A telling that took cost_ms has just ended."""
        self.ready_at = now + min(cost_ms * (1 / self.share - 1), self.most_ms)
