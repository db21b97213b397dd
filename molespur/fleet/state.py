"""The transport of a member that shares state: `gossip.Transport`, plus the actions of `shared.SharedState`.

It contains no rules.  It passes messages and the ends of upstream requests to the pure machine, carries out
its actions, and applies the budgets to the program (`uses.FleetAdapter`) at each tick, and at once where
something was lent.  Counters are `fleet.shared.*`.
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
    budget_lines,
    load_lines,
)
from .sharing import StateMessage
from .uses import FleetAdapter

log = logs.get(__name__)


class StateTransport(Transport):
    """One member on the network that shares state; `attach_state` has to be called before `open`."""

    def attach_state(self, machine: SharedState, adapter: FleetAdapter, adapts: bool) -> None:
        """Share state by this machine and adapter; `adapts`: connection limits follow the service time."""
        self.machine, self.adapter = machine, adapter
        self._members: dict[str, Address] | None = None  # alive members, as last passed to the machine
        self._lent = 0  # loans lent when the budgets were last applied to the program
        self.membership.shared_state = lambda: wire.encode_snapshot(machine.snapshot(self.clock.now()))
        adapter.connect(machine, self._notify, self._apply_budgets, adapts)

    def budgets(self) -> list[str]:
        """Shared budgets, who holds them, judgements and counters, as lines (`shared.budget_lines`)."""
        return budget_lines(self.machine, self.clock.now())

    def load(self) -> list[str]:
        """What is shed, retries and probes over the fleet, as lines (`shared.load_lines`)."""
        return load_lines(self.machine, self.clock.now(), self.adapter.class_names)

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
        if alive != self._members:
            self._members = alive
            self._notify(MembersChanged(alive))
        for name, count in self.adapter.take_counts().items():
            self.machine.totals.add(name, count)
        self._notify(Tick())
        self._apply_budgets()

    def _drained(self) -> None:
        if self._lent != self.machine.escrow.counts["loans_lent"]:
            self._apply_budgets()  # guards against spending what has just been lent

    def _receive_state(self, message: StateMessage) -> None:
        self._notify(StateReceived(message))

    def _receive_snapshot(self, exchange) -> None:
        snapshot, why = wire.decode_snapshot(exchange.shared_state)
        if snapshot is not None:
            self._notify(SnapshotReceived(snapshot))
        elif why:
            self.counters["fleet.whole_dropped." + why] += 1

    def _perform_other(self, action) -> None:
        if isinstance(action, WorkerJudgedBad):
            evidence = asdict(action.verdict) if action.verdict else {}  # known only to the judge
            log.warning("fleet.judged_bad", worker=action.worker, by=action.by, **evidence)
        elif isinstance(action, JudgementExpired):
            log.info("fleet.judgement_over", worker=action.worker)
        elif isinstance(action, TicketsChanged):
            log.info("fleet.tickets", before=action.before, after=action.after)
        elif isinstance(action, ReportReceived):
            self.adapter.deliver_report(action.worker, action.fields)
        elif isinstance(action, SheddingChanged):
            log.warning(
                "fleet.shed",
                by=action.by,
                **dict(zip(self.adapter.class_names, action.fractions, strict=False)),
            )
        elif isinstance(action, StateRefused):
            log.warning("fleet.state_refused", member=action.member, why=action.why)

    # -- Between the machine and the program -----------------------------------------------------

    def _notify(self, event) -> None:
        self._perform(self.machine.handle(self.clock.now(), time.time() * 1000, event))

    def _apply_budgets(self) -> None:
        """Apply what is shared now to the program."""
        self._lent = self.machine.escrow.counts["loans_lent"]
        self.adapter.refresh()
