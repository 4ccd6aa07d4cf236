"""A standing task that each hall keeps waiting for a while starts in one of them in time.

After two crashes it needs isolation, and in each hall the only executor with room is at an address
where executors crash repeatedly. Such a wait ends after seconds; a hall hands the task on sooner.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld
from tests.host.crashing_day import submit
from tests.job_builders import MAX_AWAY_S, step
from tests.virtual_time import run_virtual

HALLS = ("east", "west", "north")


async def _world_that_avoids_all_room() -> HallWorld:
    """Return a world whose halls have one executor each with room, which crashed repeatedly."""
    world = HallWorld(halls=HALLS, hosts_per_hall=1, executors_per_hall=2, resets=True, seed=7)
    await world.begin()
    for hall in HALLS:
        world.resize(f"{hall}-1:1", 500)
    await asyncio.sleep(3.0)
    return world


@pytest.mark.parametrize("crashes", [2, 3])
def test_a_task_that_each_hall_keeps_waiting_starts_before_it_is_lost(crashes: int) -> None:
    """Guards against a task that goes from hall to hall for ever with room in each of them.

    Two crashes isolate it; after three, one more gives it up.
    """

    async def play() -> HallWorld:
        world = await _world_that_avoids_all_room()
        spec = await submit(world, step(1, standing=True))
        await asyncio.sleep(MAX_AWAY_S)
        for _ in range(crashes):
            for hall in HALLS:
                world.crash_executor(f"{hall}-0:1")
            await asyncio.sleep(MAX_AWAY_S)
            assert _running(world, spec.job_id)
        return world

    assert run_virtual(play()).problems == []


def _running(world: HallWorld, job_id: str) -> bool:
    alive = [e for e in world.executors.values() if e.alive]
    return any(task.job_id == job_id for e in alive for task in e.running)
