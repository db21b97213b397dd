"""The accepted connections of a process, bounded by its descriptors and its memory budget.  No I/O.

A connection is charged for what it may hold from its acceptance on: its objects, and its socket's receive
buffer, since bytes that have arrived and are not read yet count as memory of the process.  When a new
connection or a charge does not fit, connections that serve no request are closed, the oldest first.
"""

import time
from collections.abc import Callable
from enum import Enum

from .memory import SMALL_RESERVE_SHARE, STALL_S, MemoryBudget, Reservation

IDLE_BYTES = 48 << 10  # of a connection without a request: objects and receive buffer
REQUEST_BYTES = 128 << 10  # of a request in progress, beyond its body: bytes read ahead, tasks, a worker call
RESERVED_FILES = 200  # of MaxOpenFiles, for files outside the disk folder
ACCEPTED_SHARE = 0.5  # of the other descriptors, for accepted connections
WORKER_SHARE = 0.4  # for connections to workers; the rest is for listeners, probes and the control plane
PEER_SHARE = 0.4  # for channels from other processes, where a process has no connections to workers
MIN_CONNECTIONS = 16
MAX_PROBE_CONNECTIONS = 32  # of the platform's readiness checks and of those who read the metrics


class ConnectionState(Enum):
    """What an accepted connection does."""

    IDLE = "idle"  # waits for a request
    HEAD = "head"  # the head of a request has begun
    SERVING = "serving"  # a request is being read or served
    BLOCKED = "blocked"  # its peer does not read the response
    LINGERING = "lingering"  # the response is complete, and the connection is about to close


EVICTION_ORDER = (
    ConnectionState.LINGERING,
    ConnectionState.IDLE,
    ConnectionState.HEAD,
    ConnectionState.BLOCKED,
)


class AcceptedConnection:
    """An accepted connection and what it is charged.  `on_evict` closes it at once."""

    def __init__(self, table: "ConnectionTable", memory: Reservation):
        self._table, self._memory = table, memory
        self.on_evict: Callable[[], None] = lambda: None
        self.state = ConnectionState.IDLE
        self.since = 0.0  # on the table's clock: when the state began
        self.is_open = True

    @property
    def max_hold(self) -> int:
        """What may be charged at once (bytes), so that there is room for it in calm."""
        return self._table.memory.total // 2

    def set_state(self, state: ConnectionState) -> None:
        """Change what it does."""
        if self.is_open and state is not self.state:
            self._table._move(self, state)

    def hold(self, size: int) -> None:
        """Charge so many bytes beyond those of an idle connection; they have arrived already."""
        if self.is_open:
            self._memory.resize(IDLE_BYTES + size)

    def try_hold(self, size: int, large: bool) -> bool:
        """Charge so many bytes if there is room for them; `large`: as for a large body."""
        if not self.is_open or (large and self._table.is_nearly_full):
            return False
        return self._memory.try_resize(IDLE_BYTES + size, large)

    def record_refused_request(self) -> None:
        """A request on it was refused for want of memory, before it was read."""
        self._table.refused_requests += 1

    def close(self) -> None:
        """It has been closed; again has no effect."""
        if self.is_open:
            self.is_open = False
            self._table._remove(self)
            self._memory.release()


class ConnectionTable:
    """All accepted connections of a process.  `clock`: seconds on a monotonic clock."""

    def __init__(self, memory: MemoryBudget, limit: int, clock: Callable[[], float] = time.monotonic):
        self.memory, self.limit = memory, limit
        self.refused = 0
        self.refused_requests = 0
        self.evicted = 0
        self._clock = clock
        # in the order in which they entered the state
        self._by_state: dict[ConnectionState, dict[AcceptedConnection, None]] = {
            s: {} for s in ConnectionState
        }
        memory.room_makers.append(self._make_room)

    @property
    def open(self) -> int:
        """How many connections are open."""
        return sum(len(connections) for connections in self._by_state.values())

    def in_state(self, state: ConnectionState) -> int:
        """How many connections are in this state."""
        return len(self._by_state[state])

    @property
    def is_nearly_full(self) -> bool:
        """Whether the connections that are left are for requests without large bodies only."""
        return self.open >= self.limit - int(SMALL_RESERVE_SHARE * self.limit)

    def admit(self) -> AcceptedConnection | None:
        """Take in a connection, at the expense of one that serves no request; None if there is no room."""
        if self.open >= self.limit and not self._evict_one():
            self.memory.record_denied()
            self.refused += 1
            return None
        reservation = self.memory.try_charge(IDLE_BYTES)
        if reservation is None:
            self.refused += 1
            return None
        connection = AcceptedConnection(self, reservation)
        connection.since = self._clock()
        self._by_state[connection.state][connection] = None
        return connection

    def _move(self, connection: AcceptedConnection, state: ConnectionState) -> None:
        """Change the state of a connection; nothing else does."""
        del self._by_state[connection.state][connection]
        connection.state, connection.since = state, self._clock()
        self._by_state[state][connection] = None

    def _remove(self, connection: AcceptedConnection) -> None:
        del self._by_state[connection.state][connection]

    def _make_room(self, size: int) -> None:
        """Close connections that serve no request until so many bytes are returned, or none is left."""
        wanted = self.memory.used - size
        while self.memory.used > wanted and self._evict_one():
            pass

    def _evict_one(self) -> bool:
        for state in EVICTION_ORDER:
            connection = next(iter(self._by_state[state]), None)
            if connection is None:
                continue
            if state is ConnectionState.BLOCKED and self._clock() - connection.since < STALL_S:
                continue
            self.evicted += 1
            connection.close()
            connection.on_evict()
            return True
        return False


def client_connections(memory: MemoryBudget, max_open_files: int) -> ConnectionTable:
    """The table for the callers of a process with so many descriptors."""
    return ConnectionTable(memory, _share(ACCEPTED_SHARE, max_open_files))


def peer_connections(memory: MemoryBudget, max_open_files: int) -> ConnectionTable:
    """The table for channels from other processes of the fleet, beside that for callers."""
    return ConnectionTable(memory, _share(PEER_SHARE, max_open_files))


def max_worker_connections(max_open_files: int) -> int:
    """How many connections to workers a process with so many descriptors may have."""
    return _share(WORKER_SHARE, max_open_files)


def _share(share: float, max_open_files: int) -> int:
    return max(int(share * (max_open_files - RESERVED_FILES)), MIN_CONNECTIONS)


def probe_connections(memory: MemoryBudget) -> ConnectionTable:
    """The table for probes, which callers of other listeners can't fill."""
    return ConnectionTable(memory, MAX_PROBE_CONNECTIONS)
