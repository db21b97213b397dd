"""`molespur standin`: scripted outside systems on loopback, for trying things out."""

import click
import trio


@click.group("standin")
def command() -> None:
    """Run a stand-in of an outside system on loopback."""


@command.command("registry")
@click.option("--port", default=2379, help="the first member's port; the others follow (0: any free)")
@click.option("--members", type=click.IntRange(1, 9), default=1)
@click.option("--user", default="", help="etcd: ask for this user's password")
@click.option("--password", default="")
@click.option("--acl-token", default="", help="Consul: ask for this token")
def registry(port: int, members: int, user: str, password: str, acl_token: str) -> None:
    """Serve etcd's JSON gateway and Consul's HTTP API on one state.

    Faults come by POST /standin/COMMAND on a member's port: faults {"refuse": true, "stall": ..,
    "status": .., "slow_ms": .., "frozen": revision, "split": bytes, "drop_at": byte, "repeat": ..,
    "fragment": .., "no_leader": .., "last_contact_ms": ..}, compact, drop, backup, restore,
    leases {"stopped": true}, forget-tokens.
    """
    from ..standins.registry import Registry

    stand_in = Registry(members, user, password, acl_token)
    ports = tuple(port + n if port else 0 for n in range(members))

    async def main():
        async with trio.open_nursery() as nursery:
            try:
                places = await nursery.start(stand_in.listen, "127.0.0.1", ports)
            except* OSError as problem:
                raise click.ClickException(f"can't listen: {problem.exceptions[0]}") from None
            click.echo("registry at " + ",".join("{}:{}".format(*place) for place in places))

    try:
        trio.run(main)
    except KeyboardInterrupt:
        raise click.Abort from None
