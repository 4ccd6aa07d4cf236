"""A random scenario in which best-effort work without end holds the executors' memory."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random

from linkspan.jobs.spec import Demand, StepSpec
from tests.hall_world import HallWorld
from tests.host.never_run_day import NeverRunDay

WARM_UP_S = 4.0
"""Time from the beginning until the first best-effort job: hosts own their halls by then."""

TASKS_PER_JOB = 10

BEST_EFFORT_ESTIMATE_S = 6.0
"""Estimated duration of a best-effort task."""

BEST_EFFORT_DEMANDS = Demand(50, 6_400), Demand(50, 3_000)
"""Demands of a best-effort task: a fifth or a tenth of an executor's memory. Executors of a
`HallWorld` count the cores of best-effort tasks, so that these need few."""

JOBS_PER_S_AND_EXECUTOR = 0.1
"""New best-effort jobs per second for each executor: more memory than the executors have."""

LATE_JOBS = 4
"""Number of standing jobs that are submitted after all faults, while the memory is full."""

LATE_WIDTHS = 1, 3
"""Numbers of tasks of such a job."""

LATE_DEMANDS = Demand(1_200, 9_000), Demand(2_600, 5_000), Demand(1_940, 12_000)
"""Demands of such a task: more memory than a best-effort task gives back, or a little less."""


class BestEffortMemoryDay(NeverRunDay):
    """A scenario with best-effort work until its end, which fills the memory of all executors.

    Standing jobs are submitted after the faults, too, and must run in the time that is left.

    Args:
        seed: Seed of all random choices.
        kinds: Names of the kinds of faults to inject, see ``NeverRunDay``.
        hall_count: Number of halls.
    """

    def __init__(self, seed: int, kinds: tuple[str, ...] = (), *, hall_count: int = 2) -> None:
        super().__init__(seed, kinds, hall_count=hall_count)
        self._best_effort_random = Random(seed * 6_151 + 3)

    async def play(self) -> HallWorld:
        """Run the scenario and return its world, with the violations it found."""
        traffic = asyncio.create_task(self._best_effort_traffic())
        try:
            return await super().play()
        finally:
            traffic.cancel()
            with suppress(asyncio.CancelledError):
                await traffic

    async def _crash_executors(self) -> None:
        await super()._crash_executors()
        world, random = self.world, self._best_effort_random
        for _ in range(LATE_JOBS):
            count, demand = random.choice(LATE_WIDTHS), random.choice(LATE_DEMANDS)
            spec = world.new_job(StepSpec(count, demand, 1.0, standing=True))
            await world.submit(random.choice(sorted(world.hosts)), spec)

    async def _best_effort_traffic(self) -> None:
        world, random = self.world, self._best_effort_random
        rate = JOBS_PER_S_AND_EXECUTOR * len(world.halls) * world.executors_per_hall
        await asyncio.sleep(WARM_UP_S)
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(random.expovariate(rate))
                if world.hosts:
                    group.create_task(self._submit_best_effort())

    async def _submit_best_effort(self) -> None:
        world, random = self.world, self._best_effort_random
        step = StepSpec(
            TASKS_PER_JOB,
            random.choice(BEST_EFFORT_DEMANDS),
            BEST_EFFORT_ESTIMATE_S,
            best_effort=True,
        )
        await world.submit(random.choice(sorted(world.hosts)), world.new_job(step))
