"""Consistent hashing: which control-plane processes monitor a scheduler."""

from bisect import bisect
from collections.abc import Iterable
from hashlib import blake2b

MONITORS = 2
POINTS = 16  # places of each process on the ring, so that shares are even


def ring_position(key: str) -> int:
    """Place of a name on the ring."""
    return int.from_bytes(blake2b(key.encode(), digest_size=8).digest(), "big")


def monitors(node: str, processes: Iterable[str], count: int = MONITORS) -> list[str]:
    """The processes that watch a node: the first few that follow its position on the ring."""
    ring = sorted(
        (ring_position(f"{process}/{point}"), process) for process in processes for point in range(POINTS)
    )
    chosen: list[str] = []
    start = bisect(ring, (ring_position(node), ""))
    for _, process in [*ring[start:], *ring[:start]]:
        if process not in chosen:
            chosen.append(process)
        if len(chosen) == count:
            break
    return chosen
