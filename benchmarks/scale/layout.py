"""Where the processes of a scale run are: loopback addresses, zones, settings files."""

from dataclasses import dataclass
from pathlib import Path

import yaml

from molespur.system.settings.process import ProcessSettings, parse

ZONES = 3
HTTP_PORT, RPC_PORT, LAST_PORT = 18046, 18060, 18075
FRONTEND_PORT, READINESS_PORT = 18044, 18040
HEARTBEAT_S = 1.2
HOLLOW_IP = "127.0.11.200"


def control_ip(number: int) -> str:
    """Address of a control-plane process."""
    return f"127.0.11.{number + 1}"


def scheduler_ip(number: int) -> str:
    """Address of a real scheduler."""
    return f"127.0.11.{number + 101}"


def zone(number: int) -> str:
    """Zone of the machine with a number."""
    return f"zone-{number % ZONES}"


@dataclass(frozen=True, slots=True)
class Layout:
    """The machines of one run."""

    control: int  # processes of the control plane
    tolerated: int  # losses at once that it bears

    def control_addresses(self) -> list[str]:
        """HTTP addresses of the control plane."""
        return [f"{control_ip(number)}:{HTTP_PORT}" for number in range(self.control)]

    def settings(self, name: str, ip: str, number: int, folder: Path | None = None) -> dict:
        """Settings of a process, by the keys of its file."""
        return {
            "NodeName": name,
            "Ip": ip,
            "Zone": zone(number),
            "PortRange": [RPC_PORT, LAST_PORT],
            "SeedNodes": self.control_addresses()[:3],
            "Listen": {
                "ControlPlane": f"{ip}:{HTTP_PORT}",
                "Frontend": f"{ip}:{FRONTEND_PORT}",
                "Readiness": f"{ip}:{READINESS_PORT}",
            },
            "Bootstrap": folder is not None and not (folder / name).exists(),
            "DataDirectory": str(folder / name) if folder is not None else None,
            "HeartbeatIntervalMs": HEARTBEAT_S * 1000,
            "FaultTolerance": {"Nodes": self.tolerated},
        }

    def hollow_settings(self, number: int) -> ProcessSettings:
        """Settings of a hollow scheduler."""
        return parse(yaml.safe_dump(self.settings(f"edge-{number}", HOLLOW_IP, number)))
