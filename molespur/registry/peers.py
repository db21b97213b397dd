"""Schedulers as records in the registry, so that they find each other: read the others, keep one's own.

The fleet view takes seeds from here where `fleet.seeds_from_registry` is on: each member keeps a record
under `fleet.registry_prefix` with its gossip address as `endpoint`, under a lease of `registration.ttl_s`,
and reads the records of the others once at start.  Nothing of the fleet is imported here: addresses go out.
"""

import time
from random import Random

import msgspec

from ..config import ConfigError, parse_address
from ..config.deployment import Deployment
from .admin import Admin, RegistryError
from .lease import Registration
from .records import Record
from .registration import Registrar


def _admin(given: Deployment, prefix: str, wheel) -> Admin:
    registry = msgspec.structs.replace(given.registry, prefix=prefix)
    return Admin(msgspec.structs.replace(given, registry=registry), wheel)


async def read_peers(given: Deployment, prefix: str, wheel) -> tuple[list[tuple[str, int]], str]:
    """The addresses that the records under `prefix` name, and "" or why there are none."""
    try:
        reading = await _admin(given, prefix, wheel).read()
    except RegistryError as problem:
        return [], str(problem)
    found = []
    for entry in reading.view.entries.values():
        if entry.record is not None:
            try:
                found.append(parse_address(entry.record.endpoint, "endpoint"))
            except ConfigError:
                continue
    return found, ""


def keep_own(
    given: Deployment, prefix: str, member: str, address: tuple[str, int], wheel, clock, counters
) -> Registrar:
    """A registrar of this member's record; `run` it, `leave` at the end."""
    admin = _admin(given, prefix, wheel)
    machine = Registration(given.registration.ttl_s, len(admin.members), Random())
    record = Record("{}:{}".format(*address), uid=member, boot_ms=time.time() * 1000)
    return Registrar(
        machine, admin.protocol, admin.members, admin.key(member), record, wheel, clock, counters
    )  # fmt: skip
