"""The most memory that a process holds for a growing number of clients, with no bound that fails it.

Usage: peaks.py [options] ROLE CROWD CLIENTS...

ROLE: data-plane or control-plane.  CROWD: a name of FRONTEND_CROWDS or HTTP_CROWDS, or large-configurations.

Options:
  --memory-mb=MB   the memory that the settings grant each process [default: 300]
  --open-files=N   its descriptors [default: 4100]
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from docopt import docopt

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

import crowd_behaviors as behaviors
import fleet_under_crowd
import test_control_plane_crowds as control_plane
import test_data_plane_crowds as data_plane
from crowd import HOLD_S, Crowd, Watch, is_served

LARGE_CONFIGURATIONS = "large-configurations"
ROUTES = 18_500  # 3.4 MB


def behavior_of(role, name):
    """What each client of this crowd does."""
    if name == LARGE_CONFIGURATIONS:
        control_plane.LARGE_ROUTES = ROUTES
        body = control_plane._large_configuration(2)
        fields = (b"If-Match: 1", behaviors.length(len(body)))
        return behaviors.once(behaviors.head(*fields, **control_plane.PUT) + body)
    crowds = data_plane.FRONTEND_CROWDS if role == "data-plane" else control_plane.HTTP_CROWDS
    return crowds[name][0]


async def peak(role, behave, clients):
    """(most memory in bytes, whether an ordinary caller is served beside the crowd)."""
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_under_crowd.running_fleet(Path(folder)) as fleet:
            data = role == "data-plane"
            host = fleet.data_host if data else fleet.control_host
            port = fleet_under_crowd.FRONTEND_PORT if data else fleet_under_crowd.HTTP_PORT
            call = fleet.ordinary_request if data else fleet.read_configuration
            crowd = Crowd((host, port), behave, clients)
            watch = Watch(fleet.processes[role].pid, host)
            try:
                await crowd.arrive()
                await asyncio.sleep(HOLD_S)
                served = await is_served(call)
            finally:
                await crowd.leave()
            await watch.stop()
            return watch.most_memory.memory_bytes, served


def main():
    """Measure, and print a line for each number of clients."""
    options = docopt(__doc__)
    role, name = options["ROLE"], options["CROWD"]
    fleet_under_crowd.MEMORY_MB = int(options["--memory-mb"])
    fleet_under_crowd.MAX_OPEN_FILES = int(options["--open-files"])
    behave = behavior_of(role, name)
    for clients in map(int, options["CLIENTS"]):
        memory_bytes, served = asyncio.run(peak(role, behave, clients))
        print(
            f"{role} {name} {clients} clients: {memory_bytes / 1e6:.0f} MB, ordinary caller served: {served}"
        )


if __name__ == "__main__":
    main()
