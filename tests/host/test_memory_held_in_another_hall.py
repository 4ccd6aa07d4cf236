"""A standing task starts where best-effort work holds the memory of another hall.

Its own hall has no free cores. The other one has, but best-effort runs hold the memory there, so
that its summary shows no room.
"""

from __future__ import annotations

import asyncio

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import Demand, StepSpec
from tests.hall_world import HallWorld
from tests.job_builders import MAX_AWAY_S, step
from tests.virtual_time import run_virtual

EXECUTORS = 4
BEST_EFFORT = StepSpec(EXECUTORS, Demand(1_000, 6_400), 60.0, best_effort=True, image="img")
STANDING = StepSpec(3, Demand(7_750, 9_728), 1.0, standing=True)
FILL_S = 5.0
"""Time in which long work fills the first hall, and best-effort work the memory of the second."""


async def _play() -> tuple[HallWorld, int]:
    """Return a world after the bound, and how many of the standing tasks run."""
    world = HallWorld(halls=("east", "west"), milli_cpu=32_000, executors_per_hall=EXECUTORS)
    await world.begin()
    full = world.new_job(step(EXECUTORS, cpu=31_000, estimate_s=90.0))
    await world.submit("east-host-0", full)
    for _ in range(6):
        await world.submit("west-host-0", world.new_job(BEST_EFFORT))
    await asyncio.sleep(FILL_S)
    for executor in world.executors.values():
        free = executor.free()
        assert min(free.milli_cpu // 7_750, free.memory_mb // 9_728) == 0
    spec = world.new_job(STANDING)
    world.specs[spec.job_id] = spec
    world.store.put(JOBS, *encode(Submitted(spec, 0, 0.0, "life-x")))
    world.accepted.add(spec.job_id)
    await asyncio.sleep(MAX_AWAY_S)
    running = [t for e in world.executors.values() for t in e.running if t.job_id == spec.job_id]
    return world, len(running)


def test_a_standing_task_starts_beside_best_effort_work_of_another_hall() -> None:
    """Guards against tasks that wait for ever as other halls' summaries hide memory from them."""
    world, running = run_virtual(_play())
    assert running == STANDING.count
    assert world.problems == []
