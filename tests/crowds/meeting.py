"""Lets crowds meet a process of a running fleet."""

import asyncio

from crowd import Crowd, endure
from fleet_under_crowd import running_fleet

LIMIT_S = 240


def meet(folder, role, ordinary_calls, *crowds, prepare=None):
    """Let crowds, each given as (port, behave, size), meet the process of a role, and check what has to hold.

    `ordinary_calls` gives the calls of ordinary callers, and `prepare` is awaited first; both take the fleet.
    """

    async def scenario():
        async with asyncio.timeout(LIMIT_S), running_fleet(folder) as fleet:
            if prepare is not None:
                await prepare(fleet)
            host = fleet.data_host if role == "data-plane" else fleet.control_host
            arriving = [Crowd((host, port), behave, size) for port, behave, size in crowds]
            await endure(fleet.processes[role], host, arriving, ordinary_calls(fleet))

    asyncio.run(scenario())
