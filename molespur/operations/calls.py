"""The operators' calls: one line in, lines out.  Pure but for what it asks of its two seams."""

from collections.abc import Callable

from ..lifecycle import ProcessEvent, ServingState

LINE_MOST = 256  # bytes of a call; the longest that makes sense has nine


class Calls:
    """Answers calls by asking the state machine and the figures."""

    def __init__(
        self,
        tell: Callable[[ProcessEvent], str | None],
        stance: Callable[[], ServingState],
        figures: Callable[[], list[str]],
        fleet: Callable[[str], list[str] | None] = lambda what: None,
    ):
        self._tell, self._stance, self._figures, self._fleet = tell, stance, figures, fleet

    def answer(self, line: bytes) -> list[str]:
        """The lines of the answer to one call."""
        call = line.strip()
        if call == b"readyz":
            stance = self._stance()
            return ["ok" if stance.up else f"fail {stance.phase.value}"]
        if call == b"telemetry":
            return [*self._figures(), "eof"]
        if call in (b"evacuate", b"activate"):
            why = self._tell(ProcessEvent(call.decode()))
            return [f"fail {why}" if why else "ok"]
        if call in (b"fleet members", b"fleet counters", b"fleet budgets", b"fleet load"):
            what = call.decode().split()[1]
            lines = self._fleet(what)
            off = "shared state" if what in ("budgets", "load") else "the fleet view"
            return [f"fail {off} is off"] if lines is None else [*lines, "eof"]
        if len(line) > LINE_MOST:
            return ["fail the call is too long"]
        calls = "readyz, telemetry, evacuate, activate, fleet members|budgets|load|counters"
        return [f"fail unknown call; there are {calls}"]
