"""The operators' pages name what the code has: settings, figures, events of the log."""

import ast
import re
from pathlib import Path

from attrs import fields

from molespur.system.settings.configuration import Limits
from molespur.system.settings.process import (
    Bounds,
    FaultTolerance,
    ProcessLimits,
    ProcessSettings,
    wire_name,
)
from molespur.system.workers.phases import OrderHold

ROOT = Path(__file__).parent.parent.parent
PAGES = ROOT / "docs/operate"
SOURCES = ROOT / "molespur/system"
GROUPS = {"FaultTolerance": FaultTolerance, "Bounds": Bounds, "Limits": ProcessLimits}
LEVELS = ("info", "warning", "error")


def first_cells(page):
    """The code in the first cell of each row of a page's tables."""
    lines = (PAGES / page).read_text().splitlines()
    cells = [line.split("|")[1].strip() for line in lines if line.startswith("| `")]
    return [part.strip("`") for cell in cells for part in cell.split("`, `")]


def settings_keys():
    for attribute in fields(ProcessSettings):
        key = wire_name(attribute.name)
        if key == "Listen":
            yield from (f"Listen.{name}" for name in ("ControlPlane", "Frontend", "Readiness"))
        elif key in GROUPS:
            yield from (f"{key}.{wire_name(inner.name)}" for inner in fields(GROUPS[key]))
        else:
            yield key
    yield from (wire_name(attribute.name) for attribute in fields(Limits))


def test_the_page_of_settings_has_every_key_and_no_other():
    keys = first_cells("settings.md")
    assert sorted(keys) == sorted(settings_keys())


def constants_of_calls(names):
    """The texts that are the first argument of calls of these names, in the code of the fleet."""
    for path in SOURCES.rglob("*.py"):
        if "demo" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and ast.unparse(node.func) in names:
                constants = [a.value for a in node.args if isinstance(a, ast.Constant)]
                yield path, constants


def metric_names():
    for path, constants in constants_of_calls({"Metric", "counter", "gauge", "_by_shard"}):
        if path.name in ("figures.py", "traffic.py") and constants:
            yield path.parent.name, constants[0]


def test_the_page_of_figures_has_every_figure_and_no_other():
    told = {name.removesuffix("_total") for name in first_cells("figures.md")}
    names = {f"molespur_{name}" for _role, name in metric_names()}
    assert told == names
    assert len(names) > 15


def test_the_page_of_events_has_every_event_of_the_log():
    page = "\n".join(first_cells("log-events.md"))
    patterns = [re.sub(r"[A-Z]{2,}|\b[NM]\b", ".+", re.escape(cell)) for cell in page.splitlines()]
    events = []
    for _path, constants in constants_of_calls({f"logging.{level}" for level in LEVELS}):
        events.extend(constants[:1])
    assert len(events) > 15
    for event in events:
        sample = re.sub(r"%[sdr]", "7", event)
        assert any(re.fullmatch(pattern, sample) for pattern in patterns), event


def test_the_page_of_progress_names_tests_that_exist_and_every_reason_without_an_order():
    page = (ROOT / "docs/design/progress.md").read_text()
    sources = "\n".join(path.read_text() for path in (ROOT / "tests").rglob("*.py"))
    named = set(re.findall(r"`(test_[a-z0-9_]+)`", page))
    assert len(named) > 20
    assert [name for name in sorted(named) if f"def {name}(" not in sources] == []
    files = set(re.findall(r"`(test_[a-z_]+\.py)`", page))
    assert [name for name in sorted(files) if not (ROOT / "tests/system" / name).exists()] == []
    assert [hold for hold in OrderHold if hold.value != "on-target" and f"`{hold.value}`" not in page] == []
