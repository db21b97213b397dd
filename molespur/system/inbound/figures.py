"""The metrics of what a process's callers make it hold."""

from ..metrics import Metric, counter, gauge
from .connections import ConnectionTable
from .memory import MemoryBudget


def memory_metrics(memory: MemoryBudget) -> list[Metric]:
    """The metrics of a memory budget."""
    return [
        gauge("body_memory_bytes", "Memory that callers take: connections, requests, bodies.", memory.used),
        gauge("body_memory_limit_bytes", "Memory for callers, beyond which no body is read.", memory.total),
        gauge("bodies_waiting", "Requests whose bodies wait for memory.", memory.waiting),
    ]


def connection_metrics(connections: ConnectionTable) -> list[Metric]:
    """The metrics of a connection table."""
    return [
        gauge("connections", "Accepted connections.", connections.open),
        gauge("connections_limit", "Accepted connections, beyond which none is added.", connections.limit),
        counter("connections_refused", "Connections closed for want of room.", connections.refused),
        counter(
            "requests_refused_unread",
            "Requests refused for want of memory before they were read.",
            connections.refused_requests,
        ),
        counter("connections_evicted", "Connections that gave way to others.", connections.evicted),
    ]
