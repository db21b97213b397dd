"""What the demo shows of a run: a line for each second, and what was done to the fleet.  Pure."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..client.report import table
from .traffic import Outcome, Sample


@dataclass(frozen=True, slots=True)
class Incident:
    """Something that was done to the fleet, seconds after the start of traffic."""

    at: float
    what: str


def percentile(values: Sequence[float], share: float) -> float | None:
    """The value below which this share of the values lies; None without any."""
    ranked = sorted(values)
    return ranked[min(int(share * len(ranked)), len(ranked) - 1)] if ranked else None


def seconds(samples: Sequence[Sample], incidents: Sequence[Incident]) -> list[dict]:
    """One row for each second of the run."""
    last = int(max((sample.at for sample in samples), default=0.0))
    rows = []
    for second in range(last + 1):
        inside = [sample for sample in samples if int(sample.at) == second]
        first = [sample.first_ms for sample in inside if sample.outcome is Outcome.SERVED]
        rows.append(
            {
                "second": second,
                "asked": len(inside),
                **{o.value: sum(sample.outcome is o for sample in inside) for o in Outcome},
                "first_p50_ms": percentile(first, 0.5),
                "first_p95_ms": percentile(first, 0.95),
                "what": "; ".join(incident.what for incident in incidents if int(incident.at) == second),
            }
        )
    return rows


def summary(samples: Sequence[Sample]) -> dict:
    """The run as a whole."""
    first = [sample.first_ms for sample in samples if sample.outcome is Outcome.SERVED]
    counted = {o.value: sum(sample.outcome is o for sample in samples) for o in Outcome}
    percentiles = {"first_p50_ms": percentile(first, 0.5), "first_p95_ms": percentile(first, 0.95)}
    return {"asked": len(samples), **counted, **percentiles}


def as_text(samples: Sequence[Sample], incidents: Sequence[Incident]) -> str:
    """The run as a table and a closing line."""
    if not samples:
        return "no request was sent"
    rows = seconds(samples, incidents)
    cells = [[_cell(value) for value in row.values()] for row in rows]
    whole = ", ".join(f"{name} {_cell(value)}" for name, value in summary(samples).items())
    return f"{table(list(rows[0]), cells)}\n\n{whole}"


def _cell(value: object) -> str:
    if value is None:
        return "-"
    return f"{value:.0f}" if isinstance(value, float) else str(value)
