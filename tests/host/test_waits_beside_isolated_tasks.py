"""Standing tasks use a new executor's room soon, also if executors crashed under them before."""

from __future__ import annotations

import asyncio

from tests.host.full_halls import HALLS, MAX_AWAY_S, MAX_BESIDE_ROOM_S, MIN_SLOTS, NORTH, FullHalls
from tests.standins.memory_executor import MemoryExecutor
from tests.virtual_time import run_virtual, world_time

CRASHES = 3
"""Number of executors that crash under the same tasks."""

RUN_S = 1.0
"""Time after which an executor that runs all of them crashes."""

TASKS_PER_EXECUTOR = 4


async def _executor_of(halls: FullHalls, job_id: str) -> MemoryExecutor:
    """Return the executor that runs a job's task, once it is full."""
    while True:
        for executor in halls.world.executors.values():
            jobs = {task.job_id for task in executor.running}
            if executor.alive and job_id in jobs and len(executor.running) == TASKS_PER_EXECUTOR:
                return executor
        await asyncio.sleep(0.1)


# Guards against an executor that is kept for one task after the other for longer than the next of
# them may wait beside its room.
def test_tasks_under_which_executors_crashed_use_a_new_executor_in_time() -> None:
    async def play() -> float:
        halls = FullHalls()
        world = halls.world
        world.resets = True
        await halls.fill()
        for crash in range(CRASHES):
            executor = await _executor_of(halls, halls.small_jobs[NORTH][0].job_id)
            await asyncio.sleep(RUN_S)
            world.crash_executor(executor.record.address, back=crash + 1 < CRASHES)
        await asyncio.sleep(MAX_AWAY_S + 2.0)
        new = world.add_executor(HALLS[NORTH], f"{HALLS[NORTH]}-9:1")
        started = world_time()
        while len(new.running) + MIN_SLOTS <= TASKS_PER_EXECUTOR:
            await asyncio.sleep(0.05)
        assert world.problems == []
        return world_time() - started

    assert run_virtual(play(), limit_s=120.0) <= MAX_BESIDE_ROOM_S
