"""A full hall beside one whose memory best-effort work holds, and a job that waits in the first."""

from __future__ import annotations

import asyncio

from linkspan.jobs.job_registry import JOBS
from linkspan.jobs.record_codec import encode
from linkspan.jobs.records import Submitted
from linkspan.jobs.spec import Demand, StepSpec
from tests.hall_world import HallWorld
from tests.job_builders import step

EXECUTORS = 4
BEST_EFFORT = StepSpec(EXECUTORS, Demand(1_000, 6_400), 60.0, best_effort=True, image="img")
FILL_S = 5.0
"""Time in which long work fills the first hall, and best-effort work the memory of the second."""


async def play_beside_held_memory(spec: StepSpec, bound_s: float) -> tuple[HallWorld, int]:
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
