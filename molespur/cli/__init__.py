"""The command line: one file a sub-command; arguments in, a call, an exit code out.

Exit codes: 0 done, 1 the work failed, 2 wrong usage or configuration, 130 interrupted.
"""

import sys

import click

from .. import __version__
from ..config import ConfigError


class _Lazy(click.Group):
    """Imports a sub-command only when it is called: `serve` must not pay for the others."""

    names = ("serve", "demo", "registry", "clients", "config", "ops", "fleet", "standin")

    def list_commands(self, ctx):
        return list(self.names)

    def get_command(self, ctx, name):
        if name not in self.names:
            return None
        from importlib import import_module

        return import_module(f"molespur.cli.{name}").command


@click.group(cls=_Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="molespur")
def molespur() -> None:
    """A scheduler that pushes jobs to workers by forecast headroom."""


def main() -> None:
    """The console script."""
    try:
        code = molespur.main(prog_name="molespur", standalone_mode=False)
    except click.exceptions.Exit as ended:
        code = ended.exit_code
    except click.ClickException as problem:
        problem.show()
        code = problem.exit_code
    except click.Abort:
        code = 130
    except ConfigError as problem:
        print(f"molespur: {problem}", file=sys.stderr)
        code = 2
    sys.exit(code or 0)
