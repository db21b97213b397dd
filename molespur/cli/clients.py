"""`molespur clients`: keys, and the tokens by which known clients prove themselves."""

import os
import secrets
import sys
import time

import click

from ..admission import tokens
from .registry import table

FILE = click.option(
    "--keys", required=True, metavar="FILE", envvar="MOLESPUR_ADMISSION_KEYS", help="the file of keys"
)


def _ring(path: str) -> tokens.Ring:
    try:
        return tokens.load(path)
    except tokens.KeyFileError as problem:
        raise click.UsageError(str(problem)) from None


def _save(path: str, ring: tokens.Ring) -> None:
    try:
        tokens.save(path, ring)
    except OSError as problem:
        raise click.ClickException(f"{path}: {problem.strerror}") from None


@click.group("clients")
def command() -> None:
    """Keys, and the tokens by which known clients prove themselves."""


@command.command("rotate")
@FILE
@click.option("--overlap", default=86_400.0, show_default=True, help="seconds that older keys still verify")
def rotate(keys: str, overlap: float) -> None:
    """Make a new key that signs from now on; makes the file if there is none."""
    ring = _ring(keys) if os.path.exists(keys) else tokens.Ring()
    ring = tokens.rotate(ring, secrets.token_bytes(tokens.SECRET_BYTES), time.time(), overlap)
    _save(keys, ring)
    click.echo(ring.keys[-1].id)


@command.command("issue")
@FILE
@click.argument("subject")
@click.option("--division", default="none", show_default=True)
@click.option("--ttl", default=86_400.0, show_default=True, help="seconds")
def issue(keys: str, subject: str, division: str, ttl: float) -> None:
    """Print a token for a subject."""
    try:
        click.echo(tokens.issue(_ring(keys), subject, division, time.time(), ttl))
    except ValueError as problem:
        raise click.UsageError(str(problem)) from None


@command.command("verify")
@FILE
@click.argument("token", default="-")
def verify(keys: str, token: str) -> int:
    """Say whom a token (-: from standard input) speaks for; exit 1 with the reason if it is not good."""
    text = sys.stdin.read(2 * tokens.TOKEN_MOST).strip() if token == "-" else token
    got = tokens.verify(_ring(keys), text, time.time())
    if isinstance(got, tokens.Bad):
        click.echo(f"molespur: clients: {got.why}", err=True)
        return 1
    click.echo(f"{got.subject} of {got.division}, by {got.key}, {got.until - time.time():.0f} s left")
    return 0


@command.command("revoke")
@FILE
@click.argument("name")
def revoke(keys: str, name: str) -> None:
    """Revoke a key by its id, or all tokens that a subject has so far."""
    try:
        _save(keys, tokens.revoke(_ring(keys), name, time.time()))
    except KeyError:
        raise click.UsageError(f"neither a key nor a subject: {name!r}") from None


@command.command("list")
@FILE
def list_(keys: str) -> None:
    """List the keys, without their secrets, and the revoked subjects."""
    ring, now = _ring(keys), time.time()
    rows = []
    for n, key in enumerate(ring.keys):
        signs = n == len(ring.keys) - 1 and not key.until
        used = "signs" if signs else "retired" if key.until <= now else "verifies"
        state = "revoked" if key.revoked else used
        rows.append((key.id, state, f"{max(key.until - now, 0):.0f} s" if key.until else ""))
    table(rows, ("key", "state", "left"))
    if ring.revoked:
        click.echo("revoked subjects: " + ", ".join(sorted(ring.revoked)))
