"""Builders of days on which tasks crash the executors that start them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from linkspan.jobs.spec import JobSpec, StepSpec
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.job_builders import step

AT_ONCE_S = 0.01
"""Seconds after its begin at which a task of the users' record crashed its executor."""

GIVEN_UP_S = 40.0
"""Time in which a task that crashes its executors is given up: four crashes that are found by
their silence, of which each takes a lease of ten seconds at the longest."""

FIRST = (0, 0)
"""Step and number of a job's first task."""


async def day(**fields: Any) -> HallWorld:
    """Return two halls with six executors each, whose crashes reset their connections."""
    world = HallWorld(
        halls=("east", "west"), **{"executors_per_hall": 6, "resets": True, "seed": 7, **fields}
    )
    await world.begin()
    return world


def crash_under(
    world: HallWorld,
    spec: JobSpec,
    *,
    after_s: float = AT_ONCE_S,
    tasks: Iterable[tuple[int, int]] = (FIRST,),
    repetition: int = 0,
) -> None:
    """Let tasks of a job crash each executor that starts them."""
    for number, index in tasks:
        world.crashing.after_s[TaskName(spec.job_id, repetition, number, index)] = after_s


async def submit(world: HallWorld, *steps: StepSpec, host: str = "east-host-0") -> JobSpec:
    """Submit a job that ends well."""
    spec = world.new_job(*steps)
    assert await world.submit(host, spec) == 200
    return spec


async def submit_crashing(
    world: HallWorld, *steps: StepSpec, host: str = "east-host-0", **crashes: Any
) -> JobSpec:
    """Submit a job with tasks that crash their executors."""
    spec = world.new_job(*(steps or (step(),)))
    crash_under(world, spec, **crashes)
    assert await world.submit(host, spec) == 200
    return spec


async def crash_hall(world: HallWorld, hall: str, *, back_s: float = 1.0) -> None:
    """Crash all executors of a hall at once, as when its rack loses power."""
    addresses = [a for a, e in world.executors.items() if e.record.hall == hall and e.alive]
    for address in addresses:
        world.crash_executor(address, back=False)
    await asyncio.sleep(back_s)
    for address in addresses:
        world.add_executor(hall, address)


async def states(world: HallWorld, specs: Iterable[JobSpec]) -> list[str]:
    """Return how jobs are shown by a host that is up."""
    name = next(iter(world.hosts))
    return [await world.state(name, spec.job_id) for spec in specs]
