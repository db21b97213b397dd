"""Figures of a process, and their text in Prometheus' format.

The library is imported with the first question: a start has no time for it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "molespur_"


class MetricKind(Enum):
    """What a figure does: counters only rise, gauges go both ways."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class Metric:
    """One figure, with a value for each set of labels.

    Names carry their unit and no prefix; a counter's has no `_total`, which the format adds.
    """

    name: str
    kind: MetricKind
    description: str
    label_names: tuple[str, ...] = ()
    values: Mapping[tuple[str, ...], float] = field(default_factory=dict)


def counter(name: str, description: str, value: float) -> Metric:
    """A counter without labels."""
    return Metric(name, MetricKind.COUNTER, description, (), {(): value})


def gauge(name: str, description: str, value: float) -> Metric:
    """A gauge without labels."""
    return Metric(name, MetricKind.GAUGE, description, (), {(): value})


def exposition(metrics: Iterable[Metric]) -> bytes:
    """The text that a Prometheus server scrapes."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    families = {MetricKind.COUNTER: CounterMetricFamily, MetricKind.GAUGE: GaugeMetricFamily}

    class Collector:
        """Hands the figures to the library's registry."""

        def collect(self):
            """All figures, as the library's families."""
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
