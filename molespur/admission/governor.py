"""One budget of descriptors.  Pure.

Each use has a floor that no other can take.  What is over the floors is shared by whoever comes first, but a
job that was taken always finds the descriptor for its upstream request: accepting stops before it is used up.
"""

from dataclasses import dataclass, field
from enum import Enum


class Use(Enum):
    """What a descriptor is for."""

    OWN = "own"  # standard streams, the poller, the listener, the spare
    CLIENTS = "clients"
    WORKERS = "workers"
    PROBES = "probes"
    WATCHES = "watches"
    FILES = "files"


@dataclass(slots=True)
class Governor:
    """Counts descriptors against `most`.  `floors` must leave something over, or nothing can be shared."""

    most: int
    floors: dict[Use, int]
    resume_share: float = 0.05  # accepting goes on once this part of the budget is free again
    held: dict[Use, int] = field(default_factory=lambda: dict.fromkeys(Use, 0))
    denied: dict[Use, int] = field(default_factory=lambda: dict.fromkeys(Use, 0))
    accepting: bool = True
    short_until: float = 0.0  # the system itself had none: nothing new is shared until then

    def __post_init__(self):
        if sum(self.floors.values()) > self.most:
            raise ValueError(f"floors of {sum(self.floors.values())} descriptors, {self.most} in all")

    def _shared_left(self) -> int:
        """What is over all floors and not in use."""
        kept = sum(max(self.floors.get(use, 0), count) for use, count in self.held.items())
        return self.most - kept

    def left(self, use: Use, now: float = 0.0) -> int:
        """How many this use could still take."""
        own = max(self.floors.get(use, 0) - self.held[use], 0)
        return own + (max(self._shared_left(), 0) if now >= self.short_until else 0)

    def take(self, use: Use, now: float = 0.0) -> bool:
        """Take one; False where there is none, which is counted."""
        if self.left(use, now) <= 0:
            self.denied[use] += 1
            return False
        self.held[use] += 1
        return True

    def give(self, use: Use) -> None:
        """Give one back."""
        if not self.held[use]:
            raise ValueError(f"{use.value}: given back more than was taken")
        self.held[use] -= 1

    def out_of(self, now: float, rest_ms: float = 50.0) -> None:
        """The system had none (EMFILE, ENFILE, ENOBUFS): share nothing for a while, in place of spinning."""
        self.short_until = now + rest_ms

    def may_accept(self, now: float) -> bool:
        """Whether connections are taken in; paused and resumed with room between, so as not to flap."""
        room = self.left(Use.CLIENTS, now)
        if self.accepting and room <= 0:
            self.accepting = False
        elif not self.accepting and room >= max(self.resume_share * self.most, 1):
            self.accepting = True
        return self.accepting
