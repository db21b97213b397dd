"""`molespur registry`: look at and change a registry of workers, on either protocol."""

import signal
import sys
import time
from random import Random

import click
import msgspec
import trio
from rich.console import Console
from rich.table import Table

from ..config import ConfigError
from ..net.counters import Counters
from ..net.wheel import Clock, Wheel
from ..registry import static
from ..registry.admin import Admin, RegistryError
from ..registry.client import Client
from ..registry.lease import Registration
from ..registry.records import Record, encode, parse
from ..registry.registration import Registrar
from ..registry.session import Rules, Session
from .options import with_settings

JSON = click.option("--json", "as_json", is_flag=True, help="JSON in place of a table")
COLUMNS = ("uid", "state", "endpoint", "az", "model", "pod_group", "capacity_hint", "boot_ms")


def run(settings, work) -> int:
    """Run `async work(admin)`; exit 1 with one line where the registry could not do it."""

    async def main() -> int:
        async with trio.open_nursery() as nursery:
            wheel = Wheel(4.0)
            nursery.start_soon(wheel.run)
            code = 0
            try:
                await work(Admin(settings[0], wheel))
            except RegistryError as problem:
                click.echo(f"molespur: registry: {problem}", err=True)
                code = 1
            nursery.cancel_scope.cancel()
        return code

    return trio.run(main)


def table(rows, columns) -> None:
    shown = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        shown.add_column(column, no_wrap=True)
    for row in rows:
        shown.add_row(*(str(value) for value in row))
    Console(width=max(Console().width, 120) if not sys.stdout.isatty() else None).print(shown)


@click.group("registry")
def command() -> None:
    """Look at and change a registry of workers (etcd or Consul, by --cluster-source)."""


@command.command("list")
@JSON
@with_settings("cluster", "registry")
def list_(settings, as_json: bool) -> int:
    """List the workers, all at one revision."""

    async def work(admin):
        view = (await admin.read()).view
        records = sorted(view.workers.values(), key=lambda r: r.uid)
        if as_json:
            told = {"cluster": view.cluster, "revision": view.revision, "workers": records}
            click.echo(msgspec.json.encode(told))
        else:
            table([[getattr(r, c) for c in COLUMNS] for r in records], COLUMNS)
            click.echo(f"{len(records)} workers at revision {view.revision}", err=True)

    return run(settings, work)


@command.command("check")
@JSON
@with_settings("cluster", "registry")
def check(settings, as_json: bool) -> int:
    """Name every record that can't be shown as it stands; exit 1 if there is one."""
    found = []

    async def work(admin):
        found.extend((await admin.read()).troubles)
        if as_json:
            click.echo(msgspec.json.encode([{"key": t.key, "kind": t.kind, "why": t.text} for t in found]))
        else:
            table([(t.key[:80], t.kind, t.text[:120]) for t in found], ("key", "kind", "why"))

    return run(settings, work) or int(bool(found))


def with_record(function):
    """Give a command the fields of a record."""
    for option in (
        click.option("--boot-ms", default=0.0, help="Unix time of its last start; 0: long ago"),
        click.option("--capacity-hint", default=1.0),
        click.option("--pod-group", default=0),
        click.option("--model", default=""),
        click.option("--az", default=""),
        click.option("--endpoint", required=True, help="host:port"),
        click.argument("uid"),
    ):
        function = option(function)
    return function


def checked(settings, fields: dict) -> Record:
    """The fields as a record; wrong usage where they are none."""
    record = parse(fields["uid"], msgspec.json.encode(fields), settings[0].registry.record_most)
    if not isinstance(record, Record):
        raise click.BadParameter(record.why)
    return record


@command.command("put")
@click.option("--state", type=click.Choice(["active", "leaving"]), default="active")
@with_record
@with_settings("cluster", "registry")
def put(settings, **fields) -> int:
    """Put a worker's record, whatever stood there.  It stays until it is removed."""
    record = checked(settings, fields)
    return run(settings, lambda admin: admin.put(record))


@command.command("register")
@with_record
@with_settings("cluster", "registry", "registration")
def register(settings, **fields) -> int:
    """Keep a worker registered under a lease, in the foreground beside it.

    It has started now, unless --boot-ms says otherwise.  SIGUSR1 drains it, SIGTERM or SIGINT ends its
    registration and exits with 0.  Each line tells whether schedulers can be counted on to see it.
    """
    fields["boot_ms"] = fields["boot_ms"] or time.time() * 1000
    record, registration = checked(settings, fields), settings[0].registration

    async def work(admin):
        machine = Registration(registration.ttl_s, len(admin.members), Random())
        registrar = Registrar(
            machine, admin.protocol, admin.members, admin.key(record.uid), record, admin.wheel, Clock(),
            Counters(), lambda listed: click.echo("listed" if listed else "lost"),
        )  # fmt: skip
        with trio.open_signal_receiver(signal.SIGUSR1, signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(registrar.run)
                async for number in signals:
                    if number == signal.SIGUSR1:
                        registrar.drain()
                    else:
                        registrar.leave()
                        break

    return run(settings, work)


@command.command("drain")
@click.argument("uid")
@with_settings("cluster", "registry")
def drain(settings, uid: str) -> int:
    """Have a worker want nothing new; what it holds it finishes."""
    return run(settings, lambda admin: admin.drain(uid))


@command.command("remove")
@click.argument("uid")
@with_settings("cluster", "registry")
def remove(settings, uid: str) -> int:
    """Delete a worker's record."""
    return run(settings, lambda admin: admin.remove(uid))


@command.command("import")
@click.argument("file")
@with_settings("cluster", "registry")
def import_(settings, file: str) -> int:
    """Put all the workers of a static file (JSON or TOML); nothing is put if one of them is faulty."""
    try:
        view = static.load(file, 1, settings[0].registry.most_workers)
    except ValueError as problem:
        raise ConfigError(f"{file}: {problem}") from None

    async def work(admin):
        for record in view.workers.values():
            await admin.put(record)
        click.echo(f"{len(view.workers)} workers put", err=True)

    return run(settings, work)


@command.command("export")
@click.argument("file", type=click.File("wb"), default="-")
@with_settings("cluster", "registry")
def export(settings, file) -> int:
    """Write the workers as a static file (JSON), which `import` and `cluster.file` read."""

    async def work(admin):
        records = sorted((await admin.read()).view.workers.values(), key=lambda r: r.uid)
        workers = [msgspec.json.decode(encode(record)) for record in records]
        file.write(msgspec.json.format(msgspec.json.encode({"workers": workers})) + b"\n")

    return run(settings, work)


@command.command("watch")
@JSON
@click.option("--count", type=int, default=0, help="end after so many changes (0: never)")
@click.option("--seconds", type=float, default=0.0, help="end after so long (0: never)")
@with_settings("cluster", "registry")
def watch(settings, as_json: bool, count: int, seconds: float) -> int:
    """Follow the workers: the whole list first, then each change."""
    registry, seen = settings[0].registry, 0

    async def work(admin):
        scope = trio.CancelScope(deadline=trio.current_time() + seconds if seconds else float("inf"))

        async def told(view, delta):
            nonlocal seen
            rows = [("put", r) for r in delta.put] + [("gone", Record("", uid)) for uid in delta.gone]
            for what, record in rows:
                seen += 1
                if as_json:
                    line = {"revision": view.revision, "event": what, "worker": record}
                    click.echo(msgspec.json.encode(line))
                else:
                    state = f"{record.state:8} {record.endpoint}" if what == "put" else ""
                    click.echo(f"{view.revision:>8}  {what:4}  {record.uid:24} {state}".rstrip())
            if count and seen >= count:
                scope.cancel()

        def standing(fresh):
            click.echo("following" if fresh else "lost; the list stands as it was", err=True)

        consul = admin.protocol.long_poll
        rules = Rules(len(admin.members), consul, bool(registry.user) and not consul, pause_ms=20.0 * consul)
        client = Client(
            Session(rules, Random()), admin.protocol, admin.members, admin.wheel, Clock(), Counters(), told,
            standing, registry.dial_ms, registry.read_ms, registry.silence_ms,
        )  # fmt: skip
        with scope:
            await client.run()

    return run(settings, work)
