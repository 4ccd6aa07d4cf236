"""Builders for tests of what executors' entries mean: standing work, and short work beside it."""

from __future__ import annotations

import asyncio

from tests.hall_world import HallWorld
from tests.job_builders import step


async def begin(world: HallWorld, *, standing: int = 0) -> None:
    """Begin with standing tasks, one an executor, at work."""
    await world.begin()
    if not standing:
        return
    spec = world.new_job(step(standing, standing=True, cpu=5_000))
    assert await world.submit("east-host-0", spec) == 200
    await asyncio.sleep(1.0)
    assert at_work(world) == standing


def at_work(world: HallWorld) -> int:
    """Count the runs that go on."""
    alive = (e for e in world.executors.values() if e.alive)
    return sum(not run.stopping for e in alive for run in e.running.values())


async def run_short(world: HallWorld, count: int) -> float:
    """Run a job of short tasks and return the time until it has succeeded."""
    spec = world.new_job(step(count, estimate_s=0.5))
    began = asyncio.get_running_loop().time()
    assert await world.submit("east-host-0", spec) == 200
    await world.wait_for("east-host-1", spec.job_id, "succeeded")
    return asyncio.get_running_loop().time() - began


def assert_each_began_once(world: HallWorld, tasks: int) -> None:
    """Assert that no promise was broken, and that each of so many tasks began once."""
    assert world.problems == []
    assert [len(times) for times in world.starts.values()] == [1] * tasks
