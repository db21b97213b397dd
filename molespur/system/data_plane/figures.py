"""The metrics of a data-plane process."""

from collections import Counter
from collections.abc import Callable

from ..feed.follower import FeedFollower
from ..inbound.figures import memory_metrics
from ..inbound.memory import MemoryBudget
from ..metrics import Metric, MetricKind, counter, gauge
from ..rpc import traffic
from .request_counts import RequestCounts
from .state import DataPlaneState
from .upstream import Upstreams

MAX_AGE_MS = 1e9  # exposed while the age is unknown


def metrics(
    state: DataPlaneState,
    counts: RequestCounts,
    upstreams: Upstreams,
    follower: FeedFollower,
    memory: MemoryBudget,
    open_requests: Callable[[], int],
) -> list[Metric]:
    """All metrics with their current values."""
    workers = Counter()
    for service, tracks in state.workers.items():
        for track in tracks.values():
            workers[service, _state(track)] += 1
    unfinished = {
        (service,): float(sum(track.unfinished for track in tracks.values()))
        for service, tracks in state.workers.items()
    }
    return [
        Metric(
            "answers",
            MetricKind.COUNTER,
            "Answers to clients, by status and source: a worker, or an error kind of the data plane.",
            ("status", "source"),
            dict(counts.responses),
        ),
        Metric(
            "worker_calls",
            MetricKind.COUNTER,
            "Calls to workers that have ended, by part and outcome.",
            ("part", "outcome"),
            dict(counts.calls),
        ),
        Metric(
            "answers_ended",
            MetricKind.COUNTER,
            "Requests whose answers have ended, by what has ended them.",
            ("reason",),
            {(reason.value,): float(count) for reason, count in counts.ended.items()},
        ),
        Metric(
            "hedges",
            MetricKind.COUNTER,
            "Second attempts beside silent ones: begun, won, or not begun and why.",
            ("service", "outcome"),
            {
                (service, outcome): float(count)
                for service, gate in state.hedge_gates.items()
                for outcome, count in gate.outcomes.items()
            },
        ),
        counter("worker_connections_opened", "Connections opened to workers.", upstreams.total_opened),
        gauge("open_requests", "Requests of clients under way.", open_requests()),
        *memory_metrics(memory),
        gauge(
            "configuration_version", "Version in force; 0 before the first.", state.configuration_version()
        ),
        gauge("schedulers", "Schedulers that the control plane has told of.", state.schedulers),
        Metric(
            "workers", MetricKind.GAUGE, "Workers by service and state.", ("service", "state"), dict(workers)
        ),
        Metric("unfinished_calls", MetricKind.GAUGE, "Own calls under way.", ("service",), unfinished),
        Metric(
            "feed_offset",
            MetricKind.GAUGE,
            "Offset up to which each shard has been told.",
            ("shard",),
            {(group,): float(offset) for group, offset in follower.offsets.items()},
        ),
        gauge("state_age_ms", "Time since which something may be acknowledged that is not known here, ms.",
              min(follower.age_ms(), MAX_AGE_MS)),
        gauge("config_age_ms", "The same for the configuration alone, ms.",
              min(follower.configuration_age_ms(), MAX_AGE_MS)),
        *traffic.metrics(),
    ]  # fmt: skip


def _state(track) -> str:
    if not track.usable:
        return "unusable"
    return "silent" if track.silent else "usable"
