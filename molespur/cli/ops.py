"""`molespur ops`: call a scheduler's operators' address."""

import socket
import time

import click

from ..config import parse_address

CALLS = ("readyz", "telemetry", "evacuate", "activate")
ANSWER_MOST = 1 << 20


def ask(address: tuple[str, int], call: str, wait_s: float) -> list[str]:
    """The lines of the answer.  Raises OSError where none comes in time."""
    until, text = time.monotonic() + wait_s, b""
    with socket.create_connection(address, wait_s) as sock:
        sock.sendall(call.encode() + b"\n")
        while len(text) <= ANSWER_MOST:
            sock.settimeout(max(until - time.monotonic(), 0.001))
            if not (data := sock.recv(65536)):
                break
            text += data
    lines = text.decode("utf-8", "replace").splitlines()
    if not lines:
        raise OSError("it was closed without an answer")
    return lines


def changes(before: list[str], after: list[str]) -> list[str]:
    """The figures that differ, and by how much."""
    was = dict(line.partition("=")[::2] for line in before)
    found = []
    for line in after:
        name, _, value = line.partition("=")
        if value and value != was.get(name):
            found.append(f"{name}={value} ({int(value) - int(was.get(name) or 0):+d})")
    return found


@click.command("ops")
@click.argument("call", type=click.Choice(CALLS))
@click.option("--at", envvar="LB_OPS", required=True, metavar="HOST:PORT", help="its `ops` [LB_OPS]")
@click.option("--wait", default=1.0, show_default=True, help="seconds for the whole answer")
@click.option("--every", default=0.0, metavar="SECONDS", help="telemetry: ask again, show what changed")
@click.option("--times", default=0, help="with --every: this many times; 0: until interrupted")
def command(call: str, at: str, wait: float, every: float, times: int) -> int:
    """Call a running scheduler: is it ready, its figures, drain it, end the drain.

    Exit code 0 where it says ok, 1 where it says fail or does not answer in time.
    """
    address = parse_address(at, "--at")
    if every and call != "telemetry":
        raise click.UsageError("--every goes with telemetry")
    try:
        lines = ask(address, call, wait)
        click.echo("\n".join(lines))
        count = 1
        while every and count != times:
            time.sleep(every)
            count += 1
            before, lines = lines, ask(address, call, wait)
            click.echo("\n".join([f"-- after {every:g} s", *changes(before, lines)]))
    except OSError as problem:
        click.echo(f"molespur: {at}: {problem or 'no answer in time'}", err=True)
        return 1
    return 1 if lines[0].startswith("fail") else 0
