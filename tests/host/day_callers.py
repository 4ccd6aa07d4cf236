"""Callers of standing and short jobs at the hosts of large executors, for days of such jobs."""

from __future__ import annotations

import asyncio
from random import Random

from linkspan.jobs.spec import JobSpec
from linkspan.model.configuration import Queue
from tests.hall_world import HallWorld
from tests.job_builders import step
from tests.virtual_time import world_time

EXECUTOR_CORES = 64

SHORT_S = 0.8
QUEUE = Queue("work", "host.example", "/work/", "pool", max_attempts=3, stretch=1.5, target_s=0.3)
OBJECTIVE_S = QUEUE.stretch * SHORT_S + QUEUE.target_s
USEFUL_S = 3 * OBJECTIVE_S
"""Time after which the answer of a short job is of no use to its caller."""


def new_world(halls: tuple[str, ...], executors_per_hall: int, seed: int) -> HallWorld:
    """Return a deployment of large executors with the callers' queue."""
    world = HallWorld(
        halls=halls,
        milli_cpu=EXECUTOR_CORES * 1_000,
        executors_per_hall=executors_per_hall,
        seed=seed,
    )
    world.queue = QUEUE
    return world


class DayCallers:
    """Callers who each choose a host at random.

    Args:
        world: The deployment.
        random: Source of all draws.
        standing_cores: Bounds of the cores of a standing task.
        standing_width: Bounds of the number of tasks of a standing job.
        short_width: Bounds of the number of tasks of a short job.
    """

    def __init__(
        self,
        world: HallWorld,
        random: Random,
        *,
        standing_cores: tuple[float, float],
        standing_width: tuple[int, int],
        short_width: tuple[int, int],
    ) -> None:
        self._world = world
        self._random = random
        self._standing_cores = standing_cores
        self._standing_width = standing_width
        self._short_width = short_width

    def host(self) -> str:
        """Return the host that a caller asks next."""
        return self._random.choice(sorted(self._world.hosts))

    def standing_job(self) -> JobSpec:
        """Return a new standing job."""
        cpu = int(1_000 * self._random.uniform(*self._standing_cores))
        count = self._random.randint(*self._standing_width)
        return self._world.new_job(step(count, cpu=cpu, standing=True))

    async def short_job(self, cores: int) -> float:
        """Submit a short job and return the seconds that it took; infinite if it was not done."""
        world = self._world
        count = self._random.randint(*self._short_width)
        spec = world.new_job(step(count, cpu=cores * 1_000, estimate_s=SHORT_S))
        host, began = self.host(), world_time()
        if await world.submit(host, spec) != 200:
            return float("inf")
        while world_time() < began + USEFUL_S + 0.1:
            if await world.ask(host, spec.job_id) == "succeeded":
                return world_time() - began
            await asyncio.sleep(0.05)
        return float("inf")
