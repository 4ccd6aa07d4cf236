"""Checks that each link from a new executor to a run of another hall's task there is logged."""

from __future__ import annotations

import asyncio

from linkspan.jobs.spec import JobSpec
from tests.host.full_halls import EAST, HALLS, NORTH, FullHalls
from tests.virtual_time import run_virtual, world_time

LINKS = (
    "EXECUTOR_SEEN",
    "EXECUTOR_READY",
    "ROOM_PUBLISHED",
    "ROOM_SEEN",
    "WORK_HANDED_OVER",
    "HANDOVER_PUBLISHED",
    "TASKS_ARRIVED",
    "STEP_PLACED",
)


# Without a line of each link, a wait of seconds on the way cannot be attributed to one of them.
def test_each_link_from_a_new_executor_to_the_start_of_a_delegated_task_is_logged() -> None:
    async def play() -> list[str]:
        halls = FullHalls()
        await halls.fill()
        job = halls.accept(EAST, 12)
        await asyncio.sleep(6.0)
        halls.world.add_executor(HALLS[NORTH], f"{HALLS[NORTH]}-9:1")
        await _tasks_at_work(halls, job, 4)
        began = world_time()
        halls.world.add_executor(HALLS[NORTH], f"{HALLS[NORTH]}-10:1")
        await _tasks_at_work(halls, job, 8)
        return [name for at, name, _ in halls.world.log.lines if at >= began and name in LINKS]

    found = run_virtual(play())
    assert tuple(dict.fromkeys(found)) == LINKS


async def _tasks_at_work(halls: FullHalls, job: JobSpec, count: int) -> None:
    async with asyncio.timeout(10.0):
        while halls.at_work(job) < count:
            await asyncio.sleep(0.05)
