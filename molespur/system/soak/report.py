"""What a run of a soak shows: what was met, what was found, what processes use over time."""

import json
from collections import Counter
from itertools import groupby

from .records import Deed, Log, Sample
from .run import Result

SLOPE_LEAST_S = 20.0  # a process has to live this long for a slope


def summary(result: Result) -> dict:
    """One run as plain values."""
    log = result.log
    return {
        "seed": result.seed,
        "findings": [f"{f.rule} at {f.at:.3f} s: {f.what}" for f in result.findings],
        "met": dict(sorted(result.met.items())),
        "requests": dict(sorted(Counter(exchange.ending.value for exchange in log.exchanges).items())),
        "answers": dict(sorted(Counter(str(e.status) for e in log.exchanges if e.status).items())),
        "runs": sum(arrival.runs for arrival in log.arrivals),
        "changes": dict(sorted(Counter(str(change.status) for change in log.changes).items())),
        "slowest_answer_to_an_operator_s": round(slowest_answer_s(log), 2),
        "probes": dict(sorted(Counter(str(probe.status) for probe in log.probes).items())),
        "prompt_memory": dict(sorted(Counter(event.deed.value for event in log.handles).items())),
        "orders": len(log.orders),
        "power_losses_that_lost_something": sum(d.deed is Deed.UNSYNCED_LOST for d in log.deeds),
        "steepest": steepest(log),
        "logs": str(result.folder),
    }


def slowest_answer_s(log: Log) -> float:
    """The longest time until an operator had a clear answer."""
    return max((c.answered_at - c.sent_at for c in log.changes if c.status), default=0.0)


def steepest(log: Log) -> dict:
    """The steepest growth of any process that lived long: memory and descriptors a minute."""
    slopes = [_slopes(list(samples)) for samples in _by_process(log)]
    slopes = [slope for slope in slopes if slope is not None]
    if not slopes:
        return {}
    return {
        "memory_kb_a_minute": round(max(slope[0] for slope in slopes)),
        "descriptors_a_minute": round(max(slope[1] for slope in slopes), 1),
        "largest_kb": max(sample.memory_kb for sample in log.samples),
    }


def _by_process(log: Log):
    ordered = sorted(log.samples, key=lambda sample: (sample.pid, sample.at))
    return (group for _, group in groupby(ordered, key=lambda sample: sample.pid))


def _slopes(samples: list[Sample]) -> tuple[float, float] | None:
    """Growth a minute between the first and the last third of a process's life."""
    if samples[-1].at - samples[0].at < SLOPE_LEAST_S:
        return None
    third = len(samples) // 3
    first, last = samples[third : 2 * third], samples[-third:]
    minutes = (_mean(last, "at") - _mean(first, "at")) / 60.0
    return (
        (_mean(last, "memory_kb") - _mean(first, "memory_kb")) / minutes,
        (_mean(last, "descriptors") - _mean(first, "descriptors")) / minutes,
    )


def _mean(samples: list[Sample], name: str) -> float:
    return sum(getattr(sample, name) for sample in samples) / len(samples)


def render(result: Result, as_json: bool) -> str:
    """One run as text."""
    told = summary(result)
    if as_json:
        return json.dumps(told, indent=1)
    lines = [f"seed {result.seed}: {len(result.findings)} findings"]
    lines += [f"  {finding}" for finding in told.pop("findings")]
    lines += [f"{name}: {value}" for name, value in told.items() if name != "seed"]
    return "\n".join(lines)
