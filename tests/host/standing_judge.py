"""A judge of standing tasks that do not run although executors have room for them."""

from __future__ import annotations

from collections.abc import Set

from linkspan.jobs.spec import StepSpec
from linkspan.shard.messages import TaskName
from tests.hall_world import HallWorld
from tests.host.standing_room import MIN_FREE_SLOTS, room_for, standing_jobs, usages_of


class StandingJudge:
    """Reports standing tasks that do not run for long although there is room for two of them.

    Only a time with room without a break counts, also beside faults; ``StandingRule`` adds up the
    others. Every task of an accepted job counts from its acceptance on, also if it never ran. Room
    is cores, memory and the step's spread limit; best-effort runs take no room from standing tasks.

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
        usages = usages_of(world)
        lines = []
        for job_id, step in standing_jobs(world, excused):
            has_room = room_for(usages, job_id, step) >= MIN_FREE_SLOTS
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
