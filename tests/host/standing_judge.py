"""A judge of standing tasks that do not run although executors have room for them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Set
from dataclasses import dataclass

from linkspan.jobs.spec import Demand, StepSpec
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.standins.memory_executor import MemoryExecutor

MIN_FREE_SLOTS = 2
"""Number of tasks for which there must be room before a task that does not run is reported."""


@dataclass(frozen=True)
class _Usage:
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


class StandingJudge:
    """Reports standing tasks that do not run for long although there is room for two of them.

    Every task of an accepted job counts from its acceptance on, also if it never ran. Room is
    cores, memory and the step's spread limit; best-effort runs take no room from standing tasks.

    Args:
        max_away_s: Longest time for which a task with room may not run, in seconds.
    """

    def __init__(self, max_away_s: float) -> None:
        self._max_away_s = max_away_s
        self._away_since: dict[TaskName, float] = {}
        self._reported: set[TaskName] = set()

    def check(self, world: HallWorld, now: float, excused: Set[str]) -> list[str]:
        """Return a line for each task that has been away for too long, once.

        Args:
            world: World whose jobs and executors are checked.
            now: Time in seconds.
            excused: Ids of jobs whose tasks need not run.
        """
        alive = [e for e in world.executors.values() if e.alive]
        running = {task for e in alive for task in e.running}
        usages = [_usage(world, executor) for executor in alive]
        lines = []
        for job_id, step in _standing_jobs(world, excused):
            has_room = sum(u.slots(job_id, step) for u in usages) >= MIN_FREE_SLOTS
            for index in range(step.count):
                task = TaskName(job_id, 0, 0, index)
                if task in running or not has_room:
                    self._away_since.pop(task, None)
                elif self._is_late(task, now):
                    lines.append(self._line(world, task, step, now))
        return lines

    def _is_late(self, task: TaskName, now: float) -> bool:
        since = self._away_since.setdefault(task, now)
        if now - since <= self._max_away_s or task in self._reported:
            return False
        self._reported.add(task)
        return True

    def _line(self, world: HallWorld, task: TaskName, step: StepSpec, now: float) -> str:
        demand = step.demand
        return (
            f"{now:.2f} LOST {task} does not run although there is room:"
            f" {'ran before' if task in world.starts else 'never ran'},"
            f" away since {self._away_since[task]:.2f}, one of {step.count},"
            f" {demand.milli_cpu} mCPU, {demand.memory_mb} MB, spread {step.max_per_executor}"
        )


def _standing_jobs(world: HallWorld, excused: Set[str]) -> Iterator[tuple[str, StepSpec]]:
    """Yield the ids and the only steps of accepted standing jobs that must run."""
    for job_id in sorted(world.accepted - excused):
        spec = world.specs[job_id]
        if spec.standing:
            yield job_id, spec.steps[0]


def _usage(world: HallWorld, executor: MemoryExecutor) -> _Usage:
    free = executor.free()
    cpu, memory = free.milli_cpu, free.memory_mb
    for task in executor.running:
        step = world.step_of(task)
        if step.best_effort:
            cpu += step.demand.milli_cpu
            memory += step.demand.memory_mb
    per_step = Counter((task.job_id, task.step) for task in executor.running)
    return _Usage(Demand(cpu, memory), per_step)
