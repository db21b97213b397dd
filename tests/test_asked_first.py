"""One scheduler of many probes its workers before it sends a job: over loopback sockets."""

import pytest
from sockets import chunk, listing, on_loopback, request, settings_with, settle

MANY = settings_with(balancers=9, limits={"probing": True})
SETTINGS_FORBID = settings_with(balancers=9, limits={"probing": False})


def report(waiting: int) -> bytes:
    """The response to a probe of a worker where so many jobs wait for a slot."""
    body = b"busy_reqs=%d,pending=%d" % (waiting, waiting)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


async def submit_r1(site):
    """Submit r1; its client, and the connections on which the workers are probed."""
    client = await site.client()
    await client.send(request("r1"))
    wires = [await party.accept() for party in site.workers]
    for wire in wires:
        assert (await wire.read(b"\r\n\r\n")).startswith(b"GET /metrics/load")
    return client, wires


@pytest.mark.parametrize("free", range(3))
def test_a_job_goes_to_the_worker_that_reports_free_slots(free):
    @on_loopback(workers=3, wire=MANY)
    async def play(site):
        client, wires = await submit_r1(site)
        for i, wire in enumerate(wires):
            assert site.counters["sent.requests"] == 0, "it was sent before all workers had replied"
            await wire.send(report(0 if i == free else 40))
        assert (await wires[free].read(b"hi")).startswith(b"POST /lookup")
        assert all([await wire.quiet() for i, wire in enumerate(wires) if i != free])
        assert await client.quiet()

    play()


@on_loopback(workers=3, wire=MANY)
async def test_nothing_is_sent_for_a_client_that_disconnects_during_the_probes(site):
    client, wires = await submit_r1(site)
    client.close()
    await settle()
    for wire in wires:
        await wire.send(report(0))
    await site.pass_ms(1000)
    assert site.counters["answered.client_gone"] == 1
    assert site.counters["sent.requests"] == 0


@on_loopback(workers=3, wire=MANY)
async def test_a_job_is_sent_though_no_worker_replies(site):
    open_wires = await submit_r1(site)
    await site.pass_ms(100)
    assert site.counters["sent.requests"] == 0
    await site.pass_ms(200)
    assert site.counters["upstream_tries"] == 1
    assert open_wires  # keeps all connections open


@on_loopback(workers=3, wire=MANY)
async def test_a_worker_that_drains_during_its_probe_gets_nothing(site):
    """Guards rule 3: of three workers the only free one drains during the probes."""
    await site.pass_ms(50)  # discovery is called within that time
    watch = await site.watched()
    client, wires = await submit_r1(site)
    await wires[0].send(report(0))
    await watch.send(chunk(listing(2, site.entry(0, state="leaving")) + b"\n"))
    for wire in wires[1:]:
        await wire.send(report(2))
    assert site.counters["upstream_tries"] == 1
    assert await wires[0].quiet() and await client.quiet()


@on_loopback(workers=3, wire=SETTINGS_FORBID)
async def test_no_worker_is_probed_where_the_settings_forbid_it(site):
    client = await site.client()
    await client.send(request("r1"))
    assert site.counters["sent.probes"] == 0
    assert site.counters["upstream_tries"] == 1
