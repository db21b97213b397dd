"""The fleet's seam with shared state: `gossip.Transport`, and beside the view what `shared.SharedState` says.

It holds no rule of its own: it brings messages and what became of upstream requests to the pure machine,
carries out what that says, and applies the budgets to the program (`uses.FleetAdapter`) at each tick, and at
once where something was lent.  Counters are `fleet.shared.*`.
"""

import time
from dataclasses import asdict

from .. import logs
from . import wire
from .gossip import Transport
from .model import Address, State
from .shared import (
    JudgementExpired,
    MembersChanged,
    ReportReceived,
    SharedState,
    SheddingChanged,
    SnapshotReceived,
    StateReceived,
    StateRefused,
    Tick,
    TicketsChanged,
    WorkerJudgedBad,
    load_report,
    report,
)
from .sharing import StateMessage
from .uses import FleetAdapter

log = logs.get(__name__)


class StateTransport(Transport):
    """One member on the network that shares state; `attach_state` joins it before `open`."""

    def attach_state(self, machine: SharedState, uses: FleetAdapter, adapts: bool) -> None:
        """Share state by this pure machine, for these uses; `adapts`: limits follow the service time."""
        self.machine, self.uses = machine, uses
        self._viewed: dict[str, Address] | None = None  # who lives, as the machine was told
        self._lent = 0  # loans lent when the program was last held to its budgets
        self.membership.shared_state = lambda: wire.encode_snapshot(machine.snapshot(self.clock.now()))
        uses.connect(machine, self._tell, self._hold, adapts)

    def budgets(self) -> list[str]:
        """Shared budgets, who holds them, judgements and counts, as lines (`shared.report`)."""
        return report(self.machine, self.clock.now())

    def load(self) -> list[str]:
        """What is turned away, retries and probes over the fleet, as lines (`shared.load_report`)."""
        return load_report(self.machine, self.clock.now(), self.uses.names)

    def publish(self) -> None:
        super().publish()
        parts = [self.machine.counts, self.machine.escrow.counts]
        if self.machine.retries is not None:
            parts.append(self.machine.retries.counts)
        for name, count in (item for counts in parts for item in counts.items()):
            self.counters["fleet.shared." + name] = count
        now = self.clock.now()
        self.counters["fleet.shared.tickets"] = len(self.machine.holder.owned(now))
        self.counters["fleet.shared.bad"] = len(self.machine.bad_workers(now))

    # -- The hooks -----------------------------------------------------------------------------

    def _ticked(self, now: float) -> None:
        alive = {m.id: m.address for m in self.membership.members.values() if m.state <= State.SUSPECT}
        if alive != self._viewed:
            self._viewed = alive
            self._tell(MembersChanged(alive))
        for name, count in self.uses.counted().items():
            self.machine.totals.add(name, count)
        self._tell(Tick())
        self._hold()

    def _drained(self) -> None:
        if self._lent != self.machine.escrow.counts["loans_lent"]:
            self._hold()  # guards against spending what has just been lent

    def _shared(self, message: StateMessage) -> None:
        self._tell(StateReceived(message))

    def _carried(self, exchange) -> None:
        snapshot, why = wire.decode_snapshot(exchange.shared_state)
        if snapshot is not None:
            self._tell(SnapshotReceived(snapshot))
        elif why:
            self.counters["fleet.whole_dropped." + why] += 1

    def _do_more(self, action) -> None:
        if isinstance(action, WorkerJudgedBad):
            about = asdict(action.verdict) if action.verdict else {}  # known to the judge alone
            log.warning("fleet.judged_bad", worker=action.worker, by=action.by, **about)
        elif isinstance(action, JudgementExpired):
            log.info("fleet.judgement_over", worker=action.worker)
        elif isinstance(action, TicketsChanged):
            log.info("fleet.tickets", before=action.before, after=action.after)
        elif isinstance(action, ReportReceived):
            self.uses.learnt(action.worker, action.fields)
        elif isinstance(action, SheddingChanged):
            log.warning("fleet.shed", by=action.by, **dict(zip(self.uses.names, action.parts, strict=False)))
        elif isinstance(action, StateRefused):
            log.warning("fleet.state_refused", member=action.member, why=action.why)

    # -- Between the machine and the program -----------------------------------------------------

    def _tell(self, event) -> None:
        self._do(self.machine.handle(self.clock.now(), time.time() * 1000, event))

    def _hold(self) -> None:
        """Hold the program to what is shared, as it is now."""
        self._lent = self.machine.escrow.counts["loans_lent"]
        self.uses.refresh()
