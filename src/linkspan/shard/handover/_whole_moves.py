"""Chooses the hall for a job of which nothing was started and that finds no room in its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linkspan.shard.planning.task_need import TaskNeed, may_use_headroom

if TYPE_CHECKING:
    from collections.abc import Callable

    from linkspan.jobs.spec import StepSpec
    from linkspan.shard.core import ShardCore
    from linkspan.shard.handover._hall_room import HallRoom
    from linkspan.shard.shard_job import ShardJob
    from linkspan.shard.step_run import StepRun

MIN_LOAD_DIFFERENCE = 0.15
"""Minimum difference in best-effort load, as a share of a hall's capacity, for another hall to take
over best-effort work."""

QUEUE_PRECEDENCE_S = 1.0
"""Time for which work that waits in another hall comes before a job that could move there. What
still waits beside room can't use that room: its spread limit, label or size is against it."""


class WholeMoves:
    """Chooses halls for whole jobs.

    Args:
        core: The shard's state.
        count_capable: Returns how many executors of a shard could run a step's task if they were
            empty.
    """

    def __init__(self, core: ShardCore, count_capable: Callable[[int, StepSpec, str], int]) -> None:
        self._core = core
        self._count_capable = count_capable

    def __repr__(self) -> str:
        return f"WholeMoves({self._core!r})"

    def choose(
        self, step: StepRun, own: HallRoom, halls: dict[int, HallRoom], now: float
    ) -> int | None:
        """Return the shard that a step's job moves to, and count the job as taking room there.

        Args:
            step: The step that waits for room.
            own: Room of this hall.
            halls: Room of the other halls, by shard.
            now: Steady time.
        """
        job = step.run.job
        steps = job.spec.steps
        capable = [s for s in halls if all(self._can_run_all(s, other, job) for other in steps)]
        capable.sort(key=lambda shard: -halls[shard].free_cpu)
        if any(other.best_effort for other in steps):
            return self._best_effort(job, own, halls, capable)
        return self._reserved(step, halls, capable, now)

    def _best_effort(
        self, job: ShardJob, own: HallRoom, halls: dict[int, HallRoom], capable: list[int]
    ) -> int | None:
        """Return a hall with less best-effort work.

        Any hall will do for a job in an evacuated hall, the one with the least such work first.
        """
        milli_cpu = _milli_cpu(_widest(job))
        if self._core.evacuation:
            capable.sort(key=lambda shard: halls[shard].best_effort_load)
        limit = own.best_effort_load - MIN_LOAD_DIFFERENCE
        for shard in capable:
            hall = halls[shard]
            if self._core.evacuation or hall.load_with(milli_cpu) <= limit:
                hall.add_best_effort(milli_cpu)
                return shard
        return None

    def _reserved(
        self, step: StepRun, halls: dict[int, HallRoom], capable: list[int], now: float
    ) -> int | None:
        """Return a hall that has capacity for the job now, one without a queue first.

        If none has, a short job in an evacuated hall moves to the hall with the shortest queue.
        """
        job = step.run.job
        widest = _widest(job)
        milli_cpu = _milli_cpu(widest)
        needs = {spec: _need_of_job(job, spec, now) for spec in job.spec.steps}
        capable.sort(key=lambda shard: halls[shard].queued_cpu > 0)
        for shard in capable:
            hall = halls[shard]
            if hall.queued_cpu and _waited_s(step, now) < QUEUE_PRECEDENCE_S:
                break
            if hall.free_beside(needs[widest]) < milli_cpu:
                continue
            if all(hall.slots(need) >= _min_slots(spec) for spec, need in needs.items()):
                hall.take(needs[widest], widest.count)
                return shard
        if not (self._core.evacuation and capable) or job.spec.standing:
            return None
        shard = min(capable, key=lambda shard: halls[shard].queued_cpu)
        halls[shard].queue(milli_cpu)
        return shard

    def _can_run_all(self, shard: int, step: StepSpec, job: ShardJob) -> bool:
        capable = self._count_capable(shard, step, job.service)
        return capable * (step.max_per_executor or step.count) >= step.count


def _widest(job: ShardJob) -> StepSpec:
    """Return the step of a job whose tasks together take the most cores."""
    return max(job.spec.steps, key=_milli_cpu)


def _milli_cpu(step: StepSpec) -> int:
    """Return the thousandths of a core that all tasks of a step take together."""
    return step.count * step.demand.milli_cpu


def _need_of_job(job: ShardJob, step: StepSpec, now: float) -> TaskNeed:
    """Return the need of the tasks of a step of a job that has not begun."""
    waiting = (task for run in job.runs.values() for task in run.tasks() if task.pending)
    use_headroom = any(may_use_headroom(task, now) for task in waiting)
    return TaskNeed.of(step, job.service, use_headroom=use_headroom)


def _waited_s(step: StepRun, now: float) -> float:
    """Return for how long a task of a step has been waiting for a run, in seconds."""
    return max(now - task.waiting_since for task in step.tasks if task.pending)


def _min_slots(step: StepSpec) -> int:
    """Return for how many tasks of a step there must be capacity, as a job moves only once."""
    return step.count if step.gang else 1
