"""Injects faults into processes of the fleet: one function for each kind of fault."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from ..demo.fleet import Machine
from .fleet import CONTROL, SCHEDULER, SoakFleet
from .plan import Event, Fault
from .records import Deed

DELAY_S = 0.05
DISK_BACK_S = 0.5
REPLACED_S = 1.0  # from the start of the new machine to the SIGTERM of the old one
KILLED_SHARE = 0.2  # of the event's duration: how long a killed process is down

FaultAction = Callable[[SoakFleet, Machine, Event], Awaitable[None]]


async def _stop_and_start(fleet: SoakFleet, machine: Machine, event: Event) -> None:
    fleet.signal(machine.name, signal.SIGTERM, Deed.TERMINATE)
    await fleet.ended(machine.name)
    await fleet.start(machine)


async def _kill(fleet: SoakFleet, machine: Machine, event: Event) -> None:
    fleet.signal(machine.name, signal.SIGKILL, Deed.KILL)
    await fleet.ended(machine.name)
    await asyncio.sleep(KILLED_SHARE * event.for_s)
    await fleet.start(machine)


async def _lose_power(fleet: SoakFleet, machine: Machine, event: Event) -> None:
    """Kill the process and lose a part of what its disk has not synced."""
    fleet.signal(machine.name, signal.SIGKILL, Deed.KILL)
    await fleet.ended(machine.name)
    fleet.lose_unsynced(machine, event.choice)
    await asyncio.sleep(KILLED_SHARE * event.for_s)
    await fleet.start(machine)


async def _freeze(fleet: SoakFleet, machine: Machine, event: Event) -> None:
    fleet.signal(machine.name, signal.SIGSTOP, Deed.FREEZE)
    await asyncio.sleep(event.for_s)
    fleet.signal(machine.name, signal.SIGCONT, Deed.THAW)


async def _reload(fleet: SoakFleet, machine: Machine, event: Event) -> None:
    fleet.write_settings(machine)
    fleet.signal(machine.name, signal.SIGHUP, Deed.RELOAD)


async def _rename(fleet: SoakFleet, machine: Machine, event: Event) -> None:
    await fleet.start(fleet.new_machine(SCHEDULER))
    fleet.signal(machine.name, signal.SIGTERM, Deed.TERMINATE)
    await fleet.ended(machine.name)
    fleet.remove(machine)


async def _wipe(fleet: SoakFleet, machine: Machine, event: Event) -> None:
    fleet.signal(machine.name, signal.SIGKILL, Deed.KILL)
    await fleet.ended(machine.name)
    fleet.lose_disk(machine)
    await asyncio.sleep(DISK_BACK_S)
    await fleet.start(machine)


async def _replace(fleet: SoakFleet, machine: Machine, event: Event) -> None:
    await fleet.start(fleet.new_machine(CONTROL))
    await asyncio.sleep(REPLACED_S)
    fleet.signal(machine.name, signal.SIGTERM, Deed.TERMINATE)
    await fleet.ended(machine.name)
    fleet.remove(machine)


async def _cut(fleet: SoakFleet, machine: Machine, event: Event) -> None:
    others = [other.name for other in fleet.of_role(CONTROL) if other.name != machine.name]
    outgoing = event.fault is not Fault.CONTROL_NOT_HEARING
    incoming = event.fault is not Fault.CONTROL_NOT_HEARD
    fleet.note(machine.name, Deed.CUT)
    fleet.line.cut(machine.name, others, outgoing, incoming)
    await asyncio.sleep(event.for_s)
    fleet.line.heal(machine.name)
    fleet.note(machine.name, Deed.HEAL)


async def _reset(fleet: SoakFleet, machine: Machine, event: Event) -> None:
    fleet.note(machine.name, Deed.RESET)
    fleet.line.reset(machine.name)


async def _delay(fleet: SoakFleet, machine: Machine, event: Event) -> None:
    fleet.line.delay_s[machine.name] = DELAY_S
    await asyncio.sleep(event.for_s)
    fleet.line.heal(machine.name)


FAULT_ACTIONS: dict[Fault, FaultAction] = {
    Fault.SCHEDULER_STOP: _stop_and_start,
    Fault.SCHEDULER_KILL: _kill,
    Fault.SCHEDULER_FREEZE: _freeze,
    Fault.SCHEDULER_RELOAD: _reload,
    Fault.SCHEDULER_RENAME: _rename,
    Fault.CONTROL_STOP: _stop_and_start,
    Fault.CONTROL_KILL: _kill,
    Fault.CONTROL_POWER: _lose_power,
    Fault.CONTROL_FREEZE: _freeze,
    Fault.CONTROL_RELOAD: _reload,
    Fault.CONTROL_WIPE: _wipe,
    Fault.CONTROL_REPLACE: _replace,
    Fault.CONTROL_CUT: _cut,
    Fault.CONTROL_NOT_HEARD: _cut,
    Fault.CONTROL_NOT_HEARING: _cut,
    Fault.CONTROL_RESET: _reset,
    Fault.CONTROL_DELAY: _delay,
}
"""The action for each fault of a process."""
