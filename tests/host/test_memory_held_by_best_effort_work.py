"""Work with a reservation starts within its bound beside best-effort work that holds the memory.

Best-effort tasks come without end and fill the memory of all executors, while most cores stay free.
Each of them gives back less memory than the waiting task needs, and the next one takes it at once.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.jobs.spec import Demand, StepSpec
from tests.hall_world import HallWorld
from tests.job_builders import MAX_AWAY_S
from tests.virtual_time import run_virtual

MAX_SHORT_WAIT_S = 3.0
"""Longest time for which short work may have nothing running although there is room for it."""

FILL_S = 10.0
"""Time after which best-effort work holds the memory of all executors."""

BEST_EFFORT = StepSpec(6, Demand(1_000, 6_400), 2.2, best_effort=True, image="img")
BEST_EFFORT_JOBS = 400
BEST_EFFORT_INTERVAL_S = 0.25
"""Time between two of these jobs of one hall."""

WAITING = {
    "standing": (StepSpec(3, Demand(7_750, 9_728), 1.0, standing=True), MAX_AWAY_S),
    "large standing": (StepSpec(1, Demand(7_750, 20_000), 1.0, standing=True), MAX_AWAY_S),
    "short": (StepSpec(3, Demand(4_100, 8_200), 0.64), MAX_SHORT_WAIT_S),
}


async def _submit_best_effort(world: HallWorld) -> None:
    halls = world.halls
    async with asyncio.TaskGroup() as callers:
        for index in range(BEST_EFFORT_JOBS):
            host = f"{halls[index % len(halls)]}-host-0"
            callers.create_task(world.submit(host, world.new_job(BEST_EFFORT)))
            await asyncio.sleep(BEST_EFFORT_INTERVAL_S / len(halls))


async def _play(spec: StepSpec, halls: tuple[str, ...], limit_s: float) -> tuple[HallWorld, int]:
    """Return a world after the bound, and how many tasks of the waiting job were started."""
    world = HallWorld(halls=halls, milli_cpu=32_000, executors_per_hall=4)
    await world.begin()
    traffic = asyncio.create_task(_submit_best_effort(world))
    await asyncio.sleep(FILL_S)
    assert all(e.free().memory_mb < spec.demand.memory_mb for e in world.executors.values())
    job = world.new_job(spec)
    assert await world.submit("east-host-0", job) == 200
    await asyncio.sleep(limit_s)
    traffic.cancel()
    return world, sum(task.job_id == job.job_id for task in world.starts)


@pytest.mark.parametrize("halls", [("east",), ("east", "west")])
@pytest.mark.parametrize("kind", WAITING)
def test_reserved_work_starts_beside_best_effort_work_that_holds_the_memory(
    kind: str, halls: tuple[str, ...]
) -> None:
    """Guards against reserved work that waits for ever behind best-effort work (inversion)."""
    spec, limit_s = WAITING[kind]
    world, started = run_virtual(_play(spec, halls, limit_s))
    assert started == spec.count
    assert world.problems == []
