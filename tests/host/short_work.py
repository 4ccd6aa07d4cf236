"""Builders of standing and short work for tests of the executors' registry entries."""

from __future__ import annotations

import asyncio

from tests.hall_world import HallWorld
from tests.job_builders import step


async def begin(world: HallWorld, *, standing: int = 0) -> None:
    """Start the world and run standing tasks, one per executor."""
    await world.begin()
    if not standing:
        return
    spec = world.new_job(step(standing, standing=True, cpu=5_000))
    assert await world.submit("east-host-0", spec) == 200
    await asyncio.sleep(1.0)
    assert running_count(world) == standing


def running_count(world: HallWorld) -> int:
    """Return the number of runs that are not being stopped."""
    alive = (e for e in world.executors.values() if e.alive)
    return sum(not run.stopping for e in alive for run in e.running.values())


async def run_short(world: HallWorld, count: int) -> float:
    """Run a job of short tasks and return the time until it succeeds."""
    spec = world.new_job(step(count, estimate_s=0.5))
    began = asyncio.get_running_loop().time()
    assert await world.submit("east-host-0", spec) == 200
    await world.wait_for("east-host-1", spec.job_id, "succeeded")
    return asyncio.get_running_loop().time() - began


def assert_each_began_once(world: HallWorld, tasks: int) -> None:
    """Assert that there is no violation and that each of the given number of tasks started once."""
    assert world.problems == []
    assert [len(times) for times in world.starts.values()] == [1] * tasks
