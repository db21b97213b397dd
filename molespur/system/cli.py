"""molespur: the router fleet.

Usage:
  molespur data-plane [--verbosity=LEVEL]
  molespur control-plane [--verbosity=LEVEL]
  molespur check-settings
  molespur check-configuration FILE

Commands:
  data-plane           one scheduler of the fleet
  control-plane        one process that keeps the fleet's state
  check-settings       tell whether the settings of a process can be used
  check-configuration  tell whether an operator's configuration can be used

Options:
  --verbosity=LEVEL  how much is logged: -1 warnings, 0 events, 1 single requests [default: 0]

MOLESPUR_SETTINGS names the settings file (YAML).
Exit codes: 0 done, 1 the work failed, 2 wrong usage or settings.
"""

import asyncio
import logging as standard_logging
import os
import sys
from pathlib import Path

from absl import logging
from docopt import docopt

from .errors import FleetError
from .settings import configuration, process
from .signals import load_native_modules

NOISY_LIBRARIES = ("httpcore", "httpx", "hypercorn", "asyncio")


def main(arguments: list[str]) -> int:
    """Run one command; return the exit code."""
    options = docopt(__doc__, arguments)
    logging.use_absl_handler()
    logging.set_verbosity(int(options["--verbosity"] or 0))
    logging.set_stderrthreshold("debug")
    for library in NOISY_LIBRARIES:
        standard_logging.getLogger(library).setLevel(standard_logging.WARNING)
    try:
        if options["check-configuration"]:
            configuration.parse(Path(options["FILE"]).read_bytes())
            print("the configuration can be used")
            return 0
        settings = process.load(os.environ)
        if options["check-settings"]:
            print("the settings can be used")
            return 0
        return run_role(settings, control=options["control-plane"])
    except FleetError as error:
        print(f"molespur: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"molespur: {error}", file=sys.stderr)
        return 1


def run_role(settings: process.ProcessSettings, control: bool) -> int:
    """Run one role until it is told to stop."""
    load_native_modules()
    if control:
        from .control_plane.role import ControlPlane as Role
    else:
        from .data_plane.role import DataPlane as Role
    role = Role(settings)
    code = 0
    try:
        asyncio.run(role.run())
    except* Exception as failures:
        code = 1
        for cause in leaves(failures):
            print(f"molespur: {cause!r}", file=sys.stderr)
    return code


def leaves(failure: BaseException) -> list[BaseException]:
    """The errors at the bottom of exception groups and chains of causes."""
    if isinstance(failure, BaseExceptionGroup):
        return [leaf for part in failure.exceptions for leaf in leaves(part)]
    return leaves(failure.__cause__) if failure.__cause__ is not None else [failure]
