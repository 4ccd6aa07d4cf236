"""Builders of scenarios in which tasks crash the executors that start them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from linkspan.jobs.spec import JobSpec, StepSpec
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.job_builders import step

AT_ONCE_S = 0.01
"""Delay between a task's start and the crash of its executor, as in the incident that users
reported."""

MAX_GIVE_UP_S = 40.0
"""Time within which the owner gives up a task that crashes its executors: up to four crashes,
each detected by silence after at most one lease of ten seconds."""

FIRST_TASK = (0, 0)
"""Step index and task index of a job's first task."""


async def crashing_world(**fields: Any) -> HallWorld:
    """Start two halls of six executors each; a crash resets the executor's connections."""
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
    tasks: Iterable[tuple[int, int]] = (FIRST_TASK,),
    repetition: int = 0,
) -> None:
    """Make tasks of a job crash each executor that starts them."""
    for number, index in tasks:
        world.crashing.after_s[TaskName(spec.job_id, repetition, number, index)] = after_s


async def submit(world: HallWorld, *steps: StepSpec, host: str = "east-host-0") -> JobSpec:
    """Submit a job whose tasks crash no executor."""
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
    """Crash all executors of a hall at once, as a power loss of its rack does."""
    addresses = [a for a, e in world.executors.items() if e.record.hall == hall and e.alive]
    for address in addresses:
        world.crash_executor(address, back=False)
    await asyncio.sleep(back_s)
    for address in addresses:
        world.add_executor(hall, address)


async def states(world: HallWorld, specs: Iterable[JobSpec]) -> list[str]:
    """Return the states of jobs as a running host reports them."""
    name = next(iter(world.hosts))
    return [await world.state(name, spec.job_id) for spec in specs]
