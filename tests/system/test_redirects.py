"""An operator is redirected only to a leader that confirms its leadership, and gets a response in time.

These tests guard against redirects to an unresponsive process: a follower named the leader whose last message
was up to 0.7 s old, and the operator waited there until its own timeout.
"""

import asyncio

import pytest
from virtual_fleet import VirtualFleet

from molespur.system.shards.placement import CONFIGURATION

MAX_RESPONSE_S = 0.4  # of a follower, whichever process has a fault
MAX_LEADERLESS_S = 1.0


def follower_of(fleet):
    return next(address for address in fleet.processes if address != fleet.leader())


async def timed_call(fleet, address, method="GET"):
    """The response of one process, and how long it took (s)."""
    started_at = fleet.loop.time()
    response = await fleet.call(method, "/api/config", b"", {}, address)
    return response, fleet.loop.time() - started_at


def play(monkeypatch, history, seed=61):
    fleet = VirtualFleet(seed, monkeypatch, schedulers=0)
    fleet.response_loss = 0.0
    fleet.run(history)


@pytest.mark.parametrize("fault", ["frozen", "killed", "cut off"])
@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_no_redirect_to_a_leader_that_does_not_reply(monkeypatch, fault, method):
    async def history(fleet):
        await asyncio.sleep(3.0)
        leader, follower = fleet.leader(), follower_of(fleet)
        {
            "frozen": lambda: fleet.processes[leader].freeze(),
            "killed": lambda: fleet.kill(leader),
            "cut off": lambda: fleet.isolate(leader),
        }[fault]()
        for _ in range(20):
            response, seconds = await timed_call(fleet, follower, method)
            assert seconds <= MAX_RESPONSE_S
            assert response[0] in (503, 307, 404, 400), response
            assert response[0] != 307 or not response[2].startswith(f"http://{leader}:"), response
            await asyncio.sleep(0.05)

    play(monkeypatch, history)


def test_no_redirect_to_a_leader_without_a_majority(monkeypatch):
    """Its messages reach the follower that is called, but it receives none itself."""

    async def history(fleet):
        await asyncio.sleep(3.0)
        leader, follower = fleet.leader(), follower_of(fleet)
        other = next(a for a in fleet.processes if a not in (leader, follower))
        fleet.kill(other)
        fleet.one_way.add((follower, leader))
        await asyncio.sleep(0.8)
        response, seconds = await timed_call(fleet, follower)
        assert response[0] == 503 and seconds <= MAX_RESPONSE_S, response

    play(monkeypatch, history)


@pytest.mark.parametrize("seed", range(8))
def test_a_leader_that_receives_nothing_is_replaced_within_a_second(monkeypatch, seed):
    """The others receive its heartbeats, so none campaigns; it commits nothing until it steps down."""

    async def history(fleet):
        await asyncio.sleep(3.0)
        old_leader = fleet.leader()
        fleet.one_way |= {(other, old_leader) for other in fleet.processes if other != old_leader}
        started_at = fleet.loop.time()

        def has_new_leader():
            leader = fleet.leader()
            return leader not in (old_leader, None) and fleet.processes[leader].plane.host.has_quorum_contact(
                CONFIGURATION
            )

        while not has_new_leader():
            await asyncio.sleep(0.01)
            assert fleet.loop.time() - started_at < MAX_LEADERLESS_S
        assert await fleet.request("GET", "/api/config") is not None

    play(monkeypatch, history, 70 + seed)


def test_a_follower_redirects_to_a_healthy_leader(monkeypatch):
    async def history(fleet):
        await asyncio.sleep(3.0)
        response, seconds = await timed_call(fleet, follower_of(fleet))
        assert response[0] == 307 and response[2].startswith(f"http://{fleet.leader()}:")
        assert seconds <= 0.05

    play(monkeypatch, history)
