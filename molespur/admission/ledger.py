"""Which connections stay.  Pure: events in, decisions out; no sockets, no clock but `now`.

Every connection has a source address, an enclosing network, and once it has proven itself an identity.  While
there is room all are let in.  Where there is none:

- the unproven of the fullest network's fullest address go first, the one that has been unproven longest: it
  had its time to prove itself, and a newcomer behind the same address is given the same time;
- the proven are never shed while an unproven stays that has no job under way.  Among them those without a job
  go, of the identity that holds most, the one idle longest; one with a job is never shed;
- a share of the room is reserved for the proven.  While they do not use it, it is lent to the unproven, who
  give it back at once: an unproven connection without a job can always be shed, and those with a job are held
  to what is not reserved.  So a crowd that brings one valid job each can't keep the proven out.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from ipaddress import ip_address, ip_network

from sortedcontainers import SortedSet


class End(Enum):
    """The one reason for which a connection ended."""

    CLOSED = "closed"  # by the client, or at its end
    SHED_UNPROVEN = "shed_unproven"
    SHED_IDLE = "shed_idle"
    SHED_SHRUNK = "shed_shrunk"  # a cap was lowered below what was open


@dataclass(frozen=True, slots=True)
class Admit:
    """Let it in; those named are shed for it first."""

    shed: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell it to come back after so long; it is not let in."""

    pause_ms: float


@dataclass(slots=True)
class Entry:
    number: int
    address: str
    network: str
    since: float
    identity: str | None = None
    jobs: int = 0


@dataclass(slots=True)
class Source:
    """An address: its unproven connections in the order in which they came, and how many in all."""

    unproven: OrderedDict[int, None] = field(default_factory=OrderedDict)
    open: int = 0


@dataclass(slots=True)
class Network:
    """An enclosing network: its unproven connections, and its addresses by how many of these they have."""

    unproven: int = 0
    addresses: SortedSet = field(default_factory=SortedSet)


@dataclass(frozen=True, slots=True)
class Rules:
    """`most` connections in all, `reserve` of these for the proven; prefix lengths of enclosing networks."""

    most: int
    reserve: int = 0
    prefix_v4: int = 24
    prefix_v6: int = 64
    pause_ms: float = 1000.0
    pause_spread_ms: float = 2000.0

    def __post_init__(self):
        if not 0 <= self.reserve < self.most:
            raise ValueError(f"reserve must be at least 0 and under most, got {self.reserve} of {self.most}")


def network_of(address: str, rules: Rules) -> str:
    """The enclosing network.  Raises ValueError for what is no address."""
    ip = ip_address(address)
    return str(ip_network((ip, rules.prefix_v4 if ip.version == 4 else rules.prefix_v6), strict=False))


class Ledger:
    """All connections open.  Memory is bounded by `most`: nothing is kept of those that ended but counts."""

    def __init__(self, rules: Rules):
        self.rules = rules
        self.entries: dict[int, Entry] = {}
        self.sources: dict[str, Source] = {}
        self.networks: dict[str, Network] = {}  # those with unproven connections
        self.by_identity: dict[str, OrderedDict[int, None]] = {}  # those without a job, by idleness
        self.holds: dict[str, int] = {}  # connections of each identity
        self.proven = self.busy_unproven = 0
        self.ended: dict[End, int] = dict.fromkeys(End, 0)
        self.refused = 0
        self._fullest: SortedSet = SortedSet()  # (unproven, network): the last is the fullest
        self._idlest: SortedSet = SortedSet()  # (held, identity) of each that has a connection without a job
        self._numbers = 0

    # -- What happens ----------------------------------------------------------------------------

    def arrive(
        self, address: str, now: float, draw: float, identity: str | None = None
    ) -> tuple[int, Admit | Refuse]:
        """A connection wants in: its number, and whether it is let in.

        `draw` in 0..1 spreads the times to come back.  `identity` is known where an address proves it.
        """
        self._numbers += 1
        number = self._numbers
        shed: tuple[int, ...] = ()
        if len(self.entries) >= self.rules.most:
            victim = self._victim(identity is not None)
            if victim is None:
                self.refused += 1
                return number, Refuse(self.rules.pause_ms + draw * self.rules.pause_spread_ms)
            shed = (victim,)
        for victim in shed:
            unproven = self.entries[victim].identity is None
            self.close(victim, End.SHED_UNPROVEN if unproven else End.SHED_IDLE)
        entry = Entry(number, address, network_of(address, self.rules), now)
        self.entries[number] = entry
        source = self.sources.setdefault(address, Source())
        source.open += 1
        self._unproven_add(entry)
        if identity is not None:
            self.prove(number, identity, now)
        return number, Admit(shed)

    def prove(self, number: int, identity: str, now: float) -> None:
        """A connection has proven to be this identity's: by a token, a range, or a job that it completed."""
        entry = self.entries.get(number)
        if entry is None or entry.identity is not None:
            return
        self._unproven_drop(entry)
        self.busy_unproven -= entry.jobs > 0
        entry.identity, entry.since = identity, now
        self.proven += 1
        self._identity_touch(identity, +1)
        if not entry.jobs:
            self._idle_add(entry)

    def job(self, number: int) -> bool:
        """A job has come on it.  If it may be taken, the connection is not shed until that is answered."""
        entry = self.entries.get(number)
        if entry is None:
            return False
        if entry.identity is None and not entry.jobs:
            if self.busy_unproven >= self.rules.most - self.rules.reserve:
                return False
            self.busy_unproven += 1
        entry.jobs += 1
        if entry.jobs == 1:
            if entry.identity is None:
                self._unproven_drop(entry)
            else:
                self._idle_drop(entry)
        return True

    def answered(self, number: int, now: float) -> bool:
        """A job of it has its final answer.  False if it is to be closed then: a cap was lowered."""
        entry = self.entries.get(number)
        if entry is None or not entry.jobs:
            return entry is not None
        entry.jobs -= 1
        if not entry.jobs:
            entry.since = now
            if entry.identity is None:
                self.busy_unproven -= 1
                self._unproven_add(entry)
            else:
                self._idle_add(entry)
            if len(self.entries) > self.rules.most:
                self.close(number, End.SHED_SHRUNK)
                return False
        return True

    def close(self, number: int, why: End = End.CLOSED) -> None:
        """It has ended, under this one reason; a second end is none."""
        entry = self.entries.pop(number, None)
        if entry is None:
            return
        self.ended[why] += 1
        source = self.sources[entry.address]
        if entry.identity is None:
            if entry.jobs:
                self.busy_unproven -= 1
            else:
                self._unproven_drop(entry)
        else:
            if not entry.jobs:
                self._idle_drop(entry)
            self.proven -= 1
            self._identity_touch(entry.identity, -1)
        source.open -= 1
        if not source.open:
            del self.sources[entry.address]

    def shrink(self, rules: Rules) -> tuple[int, ...]:
        """New rules: what must go now.  The newest unproven first, then the idle; jobs are never cut off."""
        self.rules, shed = rules, []
        while len(self.entries) > rules.most:
            unproven = [e.number for e in self.entries.values() if e.identity is None and not e.jobs]
            victim = max(unproven) if unproven else self._idlest_proven()
            if victim is None:
                break
            self.close(victim, End.SHED_SHRUNK)
            shed.append(victim)
        return tuple(shed)

    def top(self, count: int = 10) -> list[tuple[str, int, int]]:
        """The fullest addresses: (address, unproven, open)."""
        named = [(a, len(s.unproven), s.open) for a, s in self.sources.items()]
        return sorted(named, key=lambda row: (-row[2], row[0]))[:count]

    # -- Who goes --------------------------------------------------------------------------------

    def _fullest_unproven(self) -> int:
        network = self.networks[self._fullest[-1][1]]
        return next(iter(self.sources[network.addresses[-1][1]].unproven))

    def _idlest_proven(self) -> int | None:
        return next(iter(self.by_identity[self._idlest[-1][1]])) if self._idlest else None

    def _victim(self, for_proven: bool) -> int | None:
        """Who goes for a newcomer; None where nobody may."""
        if self._fullest:
            return self._fullest_unproven()
        if for_proven and self._idlest and self._idlest[-1][0] > 1:
            return self._idlest_proven()
        return None

    # -- Order -----------------------------------------------------------------------------------

    def _unproven_add(self, entry: Entry) -> None:
        self._reorder(entry, lambda source: source.unproven.__setitem__(entry.number, None), +1)

    def _unproven_drop(self, entry: Entry) -> None:
        if entry.number in self.sources[entry.address].unproven:
            self._reorder(entry, lambda source: source.unproven.__delitem__(entry.number), -1)

    def _reorder(self, entry: Entry, change, step: int) -> None:
        source = self.sources[entry.address]
        network = self.networks.setdefault(entry.network, Network())
        network.addresses.discard((len(source.unproven), entry.address))
        self._fullest.discard((network.unproven, entry.network))
        change(source)
        network.unproven += step
        if source.unproven:
            network.addresses.add((len(source.unproven), entry.address))
        if network.unproven:
            self._fullest.add((network.unproven, entry.network))
        else:
            del self.networks[entry.network]

    def _identity_touch(self, identity: str, step: int) -> None:
        held = self.holds.get(identity, 0)
        idle = identity in self.by_identity
        if idle:
            self._idlest.discard((held, identity))
        self.holds[identity] = held + step
        if idle:
            self._idlest.add((held + step, identity))
        if not self.holds[identity]:
            del self.holds[identity]

    def _idle_add(self, entry: Entry) -> None:
        waiting = self.by_identity.setdefault(entry.identity, OrderedDict())
        waiting[entry.number] = None
        self._idlest.add((self.holds[entry.identity], entry.identity))

    def _idle_drop(self, entry: Entry) -> None:
        waiting = self.by_identity.get(entry.identity)
        if waiting is None or entry.number not in waiting:
            return
        del waiting[entry.number]
        if not waiting:
            del self.by_identity[entry.identity]
            self._idlest.discard((self.holds[entry.identity], entry.identity))
