"""A standing task that one hall cannot place is lent to another one."""

from __future__ import annotations

import asyncio

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

SPREAD_TASKS = 5
"""Two more than a hall has executors."""

FIND_S = 8.0
"""Time in which a displaced task is to find its place, also by way of a hall that gives it back."""


def test_a_task_that_a_hall_gave_back_goes_to_another_hall() -> None:
    """A standing task went to and fro between two halls while a third had room for it.

    It lost its executor; its hall was full. It was lent to the hall that told of the most
    room, but that room was on executors at the step's spread limit. Given back after a
    second, it was lent to the same hall again, for as long as that hall told of most room.
    """

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west", "north"))
        await world.begin()
        spec = world.new_job(step(SPREAD_TASKS, standing=True, max_per_executor=1))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(6.0)
        assert _places(world, spec.job_id) == {"east": 3, "west": 2}
        await world.submit("west-host-0", world.new_job(step(1, cpu=8_000, estimate_s=90.0)))
        await world.submit("north-host-0", world.new_job(step(3, cpu=4_000, estimate_s=90.0)))
        await asyncio.sleep(2.0)
        world.crash_executor("east-0:1", back=False)
        await asyncio.sleep(FIND_S)
        assert _places(world, spec.job_id) == {"east": 2, "west": 2, "north": 1}
        return world

    assert run_virtual(play()).problems == []


def _places(world: HallWorld, job_id: str) -> dict[str, int]:
    """Return how many tasks of a job run in each hall that runs one."""
    found: dict[str, int] = {}
    for executor in world.executors.values():
        count = sum(task.job_id == job_id for task in executor.running) if executor.alive else 0
        if count:
            found[executor.record.hall] = found.get(executor.record.hall, 0) + count
    return found
