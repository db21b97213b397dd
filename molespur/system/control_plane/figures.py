"""The metrics of a control-plane process."""

from collections import Counter

from ..consensus.records import Role
from ..feed.source import FeedSource
from ..membership.schedulers import SchedulerMonitor
from ..metrics import Metric, MetricKind, counter, gauge
from ..rpc import molespur_pb2 as pb
from ..rpc import traffic
from ..shards.group import HostedGroup
from ..shards.host import ReplicaHost
from ..shards.placement import CONFIGURATION, WORKER_GROUPS
from ..workers.phases import live_workers


def metrics(
    host: ReplicaHost,
    feed: FeedSource,
    schedulers: SchedulerMonitor,
    order_counts: Counter[tuple[str, str]],
    hold_counts: Counter[tuple[str, str]],
    failed_writes: int,
    now: float,
) -> list[Metric]:
    """The current metrics; `now` in ms on the monotonic clock."""
    workers = Counter(
        (worker.service, pb.WorkerState.Name(worker.state).lower())
        for name in WORKER_GROUPS
        for worker in host.groups[name].state_machine.workers.values()
    )
    phases = Counter(
        (worker.service, worker.phase)
        for name in WORKER_GROUPS
        for worker in live_workers(host.groups[name].state_machine.workers.values())
    )
    return [
        _by_shard(host, "shard_leader", "1 where this process leads the shard.",
                  lambda group: group.replica.role is Role.LEADER),
        _by_shard(host, "shard_term", "Term of consensus.", lambda group: group.replica.hard_state.term),
        _by_shard(host, "shard_commit_index", "Last committed entry.",
                  lambda group: group.replica.log.commit_index),
        _by_shard(host, "shard_applied_index", "Last entry that is part of the state here.",
                  lambda group: group.replica.log.applied_index),
        _by_shard(host, "shard_named_commit_index", "Last committed entry that a leader has named here.",
                  lambda group: group.replica.leader_commit_index),
        _by_shard(host, "shard_unsynced_entries", "Entries of the log that are not on this disk yet.",
                  lambda group: group.replica.log.last_index - group.replica.log.durable_index),
        _by_shard(host, "shard_voters", "Voting members.", lambda group: len(group.replica.voters())),
        _by_shard(host, "shard_leader_silence_ms", "Time since the leader was heard of, ms.",
                  lambda group: min(group.replica.ms_since_leader_contact(now), 1e9)),
        _by_shard(host, "shard_state_age_ms", "Time since which the state here may lack something, ms.",
                  lambda group: min(group.replica.state_age_ms(now), 1e9)),
        gauge("configuration_version", "Newest version that is known here; 0 before the first.",
              host.groups[CONFIGURATION].state_machine.version),
        Metric("workers", MetricKind.GAUGE, "Workers by service and state.", ("service", "state"),
               dict(workers)),
        Metric("live_workers", MetricKind.GAUGE, "Ready or switching workers by service and phase.",
               ("service", "phase"), dict(phases)),
        gauge("schedulers", "Schedulers heard of lately by any monitor.", len(schedulers.alive(now))),
        gauge("feed_followers", "Schedulers that follow the feed here.", len(feed.followers)),
        Metric("orders", MetricKind.COUNTER, "Orders given to workers, by part and outcome.",
               ("part", "outcome"), dict(order_counts)),
        Metric("order_holds", MetricKind.COUNTER,
               "Checks of a service's split, by its owner, that planned no order, by reason.",
               ("service", "reason"), dict(hold_counts)),
        counter("disk_failed_writes", "Tries to write to the disk that have failed.", failed_writes),
        *traffic.metrics(),
    ]  # fmt: skip


def _by_shard(host: ReplicaHost, name: str, description: str, of) -> Metric:
    def value(group: HostedGroup) -> float:
        return float(of(group))

    values = {(group.name,): value(group) for group in host.groups.values()}
    return Metric(name, MetricKind.GAUGE, description, ("shard",), values)
