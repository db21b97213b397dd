"""Assignment of keys to members by rendezvous hashing over the fleet view.  Pure.

Each key ranks all members by a hash of both and is assigned to the first `k`.  All members that hold the same
view choose the same ones.  A member that joins or leaves moves only the keys that are assigned to it (Thaler
and Ravishankar, "Using name-based mappings to increase hit rates", 1998).
"""

import functools
from collections.abc import Iterable

import xxhash


@functools.lru_cache(maxsize=4096)
def _seed(member: str) -> int:
    return xxhash.xxh3_64_intdigest(member.encode())


def weight(key: bytes, member: str) -> int:
    """The weight of a member for a key; the same at all members."""
    return xxhash.xxh3_64_intdigest(key, _seed(member))


def pick(key: str, members: Iterable[str], k: int) -> list[str]:
    """The `k` members with the largest weight for a key, the largest first; fewer where there are fewer."""
    name = key.encode()
    return sorted(members, key=lambda member: (weight(name, member), member), reverse=True)[:k]


class Assignment:
    """The owner of each of `count` numbered keys, among members that come and go.

    `owners[i]` is a member's id, or "" while there are no members.  A change costs one hash for each key and
    new member, and one for each member and key whose owner has left.
    """

    def __init__(self, prefix: str, count: int):
        self.keys = [f"{prefix}{i}".encode() for i in range(count)]
        self.owners = [""] * count
        self._weights = [(-1, "")] * count
        self.members: set[str] = set()

    def set_members(self, members: Iterable[str]) -> bool:
        """Assign the keys among these members from now on; True if any owner changed."""
        members = set(members)
        if members == self.members:
            return False
        joined, left, self.members = members - self.members, self.members - members, members
        moved = False
        for i, key in enumerate(self.keys):
            among = members if self.owners[i] in left else joined
            best = (-1, "") if self.owners[i] in left else self._weights[i]
            for member in among:
                best = max(best, (weight(key, member), member))
            if best[1] != self.owners[i]:
                self.owners[i], moved = best[1], True
            self._weights[i] = best
        return moved

    def assigned_to(self, member: str) -> set[int]:
        """The numbers of the keys that are assigned to a member."""
        return {i for i, owner in enumerate(self.owners) if owner == member}
