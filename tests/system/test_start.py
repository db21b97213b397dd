"""The start of a role: one thread imports the libraries, one at a time; shared objects are mapped early."""

import subprocess
import sys
from ast import literal_eval
from itertools import pairwise
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
SCRIPT = """
import sys
from importlib import import_module
from molespur.system.signals import load_native_modules

def shared_objects():
    return {n for n, m in sys.modules.items() if (getattr(m, "__file__", None) or "").endswith(".so")}

load_native_modules()
import_module("molespur.system.ROLE.role")
import_module("molespur.system.storage.writer")
before = shared_objects()
import_module("molespur.system.ROLE.http")
print(sorted(shared_objects() - before))
"""


@pytest.mark.parametrize("role", ["control_plane", "data_plane"])
def test_no_shared_object_is_mapped_after_the_start(role):
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT.replace("ROLE", role)],
        cwd=ROOT, capture_output=True, text=True, timeout=60, check=True,
    )  # fmt: skip
    assert done.stdout.strip() == "[]"


STEPS_SCRIPT = """
import asyncio, sys, threading
from molespur.system import signals

import molespur.system.ROLE.role, molespur.system.cli
steps, import_module, iterations = [], signals.import_module, 0

def recording_import(name):
    before = set(sys.modules)
    assert threading.current_thread() is threading.main_thread()
    module = import_module(name)
    steps.append([name, len(set(sys.modules) - before), iterations])
    if name.startswith("molespur."):
        steps[-1].append(sorted(n for n in set(sys.modules) - before if not n.startswith("molespur.")))
    return module

async def count():
    global iterations
    while True:
        iterations += 1
        await asyncio.sleep(0)

async def main():
    counting = asyncio.create_task(count())
    await asyncio.sleep(0)
    await signals.import_in_steps("molespur.system.ROLE.http")
    counting.cancel()

signals.import_module = recording_import
asyncio.run(main())
print(threading.active_count(), steps)
"""
MAX_MODULES = 60  # imported by one step


@pytest.mark.parametrize("role", ["control_plane", "data_plane"])
def test_libraries_are_imported_in_one_thread_with_loop_iterations_between_them(role):
    done = subprocess.run(
        [sys.executable, "-c", STEPS_SCRIPT.replace("ROLE", role)],
        cwd=ROOT, capture_output=True, text=True, timeout=60, check=True,
    )  # fmt: skip
    threads, _, printed_steps = done.stdout.strip().partition(" ")
    steps = literal_eval(printed_steps)
    assert threads == "1"
    iterations = [step[2] for step in steps]
    assert all(later > earlier for earlier, later in pairwise(iterations)), (
        "the loop must run after each step"
    )
    assert max(step[1] for step in steps) <= MAX_MODULES
    assert steps[-1][3] == [], "IMPORT_STEPS must list every library that the role's module needs"
