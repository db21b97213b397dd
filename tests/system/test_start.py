"""The start of a role: no shared object is mapped by the thread that imports the HTTP libraries."""

import subprocess
import sys
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
def test_the_importing_thread_maps_no_shared_object(role):
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT.replace("ROLE", role)],
        cwd=ROOT, capture_output=True, text=True, timeout=60, check=True,
    )  # fmt: skip
    assert done.stdout.strip() == "[]"
