"""A standing task that its hall cannot place is delegated, and goes on to a third hall if returned.

The failure: a standing task moved back and forth between two halls while a third had capacity for
it. The task lost its executor, and its hall was full. It was delegated to the hall that published
the most free capacity, but that was on executors at the step's spread limit. Returned after a
second, the task was delegated to the same hall again, for as long as that hall published the most.
"""

from __future__ import annotations

import asyncio

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual

SPREAD_TASKS = 5
"""Two tasks more than a hall has executors."""

PLACEMENT_LIMIT_S = 8.0
"""Time within which a displaced task has to be placed, even after a hall has returned it."""


def test_a_task_that_a_hall_returned_goes_to_another_hall() -> None:
    """The displaced task runs in the third hall, though the second publishes more capacity."""

    async def play() -> HallWorld:
        world = HallWorld(halls=("east", "west", "north"))
        await world.begin()
        spec = world.new_job(step(SPREAD_TASKS, standing=True, max_per_executor=1))
        await world.submit("east-host-0", spec)
        await asyncio.sleep(6.0)
        assert _tasks_by_hall(world, spec.job_id) == {"east": 3, "west": 2}
        await world.submit("west-host-0", world.new_job(step(1, cpu=8_000, estimate_s=90.0)))
        await world.submit("north-host-0", world.new_job(step(3, cpu=4_000, estimate_s=90.0)))
        await asyncio.sleep(2.0)
        world.crash_executor("east-0:1", back=False)
        await asyncio.sleep(PLACEMENT_LIMIT_S)
        assert _tasks_by_hall(world, spec.job_id) == {"east": 2, "west": 2, "north": 1}
        return world

    assert run_virtual(play()).problems == []


def _tasks_by_hall(world: HallWorld, job_id: str) -> dict[str, int]:
    """Return how many tasks of a job run in each hall that runs any."""
    found: dict[str, int] = {}
    for executor in world.executors.values():
        count = sum(task.job_id == job_id for task in executor.running) if executor.alive else 0
        if count:
            found[executor.record.hall] = found.get(executor.record.hall, 0) + count
    return found
