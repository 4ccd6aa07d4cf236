"""Jobs that move as a whole start where best-effort work holds the memory of another hall.

Its own hall has no free cores. The other one has, but best-effort runs hold the memory there.
"""

from __future__ import annotations

import asyncio

import pytest

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import Demand, StepSpec
from tests.hall_world import HallWorld
from tests.job_builders import MAX_AWAY_S, step
from tests.virtual_time import run_virtual

EXECUTORS = 4
BEST_EFFORT = StepSpec(EXECUTORS, Demand(1_000, 6_400), 60.0, best_effort=True, image="img")
FILL_S = 5.0
MAX_SHORT_WAIT_S = 3.0

WAITING = {
    "short": (StepSpec(3, Demand(7_750, 9_728), 20.0), MAX_SHORT_WAIT_S),
    "wide standing": (
        StepSpec(8, Demand(7_750, 9_728), 1.0, standing=True),
        MAX_AWAY_S,
    ),
    "wide standing, at most one each": (
        StepSpec(4, Demand(7_750, 9_728), 1.0, standing=True, max_per_executor=1),
        MAX_AWAY_S,
    ),
    "standing gang": (
        StepSpec(2, Demand(7_750, 9_728), 1.0, standing=True, gang=True),
        MAX_AWAY_S,
    ),
}


async def _play(spec: StepSpec, bound_s: float) -> tuple[HallWorld, int]:
    """Return a world after the bound, and how many of the job's tasks run."""
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
    job = world.new_job(spec)
    world.specs[job.job_id] = job
    world.store.put(JOBS, *encode(Submitted(job, 0, 0.0, "life-x")))
    world.accepted.add(job.job_id)
    await asyncio.sleep(bound_s)
    running = [t for e in world.executors.values() for t in e.running if t.job_id == job.job_id]
    return world, len(running)


@pytest.mark.parametrize("kind", WAITING)
def test_work_starts_beside_best_effort_work_of_another_hall(kind: str) -> None:
    """Guards against jobs that wait for ever as a move asks only for memory that is free now."""
    spec, bound_s = WAITING[kind]
    world, running = run_virtual(_play(spec, bound_s))
    assert running == spec.count
    assert world.problems == []
