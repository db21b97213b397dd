"""`molespur config`: what is configured, and whether it can be used."""

import os

import click
import msgspec

from ..config import deployment, load
from .options import with_settings

PARTS = tuple(part.name for part in msgspec.structs.fields(deployment.Deployment))
SECRET = {"registry.password", "registry.token"}


@click.group("config")
def command() -> None:
    """Check and show the configuration."""


@command.command("check")
@with_settings(*PARTS)
def check(settings) -> None:
    """Check the deployment, and the platform's file if LB_CONFIG names one; exit 2 with the faulty key."""
    given = settings[0]
    if os.environ.get("LB_CONFIG"):
        load(os.environ, needs_discovery=given.cluster.source == "discovery")
    click.echo("ok")


@command.command("show")
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
@with_settings(*PARTS)
def show(settings, as_json: bool) -> None:
    """Show each value and where it came from; secrets are only said to be set."""
    rows = []
    for origin in settings[1]:
        secret = origin.key.name in SECRET and origin.value
        rows.append((origin.key.name, "(set)" if secret else origin.value, origin.source))
    if as_json:
        click.echo(msgspec.json.encode({k: {"value": v, "from": s} for k, v, s in rows}))
        return
    wide = max(len(name) for name, _, _ in rows)
    values = [msgspec.json.encode(value).decode() for _, value, _ in rows]
    most = max(map(len, values))
    for (name, _, source), value in zip(rows, values, strict=True):
        click.echo(f"{name:{wide}}  {value:{most}}  {source}")
