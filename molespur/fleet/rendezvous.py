"""Which members something falls to, by rendezvous hashing over the fleet view.  Pure.

Each key ranks all members by a hash of both; it falls to the first `k`.  All members that hold the same view
choose the same ones, and a member that comes or goes moves only what falls to it (Thaler and Ravishankar,
"Using name-based mappings to increase hit rates", 1998).
"""

import functools
from collections.abc import Iterable

import xxhash


@functools.lru_cache(maxsize=4096)
def _seed(member: str) -> int:
    return xxhash.xxh3_64_intdigest(member.encode())


def weight(key: bytes, member: str) -> int:
    """How strongly a key is drawn to a member; equal everywhere."""
    return xxhash.xxh3_64_intdigest(key, _seed(member))


def pick(key: str, members: Iterable[str], k: int) -> list[str]:
    """The `k` members that a key falls to, the strongest first; fewer where there are fewer."""
    name = key.encode()
    return sorted(members, key=lambda member: (weight(name, member), member), reverse=True)[:k]


class Spread:
    """Whom each of `count` numbered things falls to, among members that come and go.

    `owner[i]` is a member's id, or "" while there are none.  A change costs a hash for each thing and
    newcomer, and one for each member and thing whose owner went.
    """

    def __init__(self, prefix: str, count: int):
        self.keys = [f"{prefix}{i}".encode() for i in range(count)]
        self.owner = [""] * count
        self._weights = [(-1, "")] * count
        self.members: set[str] = set()

    def change(self, members: Iterable[str]) -> bool:
        """Go by these members from now on; True if anything fell to another."""
        members = set(members)
        if members == self.members:
            return False
        came, went, self.members = members - self.members, self.members - members, members
        moved = False
        for i, key in enumerate(self.keys):
            among = members if self.owner[i] in went else came
            best = (-1, "") if self.owner[i] in went else self._weights[i]
            for member in among:
                best = max(best, (weight(key, member), member))
            if best[1] != self.owner[i]:
                self.owner[i], moved = best[1], True
            self._weights[i] = best
        return moved

    def of(self, member: str) -> set[int]:
        """The things that fall to a member."""
        return {i for i, owner in enumerate(self.owner) if owner == member}
