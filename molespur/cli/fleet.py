"""`molespur fleet`: the view and the shared state of running schedulers, by their operators' address."""

from collections import defaultdict

import click

from ..config import parse_address
from .ops import ask

_at = click.option("--at", envvar="LB_OPS", required=True, metavar="HOST:PORT", help="its `ops` [LB_OPS]")
_wait = click.option("--wait", default=1.0, show_default=True, help="seconds for the whole answer")


@click.group("fleet")
def command() -> None:
    """Look at the fleet of schedulers as one of them sees it."""


def _lines(at: str, call: str, wait: float) -> list[str] | None:
    """The answer's lines, or None once it is said why there are none."""
    try:
        lines = ask(parse_address(at, "--at"), call, wait)
    except OSError as problem:
        click.echo(f"molespur: {at}: {problem or 'no answer in time'}", err=True)
        return None
    if lines[0].startswith("fail"):
        click.echo(f"molespur: {at}: {lines[0]}", err=True)
        return None
    return [line for line in lines if line != "eof"]


@command.command("members")
@_at
@_wait
@click.option(
    "--state", "states", multiple=True, help="only members in this state (alive, suspect, dead, left)"
)
def members(at: str, wait: float, states: tuple[str, ...]) -> int:
    """Print the members that it holds: id, address, state, incarnation, seconds in that state.

    The first line is the scheduler itself.  Exit code 0 where it answers, 1 where the view is off or
    no answer comes in time.
    """
    if (lines := _lines(at, "fleet members", wait)) is None:
        return 1
    click.echo(f"{'member':<24} {'address':<22} {'state':<8} {'incarnation':>15} {'for s':>8}")
    for row in (line.split() for line in lines):
        if len(row) == 5 and (not states or row[2] in states):
            click.echo(f"{row[0]:<24} {row[1]:<22} {row[2]:<8} {row[3]:>15} {row[4]:>8}")
    return 0


@command.command("counters")
@_at
@_wait
def counters(at: str, wait: float) -> int:
    """Print its fleet.* counters, a name=value a line: probes, refutations, members by state, bytes."""
    if (lines := _lines(at, "fleet counters", wait)) is None:
        return 1
    click.echo("\n".join(lines))
    return 0


@command.command("budgets")
@click.option("--at", "places", multiple=True, envvar="LB_OPS", required=True, metavar="HOST:PORT",
              help="its `ops`; several are added up [LB_OPS]")  # fmt: skip
@_wait
@click.option("--budget", "only", default="", help="only budgets whose name begins so")
def budgets(places: tuple[str, ...], wait: float, only: str) -> int:
    """Print shared budgets: the bound, what may be spent and is spent, and who has lent whom how much.

    With several --at the rows of a budget are added up: what they may spend together is never above the
    bound.  Then tickets by member, workers judged bad, and counts over the fleet as the first knows them.
    Exit code 1 where one does not answer or shares nothing.
    """
    rows: dict[str, list[float]] = {}
    loans: dict[str, list[str]] = defaultdict(list)
    rest: list[str] = []
    for place in places:
        if (lines := _lines(place, "fleet budgets", wait)) is None:
            return 1
        for words in (line.split() for line in lines):
            if words[0] == "budget" and words[1].startswith(only):
                given = [float(word) for word in words[2:]]
                held = rows.setdefault(words[1], [given[0], 0.0, 0.0, 0.0, 0.0])
                rows[words[1]] = [held[0], *(a + b for a, b in zip(held[1:], given[1:], strict=True))]
            elif words[0] in ("lent", "borrowed") and words[1].startswith(only):
                way = "to" if words[0] == "lent" else "from"
                loans[words[1]].append(f"  {place}: {words[0]} {words[3]} {way} {words[2]}")
            elif place == places[0] and words[0] in ("tickets", "bad", "count"):
                rest.append(_sentence(words))
    click.echo(f"{'budget':<32} {'bound':>10} {'may spend':>10} {'spent':>10} {'lent':>10} {'borrowed':>10}")
    for name, row in sorted(rows.items()):
        click.echo(f"{name:<32} " + " ".join(f"{value:>10.4g}" for value in row))
        for loan in loans[name]:
            click.echo(loan)
    for line in rest:
        click.echo(line)
    return 0


@command.command("load")
@_at
@_wait
def load(at: str, wait: float) -> int:
    """Print how the fleet bears its load, as this scheduler knows it.

    What is turned away of each class by all, who judges that and at what pace, the retry budget, upstream
    attempts per first attempt over the fleet, and the workers that this scheduler probes for others.
    """
    if (lines := _lines(at, "fleet load", wait)) is None:
        return 1
    said = {
        "shed": "shed           {0:<24} {1:>7} of its jobs, by all",
        "judge": "judge          {0:<24} number {1}",
        "pace": "pace           {0:>7} jobs a second are let in",
        "retries": "retries        {0} for each first attempt; {1} to spend here, {2} earned a second",
        "amplification": "attempts       {0} over the fleet, {1} for each first one",
        "watched": "watched        {0:<24} for {1} others",
    }
    for words in (line.split() for line in lines):
        if words[0] in said:
            click.echo(said[words[0]].format(*words[1:]))
    return 0


def _sentence(words: list[str]) -> str:
    if words[0] == "tickets":
        return f"tickets  {words[1]:<24} {words[2]:>5} fall to it, {words[3]:>5} lent by this witness"
    if words[0] == "bad":
        return f"bad      {words[1]:<24} {words[2]:>5} s left"
    return f"count    {words[1]:<24} {words[2]:>12} over the fleet, {words[3]} by this scheduler"
