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

LIBRARIES_LOGGING_WARNINGS_ONLY = ("httpcore", "httpx", "hypercorn", "asyncio")


def main(arguments: list[str]) -> int:
    """Run a command and return the exit code."""
    options = docopt(__doc__, arguments)
    logging.use_absl_handler()
    logging.set_verbosity(int(options["--verbosity"] or 0))
    logging.set_stderrthreshold("debug")
    for library in LIBRARIES_LOGGING_WARNINGS_ONLY:
        standard_logging.getLogger(library).setLevel(standard_logging.WARNING)
    try:
        if options["check-configuration"]:
            configuration.parse_change(Path(options["FILE"]).read_bytes())
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
    """Run a role until it is stopped; return the exit code."""
    load_native_modules()
    if control:
        from .control_plane.role import ControlPlane as Role
    else:
        from .data_plane.role import DataPlane as Role
    role = Role(settings)
    code = 0
    try:
        asyncio.run(role.run())
    except* Exception as group:
        code = 1
        for cause in root_causes(group):
            print(f"molespur: {cause!r}", file=sys.stderr)
    return code


def root_causes(error: BaseException) -> list[BaseException]:
    """Return the innermost errors of exception groups and chains of causes."""
    if isinstance(error, BaseExceptionGroup):
        return [cause for member in error.exceptions for cause in root_causes(member)]
    return root_causes(error.__cause__) if error.__cause__ is not None else [error]
