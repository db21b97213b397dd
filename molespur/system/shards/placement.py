"""Which replica group keeps what: one for the configuration, the others by a hash of the service's name."""

from zlib import crc32

CONFIGURATION = "configuration"
WORKER_SHARDS = 2
WORKER_GROUPS = tuple(f"workers-{number}" for number in range(WORKER_SHARDS))
GROUPS = (CONFIGURATION, *WORKER_GROUPS)


def group_of_service(service: str) -> str:
    """The group that keeps the workers of a service."""
    return WORKER_GROUPS[crc32(service.encode()) % WORKER_SHARDS]
