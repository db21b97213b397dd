"""`molespur serve`: one scheduler in the foreground."""

import click

from .. import program
from .options import with_settings


@click.command("serve")
@with_settings("log", "cluster", "registry", "fleet", "shared")
def command(settings) -> int:
    """Run one scheduler in the foreground.

    The platform's part of the configuration is read from LB_CONFIG and the other LB_* variables.  SIGHUP
    reads the configuration again, SIGUSR1 prints the counters, SIGTERM ends in order.
    """
    return program.main(settings[0])
