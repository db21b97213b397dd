"""`molespur fleet`: the fleet view of a running scheduler, through its operators' address."""

import click

from ..config import parse_address
from .ops import ask


@click.group("fleet")
def command() -> None:
    """Look at the fleet of schedulers as one of them sees it."""


@command.command("members")
@click.option("--at", envvar="LB_OPS", required=True, metavar="HOST:PORT", help="its `ops` [LB_OPS]")
@click.option("--wait", default=1.0, show_default=True, help="seconds for the whole answer")
@click.option(
    "--state", "states", multiple=True, help="only members in this state (alive, suspect, dead, left)"
)
def members(at: str, wait: float, states: tuple[str, ...]) -> int:
    """Print the members that it holds: id, address, state, incarnation, seconds in that state.

    The first line is the scheduler itself.  Exit code 0 where it answers, 1 where the view is off or
    no answer comes in time.
    """
    address = parse_address(at, "--at")
    try:
        lines = ask(address, "fleet members", wait)
    except OSError as problem:
        click.echo(f"molespur: {at}: {problem or 'no answer in time'}", err=True)
        return 1
    if lines[0].startswith("fail"):
        click.echo(lines[0], err=True)
        return 1
    rows = [line.split() for line in lines if line != "eof"]
    click.echo(f"{'member':<24} {'address':<22} {'state':<8} {'incarnation':>15} {'for s':>8}")
    for row in rows:
        if len(row) == 5 and (not states or row[2] in states):
            click.echo(f"{row[0]:<24} {row[1]:<22} {row[2]:<8} {row[3]:>15} {row[4]:>8}")
    return 0


@command.command("counters")
@click.option("--at", envvar="LB_OPS", required=True, metavar="HOST:PORT", help="its `ops` [LB_OPS]")
@click.option("--wait", default=1.0, show_default=True, help="seconds for the whole answer")
def counters(at: str, wait: float) -> int:
    """Print its fleet.* counters, a name=value a line: probes, refutations, members by state, bytes."""
    try:
        lines = ask(parse_address(at, "--at"), "fleet counters", wait)
    except OSError as problem:
        click.echo(f"molespur: {at}: {problem or 'no answer in time'}", err=True)
        return 1
    if lines[0].startswith("fail"):
        click.echo(lines[0], err=True)
        return 1
    click.echo("\n".join(line for line in lines if line != "eof"))
    return 0
