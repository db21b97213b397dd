"""The budget for bodies: what is in use stays within it, and all who wait are admitted in the end."""

import asyncio
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molespur.system.inbound.memory import (
    MIN_BUDGET_BYTES,
    SMALL_BODY_BYTES,
    MemoryBudget,
    budget_bytes,
)

LARGE = 4 << 20
SMALL = SMALL_BODY_BYTES
TOTAL = 16 << 20  # three large ones fit beside the reserve for small ones


def run(scenario):
    async def bounded():
        async with asyncio.timeout(10):
            await scenario()

    asyncio.run(bounded())


async def settle():
    """Let tasks that have been granted memory go on."""
    for _ in range(3):
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("memory_mb", "budget"), [(300, 118_000_000), (118, 27_000_000), (70, MIN_BUDGET_BYTES), (10, 8_000_000)]
)
def test_the_budget_is_half_of_what_the_process_does_not_need_itself(memory_mb, budget):
    assert budget_bytes(memory_mb) == budget


def test_large_bodies_wait_in_order_and_small_ones_pass_by():
    async def scenario():
        budget = MemoryBudget(TOTAL)
        held = [await budget.reserve(LARGE) for _ in range(3)]
        order = []

        async def hold(name, size):
            reservation = await budget.reserve(size)
            order.append(name)
            return reservation

        waiting = [asyncio.create_task(hold(name, size)) for name, size in (("a", LARGE), ("b", SMALL + 1))]
        await settle()
        assert order == [] and budget.waiting == 2, "b would fit, but a came first"
        small = await budget.reserve(SMALL)
        held.pop().release()
        await settle()
        assert order == ["a", "b"] or order == ["a"]
        held.pop().release()
        await settle()
        assert order == ["a", "b"] and budget.waiting == 0
        for reservation in (*held, small, *(await asyncio.gather(*waiting))):
            reservation.release()
            reservation.release()
        assert budget.used == 0

    run(scenario)


def test_a_body_larger_than_the_budget_is_admitted_alone():
    async def scenario():
        budget = MemoryBudget(TOTAL)
        first = await budget.reserve(SMALL + 1)
        huge = asyncio.create_task(budget.reserve(float("inf")))
        await settle()
        assert not huge.done()
        first.release()
        (await huge).release()
        assert budget.used == 0

    run(scenario)


def test_bytes_that_are_received_in_any_case_count_and_keep_new_bodies_waiting():
    async def scenario():
        budget = MemoryBudget(TOTAL)
        response = budget.charge(0)
        response.resize(TOTAL + LARGE)
        waiting = asyncio.create_task(budget.reserve(SMALL))
        await settle()
        assert not waiting.done()
        response.release()
        (await waiting).release()
        assert budget.used == 0

    run(scenario)


@given(seed=st.integers(0, 2**32))
def test_whatever_callers_do_the_budget_holds_and_all_who_wait_are_admitted_in_the_end(seed):
    """Guards against memory that is never returned, and bodies that wait for ever beside free memory."""

    async def scenario():
        random, budget = Random(seed), MemoryBudget(TOTAL)
        held, tasks = [], []

        async def take():
            size = random.choice((0, 1, SMALL, SMALL + 1, LARGE, 2 * TOTAL))
            held.append(await budget.reserve(size))

        for _ in range(60):
            match random.randrange(4):
                case 0 | 1:
                    tasks.append(asyncio.create_task(take()))
                case 2 if held:
                    held.pop(random.randrange(len(held))).release()
                case 3 if tasks:
                    random.choice(tasks).cancel()
            if random.random() < 0.7:
                await settle()
            assert 0 <= budget.used <= TOTAL
        while any(not task.done() for task in tasks):
            for reservation in held:
                reservation.release()
            held.clear()
            await settle()
        for reservation in held:
            reservation.release()
        assert budget.used == 0 and budget.waiting == 0

    run(scenario)
