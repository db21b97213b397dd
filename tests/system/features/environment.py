"""behave hooks: each scenario runs on its own control plane, in a temporary folder."""

import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from control import OneControlPlane


def before_scenario(context, _scenario):
    context.folder = tempfile.TemporaryDirectory()
    context.plane = OneControlPlane(Path(context.folder.name))


def after_scenario(context, _scenario):
    context.plane.close()
    context.folder.cleanup()
