"""A day on which the executors of a small hall fall in turn, and nothing crashes them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from tests.hall_world import HallWorld
from tests.job_builders import step

JOBS = 60

FALLS = 6

SETTLED_S = 30.0
"""Time after the last job by which all is done: each lease of before has ended thrice."""


@dataclass
class FallingDay:
    """What a day left.

    Attributes:
        world: The deployment, with what was broken.
        failed: Jobs that were shown as failed at the end.
    """

    world: HallWorld
    failed: list[str] = field(default_factory=list)


async def play(seed: int) -> FallingDay:
    """Play a day of short jobs, a quarter of whose runs fail, beside falls of single executors."""
    draw = Random(seed)
    world = HallWorld(seed=seed, failing_share=0.25)
    world.resets = draw.random() < 0.5
    await world.begin()
    sending = asyncio.create_task(_send(world, draw))
    await asyncio.sleep(2.0)
    for _ in range(FALLS):
        world.trouble()
        address = draw.choice(list(world.executors))
        if world.executors[address].alive:
            world.restart_executor(address, down_s=draw.choice((0.01, 0.5, 2.0)), clock_s=0.0)
        await asyncio.sleep(draw.choice((1.5, 3.0, 6.0)))
    await sending
    await asyncio.sleep(SETTLED_S)
    asked = next(iter(world.hosts))
    states = {job_id: await world.state(asked, job_id) for job_id in world.specs}
    return FallingDay(world, [job_id for job_id, state in states.items() if state == "failed"])


async def _send(world: HallWorld, draw: Random) -> None:
    for _ in range(JOBS):
        gang = draw.random() < 0.35
        count = draw.choice((2, 3)) if gang else draw.choice((1, 1, 2, 4))
        estimate_s = draw.choice((0.3, 1.0, 2.0))
        cpu = draw.choice((500, 1000, 2500))
        spec = world.new_job(step(count, gang=gang, estimate_s=estimate_s, cpu=cpu))
        await world.submit(draw.choice(list(world.hosts)), spec)
        await asyncio.sleep(draw.choice((0.1, 0.3, 0.8)))
