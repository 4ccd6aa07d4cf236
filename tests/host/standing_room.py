"""Room that running work leaves for the tasks of standing jobs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Set
from dataclasses import dataclass
from typing import TYPE_CHECKING

from linkspan.jobs.spec import Demand, StepSpec
from linkspan.shard.messages import TaskName

if TYPE_CHECKING:
    from tests.hall_world import HallWorld
    from tests.standins.memory_executor import MemoryExecutor

MIN_FREE_SLOTS = 2
"""Number of tasks for which there must be room before a task that does not run is reported."""


@dataclass(frozen=True)
class Usage:
    """What reserved work leaves of an executor, and its running tasks per job and step."""

    free: Demand
    per_step: Counter[tuple[str, int]]

    def slots(self, job_id: str, step: StepSpec) -> int:
        """Return how many more tasks of a job's only step fit."""
        demand = step.demand
        slots = min(
            self.free.milli_cpu // demand.milli_cpu, self.free.memory_mb // demand.memory_mb
        )
        if step.max_per_executor:
            slots = min(slots, step.max_per_executor - self.per_step[job_id, 0])
        return max(slots, 0)


def usages_of(world: HallWorld) -> list[Usage]:
    """Return the usage of each executor that is not down; best-effort runs take no room."""
    return [_usage(world, executor) for executor in world.executors.values() if executor.alive]


def room_for(usages: list[Usage], job_id: str, step: StepSpec) -> int:
    """Return for how many more tasks of a job's only step executors have room."""
    return sum(usage.slots(job_id, step) for usage in usages)


def standing_jobs(world: HallWorld, excused: Set[str]) -> Iterator[tuple[str, StepSpec]]:
    """Yield the ids and the only steps of accepted standing jobs that must run."""
    for job_id in sorted(world.accepted - excused):
        spec = world.specs[job_id]
        if spec.standing:
            yield job_id, spec.steps[0]


def standing_tasks(world: HallWorld, excused: Set[str]) -> dict[TaskName, tuple[str, StepSpec]]:
    """Return the tasks of these jobs, each with its job's id and only step."""
    return {
        TaskName(job_id, 0, 0, index): (job_id, step)
        for job_id, step in standing_jobs(world, excused)
        for index in range(step.count)
    }


def _usage(world: HallWorld, executor: MemoryExecutor) -> Usage:
    free = executor.free()
    cpu, memory = free.milli_cpu, free.memory_mb
    for task in executor.running:
        step = world.step_of(task)
        if step.best_effort:
            cpu += step.demand.milli_cpu
            memory += step.demand.memory_mb
    per_step = Counter((task.job_id, task.step) for task in executor.running)
    return Usage(Demand(cpu, memory), per_step)
