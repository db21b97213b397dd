"""One scheduler of many asks its workers how they are before it sends a job: over loopback sockets."""

import pytest
from sockets import chunk, listing, on_loopback, request, settings_with, settle

MANY = settings_with(balancers=9, limits={"probing": True})
SETTINGS_FORBID = settings_with(balancers=9, limits={"probing": False})


def report(waiting: int) -> bytes:
    """A probe's answer: so many jobs wait for a slot of this worker."""
    body = b"busy_reqs=%d,pending=%d" % (waiting, waiting)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


async def asked(site):
    """Hand in r1; the connections on which the workers are asked for their loads."""
    client = await site.client()
    await client.send(request("r1"))
    wires = [await party.accept() for party in site.workers]
    for wire in wires:
        assert (await wire.read(b"\r\n\r\n")).startswith(b"GET /metrics/load")
    return client, wires


@pytest.mark.parametrize("free", range(3))
def test_a_job_goes_to_the_worker_that_says_it_is_free(free):
    @on_loopback(workers=3, wire=MANY)
    async def play(site):
        client, wires = await asked(site)
        for i, wire in enumerate(wires):
            assert site.counters["sent.requests"] == 0, "it was sent before all had said how they are"
            await wire.send(report(0 if i == free else 40))
        assert (await wires[free].read(b"hi")).startswith(b"POST /lookup")
        assert all([await wire.quiet() for i, wire in enumerate(wires) if i != free])
        assert await client.quiet()

    play()


@on_loopback(workers=3, wire=MANY)
async def test_nothing_is_sent_for_a_client_that_leaves_while_workers_are_asked(site):
    client, wires = await asked(site)
    client.close()
    await settle()
    for wire in wires:
        await wire.send(report(0))
    await site.pass_ms(1000)
    assert site.counters["answered.client_gone"] == 1
    assert site.counters["sent.requests"] == 0


@on_loopback(workers=3, wire=MANY)
async def test_a_job_is_sent_though_no_worker_says_how_it_is(site):
    held = await asked(site)
    await site.pass_ms(100)
    assert site.counters["sent.requests"] == 0
    await site.pass_ms(200)
    assert site.counters["upstream_tries"] == 1
    assert held  # all connections still stand


@on_loopback(workers=3, wire=MANY)
async def test_a_worker_that_leaves_the_list_while_it_is_asked_gets_nothing(site):
    """Guards rule 3: of three workers the only free one drains in that time."""
    await site.pass_ms(50)  # discovery is asked within that time
    watch = await site.watched()
    client, wires = await asked(site)
    await wires[0].send(report(0))
    await watch.send(chunk(listing(2, site.entry(0, state="leaving")) + b"\n"))
    for wire in wires[1:]:
        await wire.send(report(2))
    assert site.counters["upstream_tries"] == 1
    assert await wires[0].quiet() and await client.quiet()


@on_loopback(workers=3, wire=SETTINGS_FORBID)
async def test_no_worker_is_asked_where_the_settings_forbid_probes(site):
    client = await site.client()
    await client.send(request("r1"))
    assert site.counters["sent.probes"] == 0
    assert site.counters["upstream_tries"] == 1
