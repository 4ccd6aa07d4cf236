"""Days on which standing jobs keep coming to full halls, and short jobs of all sizes beside them.

Standing tasks that were accepted must be at work within their time wherever there is room for two.

For other seeds, with the share of the short jobs of each size that was of use to their callers:

    .venv/bin/python -m tests.host.full_hall_day FIRST LAST
"""

from __future__ import annotations

import asyncio
import sys
from collections import defaultdict
from collections.abc import Set
from dataclasses import dataclass, field
from random import Random
from statistics import fmean

from linkspan.jobs.spec import JobSpec
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.host.day_callers import (
    EXECUTOR_CORES,
    OBJECTIVE_S,
    SHORT_S,
    USEFUL_S,
    DayCallers,
    new_world,
)
from tests.host.standing_checks import StandingChecks
from tests.job_builders import MAX_AWAY_S
from tests.virtual_time import run_virtual, world_time

EXECUTORS_PER_HALL = 16

STANDING_CORES = (9.0, 18.0)
STANDING_WIDTH = (4, 10)
FIRST_STANDING_SHARE = 1.0
"""Share of all cores that standing jobs ask for before the first short job."""

STANDING_INTERVAL_S = 1.2
"""Time between later standing jobs: more than end."""

STANDING_END_INTERVAL_S = 3.0

SHORT_CORES = (4, 8, 12, 16, 20)
SHORT_WIDTH = (2, 6)
SHORT_SHARE = 0.05
"""Share of all cores that short jobs ask for on average."""

LEAD_S = 6.0
"""Time from the first standing jobs to the first short job."""

TRAFFIC_S = 30.0


@dataclass
class FullHallDay:
    """One day.

    Attributes:
        seed: Seed of all draws.
        halls: Names of the halls.
        standing_interval_s: Time between later standing jobs, in seconds.
        standing_end_interval_s: Time between ends of standing jobs, in seconds.
        took_s: Times that short jobs took, by cores of a task; infinite if they were not done.
        standing_share: Shares of all cores at which standing tasks were at work, by second.
        refused: Number of standing jobs that were refused.
        never_begun: Number of accepted standing jobs of which nothing ever ran.
        checks: Checks of standing tasks that hold at all times.
    """

    seed: int
    halls: tuple[str, ...] = ("east",)
    standing_interval_s: float = STANDING_INTERVAL_S
    standing_end_interval_s: float = STANDING_END_INTERVAL_S
    took_s: defaultdict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    standing_share: list[float] = field(default_factory=list)
    refused: int = 0
    never_begun: int = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.world = new_world(self.halls, EXECUTORS_PER_HALL, self.seed)
        self._callers = DayCallers(
            self.world,
            self.random,
            standing_cores=STANDING_CORES,
            standing_width=STANDING_WIDTH,
            short_width=SHORT_WIDTH,
        )
        self._cores = len(self.halls) * EXECUTORS_PER_HALL * EXECUTOR_CORES
        self._standing: list[str] = []
        self._away_since: dict[TaskName, float] = {}
        self.checks = StandingChecks(self.world, self._excused)

    def useful_share(self, cores: int | None = None) -> float:
        """Return the share of the short jobs that were done while of use, of all or one size."""
        took = [t for size, times in self.took_s.items() if cores in (None, size) for t in times]
        return fmean(t <= USEFUL_S for t in took)

    def in_time_share(self) -> float:
        """Return the share of the short jobs that were done within their objective."""
        return fmean(t <= OBJECTIVE_S for times in self.took_s.values() for t in times)

    async def play(self) -> HallWorld:
        """Play the day."""
        await self.world.begin()
        await self._first_standing_jobs()
        await asyncio.sleep(LEAD_S)
        async with asyncio.TaskGroup() as group:
            short = group.create_task(self._short_jobs(group))
            others = [self._later_standing_jobs(), self._end_standing_jobs(), self._sample()]
            background = [group.create_task(other) for other in others]
            await short
            for task in background:
                task.cancel()
        await asyncio.sleep(USEFUL_S + 1.0)
        started = {task.job_id for task in self.world.starts}
        self.never_begun = sum(job_id not in started for job_id in self._standing)
        return self.world

    async def _first_standing_jobs(self) -> None:
        specs: list[JobSpec] = []
        asked = 0.0
        while asked < FIRST_STANDING_SHARE * self._cores:
            specs.append(self._callers.standing_job())
            widest = specs[-1].steps[0]
            asked += widest.count * widest.demand.milli_cpu / 1_000
        await asyncio.gather(*(self._submit_standing(spec, 0.2) for spec in specs))

    async def _submit_standing(self, spec: JobSpec, within_s: float) -> None:
        await asyncio.sleep(within_s * self.random.random())
        if await self.world.submit(self._callers.host(), spec) == 200:
            self._standing.append(spec.job_id)
        else:
            self.refused += 1

    async def _later_standing_jobs(self) -> None:
        while True:
            await asyncio.sleep(self.standing_interval_s)
            await self._submit_standing(self._callers.standing_job(), 0.0)

    async def _end_standing_jobs(self) -> None:
        running = list(self._standing)
        while running:
            await asyncio.sleep(self.standing_end_interval_s)
            job_id = running.pop(self.random.randrange(len(running)))
            self._standing.remove(job_id)
            await self.world.cancel(self._callers.host(), job_id)

    async def _short_jobs(self, group: asyncio.TaskGroup) -> None:
        mean_work = fmean(SHORT_CORES) * fmean(SHORT_WIDTH) * SHORT_S
        interval_s = mean_work / (SHORT_SHARE * self._cores)
        for index in range(int(TRAFFIC_S / interval_s)):
            cores = SHORT_CORES[index % len(SHORT_CORES)]
            group.create_task(self._short_job(cores))
            await asyncio.sleep(2 * interval_s * self.random.random())

    async def _short_job(self, cores: int) -> None:
        self.took_s[cores].append(await self._callers.short_job(cores))

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            running = {task for e in self.world.executors.values() for task in e.running}
            specs = self.world.specs
            held = sum(
                specs[task.job_id].steps[task.step].demand.milli_cpu
                for task in running
                if specs[task.job_id].standing
            )
            self.standing_share.append(held / 1_000 / self._cores)
            self._check_standing(running)

    def _excused(self) -> Set[str]:
        return self.world.accepted.difference(self._standing)

    def _check_standing(self, running: set[TaskName]) -> None:
        """Record a violation for each accepted standing task that stays away beside room."""
        now = world_time()
        for job_id in self._standing:
            spec = self.world.specs[job_id].steps[0]
            for index in range(spec.count):
                task = TaskName(job_id, 0, 0, index)
                if task in running or self._slots(spec.demand.milli_cpu) < 2:
                    self._away_since.pop(task, None)
                elif now - self._away_since.setdefault(task, now) > MAX_AWAY_S:
                    self.world.violations.append(f"{now:.2f} LOST {task} is away beside room")

    def _slots(self, milli_cpu: int) -> int:
        executors = self.world.executors.values()
        return sum(executor.free().milli_cpu // milli_cpu for executor in executors)


def main(first: int, last: int) -> None:
    """Play the days of some seeds."""
    for seed in range(first, last):
        day = FullHallDay(seed)
        problems = run_virtual(day.play(), limit_s=120.0).problems
        sizes = " ".join(f"{size}: {day.useful_share(size):.2f}" for size in sorted(day.took_s))
        print(
            f"{seed} in time {day.in_time_share():.2f}, of use {day.useful_share():.2f}, by cores"
            f" {sizes}; standing {fmean(day.standing_share):.3f}, {day.refused} refused,"
            f" {day.never_begun} never begun {problems[:3]}",
            flush=True,
        )


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
