"""Consistent hashing of schedulers onto the control-plane processes that monitor them."""

from bisect import bisect
from collections.abc import Iterable
from hashlib import blake2b

MONITORS = 2
VIRTUAL_NODES = 16  # points of each process on the ring, so that load is spread evenly


def ring_position(key: str) -> int:
    """Position of a key on the ring."""
    return int.from_bytes(blake2b(key.encode(), digest_size=8).digest(), "big")


def monitors(node: str, processes: Iterable[str], count: int = MONITORS) -> list[str]:
    """The processes that monitor a node: the first `count` distinct ones after its position on the ring."""
    ring = sorted(
        (ring_position(f"{process}/{point}"), process)
        for process in processes
        for point in range(VIRTUAL_NODES)
    )
    chosen: list[str] = []
    start = bisect(ring, (ring_position(node), ""))
    for _, process in [*ring[start:], *ring[:start]]:
        if process not in chosen:
            chosen.append(process)
        if len(chosen) == count:
            break
    return chosen
