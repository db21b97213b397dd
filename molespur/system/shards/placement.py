"""Assigns data to replica groups: one for the configuration, the others by a hash of the service name."""

from zlib import crc32

CONFIGURATION = "configuration"
WORKER_SHARDS = 2
WORKER_GROUPS = tuple(f"workers-{number}" for number in range(WORKER_SHARDS))
GROUPS = (CONFIGURATION, *WORKER_GROUPS)


def group_of_service(service: str) -> str:
    """Return the group that stores the workers of a service."""
    return WORKER_GROUPS[crc32(service.encode()) % WORKER_SHARDS]
