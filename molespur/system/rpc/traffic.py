"""Counters of the RPC frames and bytes that this process has sent, for its metrics."""

from collections import Counter
from dataclasses import dataclass, field

from ..metrics import Metric, MetricKind


@dataclass(slots=True)
class SentTraffic:
    """Numbers of frames and bytes sent so far, by kind of message."""

    frames: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)

    def count(self, kind: str, size: int) -> None:
        """Count one sent frame of `size` bytes."""
        self.frames[kind] += 1
        self.bytes[kind] += size


sent = SentTraffic()  # totals of this process


def metrics() -> list[Metric]:
    """The counters as metrics."""
    return [
        Metric(
            "rpc_sent_frames",
            MetricKind.COUNTER,
            "Frames sent to other processes, by kind of message.",
            ("kind",),
            {(kind,): float(count) for kind, count in sent.frames.items()},
        ),
        Metric(
            "rpc_sent_bytes",
            MetricKind.COUNTER,
            "Bytes of these frames.",
            ("kind",),
            {(kind,): float(size) for kind, size in sent.bytes.items()},
        ),
    ]
