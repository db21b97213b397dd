"""How many connections are accepted at each tick.  Pure.

A reconnect storm costs CPU that the streams under way need.  What tells whether there is too little is how
late the ticks of the wheel come: AIMD on that lateness, as in congestion control.  While ticks are on time,
one more is accepted each tick; a late one halves the number.  It never falls under one, so that the backlog
drains.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class AcceptPace:
    """The number for the next tick, learned from how late the ticks came.

    `late_ms` is the lateness from which on streams suffer; `most` bounds the number whatever the ticks say.
    """

    late_ms: float = 4.0
    most: int = 256
    number: float = 8.0

    def tick(self, lateness_ms: float, waiting: bool) -> int:
        """One tick has come so late; `waiting`: all that the last one allowed was used.  How many now."""
        if lateness_ms > self.late_ms:
            self.number = max(self.number / 2, 1.0)
        elif waiting:
            # what was not used proves nothing: only a full tick that came in time raises the number
            self.number = min(self.number + 1.0, float(self.most))
        return int(self.number)
