"""A linearizability checker for histories of the operator's configuration.

The object is a register with compare-and-set by version in which a change keeps its outcome: an accepted
change is acknowledged again, a refused one stays refused.  A call takes effect at one moment between its
start and its end; one with an unknown outcome at any moment after its start, or never.  The search is that
of Wing and Gong (1993) with the memoization of Lowe (2017).
"""

from dataclasses import dataclass, field
from enum import Enum
from math import inf

MAX_STATES = 300_000


class PutResult(Enum):
    """The outcome that a caller has received."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Change:
    """A configuration change; `mark` distinguishes changes with the same version."""

    version: int
    base: int
    mark: str


@dataclass
class Put:
    """A call that puts a change."""

    change: Change
    start: float
    end: float = inf
    result: PutResult = PutResult.UNKNOWN


@dataclass
class Get:
    """A completed read; `found` is None if there was no configuration yet."""

    found: Change | None
    start: float
    end: float


@dataclass(frozen=True)
class State:
    """The content of the register and the outcomes of the changes."""

    current: Change | None = None
    accepted: frozenset = field(default_factory=frozenset)
    refused: frozenset = field(default_factory=frozenset)

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self.current.version if self.current else 0


def step(state: State, call: Put | Get) -> list[State]:
    """The possible states after a call; none if its result contradicts the state.

    A call with an unknown outcome is considered only if it has an effect: without one it is equivalent to a
    call that was never made.
    """
    if isinstance(call, Get):
        return [state] if call.found == state.current else []
    change = call.change
    if call.result is PutResult.UNKNOWN and change in state.accepted | state.refused:
        return []
    if change in state.accepted:
        return [state] if call.result is not PutResult.REFUSED else []
    is_acceptable = change not in state.refused and change.base == state.version < change.version
    if is_acceptable:
        after = State(change, state.accepted | {change}, state.refused)
        return [after] if call.result is not PutResult.REFUSED else []
    if call.result is PutResult.ACCEPTED:
        return []
    # versions only increase: a change based on an earlier one can never be accepted, recorded or not
    if change.base <= state.version:
        return [state] if call.result is PutResult.REFUSED else []
    return [State(state.current, state.accepted, state.refused | {change})]


def linearizable(history: list[Put | Get]) -> bool:
    """Whether some order of the calls is consistent with all results.

    A possible next call that does not change the state can be placed at once: it excludes no other order.
    """
    calls = sorted(history, key=lambda call: call.start)
    required = frozenset(n for n, call in enumerate(calls) if call.end < inf)
    seen = set()
    stack = [(frozenset(), State())]
    while stack:
        done, state = stack.pop()
        if required <= done:
            return True
        if (done, state) in seen:
            continue
        seen.add((done, state))
        if len(seen) > MAX_STATES:
            raise RuntimeError("the history is too long to be checked")
        first_end = min((calls[n].end for n in required - done), default=inf)
        following = [
            (done | {number}, after)
            for number, call in enumerate(calls)
            if number not in done and call.start <= first_end
            for after in step(state, call)
        ]
        without_effect = [move for move in following if move[1] == state]
        stack.extend(without_effect[:1] or following)
    return False
