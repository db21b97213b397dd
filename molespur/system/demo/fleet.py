"""The processes of the demo fleet: settings on disk, start, kill and stop; only own ones are ever ended."""

import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import yaml

HTTP_PORT, RPC_PORT, LAST_PORT = 18146, 18160, 18175
FRONTEND_PORT, READINESS_PORT = 18144, 18140
NETWORK = "127.0.16"
FIRST_CONTROL, FIRST_SCHEDULER, FIRST_WORKER = 1, 11, 21
WORKER_PORT = 18180
ZONES = ("north", "middle", "south")
STOP_S = 10.0


@dataclass(frozen=True, slots=True)
class Machine:
    """One process of the fleet."""

    name: str
    role: str
    host: str
    zone: str

    @property
    def control_address(self) -> str:
        """Where it serves workers and the operator."""
        return f"{self.host}:{HTTP_PORT}"

    @property
    def frontend_address(self) -> str:
        """Where it serves clients."""
        return f"{self.host}:{FRONTEND_PORT}"


def machines(control: int, schedulers: int) -> list[Machine]:
    """The machines of a fleet, spread over the zones."""
    made = []
    for role, count, first in (
        ("control-plane", control, FIRST_CONTROL),
        ("data-plane", schedulers, FIRST_SCHEDULER),
    ):
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            made.append(Machine(f"{role}-{number + 1}", role, f"{NETWORK}.{first + number}", zone))
    return made


def settings(machine: Machine, seeds: list[str], folder: Path, bootstrap: bool) -> dict:
    """Settings of a machine's process, by the keys of the file."""
    return {
        "NodeName": machine.name,
        "Ip": machine.host,
        "Zone": machine.zone,
        "PortRange": [RPC_PORT, LAST_PORT],
        "SeedNodes": seeds,
        "Listen": {
            "ControlPlane": machine.control_address,
            "Frontend": machine.frontend_address,
            "Readiness": f"{machine.host}:{READINESS_PORT}",
        },
        "Bootstrap": bootstrap,
        "DataDirectory": str(folder / machine.name),
        "HeartbeatIntervalMs": 800,
        "FaultTolerance": {"Nodes": 1},
    }


class DemoFleet:
    """Starts and ends the processes."""

    def __init__(self, folder: Path, control: int = 3, schedulers: int = 2):
        self.folder = folder
        self.machines = {machine.name: machine for machine in machines(control, schedulers)}
        self.seeds = [m.control_address for m in self.of_role("control-plane")][:3]
        self._processes: dict[str, subprocess.Popen] = {}

    def of_role(self, role: str) -> list[Machine]:
        """The machines of one role."""
        return [machine for machine in self.machines.values() if machine.role == role]

    def settings_path(self, name: str) -> Path:
        """Where a machine's settings are."""
        return self.folder / f"{name}.yaml"

    def start(self, name: str, bootstrap: bool = False) -> None:
        """Start a machine's process."""
        machine = self.machines[name]
        path = self.settings_path(name)
        path.write_text(yaml.safe_dump(settings(machine, self.seeds, self.folder, bootstrap)))
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", "molespur", machine.role],
                env={**os.environ, "MOLESPUR_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )

    def start_all(self) -> None:
        """Start every process for the first time."""
        for name in self.machines:
            self.start(name, bootstrap=True)

    def kill(self, name: str) -> None:
        """End a process without a word."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def stop(self) -> None:
        """End every process in order, and whoever does not end in time without a word."""
        for process in self._processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self._processes.values():
            try:
                process.wait(STOP_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._processes.clear()
