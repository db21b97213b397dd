"""`molespur demo`: a whole site on this machine, with no configuration."""

import tempfile

import click
import trio

from .registry import table


@click.command("demo")
@click.option("--kind", type=click.Choice(["etcd", "consul"]), default="etcd", help="the registry's protocol")
@click.option("--seconds", type=click.FloatRange(3, 300), default=8.0, show_default=True)
@click.option("--rate", type=click.FloatRange(1, 500), default=100.0, show_default=True, help="jobs a second")
def command(kind: str, seconds: float, rate: float) -> int:
    """Serve jobs on this machine: a stand-in registry, four workers, one scheduler.

    A third of the way through one worker drains, and at two thirds one dies; a table tells what was served.
    """
    from ..standins.jobs import Jobs
    from ..standins.site import Site

    async def main() -> int:
        async with trio.open_nursery() as nursery:
            site = Site(nursery, kind, ttl_s=2)
            await site.start_registry()
            workers = [await site.start_worker(uid=f"records-{n}") for n in range(1, 5)]
            with tempfile.TemporaryDirectory() as folder:
                scheduler = await site.start_scheduler(folder)
                await trio.sleep(1)
                jobs = Jobs(scheduler.address, rate, seconds)
                notes = {}

                async def troubles():
                    await trio.sleep(seconds / 3)
                    workers[1].registrar.drain()
                    notes[workers[1].uid] = "drained"
                    await trio.sleep(seconds / 3)
                    workers[2].kill()
                    notes[workers[2].uid] = "killed"

                nursery.start_soon(troubles)
                click.echo(f"{rate:g} jobs a second for {seconds:g} s, workers listed by {kind}", err=True)
                tally = await jobs.run()
                counters = await scheduler.stop()
            table([(w.uid, notes.get(w.uid, ""), tally.by[w.uid]) for w in workers], ("worker", "", "served"))
            took = sorted(tally.took_ms)
            ends = ", ".join(f"{tally.ends[end]} {end}" for end in ("served", "refused", "failed", "lost"))
            click.echo(f"{len(took)} jobs: {ends}; half within {took[len(took) // 2]:.0f} ms")
            click.echo(f"{counters.get('registry.told', 0)} changes of the list told by the registry")
            nursery.cancel_scope.cancel()
        return 0 if tally.ends["served"] and not tally.ends["lost"] else 1

    return trio.run(main)
