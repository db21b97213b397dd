"""Metrics of a process, and their exposition in the Prometheus text format.

The Prometheus library is imported at the first scrape, to keep the start of a process short.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "molespur_"


class MetricKind(Enum):
    """Kind of a metric: counters only increase, gauges go up and down."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class Metric:
    """A metric, with a value for each set of labels.

    Names include the unit but no prefix.  Counter names omit `_total`, which the library appends.
    """

    name: str
    kind: MetricKind
    description: str
    label_names: tuple[str, ...] = ()
    values: Mapping[tuple[str, ...], float] = field(default_factory=dict)


def counter(name: str, description: str, value: float) -> Metric:
    """Return a counter without labels."""
    return Metric(name, MetricKind.COUNTER, description, (), {(): value})


def gauge(name: str, description: str, value: float) -> Metric:
    """Return a gauge without labels."""
    return Metric(name, MetricKind.GAUGE, description, (), {(): value})


def exposition(metrics: Iterable[Metric]) -> bytes:
    """Return the metrics in the text format that a Prometheus server scrapes."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    families = {MetricKind.COUNTER: CounterMetricFamily, MetricKind.GAUGE: GaugeMetricFamily}

    class Collector:
        """Provides the metrics to the library's registry."""

        def collect(self):
            """Yield each metric as a metric family of the library."""
            for metric in metrics:
                family = families[metric.kind](
                    PREFIX + metric.name, metric.description, labels=metric.label_names
                )
                for labels, value in metric.values.items():
                    family.add_metric(labels, value)
                yield family

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Collector())
    return generate_latest(registry)
