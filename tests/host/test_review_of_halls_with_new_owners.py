"""Halls tell of their room while a new owner awaits the report of a silent executor."""

from __future__ import annotations

import asyncio

import pytest

from tests.hall_world import HallWorld
from tests.host.full_halls import (
    EXECUTOR_MILLI_CPU,
    HALLS,
    MAX_BESIDE_ROOM_S,
    NORTH,
    FullHalls,
    NewExecutor,
    Wait,
    _wait,
)
from tests.virtual_time import run_virtual

SPARE = "north-4:1"
SPARE_MILLI_CPU = 1_000
"""Too small for any task."""

LOST_AT_S = 4.0
"""Seconds from the acceptance of the waiting job to the last fault: 5 s of calm follow."""

ENTRY_AFTER_S = 0.8


async def _lose(world: HallWorld, *, planned: bool) -> None:
    """Lose an executor without any run for good, and the owner of its hall."""
    await asyncio.sleep(LOST_AT_S)
    world.crash_executor(SPARE, back=False)
    owner = world.owner(NORTH)
    assert owner
    if planned:
        await world.remove_host(owner)
    else:
        world.kill_host(owner)


async def _play(joined_s: float, *, planned: bool) -> Wait:
    world = HallWorld(
        halls=HALLS,
        executors_per_hall=4,
        milli_cpu=EXECUTOR_MILLI_CPU,
        lists_machines=False,
        plain_ids=True,
    )
    halls = FullHalls(world)
    await halls.fill()
    world.add_executor(HALLS[NORTH], SPARE)
    world.resize(SPARE, SPARE_MILLI_CPU)
    await asyncio.sleep(3.0)
    losing = asyncio.create_task(_lose(world, planned=planned))
    wait = await _wait(halls, (NewExecutor(joined_s, NORTH, ENTRY_AFTER_S),), 2, 45.0)
    await losing
    return wait


@pytest.mark.parametrize("planned", [False, True])
@pytest.mark.parametrize("joined_s", [9.0, 12.0])
def test_a_hall_whose_new_owner_awaits_a_report_tells_of_its_room(
    joined_s: float, planned: bool
) -> None:
    """Guards against standing tasks that wait because another hall keeps its room to itself."""
    wait = run_virtual(_play(joined_s, planned=planned))
    assert wait.world.problems == []
    assert wait.at_work_s - joined_s <= MAX_BESIDE_ROOM_S, wait
