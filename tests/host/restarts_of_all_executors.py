"""A scenario in which all executors restart under their ids at the same time, and its outcome."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import world_time

RESTART_INTERVAL_S = 5.0
"""Time between two restarts of all executors: longer than it takes to detect them."""

DOWN_S = 0.5
"""Time between a crash and the restart."""

CHECK_INTERVAL_S = 0.1
"""Interval between counts of the running tasks."""

LIMIT_S = 60.0
"""Longest time for which the scenario waits for all tasks."""


@dataclass(frozen=True)
class RestartsOfAllExecutors:
    """One job of standing tasks in halls that are otherwise empty.

    Attributes:
        halls: Names of the halls.
        executors_per_hall: Number of executors of each hall, with 8 cores each.
        tasks: Number of standing tasks.
        milli_cpu: Thousandths of a core that each task takes.
        restarts: Number of restarts of all executors.
        run_between: Whether all tasks must run again before each restart.
    """

    halls: tuple[str, ...]
    executors_per_hall: int
    tasks: int
    milli_cpu: int
    restarts: int
    run_between: bool = True

    async def play(self) -> float:
        """Return the time until all tasks ran again after the last restarts, in seconds."""
        world = HallWorld(halls=self.halls, executors_per_hall=self.executors_per_hall, seed=5)
        await world.begin()
        spec = world.new_job(step(self.tasks, cpu=self.milli_cpu, standing=True))
        assert await world.submit(f"{self.halls[0]}-host-0", spec) == 200
        await asyncio.sleep(RESTART_INTERVAL_S)
        assert _running_count(world) == self.tasks
        for _ in range(self.restarts - 1):
            _restart_all(world)
            await asyncio.sleep(RESTART_INTERVAL_S)
            assert _running_count(world) == self.tasks or not self.run_between
        _restart_all(world)
        restarted_at = world_time()
        while _running_count(world) < self.tasks and world_time() < restarted_at + LIMIT_S:
            await asyncio.sleep(CHECK_INTERVAL_S)
        assert world.problems == []
        return world_time() - restarted_at


def _restart_all(world: HallWorld) -> None:
    for address in sorted(world.executors):
        if world.executors[address].alive:
            world.restart_executor(address, down_s=DOWN_S)


def _running_count(world: HallWorld) -> int:
    return sum(len(executor.running) for executor in world.executors.values() if executor.alive)
