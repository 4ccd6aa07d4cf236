"""Many standing tasks at their crash limit run again in time after their executors restarted."""

from __future__ import annotations

import asyncio

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import run_virtual, world_time

TASK_COUNT = 18
RESTART_COUNT = 3
RESTART_INTERVAL_S = 5.0
DOWN_S = 0.5
CHECK_INTERVAL_S = 0.1

LOST_AFTER_S = 9.0
"""Time without a run after which a standing task with capacity for two of it counts as lost: 6 s
from its last run, and 3 s with capacity."""

LIMIT_S = 60.0
"""Longest time for which the test waits for all tasks."""


async def _play() -> float:
    """Return how long it took until all tasks ran again after the last restarts, in seconds."""
    world = HallWorld(halls=("east",), executors_per_hall=3, seed=5)
    await world.begin()
    spec = world.new_job(step(TASK_COUNT, cpu=200, standing=True))
    assert await world.submit("east-host-0", spec) == 200
    for _ in range(RESTART_COUNT):
        await asyncio.sleep(RESTART_INTERVAL_S)
        assert _running_count(world) == TASK_COUNT
        for address in sorted(world.executors):
            world.restart_executor(address, down_s=DOWN_S)
    restarted_at = world_time()
    while _running_count(world) < TASK_COUNT and world_time() < restarted_at + LIMIT_S:
        await asyncio.sleep(CHECK_INTERVAL_S)
    assert world.problems == []
    return world_time() - restarted_at


def _running_count(world: HallWorld) -> int:
    return sum(len(executor.running) for executor in world.executors.values() if executor.alive)


def test_tasks_at_their_crash_limit_run_again_in_time_after_three_restarts() -> None:
    """Guards against tasks that start one after the other, 3 s apart, on each executor.

    Three restarts of all executors under their ids leave every task one crash short of being given
    up. The hall is nearly empty: the tasks take 3.6 of 24 cores.
    """
    assert run_virtual(_play()) <= LOST_AFTER_S
