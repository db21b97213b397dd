"""The processes of a soak: started, signalled, replaced and watched.  Only own ones are ever signalled."""

import asyncio
import os
import shutil
import signal
import subprocess
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random

import yaml

from ...standins.loopback import can_listen, reserved_net
from ..demo.fleet import HTTP_PORT, RPC_PORT, ZONES, Machine, settings
from . import disk
from .fault_line import FaultLine
from .records import Deed, Log, ProcessDeed, Sample

CONTROL, SCHEDULER = "control-plane", "data-plane"
SETTLED_S = 0.5  # a process whose interpreter starts heeds no signal yet
EXIT_LOOK_S = 0.05
END_S = 12.0  # a process that was told to end has this long
FIRST_NET, NETS = 64, 128  # the second part of all hosts
FRONT_PART, BACK_PART, WORKER_PART = 1, 2, 3
WORKER_BACK_PART = 60  # the third part of the hosts that workers listen at, behind the fault line
PROGRAM = (sys.executable, "-m", "molespur.system.soak.process")
BOUNDS = {"GracePeriodS": 8, "ConfigPropagationMs": 2000, "RetryBudgetMin": 200}


class SoakFleet:
    """All processes of one run, each under a name that no other one had before."""

    def __init__(self, folder: Path, seed: int, log: Log, clock: Callable[[], float]):
        """Raises OSError where every net of loopback hosts is taken."""
        self.folder, self.log, self.clock = folder, log, clock
        nets = (FIRST_NET + (seed + number) % NETS for number in range(NETS))
        self._net_lock, net = reserved_net(nets, _is_free)
        self.network = f"127.{net}"
        self.line = FaultLine()
        self.machines: dict[str, Machine] = {}
        self.busy: set[str] = set()  # processes with a fault in progress: they get no other one
        self._processes: dict[str, subprocess.Popen] = {}
        self._expected: set[str] = set()  # these were told to end
        self.command: Callable[[Machine], Sequence[str]] = lambda _machine: PROGRAM
        self._numbers = 0
        self._started_at: dict[str, float] = {}

    # -- Who is there --------------------------------------------------------------------------

    def of_role(self, role: str) -> list[Machine]:
        """The machines of one role that are part of the fleet."""
        return [machine for machine in self.machines.values() if machine.role == role]

    def idle(self, role: str) -> list[Machine]:
        """The machines of a role that have been running for a moment and have no fault in progress."""
        settled = {name for name, at in self._started_at.items() if self.clock() - at > SETTLED_S}
        free = (settled & set(self._processes)) - self.busy
        return [machine for machine in self.of_role(role) if machine.name in free]

    def seeds(self) -> list[str]:
        """Control addresses as an operator lists them."""
        return [machine.control_address for machine in self.of_role(CONTROL)][:3]

    def new_machine(self, role: str) -> Machine:
        """A machine with a name and an address of its own."""
        self._numbers += 1
        zone = ZONES[self._numbers % len(ZONES)]
        host = f"{self.network}.{FRONT_PART}.{self._numbers}"
        machine = Machine(f"{role}-{self._numbers}", role, host, zone)
        self.machines[machine.name] = machine
        self.line.know(machine.name, self._back(machine))
        return machine

    def _back(self, machine: Machine) -> str:
        return f"{self.network}.{BACK_PART}.{machine.host.rpartition('.')[2]}"

    # -- Deeds ---------------------------------------------------------------------------------

    def note(self, name: str, deed: Deed, code: int = 0) -> None:
        """Write down what was done."""
        self.log.deeds.append(ProcessDeed(self.clock(), name, deed, code))

    async def start(self, machine: Machine, bootstrap: bool = False) -> None:
        """Start a machine's process, reached through the fault line where it keeps state."""
        if machine.role == CONTROL and machine.name not in self.line._servers:
            await self.line.serve(machine.name, machine.host, self._back(machine), RPC_PORT)
        path = self.write_settings(machine, bootstrap)
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            self._processes[machine.name] = subprocess.Popen(
                [*self.command(machine), machine.role, "--verbosity=1"],
                env={**os.environ, "MOLESPUR_SETTINGS": str(path)}, stdout=log, stderr=log,
            )  # fmt: skip
        self._expected.discard(machine.name)
        self._started_at[machine.name] = self.clock()
        self.note(machine.name, Deed.START)

    def write_settings(self, machine: Machine, bootstrap: bool = False) -> Path:
        """The settings file, with the seeds as they are now."""
        path = self.folder / f"{machine.name}.yaml"
        text = settings(machine, self.seeds(), self.folder, bootstrap)
        text.update({"BindIp": self._back(machine), "Bounds": BOUNDS})
        written = path.with_suffix(".new")
        written.write_text(yaml.safe_dump(text))
        written.replace(path)  # a process that starts reads all of it, or the one before
        return path

    def signal(self, name: str, number: int, deed: Deed) -> None:
        """Send one signal to a process that runs."""
        process = self._processes.get(name)
        if process is not None and process.poll() is None:
            if deed in (Deed.TERMINATE, Deed.KILL):
                self._expected.add(name)
            self.note(name, deed)
            process.send_signal(number)

    async def ended(self, name: str) -> None:
        """Wait until a process that was told to end has ended; one that does not is killed."""
        process, until = self._processes[name], self.clock() + END_S
        while process.poll() is None:
            if self.clock() > until:
                process.kill()
            await asyncio.sleep(EXIT_LOOK_S)
        self._gone(name, process)

    def _gone(self, name: str, process: subprocess.Popen) -> None:
        if self._processes.get(name) is process:
            del self._processes[name]
            expected = name in self._expected
            self.note(name, Deed.EXIT, 0 if expected else process.returncode or -1)

    def lose_unsynced(self, machine: Machine, choice: float) -> None:
        """A machine whose process was killed has lost power: what its disk had not synced goes, in part."""
        if disk.lose_unsynced(self.folder / machine.name, Random(choice)):
            self.note(machine.name, Deed.UNSYNCED_LOST)

    def lose_disk(self, machine: Machine) -> None:
        """The machine comes back with an empty disk."""
        shutil.rmtree(self.folder / machine.name, ignore_errors=True)

    def remove(self, machine: Machine) -> None:
        """The machine is gone for good."""
        self.machines.pop(machine.name, None)
        self.line.close(machine.name)

    # -- Watching ------------------------------------------------------------------------------

    def look(self) -> None:
        """Note who has ended by itself, and what everyone uses."""
        for name, process in list(self._processes.items()):
            if process.poll() is not None and name not in self._expected:
                self._gone(name, process)

    def samples(self) -> list[Sample]:
        """What each process uses now."""
        found = []
        for name, process in self._processes.items():
            try:
                status = Path(f"/proc/{process.pid}/status").read_text()
                descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
            except OSError:
                continue
            memory = next((line.split()[1] for line in status.splitlines() if line.startswith("VmRSS")), "0")
            found.append(Sample(self.clock(), name, process.pid, int(memory), descriptors))
        return found

    def stop(self) -> None:
        """End everything."""
        for name, process in self._processes.items():
            self._expected.add(name)
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in self._processes.values():
            try:
                process.wait(END_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._processes.clear()
        self.line.stop()
        self._net_lock.close()


def _is_free(net: int) -> bool:
    """Whether no process of another soak, or one that was left over, listens there."""
    return can_listen(f"127.{net}.{FRONT_PART}.1", RPC_PORT)


def control_addresses(fleet: SoakFleet) -> list[str]:
    """Where workers and operators call."""
    return [f"{machine.host}:{HTTP_PORT}" for machine in fleet.of_role(CONTROL)]
