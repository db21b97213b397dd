"""The operator and the platform of a case: a first configuration, and waiting until schedulers are ready."""

import asyncio
import time

from . import http
from .fleet import READINESS, Fleet

READY_S = 30.0
LIMITS = {
    "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000
}  # fmt: skip
ENGINE = {
    "Capacity": 64, "KvCapacityTokens": 399486, "KvTokenBytes": 18432, "BandwidthMbps": 550000.0,
    "stride": 11, "HandleTtlS": 4.4, "RoleSwitchS": 1.5, "Models": [{"Name": "m"}],
}  # fmt: skip


def service(name: str, max_connections: int, engine: bool = False) -> dict:
    """A service of a configuration."""
    described = {
        "Name": name, "HealthPath": "/healthz", "MaxConnections": max_connections, "Protocol": "h1",
        "Tls": False,
    }  # fmt: skip
    return {**described, "Engine": ENGINE} if engine else described


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """A whole configuration."""
    return {"Version": version, "Routes": routes, "Services": services, "Limits": LIMITS}


async def put_first(fleet: Fleet, wanted: dict) -> None:
    """Put the first configuration in force.  Raises TimeoutError if it is not acknowledged."""
    answer = await http.call_any(fleet.control_addresses, "PUT", "/api/config", wanted, If_Match="0")
    fleet.record.write(f"the operator's configuration {wanted['Version']} gets {answer.status}")
    if answer.status != 200:
        raise TimeoutError("the first configuration was not taken")


async def wait_until_ready(fleet: Fleet) -> None:
    """Wait until every scheduler answers 200 at its readiness address.  Raises TimeoutError."""
    until = time.monotonic() + READY_S
    for machine in fleet.of_role("data-plane"):
        while not await _is_ready(machine.address(READINESS)):
            if time.monotonic() > until:
                raise TimeoutError(f"{machine.name} is not ready")
            await asyncio.sleep(0.1)
        fleet.record.write(f"{machine.name} is ready")


async def _is_ready(address: str) -> bool:
    try:
        return (await http.call(address, "GET", "/api/readyz")).status == 200
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
