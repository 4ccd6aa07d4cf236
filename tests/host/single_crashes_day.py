"""A scenario in which the executors of a small hall crash one by one, never because of a task."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from tests.hall_world import HallWorld
from tests.job_builders import step

JOB_COUNT = 60

CRASH_COUNT = 6

SETTLED_S = 30.0
"""Time after the last job in which all work ends: three times the longest lease."""


@dataclass
class SingleCrashesOutcome:
    """The outcome of a scenario.

    Attributes:
        world: The deployment, with the violations it found.
        failed: Jobs whose final state is failed.
    """

    world: HallWorld
    failed: list[str] = field(default_factory=list)


async def play(seed: int) -> SingleCrashesOutcome:
    """Run short jobs, a quarter of whose runs fail, while single executors crash."""
    draw = Random(seed)
    world = HallWorld(seed=seed, failing_share=0.25)
    world.resets = draw.random() < 0.5
    await world.begin()
    submissions = asyncio.create_task(_submit_jobs(world, draw))
    await asyncio.sleep(2.0)
    for _ in range(CRASH_COUNT):
        world.record_fault()
        address = draw.choice(list(world.executors))
        if world.executors[address].alive:
            world.restart_executor(address, down_s=draw.choice((0.01, 0.5, 2.0)), clock_s=0.0)
        await asyncio.sleep(draw.choice((1.5, 3.0, 6.0)))
    await submissions
    await asyncio.sleep(SETTLED_S)
    host = next(iter(world.hosts))
    states = {job_id: await world.state(host, job_id) for job_id in world.specs}
    return SingleCrashesOutcome(
        world, [job_id for job_id, state in states.items() if state == "failed"]
    )


async def _submit_jobs(world: HallWorld, draw: Random) -> None:
    for _ in range(JOB_COUNT):
        gang = draw.random() < 0.35
        count = draw.choice((2, 3)) if gang else draw.choice((1, 1, 2, 4))
        estimate_s = draw.choice((0.3, 1.0, 2.0))
        cpu = draw.choice((500, 1000, 2500))
        spec = world.new_job(step(count, gang=gang, estimate_s=estimate_s, cpu=cpu))
        await world.submit(draw.choice(list(world.hosts)), spec)
        await asyncio.sleep(draw.choice((0.1, 0.3, 0.8)))
