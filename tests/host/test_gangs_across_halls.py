"""Standing gangs find a hall with room for all of their tasks.

A gang runs wholly in one hall: its tasks start together.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.accepted_jobs import accept_in, count_running, seconds_until_running
from tests.hall_world import HallWorld
from tests.job_builders import MAX_AWAY_S, step
from tests.virtual_time import run_virtual

MEMBERS = 3
MEMBER_MILLI_CPU = 7_000
SETTLE_S = 5.0
OBSERVED_S = 20.0
LONG_S = 500.0


async def _world() -> HallWorld:
    world = HallWorld(halls=("east", "west", "north"), hosts_per_hall=1, executors_per_hall=MEMBERS)
    await world.begin()
    return world


@pytest.mark.parametrize("standing", [False, True])
@pytest.mark.parametrize("evacuated", [False, True])
def test_a_gang_that_has_not_begun_moves_to_a_hall_with_room_for_all_of_it(
    *, standing: bool, evacuated: bool
) -> None:
    """Guards against gangs that wait in a full or evacuated hall beside room in another one.

    Work that waits for good there stands before it.
    """

    async def play() -> float:
        world = await _world()
        full = world.new_job(step(MEMBERS, cpu=8_000, estimate_s=LONG_S))
        accept_in(world, full)
        waiting = step(9 + 1, cpu=500, standing=True, max_per_executor=1)
        accept_in(world, world.new_job(waiting), shard=1)
        await asyncio.sleep(SETTLE_S)
        if evacuated:
            world.evacuate("east")
            await asyncio.sleep(SETTLE_S)
        gang = world.new_job(step(MEMBERS, cpu=MEMBER_MILLI_CPU, gang=True, standing=standing))
        accept_in(world, gang)
        return await seconds_until_running(world, gang.job_id, MEMBERS, limit_s=OBSERVED_S)

    assert run_virtual(play()) <= (MAX_AWAY_S if standing else 3.0)


def test_a_standing_gang_that_has_begun_runs_again_in_another_hall() -> None:
    """Guards against a gang that waits for good as its hall has lost an executor.

    A job that has begun does not move, and members of a gang are not delegated.
    """

    async def play() -> float:
        world = await _world()
        gang = world.new_job(step(MEMBERS, cpu=MEMBER_MILLI_CPU, gang=True, standing=True))
        accept_in(world, gang)
        await asyncio.sleep(SETTLE_S)
        assert count_running(world, gang.job_id) == MEMBERS
        world.crash_executor("east-0:1", back=False)
        await asyncio.sleep(1.0)
        return await seconds_until_running(world, gang.job_id, MEMBERS, limit_s=OBSERVED_S)

    assert run_virtual(play()) <= MAX_AWAY_S
