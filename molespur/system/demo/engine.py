"""The model of a stand-in model worker: reading pace, batch, prefix cache, handles.  Pure; times are ms."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

PREFILL, DECODE = "prefill", "decode"


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """What one engine can do."""

    slots: int = 16  # requests that run at once
    read_tokens_per_ms: float = 50.0  # at a prefill worker; half of it at a decode worker
    step_ms: float = 4.0  # between two tokens of a request that runs alone
    step_ms_per_request: float = 0.2  # added for each other request that runs
    cache_tokens: int = 200_000
    handle_ms: float = 4_000.0  # how long memory that was read for another worker is kept
    switch_ms: float = 1_500.0  # how long a change of part takes


@dataclass(frozen=True, slots=True)
class Handle:
    """Memory that waits to be taken by a decode worker."""

    tokens: int
    until: float


@dataclass
class Engine:
    """One engine.  The caller keeps time and tells when requests begin and end."""

    profile: EngineProfile
    phase: str
    read_until: float = 0.0  # when all that was asked for so far has been read
    running: int = 0
    switching_until: float = float("-inf")
    orders: int = 0
    _cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _handles: dict[str, Handle] = field(default_factory=dict)
    _serial: int = 0

    # -- Reading -------------------------------------------------------------------------------

    def read(self, now: float, tokens: int, parts: Sequence[tuple[str, int]]) -> float:
        """Queue a prompt to be read; return when it will have been.  Cached leading parts are passed over."""
        unread = max(tokens - self.cached(parts), 0)
        pace = self.profile.read_tokens_per_ms * (1.0 if self.phase == PREFILL else 0.5)
        self.read_until = max(now, self.read_until) + unread / pace
        self._keep(parts)
        return self.read_until

    def cached(self, parts: Sequence[tuple[str, int]]) -> int:
        """Tokens of the leading parts that are cached."""
        total = 0
        for part, tokens in parts:
            if part not in self._cache:
                break
            total += tokens
        return total

    def _keep(self, parts: Sequence[tuple[str, int]]) -> None:
        for part, tokens in parts:
            self._cache[part] = tokens
            self._cache.move_to_end(part)
        while sum(self._cache.values()) > self.profile.cache_tokens:
            self._cache.popitem(last=False)

    # -- Running -------------------------------------------------------------------------------

    def begin(self) -> bool:
        """Take a place in the batch; False when all are taken."""
        if self.running >= self.profile.slots:
            return False
        self.running += 1
        return True

    def end(self) -> None:
        """Give the place back."""
        self.running -= 1

    def pause_ms(self) -> float:
        """Time to the next token of each running request."""
        return self.profile.step_ms + self.profile.step_ms_per_request * max(self.running - 1, 0)

    # -- Handles -------------------------------------------------------------------------------

    def hold(self, now: float, tokens: int) -> str:
        """Keep what was read for another worker; return the handle."""
        self._serial += 1
        name = f"h{self._serial:08x}"
        self._handles[name] = Handle(tokens, now + self.profile.handle_ms)
        return name

    def take(self, now: float, name: str) -> int | None:
        """Tokens behind a handle, which is taken once; None when it is gone."""
        handle = self._handles.pop(name, None)
        return handle.tokens if handle is not None and now <= handle.until else None

    def held(self, now: float) -> int:
        """Handles that wait; those that have lapsed are forgotten."""
        self._handles = {name: handle for name, handle in self._handles.items() if now <= handle.until}
        return len(self._handles)

    # -- Orders --------------------------------------------------------------------------------

    def order(self, now: float, phase: str) -> bool:
        """Change the part; False when it is held already."""
        if phase == self.phase:
            return False
        self.phase = phase
        self.orders += 1
        self.switching_until = now + self.profile.switch_ms
        return True

    def switching(self, now: float) -> bool:
        """Whether a change of part is under way."""
        return now < self.switching_until
