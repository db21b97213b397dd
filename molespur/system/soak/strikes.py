"""What is done to processes of the fleet, one function for each trouble."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from ..demo.fleet import Machine
from .fleet import CONTROL, SCHEDULER, SoakFleet
from .plan import Event, Trouble
from .records import Deed

DELAY_S = 0.05
DISK_BACK_S = 0.5
REPLACED_S = 1.0  # the new machine starts so much before the old one is told to end
KILLED_SHARE = 0.2  # of a trouble's length: a process that was killed is down for so long

Strike = Callable[[SoakFleet, Machine, Event], Awaitable[None]]


async def _stop_and_start(fleet: SoakFleet, victim: Machine, event: Event) -> None:
    fleet.signal(victim.name, signal.SIGTERM, Deed.TERMINATE)
    await fleet.ended(victim.name)
    await fleet.start(victim)


async def _kill(fleet: SoakFleet, victim: Machine, event: Event) -> None:
    fleet.signal(victim.name, signal.SIGKILL, Deed.KILL)
    await fleet.ended(victim.name)
    await asyncio.sleep(KILLED_SHARE * event.for_s)
    await fleet.start(victim)


async def _lose_power(fleet: SoakFleet, victim: Machine, event: Event) -> None:
    """The process ends, and what its disk had not synced is lost in part."""
    fleet.signal(victim.name, signal.SIGKILL, Deed.KILL)
    await fleet.ended(victim.name)
    fleet.lose_unsynced(victim, event.choice)
    await asyncio.sleep(KILLED_SHARE * event.for_s)
    await fleet.start(victim)


async def _freeze(fleet: SoakFleet, victim: Machine, event: Event) -> None:
    fleet.signal(victim.name, signal.SIGSTOP, Deed.FREEZE)
    await asyncio.sleep(event.for_s)
    fleet.signal(victim.name, signal.SIGCONT, Deed.THAW)


async def _reload(fleet: SoakFleet, victim: Machine, event: Event) -> None:
    fleet.write_settings(victim)
    fleet.signal(victim.name, signal.SIGHUP, Deed.RELOAD)


async def _rename(fleet: SoakFleet, victim: Machine, event: Event) -> None:
    await fleet.start(fleet.new_machine(SCHEDULER))
    fleet.signal(victim.name, signal.SIGTERM, Deed.TERMINATE)
    await fleet.ended(victim.name)
    fleet.remove(victim)


async def _wipe(fleet: SoakFleet, victim: Machine, event: Event) -> None:
    fleet.signal(victim.name, signal.SIGKILL, Deed.KILL)
    await fleet.ended(victim.name)
    fleet.lose_disk(victim)
    await asyncio.sleep(DISK_BACK_S)
    await fleet.start(victim)


async def _replace(fleet: SoakFleet, victim: Machine, event: Event) -> None:
    await fleet.start(fleet.new_machine(CONTROL))
    await asyncio.sleep(REPLACED_S)
    fleet.signal(victim.name, signal.SIGTERM, Deed.TERMINATE)
    await fleet.ended(victim.name)
    fleet.remove(victim)


async def _cut(fleet: SoakFleet, victim: Machine, event: Event) -> None:
    others = [machine.name for machine in fleet.of_role(CONTROL) if machine.name != victim.name]
    outgoing = event.trouble is not Trouble.CONTROL_NOT_HEARING
    incoming = event.trouble is not Trouble.CONTROL_NOT_HEARD
    fleet.note(victim.name, Deed.CUT)
    fleet.line.cut(victim.name, others, outgoing, incoming)
    await asyncio.sleep(event.for_s)
    fleet.line.heal(victim.name)
    fleet.note(victim.name, Deed.HEAL)


async def _reset(fleet: SoakFleet, victim: Machine, event: Event) -> None:
    fleet.note(victim.name, Deed.RESET)
    fleet.line.reset(victim.name)


async def _delay(fleet: SoakFleet, victim: Machine, event: Event) -> None:
    fleet.line.delay_s[victim.name] = DELAY_S
    await asyncio.sleep(event.for_s)
    fleet.line.heal(victim.name)


STRIKES: dict[Trouble, Strike] = {
    Trouble.SCHEDULER_STOP: _stop_and_start,
    Trouble.SCHEDULER_KILL: _kill,
    Trouble.SCHEDULER_FREEZE: _freeze,
    Trouble.SCHEDULER_RELOAD: _reload,
    Trouble.SCHEDULER_RENAME: _rename,
    Trouble.CONTROL_STOP: _stop_and_start,
    Trouble.CONTROL_KILL: _kill,
    Trouble.CONTROL_POWER: _lose_power,
    Trouble.CONTROL_FREEZE: _freeze,
    Trouble.CONTROL_RELOAD: _reload,
    Trouble.CONTROL_WIPE: _wipe,
    Trouble.CONTROL_REPLACE: _replace,
    Trouble.CONTROL_CUT: _cut,
    Trouble.CONTROL_NOT_HEARD: _cut,
    Trouble.CONTROL_NOT_HEARING: _cut,
    Trouble.CONTROL_RESET: _reset,
    Trouble.CONTROL_DELAY: _delay,
}
"""The trouble of a process, and what is done for it."""
