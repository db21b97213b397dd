"""An operator is led only to a leader that says itself that it leads; how long a clear answer takes.

The failure behind these tests: a follower named the leader that it had last heard, up to 0.7 s ago. An
operator that was led to a process that stood still waited there until its own time-out.
"""

import asyncio

import pytest
from virtual_fleet import VirtualFleet

from molespur.system.shards.placement import CONFIGURATION

ANSWER_S = 0.4  # a follower's answer, whoever is in trouble
LEADER_S = 1.0


def follower_of(fleet):
    return next(address for address in fleet.processes if address != fleet.leader())


async def timed_call(fleet, address, method="GET"):
    """The answer of one process, and how long it took (s)."""
    began = fleet.loop.time()
    answer = await fleet.call(method, "/api/config", b"", {}, address)
    return answer, fleet.loop.time() - began


def play(monkeypatch, history, seed=61):
    fleet = VirtualFleet(seed, monkeypatch, schedulers=0)
    fleet.lost_answers = 0.0
    fleet.run(history)


@pytest.mark.parametrize("trouble", ["frozen", "killed", "cut off"])
@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_nobody_is_led_to_a_leader_that_does_not_answer(monkeypatch, trouble, method):
    async def history(fleet):
        await asyncio.sleep(3.0)
        leader, asked = fleet.leader(), follower_of(fleet)
        {
            "frozen": lambda: fleet.processes[leader].freeze(),
            "killed": lambda: fleet.kill(leader),
            "cut off": lambda: fleet.isolate(leader),
        }[trouble]()
        for _ in range(20):
            answer, seconds = await timed_call(fleet, asked, method)
            assert seconds <= ANSWER_S
            assert answer[0] in (503, 307, 404, 400), answer
            assert answer[0] != 307 or not answer[2].startswith(f"http://{leader}:"), answer
            await asyncio.sleep(0.05)

    play(monkeypatch, history)


def test_a_leader_that_no_majority_answers_does_not_draw_operators(monkeypatch):
    """It is reached by the follower that is asked, and by nobody else of the control plane."""

    async def history(fleet):
        await asyncio.sleep(3.0)
        leader, asked = fleet.leader(), follower_of(fleet)
        other = next(a for a in fleet.processes if a not in (leader, asked))
        fleet.kill(other)
        fleet.one_way.add((asked, leader))
        await asyncio.sleep(0.8)
        answer, seconds = await timed_call(fleet, asked)
        assert answer[0] == 503 and seconds <= ANSWER_S, answer

    play(monkeypatch, history)


@pytest.mark.parametrize("seed", range(8))
def test_a_leader_that_hears_nobody_is_followed_by_another_within_a_second(monkeypatch, seed):
    """All hear its heartbeats, so nobody else campaigns; it commits nothing until it steps down."""

    async def history(fleet):
        await asyncio.sleep(3.0)
        old = fleet.leader()
        fleet.one_way |= {(other, old) for other in fleet.processes if other != old}
        began = fleet.loop.time()

        def serves():
            leader = fleet.leader()
            return leader not in (old, None) and fleet.processes[leader].plane.host.has_quorum_contact(
                CONFIGURATION
            )

        while not serves():
            await asyncio.sleep(0.01)
            assert fleet.loop.time() - began < LEADER_S
        assert await fleet.ask("GET", "/api/config") is not None

    play(monkeypatch, history, 70 + seed)


def test_a_sound_leader_is_named(monkeypatch):
    async def history(fleet):
        await asyncio.sleep(3.0)
        answer, seconds = await timed_call(fleet, follower_of(fleet))
        assert answer[0] == 307 and answer[2].startswith(f"http://{fleet.leader()}:")
        assert seconds <= 0.05

    play(monkeypatch, history)
