"""Tables, fits and a chart of what a scale run has measured."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path

import matplotlib
import numpy

matplotlib.use("svg")
from matplotlib import pyplot


@dataclass
class Fit:
    """A straight line over the number of schedulers, and the standard error of its slope."""

    base: float
    slope: float
    slope_error: float

    def at(self, schedulers: int) -> float:
        """The line's value at a size."""
        return self.base + self.slope * schedulers


def fit(sizes: list[int], values: list[float]) -> Fit:
    """Least squares; the error is not a number with fewer than three sizes."""
    slope, base = numpy.polyfit(sizes, values, 1)
    if len(sizes) < 3:
        return Fit(float(base), float(slope), float("nan"))
    left = numpy.array(values) - (base + slope * numpy.array(sizes))
    spread = numpy.sum((numpy.array(sizes) - numpy.mean(sizes)) ** 2)
    error = numpy.sqrt(numpy.sum(left**2) / (len(sizes) - 2) / spread)
    return Fit(float(base), float(slope), float(error))


def control_series(results: list[dict]) -> dict[str, list[float]]:
    """For each size the mean over control-plane processes: processor, memory, bytes by kind."""
    series: dict[str, list[float]] = {}
    kinds = sorted({kind for r in results for load in _control(r) for kind in load["bytes_a_second"]})
    for result in results:
        loads = _control(result)
        series.setdefault("% of a core", []).append(_mean(load["core_percent"] for load in loads))
        series.setdefault("MB", []).append(_mean(load["memory_mb"] for load in loads))
        series.setdefault("descriptors", []).append(_mean(load["descriptors"] for load in loads))
        for kind in kinds:
            mean = _mean(load["bytes_a_second"].get(kind, 0.0) / 1000.0 for load in loads)
            series.setdefault(f"KB/s of {kind}", []).append(mean)
    return series


def scheduler_series(results: list[dict]) -> dict[str, list[float]]:
    """For each size the mean over real schedulers."""
    series: dict[str, list[float]] = {}
    for result in results:
        loads = [load for load in result["at_rest"] if load["process"].startswith("data-plane")]
        if not loads:
            return {}
        series.setdefault("% of a core", []).append(_mean(load["core_percent"] for load in loads))
        series.setdefault("MB", []).append(_mean(load["memory_mb"] for load in loads))
        sent = [sum(load["bytes_a_second"].values()) / 1000.0 for load in loads]
        series.setdefault("KB/s sent to the control plane", []).append(_mean(sent))
    return series


def _control(result: dict) -> list[dict]:
    return [load for load in result["at_rest"] if load["process"].startswith("control-plane")]


def _mean(values) -> float:
    known = list(values)
    return sum(known) / len(known)


def markdown(results: list[dict]) -> str:
    """A page of the run."""
    sizes = [result["schedulers"] for result in results]
    lines = [
        "# Scale run of the control plane",
        "",
        "By `python -m benchmarks.scale`, on one machine; hollow schedulers and workers share one process.",
        f"Control-plane processes: {results[0]['control']}, which bear {results[0]['tolerated']} losses. "
        f"Real schedulers beside the hollow ones: {results[0]['real_schedulers']}.",
        "",
        "![load by size](scale.svg)",
        "",
    ]
    for title, series in (
        ("A control-plane process at rest, mean", control_series(results)),
        ("A real scheduler without requests, mean", scheduler_series(results)),
    ):
        if series:
            lines += [f"## {title}", "", *_series_table(sizes, series), ""]
    lines += ["## Times", "", "Milliseconds; p50, p99, most over schedulers.", "", *_times_table(results), ""]
    for name, value in results[-1]["losses"].items():
        lines += [
            f"## {name}, at {sizes[-1]} schedulers",
            "",
            "```json",
            json.dumps(value, indent=1),
            "```",
            "",
        ]
    return "\n".join(lines)


def _series_table(sizes: list[int], series: dict[str, list[float]]) -> list[str]:
    heads = ["", *(str(size) for size in sizes), "a scheduler more", "error of that"]
    lines = ["| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads)]
    for name, values in series.items():
        line = fit(sizes, values)
        cells = [name, *(f"{value:.2f}" for value in values), f"{line.slope:.4f}", f"{line.slope_error:.4f}"]
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def _times_table(results: list[dict]) -> list[str]:
    lines = [
        "| schedulers | workers | a change in force | a worker's silence told |",
        "| --- | --- | --- | --- |",
    ]
    for result in results:
        cells = [str(result["schedulers"]), str(result["workers"])]
        for name in ("changes", "deaths"):
            told = result[name]
            cells.append(
                f"{told['p50']:.0f}, {told['p99']:.0f}, {told['most']:.0f} ({told['count']} of {told['of']})"
            )
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def chart(results: list[dict], path: Path) -> None:
    """Processor, memory and bytes by size, with their lines."""
    sizes = [result["schedulers"] for result in results]
    series = control_series(results)
    sent = [name for name in series if name.startswith("KB/s")]
    figure, axes = pyplot.subplots(1, 3, figsize=(12, 3.6))
    for axis, names in zip(axes, (["% of a core"], ["MB"], sent), strict=True):
        for name in names:
            line = fit(sizes, series[name])
            (points,) = axis.plot(sizes, series[name], "o", label=name)
            axis.plot([0, sizes[-1]], [line.at(0), line.at(sizes[-1])], color=points.get_color())
        axis.set_xlabel("schedulers (twice as many workers)")
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=7)
    figure.suptitle("A control-plane process at rest")
    figure.tight_layout()
    figure.savefig(path)


def write(results: list[dict], folder: Path) -> None:
    """Page, data and chart of a run."""
    folder.mkdir(exist_ok=True)
    (folder / "scale.json").write_text(json.dumps(results, indent=1, default=asdict) + "\n")
    (folder / "scale.md").write_text(markdown(results))
    chart(results, folder / "scale.svg")
