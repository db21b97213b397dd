"""molespur system: look at a running router fleet, and change its configuration.

Usage:
  molespur system (status | workers | members | feed | shards) [--settings=FILE] [--json]
  molespur system config get [--settings=FILE]
  molespur system config put FILE [--on=VERSION] [--settings=FILE]
  molespur system config diff FILE [--settings=FILE]
  molespur system config where [--settings=FILE] [--json]
  molespur system check (settings | configuration) FILE
  molespur system snapshot save FILE [--settings=FILE]
  molespur system snapshot look PATH [--json]
  molespur system demo [--rate=PER_SECOND] [--seconds=SECONDS] [--json]
  molespur system soak [--seed=N] [--minutes=MINUTES] [--processes=N] [--json]
  molespur system --help

Commands:
  status         the fleet at a glance: configuration, schedulers, workers by state, shards that tell nothing
  workers        every registered worker with its part and state
  members        the processes of the control plane
  feed           the offset up to which each shard has been told
  shards         each shard at each process of the control plane: who leads, terms, how far it is
  config get     print the configuration in force
  config put     check a configuration and put it in force on top of the current version
  config diff    compare a file with the configuration in force
  config where   the version that each scheduler has in force, and how old it may be; those behind come first
  check          tell whether a settings file or a configuration can be used, with the line at fault
  snapshot save  keep configuration, workers and offsets of a running fleet in a file
  snapshot look  show such a file, or what the DataDirectory of a stopped control-plane process holds
  demo           start a small fleet on this machine with stand-in workers, send traffic, lose a
                 control-plane process and a worker, and show second by second what clients met
  soak           real processes under long, overlapping trouble, with clients, operators and workers that
                 come and go; all that was said is checked, and what is found is printed

Options:
  --settings=FILE     settings whose SeedNodes and PortRange lead to the fleet; else MOLESPUR_SETTINGS names
                      them
  --on=VERSION        the version that the change builds on, in place of the current one
  --rate=PER_SECOND   requests of the demo [default: 20]
  --seconds=SECONDS   length of its traffic, at most 600 [default: 16]
  --seed=N            what the trouble of a soak follows from [default: 1]
  --minutes=MINUTES   length of a soak, at most 120 [default: 1]
  --processes=N       processes of a soak, 5 to 60, three of them of the control plane [default: 7]
  --json              JSON in place of a table

Exit codes: 0 done, 1 refused or not reached, 2 wrong usage, settings or file, 3 a difference (`config diff`).
"""

import asyncio
import json
import os
import sys
from pathlib import Path

from docopt import docopt

from ..errors import ErrorKind, FleetError
from ..settings import configuration as operator_configuration
from ..settings import process
from ..settings.position import find_line
from . import report, snapshot
from .configuration import ConfigurationClient, difference, version_of
from .schedulers import read_schedulers, scheduler_rows
from .shards import shard_rows
from .state import read_state

DONE, FAILED, WRONG_USAGE, DIFFERENT = 0, 1, 2, 3
REPORTS = {
    "status": report.status,
    "workers": report.worker_rows,
    "members": report.member_rows,
    "feed": report.feed_rows,
}
LEAST_PROCESSES = 5  # of a soak
OWN_FAULTS = (ErrorKind.BAD_SETTINGS, ErrorKind.UNREADABLE)


def main(arguments: list[str]) -> int:
    """Carry out one command; return the exit code."""
    options = docopt(__doc__, ["system", *arguments])
    try:
        return _run(options)
    except FleetError as error:
        print(f"molespur: {error}", file=sys.stderr)
        return WRONG_USAGE if error.kind in OWN_FAULTS else FAILED
    except OSError as error:
        print(f"molespur: {error}", file=sys.stderr)
        return WRONG_USAGE


def _run(options: dict) -> int:
    if options["demo"]:
        return _demo(options)
    if options["soak"]:
        return _soak(options)
    if options["check"]:
        return _check(Path(options["FILE"]), of_process=options["settings"])
    if options["look"]:
        print(report.render(snapshot.look(Path(options["PATH"])), options["--json"]))
        return DONE
    settings = _settings(options["--settings"])
    if options["save"]:
        state = asyncio.run(read_state(settings.seed_rpc_addresses()))
        print(report.render(snapshot.save(state, Path(options["FILE"])), as_json=False))
        return DONE
    if options["shards"]:
        state = asyncio.run(read_state(settings.seed_rpc_addresses()))
        members = [row["control"] for row in report.member_rows(state) if row["control"] != "-"]
        print(report.render(shard_rows(members), options["--json"]))
        return DONE
    if not options["config"]:
        name = next(name for name in REPORTS if options[name])
        state = asyncio.run(read_state(settings.seed_rpc_addresses()))
        print(report.render(REPORTS[name](state), options["--json"]))
        return DONE
    if options["where"]:
        known = asyncio.run(read_schedulers(settings.seed_rpc_addresses()))
        print(report.render(scheduler_rows(known), options["--json"]))
        return DONE
    client = ConfigurationClient(settings.seed_nodes)
    if options["get"]:
        print(json.dumps(client.get(), indent=1))
        return DONE
    body = Path(options["FILE"]).read_bytes()
    proposed = _parsed(body)
    if options["diff"]:
        lines = difference(client.get(), proposed)
        print("\n".join(lines) or "no difference")
        return DIFFERENT if lines else DONE
    return _put(client, body, proposed, options["--on"])


def _check(path: Path, of_process: bool) -> int:
    """Print what is wrong with a file, and where."""
    text = path.read_text()
    try:
        if of_process:
            process.parse(text)
        else:
            operator_configuration.parse_change(text.encode())
    except FleetError as error:
        line = find_line(text, error.detail.partition(":")[0])
        at = f"{path}:{line}" if line is not None else str(path)
        print(f"{at}: {error.detail}", file=sys.stderr)
        return WRONG_USAGE
    print(f"{path}: can be used")
    return DONE


def _demo(options: dict) -> int:
    rate, seconds = _number(options, "--rate", 500.0), _number(options, "--seconds", 600.0)
    from ..demo.run import run_demo

    print(run_demo(rate, seconds, options["--json"]))
    return DONE


def _soak(options: dict) -> int:
    from ..soak.report import render
    from ..soak.run import run_soak

    minutes, processes = _number(options, "--minutes", 120.0), int(_number(options, "--processes", 60.0))
    if processes < LEAST_PROCESSES:
        raise FleetError(ErrorKind.UNREADABLE, f"--processes: {LEAST_PROCESSES} at least: {processes}")
    result = run_soak(int(_number(options, "--seed", 1e9)), minutes * 60.0, processes)
    print(render(result, options["--json"]))
    return FAILED if result.findings else DONE


def _number(options: dict, name: str, most: float) -> float:
    """A positive number from an option.  Raises FleetError(UNREADABLE)."""
    try:
        value = float(options[name])
    except ValueError:
        value = 0.0
    if not 0.0 < value <= most:
        raise FleetError(ErrorKind.UNREADABLE, f"{name}: want a number up to {most:g}: {options[name]}")
    return value


def _put(client: ConfigurationClient, body: bytes, proposed: dict, base: str | None) -> int:
    if base is not None and not base.isdigit():
        raise FleetError(ErrorKind.UNREADABLE, f"--on: not a version: {base}")
    base_version = version_of(client.get()) if base is None else int(base)
    client.put(body, base_version)
    print(f"version {version_of(proposed)} is in force, on top of {base_version}")
    return DONE


def _parsed(body: bytes) -> dict:
    """A configuration that was checked as the control plane checks it.  Raises FleetError(UNREADABLE)."""
    try:
        operator_configuration.parse_change(body)
    except FleetError as error:
        raise FleetError(ErrorKind.UNREADABLE, error.detail) from error
    return json.loads(body)


def _settings(path: str | None) -> process.ProcessSettings:
    environment = dict(os.environ)
    if path is not None:
        environment[process.SETTINGS_VARIABLE] = path
    return process.load(environment)
