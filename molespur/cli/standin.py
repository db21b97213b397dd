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


@command.command("faultline")
@click.option("--members", type=click.IntRange(1, 250), required=True)
@click.option("--front", required=True, metavar="A.B.C", help="members are reached at A.B.C.(i+1)")
@click.option("--back", required=True, metavar="A.B.C", help="members listen at A.B.C.(i+1)")
@click.option("--port", default=7946, show_default=True, help="the members' gossip port")
@click.option("--control", default="127.0.0.1:0", show_default=True, metavar="HOST:PORT")
@click.option("--seed", default=1, show_default=True, help="for the fate of each datagram")
def faultline(members: int, front: str, back: str, port: int, control: str, seed: int) -> None:
    """Stand between members of a fleet and drop, delay, duplicate, reorder, cut and partition.

    Commands come a line each at the control address: loss P, delay MS [JITTER], dup P, reorder P,
    cut A B, uncut A B, partition 0,1 2,3, heal, clear, counts.
    """
    from ..standins.faultline import FaultLine

    host, _, number = control.rpartition(":")
    if not (host and number.isdecimal() and int(number) < 65536):
        raise click.BadParameter(f"must be host:port, got {control!r}", param_hint="--control")
    line = FaultLine(members, front, back, port, seed)

    async def main():
        async with trio.open_nursery() as nursery:
            try:
                place = await nursery.start(line.serve, (host, int(number)))
            except* OSError as problem:
                raise click.ClickException(f"can't listen: {problem.exceptions[0]}") from None
            click.echo("control at {}:{}".format(*place[:2]), nl=True)
            import sys

            sys.stdout.flush()

    try:
        trio.run(main)
    except KeyboardInterrupt:
        raise click.Abort from None
